#include "coordination/OutcomeLedger.h"

#include "core/EnumNames.h"

#include <algorithm>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 5> VerdictNames = {
    "run", "replay", "in_progress", "unknown", "mismatch"};

} // namespace

const char *nameOf(LedgerVerdict Verdict) {
  return enumName(VerdictNames, Verdict);
}

OutcomeLedger::OutcomeLedger(Limits Bounds) : Bounds(Bounds) {}

LedgerVerdict OutcomeLedger::begin(const Attempt &Request, TimePoint Now) {
  auto Place = this->Entries.find(Request.Key);

  if (Place != this->Entries.end()) {
    if (Place->second.Fingerprint != Request.Fingerprint) {
      return LedgerVerdict::Mismatch;
    }

    switch (Place->second.State) {
    case Progress::Running:
      return LedgerVerdict::InProgress;
    case Progress::Answered:
      return LedgerVerdict::Replay;
    case Progress::Unknown:
      return LedgerVerdict::Unknown;
    }
  }

  // An earlier owner may have run it, or the entry may have been forgotten.
  bool BeforeMemory =
      Request.FirstSentAt && (*Request.FirstSentAt <= Request.OwnedSince ||
                              *Request.FirstSentAt <= this->ForgottenUpto);
  if (BeforeMemory) {
    return LedgerVerdict::Unknown;
  }

  Entry Begun;
  Begun.Fingerprint = Request.Fingerprint;
  Begun.BeganAt = Now;
  this->Entries[Request.Key] = Begun;
  this->Oldest.push_back(Request.Key);
  this->evict();
  return LedgerVerdict::Run;
}

const StoredAnswer *OutcomeLedger::find(const std::string &Key) const {
  auto Place = this->Entries.find(Key);
  bool Kept =
      Place != this->Entries.end() && Place->second.State == Progress::Answered;
  return Kept ? &Place->second.Answer : nullptr;
}

void OutcomeLedger::onAnswered(const std::string &Key, StoredAnswer Answer) {
  if (Answer.Body.size() > this->Bounds.MaxAnswerBytes) {
    this->onUnknown(Key);
    return;
  }

  auto Place = this->Entries.find(Key);
  if (Place == this->Entries.end()) {
    return;
  }

  this->Bytes += Answer.Body.size();
  Place->second.State = Progress::Answered;
  Place->second.Answer = std::move(Answer);
  this->evict();
}

void OutcomeLedger::onNotRun(const std::string &Key) {
  this->Entries.erase(Key);
}

void OutcomeLedger::onUnknown(const std::string &Key) {
  auto Place = this->Entries.find(Key);
  if (Place != this->Entries.end()) {
    Place->second.State = Progress::Unknown;
  }
}

void OutcomeLedger::evict() {
  while (!this->Oldest.empty()) {
    bool Over = this->Oldest.size() > this->Bounds.MaxEntries ||
                this->Bytes > this->Bounds.MaxBytes;
    if (!Over) {
      return;
    }

    auto Place = this->Entries.find(this->Oldest.front());
    this->Oldest.pop_front();
    if (Place == this->Entries.end()) {
      continue;
    }

    this->ForgottenUpto = std::max(this->ForgottenUpto, Place->second.BeganAt);
    this->Bytes -= Place->second.Answer.Body.size();
    this->Entries.erase(Place);
  }
}

} // namespace hemlockspar
