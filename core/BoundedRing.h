#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <functional>
#include <utility>

namespace hemlockspar {

/// Joins two threads by a bounded ring: one thread pushes, the thread that
/// runs the given io_context handles each message. A full ring refuses the
/// message; it never blocks.
template <typename Message> class BoundedRing {
public:
  using Handler = std::function<void(Message &&)>;

  /// Messages are handled on \p Receiver's thread, in the order pushed.
  BoundedRing(boost::asio::io_context &Receiver, std::size_t Capacity)
      : Receiver(Receiver), Queue(Capacity) {}

  /// Sets what handles a message. Called once, before the first push.
  void setHandler(Handler OnMessage) { this->OnMessage = std::move(OnMessage); }

  /// Returns false when the ring is full; \p Item is then left as it was.
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
