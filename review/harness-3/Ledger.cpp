#include "review/harness-3/Ledger.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace hemlockspar::review3 {

namespace {

/// One key of so many is sampled.
constexpr std::uint32_t SampleStep = 64;

bool holds(const std::vector<HeldRange> &Ranges, std::uint32_t Key,
           TimePoint Now) {
  return std::any_of(Ranges.begin(), Ranges.end(), [&](const HeldRange &Range) {
    return Range.First <= Key && Key <= Range.Last && Now < Range.Until;
  });
}

} // namespace

Ledger::Ledger(const std::string &Path, bool Append)
    : File(Path, Append ? std::ios::app : std::ios::trunc) {}

void Ledger::note(const std::string &Line) {
  std::lock_guard Lock(this->Mutex);
  this->noteLocked(Line);
}

void Ledger::noteLocked(const std::string &Line) {
  auto Elapsed = toMilliseconds(BootClock::now().time_since_epoch());
  this->File << absl::StrCat(Elapsed, " ms ", Line, "\n") << std::flush;
}

bool Ledger::checkFences(const std::string &Server, const HeldRange &Taken) {
  std::uint32_t Count = 0;
  std::uint64_t Seen = 0;
  std::string Other;
  for (std::uint32_t Key = Taken.First; Key <= Taken.Last; ++Key) {
    Holder &Last = this->Highest[Key];
    bool Low = !Last.Server.empty() && Last.Server != Server &&
               Taken.Fence <= Last.Fence;
    if (Low) {
      Count += this->LowFence[Key] ? 0 : 1;
      this->LowFence[Key] = true;
      Seen = Last.Fence;
      Other = Last.Server;
    }
    if (Taken.Fence > Last.Fence || Last.Server.empty()) {
      Last = {Taken.Fence, Server};
    }
  }
  if (Count > 0) {
    this->noteLocked(absl::StrCat("OWNER ", Server, " takes ", Count,
                                  " keys of ", Taken.First, "..", Taken.Last,
                                  " with fence ", Taken.Fence, ", ", Other,
                                  " had them with ", Seen));
  }
  return Count == 0;
}

void Ledger::setHeld(const std::string &Server,
                     const std::vector<HeldRange> &Ranges) {
  std::lock_guard Lock(this->Mutex);
  std::string Text;
  for (const HeldRange &Range : Ranges) {
    this->checkFences(Server, Range);
    absl::StrAppend(&Text, " ", Range.First, "..", Range.Last, "/",
                    Range.Fence);
  }
  auto Same = [](const HeldRange &Left, const HeldRange &Right) {
    return Left.First == Right.First && Left.Last == Right.Last &&
           Left.Fence == Right.Fence;
  };
  const std::vector<HeldRange> &Before = this->Held[Server];
  if (!std::equal(Before.begin(), Before.end(), Ranges.begin(), Ranges.end(),
                  Same)) {
    this->noteLocked(absl::StrCat(Server, " holds", Text));
  }
  this->Held[Server] = Ranges;
}

void Ledger::sample() {
  std::lock_guard Lock(this->Mutex);
  TimePoint Now = BootClock::now();
  for (std::uint32_t Key = 0; Key < KeyCount; Key += SampleStep) {
    auto Holders = std::count_if(
        this->Held.begin(), this->Held.end(),
        [&](const auto &Entry) { return holds(Entry.second, Key, Now); });
    if (Holders < 2) {
      this->OverlapSince.erase(Key);
      continue;
    }
    auto Since = this->OverlapSince.emplace(Key, Now).first->second;
    this->Longest = std::max<Duration>(this->Longest, Now - Since);
  }
}

std::uint32_t Ledger::keysWithLowFence() const {
  std::lock_guard Lock(this->Mutex);
  return static_cast<std::uint32_t>(
      std::count(this->LowFence.begin(), this->LowFence.end(), true));
}

Duration Ledger::longestOverlap() const {
  std::lock_guard Lock(this->Mutex);
  return this->Longest;
}

} // namespace hemlockspar::review3
