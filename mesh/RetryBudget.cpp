#include "mesh/RetryBudget.h"

#include <algorithm>

namespace hemlockspar {

void RetryBudget::setInstanceCount(std::size_t Count) {
  this->InstanceCount = std::max<std::size_t>(Count, 1);
}

void RetryBudget::recordRequest(const std::string &Service, TimePoint Now) {
  Counts &Known = this->ServiceCounts[Service];
  Known.Requests.push_back(Now);
  this->evictExpired(Known, Now);
}

bool RetryBudget::tryConsume(const std::string &Service, TimePoint Now) {
  Counts &Known = this->ServiceCounts[Service];
  this->evictExpired(Known, Now);

  double Part =
      this->Bounds.Allowance / static_cast<double>(this->InstanceCount);
  double Most =
      UsableFraction *
      (this->Bounds.Share * static_cast<double>(Known.Requests.size()) + Part);
  if (static_cast<double>(Known.Retries.size()) + 1 > Most) {
    return false;
  }
  Known.Retries.push_back(Now);
  return true;
}

void RetryBudget::evictExpired(Counts &Known, TimePoint Now) const {
  TimePoint Oldest = Now - this->Bounds.Window;
  for (std::deque<TimePoint> *Times : {&Known.Requests, &Known.Retries}) {
    while (!Times->empty() && Times->front() < Oldest) {
      Times->pop_front();
    }
  }
}

} // namespace hemlockspar
