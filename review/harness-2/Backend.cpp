#include "review/harness-2/Backend.h"

#include "core/DurationText.h"
#include "core/Json.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using hemlockspar::headerValue;
using hemlockspar::HttpRequest;
using hemlockspar::HttpResponse;

namespace {

constexpr std::uint32_t KeyCount = 65536;
constexpr auto ReportTimeout = std::chrono::seconds(1);

/// Largest response to a report that counts as an acknowledgement.
constexpr std::size_t MaxAnswerBytes = 4096;

/// The next report after keys were released comes within 100 ms.
constexpr auto ReleaseReportDelay = Milliseconds(80);

} // namespace

Backend::Backend(Settings Own, Runs &Begun, Ledger &Owners, Record &Out)
    : Own(std::move(Own)), Begun(Begun), Owners(Owners), Out(Out),
      Listener(this->Io), Client(this->Io, {}),
      Random(std::hash<std::string>()(this->Own.Id)), SeenFences(KeyCount) {}

Backend::~Backend() { this->stop(); }

void Backend::stop() {
  this->Io.stop();
  if (this->Thread.joinable()) {
    this->Thread.join();
  }
  error_code Ignored;
  this->Listener.close(Ignored);
  std::lock_guard Lock(this->Mutex);
  this->Held.clear();
}

bool Backend::start() {
  error_code Error;
  auto Endpoint = this->Own.At.toEndpoint(Error);
  this->Listener.open(Endpoint.protocol(), Error);
  this->Listener.set_option(asio::socket_base::reuse_address(true), Error);
  this->Listener.bind(Endpoint, Error);
  if (!Error) {
    this->Listener.listen(asio::socket_base::max_listen_connections, Error);
  }
  if (Error) {
    return false;
  }
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  this->StartedAtUnixMs = std::chrono::duration_cast<Milliseconds>(Now).count();
  asio::spawn(
      this->Io, [this](const Yield &Context) { this->accept(Context); },
      asio::detached);
  asio::spawn(
      this->Io, [this](const Yield &Context) { this->reportLoop(Context); },
      asio::detached);
  this->Thread = std::thread([this] { this->Io.run(); });
  return true;
}

void Backend::sleep(Milliseconds Span, const Yield &Context) {
  error_code Ignored;
  asio::steady_timer Timer(this->Io, Span);
  Timer.async_wait(Context[Ignored]);
}

// Requests

void Backend::accept(const Yield &Context) {
  error_code Error;
  while (!Error) {
    Socket Peer(this->Io);
    this->Listener.async_accept(Peer, Context[Error]);
    if (!Error) {
      asio::spawn(
          this->Io,
          [this, Peer = std::move(Peer)](const Yield &Inner) mutable {
            this->serve(std::move(Peer), Inner);
          },
          asio::detached);
    }
  }
}

void Backend::serve(Socket Peer, const Yield &Context) {
  error_code Error;
  boost::beast::flat_buffer Buffer;
  Peer.set_option(asio::ip::tcp::no_delay(true), Error);
  std::uniform_real_distribution<double> Draw(0, 1);
  while (true) {
    HttpRequest Request;
    http::async_read(Peer, Buffer, Request, Context[Error]);
    if (Error) {
      return;
    }
    HttpResponse Response = this->answer(Request, Context);
    Response.prepare_payload();
    http::async_write(Peer, Response, Context[Error]);
    bool Trails = !Error && Response.result() == http::status::ok &&
                  Draw(this->Random) < this->Own.TrailingShare;
    if (Trails) {
      this->sleep(this->Own.TrailingDelay, Context);
      ++this->Trailing;
      this->Out.write(this->Own.Id + " sends bytes after its answer to " +
                      headerValue(Request, "Request-Id"));
      asio::async_write(Peer, asio::buffer(this->Own.TrailingBytes),
                        Context[Error]);
    }
    if (Error) {
      return;
    }
  }
}

HttpResponse Backend::answer(const HttpRequest &Request, const Yield &Context) {
  std::string Id = headerValue(Request, "Request-Id");
  HttpResponse Response(http::status::ok, 11);
  Response.set("Request-Id", Id);
  Response.set("Instance-Id", this->Own.Id);
  if (Request.target() == "/healthz") {
    return Response;
  }

  auto Key = hemlockspar::numericHeaderValue(Request, "Shard-Key");
  {
    std::lock_guard Lock(this->Mutex);
    bool Holds = !this->Own.Keyed ||
                 (Key && this->isHeldLocked(static_cast<std::uint32_t>(*Key)));
    std::string Expected = headerValue(Request, "Expect-Instance");
    bool Misdirected =
        (!Expected.empty() && Expected != this->Own.Id) || !Holds;
    if (Misdirected || this->Running >= this->Own.Slots) {
      Response.result(Misdirected ? http::status::misdirected_request
                                  : http::status::service_unavailable);
      Response.set("Not-Executed", "1");
      return Response;
    }
    ++this->Running;
  }
  {
    std::lock_guard Lock(this->Begun.Mutex);
    ++this->Begun.Count[Id];
    this->Begun.CallerService[Id] = headerValue(Request, "Caller-Service");
  }
  this->Out.write(this->Own.Id + " runs " + Id + " for " +
                  headerValue(Request, "Caller-Service"));

  std::uniform_int_distribution<long long> Span(this->Own.ShortestRun.count(),
                                                this->Own.LongestRun.count());
  this->sleep(Milliseconds(Span(this->Random)), Context);
  std::lock_guard Lock(this->Mutex);
  --this->Running;
  Response.set("Server-Stamp", "stamp-" + Id);
  Response.body() = this->Own.Id + " ran " + Id;
  return Response;
}

