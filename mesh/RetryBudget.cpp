#include "mesh/RetryBudget.h"

#include <algorithm>

namespace hemlockspar {

void RetryBudget::setInstanceCount(std::size_t Count) {
  this->InstanceCount = std::max<std::size_t>(Count, 1);
}

void RetryBudget::recordRequest(const std::string &Service, TimePoint Now) {
  Counts &Current = this->ServiceCounts[Service];
  Current.Requests.push_back(Now);
  this->evictExpired(Current, Now);
}

bool RetryBudget::tryConsume(const std::string &Service, TimePoint Now,
                             RetryUrgency Urgency) {
  Counts &Current = this->ServiceCounts[Service];
  this->evictExpired(Current, Now);

  double OwnAllowance =
      this->Bounds.Allowance / static_cast<double>(this->InstanceCount);
  double MaxRetries =
      UsableFraction *
      (this->Bounds.Share * static_cast<double>(Current.Requests.size()) +
       OwnAllowance);
  if (static_cast<double>(Current.Retries.size()) + 1 > MaxRetries) {
    return false;
  }
  if (Urgency == RetryUrgency::LessUrgent) {
    if (static_cast<double>(Current.LessUrgentRetries.size()) + 1 >
        LessUrgentFraction * MaxRetries) {
      return false;
    }
    Current.LessUrgentRetries.push_back(Now);
  }
  Current.Retries.push_back(Now);
  return true;
}

void RetryBudget::evictExpired(Counts &Current, TimePoint Now) const {
  TimePoint Oldest = Now - this->Bounds.Window;
  for (std::deque<TimePoint> *Times :
       {&Current.Requests, &Current.Retries, &Current.LessUrgentRetries}) {
    while (!Times->empty() && Times->front() < Oldest) {
      Times->pop_front();
    }
  }
}

} // namespace hemlockspar
