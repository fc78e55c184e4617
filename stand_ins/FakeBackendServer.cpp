#include "stand_ins/FakeBackendServer.h"

#include "core/ErrorMacros.h"
#include "core/Hash.h"
#include "core/Log.h"
#include "daemon/RequestHeaders.h"

#include <boost/asio/detached.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

constexpr auto AnnounceInterval = std::chrono::milliseconds(400);
constexpr auto AnnounceTimeout = std::chrono::milliseconds(300);

/// Request header with the service time, in microseconds.
constexpr char ServiceTimeHeader[] = "Work-Us";

/// Daemons may be set to forward bodies of up to this size.
HttpLimits serverLimits() {
  HttpLimits Limits;
  Limits.MaxBodyBytes = 64 << 20;
  return Limits;
}

} // namespace

FakeBackendServer::FakeBackendServer(asio::io_context &Io,
                                     BackendOptions Chosen)
    : Io(Io), Options(std::move(Chosen)),
      Server(Io, serverLimits(),
             [this](HttpRequest &Request, CallerWatch &Watch,
                    const asio::yield_context &Yield) {
               return this->onRequest(Request, Watch, Yield);
             }),
      Client(Io, {}), StartedAt(BootClock::now()) {
  if (!this->Options.RecordPath.empty()) {
    this->RecordFile.open(this->Options.RecordPath, std::ios::app);
  }
}

absl::Status FakeBackendServer::start() {
  absl::Status Listening = this->Server.listen(this->Options.Listen);
  if (Listening.ok() && this->Options.Daemon.Port != 0) {
    asio::spawn(
        this->Io,
        [this](const asio::yield_context &Yield) { this->announceLoop(Yield); },
        asio::detached);
  }
  return Listening;
}

void FakeBackendServer::announceLoop(const asio::yield_context &Yield) {
  asio::steady_timer Timer(this->Io);
  boost::system::error_code Error;

  while (!Error) {
    Json::Value Body;
    Body["service"] = this->Options.Service;
    bool IsAdvertised = this->Options.Advertised.Port != 0;
    Body["address"] =
        (IsAdvertised ? this->Options.Advertised : this->Options.Listen)
            .toText();
    Body["capacity"] = this->Options.Capacity;
    Body["checks_grants"] = this->Options.ChecksGrants;
    Body["max_run_ms"] = Json::UInt64(this->Options.MaxRunMs);
    Body["draining"] = this->Draining;

    HttpRequest Request(http::verb::put, "/v1/announcement", 11);
    Request.set(http::field::host, this->Options.Daemon.toText());
    Request.body() = writeJson(Body);
    this->Client.exchange(this->Options.Daemon, Request,
                          {.Deadline = BootClock::now() + AnnounceTimeout},
                          Yield);

    Timer.expires_after(AnnounceInterval);
    Timer.async_wait(Yield[Error]);
  }
}

HttpResponse FakeBackendServer::onRequest(HttpRequest &Request,
                                          CallerWatch &Watch,
                                          const asio::yield_context &Yield) {
  std::string Path = targetPath(
      std::string_view(Request.target().data(), Request.target().size()));

  if (Path == "/faults") {
    this->Faults.update(readJson(Request.body()).value_or(Json::Value()));
    return jsonResponse(http::status::ok, Json::Value("set"));
  }
  if (Path == "/health") {
    return this->health();
  }
  if (Path == "/drain") {
    this->beginDrain();
    return jsonResponse(http::status::ok, Json::Value("draining"));
  }
  if (Path == "/hemlockspar/grants") {
    this->updateGrants(readJson(Request.body()).value_or(Json::Value()));
    return jsonResponse(http::status::ok, Json::Value("noted"));
  }
  HttpResponse Response = this->run(Request, Watch, Yield);
  malformHead(Response, this->Faults.Head);
  return Response;
}

HttpResponse FakeBackendServer::health() {
  TimePoint Now = BootClock::now();
  this->LoadHistory.emplace_back(Now, this->Running);

  while (this->LoadHistory.size() > 1 &&
         Now - this->LoadHistory[1].first >= this->Options.HealthLag) {
    this->LoadHistory.pop_front();
  }

  Json::Value Body;
  Body["running"] = this->LoadHistory.front().second;
  Body["capacity"] = this->Options.Capacity;
  return jsonResponse(http::status::ok, Body);
}

HttpResponse FakeBackendServer::run(HttpRequest &Request, CallerWatch &Watch,
                                    const asio::yield_context &Yield) {
  if (this->Options.ShedsLoad && this->Running >= this->Options.Capacity) {
    return this->refuse("overloaded");
  }
  if (!this->acquirePermit(Watch, Yield)) {
    return this->refuse("cancelled");
  }

  RequestGrant Grant;
  Grant.Keyspace = headerValue(Request, headers::Keyspace);
  Grant.Slot = numericHeaderValue(Request, headers::Slot).value_or(0);
  Grant.Token = numericHeaderValue(Request, headers::Token).value_or(0);
  Grant.LeaseUntil = static_cast<std::int64_t>(
      numericHeaderValue(Request, headers::LeaseUntil).value_or(0));

  if (auto Rejection = this->checkGrant(Grant)) {
    this->releasePermit();
    return this->refuse(*Rejection);
  }

  TimePoint RunStartedAt = BootClock::now();
  bool Finished =
      this->simulateWork(this->serviceTimeOf(Request), Watch, Yield);
  this->releasePermit();

  // The grant is checked again before the effect: a server that was paused
  // while it ran the request must not apply the effect under an expired lease.
  if (auto Rejection = this->checkGrant(Grant)) {
    this->recordRun(Request, Grant, RunStartedAt, "lapsed");
    return this->refuse(*Rejection);
  }
  this->recordRun(Request, Grant, RunStartedAt,
                  Finished ? "done" : "cancelled");

  std::string Path = targetPath(
      std::string_view(Request.target().data(), Request.target().size()));
  std::uint64_t &Counter = this->Counters[Path];
  bool IsWrite = Request.method() == http::verb::post;
  Counter += IsWrite;

  Json::Value Body;
  Body["server"] = this->Options.Name;
  Body["path"] = Path;
  Body["count"] = Json::UInt64(Counter);
  Body["echo"] = Request.body();
  return jsonResponse(http::status::ok, Body);
}

