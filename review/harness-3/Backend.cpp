#include "review/harness-3/Backend.h"

#include "core/DurationText.h"
#include "core/Json.h"
#include "net/Event.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace hemlockspar::review3 {

namespace asio = boost::asio;

namespace {

/// A response to a report counts within this time, and up to this size.
constexpr auto AckTime = std::chrono::seconds(1);
constexpr std::size_t MaxAckBytes = 4096;

/// The next report after keys were released.
constexpr auto ReleaseReportDelay = std::chrono::milliseconds(50);

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

Backend::Backend(asio::io_context &Io, Config Settings, Ledger &Book)
    : Io(Io), Settings(std::move(Settings)), Book(Book),
      Server(Io, HttpLimits(),
             [this](HttpRequest &Request, CallerWatch &Watch,
                    const asio::yield_context &Yield) {
               return this->serve(Request, Watch, Yield);
             }),
      Client(Io, {}),
      BornAt(unixMilliseconds() + this->Settings.ClockAhead.count()),
      Plain(Io) {}

absl::Status Backend::start() {
  absl::Status Listening = this->Settings.SpoilEvery > 0
                               ? this->listenPlain()
                               : this->Server.listen(this->Settings.At);
  if (Listening.ok()) {
    asio::spawn(
        this->Io,
        [this](const asio::yield_context &Yield) { this->reportLoop(Yield); },
        asio::detached);
  }
  return Listening;
}

absl::Status Backend::listenPlain() {
  boost::system::error_code Error;
  auto Endpoint = this->Settings.At.toEndpoint(Error);
  this->Plain.open(Endpoint.protocol(), Error);
  this->Plain.set_option(asio::socket_base::reuse_address(true), Error);
  this->Plain.bind(Endpoint, Error);
  this->Plain.listen(asio::socket_base::max_listen_connections, Error);
  if (Error) {
    return absl::UnavailableError(Error.message());
  }
  asio::spawn(
      this->Io,
      [this](const asio::yield_context &Yield) {
        boost::system::error_code Failure;
        while (!Failure) {
          asio::ip::tcp::socket Socket(this->Io);
          this->Plain.async_accept(Socket, Yield[Failure]);
          asio::spawn(
              this->Io,
              [this, Accepted = std::move(Socket)](
                  const asio::yield_context &Own) mutable {
                this->servePlain(std::move(Accepted), Own);
              },
              asio::detached);
        }
      },
      asio::detached);
  return absl::OkStatus();
}

void Backend::servePlain(asio::ip::tcp::socket Socket,
                         const asio::yield_context &Yield) {
  boost::beast::flat_buffer Buffer;
  boost::system::error_code Error;
  while (!Error) {
    HttpRequest Request;
    http::async_read(Socket, Buffer, Request, Yield[Error]);
    if (Error) {
      return;
    }
    CallerWatch Watch;
    HttpResponse Answer = this->serve(Request, Watch, Yield);
    bool Spoil = Answer.result() == http::status::ok &&
                 ++this->Answers % this->Settings.SpoilEvery == 0;
    if (Spoil) {
      asio::async_write(Socket, asio::buffer(this->spoiled(Answer)),
                        Yield[Error]);
    } else {
      Answer.prepare_payload();
      http::async_write(Socket, Answer, Yield[Error]);
    }
  }
}

std::string Backend::spoiled(const HttpResponse &Answer) {
  std::string Id = headerValue(Answer, "Request-Id");
  this->Book.note(absl::StrCat("spoils the answer to ", Id));
  return absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ", Id,
                      "\r\nServer-Stamp: ", headerValue(Answer, "Server-Stamp"),
                      "\r\nTransfer-Encoding: chunked\r\n\r\n",
                      absl::Hex(Answer.body().size()), "\r\n", Answer.body(),
                      "\r\n0\r\nNot-Executed: 1\r\n\r\n");
}

std::uint32_t Backend::heldKeyCount() const {
  TimePoint Now = BootClock::now();
  std::uint32_t Count = 0;
  for (const HeldRange &Range : this->Ranges) {
    Count += Now < Range.Until ? Range.Last - Range.First + 1 : 0;
  }
  return Count;
}

bool Backend::holds(std::uint32_t Key) const {
  TimePoint Now = BootClock::now();
  return std::any_of(
      this->Ranges.begin(), this->Ranges.end(), [&](const HeldRange &Range) {
        return Range.First <= Key && Key <= Range.Last && Now < Range.Until;
      });
}

HttpResponse Backend::refuse(http::status Status,
                             const std::string &RequestId) const {
  HttpResponse Response(Status, 11);
  Response.set("Request-Id", RequestId);
  Response.set("Not-Executed", "1");
  return Response;
}

HttpResponse Backend::serve(HttpRequest &Request, CallerWatch &,
                            const asio::yield_context &Yield) {
  std::string RequestId = headerValue(Request, "Request-Id");
  if (targetPath({Request.target().data(), Request.target().size()}) ==
      "/healthz") {
    HttpResponse Health(this->Draining ? http::status::service_unavailable
                                       : http::status::ok,
                        11);
    Health.set("Instance-Id", this->Settings.Id);
    return Health;
  }
  if (RequestId.empty()) {
    return this->refuse(http::status::bad_request, RequestId);
  }
  std::string Expected = headerValue(Request, "Expect-Instance");
  auto Key = numericHeaderValue(Request, "Shard-Key");
  bool Misdirected = (!Expected.empty() && Expected != this->Settings.Id) ||
                     (this->Settings.Keyed &&
                      (!Key || !this->holds(static_cast<std::uint32_t>(*Key))));
  if (Misdirected) {
    return this->refuse(http::status::misdirected_request, RequestId);
  }
  if (this->Running >= this->Settings.Slots) {
    return this->refuse(http::status::service_unavailable, RequestId);
  }

  ++this->Running;
  this->Book.note(absl::StrCat("run ", RequestId, " at ", this->Settings.Id,
                               " key ", Key ? static_cast<int>(*Key) : -1));
  sleepFor(this->Io, this->Settings.RunTime, Yield);
  --this->Running;
  bool Lost =
      this->Settings.Keyed && !this->holds(static_cast<std::uint32_t>(*Key));
  HttpResponse Response(
      Lost ? http::status::internal_server_error : http::status::ok, 11);
  Response.set("Request-Id", RequestId);
  Response.set("Server-Stamp",
               absl::StrCat(this->Settings.Id, ".", RequestId, ".stamp"));
  Response.body() = absl::StrCat(this->Settings.Id, " ran ", RequestId, "\n");
  return Response;
}

