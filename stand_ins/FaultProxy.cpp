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

/// A connection that has carried this much outbound carries an upload.
constexpr std::uint64_t UploadBytes = 64 << 10;

/// The client reads what it was sent before its connection is reset.
constexpr auto ResetDelay = std::chrono::milliseconds(100);

bool readFlag(const Json::Value &Fields, const char *Name) {
  return Fields[Name].isBool() && Fields[Name].asBool();
}

} // namespace

/// A client's connection and the connection to its target.
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
  bool Stalled = false;
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
  auto &Listener = this->Listeners.emplace_back(
      this->Io, MaxConnections,
      [this, Target](Socket Client, const asio::yield_context &Yield) {
        error_code Error;
        auto Connection = std::make_shared<ProxiedConnection>(std::move(Client),
                                                              this->Io, Target);
        Connection->From =
            Connection->Client.remote_endpoint(Error).address().to_string();
        this->connectAndRelay(Connection, Yield);
      });
  return Listener.listen(Listen);
}

void FaultProxy::connectAndRelay(
    const std::shared_ptr<ProxiedConnection> &Connection,
    const asio::yield_context &Yield) {
  error_code Error;
  if (this->faultsFor(Connection->From, Connection->Target.Host).Reset) {
    Connection->close();
    return;
  }

  Connection->Server.async_connect(Connection->Target.toEndpoint(Error),
                                   Yield[Error]);
  if (Error) {
    Connection->close();
    return;
  }

  Connection->Server.set_option(asio::ip::tcp::no_delay(true), Error);
  this->OpenConnections.insert(Connection);
  asio::spawn(
      this->Io,
      [this, Connection](const asio::yield_context &InboundYield) {
        this->relay(Connection, false, InboundYield);
      },
      asio::detached);
  this->relay(Connection, true, Yield);
}

void FaultProxy::relay(const std::shared_ptr<ProxiedConnection> &Connection,
                       bool Outbound, const asio::yield_context &Yield) {
  Socket &Source = Outbound ? Connection->Client : Connection->Server;
  Socket &Sink = Outbound ? Connection->Server : Connection->Client;
  std::array<char, BufferBytes> Buffer;
  asio::steady_timer Timer(this->Io);
  error_code Error;
  std::uint64_t InboundBytes = 0;
  std::uint64_t OutboundBytes = 0;

  while (!Error) {
    std::size_t Count =
        Source.async_read_some(asio::buffer(Buffer), Yield[Error]);
    LinkFaults Faults =
        this->faultsFor(Connection->From, Connection->Target.Host);
    bool Cut = Outbound ? Faults.DropOutbound : Faults.DropInbound;
    if (Error || Cut || Connection->Stalled) {
      continue;
    }
    if (Faults.DelayMs > 0) {
      Timer.expires_after(std::chrono::milliseconds(Faults.DelayMs));
      Timer.async_wait(Yield[Error]);
    }
    if (!Outbound && Faults.InboundRate > 0) {
      this->awaitLink(Connection->From, Count, Faults.InboundRate, Yield);
    }
    if (!Outbound) {
      malformHead(std::span(Buffer.data(), Count), Faults.InboundHead);
    }
    if (Outbound && !Faults.BrokenOffResponse.empty()) {
      OutboundBytes += Count;
      if (OutboundBytes >= UploadBytes) {
        this->breakOff(Connection->Client, Faults.BrokenOffResponse, Yield);
        break;
      }
    }
    asio::async_write(Sink, asio::buffer(Buffer.data(), Count), Yield[Error]);
    if (!Outbound && Faults.MaxInboundBytes > 0) {
      InboundBytes += Count;
      if (InboundBytes >= Faults.MaxInboundBytes) {
        break;
      }
    }
  }

  Connection->close();
  this->OpenConnections.erase(Connection);
}

void FaultProxy::awaitLink(const std::string &From, std::size_t Bytes,
                           std::uint64_t Rate,
                           const asio::yield_context &Yield) {
  TimePoint &Free = this->FreeAt[From];
  Free = std::max(Free, BootClock::now()) +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
             static_cast<double>(Bytes) / static_cast<double>(Rate)));
  asio::steady_timer Timer(this->Io, Free - BootClock::now());
  error_code Ignored;
  Timer.async_wait(Yield[Ignored]);
}

void FaultProxy::breakOff(Socket &Client, const std::string &Response,
                          const asio::yield_context &Yield) {
  error_code Ignored;
  asio::async_write(Client, asio::buffer(Response), Yield[Ignored]);
  asio::steady_timer Timer(this->Io, ResetDelay);
  Timer.async_wait(Yield[Ignored]);
  Client.set_option(asio::socket_base::linger(true, 0), Ignored);
}

LinkFaults FaultProxy::faultsFor(const std::string &From,
                                 const std::string &To) const {
  LinkFaults Combined;
  for (const auto &[Link, Faults] : this->Links) {
    bool Matches = (Link.first.empty() || Link.first == From) &&
                   (Link.second.empty() || Link.second == To);
    if (!Matches) {
      continue;
    }
    Combined.DropOutbound = Combined.DropOutbound || Faults.DropOutbound;
    Combined.DropInbound = Combined.DropInbound || Faults.DropInbound;
    Combined.Reset = Combined.Reset || Faults.Reset;
    Combined.StallOpen = Combined.StallOpen || Faults.StallOpen;
    Combined.DelayMs += Faults.DelayMs;
    Combined.MaxInboundBytes =
        std::max(Combined.MaxInboundBytes, Faults.MaxInboundBytes);
    Combined.InboundRate = std::max(Combined.InboundRate, Faults.InboundRate);
    if (Faults.InboundHead != HeadFault::None) {
      Combined.InboundHead = Faults.InboundHead;
    }
    if (!Faults.BrokenOffResponse.empty()) {
      Combined.BrokenOffResponse = Faults.BrokenOffResponse;
    }
  }
  return Combined;
}

HttpResponse FaultProxy::setFaults(const HttpRequest &Request) {
  auto Fields = readJson(Request.body());
  if (!Fields || !Fields->isObject()) {
    return problemResponse(http::status::bad_request,
                           "the body is not a JSON object", "");
  }

  LinkFaults &Faults =
      this->Links[{getString(*Fields, "from"), getString(*Fields, "to")}];
  Faults.DropOutbound = readFlag(*Fields, "cut_out");
  Faults.DropInbound = readFlag(*Fields, "cut_back");
  Faults.Reset = readFlag(*Fields, "reset");
  Faults.StallOpen = readFlag(*Fields, "stall_open");
  Faults.DelayMs = getUnsigned(*Fields, "delay_ms");
  Faults.MaxInboundBytes = getUnsigned(*Fields, "max_back_bytes");
  Faults.InboundRate = getUnsigned(*Fields, "back_rate");
  Faults.InboundHead = headFaultOf(getString(*Fields, "back_head"));
  Faults.BrokenOffResponse = getString(*Fields, "broken_off");

  this->applyToOpenConnections();
  Faults.StallOpen = false;
  return jsonResponse(http::status::ok, Json::Value("set"));
}

void FaultProxy::applyToOpenConnections() {
  for (const auto &Connection : std::set(this->OpenConnections)) {
    LinkFaults Faults =
        this->faultsFor(Connection->From, Connection->Target.Host);
    Connection->Stalled = Connection->Stalled || Faults.StallOpen;
    if (Faults.Reset) {
      Connection->close();
    }
  }
}

} // namespace hemlockspar
