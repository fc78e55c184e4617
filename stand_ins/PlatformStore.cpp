#include "stand_ins/PlatformStore.h"

#include "core/Clock.h"
#include "core/DurationText.h"
#include "core/Json.h"
#include "net/Event.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

constexpr auto FollowPoll = std::chrono::milliseconds(10);

/// Long past the time that any caller waits.
constexpr auto NoAnswer = std::chrono::seconds(30);

std::string query(const HttpRequest &Request, const char *Name) {
  return queryParameter({Request.target().data(), Request.target().size()},
                        Name)
      .value_or("");
}

std::uint64_t numberOf(const std::string &Text) {
  std::uint64_t Number = 0;
  return absl::SimpleAtoi(absl::string_view(Text.data(), Text.size()), &Number)
             ? Number
             : 0;
}

bool concerns(const std::set<std::string> &Callers, const std::string &Caller) {
  return Callers.contains("*") || Callers.contains(Caller);
}

} // namespace

PlatformStore::PlatformStore(asio::io_context &Io) : Io(Io) {}

absl::Status PlatformStore::listen(const std::string &Caller,
                                   const Address &At) {
  this->Servers.push_back(std::make_unique<HttpServer>(
      this->Io, HttpLimits(),
      [this, Caller](HttpRequest &Request, CallerWatch &,
                     const asio::yield_context &Yield) {
        return this->serve(Caller, Request, Yield);
      }));
  return this->Servers.back()->listen(At);
}

void PlatformStore::setFaults(const PlatformStoreFaults &Fresh) {
  std::lock_guard Lock(this->Guard);
  this->Faults = Fresh;
}

void PlatformStore::dropHistory() {
  std::lock_guard Lock(this->Guard);
  this->HistoryFrom = ++this->Version;
}

void PlatformStore::put(const std::string &Table, const std::string &Key,
                        const std::string &Value) {
  std::lock_guard Lock(this->Guard);
  ++this->Version;
  this->write(Table, Key, Value, false);
}

std::optional<std::string> PlatformStore::find(const std::string &Table,
                                               const std::string &Key) {
  std::lock_guard Lock(this->Guard);
  auto Place = this->Rows.find({Table, Key});
  bool Present = Place != this->Rows.end() && !Place->second.Deleted;
  return Present ? std::optional(Place->second.Value) : std::nullopt;
}

std::map<std::string, int> PlatformStore::calls() {
  std::lock_guard Lock(this->Guard);
  return this->Calls;
}

HttpResponse PlatformStore::serve(const std::string &Caller,
                                  HttpRequest &Request,
                                  const asio::yield_context &Yield) {
  std::string Path =
      targetPath({Request.target().data(), Request.target().size()});
  std::string Call = Path.substr(Path.rfind('/') + 1);
  bool Silent = false;
  bool Refused = false;
  bool Lost = false;
  {
    std::lock_guard Lock(this->Guard);
    ++this->Calls[Call];
    Silent = concerns(this->Faults.Silent, Caller);
    Refused = concerns(this->Faults.Refused, Caller);
    Lost = this->Faults.LoseAnswers && Call == "rows-tx";
  }

  if (Silent) {
    sleepFor(this->Io, NoAnswer, Yield);
  }
  if (Refused || Silent) {
    return HttpResponse(http::status::service_unavailable, 11);
  }
  if (Call == "rows-tx") {
    HttpResponse Done = this->commit(Request);
    if (Lost) {
      sleepFor(this->Io, NoAnswer, Yield);
    }
    return Done;
  }
  if (Call == "rows-get") {
    return this->get(Request);
  }
  return Call == "rows-feed" ? this->follow(Request, Yield)
                             : HttpResponse(http::status::not_found, 11);
}

std::uint64_t PlatformStore::versionOf(const Json::Value &Name) const {
  auto Place =
      this->Rows.find({getString(Name, "table_name"), getString(Name, "key")});
  bool Present = Place != this->Rows.end() && !Place->second.Deleted;
  return Present ? Place->second.Version : 0;
}

void PlatformStore::write(const std::string &Table, const std::string &Key,
                          const std::string &Value, bool Deleted) {
  this->Rows[{Table, Key}] = {Table, Key, Value, this->Version, Deleted};
}

void PlatformStore::finish(Json::Value &Body) const {
  Body["schema_ver"] = Json::UInt64(this->Version);
  Body["now"] = durationText(BootClock::now().time_since_epoch());
}

HttpResponse PlatformStore::commit(const HttpRequest &Request) {
  auto Body = readJson(Request.body());
  if (!Body) {
    return HttpResponse(http::status::bad_request, 11);
  }

  std::lock_guard Lock(this->Guard);
  Json::Value Answer;
  for (const Json::Value &Expected : (*Body)["expected_rev"]) {
    if (this->versionOf(Expected) != getUnsigned(Expected, "schema_ver")) {
      this->finish(Answer);
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
    this->write(getString(Written, "table_name"), getString(Written, "key"),
                Text, false);
  }
  for (const Json::Value &Removed : (*Body)["remove"]) {
    this->write(getString(Removed, "table_name"), getString(Removed, "key"), "",
                true);
  }
  this->finish(Answer);
  return jsonResponse(http::status::ok, Answer);
}

Json::Value PlatformStore::rowToJson(const Row &Stored) const {
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

HttpResponse PlatformStore::get(const HttpRequest &Request) {
  std::string Table = query(Request, "table_name");
  std::string Start = query(Request, "start_key");
  std::uint64_t Limit = numberOf(query(Request, "limit"));

  std::lock_guard Lock(this->Guard);
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
  this->finish(Answer);
  return jsonResponse(http::status::ok, Answer);
}

HttpResponse PlatformStore::follow(const HttpRequest &Request,
                                   const asio::yield_context &Yield) {
  std::string Table = query(Request, "table_name");
  std::uint64_t After = numberOf(query(Request, "after"));
  TimePoint Until = BootClock::now() + std::chrono::milliseconds(
                                           numberOf(query(Request, "wait_ms")));

  while (true) {
    {
      std::lock_guard Lock(this->Guard);
      if (After < this->HistoryFrom) {
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
        this->finish(Answer);
        return jsonResponse(http::status::ok, Answer);
      }
    }
    sleepFor(this->Io, FollowPoll, Yield);
  }
}

} // namespace hemlockspar
