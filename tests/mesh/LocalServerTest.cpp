#include "mesh/LocalServer.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

struct ServerBox {
  ServerBox() : Server(Config, View) {
    this->Config.Service = "menus";
    this->Config.ServerAddress = {"10.0.0.1", 80};
    this->Config.LeaveTime = milliseconds(2000);
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

Test(LocalServer, LateReportsChangeNothing) {
  ServerBox Box;
  cr_assert(Box.Server.applyReport(Box.report("a", 100, 5), Box.Now) ==
            ReportVerdict::Taken);
  cr_assert(Box.Server.applyReport(Box.report("a", 100, 4), Box.Now) ==
            ReportVerdict::Older);
  cr_assert(Box.Server.applyReport(Box.report("b", 99, 50), Box.Now) ==
            ReportVerdict::Older);
  cr_assert(Box.Server.lastReport().Incarnation.Id == "a");

  // It starts again under the name it had: its count begins anew.
  cr_assert(Box.Server.applyReport(Box.report("a", 101, 1), Box.Now) ==
            ReportVerdict::Taken);
}

Test(LocalServer, StrangersNameNoServer) {
  ServerBox Box;
  ServerReport Elsewhere = Box.report("a", 1, 1);
  Elsewhere.ServerAddress.Host = "10.0.0.2";
  cr_assert(Box.Server.applyReport(Elsewhere, Box.Now) ==
            ReportVerdict::Foreign);

  ServerReport Undeclared = Box.report("a", 1, 1);
  Undeclared.Service = "unheard-of";
  cr_assert(Box.Server.applyReport(Undeclared, Box.Now) ==
            ReportVerdict::Foreign);
  cr_assert(Box.Server.state() == ServerState::Gone);
}

Test(LocalServer, LeavingEndsBeforeTheTimeAllowed) {
  ServerBox Box;
  Box.Server.applyReport(Box.report("a", 1, 1), Box.Now);
  cr_assert(!Box.Server.markLeaving("b", Box.Now));
  cr_assert(Box.Server.markLeaving("a", Box.Now));
  cr_assert(Box.Server.state() == ServerState::Leaving);
  cr_assert(Box.Server.acceptsRequests(Box.Now + milliseconds(500)));
  cr_assert(!Box.Server.acceptsRequests(Box.Now + milliseconds(1900)));

  // Its later reports do not bring it back; a new run does.
  Box.Server.applyReport(Box.report("a", 1, 2), Box.Now);
  cr_assert(Box.Server.state() == ServerState::Leaving);
  Box.Server.applyReport(Box.report("c", 2, 1), Box.Now);
  cr_assert(Box.Server.state() == ServerState::Ready);
}

Test(LocalServer, ARefusedConnectionLastsUntilTheNextReport) {
  ServerBox Box;
  Box.Server.applyReport(Box.report("a", 1, 1), Box.Now);
  Box.Server.onConnectionRefused();
  cr_assert(Box.Server.state() == ServerState::Gone);
  Box.Server.applyReport(Box.report("a", 1, 2), Box.Now);
  cr_assert(Box.Server.state() == ServerState::Ready);
}
