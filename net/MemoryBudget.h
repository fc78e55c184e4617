#pragma once

#include "core/Clock.h"

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <memory>

namespace hemlockspar {

/// What memory is held for.
enum class HolderKind {
  /// A connection: its coroutine and an empty parser buffer.
  Connection,
  /// A request that is being read or served.
  Request,
  /// A response that is being received or sent.
  Response,
};

/// Name of \p Kind for metrics.
const char *nameOf(HolderKind Kind);

/// Number of kinds of holders.
inline constexpr std::size_t HolderKindCount = 3;

/// Messages up to this size are small.
inline constexpr std::uint64_t SmallMessageBytes = 64 << 10;

/// Memory that one connection costs while it carries nothing. Measured: 600
/// idle connections occupy 13 KiB each.
inline constexpr std::uint64_t ConnectionBytes = 16 << 10;

/// Limits what a process holds on behalf of others. Answers the load pattern of
/// clients that each stay within the limits of one message, but together send
/// more than the memory holds, and leave their transfers incomplete. A part of
/// the budget is reserved for small messages. When the budget is short,
/// transfers without progress are dropped, the longest without progress first;
/// one that makes progress is not. Free of I/O; used from one thread.
class MemoryBudget {
public:
  /// Amounts by kind.
  struct Usage {
    std::uint64_t HeldBytes = 0;
    std::uint64_t Refused = 0;
    std::uint64_t Dropped = 0;
  };

  class Reservation;

  /// A budget that never refuses.
  MemoryBudget() = default;

  /// The budget of a machine with \p MemoryMb megabytes of memory.
  explicit MemoryBudget(std::uint64_t MemoryMb);

  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  const Usage &usage(HolderKind Kind) const {
    return this->Usages[static_cast<std::size_t>(Kind)];
  }

  /// Most bytes that large messages may occupy together.
  std::uint64_t largeLimit() const { return this->LargeLimit; }

private:
  bool makeRoom(std::uint64_t Total, std::uint64_t Large,
                const Reservation *For, TimePoint Now);
  Usage &usageOf(HolderKind Kind) {
    return this->Usages[static_cast<std::size_t>(Kind)];
  }

  std::uint64_t TotalLimit = std::numeric_limits<std::uint64_t>::max() / 2;
  std::uint64_t LargeLimit = std::numeric_limits<std::uint64_t>::max() / 2;
  std::uint64_t TotalBytes = 0;
  std::uint64_t LargeBytes = 0;
  std::array<Usage, HolderKindCount> Usages;

  /// Reservations that may be dropped, the longest without progress first.
  std::list<Reservation *> Droppable;
};

/// Coroutines that are destroyed with their event loop release what they hold,
/// so the budget is shared.
using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

/// Bytes held for one connection or message; released on destruction.
class MemoryBudget::Reservation {
public:
  Reservation(MemoryBudgetPtr Shared, HolderKind Kind)
      : Shared(std::move(Shared)), Budget(*this->Shared), Kind(Kind) {}
  ~Reservation() { this->release(); }

  Reservation(const Reservation &) = delete;
  Reservation &operator=(const Reservation &) = delete;

  /// From now on the reservation may be dropped while it makes no progress. \p
  /// OnDrop is called at that moment and must end the transfer.
  void setDroppable(std::function<void()> OnDrop, TimePoint Now);

  /// From now on the reservation is not dropped.
  void pin();

  /// Increases the reservation to \p Bytes in total. Returns false when the
  /// budget is short or the reservation was dropped; it is unchanged then.
  bool grow(std::uint64_t Bytes, TimePoint Now);

  /// As grow, for bytes that are held already and can't be refused.
  void charge(std::uint64_t Bytes, TimePoint Now);

  /// Records that the transfer has made progress.
  void onProgress(TimePoint Now);

  void release();
  bool isDroppable() const { return static_cast<bool>(this->OnDrop); }
  bool isDropped() const { return this->Dropped; }

private:
  friend class MemoryBudget;

  bool isLarge() const { return this->Bytes > SmallMessageBytes; }
  void resize(std::uint64_t NewBytes);
  void drop();

  MemoryBudgetPtr Shared;
  MemoryBudget &Budget;
  HolderKind Kind;
  std::uint64_t Bytes = 0;
  bool Dropped = false;
  TimePoint LastProgress;

  /// Null when the reservation may not be dropped.
  std::function<void()> OnDrop;
  std::list<Reservation *>::iterator Position;
};

} // namespace hemlockspar
