// Two services are divided by key. After the final fault a backend server of
// one of them is gone for good, and its address goes to a new server of the
// other. Its daemon keeps the lease on the keys of the first service.

#include "Harness.h"

#include <cstdlib>
#include <iostream>

using namespace review;

namespace {

constexpr char StoreHost[] = "127.0.0.1";

/// Bounds of the installation.
constexpr int RecoveryMs = 15000;
constexpr int AddressReuseMs = 2000;

constexpr int ServingMs = 8000;
constexpr int DownMs = 1200;
constexpr int RequestIntervalMs = 50;
constexpr unsigned AllKeys = 65536;

/// One request in this many is about a key of the second server.
constexpr int QuietKeyInterval = 10;

struct Site {
  Site(Record &Log, const std::string &Folder)
      : Log(Log), Storage(), Started(Storage.start(StoreHost)),
        First({"m1", "127.0.0.1", "menus", Storage.port(), StoreHost, ""},
              Folder, Log),
        Second({"m2", "127.0.0.2", "menus", Storage.port(), StoreHost, ""},
               Folder, Log),
        Entry({"m3", "127.0.0.3", "rosters", Storage.port(), StoreHost, ""},
              Folder, Log),
        MenusFirst(std::make_unique<Backend>(
            Backend::Options{"i-menus-1", "menus", "127.0.0.1",
                             First.reportPort(), 0, true},
            Log)),
        MenusSecond(
            {"i-menus-2", "menus", "127.0.0.2", Second.reportPort(), 0, true},
            Log),
        Rosters({"i-rosters-1", "rosters", "127.0.0.3", Entry.reportPort(), 0,
                 true},
                Log) {}

  bool areReady() const {
    return this->First.isReady() && this->Second.isReady() &&
           this->Entry.isReady();
  }

  bool start() {
    this->Started = this->Started && this->MenusFirst->start() &&
                    this->MenusSecond.start() && this->Rosters.start();
    this->First.setBackendPort(this->MenusFirst->port());
    this->Second.setBackendPort(this->MenusSecond.port());
    this->Entry.setBackendPort(this->Rosters.port());
    return this->Started && this->startDaemons() &&
           waitUntil(
               [&] {
                 return this->MenusFirst->heldKeys() +
                                this->MenusSecond.heldKeys() ==
                            AllKeys &&
                        this->Rosters.heldKeys() == AllKeys;
               },
               30000);
  }

  bool startDaemons() {
    return this->First.start() && this->Second.start() && this->Entry.start() &&
           waitUntil([&] { return this->areReady(); }, 10000);
  }

  /// The address of the first server of menus goes to a server of rosters.
  bool replaceFirst() {
    int Port = this->MenusFirst->port();
    this->MenusFirst->stop();
    this->Log.add("i-menus-1 ends for good");
    sleepFor(AddressReuseMs + 500);
    this->RostersNew = std::make_unique<Backend>(
        Backend::Options{"i-rosters-2", "rosters", "127.0.0.1",
                         this->First.reportPort(), Port, true},
        this->Log);
    this->Log.add("i-rosters-2 starts at its address");
    return this->RostersNew->start();
  }

  Record &Log;
  Store Storage;
  bool Started;
  Daemon First;
  Daemon Second;
  Daemon Entry;
  std::unique_ptr<Backend> MenusFirst;
  Backend MenusSecond;
  Backend Rosters;
  std::unique_ptr<Backend> RostersNew;
};

/// Sends requests for menus for a while; the share that was served, in
/// hundredths.
int servedShare(Site &Mesh, Record &Log, const std::string &Name,
                unsigned BusyKey, unsigned QuietKey) {
  int Served = 0;
  int Sent = 0;
  for (int End = Log.now() + ServingMs; Log.now() < End; ++Sent) {
    CallerRequest Request;
    Request.Id = Name + "-" + std::to_string(Sent);
    Request.Path = "/menus/x";
    Request.Key = Sent % QuietKeyInterval == 5 ? QuietKey
                                               : BusyKey + unsigned(Sent) % 100;
    Served += sendRequest(Mesh.Entry, Request, Log) == 200 ? 1 : 0;
    sleepFor(RequestIntervalMs);
  }
  int Share = 100 * Served / Sent;
  Log.add(Name + ": " + std::to_string(Served) + " of " + std::to_string(Sent) +
          " requests were served");
  return Share;
}

int play(Site &Mesh, Record &Log) {
  Mesh.Storage.put(
      "op", "config",
      manifest(1,
               {routeEntry("menus", "menus", "idempotent", 1500, 800),
                routeEntry("rosters", "rosters", "idempotent", 3000, 1500),
                serviceEntry("menus", true), serviceEntry("rosters", true)}));
  if (!Mesh.start()) {
    Log.add("the site did not start");
    return 2;
  }
  sleepFor(2000);
  unsigned BusyKey = Mesh.MenusFirst->holds(1000) ? 1000 : 60000;
  unsigned QuietKey = 61000 - BusyKey;
  int Before = servedShare(Mesh, Log, "before", BusyKey, QuietKey);

  Mesh.First.kill();
  Mesh.Second.kill();
  Mesh.Entry.kill();
  int KilledAt = Log.now();
  bool Replaced = !isDisrupted() || Mesh.replaceFirst();
  while (Log.now() < KilledAt + DownMs) {
    sleepFor(10);
  }
  bool Back = Mesh.startDaemons();
  sleepFor(RecoveryMs);
  int After = servedShare(Mesh, Log, "after", BusyKey, QuietKey);

  if (Before < 25 || !Back || !Replaced) {
    Log.add("too little was served before, or the site did not come back");
    return 2;
  }
  if (After < 25) {
    Log.add("RECOVER broken: less than a quarter is served");
    return 1;
  }
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    std::cerr << "usage: KeysLeftBehind RECORD\n";
    return 2;
  }
  static Record Log(Arguments[1]);
  int Result = 2;
  {
    TemporaryFolder Folder;
    // Its threads still use the site when the process ends.
    auto &Mesh = *new Site(Log, Folder.path());
    Result = play(Mesh, Log);
    Mesh.First.kill();
    Mesh.Second.kill();
    Mesh.Entry.kill();
  }
  Log.add("exit " + std::to_string(Result));
  std::_Exit(Result);
}
