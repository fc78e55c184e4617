#include "stand_ins/FakePlatformServer.h"

#include "core/DurationText.h"
#include "core/Json.h"
#include "net/Event.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/detached.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

constexpr auto ReportTimeout = std::chrono::seconds(1);

constexpr std::string_view GrantPath = "/api/grant";
constexpr std::string_view ReleasePath = "/api/release";
constexpr std::string_view HealthPath = "/healthz";

/// Interval at which a release checks whether running requests have ended.
constexpr auto ReleasePollInterval = std::chrono::milliseconds(10);

/// A call without an answer keeps its connection for this long.
constexpr auto UnansweredTime = std::chrono::seconds(5);

/// Delay of the next report after a response that took keys away.
constexpr auto ReleaseReportDelay = std::chrono::milliseconds(50);

/// The largest body of the configurations seen.
HttpLimits serverLimits() {
  HttpLimits Limits;
  Limits.MaxBodyBytes = 64 << 20;
  return Limits;
}

std::int64_t unixMilliseconds() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
}

} // namespace

FakePlatformServer::FakePlatformServer(asio::io_context &Io, Config Settings)
    : Io(Io), Settings(std::move(Settings)),
      Server(Io, serverLimits(),
             [this](HttpRequest &Request, CallerWatch &,
                    const asio::yield_context &Yield) {
               return this->serve(Request, Yield);
             }),
      Client(Io, {}), StartedAtUnixMs(unixMilliseconds()) {}

absl::Status FakePlatformServer::start() {
  absl::Status Listening = this->Server.listen(this->Settings.At);
  if (Listening.ok()) {
    asio::spawn(
        this->Io,
        [this](const asio::yield_context &Yield) { this->reportLoop(Yield); },
        asio::detached);
  }
  return Listening;
}

void FakePlatformServer::setFaults(const PlatformServerFaults &NewFaults) {
  std::lock_guard Lock(this->Mutex);
  this->Faults = NewFaults;
}

void FakePlatformServer::startDraining() {
  std::lock_guard Lock(this->Mutex);
  this->Draining = true;
}

void FakePlatformServer::restart(const std::string &Id) {
  std::lock_guard Lock(this->Mutex);
  if (this->Checker) {
    this->Checker->setHeldKeys(this->Settings.Id, {});
  }
  this->Settings.Id = Id;
  this->StartedAtUnixMs = unixMilliseconds();
  this->Sequence = 0;
  this->HeldRanges.clear();
  this->SeenTokens.assign(KeyCount, 0);
  this->Released = Json::Value(Json::arrayValue);
  this->Draining = false;
}

void FakePlatformServer::turnCold(std::chrono::milliseconds Span) {
  std::lock_guard Lock(this->Mutex);
  this->ColdUntil = BootClock::now() + Span;
}

std::size_t FakePlatformServer::mostColdArrivalsInASecond() {
  std::lock_guard Lock(this->Mutex);
  std::size_t Most = 0;
  for (auto First = this->ColdArrivals.begin();
       First != this->ColdArrivals.end(); ++First) {
    auto End = std::lower_bound(First, this->ColdArrivals.end(),
                                *First + std::chrono::seconds(1));
    Most = std::max(Most, static_cast<std::size_t>(End - First));
  }
  return Most;
}

Duration FakePlatformServer::coldLeft() const {
  return std::max<Duration>(this->ColdUntil - BootClock::now(),
                            Duration::zero());
}

HttpResponse FakePlatformServer::health() {
  std::lock_guard Lock(this->Mutex);
  HttpResponse Response(http::status::ok, 11);
  Response.set("Instance-Id", this->Settings.Id);
  Response.set("Cold-Ms", std::to_string(toMilliseconds(this->coldLeft())));
  return Response;
}

// Grants by call

bool FakePlatformServer::isCallLate() {
  std::lock_guard Lock(this->Mutex);
  return this->GrantCallCount++ % 10 < this->Faults.LateCallsOfTen;
}

