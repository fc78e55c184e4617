#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <functional>
#include <utility>

namespace hemlockspar {

/// Bounded queue from one thread to another: a single producer thread pushes
/// messages, and the thread that runs the given io_context handles them. push()
/// never blocks; it rejects the message when the ring is full.
template <typename Message> class BoundedRing {
public:
  using Handler = std::function<void(Message &&)>;

  /// Messages are handled on the thread of \p Receiver, in the order in which
  /// they were pushed.
  BoundedRing(boost::asio::io_context &Receiver, std::size_t Capacity)
      : Receiver(Receiver), Queue(Capacity) {}

  /// Sets the message handler. Must be called once, before the first push.
  void setHandler(Handler OnMessage) { this->OnMessage = std::move(OnMessage); }

  /// Returns false when the ring is full; \p Item is then left unchanged.
  bool push(Message &&Item) {
    if (!this->Queue.write_available()) {
      return false;
    }
    if (!this->Queue.push(std::move(Item))) {
      return false;
    }

    if (!this->WakePending.exchange(true)) {
      boost::asio::post(this->Receiver, [this] { this->drain(); });
    }

    return true;
  }

private:
  void drain() {
    this->WakePending.store(false);

    Message Item;
    while (this->Queue.pop(Item)) {
      this->OnMessage(std::move(Item));
    }
  }

  boost::asio::io_context &Receiver;
  boost::lockfree::spsc_queue<Message> Queue;
  std::atomic<bool> WakePending{false};
  Handler OnMessage;
};

} // namespace hemlockspar
