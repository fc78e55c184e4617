#include "net/PipelineQueue.h"

#include <algorithm>
#include <limits>

namespace hemlockspar {

PipelineNumber PipelineQueue::add(PipelineKind Kind, std::size_t Bytes) {
  Entry Added;
  Added.Number = ++this->LastNumber;
  Added.Kind = Kind;
  Added.Bytes = Bytes;
  if (Kind == PipelineKind::Unreadable) {
    Added.Progress = State::Ready;
    this->ReadingEnded = true;
  }
  this->Entries.push_back(Added);
  this->Bytes += Bytes;
  return Added.Number;
}

std::vector<PipelineNumber> PipelineQueue::takeStartable() {
  std::vector<PipelineNumber> Startable;
  for (std::size_t Index = 0; Index < this->Entries.size(); ++Index) {
    Entry &Candidate = this->Entries[Index];
    bool Exclusive = Candidate.Kind == PipelineKind::Exclusive;
    if (Exclusive && Index > 0) {
      break;
    }
    if (Candidate.Progress == State::Waiting) {
      Candidate.Progress = State::Running;
      Startable.push_back(Candidate.Number);
    }
    if (Exclusive) {
      break;
    }
  }
  return Startable;
}

void PipelineQueue::setReady(PipelineNumber Number) {
  auto Found =
      std::ranges::find(this->Entries, Number, [](const Entry &Candidate) {
        return Candidate.Number;
      });
  if (Found != this->Entries.end()) {
    Found->Progress = State::Ready;
  }
}

std::optional<PipelineWrite> PipelineQueue::takeWrite(bool KeepAlive) {
  if (this->Writing || this->Entries.empty() ||
      this->Entries.front().Progress != State::Ready) {
    return std::nullopt;
  }

  this->Writing = true;
  bool Closes = this->Entries.size() == 1 && (this->ReadingEnded || !KeepAlive);
  this->ReadingEnded = this->ReadingEnded || Closes;
  return PipelineWrite{this->Entries.front().Number, Closes};
}

void PipelineQueue::onWritten() {
  this->Writing = false;
  this->Bytes -= this->Entries.front().Bytes;
  this->Entries.pop_front();
}

bool PipelineQueue::mayAdd(bool KeepAlive) const {
  return !this->ReadingEnded &&
         (this->Entries.empty() ||
          (KeepAlive && this->Entries.size() < this->Limits.MaxRequests));
}

std::size_t PipelineQueue::allowance(std::size_t Pending) const {
  if (this->Entries.empty()) {
    return std::numeric_limits<std::size_t>::max();
  }
  std::size_t Held = this->Bytes + Pending;
  return this->Limits.MaxBytes - std::min(Held, this->Limits.MaxBytes);
}

} // namespace hemlockspar
