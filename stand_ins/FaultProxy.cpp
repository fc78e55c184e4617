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
struct FaultProxy::ProxiedConnection {
  ProxiedConnection(Socket Client, asio::io_context &Io, Address Target)
      : Client(std::move(Client)), Server(Io), Target(std::move(Target)) {}

  void close() {
    error_code Ignored;
    this->Client.close(Ignored);
    this->Server.close(Ignored);
  }

  Socket Client;
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

absl::Status FaultProxy::listenForControl(const Address &At) {
  return this->Control.listen(At);
}

absl::Status FaultProxy::forward(const Address &Listen, const Address &Target) {
  auto &Accepting = this->Listeners.emplace_back(
      this->Io, MaxConnections,
      [this, Target](Socket Client, const asio::yield_context &Yield) {
        error_code Error;
        auto Through = std::make_shared<ProxiedConnection>(std::move(Client),
                                                           this->Io, Target);
        Through->From =
            Through->Client.remote_endpoint(Error).address().to_string();
        this->connectAndRelay(Through, Yield);
      });
  return Accepting.listen(Listen);
}

void FaultProxy::connectAndRelay(
    const std::shared_ptr<ProxiedConnection> &Through,
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
  this->OpenConnections.insert(Through);
  asio::spawn(
      this->Io,
      [this, Through](const asio::yield_context &Back) {
        this->relay(Through, false, Back);
      },
      asio::detached);
  this->relay(Through, true, Yield);
}

void FaultProxy::relay(const std::shared_ptr<ProxiedConnection> &Through,
                       bool Out, const asio::yield_context &Yield) {
  Socket &Source = Out ? Through->Client : Through->Server;
  Socket &Sink = Out ? Through->Server : Through->Client;
  std::array<char, BufferBytes> Buffer;
  asio::steady_timer Timer(this->Io);
  error_code Error;

  while (!Error) {
    std::size_t Count =
        Source.async_read_some(asio::buffer(Buffer), Yield[Error]);
    LinkFaults Faults = this->faultsFor(Through->From, Through->Target.Host);
    if (Error || (Out ? Faults.DropOutbound : Faults.DropInbound)) {
      continue;
    }
    if (Faults.DelayMs > 0) {
      Timer.expires_after(std::chrono::milliseconds(Faults.DelayMs));
      Timer.async_wait(Yield[Error]);
    }
    asio::async_write(Sink, asio::buffer(Buffer.data(), Count), Yield[Error]);
  }

  Through->close();
  this->OpenConnections.erase(Through);
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
    Sum.DropOutbound = Sum.DropOutbound || Faults.DropOutbound;
    Sum.DropInbound = Sum.DropInbound || Faults.DropInbound;
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
  Faults.DropOutbound = flagOf(*Fields, "cut_out");
  Faults.DropInbound = flagOf(*Fields, "cut_back");
  Faults.Reset = flagOf(*Fields, "reset");
  Faults.DelayMs = getUnsigned(*Fields, "delay_ms");

  this->closeResetLinks();
  return jsonResponse(http::status::ok, Json::Value("set"));
}

void FaultProxy::closeResetLinks() {
  for (const auto &Through : std::set(this->OpenConnections)) {
    if (this->faultsFor(Through->From, Through->Target.Host).Reset) {
      Through->close();
    }
  }
}

} // namespace hemlockspar
