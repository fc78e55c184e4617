// One backend server of a service divided by key refuses part of its requests
// and is faulty: a second copy of some of its answers follows late on the
// connection, where the next answer is expected. A copy of a refusal arrives
// while the server runs the same booking, sent once more.

#include "Harness.h"

#include <cstdlib>
#include <iostream>

using namespace review;

namespace {

constexpr char StoreHost[] = "127.0.0.1";
constexpr int Bookings = 300;

/// Shares of the faulty server's answers, in hundredths: refusals, and answers
/// of which a second copy follows.
constexpr unsigned RefusedShare = 45;
constexpr unsigned CopiedShare = 3;

constexpr int WorkMs = 120;

/// The copy leaves this long after the answer.
constexpr int CopyDelayMs = 100;
constexpr unsigned AllKeys = 65536;

struct Site {
  Site(Record &Log, const std::string &Folder)
      : Storage(), Started(Storage.start(StoreHost)),
        Entry({"m1", "127.0.0.1", "packages", Storage.port(), StoreHost, ""},
              Folder, Log),
        First({"m2", "127.0.0.2", "bookings", Storage.port(), StoreHost, ""},
              Folder, Log),
        Second({"m3", "127.0.0.3", "bookings", Storage.port(), StoreHost, ""},
               Folder, Log),
        Packages({"i-packages", "packages", "127.0.0.1", Entry.reportPort()},
                 Log),
        Faulty({"i-faulty", "bookings", "127.0.0.2", First.reportPort(), 0,
                true, 870, 6, WorkMs},
               Log),
        Sound({"i-sound", "bookings", "127.0.0.3", Second.reportPort(), 0, true,
               870, 6, WorkMs},
              Log) {}

  bool start() {
    this->Started = this->Started && this->Packages.start() &&
                    this->Faulty.start() && this->Sound.start();
    this->Entry.setBackendPort(this->Packages.port());
    this->First.setBackendPort(this->Faulty.port());
    this->Second.setBackendPort(this->Sound.port());
    return this->Started && this->Entry.start() && this->First.start() &&
           this->Second.start() &&
           waitUntil(
               [&] {
                 return this->Entry.isReady() && this->First.isReady() &&
                        this->Second.isReady() &&
                        this->Faulty.heldKeys() + this->Sound.heldKeys() ==
                            AllKeys;
               },
               30000);
  }

  Store Storage;
  bool Started;
  Daemon Entry;
  Daemon First;
  Daemon Second;
  Backend Packages;
  Backend Faulty;
  Backend Sound;
};

/// Whether the \p Number th of a row of events belongs to the given share.
bool isInShare(unsigned Number, unsigned Share) {
  return Number * Share / 100 != (Number - 1) * Share / 100;
}

int play(Site &Mesh, Record &Log) {
  Mesh.Storage.put(
      "op", "config",
      manifest(1, {routeEntry("book", "bookings", "non_idempotent", 2000, 1000),
                   routeEntry("packages", "packages", "idempotent", 1500, 800),
                   serviceEntry("bookings", true),
                   serviceEntry("packages", false)}));

  std::atomic<bool> Disrupted{false};
  std::atomic<unsigned> Arrivals{0};
  std::atomic<unsigned> Answers{0};
  std::atomic<unsigned> Copies{0};
  Mesh.Faulty.setHook([&](const ConnectionPtr &Conn,
                          const HttpMessage &Request) {
    if (!Disrupted) {
      return false;
    }
    bool Refused = isInShare(++Arrivals, RefusedShare);
    std::string Answer =
        (Refused ? Mesh.Faulty.refuse(503, Request) : Mesh.Faulty.run(Request))
            .text();
    bool Copied = isInShare(++Answers, CopiedShare);
    std::string Id = Request.header("Request-Id");
    Conn->write(Answer);
    if (Copied) {
      ++Copies;
      std::thread([Conn, &Log, Id, Answer] {
        sleepFor(CopyDelayMs);
        Log.add("i-faulty sends a second copy of its answer to " + Id);
        Conn->write(Answer);
      }).detach();
    }
    return true;
  });
  if (!Mesh.start()) {
    Log.add("the site did not start");
    return 2;
  }

  // The first bookings are undisturbed, and open the connections.
  int Served = 0;
  int Broken = 0;
  for (int Index = 1; Index <= Bookings; ++Index) {
    Disrupted = isDisrupted() && Index > 20;
    CallerRequest Booking;
    Booking.Id = "booking-" + std::to_string(Index);
    Booking.Method = "POST";
    Booking.Path = "/book/" + std::to_string(Index);
    Booking.Body = "a package and its deposit";
    unsigned Key = static_cast<unsigned>(Index) * 211 % AllKeys;
    while (!Mesh.Faulty.holds(Key) && Mesh.Faulty.heldKeys() > 0) {
      Key = (Key + 997) % AllKeys;
    }
    Booking.Key = Key;
    int Status = sendRequest(Mesh.Entry, Booking, Log);
    Served += Status == 200 ? 1 : 0;

    bool Promised = Status == 503 || Status == 429;
    if (Promised) {
      sleepFor(2 * WorkMs);
    }
    int Runs = Mesh.Faulty.runs()[Booking.Id] + Mesh.Sound.runs()[Booking.Id];
    if (Promised && Runs > 0) {
      Log.add("REFUSED broken: " + Booking.Id + " is answered " +
              std::to_string(Status) + " and has run");
      ++Broken;
    }
    if (Runs > 1) {
      Log.add("TWICE broken: " + Booking.Id + " ran " + std::to_string(Runs) +
              " times");
      ++Broken;
    }
  }
  Log.add(std::to_string(Served) + " of " + std::to_string(Bookings) +
          " bookings served; of " + std::to_string(Answers) + " answers " +
          std::to_string(Copies) + " were sent twice; the rules were broken " +
          std::to_string(Broken) + " times");
  if (Served < Bookings / 2) {
    return 2;
  }
  return Broken > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    std::cerr << "usage: LateRefusalCopy RECORD\n";
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
    Mesh.First.kill();
    Mesh.Second.kill();
  }
  Log.add("exit " + std::to_string(Result));
  std::_Exit(Result);
}
