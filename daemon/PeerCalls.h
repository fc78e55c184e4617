#pragma once

#include "coordination/InstanceDirectory.h"
#include "net/RpcClient.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>

namespace hemlockspar {

/// Calls to the daemons of other instances, by instance name. Lives as long as
/// the process; runs on the control thread.
class PeerCalls {
public:
  /// \p Known tells where instances are reached; it must outlive this object.
  PeerCalls(boost::asio::io_context &Io, RpcClient &Client,
            const InstanceDirectory &Known, InstanceId Self);

  PeerCalls(const PeerCalls &) = delete;
  PeerCalls &operator=(const PeerCalls &) = delete;

  /// \p OnDone is called once, never before this returns. An instance that
  /// was never heard of counts as a failed call.
  void call(const InstanceId &Peer, const std::string &Method,
            const Json::Value &Params, RpcClient::Done OnDone);

  /// Asks \p Peer for all changes after \p Since; \p OnDone gets nothing when
  /// that failed.
  using RowsDone = std::function<void(const std::optional<RowBatch> &Batch)>;
  void readRows(const InstanceId &Peer, RowVersion Since, RowsDone OnDone);

  /// Tells all live instances of \p Batch, those first whose own rows it
  /// changes. What is lost on the way is read later by version.
  void push(const RowBatch &Batch);

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
  const InstanceDirectory &Known;
  InstanceId Self;
  std::deque<Push> Pushes;
  std::size_t PushesOutstanding = 0;
};

} // namespace hemlockspar
