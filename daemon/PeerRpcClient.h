#pragma once

#include "coordination/Directory.h"
#include "net/RpcClient.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>

namespace hemlockspar {

/// Calls to the daemons of other instances, by instance name. Lives as long as
/// the process; runs on the control thread.
class PeerRpcClient {
public:
  /// \p Known tells where instances are reached; it must outlive this object.
  PeerRpcClient(boost::asio::io_context &Io, RpcClient &Client,
                const Directory &PeerDirectory, InstanceId Self);

  PeerRpcClient(const PeerRpcClient &) = delete;
  PeerRpcClient &operator=(const PeerRpcClient &) = delete;

  /// \p OnDone is called once, never before this returns. An instance that
  /// was never heard of counts as a failed call.
  void call(const InstanceId &Peer, const std::string &Method,
            const Json::Value &Params, RpcClient::Callback OnDone);

  /// Asks \p Peer for all changes after \p Since; \p OnDone gets nothing when
  /// that failed.
  using RowsCallback =
      std::function<void(const std::optional<RowBatch> &Batch)>;
  void readRows(const InstanceId &Peer, RowVersion Since, RowsCallback OnDone);

  /// Tells all live instances of \p Batch, those first whose own rows it
  /// changes. What is lost on the way is read later by version.
  void pushRows(const RowBatch &Batch);

  /// Closes connections that were not used of late.
  void closeIdle();

private:
  /// Rows on their way to one peer, encoded once for all.
  struct Push {
    InstanceId Peer;
    std::shared_ptr<const std::string> Text;
  };

  std::optional<Address> addressOf(const InstanceId &Peer) const;
  void sendPushes();

  boost::asio::io_context &Io;
  RpcClient &Client;
  const Directory &PeerDirectory;
  InstanceId Self;
  std::deque<Push> PendingPushes;
  std::size_t OutstandingPushes = 0;
};

} // namespace hemlockspar
