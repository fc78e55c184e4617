#pragma once

#include "daemon/RequestResult.h"
#include "mesh/Try.h"

#include <memory>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace hemlockspar {

/// Counters and latencies of one daemon of a mesh, in the Prometheus library's
/// registry. Lives as long as the process.
class MeshMetrics {
public:
  MeshMetrics();

  /// A caller's request ended after \p Took.
  void onRequest(RequestOutcome Outcome, TryReason Reason, Duration Took);

  /// A request held a slot of the backend server for \p Took.
  void onServerRun(Duration Took);

  /// The store was called: \p Kind of call on \p Table.
  void onStoreCall(const std::string &Kind, const std::string &Table);

  void setLoad(const ServerLoad &Load);
  void setConfiguration(std::uint64_t Version);
  void setInstances(std::size_t Count);

  /// Text in the Prometheus exposition format.
  std::string toText() const;

private:
  std::unique_ptr<prometheus::Registry> Registry;
  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Counter> &StoreCalls;
  prometheus::Histogram &RequestSeconds;
  prometheus::Histogram &ServerSeconds;
  prometheus::Gauge &Running;
  prometheus::Gauge &Waiting;
  prometheus::Gauge &Configuration;
  prometheus::Gauge &Instances;
};

} // namespace hemlockspar
