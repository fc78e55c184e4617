#include "mesh/placement/ColdStartLimiter.h"

#include <algorithm>
#include <cmath>

namespace hemlockspar {

namespace {

constexpr auto Window = std::chrono::seconds(1);

/// After the cold the limit doubles once in this time, this many times; then it
/// is far above what a server's slots can run.
constexpr double DoublingSeconds = 0.5;
constexpr double Doublings = 6;

/// Part of the limit that requests less urgent than refused ones may use.
constexpr std::size_t LessUrgentDivisor = 4;

double seconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

void ColdStartLimiter::setTolerated(double RequestsPerSecond) {
  this->Tolerated = RequestsPerSecond;
}

bool ColdStartLimiter::isActive(TimePoint Now) const {
  return this->Tolerated > 0 &&
         seconds(Now - this->ColdUntil) < DoublingSeconds * Doublings;
}

Duration ColdStartLimiter::coldLeft(TimePoint Now) const {
  return this->Tolerated > 0
             ? std::max<Duration>(this->ColdUntil - Now, Duration::zero())
             : Duration::zero();
}

double ColdStartLimiter::rate(TimePoint Now) const {
  double SinceCold = std::max(seconds(Now - this->ColdUntil), 0.0);
  return this->Tolerated * std::exp2(SinceCold / DoublingSeconds);
}

Duration ColdStartLimiter::window(TimePoint Now) const {
  // A rate below one per second allows one request in a longer window.
  if (this->Tolerated <= 0) {
    return Window;
  }
  double Rate = std::min(this->rate(Now), 1.0);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds(Window) / Rate));
}

std::size_t ColdStartLimiter::limit(TimePoint Now) const {
  return std::max<std::size_t>(static_cast<std::size_t>(this->rate(Now)), 1);
}

void ColdStartLimiter::forgetOld(TimePoint Now) {
  Duration Kept = this->window(Now);
  while (!this->Sent.empty() && Now - this->Sent.front().SentAt >= Kept) {
    this->Sent.pop_front();
  }
}

bool ColdStartLimiter::wasRefusedRecently(std::uint32_t LessThan,
                                          TimePoint Now) const {
  auto End = this->RefusedAt.lower_bound(LessThan);
  return std::any_of(this->RefusedAt.begin(), End, [&](const auto &Entry) {
    return Now - Entry.second < Window;
  });
}

bool ColdStartLimiter::tryReserve(std::uint32_t Rank, TimePoint Now) {
  this->forgetOld(Now);
  if (!this->isActive(Now)) {
    ++this->Reserved;
    return true;
  }

  std::size_t Limit = this->limit(Now);
  bool Fits = this->Sent.size() + this->Reserved < Limit;
  if (Fits && this->wasRefusedRecently(Rank, Now)) {
    auto LessUrgent = static_cast<std::size_t>(std::count_if(
        this->Sent.begin(), this->Sent.end(),
        [&](const SentRequest &Entry) { return Entry.Rank >= Rank; }));
    Fits = LessUrgent < std::max<std::size_t>(Limit / LessUrgentDivisor, 1);
  }
  if (!Fits) {
    this->RefusedAt[Rank] = Now;
    return false;
  }
  ++this->Reserved;
  return true;
}

bool ColdStartLimiter::trySend(std::uint32_t Rank, TimePoint Now) {
  this->onDropped();
  this->forgetOld(Now);
  if (this->room(Now) == 0U) {
    this->RefusedAt[Rank] = Now;
    return false;
  }
  this->Sent.push_back({Now, Rank});
  return true;
}

void ColdStartLimiter::onDropped() {
  this->Reserved -= this->Reserved > 0 ? 1 : 0;
}

std::optional<std::size_t> ColdStartLimiter::room(TimePoint Now) const {
  if (!this->isActive(Now)) {
    return std::nullopt;
  }
  Duration Kept = this->window(Now);
  auto Counted = static_cast<std::size_t>(std::count_if(
      this->Sent.begin(), this->Sent.end(),
      [&](const SentRequest &Entry) { return Now - Entry.SentAt < Kept; }));
  std::size_t Limit = this->limit(Now);
  return Limit - std::min(Limit, Counted);
}

std::size_t ColdStartLimiter::sentLately(TimePoint Now) const {
  return static_cast<std::size_t>(std::count_if(
      this->Sent.begin(), this->Sent.end(),
      [&](const SentRequest &Entry) { return Now - Entry.SentAt < Window; }));
}

Duration ColdStartLimiter::untilNext(TimePoint Now) const {
  if (this->Sent.empty() || !this->isActive(Now)) {
    return Duration::zero();
  }
  std::size_t Limit = this->limit(Now);
  std::size_t Ahead =
      this->Sent.size() >= Limit ? this->Sent.size() - Limit : 0;
  return std::max<Duration>(this->Sent[Ahead].SentAt + this->window(Now) - Now,
                            Duration::zero());
}

} // namespace hemlockspar
