#include "tests/mesh/PlatformMesh.h"

#include <absl/strings/str_cat.h>
#include <criterion/criterion.h>
#include <csignal>
#include <fstream>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>

extern char **environ;

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

const std::vector<std::string> FourDaemons = {"menus", "menus", "bookings",
                                              "bookings"};

bool isServed(const ExchangeResult &Result) {
  return Result.Outcome == ExchangeOutcome::Answered &&
         Result.Response.result() == http::status::ok;
}

unsigned statusOf(const ExchangeResult &Result) {
  return Result.Outcome == ExchangeOutcome::Answered
             ? Result.Response.result_int()
             : 0;
}

} // namespace

/// End to end: requests for keys reach the holder and other requests any
/// backend server, with the expected headers and unmodified responses.
Test(PlatformMesh, ServesFromEveryDaemon) {
  PlatformMesh Mesh(61, FourDaemons);
  cr_assert(Mesh.start());

  for (int Index = 0; Index < 4; ++Index) {
    for (std::uint32_t Key : {0U, 20000U, 40000U, 65535U}) {
      ExchangeResult Result = Mesh.sendKey(Index, Key);
      cr_assert(isServed(Result), "status %u", statusOf(Result));
      cr_assert(headerValue(Result.Response, "Server-Stamp") != "");
      cr_assert(Result.Response.find("Hs-Hop") == Result.Response.end());
      int Holder = Mesh.holderOf(Key);
      cr_assert(
          Result.Response.body().starts_with("s" + std::to_string(Holder)));
    }
    cr_assert(isServed(Mesh.send(Index, "/bookings/1", {}, http::verb::post)));
  }
  cr_assert_eq(statusOf(Mesh.send(0, "/nowhere/1")), 404);

  Mesh.send(2, "/menus/7",
            {{"Shard-Key", "7"},
             {"Caller-Service", "forged"},
             {"Hs-Hop", "bookings - r 0 9 9 x 0"}});
  auto Headers = Mesh.server(Mesh.holderOf(7)).lastRequestHeaders();
  cr_assert(Headers["Caller-Service"] == "bookings");
  cr_assert(Headers["Expect-Instance"] ==
            "s" + std::to_string(Mesh.holderOf(7)));
  int Left = std::stoi(Headers["Deadline-Ms"]);
  cr_assert(Left > 0 && Left <= 8000);
}

/// The request ID appears in the logs of the receiving and the serving daemon,
/// and the metrics page counts the request.
Test(PlatformMesh, RequestsAreLoggedAndCounted) {
  PlatformMesh Mesh(73, FourDaemons);
  cr_assert(Mesh.start());
  int Holder = Mesh.holderOf(5);
  cr_assert(isServed(Mesh.send(
      2, "/menus/5", {{"Shard-Key", "5"}, {"Request-Id", "q-trace"}})));
  for (int Index : {2, Holder}) {
    cr_assert(Mesh.waitUntil([&] {
      return Mesh.logOf(Index).find("request=q-trace") != std::string::npos;
    }));
  }

  BlockingClient Client;
  ExchangeResult Page =
      Client.get({Mesh.hostOf(2), 8084}, "/metrics", milliseconds(5000));
  cr_assert(isServed(Page));
  cr_assert(Page.Response.body().find(
                "hemlockspar_requests_total{outcome=\"answered\"") !=
            std::string::npos);
  cr_assert(Page.Response.body().find("hemlockspar_request_seconds_bucket") !=
            std::string::npos);
}

