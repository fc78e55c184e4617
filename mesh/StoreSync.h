#pragma once

#include "mesh/MeshSettings.h"
#include "mesh/MeshView.h"
#include "mesh/ReportCodec.h"
#include "mesh/Store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hemlockspar {

/// Keeps the view in step with the store: awaits changes of the tables of the
/// operator, of instances and, where keys are owned here, of keys, and writes
/// this instance's own row.
class StoreSync {
public:
  StoreSync(boost::asio::io_context &Io, Store &Rows, MeshView &View,
            const ConfigurationCodec &Codec, const MeshSettings &Config);

  void start();

  /// The row that others are to see of this instance.
  void setOwnRow(const InstanceRow &Row);

  /// Reads the whole table of keys into the view.
  void readKeys();

  /// As readKeys, but no more often than every few hundred milliseconds: what
  /// the view says of owners has turned out to be old.
  void refreshKeys();

  /// From now on changes of the table of keys are awaited.
  void followKeys();

  /// Another instance has configuration \p Version in force: unless it comes
  /// at once, the wait for it has become deaf and the table is read.
  void onPeerConfiguration(std::uint64_t Version);

private:
  /// One table that is followed.
  struct TableFeed {
    TableFeed(boost::asio::io_context &Io, const char *Table, Duration Wait)
        : Table(Table), MaxWait(Wait), Timer(Io) {}

    std::string Table;

    /// How long the store holds an answer when nothing changes.
    Duration MaxWait;

    boost::asio::steady_timer Timer;
    RowVersion Version = 0;
    bool HasRead = false;
  };

  void poll(TableFeed &Followed);
  void pollAfter(TableFeed &Followed, Duration Pause);
  void onFollowResult(TableFeed &Followed, const FollowResult &Result);
  void applyRows(TableFeed &Followed, const StoreRows &Rows);
  void readInstances();
  Duration pauseAfterChanges(const TableFeed &Followed) const;
  bool isRegionReader() const;
  bool isConfigurationStale() const;
  void readConfiguration();
  void applyConfiguration(const TableRow &Row);
  void writeOwnRow();
  void onOwnRowWritten(const InstanceRow &Written, const StoreCommit &Commit);

  Store &StoreClient;
  MeshView &View;
  const ConfigurationCodec &Codec;
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

  /// The newest configuration that any instance is known to have in force.
  std::uint64_t NewestPeerVersion = 0;
  boost::asio::steady_timer CatchUpTimer;
  bool CatchingUp = false;
};

} // namespace hemlockspar