void FakePlatformServer::dropKeys(std::uint32_t From, std::uint32_t To) {
  std::vector<HeldKeyRange> Rest;
  for (const HeldKeyRange &Held : this->HeldRanges) {
    if (Held.From > To || Held.To < From) {
      Rest.push_back(Held);
      continue;
    }
    if (Held.From < From) {
      Rest.push_back({Held.From, From - 1, Held.Token, Held.Until});
    }
    if (Held.To > To) {
      Rest.push_back({To + 1, Held.To, Held.Token, Held.Until});
    }
  }
  this->HeldRanges = std::move(Rest);
}

HttpResponse FakePlatformServer::applyGrant(const Json::Value &Call,
                                            TimePoint ArrivedAt) {
  std::lock_guard Lock(this->Mutex);
  std::uint32_t From = Call["start_key"].asUInt();
  std::uint32_t To = Call["target"].asUInt();
  std::uint64_t Token = Call["fence"].asUInt64();
  auto HoldTime = parseDuration(getString(Call, "hold_time"));
  if (From > To || To >= KeyCount || !HoldTime) {
    return HttpResponse(http::status::bad_request, 11);
  }

  auto First = this->SeenTokens.begin() + From;
  auto End = this->SeenTokens.begin() + To + 1;
  if (*std::max_element(First, End) > Token) {
    return HttpResponse(http::status::conflict, 11);
  }
  std::fill(First, End, Token);
  this->dropKeys(From, To);
  if (BootClock::now() < ArrivedAt + *HoldTime) {
    this->HeldRanges.push_back({From, To, Token, ArrivedAt + *HoldTime});
  }
  if (this->Checker) {
    this->Checker->setHeldKeys(this->Settings.Id, this->HeldRanges);
  }
  return HttpResponse(http::status::ok, 11);
}

HttpResponse FakePlatformServer::applyRelease(const Json::Value &Call) {
  std::lock_guard Lock(this->Mutex);
  this->dropKeys(Call["start_key"].asUInt(), Call["target"].asUInt());
  if (this->Checker) {
    this->Checker->setHeldKeys(this->Settings.Id, this->HeldRanges);
  }
  HttpResponse Response(http::status::ok, 11);
  Response.set("Handover", "state");
  return Response;
}

HttpResponse
FakePlatformServer::serveGrantCall(const std::string &Path,
                                   const Json::Value &Call,
                                   const asio::yield_context &Yield) {
  TimePoint ArrivedAt = BootClock::now();
  bool Late = this->isCallLate();
  if (Late) {
    std::chrono::milliseconds Delay;
    {
      std::lock_guard Lock(this->Mutex);
      Delay = this->Faults.LateCallDelay;
    }
    sleepFor(this->Io, Delay, Yield);
  }
  HttpResponse Response = Path == GrantPath ? this->applyGrant(Call, ArrivedAt)
                                            : this->applyRelease(Call);
  if (Late) {
    sleepFor(this->Io, UnansweredTime, Yield);
    return Response;
  }
  auto IsBusy = [this] {
    std::lock_guard Lock(this->Mutex);
    return this->Running > 0;
  };
  while (Path == ReleasePath && IsBusy()) {
    sleepFor(this->Io, ReleasePollInterval, Yield);
  }
  return Response;
}

bool FakePlatformServer::holdsLocked(std::uint32_t Key) const {
  TimePoint Now = BootClock::now();
  return std::any_of(this->HeldRanges.begin(), this->HeldRanges.end(),
                     [&](const HeldKeyRange &Held) {
                       return Held.From <= Key && Key <= Held.To &&
                              Now < Held.Until;
                     });
}

bool FakePlatformServer::holds(std::uint32_t Key) {
  std::lock_guard Lock(this->Mutex);
  return this->holdsLocked(Key);
}

std::uint32_t FakePlatformServer::heldKeyCount() {
  std::lock_guard Lock(this->Mutex);
  std::uint32_t Count = 0;
  for (const HeldKeyRange &Held : this->HeldRanges) {
    bool Valid = BootClock::now() < Held.Until;
    Count += Valid ? Held.To - Held.From + 1 : 0;
  }
  return Count;
}

