// A backend server leaves with DELETE and goes on serving for some seconds. The
// daemon beside it is killed and started again. A status report that the server
// sent before it left arrives late at the new process.

#include "Harness.h"

#include <cstdlib>
#include <iostream>

using namespace review;

namespace {

constexpr char StoreHost[] = "127.0.0.1";

/// Bounds of the installation: after this time an acknowledged server gets no
/// requests, and after this time without disruption a machine is in touch.
constexpr int DrainMs = 2500;
constexpr int ContactMs = 4000;

/// The restart after the kill, and how late the report is.
constexpr int KillDelayMs = 500;
constexpr int RestartDelayMs = 400;
constexpr int ReportDelayMs = 2500;

/// The server goes on serving for this long after the ack.
constexpr int ServingMs = 12000;
constexpr int RequestIntervalMs = 50;

struct Site {
  Site(Record &Log, const std::string &Folder)
      : Storage(), Started(Storage.start(StoreHost)),
        Entry({"m1", "127.0.0.1", "menus", Storage.port(), StoreHost, ""},
              Folder, Log),
        Left({"m2", "127.0.0.2", "rosters", Storage.port(), StoreHost, ""},
             Folder, Log),
        Other({"m3", "127.0.0.3", "rosters", Storage.port(), StoreHost, ""},
              Folder, Log),
        Menus({"i-menus", "menus", "127.0.0.1", Entry.reportPort()}, Log),
        Leaver({"i-leaver", "rosters", "127.0.0.2", Left.reportPort()}, Log),
        Stayer({"i-stayer", "rosters", "127.0.0.3", Other.reportPort()}, Log) {}

  bool start() {
    this->Started = this->Started && this->Menus.start() &&
                    this->Leaver.start() && this->Stayer.start();
    this->Entry.setBackendPort(this->Menus.port());
    this->Left.setBackendPort(this->Leaver.port());
    this->Other.setBackendPort(this->Stayer.port());
    return this->Started && this->Entry.start() && this->Left.start() &&
           this->Other.start() &&
           waitUntil(
               [&] {
                 return this->Entry.isReady() && this->Left.isReady() &&
                        this->Other.isReady();
               },
               30000);
  }

  Store Storage;
  bool Started;
  Daemon Entry;
  Daemon Left;
  Daemon Other;
  Backend Menus;
  Backend Leaver;
  Backend Stayer;
};

/// Sends requests for rosters at machine m1, one after the other on two
/// threads, until \p Stop.
void sendAll(Site &Mesh, Record &Log, std::atomic<int> &Number,
             const std::atomic<bool> &Stop) {
  while (!Stop) {
    CallerRequest Request;
    Request.Id = "slot-" + std::to_string(++Number);
    Request.Path = "/rosters/" + Request.Id;
    sendRequest(Mesh.Entry, Request, Log);
    sleepFor(RequestIntervalMs);
  }
}

int play(Site &Mesh, Record &Log) {
  Mesh.Storage.put(
      "op", "config",
      manifest(1,
               {routeEntry("rosters", "rosters", "idempotent", 3000, 1500),
                routeEntry("menus", "menus", "idempotent", 1500, 800),
                serviceEntry("rosters", false), serviceEntry("menus", false)}));

  // Arrivals at the leaving server, in milliseconds of the record.
  std::mutex Mutex;
  std::vector<std::pair<int, std::string>> Arrivals;
  Mesh.Leaver.setHook([&](const ConnectionPtr &, const HttpMessage &Request) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Arrivals.emplace_back(Log.now(), Request.header("Request-Id"));
    return false;
  });
  if (!Mesh.start()) {
    return 2;
  }

  std::atomic<bool> Stop{false};
  std::atomic<int> Number{0};
  std::vector<std::thread> Callers;
  for (int Index = 0; Index < 3; ++Index) {
    Callers.emplace_back([&] { sendAll(Mesh, Log, Number, Stop); });
  }
  sleepFor(ContactMs + 2500);
  bool Serves = !Mesh.Leaver.runs().empty();

  // The last report is on its way when the server leaves.
  Mesh.Leaver.stopReports();
  sleepFor(200);
  std::string Late = Mesh.Leaver.makeReport();
  int LateSentAt = Log.now();
  Log.add("i-leaver sends a status report that will arrive late");
  bool Acknowledged = Mesh.Leaver.leave();
  int AckAt = Log.now();

  int RestartedAt = AckAt;
  if (isDisrupted()) {
    sleepFor(KillDelayMs);
    Mesh.Left.kill();
    sleepFor(RestartDelayMs);
    Mesh.Left.start();
    RestartedAt = Log.now();
  }
  while (Log.now() < LateSentAt + ReportDelayMs) {
    sleepFor(10);
  }
  bool Taken = Mesh.Leaver.sendReport(Late);
  Log.add(std::string("the late status report arrives: ") +
          (Taken ? "status 200" : "no status 200"));
  while (Log.now() < AckAt + ServingMs) {
    sleepFor(10);
  }
  Stop = true;
  for (std::thread &Caller : Callers) {
    Caller.join();
  }
  if (!Serves || !Acknowledged) {
    Log.add("the site did not serve before, or the leave had no ack");
    return 2;
  }

  // Counted only from where both machines are in touch again.
  int From = std::max(AckAt + DrainMs, RestartedAt + ContactMs + 500);
  int Count = 0;
  std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &[At, Id] : Arrivals) {
    if (At > From) {
      ++Count;
      Log.add("DRAIN broken: " + Id + " reached i-leaver " +
              std::to_string(At - AckAt) + " ms after the ack");
    }
  }
  Log.add(std::to_string(Count) + " requests reached it later than drain, sent "
                                  "on by machines in touch");
  return Count > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    std::cerr << "usage: LeftServerReturns RECORD\n";
    return 2;
  }
  static Record Log(Arguments[1]);
  int Result = 2;
  {
    TemporaryFolder Folder;
    // Its threads still use the site when the process ends.
    auto &Mesh = *new Site(Log, Folder.path());
    Result = play(Mesh, Log);
    Mesh.Entry.kill();
    Mesh.Left.kill();
    Mesh.Other.kill();
  }
  Log.add("exit " + std::to_string(Result));
  std::_Exit(Result);
}