/// A new configuration becomes active on all daemons; an older or malformed one
/// has no effect.
Test(PlatformMesh, ConfigurationsComeIntoForce) {
  PlatformMesh Mesh(62, FourDaemons);
  cr_assert(Mesh.start());
  cr_assert_eq(statusOf(Mesh.send(3, "/extra/1")), 404);

  Mesh.declare(5, "extra");
  cr_assert(Mesh.waitUntil([&] {
    bool All = true;
    for (int Index = 0; Index < 4; ++Index) {
      All = All && isServed(Mesh.send(Index, "/extra/1"));
    }
    return All;
  }));

  for (const char *Text :
       {"{", "[]", R"({"version":"r9"})", R"({"version":9,"resources":[]})"}) {
    Mesh.store().put("op", "config", Text);
  }
  Mesh.declare(4);
  Mesh.declare(6, "extra");
  Mesh.store().dropHistory();
  Mesh.declare(8, "other");
  cr_assert(Mesh.waitUntil([&] { return isServed(Mesh.send(1, "/other/1")); }));
  cr_assert_eq(statusOf(Mesh.send(1, "/extra/1")), 404);
}

/// Owners keep serving their keys while the store refuses all calls.
Test(PlatformMesh, KeysAreServedWithoutTheStore) {
  PlatformMesh Mesh(63, FourDaemons);
  cr_assert(Mesh.start());
  PlatformStoreFaults Down;
  Down.RefusedCallers = {"*"};
  Mesh.store().setFaults(Down);
  for (int Round = 0; Round < 30; ++Round) {
    cr_assert(isServed(Mesh.sendKey(Round % 4, 2000U * Round)));
    std::this_thread::sleep_for(milliseconds(50));
  }

  Mesh.store().setFaults({});
  Mesh.declare(3, "extra");
  cr_assert(Mesh.waitUntil([&] { return isServed(Mesh.send(0, "/extra/1")); }));
}

/// A daemon that cannot reach the store receives configurations and renews its
/// lease through the other daemons.
Test(PlatformMesh, OneDaemonWithoutTheStore) {
  PlatformMesh Mesh(72, FourDaemons);
  cr_assert(Mesh.start());
  PlatformStoreFaults Cut;
  Cut.RefusedCallers = {"d0"};
  Mesh.store().setFaults(Cut);
  Mesh.declare(3, "extra");
  cr_assert(Mesh.waitUntil([&] { return isServed(Mesh.send(0, "/extra/1")); }));

  // Longer than the lifetime of a lease.
  int Holder = Mesh.holderOf(100);
  for (int Round = 0; Round < 100; ++Round) {
    cr_assert(isServed(Mesh.sendKey(Round % 4, 100)));
    std::this_thread::sleep_for(milliseconds(100));
  }
  cr_assert_eq(Mesh.holderOf(100), Holder);
}

/// A daemon that is killed and restarted serves its keys again.
Test(PlatformMesh, RestartedDaemonServesItsKeys) {
  PlatformMesh Mesh(64, FourDaemons);
  cr_assert(Mesh.start());
  int Holder = Mesh.holderOf(100);
  Mesh.signalDaemon(Holder, SIGKILL);
  Mesh.startDaemon(Holder);
  cr_assert(Mesh.waitUntil([&] { return isServed(Mesh.sendKey(2, 100)); }));
  cr_assert_eq(Mesh.holderOf(100), Holder);
}

/// The keys of a daemon that does not come back move to the other backend
/// server.
Test(PlatformMesh, KeysOfALostDaemonMove) {
  PlatformMesh Mesh(65, FourDaemons);
  cr_assert(Mesh.start());
  int Holder = Mesh.holderOf(100);
  Mesh.signalDaemon(Holder, SIGKILL);
  cr_assert(Mesh.waitUntil([&] { return Mesh.holderOf(100) == 1 - Holder; }));
  cr_assert(Mesh.waitUntil([&] { return isServed(Mesh.sendKey(3, 100)); }));
}

