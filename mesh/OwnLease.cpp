#include "mesh/OwnLease.h"

#include "core/Json.h"

namespace hemlockspar {

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
  bool Sound = Value && Value->isObject() && (*Value)["until_ms"].isInt64() &&
               (*Value)["load"].isNumeric();
  if (!Sound) {
    return std::nullopt;
  }

  KeyLeaseRow Row;
  Row.Process = getUnsigned(*Value, "process");
  Row.Count = getUnsigned(*Value, "count");
  Row.Until = std::chrono::milliseconds((*Value)["until_ms"].asInt64());
  Row.Load = (*Value)["load"].asDouble();
  return Row;
}

std::string KeyLeaseRow::key(const InstanceId &Instance) {
  return rowKey(tables::Leases, Instance);
}

OwnLease::OwnLease(InstanceId Instance, std::uint64_t Process, Options Bounds)
    : Instance(std::move(Instance)), Opts(Bounds) {
  this->LatestRow.Process = Process;
}

std::optional<TableTransaction>
OwnLease::prepareRenewal(const StoreClock &Clock, double Load, TimePoint Now) {
  auto StoreTime = Clock.earliest(Now);
  bool Due = this->VersionKnown && !this->InFlight && StoreTime &&
             Now >= this->RetryAt &&
             (this->RenewalRequested ||
              this->ExpiresAt - Now < this->Opts.RenewalThreshold);
  if (!Due) {
    return std::nullopt;
  }

  // Whole milliseconds, as the row shows it.
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
        Clock.certainlyBefore(this->LatestRow.Until).value_or(this->ExpiresAt));
    return;
  case CommitOutcome::Conflict:
    // Perhaps only an earlier write of this process that was done late; the
    // row tells. What was granted until now stays granted.
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

  auto Found =
      Row && Row->Value ? KeyLeaseRow::fromText(*Row->Value) : std::nullopt;
  this->Version = Row ? Row->Version : 0;
  this->VersionKnown = true;

  // Whoever takes keys writes this row, so a row of this process means that
  // nobody has since it was first written.
  if (!Found || Found->Process != this->LatestRow.Process) {
    this->markLost();
    return;
  }
  if (!this->Continuous) {
    this->Continuous = true;
    this->ContinuousSince = this->Version;
  }
  this->ExpiresAt =
      std::max(this->ExpiresAt,
               Clock.certainlyBefore(Found->Until).value_or(this->ExpiresAt));
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
