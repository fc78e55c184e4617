#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hemlockspar {

/// One-shot event: a coroutine waits until other code on the same thread sets
/// it.
class Event {
public:
  explicit Event(boost::asio::io_context &Io) : Timer(Io) {}

  void set() {
    this->Set = true;
    this->Timer.cancel();
  }

  void wait(const boost::asio::yield_context &Yield) {
    while (!this->Set) {
      boost::system::error_code Ignored;
      this->Timer.expires_at(boost::asio::steady_timer::time_point::max());
      this->Timer.async_wait(Yield[Ignored]);
    }
  }

private:
  boost::asio::steady_timer Timer;
  bool Set = false;
};

/// Suspends the coroutine for \p Span.
inline void sleepFor(boost::asio::io_context &Io,
                     std::chrono::milliseconds Span,
                     const boost::asio::yield_context &Yield) {
  boost::system::error_code Ignored;
  boost::asio::steady_timer Timer(Io, Span);
  Timer.async_wait(Yield[Ignored]);
}

} // namespace hemlockspar
