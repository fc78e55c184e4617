#pragma once

#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace hemlockspar {

/// Metrics of one daemon, held in a Prometheus registry. May be updated from
/// any thread.
class Metrics {
public:
  Metrics();

  prometheus::Counter &Answered;
  prometheus::Counter &NotRun;
  prometheus::Counter &Unknown;
  prometheus::Counter &Forwarded;
  prometheus::Counter &ServedHere;
  prometheus::Counter &Takeovers;
  prometheus::Counter &SlotsMoved;
  prometheus::Counter &CrossRegionBytes;
  prometheus::Gauge &OwnedSlots;
  prometheus::Gauge &TableVersion;
  prometheus::Gauge &LeaseHeld;
  prometheus::Gauge &TableHealthy;
  prometheus::Gauge &ControlBytesSent;
  prometheus::Gauge &ControlBytesReceived;
  prometheus::Gauge &QueueWaiting;
  prometheus::Gauge &InFlight;
  prometheus::Histogram &BackendSeconds;

  /// Text in the Prometheus exposition format.
  std::string toText() const;

private:
  Metrics(prometheus::Registry *NewRegistry);

  std::unique_ptr<prometheus::Registry> Registry;
};

} // namespace hemlockspar
