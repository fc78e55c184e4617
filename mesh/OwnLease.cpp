#include "mesh/OwnLease.h"

#include "core/Json.h"

namespace hemlockspar {

std::string KeyLease::toText() const {
  Json::Value Text;
  Text["process"] = Json::UInt64(this->Process);
  Text["count"] = Json::UInt64(this->Count);
  Text["until_ms"] = Json::Int64(toMilliseconds(this->Until));
  Text["load"] = this->Load;
  return writeJson(Text);
}

std::optional<KeyLease> KeyLease::fromText(const std::string &Text) {
  auto Value = readJson(Text);
  bool Sound = Value && Value->isObject() && (*Value)["until_ms"].isInt64() &&
               (*Value)["load"].isNumeric();
  if (!Sound) {
    return std::nullopt;
  }

  KeyLease Row;
  Row.Process = getUnsigned(*Value, "process");
  Row.Count = getUnsigned(*Value, "count");
  Row.Until = std::chrono::milliseconds((*Value)["until_ms"].asInt64());
  Row.Load = (*Value)["load"].asDouble();
  return Row;
}

std::string KeyLease::key(const InstanceId &Instance) {
  return rowKey(tables::Leases, Instance);
}

OwnLease::OwnLease(InstanceId Instance, std::uint64_t Process, Terms Bounds)
    : Instance(std::move(Instance)), Bounds(Bounds) {
  this->Next.Process = Process;
}

std::optional<TableTransaction> OwnLease::takeDue(const StoreClock &Clock,
                                                  double Load, TimePoint Now) {
  auto StoreTime = Clock.earliestStoreTime(Now);
  bool Due = this->VersionKnown && !this->InFlight && StoreTime &&
             Now >= this->RetryAt &&
             (this->Hurry || this->EndsAt - Now < this->Bounds.RenewBelow);
  if (!Due) {
    return std::nullopt;
  }

  // Whole milliseconds, as the row shows it.
  this->Next.Until = std::chrono::milliseconds(
      toMilliseconds(*StoreTime + this->Bounds.Length));
  this->Next.Load = Load;
  ++this->Next.Count;
  this->InFlight = true;
  this->Hurry = false;

  TableTransaction Write;
  std::string Key = KeyLease::key(this->Instance);
  Write.Conditions.push_back({Key, this->Version});
  Write.Writes.push_back({Key, this->Next.toText()});
  return Write;
}

void OwnLease::onCommit(const StoreCommit &Commit, const StoreClock &Clock,
                        TimePoint Now) {
  this->InFlight = false;

  switch (Commit.Result.Outcome) {
  case CommitOutcome::Committed:
    this->Version = Commit.Result.Version;
    if (!this->Unbroken) {
      this->Unbroken = true;
      this->UnbrokenSince = this->Version;
    }
    this->EndsAt =
        std::max(this->EndsAt,
                 Clock.lastTimeBefore(this->Next.Until).value_or(this->EndsAt));
    return;
  case CommitOutcome::Conflict:
    // Perhaps only an earlier write of this process that was done late; the
    // row tells. What was granted until now stays granted.
    this->VersionKnown = false;
    return;
  case CommitOutcome::Unknown:
    this->VersionKnown = false;
    this->RetryAt = Now + this->Bounds.RetryPause;
    return;
  case CommitOutcome::NotRun:
    this->RetryAt = Now + this->Bounds.RetryPause;
    return;
  }
}

void OwnLease::onRow(const TableRow *Row, const StoreClock &Clock) {
  if (this->InFlight) {
    return;
  }

  auto Found =
      Row && Row->Value ? KeyLease::fromText(*Row->Value) : std::nullopt;
  this->Version = Row ? Row->Version : 0;
  this->VersionKnown = true;

  // Whoever takes keys writes this row, so a row of this process means that
  // nobody has since it was first written.
  if (!Found || Found->Process != this->Next.Process) {
    this->breakOff();
    return;
  }
  if (!this->Unbroken) {
    this->Unbroken = true;
    this->UnbrokenSince = this->Version;
  }
  this->EndsAt = std::max(
      this->EndsAt, Clock.lastTimeBefore(Found->Until).value_or(this->EndsAt));
}

std::optional<RowVersion> OwnLease::version() const {
  bool Settled = this->VersionKnown && !this->InFlight;
  return Settled ? std::optional(this->Version) : std::nullopt;
}

void OwnLease::breakOff() {
  this->Unbroken = false;
  this->EndsAt = TimePoint();
}

} // namespace hemlockspar
