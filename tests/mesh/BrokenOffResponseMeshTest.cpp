#include "mesh/HopCodec.h"
#include "tests/mesh/PlatformMesh.h"

#include <boost/beast/http/write.hpp>
#include <criterion/criterion.h>
#include <sstream>

using namespace hemlockspar;

namespace {

const std::vector<std::string> FourDaemons = {"menus", "menus", "bookings",
                                              "bookings"};

/// Exceeds the buffers of both sockets, so that the upload is still being
/// written when the connection ends.
constexpr std::size_t UploadBytes = 6 << 20;
constexpr std::size_t MaxBodyBytes = 8 << 20;

/// Requests have 8 s; the end of the connection ends the exchange.
constexpr auto MaxAnswerTime = std::chrono::seconds(4);

constexpr char UploadId[] = "upload";
constexpr char Part[] = "broken off";

LinkFaults breakingOff(const HttpResponse &Response) {
  std::ostringstream Text;
  Text << Response;
  LinkFaults Faults;
  Faults.BrokenOffResponse = Text.str();
  return Faults;
}

/// The part of a response that a backend server sends; a refusal if \p Refused.
HttpResponse partOfServersResponse(bool Refused) {
  HttpResponse Response(
      Refused ? http::status::service_unavailable : http::status::ok, 11);
  Response.set("Request-Id", UploadId);
  if (Refused) {
    Response.set("Not-Executed", "1");
  } else {
    Response.set("Server-Stamp", "stamp");
  }
  Response.body() = Part;
  return Response;
}

/// The same from another daemon.
HttpResponse partOfPeersResponse(bool Refused) {
  AttemptResult Result;
  Result.Outcome = Refused ? RequestOutcome::NotRun : RequestOutcome::Answered;
  Result.ReachedServer = !Refused;
  Result.Response = partOfServersResponse(false);
  HttpResponse Response = hop::writeResult(std::move(Result));
  Response.body() = Part;
  return Response;
}

std::size_t bookingRuns(PlatformMesh &Mesh) {
  return Mesh.server(2).executedRequests().size() +
         Mesh.server(3).executedRequests().size();
}

ExchangeResult sendUpload(PlatformMesh &Mesh, int Index) {
  return Mesh.send(Index, "/bookings/1", {{"Request-Id", UploadId}},
                   http::verb::post, std::string(UploadBytes, 'b'));
}

/// Sends an upload from the machine of daemon \p Index and checks that its
/// outcome is reported as unknown, at once and with nothing of the part of a
/// response, and that it is not sent to another backend server.
void expectUnknown(PlatformMesh &Mesh, int Index) {
  std::size_t Before = bookingRuns(Mesh);
  TimePoint SentAt = BootClock::now();
  ExchangeResult Result = sendUpload(Mesh, Index);
  Duration Elapsed = BootClock::now() - SentAt;

  cr_assert(Result.Outcome == ExchangeOutcome::Answered, "%s",
            Result.Error.c_str());
  cr_assert_eq(Result.Response.result_int(), 502, "status %u: %s",
               Result.Response.result_int(), Result.Response.body().c_str());
  cr_assert(Elapsed < MaxAnswerTime, "after %lld ms",
            static_cast<long long>(toMilliseconds(Elapsed)));
  cr_assert(headerValue(Result.Response, "Server-Stamp").empty());
  cr_assert(headerValue(Result.Response, "Not-Executed").empty());
  cr_assert(Result.Response.body().find(Part) == std::string::npos);
  cr_assert_eq(bookingRuns(Mesh), Before);
}

void expectServed(PlatformMesh &Mesh, int Index) {
  ExchangeResult Result = sendUpload(Mesh, Index);
  cr_assert_eq(Result.Response.result_int(), 200);
  cr_assert_eq(headerValue(Result.Response, "Body-Bytes"),
               std::to_string(UploadBytes));
}

} // namespace

/// A backend server that reset the connection during an upload: the part of its
/// response reached the caller. A part of a refusal must not let the request
/// run elsewhere.
Test(BrokenOffResponseMesh, PartOfABackendServersResponseHandedOn) {
  PlatformMesh Mesh(151, FourDaemons, true);
  Mesh.setServersProxied();
  Mesh.setMaxBodyBytes(MaxBodyBytes);
  cr_assert(Mesh.start());

  for (bool Refused : {false, true}) {
    LinkFaults Faults = breakingOff(partOfServersResponse(Refused));
    Mesh.setServerLink(2, Faults);
    Mesh.setServerLink(3, Faults);
    expectUnknown(Mesh, 0);
    expectUnknown(Mesh, 2);

    Mesh.setServerLink(2, {});
    Mesh.setServerLink(3, {});
    expectServed(Mesh, 0);
    expectServed(Mesh, 2);
  }
}

/// The same for the responses of other daemons.
Test(BrokenOffResponseMesh, PartOfAPeersResponseHandedOn) {
  PlatformMesh Mesh(152, FourDaemons, true);
  Mesh.setMaxBodyBytes(MaxBodyBytes);
  cr_assert(Mesh.start());

  for (bool Refused : {false, true}) {
    LinkFaults Faults = breakingOff(partOfPeersResponse(Refused));
    Mesh.setLink(0, 2, Faults);
    Mesh.setLink(0, 3, Faults);
    expectUnknown(Mesh, 0);

    Mesh.setLink(0, 2, {});
    Mesh.setLink(0, 3, {});
    expectServed(Mesh, 0);
  }
}
