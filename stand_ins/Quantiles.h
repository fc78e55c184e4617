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

  /// The sample below which the share \p Share of all lie; 0 without samples.
  double at(double Share) {
    if (this->Samples.empty()) {
      return 0;
    }
    auto Rank = static_cast<std::size_t>(
        Share * static_cast<double>(this->Samples.size() - 1));
    auto Place = this->Samples.begin() + static_cast<std::ptrdiff_t>(Rank);
    std::nth_element(this->Samples.begin(), Place, this->Samples.end());
    return *Place;
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
