#include "mesh/ReportHandler.h"

#include "core/Log.h"
#include "net/Event.h"

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// The response to a backend server that holds no keys or is about to get more
/// is delayed by up to this time, so that keys in transit reach it without
/// waiting for its next report. The server accepts a response as an
/// acknowledgement within 1 s.
constexpr auto MaxResponseDelay = std::chrono::milliseconds(500);

constexpr auto PollInterval = std::chrono::milliseconds(20);

/// How long a report waits for what earlier processes have acknowledged, and a
/// departure until it is kept; within the time in which the server accepts an
/// acknowledgement.
constexpr auto MaxRecoveryWait = std::chrono::milliseconds(400);
constexpr auto MaxKeepWait = std::chrono::milliseconds(850);

HttpResponse unavailable(const std::string &Detail) {
  return problemResponse(http::status::service_unavailable,
                         "report not acknowledged", Detail);
}

} // namespace

ReportHandler::ReportHandler(asio::io_context &Io, const InstanceId &Instance,
                             const MeshView &View, LocalServer &Server,
                             KeyOwnershipManager &Keeper,
                             DepartureClient &Departures,
                             const ReportCodec &Codec,
                             std::function<void()> OnChange)
    : Io(Io), Instance(Instance), View(View), Server(Server), Keeper(Keeper),
      Departures(Departures), Codec(Codec), OnChange(std::move(OnChange)) {}

HttpResponse ReportHandler::serve(HttpRequest &Request,
                                  const asio::yield_context &Yield) {
  std::string ServerId;
  switch (this->Codec.kindOf(Request, ServerId)) {
  case ServerCallKind::Report:
    return this->onReport(ServerId, Request.body(), Yield);
  case ServerCallKind::Leave:
    return this->onLeave(ServerId, Yield);
  case ServerCallKind::Unknown:
    break;
  }
  return problemResponse(http::status::not_found, "no such call",
                         "backend servers report here");
}

HttpResponse ReportHandler::onReport(const std::string &ServerId,
                                     const std::string &Body,
                                     const asio::yield_context &Yield) {
  TimePoint ReceivedAt = BootClock::now();
  auto Report = this->Codec.decode(ServerId, Body);
  if (!Report.ok()) {
    std::string Reason(Report.status().message());
    LogLine(LogLevel::Warning, "desk", "report_refused")
        .with("server", ServerId)
        .with("reason", Reason);
    return problemResponse(http::status::bad_request, "report not readable",
                           Reason);
  }

  this->waitForRecovery(ReceivedAt, Yield);
  ServerState Before = this->Server.state();
  ServerIncarnation IncarnationBefore = this->Server.lastReport().Incarnation;
  ReportVerdict Verdict = this->Server.applyReport(*Report, ReceivedAt);
  if (Verdict != ReportVerdict::Taken) {
    LogLine(LogLevel::Info, "desk", "report_ignored")
        .with("server", ServerId)
        .with("started", static_cast<long long>(Report->Incarnation.StartedAt))
        .with("sequence", static_cast<long long>(Report->Sequence))
        .with("reason", nameOf(Verdict));
    return Verdict == ReportVerdict::Premature
               ? unavailable("earlier departures are not known yet")
               : this->acknowledge(std::nullopt);
  }

  bool Changed = Before != this->Server.state() ||
                 IncarnationBefore != this->Server.lastReport().Incarnation;
  if (Changed) {
    LogLine(LogLevel::Info, "desk", "server_changed")
        .with("server", ServerId)
        .with("started", static_cast<long long>(Report->Incarnation.StartedAt))
        .with("sequence", static_cast<long long>(Report->Sequence))
        .with("service", Report->Service)
        .with("state", nameOf(this->Server.state()));
  }
  this->OnChange();

  // A report from before the departure may arrive after it.
  Report->Leaving = this->Server.state() == ServerState::Leaving;
  ConfigurationPtr Active = this->View.configuration();
  bool Keyed = Active && Active->isKeyed(Report->Service);
  if (Keyed) {
    this->Keeper.onReport(*Report, BootClock::now());
  }
  if (Report->Leaving && !this->keepDeparture(ReceivedAt, Yield)) {
    return unavailable("the departure is not kept yet");
  }
  if (!Keyed) {
    return this->acknowledge(std::nullopt);
  }
  return this->acknowledge(this->waitForGrants(*Report, ReceivedAt, Yield));
}