// Reports

void Backend::reportLoop(const asio::yield_context &Yield) {
  while (true) {
    bool KeysReleased = this->report(Yield);
    sleepFor(this->Io,
             KeysReleased ? ReleaseReportDelay : this->Settings.Heartbeat,
             Yield);
  }
}

bool Backend::report(const asio::yield_context &Yield) {
  TimePoint SentAt = BootClock::now();
  std::erase_if(this->Ranges,
                [&](const HeldRange &Range) { return SentAt >= Range.Until; });

  Json::Value Body;
  Body["service"] = this->Settings.Service;
  Body["address"] = this->Settings.At.toText();
  Body["zone"] = this->Settings.Zone;
  Body["version"] = "v1";
  Body["slots"] = this->Settings.Slots;
  Body["state"] = this->Draining ? "draining" : "ready";
  Body["cold_left"] = "0ms";
  Body["sequence"] = Json::UInt64(++this->Sequence);
  Body["born"] = Json::Int64(this->BornAt);
  if (this->Settings.Keyed) {
    Body["holds"] = Json::Value(Json::arrayValue);
    for (const HeldRange &Range : this->Ranges) {
      Json::Value Row(Json::arrayValue);
      Row.append(Range.First);
      Row.append(Range.Last);
      Row.append(Json::UInt64(Range.Fence));
      Body["holds"].append(Row);
    }
    Body["released"] = this->Released;
  }

  HttpRequest Request(http::verb::put, "/api/instances/" + this->Settings.Id,
                      11);
  Request.set(http::field::host, "daemon");
  Request.set(http::field::content_type, "application/json");
  Request.body() = writeJson(Body);
  ExchangeResult Exchange = this->Client.exchange(
      this->Settings.Daemon, Request, {.Deadline = SentAt + AckTime}, Yield);
  bool Acknowledged = Exchange.Outcome == ExchangeOutcome::Answered &&
                      Exchange.Response.result() == http::status::ok &&
                      Exchange.Response.body().size() <= MaxAckBytes;
  auto Answer =
      Acknowledged ? readJson(Exchange.Response.body()) : std::nullopt;
  if (!Answer) {
    return false;
  }
  bool First = Body["state"] == "draining" && !this->DrainingAcknowledged;
  if (First) {
    this->DrainingAcknowledged = true;
    this->Book.note(
        absl::StrCat("draining of ", this->Settings.Id, " is acknowledged"));
  }
  this->Released = Json::Value(Json::arrayValue);
  return this->Settings.Keyed && this->applyGrants(*Answer, SentAt);
}

bool Backend::mayTake(const HeldRange &Offered) const {
  auto First = this->SeenFence.begin() + Offered.First;
  auto End = this->SeenFence.begin() + Offered.Last + 1;
  return *std::max_element(First, End) <= Offered.Fence;
}

bool Backend::isKept(const std::vector<HeldRange> &Next,
                     std::uint32_t Key) const {
  return std::any_of(Next.begin(), Next.end(), [&](const HeldRange &Range) {
    return Range.First <= Key && Key <= Range.Last;
  });
}

bool Backend::applyGrants(const Json::Value &Answer, TimePoint SentAt) {
  auto HoldTime = parseDuration(getString(Answer, "hold_time"));
  if (!HoldTime || !Answer["holds"].isArray()) {
    return false;
  }
  std::vector<HeldRange> Next;
  for (const Json::Value &Row : Answer["holds"]) {
    HeldRange Offered = {Row[0].asUInt(), Row[1].asUInt(), Row[2].asUInt64(),
                         SentAt + *HoldTime};
    if (this->mayTake(Offered)) {
      std::fill(this->SeenFence.begin() + Offered.First,
                this->SeenFence.begin() + Offered.Last + 1, Offered.Fence);
      Next.push_back(Offered);
    } else {
      this->Book.note(absl::StrCat(this->Settings.Id, " does not accept ",
                                   Offered.First, "..", Offered.Last, "/",
                                   Offered.Fence));
    }
  }

  for (const HeldRange &Range : this->Ranges) {
    std::uint32_t Key = Range.First;
    while (Key <= Range.Last) {
      std::uint32_t First = Key;
      while (Key <= Range.Last && !this->isKept(Next, Key)) {
        ++Key;
      }
      if (Key > First) {
        Json::Value Row(Json::arrayValue);
        Row.append(First);
        Row.append(Key - 1);
        Row.append(absl::StrCat("state-", this->Settings.Id));
        this->Released.append(Row);
      }
      while (Key <= Range.Last && this->isKept(Next, Key)) {
        ++Key;
      }
    }
  }
  this->Ranges = std::move(Next);
  this->Book.setHeld(this->Settings.Id, this->Ranges);
  return !this->Released.empty();
}

} // namespace hemlockspar::review3