/// The keys of a leaving backend server move to the other one, and it receives
/// no new requests.
Test(PlatformMesh, LeavingMovesKeysAndRequests) {
  PlatformMesh Mesh(66, FourDaemons);
  cr_assert(Mesh.start());
  Mesh.server(0).startDraining();
  Mesh.server(2).startDraining();
  cr_assert(Mesh.waitUntil([&] {
    return Mesh.server(0).heldKeyCount() == 0 && Mesh.allKeysHeld();
  }));

  cr_assert(Mesh.waitUntil([&] {
    std::size_t Before = Mesh.server(2).executedRequests().size();
    for (int Time = 0; Time < 8; ++Time) {
      cr_assert(isServed(Mesh.send(Time % 4, "/lists/1")));
    }
    return Mesh.server(2).executedRequests().size() == Before;
  }));
}

/// When a response is lost, a request that may run at most once is not retried,
/// and a repeatable one is retried on another backend server.
Test(PlatformMesh, LostAnswersAreRepeatedOnlyWhereAllowed) {
  PlatformMesh Mesh(67, FourDaemons);
  cr_assert(Mesh.start());
  PlatformServerFaults Faults;
  Faults.OmitServerStamp = true;
  Mesh.server(2).setFaults(Faults);
  Mesh.server(3).setFaults(Faults);

  std::size_t Before = Mesh.server(2).executedRequests().size() +
                       Mesh.server(3).executedRequests().size();
  cr_assert_eq(statusOf(Mesh.send(2, "/bookings/1", {}, http::verb::post)),
               502);
  std::size_t After = Mesh.server(2).executedRequests().size() +
                      Mesh.server(3).executedRequests().size();
  cr_assert_eq(After, Before + 1);

  Mesh.server(3).setFaults({});
  for (int Time = 0; Time < 6; ++Time) {
    cr_assert(isServed(Mesh.send(2, "/lists/1")));
  }
}

/// A response with the ID of another request never reaches the caller.
Test(PlatformMesh, ForeignAnswersAreDropped) {
  PlatformMesh Mesh(68, FourDaemons);
  cr_assert(Mesh.start());
  PlatformServerFaults Wrong;
  Wrong.WrongRequestIds = true;
  Mesh.server(2).setFaults(Wrong);
  Mesh.server(3).setFaults(Wrong);
  unsigned Status = statusOf(
      Mesh.send(0, "/bookings/1", {{"Deadline-Ms", "1000"}}, http::verb::post));
  cr_assert(Status == 502 || Status == 504, "status %u", Status);
}

/// A refused request has not run, so it is sent to another backend server.
Test(PlatformMesh, RefusedRequestsGoElsewhere) {
  PlatformMesh Mesh(69, FourDaemons);
  cr_assert(Mesh.start());
  PlatformServerFaults Full;
  Full.RefuseRequests = true;
  Mesh.server(2).setFaults(Full);
  for (int Time = 0; Time < 6; ++Time) {
    cr_assert(isServed(Mesh.send(2, "/bookings/1", {}, http::verb::post)));
  }

  Mesh.server(3).setFaults(Full);
  ExchangeResult Result = Mesh.send(2, "/bookings/1", {}, http::verb::post);
  cr_assert_eq(statusOf(Result), 503);
  cr_assert(headerValue(Result.Response, "Retry-After") != "");
}

/// An entry of another writer in place of a live backend server's is replaced,
/// at the next report as well as after a restart of all daemons (RECOVER).
Test(PlatformMesh, SpoiledEntriesAreReplaced) {
  PlatformMesh Mesh(88, FourDaemons);
  cr_assert(Mesh.start());
  auto IsReplaced = [&](const std::string &Spoiled) {
    return Mesh.waitUntil(
        [&] { return Mesh.store().find("hemlockspar", "d2") != Spoiled; },
        std::chrono::seconds(15));
  };
  for (const char *Spoiled : {"[[", "{}", "\x01"}) {
    Mesh.store().put("hemlockspar", "d2", Spoiled);
    cr_assert(IsReplaced(Spoiled), "%s was not replaced", Spoiled);
  }

  for (int Index = 0; Index < 4; ++Index) {
    Mesh.signalDaemon(Index, SIGKILL);
  }
  Mesh.store().put("hemlockspar", "d2", "[[");
  for (int Index = 0; Index < 4; ++Index) {
    Mesh.startDaemon(Index);
  }
  cr_assert(IsReplaced("[["), "not replaced after a restart");
}

