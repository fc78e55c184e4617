#include "stand_ins/FaultProxy.h"

#include "core/Json.h"

#include <array>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace hemlockspar {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t BufferBytes = 16384;
constexpr std::size_t MaxConnections = 4096;

bool flagOf(const Json::Value &Fields, const char *Name) {
  return Fields[Name].isBool() && Fields[Name].asBool();
}

} // namespace

/// Two joined connections.
struct FaultProxy::Pipe {
  Pipe(Socket Caller, asio::io_context &Io, Address Target)
      : Caller(std::move(Caller)), Server(Io), Target(std::move(Target)) {}

  void close() {
    error_code Ignored;
    this->Caller.close(Ignored);
    this->Server.close(Ignored);
  }

  Socket Caller;
  Socket Server;
  Address Target;
  std::string From;
};

FaultProxy::FaultProxy(asio::io_context &Io)
    : Io(Io), Control(Io, HttpLimits(),
                      [this](HttpRequest &Request, CallerWatch &,
                             const asio::yield_context &) {
                        return this->setFaults(Request);
                      }) {}

absl::Status FaultProxy::listenForFaults(const Address &At) {
  return this->Control.listen(At);
}

absl::Status FaultProxy::forward(const Address &Listen, const Address &Target) {
  auto &Accepting = this->Incoming.emplace_back(
      this->Io, MaxConnections,
      [this, Target](Socket Caller, const asio::yield_context &Yield) {
        error_code Error;
        auto Through =
            std::make_shared<Pipe>(std::move(Caller), this->Io, Target);
        Through->From =
            Through->Caller.remote_endpoint(Error).address().to_string();
        this->open(Through, Yield);
      });
  return Accepting.listen(Listen);
}

void FaultProxy::open(const std::shared_ptr<Pipe> &Through,
                      const asio::yield_context &Yield) {
  error_code Error;
  if (this->faultsFor(Through->From, Through->Target.Host).Reset) {
    Through->close();
    return;
  }

  Through->Server.async_connect(Through->Target.toEndpoint(Error),
                                Yield[Error]);
  if (Error) {
    Through->close();
    return;
  }

  Through->Server.set_option(asio::ip::tcp::no_delay(true), Error);
  this->Open.insert(Through);
  asio::spawn(
      this->Io,
      [this, Through](const asio::yield_context &Back) {
        this->copy(Through, false, Back);
      },
      asio::detached);
  this->copy(Through, true, Yield);
}

void FaultProxy::copy(const std::shared_ptr<Pipe> &Through, bool Out,
                      const asio::yield_context &Yield) {
  Socket &Source = Out ? Through->Caller : Through->Server;
  Socket &Sink = Out ? Through->Server : Through->Caller;
  std::array<char, BufferBytes> Buffer;
  asio::steady_timer Timer(this->Io);
  error_code Error;

  while (!Error) {
    std::size_t Count =
        Source.async_read_some(asio::buffer(Buffer), Yield[Error]);
    LinkFaults Faults = this->faultsFor(Through->From, Through->Target.Host);
    if (Error || (Out ? Faults.CutOut : Faults.CutBack)) {
      continue;
    }
    if (Faults.DelayMs > 0) {
      Timer.expires_after(std::chrono::milliseconds(Faults.DelayMs));
      Timer.async_wait(Yield[Error]);
    }
    asio::async_write(Sink, asio::buffer(Buffer.data(), Count), Yield[Error]);
  }

  Through->close();
  this->Open.erase(Through);
}

LinkFaults FaultProxy::faultsFor(const std::string &From,
                                 const std::string &To) const {
  LinkFaults Sum;
  for (const auto &[Link, Faults] : this->Links) {
    bool Matches = (Link.first.empty() || Link.first == From) &&
                   (Link.second.empty() || Link.second == To);
    if (!Matches) {
      continue;
    }
    Sum.CutOut = Sum.CutOut || Faults.CutOut;
    Sum.CutBack = Sum.CutBack || Faults.CutBack;
    Sum.Reset = Sum.Reset || Faults.Reset;
    Sum.DelayMs += Faults.DelayMs;
  }
  return Sum;
}

HttpResponse FaultProxy::setFaults(const HttpRequest &Request) {
  auto Fields = readJson(Request.body());
  if (!Fields || !Fields->isObject()) {
    return problemResponse(http::status::bad_request, "bad JSON", "");
  }

  LinkFaults &Faults =
      this->Links[{getString(*Fields, "from"), getString(*Fields, "to")}];
  Faults.CutOut = flagOf(*Fields, "cut_out");
  Faults.CutBack = flagOf(*Fields, "cut_back");
  Faults.Reset = flagOf(*Fields, "reset");
  Faults.DelayMs = getUnsigned(*Fields, "delay_ms");

  this->resetCutLinks();
  return jsonResponse(http::status::ok, Json::Value("set"));
}

void FaultProxy::resetCutLinks() {
  for (const auto &Through : std::set(this->Open)) {
    if (this->faultsFor(Through->From, Through->Target.Host).Reset) {
      Through->close();
    }
  }
}

} // namespace hemlockspar
