#include "mesh/StoreSync.h"

#include "core/Log.h"
#include "mesh/FleetScale.h"
#include "mesh/store_access/StoreEra.h"

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// Checks bound the time for which a lost wait goes unnoticed, so it may be as
/// long as the store allows.
constexpr auto ConfigurationWait = std::chrono::seconds(30);

/// Early checks of the whole fleet. What one finds reaches all daemons that
/// exchange requests within about a second.
constexpr double EarlyChecksPerSecond = 2;

/// An answer that ends a wait may be this much early by the local clock.
constexpr auto WaitTolerance = std::chrono::milliseconds(50);

/// Checks that take longer are logged.
constexpr auto SlowCheck = std::chrono::milliseconds(500);

/// A configuration that is active at other instances must arrive within this
/// time; otherwise the store is asked for it. A large one takes most of it on a
/// slow link.
constexpr auto CatchUpDelay = std::chrono::milliseconds(1000);

/// Requests do not depend on this wait, since an instance that no longer owns a
/// key names the new owner; each response of the store is billed as a call.
constexpr auto TableWait = std::chrono::seconds(15);

/// Longest wait for changes that the store allows.
constexpr auto MaxStoreWait = std::chrono::seconds(30);

/// Polling interval for the table of keys until keys have owners.
constexpr auto UnownedKeysInterval = std::chrono::milliseconds(2500);
constexpr auto MaxUnownedKeysInterval = std::chrono::milliseconds(7500);

/// Polling interval for the table of keys where no keys are owned.
constexpr auto KeysInterval = std::chrono::seconds(15);

/// Minimum interval between requested reads of the table of keys: peers are
/// asked first, and each read is billed as a call.
constexpr auto MinKeysReadInterval = std::chrono::milliseconds(2500);

/// Delay after a failed call, doubled after each further one up to a maximum
/// that grows with the fleet: the store also charges for the calls that it
/// refuses while it is away.
constexpr auto RetryDelay = std::chrono::milliseconds(300);
constexpr auto MaxRetryDelay = std::chrono::milliseconds(1500);
constexpr unsigned MaxRetryDoublings = 4;

/// When all instances start, they write their rows almost at once; without a
/// pause each row would cost a separate call.
constexpr auto MinChangePause = std::chrono::milliseconds(120);

/// Pause per instance before an owner follows the table of keys again: the more
/// instances there are, the more keys move.
constexpr auto PausePerInstance = std::chrono::milliseconds(15);
constexpr auto MaxChangePause = std::chrono::milliseconds(6000);

/// For this long after its start a process follows the table of instances at
/// the same pace: all may have started together.
constexpr auto StartPeriod = std::chrono::seconds(10);
constexpr auto MaxStartPause = std::chrono::milliseconds(2500);

/// Daemons per region that follow the table of instances promptly; the others
/// receive changes from peers. Two, so that the loss of one has no effect.
constexpr std::size_t ReadersPerRegion = 2;

/// Minimum pause after a change before the other daemons query the store again.
constexpr auto NonReaderPause = std::chrono::seconds(8);

/// Longest interval to which those between readings of one daemon are stretched
/// in a large fleet.
constexpr auto MaxStretchedInterval = std::chrono::seconds(60);

} // namespace

StoreSync::StoreSync(asio::io_context &Io, Store &StoreClient, MeshView &View,
                     const ConfigurationCodec &Codec,
                     const MeshSettings &Config)
    : StoreClient(StoreClient), View(View), Operators(View, Codec),
      Config(Config),
      ConfigurationFeed(Io, tables::Operator, ConfigurationWait),
      InstanceFeed(Io, tables::Instances, TableWait),
      KeyFeed(Io, tables::Keys, TableWait), WriteTimer(Io), CatchUpTimer(Io),
      Random(std::hash<std::string>()(Config.Instance)) {}

