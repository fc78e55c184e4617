#include "stand_ins/FakePlatformStore.h"

#include "core/Clock.h"
#include "core/DurationText.h"
#include "core/Json.h"
#include "net/Event.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

constexpr char EraHeader[] = "Store-Era";

constexpr auto ChangePollInterval = std::chrono::milliseconds(10);

/// Longer than the timeout of any client.
constexpr auto NoResponseDelay = std::chrono::seconds(30);

std::string requestParameter(const HttpRequest &Request, const char *Name) {
  return queryParameter({Request.target().data(), Request.target().size()},
                        Name)
      .value_or("");
}

std::uint64_t parseNumber(const std::string &Text) {
  std::uint64_t Number = 0;
  return absl::SimpleAtoi(absl::string_view(Text.data(), Text.size()), &Number)
             ? Number
             : 0;
}

bool matchesCaller(const std::set<std::string> &Callers,
                   const std::string &Caller) {
  return Callers.contains("*") || Callers.contains(Caller);
}

} // namespace

FakePlatformStore::FakePlatformStore(asio::io_context &Io) : Io(Io) {}

absl::Status FakePlatformStore::listen(const std::string &Caller,
                                       const Address &At) {
  this->Servers.push_back(std::make_unique<HttpServer>(
      this->Io, HttpLimits(),
      [this, Caller](HttpRequest &Request, CallerWatch &,
                     const asio::yield_context &Yield) {
        return this->serve(Caller, Request, Yield);
      }));
  return this->Servers.back()->listen(At);
}

void FakePlatformStore::setFaults(const PlatformStoreFaults &NewFaults) {
  std::lock_guard Lock(this->Mutex);
  this->Faults = NewFaults;
}

void FakePlatformStore::dropHistory() {
  std::lock_guard Lock(this->Mutex);
  this->HistoryStart = ++this->Version;
}

void FakePlatformStore::saveCopy() {
  std::lock_guard Lock(this->Mutex);
  this->CopiedRows = this->Rows;
  this->CopiedVersion = this->Version;
}

void FakePlatformStore::restoreCopy() {
  std::lock_guard Lock(this->Mutex);
  this->Rows = this->CopiedRows;
  this->Version = this->CopiedVersion;
  ++this->Era;
}

void FakePlatformStore::put(const std::string &Table, const std::string &Key,
                            const std::string &Value) {
  std::lock_guard Lock(this->Mutex);
  ++this->Version;
  this->writeRow(Table, Key, Value, false);
}

void FakePlatformStore::remove(const std::string &Table,
                               const std::string &Key) {
  std::lock_guard Lock(this->Mutex);
  ++this->Version;
  this->writeRow(Table, Key, "", true);
}

std::optional<std::string> FakePlatformStore::find(const std::string &Table,
                                                   const std::string &Key) {
  std::lock_guard Lock(this->Mutex);
  auto Found = this->Rows.find({Table, Key});
  bool Exists = Found != this->Rows.end() && !Found->second.Deleted;
  return Exists ? std::optional(Found->second.Value) : std::nullopt;
}

std::map<std::string, int> FakePlatformStore::callCounts() {
  std::lock_guard Lock(this->Mutex);
  return this->CallCounts;
}

std::uint64_t FakePlatformStore::sentBytes() {
  std::lock_guard Lock(this->Mutex);
  return this->SentBytes;
}

HttpResponse FakePlatformStore::serve(const std::string &Caller,
                                      HttpRequest &Request,
                                      const asio::yield_context &Yield) {
  HttpResponse Response = this->serveCall(Caller, Request, Yield);
  std::lock_guard Lock(this->Mutex);
  this->SentBytes += Response.body().size();
  if (Response.find(EraHeader) == Response.end()) {
    Response.set(EraHeader, std::to_string(this->Era));
  }
  return Response;
}

HttpResponse FakePlatformStore::serveCall(const std::string &Caller,
                                          HttpRequest &Request,
                                          const asio::yield_context &Yield) {
  std::string Path =
      targetPath({Request.target().data(), Request.target().size()});
  std::string Call = Path.substr(Path.rfind('/') + 1);
  bool Unanswered = false;
  bool Refused = false;
  bool DropResponse = false;
  {
    std::lock_guard Lock(this->Mutex);
    ++this->CallCounts[Call];
    Unanswered = matchesCaller(this->Faults.UnansweredCallers, Caller) ||
                 this->Faults.UnansweredTables.contains(
                     requestParameter(Request, "table_name"));
    Refused = matchesCaller(this->Faults.RefusedCallers, Caller);
    DropResponse = this->Faults.DropResponses && Call == "rows-tx";
  }

  if (Unanswered) {
    sleepFor(this->Io, NoResponseDelay, Yield);
  }
  if (Refused || Unanswered) {
    return HttpResponse(http::status::service_unavailable, 11);
  }
  if (Call == "rows-tx") {
    HttpResponse Done = this->commit(Request);
    if (DropResponse) {
      sleepFor(this->Io, NoResponseDelay, Yield);
    }
    return Done;
  }
  if (Call == "rows-get") {
    return this->get(Request);
  }
  return Call == "rows-feed" ? this->waitForChanges(Request, Yield)
                             : HttpResponse(http::status::not_found, 11);
}

