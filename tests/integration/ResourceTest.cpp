#include "tests/integration/Mesh.h"

#include "core/Json.h"

#include <criterion/criterion.h>
#include <csignal>
#include <thread>

using namespace hemlockspar;

namespace {

Json::Value policy(const char *Placement) {
  Json::Value Body;
  Body["spec"]["placement"] = Placement;
  return Body;
}

std::uint64_t versionAt(Mesh &Cluster, int Index) {
  return getUnsigned(Cluster.getJson(Cluster.api(Index), "/v1/policies/menus"),
                     "version");
}

} // namespace

/// Two operators change one resource at once through different daemons: one
/// is told 409 with the current version, and nothing is overwritten.
Test(Resource, OperatorsRace) {
  Mesh Cluster(40, {});
  cr_assert(Cluster.start());
  cr_assert_eq(Cluster.put(Cluster.api(0), "/v1/policies/menus", policy("peak"),
                           {{"If-None-Match", "*"}}),
               201);
  cr_assert(Cluster.waitUntil([&] { return versionAt(Cluster, 5) != 0; }));
  std::string Version = std::to_string(versionAt(Cluster, 5));

  for (int Round = 0; Round < 10; ++Round) {
    int Status[2] = {0, 0};
    std::string From = std::to_string(versionAt(Cluster, 0));
    cr_assert(Cluster.waitUntil(
        [&] { return std::to_string(versionAt(Cluster, 5)) == From; }));

    auto Change = [&](int Who) {
      BlockingClient Client;
      HttpRequest Request(http::verb::put, "/v1/policies/menus", 11);
      Request.set(http::field::if_match, From);
      Request.body() = writeJson(policy(Who ? "few_moves" : "peak"));
      ExchangeResult Exchange = Client.exchange(Cluster.api(Who * 5), Request,
                                                std::chrono::seconds(15));
      Status[Who] = static_cast<int>(Exchange.Response.result_int());
    };
    std::thread First(Change, 0);
    std::thread Second(Change, 1);
    First.join();
    Second.join();

    bool OneWon = (Status[0] == 200 && Status[1] == 409) ||
                  (Status[0] == 409 && Status[1] == 200);
    cr_assert(OneWon, "statuses %d and %d", Status[0], Status[1]);
    Json::Value Now = Cluster.getJson(Cluster.api(Status[0] == 200 ? 0 : 5),
                                      "/v1/policies/menus");
    cr_assert(Now["spec"]["placement"].asString() ==
              (Status[0] == 200 ? "peak" : "few_moves"));
  }
}

/// The store commits a write and its answer is lost: the operator is told of
/// success once that is known, and the change is in force everywhere.
Test(Resource, StoreReplyLost) {
  Mesh Cluster(41, {});
  cr_assert(Cluster.start());

  Json::Value Faults;
  Faults["lose_replies"] = 1;
  Cluster.setTableFaults(Faults);
  cr_assert_eq(Cluster.put(Cluster.api(2), "/v1/policies/menus", policy("peak"),
                           {{"If-None-Match", "*"}}),
               201);

  std::uint64_t Version = versionAt(Cluster, 2);
  cr_assert(Cluster.waitUntil([&] {
    Json::Value Force = Cluster.getJson(
        Cluster.api(4), "/v1/in-force/" + std::to_string(Version));
    return Force["in_force_on"].asInt() == 6;
  }));
  for (int Index = 0; Index < 6; ++Index) {
    cr_assert_eq(versionAt(Cluster, Index), Version);
  }
}

/// With the store down a change is refused, and never appears later.
Test(Resource, StoreDown) {
  Mesh Cluster(42, {});
  cr_assert(Cluster.start());

  Json::Value Faults;
  Faults["down"] = true;
  Cluster.setTableFaults(Faults);
  int Status = Cluster.put(Cluster.api(0), "/v1/policies/menus", policy("peak"),
                           {{"If-None-Match", "*"}});
  cr_assert(Status == 503 || Status == 504, "status %d", Status);

  Faults["down"] = false;
  Cluster.setTableFaults(Faults);
  cr_assert(Cluster.waitUntil([&] {
    return Cluster.put(Cluster.api(1), "/v1/policies/menus",
                       policy("few_moves"), {{"If-None-Match", "*"}}) == 201;
  }));
}

/// A watch is answered when something changes, with the new version.
Test(Resource, Watch) {
  Mesh Cluster(43, {});
  cr_assert(Cluster.start());
  std::uint64_t From =
      getUnsigned(Cluster.getJson(Cluster.api(3), "/v1/policies"), "version");

  Json::Value Seen;
  std::thread Watcher([&] {
    BlockingClient Client;
    ExchangeResult Exchange =
        Client.get(Cluster.api(3), "/v1/policies?watch=" + std::to_string(From),
                   std::chrono::seconds(40));
    Seen = readJson(Exchange.Response.body()).value_or(Json::Value());
  });
  cr_assert_eq(Cluster.put(Cluster.api(0), "/v1/policies/menus", policy("peak"),
                           {{"If-None-Match", "*"}}),
               201);
  Watcher.join();
  cr_assert_gt(getUnsigned(Seen, "version"), From);
}