/// Reports from other hosts and malformed reports have no effect.
Test(PlatformMesh, ForgedReportsChangeNothing) {
  PlatformMesh Mesh(70, FourDaemons);
  cr_assert(Mesh.start());
  auto Report = [](const std::string &Service, const std::string &At,
                   const std::string &State, const std::string &Rest) {
    return absl::StrCat(R"({"service":")", Service, R"(","address":")", At,
                        R"(","zone":"z","slots":6,"state":")", State, R"(",)",
                        Rest, "}");
  };
  const std::string Newer = R"("sequence":99999,"born":9999999999999)";
  const std::string Older = R"("sequence":1,"born":5)";
  std::string Here = Mesh.hostOf(2) + ":8090";
  const std::vector<std::string> Forged = {
      "",
      "{",
      "[1,2]",
      R"({"service":5})",
      Report("bookings", "10.9.9.9:1", "ready", Newer),
      Report("unheard", Here, "ready", Newer),
      Report("bookings", Here, "odd", Newer),
      Report("bookings", Here, "draining", Older)};
  for (const std::string &Body : Forged) {
    Mesh.report(2, "forged", Body);
  }
  for (int Time = 0; Time < 6; ++Time) {
    cr_assert(isServed(Mesh.send(2, "/lists/1")));
  }
  cr_assert(Mesh.logOf(2).find("report_refused") != std::string::npos);
  cr_assert(Mesh.logOf(2).find("report_ignored") != std::string::npos);
}

/// After SIGTERM the daemon reports not ready at once, completes requests in
/// flight and exits. SIGHUP reloads the settings without losing requests.
Test(PlatformMesh, StopsInOrder) {
  PlatformMesh Mesh(71, FourDaemons);
  cr_assert(Mesh.start());
  Mesh.signalDaemon(2, SIGHUP);
  cr_assert(Mesh.waitUntil([&] {
    return Mesh.logOf(2).find("event=reloaded") != std::string::npos;
  }));

  PlatformServerFaults Slow;
  Slow.ServiceTime = milliseconds(1500);
  Mesh.server(2).setFaults(Slow);
  Mesh.server(3).setFaults(Slow);
  ExchangeResult Result;
  std::thread Caller(
      [&] { Result = Mesh.send(2, "/bookings/1", {}, http::verb::post); });
  std::this_thread::sleep_for(milliseconds(300));
  Mesh.signalDaemon(2, SIGTERM);
  BlockingClient Client;
  cr_assert(Mesh.waitUntil([&] {
    ExchangeResult Readiness =
        Client.get({Mesh.hostOf(2), 8081}, "/api/readyz", milliseconds(2000));
    return statusOf(Readiness) == 503;
  }));
  Caller.join();
  cr_assert(isServed(Result), "status %u", statusOf(Result));
  cr_assert_eq(Mesh.waitForExit(2), 0);
}

