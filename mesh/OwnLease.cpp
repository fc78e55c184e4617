#include "mesh/OwnLease.h"

#include "core/Json.h"

namespace hemlockspar {

namespace {

/// Values beyond these are not those of an instance: a lease in the far future
/// would keep its keys from all others for good.
constexpr std::int64_t MaxUntilMs = 100LL * 365 * 24 * 3600 * 1000;
constexpr double MaxRowLoad = 1e6;

} // namespace

std::string KeyLeaseRow::toText() const {
  Json::Value Text;
  Text["process"] = Json::UInt64(this->Process);
  Text["count"] = Json::UInt64(this->Count);
  Text["until_ms"] = Json::Int64(toMilliseconds(this->Until));
  Text["load"] = this->Load;
  return writeJson(Text);
}

std::optional<KeyLeaseRow> KeyLeaseRow::fromText(const std::string &Text) {
  auto Value = readJson(Text);
  bool Valid = Value && Value->isObject() && (*Value)["until_ms"].isInt64() &&
               (*Value)["load"].isNumeric();
  if (!Valid) {
    return std::nullopt;
  }
  std::int64_t UntilMs = (*Value)["until_ms"].asInt64();
  double Load = (*Value)["load"].asDouble();
  bool Plausible =
      UntilMs >= 0 && UntilMs <= MaxUntilMs && Load >= 0 && Load <= MaxRowLoad;
  if (!Plausible) {
    return std::nullopt;
  }

  KeyLeaseRow Row;
  Row.Process = getUnsigned(*Value, "process");
  Row.Count = getUnsigned(*Value, "count");
  Row.Until = std::chrono::milliseconds(UntilMs);
  Row.Load = Load;
  return Row;
}

std::string KeyLeaseRow::key(const InstanceId &Instance) {
  return rowKey(tables::Leases, Instance);
}

OwnLease::OwnLease(InstanceId Instance, std::uint64_t Process, Options Opts)
    : Instance(std::move(Instance)), Opts(Opts) {
  this->LatestRow.Process = Process;
}

std::optional<TableTransaction>
OwnLease::prepareRenewal(const StoreClock &Clock, double Load, TimePoint Now) {
  auto StoreTime = Clock.earliestStoreTime(Now);
  bool Due = this->VersionKnown && !this->InFlight && StoreTime &&
             Now >= this->RetryAt &&
             (this->RenewalRequested ||
              this->ExpiresAt - Now < this->Opts.RenewalThreshold);
  if (!Due) {
    return std::nullopt;
  }

  // Rounded to milliseconds, like the value in the row.
  this->LatestRow.Until =
      std::chrono::milliseconds(toMilliseconds(*StoreTime + this->Opts.Length));
  this->LatestRow.Load = Load;
  ++this->LatestRow.Count;
  this->InFlight = true;
  this->RenewalRequested = false;

  TableTransaction Write;
  std::string Key = KeyLeaseRow::key(this->Instance);
  Write.Conditions.push_back({Key, this->Version});
  Write.Writes.push_back({Key, this->LatestRow.toText()});
  return Write;
}

void OwnLease::onCommit(const StoreCommit &Commit, const StoreClock &Clock,
                        TimePoint Now) {
  this->InFlight = false;

  switch (Commit.Result.Outcome) {
  case CommitOutcome::Committed:
    this->Version = Commit.Result.Version;
    if (!this->Continuous) {
      this->Continuous = true;
      this->ContinuousSince = this->Version;
    }
    this->ExpiresAt = std::max(
        this->ExpiresAt,
        Clock.lastTimeBefore(this->LatestRow.Until).value_or(this->ExpiresAt));
    return;
  case CommitOutcome::Conflict:
    // The conflict may come from an earlier write of this process that took
    // effect late; reading the row shows it. Until then the lease stays valid.
    this->VersionKnown = false;
    return;
  case CommitOutcome::Unknown:
    this->VersionKnown = false;
    this->RetryAt = Now + this->Opts.RetryDelay;
    return;
  case CommitOutcome::NotRun:
    this->RetryAt = Now + this->Opts.RetryDelay;
    return;
  }
}

void OwnLease::onRow(const TableRow *Row, const StoreClock &Clock) {
  if (this->InFlight) {
    return;
  }

  auto Parsed =
      Row && Row->Value ? KeyLeaseRow::fromText(*Row->Value) : std::nullopt;
  this->Version = Row ? Row->Version : 0;
  this->VersionKnown = true;

  // Taking over keys writes this row. If it still holds a row of this process,
  // nobody has taken over keys since this process first wrote it.
  if (!Parsed || Parsed->Process != this->LatestRow.Process) {
    this->markLost();
    return;
  }
  if (!this->Continuous) {
    this->Continuous = true;
    this->ContinuousSince = this->Version;
  }
  this->ExpiresAt =
      std::max(this->ExpiresAt,
               Clock.lastTimeBefore(Parsed->Until).value_or(this->ExpiresAt));
}

std::optional<RowVersion> OwnLease::version() const {
  bool Settled = this->VersionKnown && !this->InFlight;
  return Settled ? std::optional(this->Version) : std::nullopt;
}

void OwnLease::markLost() {
  this->Continuous = false;
  this->ExpiresAt = TimePoint();
}

} // namespace hemlockspar
