#include "mesh/GrantClient.h"

#include "core/Log.h"

#include <boost/asio/detached.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// How long a release call waits for running requests to end. It is repeated
/// meanwhile, and grants expire on their own.
constexpr auto ReleaseTimeout = std::chrono::milliseconds(3000);

/// A grant that cannot be sent within this time is given up, since its time
/// counts from its arrival.
constexpr auto MaxSendDelay = std::chrono::milliseconds(150);

HttpClient::Limits grantLimits() {
  HttpClient::Limits Bounds;
  Bounds.ConnectTimeout = MaxSendDelay;
  Bounds.MaxIdleConnections = 4;
  Bounds.MaxIdleTime = std::chrono::seconds(8);
  return Bounds;
}

HttpClient::Limits releaseLimits() {
  HttpClient::Limits Bounds = grantLimits();
  Bounds.MaxIdleConnections = 0;
  return Bounds;
}

std::string rangeText(const KeyRange &Keys) {
  return std::to_string(Keys.First) + ".." + std::to_string(Keys.Last);
}

} // namespace

GrantClient::GrantClient(asio::io_context &Io, const LocalServer &Server,
                         const GrantCodec &Codec, Listener &Results)
    : Io(Io), Server(Server), Codec(Codec), Results(Results),
      Client(Io, grantLimits()), ReleaseClient(Io, releaseLimits()) {}

void GrantClient::grant(GrantCallNumber Number, const GrantedKeys &Grant,
                        Duration HoldTime) {
  TimePoint Now = BootClock::now();
  asio::spawn(
      this->Io,
      [this, Number, Grant, HoldTime, Now](const asio::yield_context &Yield) {
        HttpRequest Request = this->Codec.encodeGrant(Grant, HoldTime);
        ExchangeOptions Bounds;
        Bounds.Deadline = Now + CallGrants::CallTimeout;
        Bounds.SendBefore = Now + MaxSendDelay;
        ExchangeResult Exchange = this->Client.exchange(
            this->Server.lastReport().ServerAddress, Request, Bounds, Yield);

        GrantOutcome Outcome = GrantOutcome::Unknown;
        if (Exchange.Outcome == ExchangeOutcome::Answered) {
          Outcome = this->Codec.decodeGrant(Exchange.Response);
        } else if (Exchange.Outcome != ExchangeOutcome::Ambiguous) {
          Outcome = GrantOutcome::NotSent;
        }
        if (Outcome != GrantOutcome::Accepted) {
          LogLine(LogLevel::Info, "keys", "grant_not_confirmed")
              .with("keys", rangeText(Grant.Keys))
              .with("token", static_cast<long long>(Grant.Token))
              .with("outcome", nameOf(Outcome))
              .with("error", Exchange.Error);
        }
        this->Results.onGrantResult(Number, Outcome);
        if (Exchange.ConnectionRefused) {
          this->Results.onGrantRefused();
        }
      },
      asio::detached);
}

void GrantClient::release(GrantCallNumber Number, const GrantedKeys &Grant) {
  asio::spawn(
      this->Io,
      [this, Number, Grant](const asio::yield_context &Yield) {
        HttpRequest Request = this->Codec.encodeRelease(Grant);
        ExchangeResult Exchange = this->ReleaseClient.exchange(
            this->Server.lastReport().ServerAddress, Request,
            {.Deadline = BootClock::now() + ReleaseTimeout}, Yield);

        std::optional<std::string> State;
        if (Exchange.Outcome == ExchangeOutcome::Answered) {
          State = this->Codec.decodeRelease(Exchange.Response);
        }
        if (!State) {
          LogLine(LogLevel::Info, "keys", "release_not_confirmed")
              .with("keys", rangeText(Grant.Keys))
              .with("token", static_cast<long long>(Grant.Token))
              .with("outcome", nameOf(Exchange.Outcome))
              .with("error", Exchange.Error);
        }
        this->Results.onReleaseResult(Number, State);
      },
      asio::detached);
}

} // namespace hemlockspar
