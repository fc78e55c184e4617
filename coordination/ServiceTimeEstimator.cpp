#include "coordination/ServiceTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace hemlockspar {

namespace {

constexpr double ClassWeight = 0.1;
constexpr double TypicalWeight = 0.02;
constexpr double ShortestSeconds = 1e-6;

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

double toSeconds(Duration Span) {
  double Seconds = std::chrono::duration<double>(Span).count();
  return std::max(Seconds, ShortestSeconds);
}

} // namespace

void ServiceTimeEstimator::addSample(const std::string &Class,
                                     Duration ServiceTime) {
  bool Fits = this->Classes.contains(Class) ||
              this->Classes.size() < ServiceTimeEstimator::MaxClasses;
  Mean &Known = Fits ? this->Classes[Class] : this->Overflow;
  double Seconds = toSeconds(ServiceTime);

  Known.Seconds = Known.HasSamples
                      ? Known.Seconds + ClassWeight * (Seconds - Known.Seconds)
                      : Seconds;
  Known.HasSamples = true;

  double Log = std::log(Seconds);
  this->TypicalLogSeconds =
      this->TypicalKnown ? this->TypicalLogSeconds +
                               TypicalWeight * (Log - this->TypicalLogSeconds)
                         : Log;
  this->TypicalKnown = true;
}

const ServiceTimeEstimator::Mean *
ServiceTimeEstimator::find(const std::string &Class) const {
  auto Place = this->Classes.find(Class);
  if (Place != this->Classes.end()) {
    return &Place->second;
  }
  return this->Overflow.HasSamples ? &this->Overflow : nullptr;
}

Duration ServiceTimeEstimator::expected(const std::string &Class) const {
  const Mean *Known = this->find(Class);
  return Known ? fromSeconds(Known->Seconds) : this->typical();
}

bool ServiceTimeEstimator::isLong(const std::string &Class) const {
  const Mean *Known = this->find(Class);
  return Known &&
         Known->Seconds > LongFactor * std::exp(this->TypicalLogSeconds);
}

Duration ServiceTimeEstimator::typical() const {
  return this->TypicalKnown ? fromSeconds(std::exp(this->TypicalLogSeconds))
                            : Duration::zero();
}

} // namespace hemlockspar
