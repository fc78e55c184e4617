#include "mesh/LocalServer.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

struct ServerFixture {
  ServerFixture() : Server(Config, View) {
    this->Config.Service = "menus";
    this->Config.ServerAddress = {"10.0.0.1", 80};
    this->Config.LeaveTime = milliseconds(2000);
    this->Server.recover(nullptr, std::nullopt);
  }

  ServerReport report(const std::string &Id, std::int64_t Started,
                      std::uint64_t Sequence) const {
    ServerReport Report;
    Report.Incarnation = {Id, Started};
    Report.Sequence = Sequence;
    Report.Service = "menus";
    Report.ServerAddress = this->Config.ServerAddress;
    Report.Slots = 6;
    return Report;
  }

  MeshSettings Config;
  MeshView View;
  LocalServer Server;
  TimePoint Now{std::chrono::seconds(3)};
};

} // namespace

Test(LocalServer, LateReportsAreIgnored) {
  ServerFixture Fixture;
  cr_assert(Fixture.Server.applyReport(Fixture.report("a", 100, 5),
                                       Fixture.Now) == ReportVerdict::Taken);
  cr_assert(Fixture.Server.applyReport(Fixture.report("a", 100, 4),
                                       Fixture.Now) == ReportVerdict::Older);
  cr_assert(Fixture.Server.applyReport(Fixture.report("b", 99, 50),
                                       Fixture.Now) == ReportVerdict::Older);
  cr_assert(Fixture.Server.lastReport().Incarnation.Id == "a");

  // After a restart under the same name the sequence starts again.
  cr_assert(Fixture.Server.applyReport(Fixture.report("a", 101, 1),
                                       Fixture.Now) == ReportVerdict::Taken);
}

Test(LocalServer, ForeignReportsAreIgnored) {
  ServerFixture Fixture;
  ServerReport Elsewhere = Fixture.report("a", 1, 1);
  Elsewhere.ServerAddress.Host = "10.0.0.2";
  cr_assert(Fixture.Server.applyReport(Elsewhere, Fixture.Now) ==
            ReportVerdict::Foreign);

  ServerReport Undeclared = Fixture.report("a", 1, 1);
  Undeclared.Service = "unheard-of";
  cr_assert(Fixture.Server.applyReport(Undeclared, Fixture.Now) ==
            ReportVerdict::Foreign);
  cr_assert(Fixture.Server.state() == ServerState::Gone);
}

Test(LocalServer, LeavingEndsBeforeTheTimeAllowed) {
  ServerFixture Fixture;
  Fixture.Server.applyReport(Fixture.report("a", 1, 1), Fixture.Now);
  cr_assert(!Fixture.Server.markLeaving("b", Fixture.Now));
  cr_assert(Fixture.Server.markLeaving("a", Fixture.Now));
  cr_assert(Fixture.Server.state() == ServerState::Leaving);
  cr_assert(Fixture.Server.acceptsRequests(Fixture.Now + milliseconds(500)));
  cr_assert(!Fixture.Server.acceptsRequests(Fixture.Now + milliseconds(1900)));

  // Later reports of the same process do not make it ready again; a new process
  // does.
  Fixture.Server.applyReport(Fixture.report("a", 1, 2), Fixture.Now);
  cr_assert(Fixture.Server.state() == ServerState::Leaving);
  Fixture.Server.applyReport(Fixture.report("c", 2, 1), Fixture.Now);
  cr_assert(Fixture.Server.state() == ServerState::Ready);
}

Test(LocalServer, RefusedConnectionHoldsUntilTheNextReport) {
  ServerFixture Fixture;
  Fixture.Server.applyReport(Fixture.report("a", 1, 1), Fixture.Now);
  Fixture.Server.onConnectionRefused(Fixture.Now);
  cr_assert(Fixture.Server.state() == ServerState::Gone);
  Fixture.Server.applyReport(Fixture.report("a", 1, 2), Fixture.Now);
  cr_assert(Fixture.Server.state() == ServerState::Ready);
}

/// A report is not believed before the departures of earlier processes are
/// known.
Test(LocalServer, ReportsWaitForEarlierDepartures) {
  ServerFixture Fixture;
  LocalServer Restarted(Fixture.Config, Fixture.View);
  cr_assert(Restarted.applyReport(Fixture.report("a", 100, 5), Fixture.Now) ==
            ReportVerdict::Premature);
  cr_assert(Restarted.state() == ServerState::Gone);
  cr_assert(!Restarted.hasRow());
}

