#include "mesh/StoreSync.h"

#include "core/Log.h"

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// A wait that an outage has made deaf ends within this time. Most often other
/// instances' word of a newer configuration shows it much sooner.
constexpr auto OperatorWait = std::chrono::seconds(9);

/// A configuration that others have in force comes within this time, or the
/// table is read.
constexpr auto CatchUpPause = std::chrono::milliseconds(150);

/// An instance that does not own a key any more says who does, so requests do
/// not wait for this; each answer is a priced call.
constexpr auto MeshWait = std::chrono::seconds(15);

/// Until keys have owners they are looked for this often.
constexpr auto NoKeysInterval = std::chrono::milliseconds(2500);

/// Where no keys are owned, the table of keys is read this often.
constexpr auto KeysInterval = std::chrono::seconds(15);

/// Between two readings of the table of keys that were asked for: other daemons
/// are asked first, and each reading is a priced call.
constexpr auto ReadPause = std::chrono::milliseconds(2500);

/// After a call that failed.
constexpr auto RetryPause = std::chrono::milliseconds(300);

/// At a start all instances write their rows within a moment; each answer in
/// between would be a call of its own.
constexpr auto ShortestMeshPause = std::chrono::milliseconds(120);

/// Owners look for newer owners after this pause for each instance: the more
/// there are, the more keys move.
constexpr auto PauseStep = std::chrono::milliseconds(15);
constexpr auto LongestMeshPause = std::chrono::milliseconds(1000);

/// A process that has just started looks for instances at the same pace: all
/// may have started with it, and the first layout of keys is made by whoever
/// it knows then.
constexpr auto StartTime = std::chrono::seconds(10);

/// Daemons of a region that await changes of the instances; the others hear of
/// them from daemons. Two, so that the loss of one costs nothing.
constexpr std::size_t ReadersPerRegion = 2;

/// The other daemons look into the store after a change no sooner than this.
constexpr auto FollowerPause = std::chrono::seconds(8);

} // namespace

StoreSync::StoreSync(asio::io_context &Io, Store &Rows, MeshView &View,
                     const ConfigurationCodec &Codec,
                     const MeshSettings &Config)
    : StoreClient(Rows), View(View), Codec(Codec), Config(Config),
      ConfigurationFeed(Io, tables::Operator, OperatorWait),
      InstanceFeed(Io, tables::Instances, MeshWait),
      KeyFeed(Io, tables::Keys, MeshWait), WriteTimer(Io), CatchUpTimer(Io) {}

void StoreSync::start() {
  this->StartedAt = BootClock::now();
  this->poll(this->ConfigurationFeed);
  this->poll(this->InstanceFeed);
  this->poll(this->KeyFeed);
}

void StoreSync::followKeys() {
  if (!this->FollowingKeys) {
    this->FollowingKeys = true;
    this->KeyFeed.Timer.cancel();
    this->poll(this->KeyFeed);
  }
}

void StoreSync::poll(TableFeed &Followed) {
  if (Followed.HasRead) {
    Followed.Version =
        std::max(Followed.Version, this->View.completeTo(Followed.Table));
    this->StoreClient.follow(Followed.Table, Followed.Version, Followed.MaxWait,
                             [this, &Followed](const FollowResult &Result) {
                               this->onFollowResult(Followed, Result);
                             });
    return;
  }

  this->StoreClient.readTable(
      Followed.Table, [this, &Followed](const std::optional<StoreRows> &Read) {
        if (!Read) {
          this->pollAfter(Followed, RetryPause);
          return;
        }
        this->applyRows(Followed, *Read);
        Followed.HasRead = true;
        Followed.Version = Read->Version;
        if (&Followed == &this->KeyFeed && !this->FollowingKeys) {
          Followed.HasRead = false;
          bool Laid = !Read->Rows.empty();
          this->pollAfter(Followed, Laid ? KeysInterval : NoKeysInterval);
          return;
        }
        this->poll(Followed);
      });
}

void StoreSync::pollAfter(TableFeed &Followed, Duration Pause) {
  Followed.Timer.expires_after(Pause);
  Followed.Timer.async_wait(
      [this, &Followed](const boost::system::error_code &Error) {
        if (!Error) {
          this->poll(Followed);
        }
      });
}

void StoreSync::onFollowResult(TableFeed &Followed,
                               const FollowResult &Result) {
  switch (Result.Outcome) {
  case FollowOutcome::HistoryLost:
    LogLine(LogLevel::Info, "store", "history_lost")
        .with("table", Followed.Table)
        .with("version", static_cast<long long>(Followed.Version));
    Followed.HasRead = false;
    this->poll(Followed);
    return;
  case FollowOutcome::Failed:
    this->pollAfter(Followed, RetryPause);
    return;
  case FollowOutcome::Changes:
    break;
  }

  this->applyRows(Followed, Result.Rows);
  Followed.Version = std::max(Followed.Version, Result.Rows.Version);
  this->View.noteComplete(Followed.Table, Followed.Version);
  bool Pause =
      !Result.Rows.Rows.empty() && &Followed != &this->ConfigurationFeed;
  if (Pause) {
    this->pollAfter(Followed, this->pauseAfterChanges(Followed));
  } else {
    this->poll(Followed);
  }
}

