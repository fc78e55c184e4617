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
  void onConfigurationSeen(std::uint64_t Version);

private:
  /// One table that is followed.
  struct Feed {
    Feed(boost::asio::io_context &Io, const char *Table, Duration Wait)
        : Table(Table), Wait(Wait), Timer(Io) {}

    std::string Table;

    /// How long the store holds an answer when nothing changes.
    Duration Wait;

    boost::asio::steady_timer Timer;
    RowVersion Version = 0;
    bool Known = false;
  };

  void advance(Feed &Followed);
  void advanceAfter(Feed &Followed, Duration Pause);
  void onFollowed(Feed &Followed, const FollowResult &Result);
  void take(Feed &Followed, const StoreRows &Rows);
  void readInstances();
  Duration changePause(const Feed &Followed) const;
  bool readsFirst() const;
  bool isBehind() const;
  void readOperator();
  void takeConfiguration(const TableRow &Row);
  void writeOwnRow();
  void onOwnRowWritten(const InstanceRow &Written, const StoreCommit &Commit);

  Store &Rows;
  MeshView &View;
  const ConfigurationCodec &Codec;
  const MeshSettings &Config;
  Feed Operator;
  Feed Instances;
  Feed Keys;
  bool FollowsKeys = false;
  TimePoint StartedAt;

  boost::asio::steady_timer WriteTimer;
  std::optional<InstanceRow> Wanted;
  bool Writing = false;
  TimePoint NextReadAt;

  /// The newest configuration that any instance is known to have in force.
  std::uint64_t SeenVersion = 0;
  boost::asio::steady_timer CatchUpTimer;
  bool CatchingUp = false;
};

} // namespace hemlockspar
