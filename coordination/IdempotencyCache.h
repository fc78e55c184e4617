#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace hemlockspar {

/// What may be done with a request that carries an idempotency key.
enum class IdempotencyVerdict {
  /// It has not run; it may be dispatched.
  Run,
  /// It has run; the answer is kept.
  Replay,
  /// It is running now.
  InProgress,
  /// Whether it ran cannot be told.
  Unknown,
  /// The key was used for another request.
  Mismatch,
};

/// Name of \p Verdict for logs.
const char *nameOf(IdempotencyVerdict Verdict);

/// An answer kept for repeats.
struct StoredAnswer {
  unsigned Status = 0;
  std::string ContentType;
  std::string Body;
};

/// Remembers, at the owner, which requests with an idempotency key ran and
/// what was answered. Bounded in entries and bytes; what it has had to forget
/// counts as unknown for a marked repeat. Free of I/O.
class IdempotencyCache {
public:
  struct Limits {
    std::size_t MaxEntries = 20000;
    std::size_t MaxBytes = 8 << 20;

    /// A larger answer is not kept; a repeat of it is unknown.
    std::size_t MaxAnswerBytes = 64 << 10;
  };

  explicit IdempotencyCache(Limits Bounds);

  struct Attempt {
    /// Key space, key and idempotency key.
    std::string Key;

    /// Hash of method, target and body.
    std::uint64_t Fingerprint = 0;

    /// When the caller first sent it; nothing for a first attempt.
    std::optional<TimePoint> FirstSentAt;

    /// Since when this instance owns the key.
    TimePoint OwnedSince;
  };

  /// Decides on \p Request and, when it may run, notes that it does.
  IdempotencyVerdict begin(const Attempt &Request, TimePoint Now);

  /// The answer kept for \p Key, or null.
  const StoredAnswer *findAnswer(const std::string &Key) const;

  void onAnswered(const std::string &Key, StoredAnswer Answer);

  /// It certainly did not run: as if it had never come.
  void onNotRun(const std::string &Key);

  /// It may have run.
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

  /// Requests that began up to here may have been forgotten.
  TimePoint EvictedUpTo;
};

} // namespace hemlockspar
