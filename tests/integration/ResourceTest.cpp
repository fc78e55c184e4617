#include "tests/integration/Mesh.h"

#include "core/Json.h"

#include <criterion/criterion.h>
#include <csignal>
#include <thread>

using namespace hemlockspar;

namespace {

Json::Value makePolicy(const char *Placement) {
  Json::Value Body;
  Body["spec"]["placement"] = Placement;
  return Body;
}

std::uint64_t versionAt(Mesh &Cluster, int Index) {
  return getUnsigned(
      Cluster.getJson(Cluster.apiAddress(Index), "/v1/policies/menus"),
      "version");
}

} // namespace

/// Two operators change one resource concurrently through different daemons:
/// one gets status 409 with the current version, and the accepted change is not
/// overwritten.
Test(Resource, OperatorsRace) {
  Mesh Cluster(40, {});
  cr_assert(Cluster.start());
  cr_assert_eq(Cluster.put(Cluster.apiAddress(0), "/v1/policies/menus",
                           makePolicy("peak"), {{"If-None-Match", "*"}}),
               201);
  cr_assert(Cluster.waitUntil([&] { return versionAt(Cluster, 5) != 0; }));
  std::string Version = std::to_string(versionAt(Cluster, 5));

  for (int Round = 0; Round < 10; ++Round) {
    int Status[2] = {0, 0};
    std::string BaseVersion = std::to_string(versionAt(Cluster, 0));
    cr_assert(Cluster.waitUntil(
        [&] { return std::to_string(versionAt(Cluster, 5)) == BaseVersion; }));

    auto Change = [&](int Operator) {
      BlockingClient Client;
      HttpRequest Request(http::verb::put, "/v1/policies/menus", 11);
      Request.set(http::field::if_match, BaseVersion);
      Request.body() = writeJson(makePolicy(Operator ? "few_moves" : "peak"));
      ExchangeResult Exchange = Client.exchange(
          Cluster.apiAddress(Operator * 5), Request, std::chrono::seconds(15));
      Status[Operator] = static_cast<int>(Exchange.Response.result_int());
    };
    std::thread First(Change, 0);
    std::thread Second(Change, 1);
    First.join();
    Second.join();

    bool OneWon = (Status[0] == 200 && Status[1] == 409) ||
                  (Status[0] == 409 && Status[1] == 200);
    cr_assert(OneWon, "statuses %d and %d", Status[0], Status[1]);
    Json::Value Current = Cluster.getJson(
        Cluster.apiAddress(Status[0] == 200 ? 0 : 5), "/v1/policies/menus");
    cr_assert(Current["spec"]["placement"].asString() ==
              (Status[0] == 200 ? "peak" : "few_moves"));
  }
}

/// The store commits a write but its response is lost: the operator gets the
/// success response once the commit is confirmed, and the change comes into
/// force on every instance.
Test(Resource, StoreReplyLost) {
  Mesh Cluster(41, {});
  cr_assert(Cluster.start());

  Json::Value Faults;
  Faults["lose_replies"] = 1;
  Cluster.setTableFaults(Faults);
  cr_assert_eq(Cluster.put(Cluster.apiAddress(2), "/v1/policies/menus",
                           makePolicy("peak"), {{"If-None-Match", "*"}}),
               201);

  std::uint64_t Version = versionAt(Cluster, 2);
  cr_assert(Cluster.waitUntil([&] {
    Json::Value InForce = Cluster.getJson(
        Cluster.apiAddress(4), "/v1/in-force/" + std::to_string(Version));
    return InForce["in_force_on"].asInt() == 6;
  }));
  for (int Index = 0; Index < 6; ++Index) {
    cr_assert_eq(versionAt(Cluster, Index), Version);
  }
}

/// A change made while the store is down is rejected and is not applied later.
Test(Resource, StoreDown) {
  Mesh Cluster(42, {});
  cr_assert(Cluster.start());

  Json::Value Faults;
  Faults["down"] = true;
  Cluster.setTableFaults(Faults);
  int Status = Cluster.put(Cluster.apiAddress(0), "/v1/policies/menus",
                           makePolicy("peak"), {{"If-None-Match", "*"}});
  cr_assert(Status == 503 || Status == 504, "status %d", Status);

  Faults["down"] = false;
  Cluster.setTableFaults(Faults);
  cr_assert(Cluster.waitUntil([&] {
    return Cluster.put(Cluster.apiAddress(1), "/v1/policies/menus",
                       makePolicy("few_moves"),
                       {{"If-None-Match", "*"}}) == 201;
  }));
}

/// A watch request is answered when a resource changes, with the new version.
Test(Resource, Watch) {
  Mesh Cluster(43, {});
  cr_assert(Cluster.start());
  std::uint64_t BaseVersion = getUnsigned(
      Cluster.getJson(Cluster.apiAddress(3), "/v1/policies"), "version");

  Json::Value Update;
  std::thread Watcher([&] {
    BlockingClient Client;
    ExchangeResult Exchange =
        Client.get(Cluster.apiAddress(3),
                   "/v1/policies?watch=" + std::to_string(BaseVersion),
                   std::chrono::seconds(40));
    Update = readJson(Exchange.Response.body()).value_or(Json::Value());
  });
  cr_assert_eq(Cluster.put(Cluster.apiAddress(0), "/v1/policies/menus",
                           makePolicy("peak"), {{"If-None-Match", "*"}}),
               201);
  Watcher.join();
  cr_assert_gt(getUnsigned(Update, "version"), BaseVersion);
}
