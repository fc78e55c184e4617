#pragma once

#include "mesh/MeshSettings.h"
#include "mesh/MeshView.h"
#include "mesh/ReportCodec.h"
#include "mesh/Store.h"
#include "mesh/configuration/OperatorTable.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>

namespace hemlockspar {

/// Synchronises the view with the store: follows the tables of configurations,
/// of instances and, where keys are owned here, of keys, and writes this
/// instance's own row.
class StoreSync {
public:
  StoreSync(boost::asio::io_context &Io, Store &StoreClient, MeshView &View,
            const ConfigurationCodec &Codec, const MeshSettings &Config);

  void start();

  /// Sets the row that describes this instance to others, and writes it if the
  /// store has another one, which may be malformed.
  void setOwnRow(const InstanceRow &Row);

  /// Reads the complete table of keys into the view.
  void readKeys();

  /// Reads the complete table of instances into the view; \p OnDone is told
  /// whether that succeeded.
  void readInstances(const std::function<void(bool Done)> &OnDone);

  /// As readKeys, but rate-limited to once every few seconds. Called when the
  /// owners in the view have proved to be outdated.
  void refreshKeys();

  /// Starts to follow the table of keys.
  void followKeys();

  /// Asks the store for changes of the operators' table when it has not been
  /// confirmed lately that all are known here.
  void checkOperatorRows(TimePoint Now);

  /// Another instance has activated configuration \p Version. Unless it arrives
  /// here shortly, the pending wait for changes is assumed dead and the store
  /// is asked for changes.
  void onPeerConfiguration(std::uint64_t Version);

private:
  /// State of one followed table.
  struct TableFeed {
    TableFeed(boost::asio::io_context &Io, const char *Table, Duration Wait)
        : Table(Table), MaxWait(Wait), Timer(Io) {}

    std::string Table;

    /// How long the store holds a request for changes open when nothing
    /// changes.
    Duration MaxWait;

    boost::asio::steady_timer Timer;
    RowVersion Version = 0;
    bool HasRead = false;

    /// Calls that failed in a row.
    unsigned Failures = 0;

    /// Number of the current call; a call with another number was given up.
    unsigned CallNumber = 0;

    /// No call is in progress; the next one follows after a pause.
    bool Paused = false;

    /// When the last wait for changes began, and how long it was to be.
    TimePoint FollowedAt;
    Duration FollowWait{};
  };

  void poll(TableFeed &Feed);
  void readWholeTable(TableFeed &Feed);

  /// Gives up the current call of \p Feed and reads its table.
  void restart(TableFeed &Feed);

  /// The store answered a call at \p Version. After a restoration rows may be
  /// gone that the feeds take for known, so that all but \p Fresh, which has
  /// read its table since, are restarted. Returns whether they are.
  bool onStoreVersion(RowVersion Version, const TableFeed *Fresh);
  void pollAfter(TableFeed &Feed, Duration Pause);
  void onFollowResult(TableFeed &Feed, const FollowResult &Result);
  void onOperatorTableRead(const StoreRows &Rows, TimePoint SentAt);

  /// The store answered a call of \p FollowedAt; without changes it had waited
  /// for \p Wait.
  void onOperatorRows(const StoreRows &Rows, TimePoint FollowedAt,
                      Duration Wait);
  void beginCheck(TimePoint Now);
  void onCheckResult(const FollowResult &Result, TimePoint SentAt);
  void logSlowCheck(const FollowResult &Result, TimePoint SentAt) const;
  void applyRows(TableFeed &Feed, const StoreRows &Rows);
  Duration pauseAfterChanges(const TableFeed &Feed) const;
  Duration stretched(Duration Interval, Duration Max) const;
  Duration retryDelay(unsigned Failures);
  bool isRegionReader() const;
  bool isConfigurationStale() const;
  void writeOwnRow();
  void onOwnRowWritten(const InstanceRow &Written, const StoreCommit &Commit);

  Store &StoreClient;
  MeshView &View;
  OperatorTable Operators;
  const MeshSettings &Config;
  TableFeed ConfigurationFeed;
  TableFeed InstanceFeed;
  TableFeed KeyFeed;
  bool FollowingKeys = false;
  TimePoint StartedAt;

  boost::asio::steady_timer WriteTimer;
  std::optional<InstanceRow> OwnRow;
  bool WriteInFlight = false;
  TimePoint NextKeysReadAt;

  /// The store's era as of the newest response.
  std::optional<std::uint64_t> Era;

  /// The newest configuration version that is known to be active at any
  /// instance.
  std::uint64_t NewestPeerVersion = 0;
  boost::asio::steady_timer CatchUpTimer;
  bool CatchingUp = false;

  /// When a check of the operators' table was last considered.
  TimePoint CheckConsideredAt;

  /// Whether a check of the operators' table is unanswered.
  bool CheckPending = false;
  std::mt19937_64 Random;
  unsigned WriteFailures = 0;
};

} // namespace hemlockspar
