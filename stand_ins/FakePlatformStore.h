#pragma once

#include "net/HttpServer.h"

#include <json/value.h>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace hemlockspar {

/// Faults of the fake platform store.
struct PlatformStoreFaults {
  /// Callers whose calls are rejected with 503; "*" matches every caller.
  std::set<std::string> RefusedCallers;

  /// Callers whose calls get no response within any client timeout; "*" matches
  /// every caller.
  std::set<std::string> UnansweredCallers;

  /// Tables whose reads get no response within any client timeout.
  std::set<std::string> UnansweredTables;

  /// Commits transactions, but sends no response within any client timeout.
  bool DropResponses = false;
};

/// Fake of the platform's store, for tests: versioned rows, conditional
/// transactions and waiting for changes, as the platform's documentation
/// specifies them. Runs on the thread of its io_context; the other calls may
/// come from any thread.
class FakePlatformStore {
public:
  explicit FakePlatformStore(boost::asio::io_context &Io);

  /// Listens at \p At for the caller named \p Caller; faults select callers by
  /// this name.
  absl::Status listen(const std::string &Caller, const Address &At);

  void setFaults(const PlatformStoreFaults &NewFaults);

  /// Drops the history of changes until now; waiting for changes since an
  /// earlier version then gets 410 Gone.
  void dropHistory();

  /// Keeps a copy of all rows and of the version, for restoreCopy.
  void saveCopy();

  /// Goes back to the copy, as a store does that was restored: the era rises,
  /// versions are given out again, and pending waits for changes fail.
  void restoreCopy();

  /// Writes a row without conditions, as an operator does.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);

  /// Removes a row, as an operator does.
  void remove(const std::string &Table, const std::string &Key);

  /// The value of a row; nullopt if there is none.
  std::optional<std::string> find(const std::string &Table,
                                  const std::string &Key);

  /// Number of calls by the last segment of their path.
  std::map<std::string, int> callCounts();

  /// Bytes of all response bodies.
  std::uint64_t sentBytes();

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
  HttpResponse serveCall(const std::string &Caller, HttpRequest &Request,
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
  using RowTable = std::map<std::pair<std::string, std::string>, Row>;
  RowTable Rows;
  std::uint64_t Version = 0;
  std::uint64_t Era = 1;
  RowTable CopiedRows;
  std::uint64_t CopiedVersion = 0;
  std::uint64_t HistoryStart = 0;
  PlatformStoreFaults Faults;
  std::map<std::string, int> CallCounts;
  std::uint64_t SentBytes = 0;
};

} // namespace hemlockspar