// Keys

bool Backend::isHeldLocked(std::uint32_t Key) const {
  Clock::time_point Now = Clock::now();
  return std::any_of(
      this->Held.begin(), this->Held.end(), [&](const HeldRange &Range) {
        return Range.From <= Key && Key <= Range.To && Now < Range.Until;
      });
}

bool Backend::holds(std::uint32_t Key) const {
  std::lock_guard Lock(this->Mutex);
  return this->isHeldLocked(Key);
}

std::uint32_t Backend::heldKeys() const {
  std::lock_guard Lock(this->Mutex);
  std::uint32_t Count = 0;
  for (const HeldRange &Range : this->Held) {
    Count += Clock::now() < Range.Until ? Range.To - Range.From + 1 : 0;
  }
  return Count;
}

void Backend::reportLoop(const Yield &Context) {
  while (true) {
    bool Freed = this->report(Context);
    this->sleep(Freed ? ReleaseReportDelay : this->Own.Heartbeat, Context);
  }
}

std::string Backend::reportBody() {
  std::lock_guard Lock(this->Mutex);
  Json::Value Body;
  Body["service"] = this->Own.Service;
  Body["address"] = this->Own.At.toText();
  Body["zone"] = this->Own.Zone;
  Body["version"] = "v1";
  Body["slots"] = this->Own.Slots;
  Body["state"] = "ready";
  Body["cold_left"] = "0ms";
  Body["sequence"] = Json::UInt64(++this->Sequence);
  Body["born"] = Json::Int64(this->StartedAtUnixMs);
  if (this->Own.Keyed) {
    Body["holds"] = Json::Value(Json::arrayValue);
    for (const HeldRange &Range : this->Held) {
      if (Clock::now() < Range.Until) {
        Json::Value Row(Json::arrayValue);
        Row.append(Range.From);
        Row.append(Range.To);
        Row.append(Json::UInt64(Range.Fence));
        Body["holds"].append(Row);
      }
    }
    Body["released"] = this->Released;
  }
  return hemlockspar::writeJson(Body);
}

bool Backend::report(const Yield &Context) {
  HttpRequest Request(http::verb::put, "/api/instances/" + this->Own.Id, 11);
  Request.set(http::field::host, "daemon");
  Request.set(http::field::content_type, "application/json");
  Request.body() = this->reportBody();
  Clock::time_point SentAt = Clock::now();
  hemlockspar::ExchangeResult Exchange = this->Client.exchange(
      this->Own.Daemon, Request,
      {.Deadline = hemlockspar::BootClock::now() + ReportTimeout}, Context);
  bool Acknowledged =
      Exchange.Outcome == hemlockspar::ExchangeOutcome::Answered &&
      Exchange.Response.result() == http::status::ok &&
      Exchange.Response.body().size() <= MaxAnswerBytes;
  auto Answer = Acknowledged ? hemlockspar::readJson(Exchange.Response.body())
                             : std::nullopt;
  return Answer && this->Own.Keyed && this->applyGrants(*Answer, SentAt);
}

bool Backend::applyGrants(const Json::Value &Answer, Clock::time_point SentAt) {
  std::lock_guard Lock(this->Mutex);
  this->Released = Json::Value(Json::arrayValue);
  auto HoldTime =
      hemlockspar::parseDuration(hemlockspar::getString(Answer, "hold_time"));
  if (!HoldTime || !Answer["holds"].isArray()) {
    return false;
  }

  Clock::time_point Now = Clock::now();
  std::vector<HeldRange> Next;
  std::set<std::uint32_t> Kept;
  for (const Json::Value &Row : Answer["holds"]) {
    HeldRange Range = {
        Row[0].asUInt(), Row[1].asUInt(), Row[2].asUInt64(),
        SentAt + std::chrono::duration_cast<Clock::duration>(*HoldTime),
        this->Owners.isExcused(this->Own.Id)};
    auto First = this->SeenFences.begin() + Range.From;
    auto End = this->SeenFences.begin() + Range.To + 1;
    if (*std::max_element(First, End) > Range.Fence) {
      continue;
    }
    std::fill(First, End, Range.Fence);
    for (std::uint32_t Key = Range.From; Key <= Range.To; ++Key) {
      Kept.insert(Key);
    }
    Next.push_back(Range);
  }

  for (const HeldRange &Range : this->Held) {
    // An expired lease is not reported as released.
    std::uint32_t Key = Now < Range.Until ? Range.From : Range.To + 1;
    while (Key <= Range.To) {
      std::uint32_t First = Key;
      while (Key <= Range.To && !Kept.contains(Key)) {
        ++Key;
      }
      if (Key > First) {
        Json::Value Row(Json::arrayValue);
        Row.append(First);
        Row.append(Key - 1);
        Row.append("5c0e7a21d94b36f8");
        this->Released.append(Row);
      }
      while (Key <= Range.To && Kept.contains(Key)) {
        ++Key;
      }
    }
  }
  bool Changed = this->Held.size() != Next.size() || !this->Released.empty();
  this->Held = std::move(Next);
  this->Owners.update(this->Own.Id, this->Held);
  if (Changed) {
    std::string Text;
    for (const HeldRange &Range : this->Held) {
      Text += " " + std::to_string(Range.From) + ".." +
              std::to_string(Range.To) + ":" + std::to_string(Range.Fence);
    }
    this->Out.write(this->Own.Id + " holds" + Text);
  }
  return !this->Released.empty();
}

} // namespace review