std::vector<std::string> FakePlatformServer::executedRequests() {
  std::lock_guard Lock(this->Mutex);
  return this->ExecutedRequests;
}

std::map<std::string, std::string> FakePlatformServer::lastRequestHeaders() {
  std::lock_guard Lock(this->Mutex);
  return this->LastRequestHeaders;
}

HttpResponse FakePlatformServer::refuse(http::status Status,
                                        const std::string &RequestId) const {
  HttpResponse Response(Status, 11);
  Response.set("Request-Id", RequestId);
  Response.set("Not-Executed", "1");
  Response.set("Instance-Id", this->Settings.Id);
  return Response;
}

HttpResponse FakePlatformServer::serve(HttpRequest &Request,
                                       const asio::yield_context &Yield) {
  HttpResponse Response = this->serveCall(Request, Yield);
  std::lock_guard Lock(this->Mutex);
  malformHead(Response, this->Faults.Head);
  return Response;
}

HttpResponse FakePlatformServer::serveCall(HttpRequest &Request,
                                           const asio::yield_context &Yield) {
  std::string Path =
      targetPath({Request.target().data(), Request.target().size()});
  auto Call = Path == GrantPath || Path == ReleasePath
                  ? readJson(Request.body())
                  : std::nullopt;
  if (Call && this->Settings.GrantsByCall) {
    return this->serveGrantCall(Path, *Call, Yield);
  }

  if (Path == HealthPath) {
    return this->health();
  }

  std::string RequestId = headerValue(Request, "Request-Id");
  PlatformServerFaults Now;
  {
    std::lock_guard Lock(this->Mutex);
    Now = this->Faults;
    auto Key = numericHeaderValue(Request, "Shard-Key");
    bool Misdirected =
        headerValue(Request, "Expect-Instance") != this->Settings.Id ||
        (Key && !this->holdsLocked(std::uint32_t(*Key)));
    if (Misdirected) {
      return this->refuse(http::status::misdirected_request, RequestId);
    }
    if (this->coldLeft() > Duration::zero()) {
      this->ColdArrivals.push_back(BootClock::now());
    }
    if (Now.RefuseRequests || this->Running >= this->Settings.Slots) {
      return this->refuse(http::status::service_unavailable, RequestId);
    }
    ++this->Running;
    this->ExecutedRequests.push_back(RequestId);
    if (Now.RunTwice) {
      this->ExecutedRequests.push_back(RequestId);
    }
    this->LastRequestHeaders.clear();
    for (const auto &Field : Request) {
      this->LastRequestHeaders[std::string(Field.name_string())] =
          std::string(Field.value());
    }
  }

  sleepFor(this->Io, Now.ServiceTime, Yield);
  std::lock_guard Lock(this->Mutex);
  --this->Running;
  HttpResponse Response(http::status::ok, 11);
  Response.body() = absl::StrCat(this->Settings.Id, " ran ", RequestId);
  Response.body().resize(std::max(Response.body().size(), Now.MinResponseBytes),
                         '.');
  Response.set("Request-Id", Now.WrongRequestIds ? "another" : RequestId);
  Response.set("Body-Bytes", std::to_string(Request.body().size()));
  Response.set("Server-Stamp", absl::StrCat("stamp-", RequestId));
  if (Now.OmitServerStamp) {
    // Without the stamp the daemon must not take the response as the server's
    // own.
    Response.keep_alive(false);
    Response.erase("Server-Stamp");
  }
  return Response;
}

// Reports

void FakePlatformServer::reportLoop(const asio::yield_context &Yield) {
  while (true) {
    bool SuppressReports = false;
    {
      std::lock_guard Lock(this->Mutex);
      SuppressReports = this->Faults.SuppressReports;
    }
    bool KeysReleased = !SuppressReports && this->report(Yield);
    sleepFor(this->Io,
             KeysReleased ? ReleaseReportDelay : this->Settings.Heartbeat,
             Yield);
  }
}

