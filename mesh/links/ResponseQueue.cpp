#include "mesh/links/ResponseQueue.h"

namespace hemlockspar {

namespace {

/// A response that has waited for this long leaves before more urgent ones, so
/// that a steady flow of those does not keep it back until its deadline.
constexpr auto MaxOvertakingTime = std::chrono::seconds(1);

} // namespace

ResponseQueue::Urgency
ResponseQueue::urgencyOf(const QueuedResponse &Response) {
  return {Response.Rank, Response.ObjectiveAt, Response.Number};
}

void ResponseQueue::add(const QueuedResponse &Response) {
  this->Waiting[Response.Number] = Response;
  this->ByUrgency.insert(urgencyOf(Response));
  this->BytesByRank[Response.Rank] += Response.Bytes;
}

void ResponseQueue::removeWaiting(const QueuedResponse &Response) {
  auto Sum = this->BytesByRank.find(Response.Rank);
  Sum->second -= Response.Bytes;
  if (Sum->second == 0) {
    this->BytesByRank.erase(Sum);
  }
  this->ByUrgency.erase(urgencyOf(Response));
  this->Waiting.erase(Response.Number);
}

bool ResponseQueue::cancel(std::uint64_t Number) {
  auto Found = this->Waiting.find(Number);
  if (Found != this->Waiting.end()) {
    this->removeWaiting(QueuedResponse(Found->second));
    return true;
  }
  auto FoundLate = this->Late.find(Number);
  if (FoundLate == this->Late.end()) {
    return false;
  }
  this->LateBytes -= FoundLate->second.Bytes;
  this->Late.erase(FoundLate);
  return true;
}

std::optional<QueuedResponse> ResponseQueue::takeNext(TimePoint Now) {
  while (!this->Waiting.empty()) {
    const QueuedResponse &Oldest = this->Waiting.begin()->second;
    QueuedResponse Next =
        Now - Oldest.ReadyAt >= MaxOvertakingTime
            ? Oldest
            : this->Waiting.at(std::get<2>(*this->ByUrgency.begin()));
    this->removeWaiting(Next);
    if (Now + this->transferTime(Next.Bytes) <= Next.Deadline) {
      return Next;
    }
    // Sent now, it would make the others late as well.
    this->Late[Next.Number] = Next;
    this->LateBytes += Next.Bytes;
  }
  if (this->Late.empty()) {
    return std::nullopt;
  }
  QueuedResponse Next = this->Late.begin()->second;
  this->Late.erase(this->Late.begin());
  this->LateBytes -= Next.Bytes;
  return Next;
}

std::optional<std::uint64_t> ResponseQueue::startNext(TimePoint Now) {
  if (this->Link.expectedWait(Now) > Duration::zero()) {
    return std::nullopt;
  }
  std::optional<QueuedResponse> Next = this->takeNext(Now);
  if (!Next) {
    return std::nullopt;
  }
  this->Link.admit(Next->Bytes, Now);
  return Next->Number;
}

std::optional<TimePoint> ResponseQueue::nextStartAt(TimePoint Now) const {
  return this->size() == 0 ? std::nullopt
                           : std::optional(Now + this->Link.expectedWait(Now));
}

Duration ResponseQueue::backlog(TimePoint Now) const {
  std::uint64_t Bytes = this->LateBytes;
  for (const auto &[Rank, Sum] : this->BytesByRank) {
    Bytes += Sum;
  }
  return this->Link.expectedWait(Now) + this->transferTime(Bytes);
}

Duration ResponseQueue::backlogBefore(std::uint32_t Rank, TimePoint Now) const {
  std::uint64_t Bytes = 0;
  auto End = this->BytesByRank.upper_bound(Rank);
  for (auto Sum = this->BytesByRank.begin(); Sum != End; ++Sum) {
    Bytes += Sum->second;
  }
  return this->Link.expectedWait(Now) + this->transferTime(Bytes);
}

} // namespace hemlockspar
