#include "daemon/PeerRpcClient.h"

#include "daemon/PeerCodec.h"
#include "platform/TableCodec.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// A renewal that takes longer would arrive too late to be useful.
constexpr auto CallTimeout = std::chrono::milliseconds(400);
constexpr auto RowsTimeout = std::chrono::milliseconds(2000);

/// Limits the memory of concurrent pushes, each of which uses a coroutine
/// stack.
constexpr std::size_t MaxOutstandingPushes = 32;

/// Connections to witnesses stay open, because renewals use them more often.
constexpr auto IdleConnectionTimeout = std::chrono::seconds(5);

bool changesHoldingOf(const RowBatch &Batch, const InstanceId &Id) {
  return std::any_of(
      Batch.Rows.begin(), Batch.Rows.end(),
      [&](const TableRow &Row) { return Row.Key == holdingKey(Id); });
}

} // namespace

PeerRpcClient::PeerRpcClient(asio::io_context &Io, RpcClient &Client,
                             const InstanceDirectory &PeerDirectory,
                             InstanceId Self)
    : Io(Io), Client(Client), PeerDirectory(PeerDirectory),
      Self(std::move(Self)) {}

std::optional<Address> PeerRpcClient::addressOf(const InstanceId &Peer) const {
  const InstanceDirectory::Instance *Found = this->PeerDirectory.find(Peer);
  if (!Found || Found->LeaseVersion == 0) {
    return std::nullopt;
  }

  const Endpoints &PeerAddress = Found->Lease.Addresses;
  return Address{PeerAddress.Host, PeerAddress.ControlPort};
}

void PeerRpcClient::call(const InstanceId &Peer, const std::string &Method,
                         const Json::Value &Params,
                         RpcClient::Callback OnDone) {
  auto PeerAddress = this->addressOf(Peer);
  if (!PeerAddress) {
    asio::post(this->Io, [OnDone = std::move(OnDone)] {
      OnDone(RpcResponse{false, {}, "the address of the peer is unknown"});
    });
    return;
  }

  this->Client.call(*PeerAddress, Method, Params, CallTimeout,
                    std::move(OnDone));
}

void PeerRpcClient::readRows(const InstanceId &Peer, RowVersion Since,
                             RowsCallback OnDone) {
  auto PeerAddress = this->addressOf(Peer);
  if (!PeerAddress) {
    asio::post(this->Io,
               [OnDone = std::move(OnDone)] { OnDone(std::nullopt); });
    return;
  }

  Json::Value Params;
  Params["s"] = Json::UInt64(Since);
  this->Client.call(*PeerAddress, "rows", Params, RowsTimeout,
                    [OnDone = std::move(OnDone)](const RpcResponse &Response) {
                      OnDone(Response.Succeeded ? batchFromJson(Response.Result)
                                                : std::nullopt);
                    });
}

void PeerRpcClient::pushRows(const RowBatch &Batch) {
  auto Text = std::make_shared<const std::string>(
      RpcClientCodec::encodeCall("push", batchToJson(Batch)));

  for (const auto &[Id, Instance] : this->PeerDirectory.instances()) {
    if (Id == this->Self || !Instance.live()) {
      continue;
    }

    // Instances whose own rows changed are the new owners.
    if (changesHoldingOf(Batch, Id)) {
      this->PendingPushes.push_front({Id, Text});
    } else {
      this->PendingPushes.push_back({Id, Text});
    }
  }

  this->sendPushes();
}

void PeerRpcClient::sendPushes() {
  while (!this->PendingPushes.empty() &&
         this->OutstandingPushes < MaxOutstandingPushes) {
    Push Next = std::move(this->PendingPushes.front());
    this->PendingPushes.pop_front();

    auto PeerAddress = this->addressOf(Next.Peer);
    if (!PeerAddress) {
      continue;
    }

    ++this->OutstandingPushes;
    this->Client.callEncoded(*PeerAddress, Next.Text, CallTimeout,
                             [this](const RpcResponse &) {
                               --this->OutstandingPushes;
                               this->sendPushes();
                             });
  }
}

void PeerRpcClient::closeIdle() {
  this->Client.closeIdle(IdleConnectionTimeout);
}

} // namespace hemlockspar
