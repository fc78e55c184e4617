#include "daemon/Metrics.h"

#include <prometheus/text_serializer.h>

namespace hemlockspar {

namespace {

prometheus::Counter &counter(prometheus::Registry &Registry,
                             const std::string &Name, const std::string &Help,
                             const prometheus::Labels &Labels = {}) {
  return prometheus::BuildCounter()
      .Name(Name)
      .Help(Help)
      .Register(Registry)
      .Add(Labels);
}

prometheus::Gauge &gauge(prometheus::Registry &Registry,
                         const std::string &Name, const std::string &Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add(
      {});
}

prometheus::Counter &outcome(prometheus::Registry &Registry,
                             const std::string &Outcome) {
  return counter(Registry, "hemlockspar_requests_total",
                 "Requests answered to callers and peers, by outcome.",
                 {{"outcome", Outcome}});
}

prometheus::Counter &route(prometheus::Registry &Registry,
                           const std::string &Route) {
  return counter(Registry, "hemlockspar_routes_total",
                 "Requests by where they were sent.", {{"route", Route}});
}

const prometheus::Histogram::BucketBoundaries BackendBuckets = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

} // namespace

Metrics::Metrics() : Metrics(new prometheus::Registry()) {}

Metrics::Metrics(prometheus::Registry *Fresh)
    : Answered(outcome(*Fresh, "answered")), NotRun(outcome(*Fresh, "not_run")),
      Unknown(outcome(*Fresh, "unknown")),
      Forwarded(route(*Fresh, "forwarded")),
      ServedHere(route(*Fresh, "served_here")),
      Takeovers(counter(*Fresh, "hemlockspar_takeovers_total",
                        "Leases of lost holders ended by this daemon.")),
      SlotsMoved(counter(*Fresh, "hemlockspar_slots_moved_total",
                         "Slots handed over by this daemon.")),
      CrossRegionBytes(
          counter(*Fresh, "hemlockspar_cross_region_bytes_total",
                  "Bytes of requests and answers exchanged with peers in "
                  "other regions.")),
      OwnedSlots(gauge(*Fresh, "hemlockspar_owned_slots", "Slots owned.")),
      TableVersion(gauge(*Fresh, "hemlockspar_table_version",
                         "Version up to which every change is known.")),
      LeaseHeld(gauge(*Fresh, "hemlockspar_lease_held",
                      "1 while the lease may be relied on.")),
      TableHealthy(gauge(*Fresh, "hemlockspar_table_healthy",
                         "1 while the table service answers.")),
      ControlBytesSent(gauge(*Fresh, "hemlockspar_control_bytes_sent",
                             "Bytes of calls and answers sent to peers.")),
      ControlBytesReceived(
          gauge(*Fresh, "hemlockspar_control_bytes_received",
                "Bytes of calls and answers received from peers.")),
      QueueWaiting(gauge(*Fresh, "hemlockspar_queue_waiting",
                         "Requests waiting for the backend server.")),
      InFlight(gauge(*Fresh, "hemlockspar_in_flight",
                     "Requests running at the backend server.")),
      BackendSeconds(prometheus::BuildHistogram()
                         .Name("hemlockspar_backend_seconds")
                         .Help("Time from dispatch to the whole answer.")
                         .Register(*Fresh)
                         .Add({}, BackendBuckets)),
      Registry(Fresh) {}

std::string Metrics::toText() const {
  return prometheus::TextSerializer().Serialize(this->Registry->Collect());
}

} // namespace hemlockspar
