#include "tests/soak/SoakCallers.h"

#include <absl/strings/str_cat.h>
#include <random>

namespace hemlockspar {

namespace {

using std::chrono::milliseconds;

/// What a caller states that it will wait, and what it waits beyond that.
constexpr auto Patience = milliseconds(3000);
constexpr auto WaitedBeyond = milliseconds(3000);

constexpr auto LongestPause = milliseconds(40);

} // namespace

SoakCallers::SoakCallers(const PlatformMesh &Mesh, std::uint32_t Seed)
    : Mesh(Mesh), Seed(Seed) {}

SoakCallers::~SoakCallers() { this->finish(); }

void SoakCallers::start(int EachDaemon) {
  for (int Daemon = 0; Daemon < this->Mesh.count(); ++Daemon) {
    for (int Number = 0; Number < EachDaemon; ++Number) {
      this->Threads.emplace_back(
          [this, Daemon, Number] { this->run(Daemon, Number); });
    }
  }
}

std::vector<SoakCall> SoakCallers::finish() {
  this->Stopping = true;
  for (std::thread &Caller : this->Threads) {
    Caller.join();
  }
  this->Threads.clear();
  return std::move(this->Calls);
}

void SoakCallers::run(int Daemon, int Number) {
  BlockingClient Client;
  std::mt19937 Random(this->Seed +
                      static_cast<std::uint32_t>(1000 * Daemon + Number));
  std::uniform_int_distribution<int> Pause(1, int(LongestPause.count()));

  for (int Count = 0; !this->Stopping; ++Count) {
    std::string Id = absl::StrCat("s", Daemon, "-", Number, "-", Count);
    SoakCall Call = this->send(Client, Daemon, Id, Random);
    {
      std::lock_guard Lock(this->Guard);
      this->Calls.push_back(std::move(Call));
    }
    std::this_thread::sleep_for(milliseconds(Pause(Random)));
  }
}

SoakCall SoakCallers::send(BlockingClient &Client, int Daemon,
                           const std::string &Id, std::mt19937 &Random) const {
  std::uniform_int_distribution<std::uint32_t> AnyKey(0, 65535);
  SoakCall Call;
  Call.Id = Id;
  Call.Daemon = Daemon;
  Call.OnceOnly = Random() % 2 == 0;

  HttpRequest Request(Call.OnceOnly ? http::verb::post : http::verb::get,
                      Call.OnceOnly ? "/bookings/1" : "/menus/1", 11);
  Request.set(http::field::host, "spa.example");
  Request.set("Request-Id", Id);
  Request.set("Deadline-Ms", std::to_string(Patience.count()));
  if (!Call.OnceOnly) {
    Request.set("Shard-Key", std::to_string(AnyKey(Random)));
  }

  Call.SentAt = BootClock::now();
  ExchangeResult Result = Client.exchange(this->Mesh.callerAddress(Daemon),
                                          Request, Patience + WaitedBeyond);
  Call.EndedAt = BootClock::now();
  Call.NotSent = Result.Outcome == ExchangeOutcome::NotSent;
  if (Result.Outcome == ExchangeOutcome::Answered) {
    Call.Status = Result.Response.result_int();
    bool Success = Call.Status / 100 == 2;
    Call.Own = headerValue(Result.Response, "Request-Id") == Id &&
               (!Success || Result.Response.body().ends_with(" ran " + Id));
  }
  return Call;
}

} // namespace hemlockspar
