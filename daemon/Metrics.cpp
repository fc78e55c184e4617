#include "daemon/Metrics.h"

#include <prometheus/text_serializer.h>

namespace hemlockspar {

namespace {

prometheus::Counter &addCounter(prometheus::Registry &Registry,
                                const std::string &Name,
                                const std::string &Help,
                                const prometheus::Labels &Labels = {}) {
  return prometheus::BuildCounter()
      .Name(Name)
      .Help(Help)
      .Register(Registry)
      .Add(Labels);
}

prometheus::Gauge &addGauge(prometheus::Registry &Registry,
                            const std::string &Name, const std::string &Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add(
      {});
}

prometheus::Counter &addOutcomeCounter(prometheus::Registry &Registry,
                                       const std::string &Outcome) {
  return addCounter(Registry, "hemlockspar_requests_total",
                    "Requests from callers and peers, by outcome.",
                    {{"outcome", Outcome}});
}

prometheus::Counter &addRouteCounter(prometheus::Registry &Registry,
                                     const std::string &Route) {
  return addCounter(Registry, "hemlockspar_routes_total",
                    "Requests by route: forwarded to a peer or served here.",
                    {{"route", Route}});
}

const prometheus::Histogram::BucketBoundaries BackendBuckets = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

} // namespace

Metrics::Metrics() : Metrics(new prometheus::Registry()) {}

Metrics::Metrics(prometheus::Registry *NewRegistry)
    : Answered(addOutcomeCounter(*NewRegistry, "answered")),
      NotRun(addOutcomeCounter(*NewRegistry, "not_run")),
      Unknown(addOutcomeCounter(*NewRegistry, "unknown")),
      Forwarded(addRouteCounter(*NewRegistry, "forwarded")),
      ServedHere(addRouteCounter(*NewRegistry, "served_here")),
      Takeovers(
          addCounter(*NewRegistry, "hemlockspar_takeovers_total",
                     "Leases of lost instances taken over by this daemon.")),
      SlotsMoved(addCounter(*NewRegistry, "hemlockspar_slots_moved_total",
                            "Slots handed over by this daemon.")),
      CrossRegionBytes(
          addCounter(*NewRegistry, "hemlockspar_cross_region_bytes_total",
                     "Bytes of requests and responses exchanged with peers in "
                     "other regions.")),
      OwnedSlots(addGauge(*NewRegistry, "hemlockspar_owned_slots",
                          "Slots owned by this instance.")),
      TableVersion(
          addGauge(*NewRegistry, "hemlockspar_table_version",
                   "Table version up to which every change is known.")),
      LeaseHeld(addGauge(*NewRegistry, "hemlockspar_lease_held",
                         "1 while the lease is valid.")),
      TableHealthy(addGauge(*NewRegistry, "hemlockspar_table_healthy",
                            "1 while the table service responds.")),
      ControlBytesSent(
          addGauge(*NewRegistry, "hemlockspar_control_bytes_sent",
                   "Bytes of RPC calls and responses sent to peers.")),
      ControlBytesReceived(
          addGauge(*NewRegistry, "hemlockspar_control_bytes_received",
                   "Bytes of RPC calls and responses received from peers.")),
      QueueWaiting(addGauge(*NewRegistry, "hemlockspar_queue_waiting",
                            "Requests waiting for the backend server.")),
      InFlight(addGauge(*NewRegistry, "hemlockspar_in_flight",
                        "Requests running at the backend server.")),
      BackendSeconds(
          prometheus::BuildHistogram()
              .Name("hemlockspar_backend_seconds")
              .Help("Time from dispatch to the end of the exchange in seconds.")
              .Register(*NewRegistry)
              .Add({}, BackendBuckets)),
      Registry(NewRegistry) {}

std::string Metrics::toText() const {
  return prometheus::TextSerializer().Serialize(this->Registry->Collect());
}

} // namespace hemlockspar