HttpResponse FakeBackendServer::refuse(const std::string &Reason) const {
  HttpResponse Response =
      problemResponse(http::status::service_unavailable, Reason, "");
  Response.set(headers::Outcome, "not-run");
  return Response;
}

bool FakeBackendServer::acquirePermit(CallerWatch &Watch,
                                      const asio::yield_context &Yield) {
  if (this->Running < this->Options.Capacity) {
    ++this->Running;
    return true;
  }

  asio::steady_timer Waiter(this->Io);
  this->Waiters.push_back(&Waiter);
  Waiter.expires_at(asio::steady_timer::time_point::max());
  boost::system::error_code Ignored;
  Waiter.async_wait(Yield[Ignored]);

  if (Watch.Disconnected) {
    this->releasePermit();
    return false;
  }
  return true;
}

void FakeBackendServer::releasePermit() {
  if (this->Waiters.empty()) {
    --this->Running;
    return;
  }

  // The permit passes to the first waiter.
  this->Waiters.front()->cancel();
  this->Waiters.pop_front();
}

bool FakeBackendServer::simulateWork(std::chrono::microseconds ServiceTime,
                                     CallerWatch &Watch,
                                     const asio::yield_context &Yield) {
  if (ServiceTime.count() == 0) {
    return true;
  }

  asio::steady_timer Timer(this->Io, ServiceTime);
  Watch.OnCancel = [&Timer] { Timer.cancel(); };
  boost::system::error_code Error;
  Timer.async_wait(Yield[Error]);
  Watch.OnCancel = nullptr;
  return !Error;
}

void FakeBackendServer::updateGrants(const Json::Value &Body) {
  HS_FAIL_COND(!Body.isObject());

  auto Slots = slotsFromJson(Body["slots"]);
  if (!Slots || !Body["lease_until"].isInt64()) {
    return;
  }

  this->GrantedSlots = std::move(*Slots);
  this->GrantsValidUntilNs = Body["lease_until"].asInt64();
}

std::int64_t FakeBackendServer::leaseEndNs(const RequestGrant &Grant) const {
  auto Entry = this->GrantedSlots.find(Grant.Keyspace);
  bool Renewed =
      Entry != this->GrantedSlots.end() &&
      Entry->second.find(static_cast<SlotIndex>(Grant.Slot)) == Grant.Token;
  return Renewed ? std::max(Grant.LeaseUntil, this->GrantsValidUntilNs)
                 : Grant.LeaseUntil;
}

std::optional<std::string>
FakeBackendServer::checkGrant(const RequestGrant &Grant) {
  if (!this->Options.ChecksGrants || Grant.Keyspace.empty()) {
    return std::nullopt;
  }

  std::uint64_t &Highest = this->HighestToken[{Grant.Keyspace, Grant.Slot}];
  if (Grant.Token < Highest) {
    return "stale fencing token";
  }
  if (BootClock::now().time_since_epoch().count() >= this->leaseEndNs(Grant)) {
    return "lease has expired";
  }
  Highest = Grant.Token;
  return std::nullopt;
}

std::chrono::microseconds
FakeBackendServer::serviceTimeOf(const HttpRequest &Request) const {
  auto ServiceTime = std::chrono::microseconds(
      numericHeaderValue(Request, ServiceTimeHeader)
          .value_or(std::uint64_t(this->Options.DefaultServiceTime.count())));

  bool Cold = BootClock::now() - this->StartedAt < this->Options.ColdStartTime;
  return Cold ? std::chrono::duration_cast<std::chrono::microseconds>(
                    ServiceTime * this->Options.ColdStartFactor)
              : ServiceTime;
}

void FakeBackendServer::recordRun(const HttpRequest &Request,
                                  const RequestGrant &Grant,
                                  TimePoint RunStartedAt, const char *Result) {
  if (!this->RecordFile.is_open()) {
    return;
  }

  Json::Value Line;
  Line["server"] = this->Options.Name;
  Line["request"] = headerValue(Request, headers::RequestId);
  Line["idempotency_key"] = headerValue(Request, headers::IdempotencyKey);
  Line["method"] = std::string(Request.method_string());
  Line["target"] = std::string(Request.target());
  Line["keyspace"] = Grant.Keyspace;
  Line["slot"] = Json::UInt64(Grant.Slot);
  Line["token"] = Json::UInt64(Grant.Token);
  Line["began"] = Json::Int64(RunStartedAt.time_since_epoch().count());
  Line["ended"] = Json::Int64(BootClock::now().time_since_epoch().count());
  Line["result"] = Result;
  this->RecordFile << writeJson(Line) << std::endl;
}

} // namespace hemlockspar