Json::Value FakePlatformServer::makeReport() {
  std::lock_guard Lock(this->Mutex);
  Json::Value Report;
  Report["service"] = this->Settings.Service;
  bool IsAdvertised = this->Settings.Advertised.Port != 0;
  Report["address"] =
      (IsAdvertised ? this->Settings.Advertised : this->Settings.At).toText();
  Report["zone"] = this->Settings.DataCenter;
  Report["version"] = "v1";
  Report["slots"] = this->Settings.Slots;
  Report["state"] = this->Draining ? "draining" : "ready";
  Report["cold_left"] = absl::StrCat(toMilliseconds(this->coldLeft()), "ms");
  Report["sequence"] = Json::UInt64(++this->Sequence);
  Report["born"] = Json::Int64(this->StartedAtUnixMs);
  Report["holds"] = Json::Value(Json::arrayValue);
  for (const HeldKeyRange &Held : this->HeldRanges) {
    Json::Value Row(Json::arrayValue);
    Row.append(Held.From);
    Row.append(Held.To);
    Row.append(Json::UInt64(Held.Token));
    Report["holds"].append(Row);
  }
  Report["released"] = this->Released;
  return Report;
}

std::string FakePlatformServer::takeReport() {
  return writeJson(this->makeReport());
}

std::int64_t FakePlatformServer::startedAtUnixMs() {
  std::lock_guard Lock(this->Mutex);
  return this->StartedAtUnixMs;
}

bool FakePlatformServer::report(const asio::yield_context &Yield) {
  HttpRequest Request(http::verb::put, "/api/instances/" + this->Settings.Id,
                      11);
  Request.set(http::field::host, "daemon");
  Request.set(http::field::content_type, "application/json");
  Request.body() = writeJson(this->makeReport());

  TimePoint SentAt = BootClock::now();
  std::int64_t SentByStartedAtUnixMs = this->startedAtUnixMs();
  ExchangeResult Exchange =
      this->Client.exchange(this->Settings.Daemon, Request,
                            {.Deadline = SentAt + ReportTimeout}, Yield);
  bool Acknowledged = Exchange.Outcome == ExchangeOutcome::Answered &&
                      Exchange.Response.result() == http::status::ok;
  auto Answer =
      Acknowledged ? readJson(Exchange.Response.body()) : std::nullopt;
  // A response to a report from before a restart is ignored.
  return Answer && !this->Settings.GrantsByCall &&
         SentByStartedAtUnixMs == this->startedAtUnixMs() &&
         this->applyResponse(*Answer, SentAt);
}

bool FakePlatformServer::applyResponse(const Json::Value &Answer,
                                       TimePoint SentAt) {
  std::lock_guard Lock(this->Mutex);
  this->Released = Json::Value(Json::arrayValue);
  auto HoldTime = parseDuration(getString(Answer, "hold_time"));
  if (!HoldTime) {
    return false;
  }

  std::vector<HeldKeyRange> NextRanges;
  for (const Json::Value &Row : Answer["holds"]) {
    NextRanges.push_back({Row[0].asUInt(), Row[1].asUInt(), Row[2].asUInt64(),
                          SentAt + *HoldTime});
  }
  auto IsKept = [&](std::uint32_t Key) {
    return std::any_of(NextRanges.begin(), NextRanges.end(),
                       [&](const HeldKeyRange &Held) {
                         return Held.From <= Key && Key <= Held.To;
                       });
  };
  for (const HeldKeyRange &Held : this->HeldRanges) {
    std::uint32_t Key = Held.From;
    while (Key <= Held.To) {
      std::uint32_t First = Key;
      while (Key <= Held.To && !IsKept(Key)) {
        ++Key;
      }
      if (Key > First) {
        Json::Value Row(Json::arrayValue);
        Row.append(First);
        Row.append(Key - 1);
        Row.append("state");
        this->Released.append(Row);
      }
      while (Key <= Held.To && IsKept(Key)) {
        ++Key;
      }
    }
  }
  this->HeldRanges = std::move(NextRanges);
  if (this->Checker) {
    this->Checker->setHeldKeys(this->Settings.Id, this->HeldRanges);
  }
  return !this->Released.empty();
}

} // namespace hemlockspar
