#include "daemon/PeerCalls.h"

#include "daemon/PeerCodec.h"
#include "platform/TableCodec.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// A renewal that takes longer would come too late to be of use.
constexpr auto CallTimeout = std::chrono::milliseconds(400);
constexpr auto RowsTimeout = std::chrono::milliseconds(2000);

/// Pushes under way at once; each takes a stack while it lasts.
constexpr std::size_t MaxPushes = 32;

/// Renewals keep the connections to witnesses in use.
constexpr auto IdleTime = std::chrono::seconds(5);

bool changesRowOf(const RowBatch &Batch, const InstanceId &Id) {
  return std::any_of(
      Batch.Rows.begin(), Batch.Rows.end(),
      [&](const TableRow &Row) { return Row.Key == holdingKey(Id); });
}

} // namespace

PeerCalls::PeerCalls(asio::io_context &Io, RpcClient &Client,
                     const InstanceDirectory &Known, InstanceId Self)
    : Io(Io), Client(Client), Known(Known), Self(std::move(Self)) {}

std::optional<Address> PeerCalls::addressOf(const InstanceId &Peer) const {
  const InstanceDirectory::Instance *Found = this->Known.find(Peer);
  if (!Found || Found->LeaseVersion == 0) {
    return std::nullopt;
  }

  const Endpoints &At = Found->Lease.Addresses;
  return Address{At.Host, At.ControlPort};
}

void PeerCalls::call(const InstanceId &Peer, const std::string &Method,
                     const Json::Value &Params, RpcClient::Done OnDone) {
  auto At = this->addressOf(Peer);
  if (!At) {
    asio::post(this->Io, [OnDone = std::move(OnDone)] {
      OnDone(RpcAnswer{false, {}, "no address known"});
    });
    return;
  }

  this->Client.call(*At, Method, Params, CallTimeout, std::move(OnDone));
}

void PeerCalls::readRows(const InstanceId &Peer, RowVersion Since,
                         RowsDone OnDone) {
  auto At = this->addressOf(Peer);
  if (!At) {
    asio::post(this->Io,
               [OnDone = std::move(OnDone)] { OnDone(std::nullopt); });
    return;
  }

  Json::Value Params;
  Params["s"] = Json::UInt64(Since);
  this->Client.call(*At, "rows", Params, RowsTimeout,
                    [OnDone = std::move(OnDone)](const RpcAnswer &Answer) {
                      OnDone(Answer.Succeeded ? batchFromJson(Answer.Result)
                                              : std::nullopt);
                    });
}

void PeerCalls::push(const RowBatch &Batch) {
  auto Text = std::make_shared<const std::string>(
      RpcClientCodec::encodeCall("push", batchToJson(Batch)));

  for (const auto &[Id, Instance] : this->Known.instances()) {
    if (Id == this->Self || !Instance.live()) {
      continue;
    }

    // Those whose own rows changed are the new owners.
    if (changesRowOf(Batch, Id)) {
      this->Pushes.push_front({Id, Text});
    } else {
      this->Pushes.push_back({Id, Text});
    }
  }

  this->sendPushes();
}

void PeerCalls::sendPushes() {
  while (!this->Pushes.empty() && this->PushesOutstanding < MaxPushes) {
    Push Next = std::move(this->Pushes.front());
    this->Pushes.pop_front();

    auto At = this->addressOf(Next.Peer);
    if (!At) {
      continue;
    }

    ++this->PushesOutstanding;
    this->Client.callEncoded(*At, Next.Text, CallTimeout,
                             [this](const RpcAnswer &) {
                               --this->PushesOutstanding;
                               this->sendPushes();
                             });
  }
}

void PeerCalls::closeIdle() { this->Client.closeIdle(IdleTime); }

} // namespace hemlockspar