Duration StoreSync::pauseAfterChanges(const TableFeed &Followed) const {
  bool Starting = BootClock::now() - this->StartedAt < StartTime;
  if (&Followed == &this->KeyFeed || Starting) {
    auto Step = PauseStep * static_cast<int>(this->View.instances().size());
    return std::clamp<Duration>(Step, ShortestMeshPause, LongestMeshPause);
  }
  return this->isRegionReader() ? Duration(ShortestMeshPause)
                                : Duration(FollowerPause);
}

bool StoreSync::isRegionReader() const {
  std::size_t Before = 0;
  bool Listed = false;
  for (const auto &[Name, Row] : this->View.instances()) {
    bool Fits =
        Row.Region == this->Config.Region && Row.State == ServerState::Ready;
    Listed = Listed || (Fits && Name == this->Config.Instance);
    Before += Fits && Name < this->Config.Instance ? 1 : 0;
  }
  return Before < ReadersPerRegion && (Listed || Before == 0);
}

void StoreSync::applyRows(TableFeed &Followed, const StoreRows &Rows) {
  if (&Followed != &this->ConfigurationFeed) {
    this->View.apply(Rows);
    return;
  }
  for (const TableRow &Row : Rows.Rows) {
    this->applyConfiguration(Row);
  }
}

void StoreSync::applyConfiguration(const TableRow &Row) {
  bool Wanted = Row.Key == rowKey(tables::Operator, this->Codec.rowName());
  if (!Wanted || !Row.Value) {
    return;
  }

  auto Read = this->Codec.decode(*Row.Value);
  if (!Read.ok()) {
    LogLine(LogLevel::Warning, "store", "configuration_ignored")
        .with("row_version", static_cast<long long>(Row.Version))
        .with("reason", std::string(Read.status().message()));
    return;
  }
  this->View.adopt(std::make_shared<const Configuration>(std::move(*Read)));
}

bool StoreSync::isConfigurationStale() const {
  const ConfigurationPtr &InForce = this->View.configuration();
  return !InForce || InForce->Version < this->NewestPeerVersion;
}

void StoreSync::onPeerConfiguration(std::uint64_t Version) {
  this->NewestPeerVersion = std::max(this->NewestPeerVersion, Version);
  if (this->CatchingUp || !this->isConfigurationStale()) {
    return;
  }

  this->CatchingUp = true;
  this->CatchUpTimer.expires_after(CatchUpPause);
  this->CatchUpTimer.async_wait([this](const boost::system::error_code &Error) {
    this->CatchingUp = false;
    if (!Error && this->isConfigurationStale()) {
      this->readConfiguration();
    }
  });
}

void StoreSync::readConfiguration() {
  LogLine(LogLevel::Info, "store", "configuration_missed")
      .with("seen", static_cast<long long>(this->NewestPeerVersion));
  this->CatchingUp = true;
  this->StoreClient.readTable(
      tables::Operator, [this](const std::optional<StoreRows> &Read) {
        this->CatchingUp = false;
        if (Read) {
          this->applyRows(this->ConfigurationFeed, *Read);
        }
      });
}

void StoreSync::readInstances() {
  this->StoreClient.readTable(tables::Instances,
                              [this](const std::optional<StoreRows> &Read) {
                                if (Read) {
                                  this->View.apply(*Read);
                                }
                              });
}

void StoreSync::readKeys() {
  this->StoreClient.readTable(tables::Keys,
                              [this](const std::optional<StoreRows> &Read) {
                                if (Read) {
                                  this->View.apply(*Read);
                                }
                              });
}

void StoreSync::refreshKeys() {
  TimePoint Now = BootClock::now();
  if (Now >= this->NextKeysReadAt) {
    this->NextKeysReadAt = Now + ReadPause;
    this->readKeys();
  }
}

void StoreSync::setOwnRow(const InstanceRow &Row) {
  bool Same = this->OwnRow && *this->OwnRow == Row;
  this->OwnRow = Row;
  if (!Same && !this->WriteInFlight) {
    this->writeOwnRow();
  }
}

void StoreSync::writeOwnRow() {
  InstanceRow Row = *this->OwnRow;
  const InstanceRow *Known = this->View.findInstance(Row.Instance);
  if (Known && *Known == Row) {
    this->WriteInFlight = false;
    return;
  }

  this->WriteInFlight = true;
  std::string Key = MeshView::instanceKey(Row.Instance);
  TableTransaction Write;
  Write.Conditions.push_back({Key, this->View.instanceVersion(Row.Instance)});
  Write.Writes.push_back({Key, Row.toText()});
  this->StoreClient.commit(Write, [this, Row](const StoreCommit &Commit) {
    this->onOwnRowWritten(Row, Commit);
  });
}

void StoreSync::onOwnRowWritten(const InstanceRow &Written,
                                const StoreCommit &Commit) {
  if (Commit.Result.Outcome == CommitOutcome::Committed) {
    TableTransaction Write;
    Write.Writes.push_back(
        {MeshView::instanceKey(Written.Instance), Written.toText()});
    StoreRows Rows;
    Rows.Rows = writtenRows(Write, Commit.Result.Version).Rows;
    this->View.apply(Rows);
    this->writeOwnRow();
    return;
  }

  // Another version of the row is there, or the write may be done late: the
  // table tells.
  if (Commit.Result.Outcome != CommitOutcome::NotRun) {
    this->readInstances();
  }
  this->WriteTimer.expires_after(RetryPause);
  this->WriteTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error) {
      this->writeOwnRow();
    }
  });
}

} // namespace hemlockspar