std::optional<KeyGrants>
ReportHandler::waitForGrants(const ServerReport &Report, TimePoint ReceivedAt,
                             const asio::yield_context &Yield) {
  TimePoint Until = ReceivedAt + MaxResponseDelay;
  auto MustWait = [&](TimePoint Now) {
    return !Report.Leaving && Now < Until &&
           this->Keeper.shouldDelayResponse(ReceivedAt, Now);
  };

  while (MustWait(BootClock::now())) {
    sleepFor(this->Io, PollInterval, Yield);

    // Only the response to the latest report counts, so give up if a later one
    // has arrived.
    bool Current =
        this->Server.lastReport().Incarnation == Report.Incarnation &&
        this->Server.lastReport().Sequence == Report.Sequence;
    if (!Current) {
      return std::nullopt;
    }
  }
  return this->Keeper.issueGrants(ReceivedAt, BootClock::now());
}

HttpResponse ReportHandler::onLeave(const std::string &ServerId,
                                    const asio::yield_context &Yield) {
  TimePoint ReceivedAt = BootClock::now();
  if (!this->waitForRecovery(ReceivedAt, Yield)) {
    return unavailable("the backend server is not known yet");
  }
  if (!this->Server.markLeaving(ServerId, ReceivedAt)) {
    LogLine(LogLevel::Info, "desk", "leave_refused")
        .with("server", ServerId)
        .with("known", this->Server.lastReport().Incarnation.Id)
        .with("reason", "not the backend server that is known here");
    return unavailable("this backend server is not known here");
  }

  LogLine(LogLevel::Info, "desk", "server_leaving").with("server", ServerId);
  if (this->Server.hasReport()) {
    this->Keeper.onLeaving(BootClock::now());
  }
  this->OnChange();
  return this->keepDeparture(ReceivedAt, Yield)
             ? this->acknowledge(std::nullopt)
             : unavailable("the departure is not kept yet");
}

bool ReportHandler::waitForRecovery(TimePoint ReceivedAt,
                                    const asio::yield_context &Yield) {
  while (!this->Server.isRecovered() &&
         BootClock::now() < ReceivedAt + MaxRecoveryWait) {
    sleepFor(this->Io, PollInterval, Yield);
  }
  return this->Server.isRecovered();
}

bool ReportHandler::isKept(const ServerIncarnation &Left) const {
  const InstanceRow *Own = this->View.findInstance(this->Instance);
  bool Stored =
      Own && Own->Incarnation == Left && Own->State == ServerState::Leaving;
  return Stored || this->Departures.isConfirmed(Left);
}

bool ReportHandler::keepDeparture(TimePoint ReceivedAt,
                                  const asio::yield_context &Yield) {
  ServerIncarnation Left = this->Server.lastReport().Incarnation;
  while (!this->isKept(Left)) {
    if (BootClock::now() >= ReceivedAt + MaxKeepWait) {
      LogLine(LogLevel::Warning, "desk", "departure_not_kept")
          .with("server", Left.Id)
          .with("reason", "neither the store nor enough daemons confirmed it");
      return false;
    }
    this->Departures.announce(Left);
    sleepFor(this->Io, PollInterval, Yield);
  }
  return true;
}

HttpResponse
ReportHandler::acknowledge(const std::optional<KeyGrants> &Grants) const {
  HttpResponse Response(http::status::ok, 11);
  Response.set(http::field::content_type, "application/json");
  Response.body() = this->Codec.encode(Grants);
  return Response;
}

} // namespace hemlockspar
