#include "mesh/RetryBudget.h"

#include <algorithm>

namespace hemlockspar {

void RetryBudget::setInstances(std::size_t Count) {
  this->Instances = std::max<std::size_t>(Count, 1);
}

void RetryBudget::onRequest(const std::string &Service, TimePoint Now) {
  Counts &Known = this->Services[Service];
  Known.Requests.push_back(Now);
  this->forgetOld(Known, Now);
}

bool RetryBudget::take(const std::string &Service, TimePoint Now) {
  Counts &Known = this->Services[Service];
  this->forgetOld(Known, Now);

  double Part = this->Bounds.Allowance / static_cast<double>(this->Instances);
  double Most =
      Reserve *
      (this->Bounds.Share * static_cast<double>(Known.Requests.size()) + Part);
  if (static_cast<double>(Known.Repeats.size()) + 1 > Most) {
    return false;
  }
  Known.Repeats.push_back(Now);
  return true;
}

void RetryBudget::forgetOld(Counts &Known, TimePoint Now) const {
  TimePoint Oldest = Now - this->Bounds.Window;
  for (std::deque<TimePoint> *Times : {&Known.Requests, &Known.Repeats}) {
    while (!Times->empty() && Times->front() < Oldest) {
      Times->pop_front();
    }
  }
}

} // namespace hemlockspar
