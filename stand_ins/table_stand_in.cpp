#include "core/Clock.h"
#include "core/Log.h"
#include "net/Event.h"
#include "net/HttpServer.h"
#include "platform/InMemoryTable.h"
#include "platform/TableCodec.h"
#include "stand_ins/FaultSettings.h"

#include <absl/strings/numbers.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint32(writes_per_second, 0,
              "maximum number of transactions per second; 0: no limit");
DEFINE_string(listen, "127.0.0.1:7000", "address to listen on");

using namespace hemlockspar;
namespace asio = boost::asio;

namespace {

/// Longer than the timeout of any client.
constexpr auto NoResponseDelay = std::chrono::seconds(60);

/// Fake of the platform's table service: POST /v1/commit, GET /v1/rows?since=N,
/// and PUT /faults for tests.
class FakeTableService {
public:
  explicit FakeTableService(asio::io_context &Io) : Io(Io) {}

  HttpResponse onRequest(HttpRequest &Request,
                         const asio::yield_context &Yield) {
    std::string_view Target(Request.target().data(), Request.target().size());
    std::string Path = targetPath(Target);

    if (Path == "/faults") {
      this->Faults.update(readJson(Request.body()).value_or(Json::Value()));
      return jsonResponse(http::status::ok, Json::Value("set"));
    }
    if (Path == "/stats") {
      return this->stats();
    }

    HttpResponse Response = this->serveCall(Request, Yield);
    malformHead(Response, this->Faults.Head);
    return Response;
  }

private:
  HttpResponse serveCall(HttpRequest &Request,
                         const asio::yield_context &Yield) {
    std::string_view Target(Request.target().data(), Request.target().size());
    std::string Path = targetPath(Target);

    this->sleep(std::chrono::milliseconds(this->Faults.DelayMs), Yield);
    if (this->Faults.Down) {
      return problemResponse(http::status::service_unavailable, "down", "");
    }
    if (Path == "/v1/commit") {
      return this->commit(Request, Yield);
    }
    if (Path == "/v1/rows") {
      return this->rows(Target);
    }
    return problemResponse(http::status::not_found, "not found", Path);
  }

  HttpResponse commit(const HttpRequest &Request,
                      const asio::yield_context &Yield) {
    auto Body = readJson(Request.body());
    auto Transaction = Body ? transactionFromJson(*Body) : std::nullopt;
    if (!Transaction) {
      return problemResponse(http::status::bad_request, "invalid transaction",
                             "");
    }

    ++this->Commits;
    this->limitCommitRate(Yield);
    CommitResult Result = this->Table.commit(*Transaction);
    bool Committed = Result.Outcome == CommitOutcome::Committed;

    if (Committed && this->Faults.LoseReplies > 0) {
      --this->Faults.LoseReplies;
      this->sleep(NoResponseDelay, Yield);
    }

    Json::Value Reply;
    Reply["version"] = Json::UInt64(Result.Version);
    return jsonResponse(Committed ? http::status::ok : http::status::conflict,
                        Reply);
  }

  /// Delays transactions to the rate of --writes_per_second.
  void limitCommitRate(const asio::yield_context &Yield) {
    if (FLAGS_writes_per_second == 0) {
      return;
    }
    TimePoint Now = BootClock::now();
    this->NextCommitAt = std::max(this->NextCommitAt, Now) +
                         std::chrono::nanoseconds(std::chrono::seconds(1)) /
                             FLAGS_writes_per_second;
    this->sleep(
        std::chrono::ceil<std::chrono::milliseconds>(this->NextCommitAt - Now),
        Yield);
  }

  HttpResponse rows(std::string_view Target) {
    std::uint64_t Since = 0;
    auto Text = queryParameter(Target, "since");
    if (!Text || !absl::SimpleAtoi(*Text, &Since)) {
      return problemResponse(http::status::bad_request,
                             "invalid parameter since", "");
    }
    ++this->Reads;
    return jsonResponse(http::status::ok,
                        batchToJson(this->Table.changesSince(Since)));
  }

  HttpResponse stats() const {
    Json::Value Body;
    Body["version"] = Json::UInt64(this->Table.version());
    Body["rows"] = Json::UInt64(this->Table.rowCount());
    Body["commits"] = Json::UInt64(this->Commits);
    Body["reads"] = Json::UInt64(this->Reads);
    return jsonResponse(http::status::ok, Body);
  }

  void sleep(std::chrono::milliseconds Span, const asio::yield_context &Yield) {
    if (Span.count() > 0) {
      sleepFor(this->Io, Span, Yield);
    }
  }

  asio::io_context &Io;
  InMemoryTable Table;
  FaultSettings Faults;
  TimePoint NextCommitAt;
  std::uint64_t Commits = 0;
  std::uint64_t Reads = 0;
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("fake table service for tests");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  startLogging("warn");

  Address At;
  if (!Address::fromText(FLAGS_listen, At)) {
    std::cerr << "--listen must be host:port\n";
    return 2;
  }

  asio::io_context Io(1);
  FakeTableService Table(Io);
  HttpLimits Limits;
  Limits.MaxBodyBytes = 64 << 20;
  HttpServer Server(Io, Limits,
                    [&](HttpRequest &Request, CallerWatch &,
                        const asio::yield_context &Yield) {
                      return Table.onRequest(Request, Yield);
                    });

  absl::Status Listening = Server.listen(At);
  if (!Listening.ok()) {
    std::cerr << Listening.message() << "\n";
    return 1;
  }
  Io.run();
  return 0;
}
