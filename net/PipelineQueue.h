#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace hemlockspar {

/// Limits on what one connection may have read and not yet answered.
struct PipelineLimits {
  std::size_t MaxRequests = 16;
  std::size_t MaxBytes = 64 << 10;
};

/// How a request runs relative to the others of its connection.
enum class PipelineKind {
  /// Safe to abandon: runs side by side with its neighbours of the same kind.
  Concurrent,
  /// Runs after all before it are answered; those after it wait for it.
  Exclusive,
  /// Could not be read. Its response is known and is the last one.
  Unreadable,
};

/// Number of a request on its connection.
using PipelineNumber = std::uint64_t;

/// A response that may be written now.
struct PipelineWrite {
  PipelineNumber Number = 0;

  /// Whether the connection closes after this response.
  bool Closes = false;
};

/// Decides in which order the requests of one connection are passed on and
/// answered, and how much may be read ahead. Handles callers that send further
/// requests before the first is answered: reading them late would use up their
/// time, and reading all of them would hold an unbounded amount of input.
/// Performs no I/O.
class PipelineQueue {
public:
  explicit PipelineQueue(const PipelineLimits &Limits) : Limits(Limits) {}

  /// Appends a request of \p Bytes bytes. Must not be called after reading has
  /// ended.
  PipelineNumber add(PipelineKind Kind, std::size_t Bytes);

  /// The requests that are to be passed on now, in order; each is returned
  /// once.
  std::vector<PipelineNumber> takeStartable();

  /// The response to \p Number is known.
  void setReady(PipelineNumber Number);

  /// The next response in order if it is ready and none is being written. Its
  /// connection closes after the last response when reading has ended or
  /// \p KeepAlive is false; reading has then ended as well.
  std::optional<PipelineWrite> takeWrite(bool KeepAlive);

  /// The response returned by takeWrite has been written.
  void onWritten();

  /// No further request is added: the response to the last one that was added
  /// closes the connection. At least one must be unanswered and not yet taken
  /// to be written.
  void endReading() { this->ReadingEnded = true; }
  bool hasReadingEnded() const { return this->ReadingEnded; }

  /// Whether one more request may be added. Without \p KeepAlive, only the
  /// first of a connection that has nothing unanswered.
  bool mayAdd(bool KeepAlive) const;

  /// Number of bytes that may be read now while \p Pending bytes are read and
  /// belong to no complete request. A request that has the connection for
  /// itself is limited by its body's limit alone, since a body may be longer
  /// than what is read ahead.
  std::size_t allowance(std::size_t Pending) const;

  bool isEmpty() const { return this->Entries.empty(); }

  /// Number of unanswered requests.
  std::size_t size() const { return this->Entries.size(); }

private:
  enum class State { Waiting, Running, Ready };

  struct Entry {
    PipelineNumber Number = 0;
    PipelineKind Kind = PipelineKind::Concurrent;
    std::size_t Bytes = 0;
    State Progress = State::Waiting;
  };

  PipelineLimits Limits;
  std::deque<Entry> Entries;
  PipelineNumber LastNumber = 0;
  std::size_t Bytes = 0;
  bool Writing = false;
  bool ReadingEnded = false;
};

} // namespace hemlockspar
