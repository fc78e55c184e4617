#include "tests/integration/RunChecker.h"

#include "core/Json.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>
#include <set>

namespace hemlockspar {

namespace {

/// A write's idempotency key, or empty for reads.
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
  // A run whose lease lapsed before its effect was made had none.
  std::erase_if(this->Runs, [](const Json::Value &Run) {
    return getString(Run, "result") == "lapsed";
  });

  std::sort(this->Runs.begin(), this->Runs.end(),
            [](const Json::Value &Left, const Json::Value &Right) {
              return Left["began"].asInt64() < Right["began"].asInt64();
            });
}

std::string RunChecker::checkOwners() const {
  struct Last {
    std::string Server;
    std::uint64_t Token = 0;
    std::int64_t Ended = 0;
  };
  std::map<std::string, Last> BySlot;

  for (const Json::Value &Run : this->Runs) {
    Last &Before = BySlot[slotOf(Run)];
    std::string Server = getString(Run, "server");
    std::uint64_t Token = getUnsigned(Run, "token");

    bool OtherServer = !Before.Server.empty() && Before.Server != Server;
    if (OtherServer && Run["began"].asInt64() < Before.Ended) {
      return absl::StrCat("slot ", slotOf(Run), " ran at ", Server, " and ",
                          Before.Server, " at once");
    }
    if (Token < Before.Token) {
      return absl::StrCat("slot ", slotOf(Run), " ran under token ", Token,
                          " after ", Before.Token);
    }

    Before.Server = Server;
    Before.Token = Token;
    Before.Ended = std::max(Before.Ended, Run["ended"].asInt64());
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

std::string RunChecker::checkOutcomes(const LoadResult &Told) const {
  std::set<std::string> Ran;
  for (const Json::Value &Run : this->Runs) {
    Ran.insert(writeKey(Run));
  }

  for (const std::string &Key : Told.Acknowledged) {
    if (!Ran.contains(Key)) {
      return "acknowledged write " + Key + " never ran";
    }
  }
  for (const std::string &Key : Told.NotRun) {
    if (Ran.contains(Key)) {
      return "write " + Key + " ran though its caller was told it had not";
    }
  }
  return "";
}

std::string RunChecker::checkAll(const LoadResult &Told) const {
  for (std::string Breach : {this->checkOwners(), this->checkAtMostOnce(),
                             this->checkOutcomes(Told)}) {
    if (!Breach.empty()) {
      return Breach;
    }
  }
  return Told.Mismatched == 0 ? "" : "a caller got another's answer";
}

} // namespace hemlockspar
