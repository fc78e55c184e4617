#include "stand_ins/PlatformServer.h"

#include "core/DurationText.h"
#include "core/Json.h"
#include "net/Event.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/detached.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

constexpr auto ReportTimeout = std::chrono::seconds(1);

/// After an answer that takes keys away the next report follows this soon.
constexpr auto SoonAgain = std::chrono::milliseconds(50);

std::int64_t unixMilliseconds() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
}

} // namespace

PlatformServer::PlatformServer(asio::io_context &Io, Terms Chosen)
    : Io(Io), Chosen(std::move(Chosen)),
      Server(Io, {},
             [this](HttpRequest &Request, CallerWatch &,
                    const asio::yield_context &Yield) {
               return this->serve(Request, Yield);
             }),
      Client(Io, {}), Born(unixMilliseconds()) {}

absl::Status PlatformServer::start() {
  absl::Status Listening = this->Server.listen(this->Chosen.At);
  if (Listening.ok()) {
    asio::spawn(
        this->Io,
        [this](const asio::yield_context &Yield) { this->reportLoop(Yield); },
        asio::detached);
  }
  return Listening;
}

void PlatformServer::setFaults(const PlatformServerFaults &Fresh) {
  std::lock_guard Lock(this->Guard);
  this->Faults = Fresh;
}

void PlatformServer::leave() {
  std::lock_guard Lock(this->Guard);
  this->Leaving = true;
}

void PlatformServer::restart(const std::string &Id) {
  std::lock_guard Lock(this->Guard);
  if (this->Ledger) {
    this->Ledger->replace(this->Chosen.Id, {});
  }
  this->Chosen.Id = Id;
  this->Born = unixMilliseconds();
  this->Sequence = 0;
  this->Holds.clear();
  this->Released = Json::Value(Json::arrayValue);
  this->Leaving = false;
}

bool PlatformServer::holdsLocked(std::uint32_t Key) const {
  TimePoint Now = BootClock::now();
  return std::any_of(
      this->Holds.begin(), this->Holds.end(), [&](const HeldKeys &Held) {
        return Held.From <= Key && Key <= Held.To && Now < Held.Until;
      });
}

bool PlatformServer::holds(std::uint32_t Key) {
  std::lock_guard Lock(this->Guard);
  return this->holdsLocked(Key);
}

std::uint32_t PlatformServer::heldCount() {
  std::lock_guard Lock(this->Guard);
  std::uint32_t Count = 0;
  for (const HeldKeys &Held : this->Holds) {
    bool Valid = BootClock::now() < Held.Until;
    Count += Valid ? Held.To - Held.From + 1 : 0;
  }
  return Count;
}

std::vector<std::string> PlatformServer::runs() {
  std::lock_guard Lock(this->Guard);
  return this->Runs;
}

std::map<std::string, std::string> PlatformServer::newestHeaders() {
  std::lock_guard Lock(this->Guard);
  return this->Newest;
}

HttpResponse PlatformServer::refuse(http::status Status,
                                    const std::string &RequestId) const {
  HttpResponse Response(Status, 11);
  Response.set("Request-Id", RequestId);
  Response.set("Not-Executed", "1");
  Response.set("Instance-Id", this->Chosen.Id);
  return Response;
}

HttpResponse PlatformServer::serve(HttpRequest &Request,
                                   const asio::yield_context &Yield) {
  std::string RequestId = headerValue(Request, "Request-Id");
  PlatformServerFaults Now;
  {
    std::lock_guard Lock(this->Guard);
    Now = this->Faults;
    auto Key = numericHeaderValue(Request, "Shard-Key");
    bool Other = headerValue(Request, "Expect-Instance") != this->Chosen.Id ||
                 (Key && !this->holdsLocked(std::uint32_t(*Key)));
    if (Other) {
      return this->refuse(http::status::misdirected_request, RequestId);
    }
    if (Now.Refuse || this->Running >= this->Chosen.Slots) {
      return this->refuse(http::status::service_unavailable, RequestId);
    }
    ++this->Running;
    this->Runs.push_back(RequestId);
    if (Now.RunTwice) {
      this->Runs.push_back(RequestId);
    }
    this->Newest.clear();
    for (const auto &Field : Request) {
      this->Newest[std::string(Field.name_string())] =
          std::string(Field.value());
    }
  }

  sleepFor(this->Io, Now.Work, Yield);
  std::lock_guard Lock(this->Guard);
  --this->Running;
  HttpResponse Response(http::status::ok, 11);
  Response.body() = absl::StrCat(this->Chosen.Id, " ran ", RequestId);
  Response.set("Request-Id", Now.WrongIds ? "another" : RequestId);
  Response.set("Server-Stamp", absl::StrCat("stamp-", RequestId));
  if (Now.LoseAnswers) {
    // Longer than what comes: the answer breaks off.
    Response.keep_alive(false);
    Response.erase("Server-Stamp");
  }
  return Response;
}

