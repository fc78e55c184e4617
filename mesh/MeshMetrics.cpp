#include "mesh/MeshMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <limits>

namespace hemlockspar {

namespace {

/// Upper bounds of the latency buckets, in seconds: around the objectives and
/// timeouts that operators declare.
const prometheus::Histogram::BucketBoundaries LatencyBucketSeconds = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0};

/// Less urgent ranks are counted as this one, which bounds the number of
/// series.
constexpr std::uint32_t MaxRankLabel = 15;

prometheus::Histogram &histogram(prometheus::Registry &Registry,
                                 const char *Name, const char *Help) {
  return prometheus::BuildHistogram()
      .Name(Name)
      .Help(Help)
      .Register(Registry)
      .Add({}, LatencyBucketSeconds);
}

prometheus::Gauge &gauge(prometheus::Registry &Registry, const char *Name,
                         const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add(
      {});
}

prometheus::Family<prometheus::Counter> &
counters(prometheus::Registry &Registry, const char *Name, const char *Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry);
}

/// Raises \p Total to \p Value, which never decreases.
void raise(prometheus::Counter &Total, std::uint64_t Value) {
  Total.Increment(static_cast<double>(Value) - Total.Value());
}

double seconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

MeshMetrics::MeshMetrics()
    : Registry(std::make_unique<prometheus::Registry>()),
      Requests(prometheus::BuildCounter()
                   .Name("hemlockspar_requests_total")
                   .Help("requests of callers by outcome and reason")
                   .Register(*Registry)),
      StoreCalls(prometheus::BuildCounter()
                     .Name("hemlockspar_store_calls_total")
                     .Help("calls to the platform's store by kind and table")
                     .Register(*Registry)),
      Refusals(prometheus::BuildCounter()
                   .Name("hemlockspar_refusals_total")
                   .Help("requests refused by the local queue by reason and "
                         "rank")
                   .Register(*Registry)),
      RequestSeconds(histogram(*Registry, "hemlockspar_request_seconds",
                               "time from a request to its response")),
      ServerSeconds(histogram(*Registry, "hemlockspar_server_seconds",
                              "time for which a request occupied a slot")),
      Running(gauge(*Registry, "hemlockspar_server_running",
                    "requests at the backend server")),
      Waiting(gauge(*Registry, "hemlockspar_server_waiting",
                    "requests waiting for a slot")),
      Configuration(gauge(*Registry, "hemlockspar_configuration_version",
                          "version of the active configuration")),
      ConfigurationAge(gauge(*Registry, "hemlockspar_configuration_age_seconds",
                             "time since the store last confirmed the "
                             "operators' rows")),
      RequestConfigurationAge(
          histogram(*Registry, "hemlockspar_request_configuration_age_seconds",
                    "age of the configuration that requests are handled with")),
      ConfigurationCheckSeconds(
          histogram(*Registry, "hemlockspar_configuration_check_seconds",
                    "time that checks of the operators' rows took")),
      ConfigurationCheckFailures(
          prometheus::BuildCounter()
              .Name("hemlockspar_configuration_check_failures_total")
              .Help("checks of the operators' rows that nobody answered")
              .Register(*Registry)
              .Add({})),
      Instances(gauge(*Registry, "hemlockspar_instances", "known instances")),
      LinkBacklog(gauge(*Registry, "hemlockspar_link_backlog_seconds",
                        "time that waiting and expected large responses take "
                        "to leave")),
      LinkRefusals(prometheus::BuildCounter()
                       .Name("hemlockspar_link_refused_total")
                       .Help("requests whose response the link could not carry "
                             "in time")
                       .Register(*Registry)
                       .Add({})),
      LinkWaitSeconds(histogram(*Registry, "hemlockspar_link_wait_seconds",
                                "time for which a large response waited for "
                                "the link")),
      HeldBytes(prometheus::BuildGauge()
                    .Name("hemlockspar_held_bytes")
                    .Help("bytes of the memory budget in use by kind")
                    .Register(*Registry)),
      MemoryRefusals(counters(*Registry, "hemlockspar_memory_refused_total",
                              "reservations refused by kind")),
      MemoryDrops(counters(*Registry, "hemlockspar_memory_dropped_total",
                           "stalled transfers dropped by kind")),
      Displaced(counters(*Registry, "hemlockspar_connections_displaced_total",
                         "connections closed in favour of new ones")) {}

void MeshMetrics::onRequest(RequestOutcome Outcome, AttemptReason Reason,
                            Duration Elapsed) {
  this->Requests.Add({{"outcome", nameOf(Outcome)}, {"reason", nameOf(Reason)}})
      .Increment();
  this->RequestSeconds.Observe(seconds(Elapsed));
}

void MeshMetrics::recordServerRunTime(Duration Elapsed) {
  this->ServerSeconds.Observe(seconds(Elapsed));
}

void MeshMetrics::onRefusal(AttemptReason Reason, std::uint32_t Rank) {
  std::string Label = std::to_string(std::min(Rank, MaxRankLabel));
  this->Refusals.Add({{"reason", nameOf(Reason)}, {"rank", Label}}).Increment();
}

void MeshMetrics::onStoreCall(const std::string &Kind,
                              const std::string &Table) {
  this->StoreCalls.Add({{"kind", Kind}, {"table", Table}}).Increment();
}

void MeshMetrics::onLinkRefusal() { this->LinkRefusals.Increment(); }

void MeshMetrics::recordLinkWait(Duration Elapsed) {
  this->LinkWaitSeconds.Observe(seconds(Elapsed));
}

void MeshMetrics::setLinkBacklog(Duration Backlog) {
  this->LinkBacklog.Set(seconds(Backlog));
}

void MeshMetrics::setLoad(const ServerLoad &Load) {
  this->Running.Set(Load.Running);
  this->Waiting.Set(Load.Waiting);
}

void MeshMetrics::setConfiguration(std::uint64_t Version) {
  this->Configuration.Set(static_cast<double>(Version));
}

void MeshMetrics::recordConfigurationAge(const std::optional<Duration> &Age) {
  this->RequestConfigurationAge.Observe(
      Age ? seconds(*Age) : std::numeric_limits<double>::infinity());
}

void MeshMetrics::recordConfigurationCheck(bool Answered, Duration Elapsed) {
  this->ConfigurationCheckSeconds.Observe(seconds(Elapsed));
  if (!Answered) {
    this->ConfigurationCheckFailures.Increment();
  }
}

void MeshMetrics::setConfigurationAge(Duration Age) {
  this->ConfigurationAge.Set(std::chrono::duration<double>(Age).count());
}

void MeshMetrics::setInstances(std::size_t Count) {
  this->Instances.Set(static_cast<double>(Count));
}

void MeshMetrics::setMemory(const MemoryBudget &Memory) {
  for (HolderKind Kind :
       {HolderKind::Connection, HolderKind::Request, HolderKind::Response}) {
    const MemoryBudget::Usage &Used = Memory.usage(Kind);
    prometheus::Labels Labels = {{"kind", nameOf(Kind)}};
    this->HeldBytes.Add(Labels).Set(static_cast<double>(Used.HeldBytes));
    raise(this->MemoryRefusals.Add(Labels), Used.Refused);
    raise(this->MemoryDrops.Add(Labels), Used.Dropped);
  }
}

void MeshMetrics::setDisplaced(const std::string &Listener,
                               std::uint64_t Count) {
  raise(this->Displaced.Add({{"listener", Listener}}), Count);
}

std::string MeshMetrics::toText() const {
  return prometheus::TextSerializer().Serialize(this->Registry->Collect());
}

} // namespace hemlockspar
