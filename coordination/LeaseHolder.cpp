#include "coordination/LeaseHolder.h"

#include <algorithm>

namespace hemlockspar {

std::size_t majorityOf(std::size_t Count) { return Count / 2 + 1; }

LeaseHolder::LeaseHolder(InstanceId Self, Timing Times)
    : Self(std::move(Self)), Times(Times) {}

void LeaseHolder::adopt(const LeaseRow &Row, RowVersion Version,
                        TimePoint Now) {
  bool Replaces = this->Current && this->Current->Epoch == Row.Epoch &&
                  this->Current->Version == Row.PreviousVersion;

  if (Replaces) {
    this->Previous = std::move(this->Current);
  } else {
    this->Previous.reset();
  }

  this->Current = HeldVersion{};
  this->Current->Version = Version;
  this->Current->Epoch = Row.Epoch;
  this->Current->Witnesses = Row.Witnesses;
  this->Current->AcknowledgedSentAt.resize(Row.Witnesses.size());
  this->Current->AdoptedAt = Now;
  this->LastRenewalRoundAt.reset();
}

void LeaseHolder::reset() {
  this->Current.reset();
  this->Previous.reset();
}

void LeaseHolder::beforeRowWrite() { this->Previous.reset(); }

void LeaseHolder::onTableRenewal(RowVersion Version, TimePoint SentAt) {
  if (this->Current && this->Current->Version == Version) {
    this->Current->TableWriteSentAt = SentAt;
  }
}

std::vector<Renewal> LeaseHolder::renewalsDue(TimePoint Now,
                                              RowVersion CompleteVersion) {
  std::vector<Renewal> Due;

  bool TooEarly = this->LastRenewalRoundAt &&
                  Now - *this->LastRenewalRoundAt < this->Times.RenewInterval;
  if (!this->Current || TooEarly) {
    return Due;
  }

  this->LastRenewalRoundAt = Now;

  RenewalRequest Request;
  Request.Holder = this->Self;
  Request.Version = this->Current->Version;
  Request.Epoch = this->Current->Epoch;
  Request.CompleteVersion = CompleteVersion;

  for (const WitnessRef &Witness : this->Current->Witnesses) {
    Due.push_back({Witness.Instance, Request});
  }

  return Due;
}

void LeaseHolder::onRenewalReply(const InstanceId &Witness,
                                 const RenewalRequest &Request,
                                 const RenewalReply &Reply, TimePoint SentAt) {
  if (!this->Current || Request.Version != this->Current->Version ||
      !Reply.Accepted) {
    return;
  }

  for (std::size_t Index = 0; Index < this->Current->Witnesses.size();
       ++Index) {
    if (this->Current->Witnesses[Index] !=
        WitnessRef{Witness, Reply.Incarnation}) {
      continue;
    }

    auto &Acknowledged = this->Current->AcknowledgedSentAt[Index];
    Acknowledged = std::max(Acknowledged.value_or(SentAt), SentAt);
  }
}

std::optional<TimePoint>
LeaseHolder::leaseStart(const HeldVersion &Lease) const {
  if (Lease.Witnesses.empty()) {
    return Lease.TableWriteSentAt;
  }

  std::vector<TimePoint> SentAt;
  for (const auto &Acknowledged : Lease.AcknowledgedSentAt) {
    if (Acknowledged) {
      SentAt.push_back(*Acknowledged);
    }
  }

  std::size_t Majority = majorityOf(Lease.Witnesses.size());
  if (SentAt.size() < Majority) {
    return std::nullopt;
  }

  // The latest send time that a majority has acknowledged.
  std::sort(SentAt.rbegin(), SentAt.rend());
  return SentAt[Majority - 1];
}

TimePoint
LeaseHolder::leaseExpiry(const std::optional<HeldVersion> &Lease) const {
  if (!Lease) {
    return TimePoint::min();
  }

  auto Start = this->leaseStart(*Lease);
  return Start ? *Start + this->Times.holderLeaseDuration() : TimePoint::min();
}

TimePoint LeaseHolder::expiresAt() const {
  return std::max(this->leaseExpiry(this->Current),
                  this->leaseExpiry(this->Previous));
}

bool LeaseHolder::currentVersionHolds(TimePoint Now) const {
  return Now < this->leaseExpiry(this->Current);
}

std::vector<InstanceId>
LeaseHolder::unresponsiveWitnesses(TimePoint Now) const {
  std::vector<InstanceId> Unresponsive;

  if (!this->Current) {
    return Unresponsive;
  }

  for (std::size_t Index = 0; Index < this->Current->Witnesses.size();
       ++Index) {
    TimePoint LastAcknowledgedAt =
        this->Current->AcknowledgedSentAt[Index].value_or(
            this->Current->AdoptedAt);
    if (Now - LastAcknowledgedAt > this->Times.WitnessTimeout) {
      Unresponsive.push_back(this->Current->Witnesses[Index].Instance);
    }
  }

  return Unresponsive;
}

RowVersion LeaseHolder::version() const {
  return this->Current ? this->Current->Version : 0;
}

bool LeaseHolder::renewsInTable() const {
  return this->Current && this->Current->Witnesses.empty();
}

} // namespace hemlockspar