// Reports

void PlatformServer::reportLoop(const asio::yield_context &Yield) {
  while (true) {
    bool Mute = false;
    {
      std::lock_guard Lock(this->Guard);
      Mute = this->Faults.Mute;
    }
    bool Soon = !Mute && this->report(Yield);
    sleepFor(this->Io, Soon ? SoonAgain : this->Chosen.Heartbeat, Yield);
  }
}

Json::Value PlatformServer::makeReport() {
  std::lock_guard Lock(this->Guard);
  Json::Value Report;
  Report["service"] = this->Chosen.Service;
  Report["address"] = this->Chosen.At.toText();
  Report["zone"] = this->Chosen.DataCenter;
  Report["version"] = "v1";
  Report["slots"] = this->Chosen.Slots;
  Report["state"] = this->Leaving ? "draining" : "ready";
  Report["cold_left"] = "0ms";
  Report["sequence"] = Json::UInt64(++this->Sequence);
  Report["born"] = Json::Int64(this->Born);
  Report["holds"] = Json::Value(Json::arrayValue);
  for (const HeldKeys &Held : this->Holds) {
    Json::Value Row(Json::arrayValue);
    Row.append(Held.From);
    Row.append(Held.To);
    Row.append(Json::UInt64(Held.Token));
    Report["holds"].append(Row);
  }
  Report["released"] = this->Released;
  return Report;
}

std::int64_t PlatformServer::bornAt() {
  std::lock_guard Lock(this->Guard);
  return this->Born;
}

bool PlatformServer::report(const asio::yield_context &Yield) {
  HttpRequest Request(http::verb::put, "/api/instances/" + this->Chosen.Id, 11);
  Request.set(http::field::host, "daemon");
  Request.set(http::field::content_type, "application/json");
  Request.body() = writeJson(this->makeReport());

  TimePoint SentAt = BootClock::now();
  std::int64_t SentBy = this->bornAt();
  ExchangeResult Exchange =
      this->Client.exchange(this->Chosen.Daemon, Request,
                            {.Deadline = SentAt + ReportTimeout}, Yield);
  bool Acknowledged = Exchange.Outcome == ExchangeOutcome::Answered &&
                      Exchange.Response.result() == http::status::ok;
  auto Answer =
      Acknowledged ? readJson(Exchange.Response.body()) : std::nullopt;
  // An answer to the run before it counts for nothing.
  return Answer && SentBy == this->bornAt() &&
         this->takeAnswer(*Answer, SentAt);
}

bool PlatformServer::takeAnswer(const Json::Value &Answer, TimePoint SentAt) {
  std::lock_guard Lock(this->Guard);
  this->Released = Json::Value(Json::arrayValue);
  auto HoldTime = parseDuration(getString(Answer, "hold_time"));
  if (!HoldTime) {
    return false;
  }

  std::vector<HeldKeys> Next;
  for (const Json::Value &Row : Answer["holds"]) {
    Next.push_back({Row[0].asUInt(), Row[1].asUInt(), Row[2].asUInt64(),
                    SentAt + *HoldTime});
  }
  auto Kept = [&](std::uint32_t Key) {
    return std::any_of(Next.begin(), Next.end(), [&](const HeldKeys &Held) {
      return Held.From <= Key && Key <= Held.To;
    });
  };
  for (const HeldKeys &Held : this->Holds) {
    std::uint32_t Key = Held.From;
    while (Key <= Held.To) {
      std::uint32_t First = Key;
      while (Key <= Held.To && !Kept(Key)) {
        ++Key;
      }
      if (Key > First) {
        Json::Value Row(Json::arrayValue);
        Row.append(First);
        Row.append(Key - 1);
        Row.append("state");
        this->Released.append(Row);
      }
      while (Key <= Held.To && Kept(Key)) {
        ++Key;
      }
    }
  }
  this->Holds = std::move(Next);
  if (this->Ledger) {
    this->Ledger->replace(this->Chosen.Id, this->Holds);
  }
  return !this->Released.empty();
}

} // namespace hemlockspar
