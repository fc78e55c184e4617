// Another writer leaves one entry that can't be read among those of the
// backends, in place of a live one, while the processes are down after the
// final fault. The backend lives and reports on.

#include "Harness.h"

#include <cstdlib>
#include <iostream>

using namespace review;

namespace {

constexpr char StoreHost[] = "127.0.0.1";

/// Bounds of the installation.
constexpr int RecoveryMs = 15000;

constexpr int ServingMs = 6000;
constexpr int DownMs = 1200;
constexpr int RequestIntervalMs = 50;

struct Site {
  Site(Record &Log, const std::string &Folder)
      : Storage(), Started(Storage.start(StoreHost)),
        Entry({"m1", "127.0.0.1", "packages", Storage.port(), StoreHost, ""},
              Folder, Log),
        Far({"m2", "127.0.0.2", "bookings", Storage.port(), StoreHost, ""},
            Folder, Log),
        Packages({"i-packages", "packages", "127.0.0.1", Entry.reportPort()},
                 Log),
        Bookings({"i-bookings", "bookings", "127.0.0.2", Far.reportPort()},
                 Log) {}

  bool start() {
    this->Started =
        this->Started && this->Packages.start() && this->Bookings.start();
    this->Entry.setBackendPort(this->Packages.port());
    this->Far.setBackendPort(this->Bookings.port());
    return this->Started && this->Entry.start() && this->Far.start() &&
           waitUntil(
               [&] { return this->Entry.isReady() && this->Far.isReady(); },
               30000);
  }

  Store Storage;
  bool Started;
  Daemon Entry;
  Daemon Far;
  Backend Packages;
  Backend Bookings;
};

/// Sends bookings for a while; the share that was served, in hundredths.
int servedShare(Site &Mesh, Record &Log, const std::string &Name) {
  int Served = 0;
  int Sent = 0;
  for (int End = Log.now() + ServingMs; Log.now() < End; ++Sent) {
    CallerRequest Request;
    Request.Id = Name + "-" + std::to_string(Sent);
    Request.Method = "POST";
    Request.Path = "/book/x";
    Served += sendRequest(Mesh.Entry, Request, Log) == 200 ? 1 : 0;
    sleepFor(RequestIntervalMs);
  }
  int Share = 100 * Served / Sent;
  Log.add(Name + ": " + std::to_string(Served) + " of " + std::to_string(Sent) +
          " requests were served");
  return Share;
}

bool areReady(const Site &Mesh) {
  return Mesh.Entry.isReady() && Mesh.Far.isReady();
}

int play(Site &Mesh, Record &Log) {
  Mesh.Storage.put(
      "op", "config",
      manifest(1, {routeEntry("book", "bookings", "non_idempotent", 2000, 1000),
                   routeEntry("packages", "packages", "idempotent", 1500, 800),
                   serviceEntry("bookings", false),
                   serviceEntry("packages", false)}));
  if (!Mesh.start()) {
    return 2;
  }
  sleepFor(2000);
  int Before = servedShare(Mesh, Log, "before");

  Mesh.Entry.kill();
  Mesh.Far.kill();
  if (isDisrupted()) {
    Mesh.Storage.put("hemlockspar", "m2", "\xff\xfe?");
    Log.add("another writer leaves an entry of three bytes at hemlockspar/m2");
  }
  sleepFor(DownMs);
  bool Back = Mesh.Entry.start() && Mesh.Far.start() &&
              waitUntil([&] { return areReady(Mesh); }, 10000);
  sleepFor(RecoveryMs);
  int After = servedShare(Mesh, Log, "after");

  if (Before < 25 || !Back) {
    Log.add("too little was served before, or the daemons did not start");
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
    std::cerr << "usage: SpoiledEntry RECORD\n";
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
    Mesh.Far.kill();
  }
  Log.add("exit " + std::to_string(Result));
  std::_Exit(Result);
}
