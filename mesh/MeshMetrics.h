#pragma once

#include "daemon/RequestResult.h"
#include "mesh/Attempt.h"
#include "net/MemoryBudget.h"

#include <memory>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace hemlockspar {

/// Counters and latencies of one daemon of a mesh, in a registry of the
/// Prometheus library. Lives as long as the process.
class MeshMetrics {
public:
  MeshMetrics();

  /// Records the end of a caller's request after \p Elapsed.
  void onRequest(RequestOutcome Outcome, AttemptReason Reason,
                 Duration Elapsed);

  /// Records that a request occupied a slot of the backend server for \p
  /// Elapsed.
  void recordServerRunTime(Duration Elapsed);

  /// Records a call of \p Kind on \p Table of the store.
  void onStoreCall(const std::string &Kind, const std::string &Table);

  void setLoad(const ServerLoad &Load);
  void setConfiguration(std::uint64_t Version);
  void setInstances(std::size_t Count);
  void setMemory(const MemoryBudget &Memory);

  /// Number of connections of \p Listener closed in favour of new ones.
  void setDisplaced(const std::string &Listener, std::uint64_t Count);

  /// Returns the metrics in the Prometheus exposition format.
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
  prometheus::Family<prometheus::Gauge> &HeldBytes;
  prometheus::Family<prometheus::Counter> &MemoryRefusals;
  prometheus::Family<prometheus::Counter> &MemoryDrops;
  prometheus::Family<prometheus::Counter> &Displaced;
};

} // namespace hemlockspar
