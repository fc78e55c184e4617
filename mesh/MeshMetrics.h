#pragma once

#include "daemon/RequestResult.h"
#include "mesh/Attempt.h"
#include "net/MemoryBudget.h"

#include <memory>
#include <prometheus/counter.h>
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

  /// Records that a request of \p Rank was refused by the local queue.
  void onRefusal(AttemptReason Reason, std::uint32_t Rank);

  /// Records a call of \p Kind on \p Table of the store.
  void onStoreCall(const std::string &Kind, const std::string &Table);

  /// Records that a request was refused since the link could not carry its
  /// response in time.
  void onLinkRefusal();

  /// Records that a large response waited for the link for \p Elapsed.
  void recordLinkWait(Duration Elapsed);

  /// \p Backlog is how long the responses that wait for the link or are
  /// expected will take.
  void setLinkBacklog(Duration Backlog);

  void setLoad(const ServerLoad &Load);
  void setConfiguration(std::uint64_t Version);

  /// \p Age is the time since the store last confirmed the operators' rows.
  void setConfigurationAge(Duration Age);

  /// Records the age of the configuration that a request is handled with; empty
  /// when it was never confirmed.
  void recordConfigurationAge(const std::optional<Duration> &Age);

  /// Records a check of the operators' rows that took \p Elapsed.
  void recordConfigurationCheck(bool Answered, Duration Elapsed);
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
  prometheus::Family<prometheus::Counter> &Refusals;
  prometheus::Histogram &RequestSeconds;
  prometheus::Histogram &ServerSeconds;
  prometheus::Gauge &Running;
  prometheus::Gauge &Waiting;
  prometheus::Gauge &Configuration;
  prometheus::Gauge &ConfigurationAge;
  prometheus::Histogram &RequestConfigurationAge;
  prometheus::Histogram &ConfigurationCheckSeconds;
  prometheus::Counter &ConfigurationCheckFailures;
  prometheus::Gauge &Instances;
  prometheus::Gauge &LinkBacklog;
  prometheus::Counter &LinkRefusals;
  prometheus::Histogram &LinkWaitSeconds;
  prometheus::Family<prometheus::Gauge> &HeldBytes;
  prometheus::Family<prometheus::Counter> &MemoryRefusals;
  prometheus::Family<prometheus::Counter> &MemoryDrops;
  prometheus::Family<prometheus::Counter> &Displaced;
};

} // namespace hemlockspar
