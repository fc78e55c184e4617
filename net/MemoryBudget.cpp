#include "net/MemoryBudget.h"

#include "core/EnumNames.h"

#include <vector>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, HolderKindCount> KindNames = {
    "connection", "request", "response"};

constexpr std::uint64_t BytesPerMb = 1000000;

/// The rest is for the process itself and for what the allocator can't reuse.
constexpr std::uint64_t BudgetNumerator = 3;
constexpr std::uint64_t BudgetDenominator = 5;

/// One of so many parts of the budget is reserved for small messages.
constexpr std::uint64_t SmallShareDenominator = 4;

/// A transfer counts as stalled after so long without progress: two
/// retransmissions of a lost packet between regions take less.
constexpr auto StallTime = std::chrono::seconds(2);

} // namespace

const char *nameOf(HolderKind Kind) { return enumName(KindNames, Kind); }

MemoryBudget::MemoryBudget(std::uint64_t MemoryMb)
    : TotalLimit(MemoryMb * BytesPerMb * BudgetNumerator / BudgetDenominator),
      LargeLimit(TotalLimit - TotalLimit / SmallShareDenominator) {}

bool MemoryBudget::makeRoom(std::uint64_t Total, std::uint64_t Large,
                            const Reservation *For, TimePoint Now) {
  std::uint64_t ExcessTotal =
      Total > this->TotalLimit ? Total - this->TotalLimit : 0;
  std::uint64_t ExcessLarge =
      Large > this->LargeLimit ? Large - this->LargeLimit : 0;
  std::vector<Reservation *> Victims;

  for (Reservation *Held : this->Droppable) {
    bool Enough = ExcessTotal == 0 && ExcessLarge == 0;
    if (Enough || Now - Held->LastProgress < StallTime) {
      break;
    }
    bool Helps =
        Held->Bytes > 0 && Held != For && (ExcessTotal > 0 || Held->isLarge());
    if (Helps) {
      Victims.push_back(Held);
      ExcessTotal -= std::min(ExcessTotal, Held->Bytes);
      ExcessLarge -= std::min(ExcessLarge, Held->isLarge() ? Held->Bytes : 0);
    }
  }
  if (ExcessTotal > 0 || ExcessLarge > 0) {
    return false;
  }
  for (Reservation *Victim : Victims) {
    Victim->drop();
  }
  return true;
}

void MemoryBudget::Reservation::setDroppable(std::function<void()> Callback,
                                             TimePoint Now) {
  this->pin();
  this->OnDrop = std::move(Callback);
  this->LastProgress = Now;
  this->Position =
      this->Budget.Droppable.insert(this->Budget.Droppable.end(), this);
}

void MemoryBudget::Reservation::pin() {
  if (this->OnDrop) {
    this->Budget.Droppable.erase(this->Position);
    this->OnDrop = nullptr;
  }
}

bool MemoryBudget::Reservation::grow(std::uint64_t NewBytes, TimePoint Now) {
  if (this->Dropped || NewBytes <= this->Bytes) {
    return !this->Dropped;
  }
  std::uint64_t Total = this->Budget.TotalBytes - this->Bytes + NewBytes;
  std::uint64_t Large = NewBytes > SmallMessageBytes
                            ? this->Budget.LargeBytes -
                                  (this->isLarge() ? this->Bytes : 0) + NewBytes
                            : 0;
  if (!this->Budget.makeRoom(Total, Large, this, Now)) {
    ++this->Budget.usageOf(this->Kind).Refused;
    return false;
  }
  this->resize(NewBytes);
  return true;
}

void MemoryBudget::Reservation::charge(std::uint64_t NewBytes, TimePoint Now) {
  if (!this->grow(NewBytes, Now) && !this->Dropped) {
    --this->Budget.usageOf(this->Kind).Refused;
    this->resize(NewBytes);
  }
}

void MemoryBudget::Reservation::onProgress(TimePoint Now) {
  this->LastProgress = Now;
  if (this->OnDrop) {
    std::list<Reservation *> &All = this->Budget.Droppable;
    All.splice(All.end(), All, this->Position);
  }
}

void MemoryBudget::Reservation::release() {
  this->pin();
  this->resize(0);
}

void MemoryBudget::Reservation::resize(std::uint64_t NewBytes) {
  Usage &Used = this->Budget.usageOf(this->Kind);
  this->Budget.TotalBytes -= this->Bytes;
  this->Budget.LargeBytes -= this->isLarge() ? this->Bytes : 0;
  Used.HeldBytes -= this->Bytes;
  this->Bytes = NewBytes;
  this->Budget.TotalBytes += this->Bytes;
  this->Budget.LargeBytes += this->isLarge() ? this->Bytes : 0;
  Used.HeldBytes += this->Bytes;
}

void MemoryBudget::Reservation::drop() {
  std::function<void()> Callback = std::move(this->OnDrop);
  this->Budget.Droppable.erase(this->Position);
  this->OnDrop = nullptr;
  this->Dropped = true;
  ++this->Budget.usageOf(this->Kind).Dropped;
  this->resize(0);
  Callback();
}

} // namespace hemlockspar
