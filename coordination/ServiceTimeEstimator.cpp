#include "coordination/ServiceTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace hemlockspar {

namespace {

constexpr double ClassSmoothing = 0.1;
constexpr double TypicalSmoothing = 0.02;
constexpr double MinSeconds = 1e-6;

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

double toSeconds(Duration Span) {
  double Seconds = std::chrono::duration<double>(Span).count();
  return std::max(Seconds, MinSeconds);
}

} // namespace

void ServiceTimeEstimator::addSample(const std::string &Class,
                                     Duration ServiceTime) {
  bool HasOwnEntry = this->Classes.contains(Class) ||
                     this->Classes.size() < ServiceTimeEstimator::MaxClasses;
  Mean &Estimate = HasOwnEntry ? this->Classes[Class] : this->Overflow;
  double Seconds = toSeconds(ServiceTime);

  Estimate.Seconds =
      Estimate.HasSamples
          ? Estimate.Seconds + ClassSmoothing * (Seconds - Estimate.Seconds)
          : Seconds;
  Estimate.HasSamples = true;

  double Log = std::log(Seconds);
  this->TypicalLogSeconds =
      this->TypicalKnown
          ? this->TypicalLogSeconds +
                TypicalSmoothing * (Log - this->TypicalLogSeconds)
          : Log;
  this->TypicalKnown = true;
}

const ServiceTimeEstimator::Mean *
ServiceTimeEstimator::find(const std::string &Class) const {
  auto It = this->Classes.find(Class);
  if (It != this->Classes.end()) {
    return &It->second;
  }
  return this->Overflow.HasSamples ? &this->Overflow : nullptr;
}

Duration ServiceTimeEstimator::expected(const std::string &Class) const {
  const Mean *Estimate = this->find(Class);
  return Estimate ? fromSeconds(Estimate->Seconds) : this->typical();
}

bool ServiceTimeEstimator::isLong(const std::string &Class) const {
  const Mean *Estimate = this->find(Class);
  return Estimate &&
         Estimate->Seconds > LongFactor * std::exp(this->TypicalLogSeconds);
}

Duration ServiceTimeEstimator::typical() const {
  return this->TypicalKnown ? fromSeconds(std::exp(this->TypicalLogSeconds))
                            : Duration::zero();
}

} // namespace hemlockspar
