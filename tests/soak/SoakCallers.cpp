#include "tests/soak/SoakCallers.h"

#include <absl/strings/str_cat.h>
#include <random>

namespace hemlockspar {

namespace {

using std::chrono::milliseconds;

/// Deadline that a caller sends with each request.
constexpr auto RequestDeadline = milliseconds(3000);
/// A caller waits this much longer than the deadline, so that late answers are
/// seen and reported.
constexpr auto ExtraClientTimeout = milliseconds(3000);

/// Longest pause between two requests of one caller.
constexpr auto MaxPause = milliseconds(40);

} // namespace

SoakCallers::SoakCallers(const PlatformMesh &Mesh, std::uint32_t Seed)
    : Mesh(Mesh), Seed(Seed) {}

SoakCallers::~SoakCallers() { this->finish(); }

void SoakCallers::start(int CallersPerDaemon) {
  for (int Daemon = 0; Daemon < this->Mesh.count(); ++Daemon) {
    for (int CallerIndex = 0; CallerIndex < CallersPerDaemon; ++CallerIndex) {
      this->Threads.emplace_back(
          [this, Daemon, CallerIndex] { this->run(Daemon, CallerIndex); });
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

void SoakCallers::run(int Daemon, int CallerIndex) {
  BlockingClient Client;
  std::mt19937 Random(this->Seed +
                      static_cast<std::uint32_t>(1000 * Daemon + CallerIndex));
  std::uniform_int_distribution<int> PauseDistribution(1,
                                                       int(MaxPause.count()));

  for (int Count = 0; !this->Stopping; ++Count) {
    std::string Id = absl::StrCat("s", Daemon, "-", CallerIndex, "-", Count);
    SoakCall Call = this->send(Client, Daemon, Id, Random);
    {
      std::lock_guard Lock(this->Mutex);
      this->Calls.push_back(std::move(Call));
    }
    std::this_thread::sleep_for(milliseconds(PauseDistribution(Random)));
  }
}

SoakCall SoakCallers::send(BlockingClient &Client, int Daemon,
                           const std::string &Id, std::mt19937 &Random) const {
  std::uniform_int_distribution<std::uint32_t> KeyDistribution(0, 65535);
  SoakCall Call;
  Call.Id = Id;
  Call.Daemon = Daemon;
  Call.AtMostOnce = Random() % 2 == 0;

  HttpRequest Request(Call.AtMostOnce ? http::verb::post : http::verb::get,
                      Call.AtMostOnce ? "/bookings/1" : "/menus/1", 11);
  Request.set(http::field::host, "spa.example");
  Request.set("Request-Id", Id);
  Request.set("Deadline-Ms", std::to_string(RequestDeadline.count()));
  if (!Call.AtMostOnce) {
    Request.set("Shard-Key", std::to_string(KeyDistribution(Random)));
  }

  Call.SentAt = BootClock::now();
  ExchangeResult Result =
      Client.exchange(this->Mesh.callerAddress(Daemon), Request,
                      RequestDeadline + ExtraClientTimeout);
  Call.EndedAt = BootClock::now();
  Call.NotSent = Result.Outcome == ExchangeOutcome::NotSent;
  if (Result.Outcome == ExchangeOutcome::Answered) {
    Call.Status = Result.Response.result_int();
    bool Success = Call.Status / 100 == 2;
    Call.AnswerMatches =
        headerValue(Result.Response, "Request-Id") == Id &&
        (!Success || Result.Response.body().ends_with(" ran " + Id));
  }
  return Call;
}

} // namespace hemlockspar
