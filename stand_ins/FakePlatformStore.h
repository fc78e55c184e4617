#pragma once

#include "net/HttpServer.h"

#include <json/value.h>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace hemlockspar {

/// What the stand-in of the platform's store does wrong.
struct PlatformStoreFaults {
  /// Calls of these callers are refused with 503; "*" stands for all.
  std::set<std::string> RefusedCallers;

  /// Calls of these callers get no answer.
  std::set<std::string> UnansweredCallers;

  /// Transactions are done, and not answered.
  bool DropResponses = false;
};

/// A stand-in of the platform's store: rows with versions, conditional
/// transactions, and waiting for changes, as the platform's pages state them.
/// Runs on the thread of its io_context; the other calls may come from any.
class FakePlatformStore {
public:
  explicit FakePlatformStore(boost::asio::io_context &Io);

  /// Serves the caller named \p Caller at \p At; faults can strike each
  /// caller by its name.
  absl::Status listen(const std::string &Caller, const Address &At);

  void setFaults(const PlatformStoreFaults &Fresh);

  /// Forgets what changed until now: waits from before it are told so.
  void dropHistory();

  /// Writes a row as the operator does.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);

  /// The text of a row; nothing when there is none.
  std::optional<std::string> find(const std::string &Table,
                                  const std::string &Key);

  /// Calls that were made, by the last part of their path.
  std::map<std::string, int> callCounts();

private:
  struct Row {
    std::string Table;
    std::string Key;
    std::string Value;
    std::uint64_t Version = 0;
    bool Deleted = false;
  };

  HttpResponse serve(const std::string &Caller, HttpRequest &Request,
                     const boost::asio::yield_context &Yield);
  HttpResponse commit(const HttpRequest &Request);
  HttpResponse get(const HttpRequest &Request);
  HttpResponse waitForChanges(const HttpRequest &Request,
                              const boost::asio::yield_context &Yield);
  std::uint64_t versionOf(const Json::Value &Name) const;
  Json::Value rowToJson(const Row &Stored) const;
  void addVersionAndTime(Json::Value &Body) const;
  void writeRow(const std::string &Table, const std::string &Key,
                const std::string &Value, bool Deleted);

  boost::asio::io_context &Io;
  std::vector<std::unique_ptr<HttpServer>> Servers;
  std::mutex Mutex;
  std::map<std::pair<std::string, std::string>, Row> Rows;
  std::uint64_t Version = 0;
  std::uint64_t HistoryStart = 0;
  PlatformStoreFaults Faults;
  std::map<std::string, int> CallCounts;
};

} // namespace hemlockspar
