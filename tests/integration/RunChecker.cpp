#include "tests/integration/RunChecker.h"

#include "core/Json.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>
#include <set>

namespace hemlockspar {

namespace {

/// The idempotency key of a write; empty for a read.
std::string writeKey(const Json::Value &Run) {
  return getString(Run, "method") == "POST" ? getString(Run, "idempotency_key")
                                            : std::string();
}

std::string slotOf(const Json::Value &Run) {
  return absl::StrCat(getString(Run, "keyspace"), "/",
                      getUnsigned(Run, "slot"));
}

} // namespace

RunChecker::RunChecker(std::vector<Json::Value> Recorded)
    : Runs(std::move(Recorded)) {
  // A run whose lease expired before it took effect changed nothing.
  std::erase_if(this->Runs, [](const Json::Value &Run) {
    return getString(Run, "result") == "lapsed";
  });

  std::sort(this->Runs.begin(), this->Runs.end(),
            [](const Json::Value &Left, const Json::Value &Right) {
              return Left["began"].asInt64() < Right["began"].asInt64();
            });
}

std::string RunChecker::checkExclusiveOwnership() const {
  struct LastRun {
    std::string Server;
    std::uint64_t Token = 0;
    std::int64_t Ended = 0;
  };
  std::map<std::string, LastRun> LastRunBySlot;

  for (const Json::Value &Run : this->Runs) {
    LastRun &Previous = LastRunBySlot[slotOf(Run)];
    std::string Server = getString(Run, "server");
    std::uint64_t Token = getUnsigned(Run, "token");

    bool ServerChanged = !Previous.Server.empty() && Previous.Server != Server;
    if (ServerChanged && Run["began"].asInt64() < Previous.Ended) {
      return absl::StrCat("slot ", slotOf(Run), " was served by ", Server,
                          " and ", Previous.Server, " at the same time");
    }
    if (Token < Previous.Token) {
      return absl::StrCat("slot ", slotOf(Run), " ran under token ", Token,
                          " after ", Previous.Token);
    }

    Previous.Server = Server;
    Previous.Token = Token;
    Previous.Ended = std::max(Previous.Ended, Run["ended"].asInt64());
  }
  return "";
}

std::string RunChecker::checkAtMostOnce() const {
  std::set<std::string> Seen;
  for (const Json::Value &Run : this->Runs) {
    std::string Key = writeKey(Run);
    if (!Key.empty() && !Seen.insert(Key).second) {
      return "write " + Key + " ran twice";
    }
  }
  return "";
}

std::string RunChecker::checkOutcomes(const LoadResult &Result) const {
  std::set<std::string> Ran;
  for (const Json::Value &Run : this->Runs) {
    Ran.insert(writeKey(Run));
  }

  for (const std::string &Key : Result.Acknowledged) {
    if (!Ran.contains(Key)) {
      return "acknowledged write " + Key + " never ran";
    }
  }
  for (const std::string &Key : Result.NotRun) {
    if (Ran.contains(Key)) {
      return "write " + Key + " ran but was reported to its caller as not run";
    }
  }
  return "";
}

std::string RunChecker::checkAll(const LoadResult &Result) const {
  for (std::string Violation :
       {this->checkExclusiveOwnership(), this->checkAtMostOnce(),
        this->checkOutcomes(Result)}) {
    if (!Violation.empty()) {
      return Violation;
    }
  }
  return Result.Mismatched == 0
             ? ""
             : "a caller received the response to another request";
}

} // namespace hemlockspar
