#include "mesh/HopCodec.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

const TimePoint Now{std::chrono::seconds(9)};

} // namespace

Test(HopCodec, ContextRoundTrip) {
  AttemptContext Context;
  Context.Service = "menus";
  Context.Key = 4711;
  Context.RouteName = "r-1";
  Context.Rank = 2;
  Context.Deadline = Now + milliseconds(750);
  Context.ObjectiveAt = Now - milliseconds(40);
  Context.MaxWait = milliseconds(90);
  Context.CallerService = "desk";
  Context.ConfigurationVersion = 12;

  HttpRequest Request(http::verb::get, "/", 11);
  hop::writeContext(Request, Context, Now);
  auto Read = hop::takeContext(Request, Now + milliseconds(3));
  cr_assert(Read.has_value());
  cr_assert(Read->Service == "menus" && Read->Key == 4711U);
  cr_assert(Read->RouteName == "r-1" && Read->Rank == 2);
  cr_assert(Read->Deadline == Now + milliseconds(753));
  cr_assert(Read->ObjectiveAt == Now - milliseconds(37));
  cr_assert(Read->MaxWait == milliseconds(90));
  cr_assert(Read->CallerService == "desk" && Read->ConfigurationVersion == 12);
  cr_assert(!hop::takeContext(Request, Now), "the header was left on");
}

Test(HopCodec, ResultRoundTrip) {
  AttemptResult Result =
      notRunResult(AttemptReason::NotOwner, milliseconds(40));
  Result.Owner = "sidecar-2";
  Result.OwnerKeys = {100, 200};
  Result.OwnerMapVersion = 31;
  Result.View = {40, 41};
  Result.OperatorRows = {57, milliseconds(320)};
  Result.RunTime = milliseconds(250);
  Result.Load = ServerLoad{3, 1, 6, 0.5, milliseconds(210)};

  AttemptResult Read = hop::takeResult(hop::writeResult(std::move(Result)));
  cr_assert(Read.Outcome == RequestOutcome::NotRun);
  cr_assert(Read.Reason == AttemptReason::NotOwner && !Read.ReachedServer);
  cr_assert(Read.ExpectedWait == milliseconds(40) && Read.Owner == "sidecar-2");
  cr_assert(Read.OwnerKeys == (KeyRange{100, 200}));
  cr_assert(Read.OwnerMapVersion == 31 && Read.View == (ViewVersions{40, 41}));
  cr_assert(Read.RunTime == milliseconds(250));
  cr_assert(Read.OperatorRows.NewestChange == 57);
  cr_assert(Read.OperatorRows.Age == milliseconds(320));
  cr_assert(Read.Load && Read.Load->Slots == 6 && Read.Load->Waiting == 1);
}

/// What a backend server says of the operators' table must not reach other
/// daemons, and daemons that say nothing of it are understood.
Test(HopCodec, OperatorRowsComeFromDaemonsOnly) {
  AttemptResult Result;
  Result.Outcome = RequestOutcome::Answered;
  Result.Response.set("Hs-Operator-Rows", "99 0");
  AttemptResult Read = hop::takeResult(hop::writeResult(std::move(Result)));
  cr_assert(Read.Outcome == RequestOutcome::Answered);
  cr_assert_not(Read.OperatorRows.Age.has_value());
  cr_assert(Read.Response.find("Hs-Operator-Rows") == Read.Response.end());
}

/// A response without a valid header may come from a request that ran.
Test(HopCodec, SilenceIsTakenForUnknown) {
  HttpResponse Foreign(http::status::service_unavailable, 11);
  cr_assert(hop::takeResult(Foreign).Outcome == RequestOutcome::Unknown);
  Foreign.set("Hs-Hop", "not-run busy");
  cr_assert(hop::takeResult(Foreign).Outcome == RequestOutcome::Unknown);
}

/// The admission of a large body is asked for with the context of its request.
Test(HopCodec, AdmissionRequestRoundTrip) {
  TimePoint Now{std::chrono::seconds(100)};
  AttemptContext Context;
  Context.Service = "media";
  Context.RouteName = "uploads";
  Context.Deadline = Now + std::chrono::seconds(3);
  Context.CallerService = "roster";
  HttpRequest Request = hop::makeAdmissionRequest(Context, 60000, Now);
  cr_assert(hop::parseAdmissionRequest(Request) == 60000u);
  auto Read = hop::takeContext(Request, Now);
  cr_assert(Read && Read->Service == "media" &&
            Read->Deadline == Context.Deadline);

  HttpRequest FromCaller(http::verb::get, "/", 11);
  FromCaller.set("Hs-Body-Bytes", "5");
  hop::erase(FromCaller);
  cr_assert_not(hop::parseAdmissionRequest(FromCaller));
}
