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
    : Rows(Rows), View(View), Codec(Codec), Config(Config),
      Operator(Io, tables::Operator, OperatorWait),
      Instances(Io, tables::Instances, MeshWait),
      Keys(Io, tables::Keys, MeshWait), WriteTimer(Io), CatchUpTimer(Io) {}

void StoreSync::start() {
  this->StartedAt = BootClock::now();
  this->advance(this->Operator);
  this->advance(this->Instances);
  this->advance(this->Keys);
}

void StoreSync::followKeys() {
  if (!this->FollowsKeys) {
    this->FollowsKeys = true;
    this->Keys.Timer.cancel();
    this->advance(this->Keys);
  }
}

void StoreSync::advance(Feed &Followed) {
  if (Followed.Known) {
    Followed.Version =
        std::max(Followed.Version, this->View.completeVersion(Followed.Table));
    this->Rows.follow(Followed.Table, Followed.Version, Followed.Wait,
                      [this, &Followed](const FollowResult &Result) {
                        this->onFollowed(Followed, Result);
                      });
    return;
  }

  this->Rows.readTable(
      Followed.Table, [this, &Followed](const std::optional<StoreRows> &Read) {
        if (!Read) {
          this->advanceAfter(Followed, RetryPause);
          return;
        }
        this->take(Followed, *Read);
        Followed.Known = true;
        Followed.Version = Read->Version;
        if (&Followed == &this->Keys && !this->FollowsKeys) {
          Followed.Known = false;
          bool Laid = !Read->Rows.empty();
          this->advanceAfter(Followed, Laid ? KeysInterval : NoKeysInterval);
          return;
        }
        this->advance(Followed);
      });
}

void StoreSync::advanceAfter(Feed &Followed, Duration Pause) {
  Followed.Timer.expires_after(Pause);
  Followed.Timer.async_wait(
      [this, &Followed](const boost::system::error_code &Error) {
        if (!Error) {
          this->advance(Followed);
        }
      });
}

void StoreSync::onFollowed(Feed &Followed, const FollowResult &Result) {
  switch (Result.Outcome) {
  case FollowOutcome::HistoryLost:
    LogLine(LogLevel::Info, "store", "history_lost")
        .with("table", Followed.Table)
        .with("version", static_cast<long long>(Followed.Version));
    Followed.Known = false;
    this->advance(Followed);
    return;
  case FollowOutcome::Failed:
    this->advanceAfter(Followed, RetryPause);
    return;
  case FollowOutcome::Changes:
    break;
  }

  this->take(Followed, Result.Rows);
  Followed.Version = std::max(Followed.Version, Result.Rows.Version);
  this->View.markComplete(Followed.Table, Followed.Version);
  bool Pause = !Result.Rows.Rows.empty() && &Followed != &this->Operator;
  if (Pause) {
    this->advanceAfter(Followed, this->changePause(Followed));
  } else {
    this->advance(Followed);
  }
}

Duration StoreSync::changePause(const Feed &Followed) const {
  bool Starting = BootClock::now() - this->StartedAt < StartTime;
  if (&Followed == &this->Keys || Starting) {
    auto Step = PauseStep * static_cast<int>(this->View.instances().size());
    return std::clamp<Duration>(Step, ShortestMeshPause, LongestMeshPause);
  }
  return this->readsFirst() ? Duration(ShortestMeshPause)
                            : Duration(FollowerPause);
}

bool StoreSync::readsFirst() const {
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

void StoreSync::take(Feed &Followed, const StoreRows &Rows) {
  if (&Followed != &this->Operator) {
    this->View.apply(Rows);
    return;
  }
  for (const TableRow &Row : Rows.Rows) {
    this->takeConfiguration(Row);
  }
}

void StoreSync::takeConfiguration(const TableRow &Row) {
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
  this->View.activateConfiguration(
      std::make_shared<const Configuration>(std::move(*Read)));
}

bool StoreSync::isBehind() const {
  const ConfigurationPtr &InForce = this->View.configuration();
  return !InForce || InForce->Version < this->SeenVersion;
}

void StoreSync::onConfigurationSeen(std::uint64_t Version) {
  this->SeenVersion = std::max(this->SeenVersion, Version);
  if (this->CatchingUp || !this->isBehind()) {
    return;
  }

  this->CatchingUp = true;
  this->CatchUpTimer.expires_after(CatchUpPause);
  this->CatchUpTimer.async_wait([this](const boost::system::error_code &Error) {
    this->CatchingUp = false;
    if (!Error && this->isBehind()) {
      this->readOperator();
    }
  });
}

void StoreSync::readOperator() {
  LogLine(LogLevel::Info, "store", "configuration_missed")
      .with("seen", static_cast<long long>(this->SeenVersion));
  this->CatchingUp = true;
  this->Rows.readTable(tables::Operator,
                       [this](const std::optional<StoreRows> &Read) {
                         this->CatchingUp = false;
                         if (Read) {
                           this->take(this->Operator, *Read);
                         }
                       });
}

void StoreSync::readInstances() {
  this->Rows.readTable(tables::Instances,
                       [this](const std::optional<StoreRows> &Read) {
                         if (Read) {
                           this->View.apply(*Read);
                         }
                       });
}

void StoreSync::readKeys() {
  this->Rows.readTable(tables::Keys,
                       [this](const std::optional<StoreRows> &Read) {
                         if (Read) {
                           this->View.apply(*Read);
                         }
                       });
}

void StoreSync::refreshKeys() {
  TimePoint Now = BootClock::now();
  if (Now >= this->NextReadAt) {
    this->NextReadAt = Now + ReadPause;
    this->readKeys();
  }
}

void StoreSync::setOwnRow(const InstanceRow &Row) {
  bool Same = this->Wanted && *this->Wanted == Row;
  this->Wanted = Row;
  if (!Same && !this->Writing) {
    this->writeOwnRow();
  }
}

void StoreSync::writeOwnRow() {
  InstanceRow Row = *this->Wanted;
  const InstanceRow *Known = this->View.findInstance(Row.Instance);
  if (Known && *Known == Row) {
    this->Writing = false;
    return;
  }

  this->Writing = true;
  std::string Key = MeshView::instanceKey(Row.Instance);
  TableTransaction Write;
  Write.Conditions.push_back({Key, this->View.instanceVersion(Row.Instance)});
  Write.Writes.push_back({Key, Row.toText()});
  this->Rows.commit(Write, [this, Row](const StoreCommit &Commit) {
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
