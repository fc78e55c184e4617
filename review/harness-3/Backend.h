#pragma once

#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "review/harness-3/Ledger.h"

#include <json/value.h>

namespace hemlockspar::review3 {

/// A sound backend server by the users' pages: it reports to the daemon beside
/// it, holds the keys that the responses grant, refuses what it must not run,
/// and notes in the ledger what it runs. Runs on the thread of its io_context.
class Backend {
public:
  struct Config {
    std::string Id;
    std::string Service;
    std::string Zone;
    Address At;

    /// Address of the daemon to which it reports.
    Address Daemon;
    std::chrono::milliseconds Heartbeat{870};
    std::uint32_t Slots = 6;
    std::chrono::milliseconds RunTime{100};
    bool Keyed = false;

    /// Spoils one of so many of its answers; none if 0.
    int SpoilEvery = 0;

    /// How far the time of day of its machine is ahead of the true time when it
    /// starts.
    std::chrono::milliseconds ClockAhead{0};
  };

  Backend(boost::asio::io_context &Io, Config Settings, Ledger &Book);

  absl::Status start();

  const std::string &id() const { return this->Settings.Id; }

  /// Number of keys held now.
  std::uint32_t heldKeyCount() const;

  /// Reports that it is draining from now on.
  void startDraining() { this->Draining = true; }

  /// The time of day at its start, by its machine's clock.
  std::int64_t bornAt() const { return this->BornAt; }

private:
  HttpResponse serve(HttpRequest &Request, CallerWatch &Watch,
                     const boost::asio::yield_context &Yield);
  HttpResponse refuse(http::status Status, const std::string &RequestId) const;
  bool holds(std::uint32_t Key) const;

  /// Serves requests on plain connections, so that answers can be spoiled.
  absl::Status listenPlain();
  void servePlain(boost::asio::ip::tcp::socket Socket,
                  const boost::asio::yield_context &Yield);
  std::string spoiled(const HttpResponse &Answer);
  void reportLoop(const boost::asio::yield_context &Yield);
  bool report(const boost::asio::yield_context &Yield);
  bool applyGrants(const Json::Value &Answer, TimePoint SentAt);
  bool mayTake(const HeldRange &Offered) const;
  bool isKept(const std::vector<HeldRange> &Next, std::uint32_t Key) const;

  boost::asio::io_context &Io;
  Config Settings;
  Ledger &Book;
  HttpServer Server;
  HttpClient Client;
  std::int64_t BornAt;
  std::uint64_t Sequence = 0;
  bool Draining = false;
  bool DrainingAcknowledged = false;
  std::uint32_t Running = 0;
  int Answers = 0;
  boost::asio::ip::tcp::acceptor Plain;
  std::vector<HeldRange> Ranges;
  std::vector<std::uint64_t> SeenFence = std::vector<std::uint64_t>(KeyCount);

  /// Released since the last acknowledged report.
  Json::Value Released{Json::arrayValue};
};

} // namespace hemlockspar::review3