/// A request that is taken during the grace of a stop is answered before the
/// process exits, also when its backend server does not finish in time (LOST).
Test(PlatformMesh, StopAnswersWhatItHasTaken) {
  PlatformMesh Mesh(86, FourDaemons);
  cr_assert(Mesh.start());
  PlatformServerFaults Slow;
  Slow.ServiceTime = milliseconds(5000);
  Mesh.server(2).setFaults(Slow);
  Mesh.server(3).setFaults(Slow);
  Mesh.signalDaemon(2, SIGTERM);
  std::vector<ExchangeResult> Results(3);
  std::vector<std::thread> Callers;
  for (std::size_t Index = 0; Index < Results.size(); ++Index) {
    std::this_thread::sleep_for(milliseconds(700));
    Callers.emplace_back([&Mesh, &Result = Results[Index]] {
      HttpRequest Request(http::verb::post, "/bookings/1", 11);
      Request.set(http::field::host, "spa.example");
      Request.set("Request-Id", "taken-late");
      Result = BlockingClient().exchange(Mesh.callerAddress(2), Request,
                                         std::chrono::seconds(10));
    });
  }
  for (std::thread &Caller : Callers) {
    Caller.join();
  }
  for (const ExchangeResult &Result : Results) {
    cr_assert(Result.Outcome == ExchangeOutcome::Answered, "no answer: %s",
              Result.Error.c_str());
  }
  cr_assert_eq(Mesh.waitForExit(2), 0);
}

/// Headers that daemons use among themselves mean nothing in a caller's
/// request, which is forwarded with them.
Test(PlatformMesh, CallersCannotCallDaemons) {
  PlatformMesh Mesh(87, FourDaemons);
  cr_assert(Mesh.start());
  for (const char *Name :
       {"Hs-Offer", "Hs-View-Rows", "Hs-View-After", "Hs-Departed",
        "Hs-Departed-At", "Hs-Body-Bytes", "Hemlockspar-Store-Call"}) {
    for (int Index = 0; Index < 4; ++Index) {
      ExchangeResult Result =
          Mesh.send(Index, "/menus/7", {{"Shard-Key", "7"}, {Name, "1 1"}});
      cr_assert(isServed(Result), "%s: status %u", Name, statusOf(Result));
    }
  }
}

/// When all daemons start at once, the initial key layout includes all of them,
/// although most learn of the others from peers and not from the store.
Test(PlatformMesh, FirstLayoutCountsAll) {
  PlatformMesh Mesh(74, std::vector<std::string>(8, "menus"));
  cr_assert(Mesh.startServers());
  cr_assert(Mesh.waitUntil([&] { return Mesh.allKeysHeld(); }));
  for (int Index = 0; Index < 8; ++Index) {
    std::uint32_t Held = Mesh.server(Index).heldKeyCount();
    cr_assert(Held > 65536 / 16 && Held < 65536 / 4, "server %d holds %u",
              Index, Held);
  }
}

/// A request for a key that cannot be served at present is refused before its
/// deadline, as not run and with Retry-After, rather than timing out.
Test(PlatformMesh, MovingKeysAreRefusedInTime) {
  PlatformMesh Mesh(75, FourDaemons);
  cr_assert(Mesh.start());
  PlatformServerFaults NoReports;
  NoReports.SuppressReports = true;
  Mesh.server(0).setFaults(NoReports);
  Mesh.server(1).setFaults(NoReports);
  cr_assert(Mesh.waitUntil([&] { return Mesh.holderOf(7) < 0; }));

  for (int Index : {0, 2, 3}) {
    TimePoint SentAt = BootClock::now();
    ExchangeResult Result = Mesh.send(
        Index, "/menus/7", {{"Shard-Key", "7"}, {"Deadline-Ms", "1500"}});
    cr_assert_eq(statusOf(Result), 503, "status %u", statusOf(Result));
    cr_assert(Result.Response.find("Retry-After") != Result.Response.end());
    cr_assert(BootClock::now() - SentAt < milliseconds(1400));
  }
}