void StoreSync::start() {
  this->StartedAt = BootClock::now();
  this->CheckConsideredAt = this->StartedAt;
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

void StoreSync::poll(TableFeed &Feed) {
  Feed.Paused = false;
  if (!Feed.HasRead) {
    this->readWholeTable(Feed);
    return;
  }

  Feed.Version = std::max(Feed.Version, this->View.completeVersion(Feed.Table));
  Feed.FollowedAt = BootClock::now();
  Feed.FollowWait = this->stretched(Feed.MaxWait, MaxStoreWait);
  unsigned Number = ++Feed.CallNumber;
  this->StoreClient.follow(Feed.Table, Feed.Version, Feed.FollowWait,
                           [this, &Feed, Number](const FollowResult &Result) {
                             if (Number == Feed.CallNumber) {
                               this->onFollowResult(Feed, Result);
                             }
                           });
}

void StoreSync::readWholeTable(TableFeed &Feed) {
  TimePoint SentAt = BootClock::now();
  unsigned Number = ++Feed.CallNumber;
  this->StoreClient.readTable(
      Feed.Table,
      [this, &Feed, SentAt, Number](const std::optional<StoreRows> &Read) {
        if (Number != Feed.CallNumber) {
          return;
        }
        if (!Read) {
          this->pollAfter(Feed, this->retryDelay(Feed.Failures++));
          return;
        }
        Feed.Failures = 0;
        this->applyRows(Feed, *Read);
        if (&Feed == &this->ConfigurationFeed) {
          this->onOperatorTableRead(*Read, SentAt);
        }
        Feed.HasRead = true;
        Feed.Version = Read->Version;
        this->onStoreVersion(Read->Version, &Feed);
        if (&Feed == &this->InstanceFeed && this->OwnRow &&
            !this->WriteInFlight) {
          this->writeOwnRow();
        }
        if (&Feed == &this->KeyFeed && !this->FollowingKeys) {
          Feed.HasRead = false;
          bool HasOwners = !Read->Rows.empty();
          this->pollAfter(
              Feed, HasOwners
                        ? this->stretched(KeysInterval, MaxStretchedInterval)
                        : this->stretched(UnownedKeysInterval,
                                          MaxUnownedKeysInterval));
          return;
        }
        this->poll(Feed);
      });
}

void StoreSync::restart(TableFeed &Feed) {
  Feed.HasRead = false;
  Feed.Timer.cancel();
  this->poll(Feed);
}

bool StoreSync::onStoreVersion(RowVersion Version, const TableFeed *Fresh) {
  std::uint64_t Answered = eraOf(Version);
  bool Restored = this->Era && Answered > *this->Era;
  this->Era = std::max(Answered, this->Era.value_or(Answered));
  if (!Restored) {
    return false;
  }

  for (TableFeed *Feed :
       {&this->ConfigurationFeed, &this->InstanceFeed, &this->KeyFeed}) {
    if (Feed != Fresh) {
      this->restart(*Feed);
    }
  }
  return true;
}

void StoreSync::pollAfter(TableFeed &Feed, Duration Pause) {
  Feed.Paused = true;
  Feed.Timer.expires_after(Pause);
  Feed.Timer.async_wait([this, &Feed](const boost::system::error_code &Error) {
    if (!Error) {
      this->poll(Feed);
    }
  });
}

void StoreSync::onFollowResult(TableFeed &Feed, const FollowResult &Result) {
  switch (Result.Outcome) {
  case FollowOutcome::HistoryLost:
    LogLine(LogLevel::Info, "store", "history_lost")
        .with("table", Feed.Table)
        .with("version", static_cast<long long>(Feed.Version));
    this->restart(Feed);
    return;
  case FollowOutcome::Failed:
    this->pollAfter(Feed, this->retryDelay(Feed.Failures++));
    return;
  case FollowOutcome::Changes:
    Feed.Failures = 0;
    break;
  }

  TimePoint WaitEnd = Feed.FollowedAt + Feed.FollowWait;
  bool Early =
      Result.Rows.Rows.empty() && BootClock::now() + WaitTolerance < WaitEnd;
  this->applyRows(Feed, Result.Rows);
  if (&Feed == &this->ConfigurationFeed) {
    this->onOperatorRows(Result.Rows, Feed.FollowedAt,
                         Early ? Duration::zero() : Feed.FollowWait);
  }
  if (this->onStoreVersion(Result.Rows.Version, nullptr)) {
    return;
  }
  Feed.Version = std::max(Feed.Version, Result.Rows.Version);
  this->View.markComplete(Feed.Table, Feed.Version);
  bool Pause = !Result.Rows.Rows.empty() && &Feed != &this->ConfigurationFeed;
  if (Pause) {
    this->pollAfter(Feed, this->pauseAfterChanges(Feed));
  } else if (Early) {
    this->pollAfter(Feed, this->retryDelay(0));
  } else {
    this->poll(Feed);
  }
}

void StoreSync::onOperatorTableRead(const StoreRows &Rows, TimePoint SentAt) {
  // A read does not tell when the last row was deleted.
  TableFreshness &Freshness = this->View.operatorFreshness();
  Freshness.onChange(Rows.Version);
  if (!this->Operators.unreadableRow()) {
    Freshness.confirm(Rows.Version, SentAt);
  }
}

void StoreSync::onOperatorRows(const StoreRows &Rows, TimePoint FollowedAt,
                               Duration Wait) {
  TableFreshness &Freshness = this->View.operatorFreshness();
  if (this->Operators.unreadableRow()) {
    return;
  }
  if (Rows.Rows.empty()) {
    Freshness.confirm(Rows.Version,
                      std::min(FollowedAt + Wait, BootClock::now()));
    return;
  }
  for (const TableRow &Row : Rows.Rows) {
    Freshness.onChange(Row.Version);
  }
  Freshness.confirm(Rows.Version, FollowedAt);
  LogLine(LogLevel::Info, "store", "operator_rows")
      .with("rows", static_cast<long long>(Rows.Rows.size()))
      .with("version", static_cast<long long>(Rows.Version))
      .with("waited_ms", toMilliseconds(BootClock::now() - FollowedAt));
}

void StoreSync::checkOperatorRows(TimePoint Now) {
  TableFeed &Feed = this->ConfigurationFeed;
  TableFreshness &Freshness = this->View.operatorFreshness();
  std::uniform_real_distribution<double> Draw(0, 1);
  double Expected =
      EarlyChecksPerSecond *
      std::chrono::duration<double>(Now - this->CheckConsideredAt).count() /
      static_cast<double>(
          std::max<std::size_t>(this->View.instances().size(), 1));
  this->CheckConsideredAt = Now;
  bool Early = Draw(this->Random) < Expected;
  if (Feed.HasRead && this->Operators.isReadDue(Now)) {
    this->restart(Feed);
    return;
  }
  if (!Feed.Paused && !this->CheckPending && Freshness.isCheckDue(Now, Early)) {
    this->beginCheck(Now);
  }
}

void StoreSync::beginCheck(TimePoint Now) {
  TableFeed &Feed = this->ConfigurationFeed;
  std::uniform_real_distribution<double> Draw(0, 1);
  this->CheckPending = true;
  this->View.operatorFreshness().onCheckBegun(Now, Draw(this->Random));
  RowVersion After =
      this->Operators.unreadableRow()
          ? std::min(Feed.Version, *this->Operators.unreadableRow() - 1)
          : Feed.Version;
  this->StoreClient.follow(Feed.Table, After, Duration::zero(),
                           [this, Now](const FollowResult &Result) {
                             this->CheckPending = false;
                             this->onCheckResult(Result, Now);
                           });
}

void StoreSync::onCheckResult(const FollowResult &Result, TimePoint SentAt) {
  TableFeed &Feed = this->ConfigurationFeed;
  this->logSlowCheck(Result, SentAt);
  switch (Result.Outcome) {
  case FollowOutcome::HistoryLost:
    if (Feed.HasRead) {
      this->restart(Feed);
    }
    return;
  case FollowOutcome::Failed:
    return;
  case FollowOutcome::Changes:
    break;
  }

  const std::vector<TableRow> &Rows = Result.Rows.Rows;
  bool Missed = std::any_of(Rows.begin(), Rows.end(), [&](const TableRow &Row) {
    return Row.Version > Feed.Version;
  });
  if (Missed) {
    LogLine(LogLevel::Info, "store", "found_by_check")
        .with("table", Feed.Table)
        .with("after", static_cast<long long>(Feed.Version))
        .with("waited_ms", toMilliseconds(SentAt - Feed.FollowedAt));
  }
  this->applyRows(Feed, Result.Rows);
  this->onOperatorRows(Result.Rows, SentAt, Duration::zero());
  Feed.Version = std::max(Feed.Version, Result.Rows.Version);
  if (Missed && Feed.HasRead) {
    // The pending wait is lost, or behind.
    this->poll(Feed);
  }
}

void StoreSync::logSlowCheck(const FollowResult &Result,
                             TimePoint SentAt) const {
  TimePoint Now = BootClock::now();
  bool Failed = Result.Outcome == FollowOutcome::Failed;
  if (!Failed && Now - SentAt < SlowCheck) {
    return;
  }
  auto Age = this->View.operatorFreshness().age(Now);
  LogLine(LogLevel::Info, "store", "slow_check")
      .with("table", this->ConfigurationFeed.Table)
      .with("answered", Failed ? 0 : 1)
      .with("ms", toMilliseconds(Now - SentAt))
      .with("confirmed_ms", Age ? toMilliseconds(*Age) : -1);
}

Duration StoreSync::pauseAfterChanges(const TableFeed &Feed) const {
  bool Starting = BootClock::now() - this->StartedAt < StartPeriod;
  if (&Feed == &this->KeyFeed || Starting) {
    auto Step =
        PausePerInstance * static_cast<int>(this->View.instances().size());
    return std::clamp<Duration>(Step, MinChangePause,
                                Starting ? MaxStartPause : MaxChangePause);
  }
  return this->isRegionReader()
             ? Duration(MinChangePause)
             : this->stretched(NonReaderPause, MaxStretchedInterval);
}

Duration StoreSync::stretched(Duration Interval, Duration Max) const {
  return stretchInterval(Interval, this->View.instances().size(), Max);
}

Duration StoreSync::retryDelay(unsigned Failures) {
  Duration Longest = std::min<Duration>(
      RetryDelay * (1 << std::min(Failures, MaxRetryDoublings)),
      this->stretched(RetryDelay, MaxRetryDelay));
  std::uniform_real_distribution<double> Jitter(0.75, 1.0);
  auto Delay =
      std::chrono::duration_cast<Duration>(Longest * Jitter(this->Random));
  return std::max<Duration>(Delay, RetryDelay);
}

bool StoreSync::isRegionReader() const {
  std::size_t Preceding = 0;
  bool Listed = false;
  for (const auto &[Name, Row] : this->View.instances()) {
    bool Eligible =
        Row.Region == this->Config.Region && Row.State == ServerState::Ready;
    Listed = Listed || (Eligible && Name == this->Config.Instance);
    Preceding += Eligible && Name < this->Config.Instance ? 1 : 0;
  }
  return Preceding < ReadersPerRegion && (Listed || Preceding == 0);
}

void StoreSync::applyRows(TableFeed &Feed, const StoreRows &Rows) {
  if (&Feed != &this->ConfigurationFeed) {
    this->View.apply(Rows);
    return;
  }
  this->Operators.apply(Rows, BootClock::now());
}

bool StoreSync::isConfigurationStale() const {
  const ConfigurationPtr &Active = this->View.configuration();
  return !Active || Active->Version < this->NewestPeerVersion;
}

void StoreSync::onPeerConfiguration(std::uint64_t Version) {
  this->NewestPeerVersion = std::max(this->NewestPeerVersion, Version);
  if (this->CatchingUp || !this->isConfigurationStale()) {
    return;
  }

  this->CatchingUp = true;
  this->CatchUpTimer.expires_after(CatchUpDelay);
  this->CatchUpTimer.async_wait([this](const boost::system::error_code &Error) {
    this->CatchingUp = false;
    bool MayAsk = !this->ConfigurationFeed.Paused && !this->CheckPending;
    if (!Error && MayAsk && this->isConfigurationStale()) {
      LogLine(LogLevel::Info, "store", "configuration_missed")
          .with("seen", static_cast<long long>(this->NewestPeerVersion));
      this->beginCheck(BootClock::now());
    }
  });
}

void StoreSync::readInstances(const std::function<void(bool Done)> &OnDone) {
  this->StoreClient.readTable(
      tables::Instances, [this, OnDone](const std::optional<StoreRows> &Read) {
        if (Read) {
          this->View.apply(*Read);
          this->onStoreVersion(Read->Version, nullptr);
        }
        OnDone(Read.has_value());
      });
}

void StoreSync::readKeys() {
  this->StoreClient.readTable(tables::Keys,
                              [this](const std::optional<StoreRows> &Read) {
                                if (Read) {
                                  this->View.apply(*Read);
                                  this->onStoreVersion(Read->Version, nullptr);
                                }
                              });
}

void StoreSync::refreshKeys() {
  TimePoint Now = BootClock::now();
  if (Now >= this->NextKeysReadAt) {
    this->NextKeysReadAt =
        Now + this->stretched(MinKeysReadInterval, MaxStretchedInterval);
    this->readKeys();
  }
}

void StoreSync::setOwnRow(const InstanceRow &Row) {
  this->OwnRow = Row;
  if (!this->WriteInFlight) {
    this->writeOwnRow();
  }
}

void StoreSync::writeOwnRow() {
  InstanceRow Row = *this->OwnRow;
  const InstanceRow *Current = this->View.findInstance(Row.Instance);
  if (Current && *Current == Row) {
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
    this->WriteFailures = 0;
    TableTransaction Write;
    Write.Writes.push_back(
        {MeshView::instanceKey(Written.Instance), Written.toText()});
    StoreRows Rows;
    Rows.Rows = writtenRows(Write, Commit.Result.Version).Rows;
    this->View.apply(Rows);
    this->writeOwnRow();
    return;
  }

  // The row has another version, or the write may still be applied: read the
  // table to find out.
  if (Commit.Result.Outcome != CommitOutcome::NotRun) {
    this->readInstances([](bool) {});
  }
  this->WriteTimer.expires_after(this->retryDelay(this->WriteFailures++));
  this->WriteTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error) {
      this->writeOwnRow();
    }
  });
}

} // namespace hemlockspar
