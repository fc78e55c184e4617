#pragma once

#include "net/HttpClient.h"
#include "review/harness-2/Ledger.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <random>
#include <set>
#include <thread>

namespace review {

/// A sound backend server, as the users' pages describe it: reports to the
/// daemon on its machine, holds the keys that the responses grant, runs
/// requests. It may be told to send bytes after complete answers. Runs on a
/// thread of its own.
class Backend {
public:
  struct Settings {
    std::string Id;
    std::string Service;
    std::string Zone;
    hemlockspar::Address At;

    /// Where the daemon takes reports.
    hemlockspar::Address Daemon;
    Milliseconds Heartbeat{870};
    int Slots = 6;
    bool Keyed = false;
    Milliseconds ShortestRun{100};
    Milliseconds LongestRun{300};

    /// Bytes sent after this share of the complete answers, so much later.
    double TrailingShare = 0;
    Milliseconds TrailingDelay{20};
    std::string TrailingBytes;
  };

  /// Requests that began to run at any backend server, by id.
  struct Runs {
    std::mutex Mutex;
    std::map<std::string, int> Count;

    /// Values of Caller-Service, by id.
    std::map<std::string, std::string> CallerService;
  };

  Backend(Settings Own, Runs &Begun, Ledger &Owners, Record &Out);
  ~Backend();

  Backend(const Backend &) = delete;
  Backend &operator=(const Backend &) = delete;

  bool start();

  /// Ends it for good: its address refuses connections, and it reports no more.
  void stop();
  bool holds(std::uint32_t Key) const;
  std::uint32_t heldKeys() const;
  int trailingSent() const { return this->Trailing; }
  const std::string &id() const { return this->Own.Id; }

private:
  using Socket = boost::asio::ip::tcp::socket;
  using Yield = boost::asio::yield_context;

  void accept(const Yield &Context);
  void serve(Socket Peer, const Yield &Context);
  hemlockspar::HttpResponse answer(const hemlockspar::HttpRequest &Request,
                                   const Yield &Context);
  void reportLoop(const Yield &Context);
  bool report(const Yield &Context);
  bool applyGrants(const Json::Value &Answer, Clock::time_point SentAt);
  std::string reportBody();
  bool isHeldLocked(std::uint32_t Key) const;
  void sleep(Milliseconds Span, const Yield &Context);

  Settings Own;
  Runs &Begun;
  Ledger &Owners;
  Record &Out;
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Listener;
  hemlockspar::HttpClient Client;
  std::mt19937 Random;
  mutable std::mutex Mutex;
  std::vector<HeldRange> Held;
  std::vector<std::uint64_t> SeenFences;
  Json::Value Released{Json::arrayValue};
  std::int64_t StartedAtUnixMs = 0;
  std::uint64_t Sequence = 0;
  int Running = 0;
  std::atomic<int> Trailing{0};
  std::thread Thread;
};

} // namespace review
