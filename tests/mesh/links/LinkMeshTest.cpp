#include "tests/mesh/PlatformMesh.h"

#include <array>
#include <criterion/criterion.h>
#include <thread>

using namespace hemlockspar;

namespace {

/// Data centres and regions alternate: the even daemons are in r0.
const std::vector<std::string> FourDaemons = {"menus", "menus", "bookings",
                                              "bookings"};
constexpr std::size_t ResponseBytes = 90000;

/// A connection breaks well within a response.
constexpr std::uint64_t BreakAfterBytes = 30000;

unsigned statusOf(const ExchangeResult &Result) {
  return Result.Outcome == ExchangeOutcome::Answered
             ? Result.Response.result_int()
             : 0;
}

bool isWhole(const ExchangeResult &Result) {
  return statusOf(Result) == 200 &&
         Result.Response.body().size() == ResponseBytes;
}

void setLargeResponses(PlatformMesh &Mesh) {
  PlatformServerFaults Large;
  Large.MinResponseBytes = ResponseBytes;
  Mesh.server(2).setFaults(Large);
  Mesh.server(3).setFaults(Large);
}

std::size_t executed(PlatformMesh &Mesh) {
  return Mesh.server(2).executedRequests().size() +
         Mesh.server(3).executedRequests().size();
}

std::string metricsOf(PlatformMesh &Mesh, int Index) {
  BlockingClient Client;
  return Client
      .get({Mesh.hostOf(Index), 8084}, "/metrics", std::chrono::seconds(5))
      .Response.body();
}

} // namespace

/// A response that breaks off midway between two daemons must not reach the
/// caller as complete. It is repeated on another backend server where the route
/// allows it, and only there.
Test(LinkMesh, ResponsesThatBreakOffMidway) {
  PlatformMesh Mesh(117, FourDaemons, true);
  cr_assert(Mesh.start());
  setLargeResponses(Mesh);
  LinkFaults Breaks;
  Breaks.MaxInboundBytes = BreakAfterBytes;
  Mesh.setLink(0, 2, Breaks);
  Mesh.setLink(0, 3, Breaks);

  std::size_t Before = executed(Mesh);
  cr_assert_eq(statusOf(Mesh.send(0, "/bookings/1", {}, http::verb::post)),
               502);
  cr_assert_eq(executed(Mesh), Before + 1);
  cr_assert_eq(statusOf(Mesh.send(0, "/lists/1")), 502);
  cr_assert_eq(executed(Mesh), Before + 3, "not repeated, or too often");

  Mesh.setLink(0, 3, {});
  for (int Time = 0; Time < 6; ++Time) {
    cr_assert(isWhole(Mesh.send(0, "/lists/1")));
  }
}

/// Twelve responses of 90 KB at once over links of 17 Mbit/s: each arrives
/// whole, they wait for each other, and counters and log tell so.
Test(LinkMesh, LargeResponsesLeaveInTurn) {
  PlatformMesh Mesh(118, FourDaemons);
  Mesh.setLinkMbps(17);
  cr_assert(Mesh.start());
  setLargeResponses(Mesh);

  std::vector<std::thread> Callers;
  std::array<ExchangeResult, 12> Results;
  for (std::size_t Index = 0; Index < Results.size(); ++Index) {
    Callers.emplace_back([&Mesh, &Results, Index] {
      HttpRequest Request(http::verb::get, "/lists/1", 11);
      Request.set(http::field::host, "spa.example");
      Request.set("Request-Id", "large-" + std::to_string(Index));
      Request.set("Deadline-Ms", "8000");
      BlockingClient Client;
      Results[Index] = Client.exchange(Mesh.callerAddress(int(Index) % 2),
                                       Request, std::chrono::seconds(10));
    });
  }
  for (std::thread &Caller : Callers) {
    Caller.join();
  }

  // A refusal for the link is allowed, a response that is cut is not.
  int Whole = 0;
  for (const ExchangeResult &Result : Results) {
    cr_assert(isWhole(Result) || statusOf(Result) == 503);
    Whole += isWhole(Result) ? 1 : 0;
  }
  cr_assert_gt(Whole, 0);
  std::string Log = Mesh.logOf(2) + Mesh.logOf(3);
  cr_assert(Log.find("event=response_delayed") != std::string::npos);
  for (int Index : {2, 3}) {
    cr_assert(metricsOf(Mesh, Index).find("hemlockspar_link_wait_seconds") !=
              std::string::npos);
  }
}
