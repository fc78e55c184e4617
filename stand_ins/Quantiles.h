#pragma once

#include <algorithm>
#include <json/value.h>
#include <vector>

namespace hemlockspar {

/// Exact quantiles of samples kept in memory.
class Quantiles {
public:
  void add(double Sample) { this->Samples.push_back(Sample); }
  std::size_t count() const { return this->Samples.size(); }

  /// The sample at the quantile \p Fraction, from 0 to 1; 0 without samples.
  double at(double Fraction) {
    if (this->Samples.empty()) {
      return 0;
    }
    auto Rank = static_cast<std::size_t>(
        Fraction * static_cast<double>(this->Samples.size() - 1));
    auto Position = this->Samples.begin() + static_cast<std::ptrdiff_t>(Rank);
    std::nth_element(this->Samples.begin(), Position, this->Samples.end());
    return *Position;
  }

  Json::Value toJson() {
    Json::Value Value;
    Value["count"] = Json::UInt64(this->count());
    Value["p50"] = this->at(0.5);
    Value["p99"] = this->at(0.99);
    Value["p999"] = this->at(0.999);
    Value["max"] = this->at(1.0);
    return Value;
  }

private:
  std::vector<double> Samples;
};

} // namespace hemlockspar
