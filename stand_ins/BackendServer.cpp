#include "stand_ins/BackendServer.h"

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

/// A caller may state how long its request runs, in microseconds.
constexpr char WorkHeader[] = "Work-Us";

} // namespace

BackendServer::BackendServer(asio::io_context &Io, BackendOptions Chosen)
    : Io(Io), Options(std::move(Chosen)),
      Server(Io, HttpLimits(),
             [this](HttpRequest &Request, CallerWatch &Watch,
                    const asio::yield_context &Yield) {
               return this->onRequest(Request, Watch, Yield);
             }),
      Client(Io, {}), StartedAt(BootClock::now()) {
  if (!this->Options.RecordPath.empty()) {
    this->Record.open(this->Options.RecordPath, std::ios::app);
  }
}

absl::Status BackendServer::start() {
  absl::Status Listening = this->Server.listen(this->Options.Listen);
  if (Listening.ok() && this->Options.Daemon.Port != 0) {
    asio::spawn(
        this->Io,
        [this](const asio::yield_context &Yield) { this->announceLoop(Yield); },
        asio::detached);
  }
  return Listening;
}

void BackendServer::announceLoop(const asio::yield_context &Yield) {
  asio::steady_timer Timer(this->Io);
  boost::system::error_code Error;

  while (!Error) {
    Json::Value Body;
    Body["service"] = this->Options.Service;
    Body["address"] = this->Options.Listen.toText();
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

HttpResponse BackendServer::onRequest(HttpRequest &Request, CallerWatch &Watch,
                                      const asio::yield_context &Yield) {
  std::string Path = targetPath(
      std::string_view(Request.target().data(), Request.target().size()));

  if (Path == "/faults") {
    this->Faults.set(readJson(Request.body()).value_or(Json::Value()));
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
    this->noteGrants(readJson(Request.body()).value_or(Json::Value()));
    return jsonResponse(http::status::ok, Json::Value("noted"));
  }
  return this->run(Request, Watch, Yield);
}

HttpResponse BackendServer::health() {
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

HttpResponse BackendServer::run(HttpRequest &Request, CallerWatch &Watch,
                                const asio::yield_context &Yield) {
  if (this->Options.Sheds && this->Running >= this->Options.Capacity) {
    return this->refuse("overloaded");
  }
  if (!this->takeTurn(Watch, Yield)) {
    return this->refuse("cancelled");
  }

  Grant Given;
  Given.Keyspace = headerValue(Request, headers::Keyspace);
  Given.Slot = numericHeaderValue(Request, headers::Slot).value_or(0);
  Given.Token = numericHeaderValue(Request, headers::Token).value_or(0);
  Given.LeaseUntil = static_cast<std::int64_t>(
      numericHeaderValue(Request, headers::LeaseUntil).value_or(0));

  if (auto Refusal = this->checkGrant(Given)) {
    this->endTurn();
    return this->refuse(*Refusal);
  }

  TimePoint Began = BootClock::now();
  bool Finished = this->work(this->workFor(Request), Watch, Yield);
  this->endTurn();

  // The token is checked again when the effect is made: a server that stood
  // still in the middle of a run must not make it under a lapsed lease.
  if (auto Refusal = this->checkGrant(Given)) {
    this->record(Request, Given, Began, "lapsed");
    return this->refuse(*Refusal);
  }
  this->record(Request, Given, Began, Finished ? "done" : "cancelled");

  std::string Path = targetPath(
      std::string_view(Request.target().data(), Request.target().size()));
  std::uint64_t &Counter = this->Counters[Path];
  bool Writes = Request.method() == http::verb::post;
  Counter += Writes;

  Json::Value Body;
  Body["server"] = this->Options.Name;
  Body["path"] = Path;
  Body["count"] = Json::UInt64(Counter);
  Body["echo"] = Request.body();
  return jsonResponse(http::status::ok, Body);
}

HttpResponse BackendServer::refuse(const std::string &Reason) const {
  HttpResponse Response =
      problemResponse(http::status::service_unavailable, Reason, "");
  Response.set(headers::Outcome, "not-run");
  return Response;
}

bool BackendServer::takeTurn(CallerWatch &Watch,
                             const asio::yield_context &Yield) {
  if (this->Running < this->Options.Capacity) {
    ++this->Running;
    return true;
  }

  asio::steady_timer Turn(this->Io);
  this->Queue.push_back(&Turn);
  Turn.expires_at(asio::steady_timer::time_point::max());
  boost::system::error_code Ignored;
  Turn.async_wait(Yield[Ignored]);

  if (Watch.Disconnected) {
    this->endTurn();
    return false;
  }
  return true;
}

void BackendServer::endTurn() {
  if (this->Queue.empty()) {
    --this->Running;
    return;
  }

  // The turn passes to the first in the queue.
  this->Queue.front()->cancel();
  this->Queue.pop_front();
}

bool BackendServer::work(std::chrono::microseconds Span, CallerWatch &Watch,
                         const asio::yield_context &Yield) {
  if (Span.count() == 0) {
    return true;
  }

  asio::steady_timer Timer(this->Io, Span);
  Watch.OnCancel = [&Timer] { Timer.cancel(); };
  boost::system::error_code Error;
  Timer.async_wait(Yield[Error]);
  Watch.OnCancel = nullptr;
  return !Error;
}

void BackendServer::noteGrants(const Json::Value &Body) {
  HS_FAIL_COND(!Body.isObject());

  auto Slots = slotsFromJson(Body["slots"]);
  if (!Slots || !Body["lease_until"].isInt64()) {
    return;
  }

  this->Granted = std::move(*Slots);
  this->GrantedUntil = Body["lease_until"].asInt64();
}

std::int64_t BackendServer::leaseEndOf(const Grant &Given) const {
  auto Known = this->Granted.find(Given.Keyspace);
  bool Renewed =
      Known != this->Granted.end() &&
      Known->second.find(static_cast<SlotIndex>(Given.Slot)) == Given.Token;
  return Renewed ? std::max(Given.LeaseUntil, this->GrantedUntil)
                 : Given.LeaseUntil;
}

std::optional<std::string> BackendServer::checkGrant(const Grant &Given) {
  if (!this->Options.ChecksGrants || Given.Keyspace.empty()) {
    return std::nullopt;
  }

  std::uint64_t &Highest = this->HighestToken[{Given.Keyspace, Given.Slot}];
  if (Given.Token < Highest) {
    return "stale fencing token";
  }
  if (BootClock::now().time_since_epoch().count() >= this->leaseEndOf(Given)) {
    return "lease has expired";
  }
  Highest = Given.Token;
  return std::nullopt;
}

std::chrono::microseconds
BackendServer::workFor(const HttpRequest &Request) const {
  auto Work = std::chrono::microseconds(
      numericHeaderValue(Request, WorkHeader)
          .value_or(std::uint64_t(this->Options.DefaultWork.count())));

  bool Cold = BootClock::now() - this->StartedAt < this->Options.ColdTime;
  return Cold ? std::chrono::duration_cast<std::chrono::microseconds>(
                    Work * this->Options.ColdFactor)
              : Work;
}

void BackendServer::record(const HttpRequest &Request, const Grant &Given,
                           TimePoint Began, const char *Result) {
  if (!this->Record.is_open()) {
    return;
  }

  Json::Value Line;
  Line["server"] = this->Options.Name;
  Line["request"] = headerValue(Request, headers::RequestId);
  Line["idempotency_key"] = headerValue(Request, headers::IdempotencyKey);
  Line["method"] = std::string(Request.method_string());
  Line["target"] = std::string(Request.target());
  Line["keyspace"] = Given.Keyspace;
  Line["slot"] = Json::UInt64(Given.Slot);
  Line["token"] = Json::UInt64(Given.Token);
  Line["began"] = Json::Int64(Began.time_since_epoch().count());
  Line["ended"] = Json::Int64(BootClock::now().time_since_epoch().count());
  Line["result"] = Result;
  this->Record << writeJson(Line) << std::endl;
}

} // namespace hemlockspar