std::uint64_t FakePlatformStore::versionOf(const Json::Value &Name) const {
  auto Found =
      this->Rows.find({getString(Name, "table_name"), getString(Name, "key")});
  bool Exists = Found != this->Rows.end() && !Found->second.Deleted;
  return Exists ? Found->second.Version : 0;
}

void FakePlatformStore::writeRow(const std::string &Table,
                                 const std::string &Key,
                                 const std::string &Value, bool Deleted) {
  this->Rows[{Table, Key}] = {Table, Key, Value, this->Version, Deleted};
}

void FakePlatformStore::addVersionAndTime(Json::Value &Body) const {
  Body["schema_ver"] = Json::UInt64(this->Version);
  Body["now"] = formatDuration(BootClock::now().time_since_epoch());
}

HttpResponse FakePlatformStore::commit(const HttpRequest &Request) {
  auto Body = readJson(Request.body());
  if (!Body) {
    return HttpResponse(http::status::bad_request, 11);
  }

  std::lock_guard Lock(this->Mutex);
  Json::Value Answer;
  for (const Json::Value &Expected : (*Body)["expected_rev"]) {
    if (this->versionOf(Expected) != getUnsigned(Expected, "schema_ver")) {
      this->addVersionAndTime(Answer);
      return jsonResponse(http::status::precondition_failed, Answer);
    }
  }
  for (const Json::Value &Written : (*Body)["puts"]) {
    if (getString(Written, "table_name") == "op") {
      return HttpResponse(http::status::forbidden, 11);
    }
  }

  ++this->Version;
  for (const Json::Value &Written : (*Body)["puts"]) {
    std::string Text;
    absl::Base64Unescape(getString(Written, "value"), &Text);
    this->writeRow(getString(Written, "table_name"), getString(Written, "key"),
                   Text, false);
  }
  for (const Json::Value &Removed : (*Body)["remove"]) {
    this->writeRow(getString(Removed, "table_name"), getString(Removed, "key"),
                   "", true);
  }
  this->addVersionAndTime(Answer);
  return jsonResponse(http::status::ok, Answer);
}

Json::Value FakePlatformStore::rowToJson(const Row &Stored) const {
  Json::Value Value;
  Value["table_name"] = Stored.Table;
  Value["part"] = "";
  Value["key"] = Stored.Key;
  Value["schema_ver"] = Json::UInt64(Stored.Version);
  if (Stored.Deleted) {
    Value["deleted"] = true;
  } else {
    Value["value"] = absl::Base64Escape(Stored.Value);
  }
  return Value;
}

HttpResponse FakePlatformStore::get(const HttpRequest &Request) {
  std::string Table = requestParameter(Request, "table_name");
  std::string Start = requestParameter(Request, "start_key");
  std::uint64_t Limit = parseNumber(requestParameter(Request, "limit"));

  std::lock_guard Lock(this->Mutex);
  Json::Value Answer;
  Answer["rows"] = Json::Value(Json::arrayValue);
  Answer["has_more"] = false;
  for (const auto &[Name, Stored] : this->Rows) {
    bool Wanted =
        Name.first == Table && Name.second >= Start && !Stored.Deleted;
    if (!Wanted) {
      continue;
    }
    if (Limit > 0 && Answer["rows"].size() >= Limit) {
      Answer["has_more"] = true;
      break;
    }
    Answer["rows"].append(this->rowToJson(Stored));
  }
  this->addVersionAndTime(Answer);
  return jsonResponse(http::status::ok, Answer);
}

HttpResponse
FakePlatformStore::waitForChanges(const HttpRequest &Request,
                                  const asio::yield_context &Yield) {
  std::string Table = requestParameter(Request, "table_name");
  std::uint64_t After = parseNumber(requestParameter(Request, "after"));
  TimePoint Until =
      BootClock::now() + std::chrono::milliseconds(
                             parseNumber(requestParameter(Request, "wait_ms")));

  std::uint64_t BegunInEra = 0;
  {
    std::lock_guard Lock(this->Mutex);
    BegunInEra = this->Era;
  }

  while (true) {
    {
      std::lock_guard Lock(this->Mutex);
      if (this->Era != BegunInEra) {
        return HttpResponse(http::status::service_unavailable, 11);
      }
      if (After < this->HistoryStart || After > this->Version) {
        return HttpResponse(http::status::gone, 11);
      }

      std::map<std::uint64_t, Json::Value> Changed;
      for (const auto &[Name, Stored] : this->Rows) {
        if (Name.first == Table && Stored.Version > After) {
          Changed[Stored.Version].append(this->rowToJson(Stored));
        }
      }
      if (!Changed.empty() || BootClock::now() >= Until) {
        Json::Value Answer;
        Answer["rows"] = Json::Value(Json::arrayValue);
        for (const auto &[At, Rows] : Changed) {
          for (const Json::Value &Row : Rows) {
            Answer["rows"].append(Row);
          }
        }
        this->addVersionAndTime(Answer);
        return jsonResponse(http::status::ok, Answer);
      }
    }
    sleepFor(this->Io, ChangePollInterval, Yield);
  }
}

} // namespace hemlockspar
