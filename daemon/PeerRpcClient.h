#pragma once

#include "coordination/InstanceDirectory.h"
#include "net/RpcClient.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>

namespace hemlockspar {

/// Calls RPC methods of other daemons, addressed by instance name. Lives as
/// long as the process; runs on the control thread.
class PeerRpcClient {
public:
  /// \p PeerDirectory holds the addresses of the instances; it must outlive
  /// this object.
  PeerRpcClient(boost::asio::io_context &Io, RpcClient &Client,
                const InstanceDirectory &PeerDirectory, InstanceId Self);

  PeerRpcClient(const PeerRpcClient &) = delete;
  PeerRpcClient &operator=(const PeerRpcClient &) = delete;

  /// \p OnDone is called once, never before this returns. A call to an unknown
  /// instance fails.
  void call(const InstanceId &Peer, const std::string &Method,
            const Json::Value &Params, RpcClient::Callback OnDone);

  /// Reads all row changes after \p Since from \p Peer; \p OnDone gets
  /// std::nullopt on failure.
  using RowsCallback =
      std::function<void(const std::optional<RowBatch> &Batch)>;
  void readRows(const InstanceId &Peer, RowVersion Since, RowsCallback OnDone);

  /// Sends \p Batch to all live instances, first to those whose own rows it
  /// changes. Instances that miss a push read the rows later, by version.
  void pushRows(const RowBatch &Batch);

  /// Closes connections that have not been used recently.
  void closeIdle();

private:
  /// Rows to be sent to one peer. All peers share the encoded text.
  struct Push {
    InstanceId Peer;
    std::shared_ptr<const std::string> Text;
  };

  std::optional<Address> addressOf(const InstanceId &Peer) const;
  void sendPushes();

  boost::asio::io_context &Io;
  RpcClient &Client;
  const InstanceDirectory &PeerDirectory;
  InstanceId Self;
  std::deque<Push> PendingPushes;
  std::size_t OutstandingPushes = 0;
};

} // namespace hemlockspar
