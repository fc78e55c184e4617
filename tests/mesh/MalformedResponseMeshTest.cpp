#include "tests/mesh/PlatformMesh.h"

#include <absl/strings/str_cat.h>
#include <criterion/criterion.h>

using namespace hemlockspar;

namespace {

const std::vector<std::string> FourDaemons = {"menus", "menus", "bookings",
                                              "bookings"};

/// Requests have 8 s; what is known to be malformed is answered on arrival.
constexpr auto MaxAnswerTime = std::chrono::seconds(3);

unsigned statusOf(const ExchangeResult &Result) {
  return Result.Outcome == ExchangeOutcome::Answered
             ? Result.Response.result_int()
             : 0;
}

std::size_t bookingRuns(PlatformMesh &Mesh) {
  return Mesh.server(2).executedRequests().size() +
         Mesh.server(3).executedRequests().size();
}

/// Sends a booking from the machine of daemon \p Index and checks that its
/// outcome is reported as unknown, at once and with nothing of the backend
/// server's response.
void expectUnknown(PlatformMesh &Mesh, int Index, HeadFault Fault) {
  TimePoint SentAt = BootClock::now();
  ExchangeResult Result =
      Mesh.send(Index, "/bookings/1", {}, http::verb::post, "table for two");
  Duration Elapsed = BootClock::now() - SentAt;

  cr_assert_eq(statusOf(Result), 502, "%s: status %u %s", nameOf(Fault),
               statusOf(Result), Result.Error.c_str());
  cr_assert(Elapsed < MaxAnswerTime, "%s: after %lld ms", nameOf(Fault),
            static_cast<long long>(toMilliseconds(Elapsed)));
  cr_assert(headerValue(Result.Response, "Server-Stamp").empty());
  cr_assert(Result.Response.body().find(" ran ") == std::string::npos);
}

void expectServed(PlatformMesh &Mesh, int Index) {
  for (int Time = 0; Time < 4; ++Time) {
    cr_assert_eq(statusOf(Mesh.send(Index, "/lists/1")), 200);
  }
}

} // namespace

/// Backend servers' malformed responses reached callers, or were awaited until
/// the deadline.
Test(MalformedResponseMesh, BackendServersResponseHandedOn) {
  PlatformMesh Mesh(89, FourDaemons);
  cr_assert(Mesh.start());

  for (HeadFault Fault : HeadFaults) {
    PlatformServerFaults Faults;
    Faults.Head = Fault;
    for (bool Refuses : {false, true}) {
      Faults.RefuseRequests = Refuses;
      Mesh.server(2).setFaults(Faults);
      Mesh.server(3).setFaults(Faults);
      for (int Index : {0, 2}) {
        std::size_t Before = bookingRuns(Mesh);
        expectUnknown(Mesh, Index, Fault);
        cr_assert_eq(bookingRuns(Mesh), Before + (Refuses ? 0 : 1));
      }
    }
    Mesh.server(3).setFaults({});
    expectServed(Mesh, 2);
    Mesh.server(2).setFaults({});
    cr_assert_eq(statusOf(Mesh.send(2, "/bookings/1", {}, http::verb::post)),
                 200);
  }
}

/// The same for the responses of other daemons.
Test(MalformedResponseMesh, PeersResponseHandedOn) {
  PlatformMesh Mesh(90, FourDaemons, true);
  cr_assert(Mesh.start());

  for (HeadFault Fault : HeadFaults) {
    LinkFaults Faults;
    Faults.InboundHead = Fault;
    Mesh.setLink(0, 2, Faults);
    Mesh.setLink(0, 3, Faults);
    std::size_t Before = bookingRuns(Mesh);
    expectUnknown(Mesh, 0, Fault);
    cr_assert_eq(bookingRuns(Mesh), Before + 1);

    Mesh.setLink(0, 3, {});
    expectServed(Mesh, 0);
    Mesh.setLink(0, 2, {});
  }
}

/// Malformed responses of the store are no contents: the daemon goes on with
/// those that it gets by way of other daemons.
Test(MalformedResponseMesh, StoresResponseTakenForContents) {
  PlatformMesh Mesh(91, FourDaemons, true);
  cr_assert(Mesh.start());

  std::uint64_t Version = 1;
  for (HeadFault Fault : HeadFaults) {
    LinkFaults Faults;
    Faults.InboundHead = Fault;
    Mesh.setLink(0, -1, Faults);
    std::string Route = absl::StrCat("extra", ++Version);
    Mesh.declare(Version, Route);
    cr_assert(
        Mesh.waitUntil(
            [&] { return statusOf(Mesh.send(0, "/" + Route + "/1")) == 200; },
            std::chrono::seconds(10)),
        "%s", nameOf(Fault));
    cr_assert(Mesh.allKeysHeld(), "%s", nameOf(Fault));
  }
}
