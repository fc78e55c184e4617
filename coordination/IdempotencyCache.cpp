#include "coordination/IdempotencyCache.h"

#include "core/EnumNames.h"

#include <algorithm>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 5> VerdictNames = {
    "run", "replay", "in_progress", "unknown", "mismatch"};

} // namespace

const char *nameOf(IdempotencyVerdict Verdict) {
  return enumName(VerdictNames, Verdict);
}

IdempotencyCache::IdempotencyCache(Limits Bounds) : Bounds(Bounds) {}

IdempotencyVerdict IdempotencyCache::begin(const Attempt &Request,
                                           TimePoint Now) {
  auto It = this->Entries.find(Request.Key);

  if (It != this->Entries.end()) {
    if (It->second.Fingerprint != Request.Fingerprint) {
      return IdempotencyVerdict::Mismatch;
    }

    switch (It->second.State) {
    case Progress::Running:
      return IdempotencyVerdict::InProgress;
    case Progress::Answered:
      return IdempotencyVerdict::Replay;
    case Progress::Unknown:
      return IdempotencyVerdict::Unknown;
    }
  }

  // An earlier owner may have run it, or its entry may have been evicted.
  bool MayHaveRunBefore =
      Request.FirstSentAt && (*Request.FirstSentAt <= Request.OwnedSince ||
                              *Request.FirstSentAt <= this->EvictedUpTo);
  if (MayHaveRunBefore) {
    return IdempotencyVerdict::Unknown;
  }

  Entry NewEntry;
  NewEntry.Fingerprint = Request.Fingerprint;
  NewEntry.StartedAt = Now;
  this->Entries[Request.Key] = NewEntry;
  this->InsertionOrder.push_back(Request.Key);
  this->evict();
  return IdempotencyVerdict::Run;
}

const StoredAnswer *IdempotencyCache::findAnswer(const std::string &Key) const {
  auto It = this->Entries.find(Key);
  bool Kept =
      It != this->Entries.end() && It->second.State == Progress::Answered;
  return Kept ? &It->second.Answer : nullptr;
}

void IdempotencyCache::onAnswered(const std::string &Key, StoredAnswer Answer) {
  if (Answer.Body.size() > this->Bounds.MaxAnswerBytes) {
    this->onUnknown(Key);
    return;
  }

  auto It = this->Entries.find(Key);
  if (It == this->Entries.end()) {
    return;
  }

  this->Bytes += Answer.Body.size();
  It->second.State = Progress::Answered;
  It->second.Answer = std::move(Answer);
  this->evict();
}

void IdempotencyCache::onNotRun(const std::string &Key) {
  this->Entries.erase(Key);
}

void IdempotencyCache::onUnknown(const std::string &Key) {
  auto It = this->Entries.find(Key);
  if (It != this->Entries.end()) {
    It->second.State = Progress::Unknown;
  }
}

void IdempotencyCache::evict() {
  while (!this->InsertionOrder.empty()) {
    bool Over = this->InsertionOrder.size() > this->Bounds.MaxEntries ||
                this->Bytes > this->Bounds.MaxBytes;
    if (!Over) {
      return;
    }

    auto It = this->Entries.find(this->InsertionOrder.front());
    this->InsertionOrder.pop_front();
    if (It == this->Entries.end()) {
      continue;
    }

    this->EvictedUpTo = std::max(this->EvictedUpTo, It->second.StartedAt);
    this->Bytes -= It->second.Answer.Body.size();
    this->Entries.erase(It);
  }
}

} // namespace hemlockspar
