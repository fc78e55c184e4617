#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace hemlockspar {

/// How to proceed with a request that carries an idempotency key.
enum class IdempotencyVerdict {
  /// It has not run; it may be dispatched.
  Run,
  /// It has run; the stored answer is replayed.
  Replay,
  /// It is running.
  InProgress,
  /// It is not known whether it ran.
  Unknown,
  /// The key was used for another request.
  Mismatch,
};

/// Name of \p Verdict for logs.
const char *nameOf(IdempotencyVerdict Verdict);

/// An answer stored for retries of the request.
struct StoredAnswer {
  unsigned Status = 0;
  std::string ContentType;
  std::string Body;
};

/// Stores, at the owner, which requests with an idempotency key ran, and their
/// answers. Bounded in entries and bytes; a request marked as a retry whose
/// entry may have been evicted is Unknown. Performs no I/O.
class IdempotencyCache {
public:
  struct Limits {
    std::size_t MaxEntries = 20000;
    std::size_t MaxBytes = 8 << 20;

    /// Larger answers are not stored; a retry of the request is then Unknown.
    std::size_t MaxAnswerBytes = 64 << 10;
  };

  explicit IdempotencyCache(Limits Bounds);

  struct Attempt {
    /// Key space, key and idempotency key.
    std::string Key;

    /// Hash of method, target and body.
    std::uint64_t Fingerprint = 0;

    /// When the caller first sent the request; nothing for a first attempt.
    std::optional<TimePoint> FirstSentAt;

    /// When this instance became the owner of the key.
    TimePoint OwnedSince;
  };

  /// Decides on \p Request and, when it may run, records it as running.
  IdempotencyVerdict begin(const Attempt &Request, TimePoint Now);

  /// The answer stored for \p Key, or null.
  const StoredAnswer *findAnswer(const std::string &Key) const;

  void onAnswered(const std::string &Key, StoredAnswer Answer);

  /// The request provably did not run; removes its entry.
  void onNotRun(const std::string &Key);

  /// The request may have run.
  void onUnknown(const std::string &Key);

  std::size_t size() const { return this->Entries.size(); }

private:
  enum class Progress { Running, Answered, Unknown };

  struct Entry {
    std::uint64_t Fingerprint = 0;
    Progress State = Progress::Running;
    StoredAnswer Answer;
    TimePoint StartedAt;
  };

  void evict();

  Limits Bounds;
  std::unordered_map<std::string, Entry> Entries;
  std::deque<std::string> InsertionOrder;
  std::size_t Bytes = 0;

  /// Entries of requests that started up to this time may have been evicted.
  TimePoint EvictedUpTo;
};

} // namespace hemlockspar
