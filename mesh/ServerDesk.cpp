#include "mesh/ServerDesk.h"

#include "core/Log.h"
#include "net/Event.h"

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// A backend server that holds no keys, or is to get more, is answered up to
/// this much later, so that keys on their way here reach it without waiting for
/// its next report.
/// It counts an answer as an acknowledgement within a second.
constexpr auto LongestDelay = std::chrono::milliseconds(500);

constexpr auto DelayStep = std::chrono::milliseconds(20);

} // namespace

ServerDesk::ServerDesk(asio::io_context &Io, const MeshView &View,
                       LocalServer &Server, KeyOwnershipManager &Keeper,
                       const ReportCodec &Codec, std::function<void()> OnChange)
    : Io(Io), View(View), Server(Server), Keeper(Keeper), Codec(Codec),
      OnChange(std::move(OnChange)) {}

HttpResponse ServerDesk::serve(HttpRequest &Request,
                               const asio::yield_context &Yield) {
  std::string ServerId;
  switch (this->Codec.kindOf(Request, ServerId)) {
  case ServerCallKind::Report:
    return this->onReport(ServerId, Request.body(), Yield);
  case ServerCallKind::Leave:
    return this->onLeave(ServerId);
  case ServerCallKind::Unknown:
    break;
  }
  return problemResponse(http::status::not_found, "no such call",
                         "backend servers report here");
}

HttpResponse ServerDesk::onReport(const std::string &ServerId,
                                  const std::string &Body,
                                  const asio::yield_context &Yield) {
  TimePoint ReceivedAt = BootClock::now();
  auto Report = this->Codec.decode(ServerId, Body);
  if (!Report.ok()) {
    std::string Why(Report.status().message());
    LogLine(LogLevel::Warning, "desk", "report_refused")
        .with("server", ServerId)
        .with("reason", Why);
    return problemResponse(http::status::bad_request, "report not readable",
                           Why);
  }

  ServerState Before = this->Server.state();
  ServerRun RunBefore = this->Server.report().Run;
  ReportVerdict Verdict = this->Server.take(*Report, ReceivedAt);
  if (Verdict != ReportVerdict::Taken) {
    LogLine(LogLevel::Info, "desk", "report_ignored")
        .with("server", ServerId)
        .with("started", static_cast<long long>(Report->Run.StartedAt))
        .with("sequence", static_cast<long long>(Report->Sequence))
        .with("reason", nameOf(Verdict));
    return this->acknowledge(std::nullopt);
  }

  bool Changed =
      Before != this->Server.state() || RunBefore != this->Server.report().Run;
  if (Changed) {
    LogLine(LogLevel::Info, "desk", "server_changed")
        .with("server", ServerId)
        .with("started", static_cast<long long>(Report->Run.StartedAt))
        .with("sequence", static_cast<long long>(Report->Sequence))
        .with("service", Report->Service)
        .with("state", nameOf(this->Server.state()));
  }
  this->OnChange();

  ConfigurationPtr InForce = this->View.configuration();
  bool Keyed = InForce && InForce->isKeyed(Report->Service);
  if (!Keyed) {
    return this->acknowledge(std::nullopt);
  }
  this->Keeper.onReport(*Report, ReceivedAt);
  return this->acknowledge(this->grantFor(*Report, ReceivedAt, Yield));
}

std::optional<KeyGrants>
ServerDesk::grantFor(const ServerReport &Report, TimePoint ReceivedAt,
                     const asio::yield_context &Yield) {
  TimePoint Until = ReceivedAt + LongestDelay;
  auto Waits = [&](TimePoint Now) {
    auto Grants = this->Keeper.computeGrants(ReceivedAt, Now);
    bool Nothing = !Grants || Grants->Granted.empty();
    return !Report.Leaving && Now < Until &&
           (Nothing || this->Keeper.expectsKeys(Now));
  };

  while (Waits(BootClock::now())) {
    sleepFor(this->Io, DelayStep, Yield);

    // A later report may have come meanwhile, whose answer counts.
    bool Current = this->Server.report().Run == Report.Run &&
                   this->Server.report().Sequence == Report.Sequence;
    if (!Current) {
      return std::nullopt;
    }
  }
  return this->Keeper.issueGrants(ReceivedAt, BootClock::now());
}

HttpResponse ServerDesk::onLeave(const std::string &ServerId) {
  TimePoint Now = BootClock::now();
  if (this->Server.leave(ServerId, Now)) {
    LogLine(LogLevel::Info, "desk", "server_leaving").with("server", ServerId);
    this->Keeper.onLeaving(Now);
    this->OnChange();
  } else {
    LogLine(LogLevel::Info, "desk", "leave_ignored")
        .with("server", ServerId)
        .with("known", this->Server.report().Run.Id)
        .with("reason", "another backend server is here");
  }
  return this->acknowledge(std::nullopt);
}

HttpResponse
ServerDesk::acknowledge(const std::optional<KeyGrants> &Grants) const {
  HttpResponse Response(http::status::ok, 11);
  Response.set(http::field::content_type, "application/json");
  Response.body() = this->Codec.encode(Grants);
  return Response;
}

} // namespace hemlockspar
