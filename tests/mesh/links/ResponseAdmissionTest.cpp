#include "mesh/links/ResponseAdmission.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{seconds(100)};

/// A link on whose share a response of the route takes 100 ms, after a run of
/// 200 ms.
struct AdmissionFixture {
  AdmissionFixture() {
    for (int Index = 0; Index < 10; ++Index) {
      this->Responses.record("r-files", 70000, milliseconds(200));
      this->Responses.record("r-calls", 4000, milliseconds(50));
    }
  }

  LinkDecision decide(const char *RouteName, std::uint32_t Rank,
                      milliseconds Objective) {
    return this->Admission.decide(
        {RouteName, Rank, Start + Objective, Start + seconds(4)}, Start);
  }

  RouteResponses Responses;
  ResponseQueue Queue{1e6};
  ResponseAdmission Admission{this->Queue, this->Responses};
};

} // namespace

/// Requests for large responses arrive at once on free slots: those whose
/// response could not leave by the objective must be refused before they run,
/// and what is expected of the admitted ones must be counted.
Test(ResponseAdmission, RefusesWhatTheLinkCannotCarryInTime) {
  AdmissionFixture Fixture;
  std::vector<ResponseAdmission::Reservation> Places;
  while (Fixture.decide("r-files", 1, milliseconds(800)).Admitted &&
         Places.size() < 100) {
    Places.push_back(Fixture.Admission.reserve(1, 70000));
  }
  cr_assert_eq(Places.size(), 6);
  cr_assert(Fixture.Admission.backlog(Start) == milliseconds(600));
  cr_assert(Fixture.decide("r-files", 1, milliseconds(800)).Ahead ==
            milliseconds(600));

  // A route with small responses is admitted whatever the link carries.
  cr_assert(Fixture.decide("r-calls", 9, milliseconds(250)).Admitted);

  // More urgent requests do not wait behind those.
  cr_assert(Fixture.decide("r-files", 0, milliseconds(800)).Admitted);

  Places.clear();
  cr_assert(Fixture.Admission.backlog(Start) == Duration::zero());
  cr_assert(Fixture.decide("r-files", 1, milliseconds(800)).Admitted);
}

/// A request that would miss its objective on an idle link, as that has passed
/// at another instance, must not be refused everywhere; nor may it wait long.
Test(ResponseAdmission, PassedObjective) {
  AdmissionFixture Fixture;
  cr_assert(Fixture.decide("r-files", 1, milliseconds(-50)).Admitted);
  auto Few = Fixture.Admission.reserve(1, 9 * 70000UL);
  cr_assert(Fixture.decide("r-files", 1, milliseconds(-50)).Admitted);
  auto More = Fixture.Admission.reserve(1, 2 * 70000UL);
  cr_assert(!Fixture.decide("r-files", 1, milliseconds(-50)).Admitted);
}

/// What leaves while the request runs delays nothing.
Test(ResponseAdmission, BacklogWithinTheRunTime) {
  AdmissionFixture Fixture;
  auto Place = Fixture.Admission.reserve(1, 2 * 70000UL);
  cr_assert(Fixture.decide("r-files", 1, milliseconds(300)).Admitted);
  cr_assert(Fixture.decide("r-files", 1, milliseconds(250)).Admitted);
}

/// A reservation may outlast the admission, when the process ends.
Test(ResponseAdmission, ReservationOutlastsTheAdmission) {
  ResponseAdmission::Reservation Place;
  {
    AdmissionFixture Fixture;
    Place = Fixture.Admission.reserve(1, 70000);
  }
  Place.reset();
}
