// One backend server refuses part of its requests, without Request-Id, and is
// faulty: a second copy of some of its answers follows late on the connection,
// where the next answer is expected. A copy of a refusal arrives while the
// server runs the next booking on that connection.

#include "Harness.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>

using namespace review;

namespace {

constexpr char StoreHost[] = "127.0.0.1";
constexpr int Bookings = 1500;
constexpr int CallerCount = 12;

/// Shares of the faulty server's answers, in hundredths: refusals, and answers
/// of which a second copy follows.
constexpr unsigned RefusedShare = 30;
constexpr unsigned CopiedShare = 3;

constexpr int WorkMs = 250;

/// The copy leaves this long after the answer.
constexpr int CopyDelayMs = 100;

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
                false, 870, 6, WorkMs},
               Log),
        Sound({"i-sound", "bookings", "127.0.0.3", Second.reportPort(), 0,
               false, 870, 6, WorkMs},
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
                        this->Second.isReady();
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

/// Draws which requests are refused and which answers are sent twice, never
/// more than their shares.
class Draws {
public:
  bool isRefused() {
    return this->draw(++this->Arrivals, this->Refusals, RefusedShare);
  }
  bool isCopied() {
    return this->draw(++this->Answers, this->Copies, CopiedShare);
  }
  std::string text() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return std::to_string(this->Answers) + " answers, of which " +
           std::to_string(this->Refusals) + " were refusals and " +
           std::to_string(this->Copies) + " were sent twice";
  }

private:
  bool draw(unsigned Count, unsigned &Drawn, unsigned Share) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    bool Chosen = (Drawn + 1) * 100 <= Count * Share && this->Random() % 3 == 0;
    Drawn += Chosen ? 1 : 0;
    return Chosen;
  }

  std::mutex Mutex;
  std::mt19937 Random{1};
  std::atomic<unsigned> Arrivals{0};
  std::atomic<unsigned> Answers{0};
  unsigned Refusals = 0;
  unsigned Copies = 0;
};

HttpMessage unmarkedRefusal() {
  return makeResponse(503, {{"Not-Executed", "1"}}, "");
}

/// Sends one booking; the status of its answer.
int sendBooking(Site &Mesh, Record &Log, int Number) {
  CallerRequest Booking;
  Booking.Id = "booking-" + std::to_string(Number);
  Booking.Method = "POST";
  Booking.Path = "/book/" + std::to_string(Number);
  Booking.Body = "a package and its deposit";
  return sendRequest(Mesh.Entry, Booking, Log);
}

/// The number of bookings that ran twice, or ran though they were refused.
int countBroken(Site &Mesh, Record &Log, const std::map<int, int> &Statuses) {
  std::map<std::string, int> Runs = Mesh.Faulty.runs();
  for (const auto &[Id, Count] : Mesh.Sound.runs()) {
    Runs[Id] += Count;
  }
  int Broken = 0;
  for (const auto &[Number, Status] : Statuses) {
    std::string Id = "booking-" + std::to_string(Number);
    if (Runs[Id] > 1) {
      Log.add("TWICE broken: " + Id + " ran " + std::to_string(Runs[Id]) +
              " times");
      ++Broken;
    }
    if ((Status == 503 || Status == 429) && Runs[Id] > 0) {
      Log.add("REFUSED broken: " + Id + " is answered " +
              std::to_string(Status) + " and has run");
      ++Broken;
    }
  }
  return Broken;
}

int play(Site &Mesh, Record &Log) {
  Mesh.Storage.put(
      "op", "config",
      manifest(1, {routeEntry("book", "bookings", "non_idempotent", 2000, 1000),
                   routeEntry("packages", "packages", "idempotent", 1500, 800),
                   serviceEntry("bookings", false),
                   serviceEntry("packages", false)}));

  std::atomic<bool> Disrupted{false};
  Draws Lots;
  Mesh.Faulty.setHook(
      [&](const ConnectionPtr &Conn, const HttpMessage &Request) {
        if (!Disrupted) {
          return false;
        }
        bool Refused = Lots.isRefused();
        std::string Id = Request.header("Request-Id");
        if (Refused) {
          Log.add("i-faulty refuses " + Id + " with 503, not run");
        }
        std::string Answer =
            (Refused ? unmarkedRefusal() : Mesh.Faulty.run(Request)).text();
        bool Copied = Lots.isCopied();
        Conn->write(Answer);
        if (Copied) {
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

  std::atomic<int> Number{0};
  std::mutex Mutex;
  std::map<int, int> Statuses;
  std::vector<std::thread> Callers;
  for (int Index = 0; Index < CallerCount; ++Index) {
    Callers.emplace_back([&] {
      while (Number < Bookings) {
        int Next = ++Number;
        Disrupted = isDisrupted() && Next > 50;
        int Status = sendBooking(Mesh, Log, Next);
        std::lock_guard<std::mutex> Lock(Mutex);
        Statuses[Next] = Status;
      }
    });
  }
  for (std::thread &Caller : Callers) {
    Caller.join();
  }

  // What was sent to a server may still run.
  sleepFor(2000);
  auto Served = std::count_if(Statuses.begin(), Statuses.end(),
                              [](const auto &E) { return E.second == 200; });
  int Broken = countBroken(Mesh, Log, Statuses);
  Log.add(std::to_string(Served) + " of " + std::to_string(Statuses.size()) +
          " bookings served; i-faulty gave " + Lots.text() +
          "; the rules were broken " + std::to_string(Broken) + " times");
  if (Served < Bookings / 2) {
    return 2;
  }
  return Broken > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    std::cerr << "usage: LateUnmarkedRefusal RECORD\n";
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
