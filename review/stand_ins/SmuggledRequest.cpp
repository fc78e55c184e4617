// A caller sends a request whose Transfer-Encoding doesn't end with chunked, so
// that its length can't be told. Its body holds the text of another request,
// which nobody sent as one.

#include "Harness.h"

#include <cstdlib>
#include <iostream>

using namespace review;

namespace {

constexpr char StoreHost[] = "127.0.0.1";
constexpr int Requests = 20;

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

std::string headOf(const std::string &Method, const std::string &Path,
                   const std::string &Id) {
  return Method + " " + Path +
         " HTTP/1.1\r\nHost: spa.example\r\nRequest-Id: " + Id +
         "\r\nDeadline-Ms: 3000\r\n";
}

/// Sends a request with another one in its body; whether it is answered.
bool sendNote(Site &Mesh, Record &Log, const std::string &Number) {
  std::string Id = "note-" + Number;
  std::string Hidden = headOf("POST", "/book/x", "hidden-" + Number) +
                       "Content-Length: 0\r\n\r\n";
  std::string Framing =
      isDisrupted() ? "Transfer-Encoding: gzip"
                    : "Content-Length: " + std::to_string(Hidden.size());
  Log.add("the caller sends POST /packages/x " + Id + " with " + Framing);

  auto Conn = Connection::open(Mesh.Entry.host(), Mesh.Entry.callerPort());
  HttpMessage Answer;
  bool Complete = Conn &&
                  Conn->write(headOf("POST", "/packages/x", Id) + Framing +
                              "\r\n\r\n" + Hidden) &&
                  Conn->read(Answer, 4000);
  Log.add("the caller gets " + std::to_string(Answer.status()) + " for " + Id);

  // An answer that nobody waits for may follow.
  HttpMessage Extra;
  if (Conn && Conn->read(Extra, 500)) {
    Log.add("the caller gets one more answer, " +
            std::to_string(Extra.status()) + " for " +
            Extra.header("Request-Id"));
  }
  return Complete;
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

  int Answered = 0;
  for (int Index = 1; Index <= Requests; ++Index) {
    Answered += sendNote(Mesh, Log, std::to_string(Index)) ? 1 : 0;
  }

  int Broken = 0;
  for (const auto &[Id, Count] : Mesh.Bookings.runs()) {
    Log.add("UNASKED broken: i-bookings ran " + Id + ", sent by nobody");
    ++Broken;
  }
  Log.add(std::to_string(Broken) + " of " + std::to_string(Requests) +
          " hidden requests ran");
  if (Answered < Requests) {
    return 2;
  }
  return Broken > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    std::cerr << "usage: SmuggledRequest RECORD\n";
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