/// SIGHUP before the settings have been read must not end the process: it reads
/// them and continues to start.
Test(PlatformMesh, ReloadDuringStart) {
  std::string Path = "/tmp/hemlockspar-settings-" + std::to_string(getpid());
  unlink(Path.c_str());
  cr_assert_eq(mkfifo(Path.c_str(), 0600), 0);
  const char *Root = std::getenv("HEMLOCKSPAR_BIN");
  std::string Program =
      std::string(Root ? Root : "build") + "/daemon/hemlockspard";
  std::string Settings = "--settings=" + Path;
  std::vector<char *> Arguments = {Program.data(), Settings.data(), nullptr};
  pid_t Pid = 0;
  cr_assert_eq(posix_spawn(&Pid, Program.c_str(), nullptr, nullptr,
                           Arguments.data(), environ),
               0);

  // Opening blocks until the process reads, which it does after its start.
  std::ofstream Writer(Path);
  kill(Pid, SIGHUP);
  Writer << "neither: sound\n";
  Writer.close();
  int Status = 0;
  waitpid(Pid, &Status, 0);
  unlink(Path.c_str());
  cr_assert(WIFEXITED(Status), "ended by signal %d", WTERMSIG(Status));
  cr_assert_eq(WEXITSTATUS(Status), 2, "invalid settings are refused");
}

/// Keys granted by calls: all are held and served, those of a leaving server
/// move to the other one, and with two of five calls applied late no key is
/// ever held twice.
Test(PlatformMesh, KeysGrantedByCalls) {
  OwnershipChecker Checker;
  PlatformMesh Mesh(78, {"menus", "menus", "menus", "bookings"});
  Mesh.setGrantsByCall();
  Mesh.setLedger(&Checker);
  cr_assert(Mesh.start());
  for (std::uint32_t Key : {0U, 20000U, 40000U, 65535U}) {
    cr_assert(isServed(Mesh.sendKey(3, Key)));
  }

  PlatformServerFaults Late;
  Late.LateCallsOfTen = 4;
  for (int Index = 0; Index < 3; ++Index) {
    Mesh.server(Index).setFaults(Late);
  }
  Mesh.server(0).startDraining();
  cr_assert(Mesh.waitUntil([&] {
    return Mesh.server(0).heldKeyCount() == 0 && Mesh.allKeysHeld();
  }));
  for (int Index = 0; Index < 3; ++Index) {
    Mesh.server(Index).setFaults({});
  }
  cr_assert(Mesh.waitUntil([&] {
    return isServed(Mesh.sendKey(3, 0)) && isServed(Mesh.sendKey(3, 20000)) &&
           isServed(Mesh.sendKey(3, 65535));
  }));
  for (const std::string &Violation : Checker.violations()) {
    cr_assert_fail("%s", Violation.c_str());
  }
}

/// A backend server that restarts under its old name holds nothing: it must be
/// granted its keys again, under a higher token.
Test(PlatformMesh, RestartedServerIsGrantedItsKeysByCalls) {
  OwnershipChecker Checker;
  PlatformMesh Mesh(79, {"menus", "menus", "bookings"});
  Mesh.setGrantsByCall();
  Mesh.setLedger(&Checker);
  cr_assert(Mesh.start());
  Mesh.server(0).restart("s0");
  cr_assert_eq(Mesh.server(0).heldKeyCount(), 0);
  cr_assert(Mesh.waitUntil([&] { return Mesh.allKeysHeld(); }));
  cr_assert(isServed(Mesh.sendKey(2, 0)));
  cr_assert(Checker.violations().empty());
}

/// Uploads reach the backend server whole, from another machine as well, and
/// what exceeds the declared size is refused at once.
Test(PlatformMesh, UploadsArriveWhole) {
  PlatformMesh Mesh(80, FourDaemons);
  cr_assert(Mesh.start());
  const std::string Body(300000, 'u');
  for (int Index = 0; Index < 4; ++Index) {
    ExchangeResult Result =
        Mesh.send(Index, "/bookings/1", {}, http::verb::post, Body);
    cr_assert(isServed(Result), "status %u", statusOf(Result));
    cr_assert_eq(headerValue(Result.Response, "Body-Bytes"), "300000");
  }
  ExchangeResult TooLarge = Mesh.send(0, "/bookings/1", {}, http::verb::post,
                                      std::string(1000001, 'u'));
  cr_assert_neq(statusOf(TooLarge), 200);
}