/// A departure that an earlier process acknowledged holds for its incarnation,
/// whether the store or a witness knows it; a later incarnation is ready.
Test(LocalServer, DepartureOutlastsItsProcess) {
  ServerFixture Fixture;
  Fixture.Server.applyReport(Fixture.report("a", 100, 5), Fixture.Now);
  InstanceRow Ready = Fixture.Server.toRow();
  Fixture.Server.markLeaving("a", Fixture.Now);
  InstanceRow Leaving = Fixture.Server.toRow();
  const std::vector<std::pair<InstanceRow, std::optional<ServerIncarnation>>>
      Sources = {{Leaving, std::nullopt}, {Ready, ServerIncarnation{"a", 100}}};

  for (const auto &[Row, Left] : Sources) {
    LocalServer Restarted(Fixture.Config, Fixture.View);
    Restarted.recover(&Row, Left);
    cr_assert(Restarted.toRow().State == ServerState::Leaving);
    Restarted.applyReport(Fixture.report("a", 100, 4), Fixture.Now);
    Restarted.applyReport(Fixture.report("a", 100, 6), Fixture.Now);
    cr_assert(Restarted.state() == ServerState::Leaving);
    cr_assert(!Restarted.acceptsRequests(Fixture.Now));
    cr_assert(Restarted.applyReport(Fixture.report("z", 99, 9), Fixture.Now) ==
              ReportVerdict::Older);
    Restarted.applyReport(Fixture.report("b", 101, 1), Fixture.Now);
    cr_assert(Restarted.state() == ServerState::Ready);
    cr_assert(Restarted.acceptsRequests(Fixture.Now));
  }
}

/// The departure of a server that has been replaced says nothing of its
/// successor.
Test(LocalServer, EarlierDepartureDoesNotHoldForASuccessor) {
  ServerFixture Fixture;
  Fixture.Server.applyReport(Fixture.report("b", 200, 5), Fixture.Now);
  InstanceRow Row = Fixture.Server.toRow();
  LocalServer Restarted(Fixture.Config, Fixture.View);
  Restarted.recover(&Row, ServerIncarnation{"a", 100});
  Restarted.applyReport(Fixture.report("b", 200, 6), Fixture.Now);
  cr_assert(Restarted.state() == ServerState::Ready);
}

/// A server that may have become cold unnoticed must count as cold until a
/// later report tells, and one that does not tell after a restart as well.
Test(LocalServer, LearnsOfTheColdFromReportsAndEvidence) {
  ServerFixture Fixture;
  Configuration Active;
  Active.Version = 1;
  Active.Services["menus"].Name = "menus";
  Active.Services["menus"].ColdStart = milliseconds(3000);
  Fixture.View.activateConfiguration(
      std::make_shared<const Configuration>(Active));

  ServerReport Warm = Fixture.report("a", 1, 1);
  Warm.ColdLeft = Duration::zero();
  Fixture.Server.applyReport(Warm, Fixture.Now);
  cr_assert_lt(Fixture.Server.coldUntil(), Fixture.Now);
  Fixture.Server.onConnectionRefused(Fixture.Now);
  cr_assert_gt(Fixture.Server.coldUntil(), Fixture.Now + milliseconds(60000));

  ServerReport Cold = Fixture.report("b", 2, 1);
  Cold.ColdLeft = milliseconds(700);
  Fixture.Server.applyReport(Cold, Fixture.Now);
  cr_assert_eq(Fixture.Server.coldUntil(), Fixture.Now + milliseconds(700));
  Fixture.Server.applyReport(Fixture.report("c", 3, 1), Fixture.Now);
  cr_assert_eq(Fixture.Server.coldUntil(), Fixture.Now + milliseconds(3000));
}

/// A report that was made before the evidence of a cold and arrives after it
/// must not lift the limit of a server that has turned cold meanwhile.
Test(LocalServer, LateReportClearsNoEvidenceOfACold) {
  ServerFixture Fixture;
  Fixture.Config.HeartbeatInterval = milliseconds(800);
  ServerReport Warm = Fixture.report("a", 1, 1);
  Warm.ColdLeft = Duration::zero();
  Fixture.Server.applyReport(Warm, Fixture.Now);
  TimePoint AssumedAt = Fixture.Now + milliseconds(1000);
  Fixture.Server.assumeCold(AssumedAt);

  // Two reports were due between the last one and the evidence.
  for (std::uint64_t Sequence : {2, 3}) {
    Warm.Sequence = Sequence;
    Fixture.Server.applyReport(Warm, AssumedAt + milliseconds(50));
    cr_assert(Fixture.Server.coldUntil() == TimePoint::max());
  }
  Warm.Sequence = 4;
  Fixture.Server.applyReport(Warm, AssumedAt + milliseconds(900));
  cr_assert_lt(Fixture.Server.coldUntil(), AssumedAt);
}

/// An answer to a question from before the evidence does not lift the limit, a
/// later one does, and one of another server changes nothing.
Test(LocalServer, StatementsCountFromWhenTheyWereAskedFor) {
  ServerFixture Fixture;
  Fixture.Server.applyReport(Fixture.report("a", 1, 1), Fixture.Now);
  Fixture.Server.onColdStated("b", milliseconds(500), Fixture.Now, Fixture.Now);
  cr_assert_lt(Fixture.Server.coldUntil(), Fixture.Now);
  Fixture.Server.onColdStated("a", milliseconds(500), Fixture.Now, Fixture.Now);
  cr_assert_eq(Fixture.Server.coldUntil(), Fixture.Now + milliseconds(500));

  TimePoint AssumedAt = Fixture.Now + milliseconds(100);
  Fixture.Server.assumeCold(AssumedAt);
  Fixture.Server.onColdStated("a", {}, Fixture.Now, AssumedAt);
  cr_assert(Fixture.Server.coldUntil() == TimePoint::max());
  Fixture.Server.onColdStated("a", {}, AssumedAt, AssumedAt);
  cr_assert_lt(Fixture.Server.coldUntil(), AssumedAt);
}
