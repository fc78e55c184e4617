#include "mesh/HopCodec.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

const TimePoint Now{std::chrono::seconds(9)};

} // namespace

Test(HopCodec, TermsComeAcross) {
  TryTerms Terms;
  Terms.Service = "menus";
  Terms.Key = 4711;
  Terms.RouteName = "r-1";
  Terms.Rank = 2;
  Terms.GiveUpAt = Now + milliseconds(750);
  Terms.AimAt = Now - milliseconds(40);
  Terms.MaxWait = milliseconds(90);
  Terms.CallerService = "desk";
  Terms.Configuration = 12;

  HttpRequest Request(http::verb::get, "/", 11);
  hop::writeTerms(Request, Terms, Now);
  auto Read = hop::takeTerms(Request, Now + milliseconds(3));
  cr_assert(Read.has_value());
  cr_assert(Read->Service == "menus" && Read->Key == 4711U);
  cr_assert(Read->RouteName == "r-1" && Read->Rank == 2);
  cr_assert(Read->GiveUpAt == Now + milliseconds(753));
  cr_assert(Read->AimAt == Now - milliseconds(37));
  cr_assert(Read->MaxWait == milliseconds(90));
  cr_assert(Read->CallerService == "desk" && Read->Configuration == 12);
  cr_assert(!hop::takeTerms(Request, Now), "the header was left on");
}

Test(HopCodec, ResultComesAcross) {
  TryResult Result = tryNotRun(TryReason::NotOwner, milliseconds(40));
  Result.Owner = "sidecar-2";
  Result.OwnersKeys = {100, 200};
  Result.OwnersVersion = 31;
  Result.View = {40, 41};
  Result.Run = milliseconds(250);
  Result.Load = ServerLoad{3, 1, 6, 0.5, milliseconds(210)};

  TryResult Read = hop::takeResult(hop::writeResult(std::move(Result)));
  cr_assert(Read.Outcome == RequestOutcome::NotRun);
  cr_assert(Read.Reason == TryReason::NotOwner && !Read.Reached);
  cr_assert(Read.Wait == milliseconds(40) && Read.Owner == "sidecar-2");
  cr_assert(Read.OwnersKeys == (KeySpan{100, 200}));
  cr_assert(Read.OwnersVersion == 31 && Read.View == (ViewVersions{40, 41}));
  cr_assert(Read.Run == milliseconds(250));
  cr_assert(Read.Load && Read.Load->Slots == 6 && Read.Load->Waiting == 1);
}

/// An answer that does not say how the request went may hide that it ran.
Test(HopCodec, SilenceIsTakenForUnknown) {
  HttpResponse Foreign(http::status::service_unavailable, 11);
  cr_assert(hop::takeResult(Foreign).Outcome == RequestOutcome::Unknown);
  Foreign.set("Hs-Hop", "not-run busy");
  cr_assert(hop::takeResult(Foreign).Outcome == RequestOutcome::Unknown);
}
