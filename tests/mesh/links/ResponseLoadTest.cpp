#include "mesh/links/ResponseAdmission.h"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <random>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int SenderCount = 9;
constexpr double LinkBytesPerSecond = 17e6 / 8;
constexpr double LargePerSecond = 210;
constexpr double SmallPerSecond = 900;
constexpr std::uint64_t SmallBytes = 4000;
constexpr std::uint64_t MaxLargeBytes = 540000;
constexpr Duration SmallObjective = milliseconds(250);
constexpr Duration LargeObjective = milliseconds(1500);
constexpr Duration LargeTimeout = milliseconds(4000);
constexpr Duration Step = milliseconds(1);
constexpr Duration Length = seconds(30);

/// Instances that a request tries before it is refused.
constexpr int MaxTries = 4;
const TimePoint Start{seconds(100)};

/// The network behind a sender: carries one response after the other, in the
/// order in which they were written.
struct SimulatedLink {
  /// Returns how long the response takes to arrive.
  Duration write(std::uint64_t Bytes, TimePoint Now) {
    auto Time = std::chrono::duration<double>(static_cast<double>(Bytes) /
                                              LinkBytesPerSecond);
    this->FreeAt = std::max(this->FreeAt, Now) +
                   std::chrono::duration_cast<Duration>(Time);
    return this->FreeAt - Now;
  }

  TimePoint FreeAt;
};

struct RunningRequest {
  TimePoint ReadyAt;
  TimePoint ObjectiveAt;
  std::uint64_t Bytes;
  ResponseAdmission::Reservation Place;
};

struct Totals {
  std::vector<Duration> SmallTimes;
  std::uint64_t LargeBytes = 0;
  int LargeInTime = 0;
  int LargeLate = 0;
  int Refused = 0;
};

/// A machine with a backend server and a link.
class Sender {
public:
  explicit Sender(bool Gated) : Gated(Gated) {
    for (int Index = 0; Index < 20; ++Index) {
      this->Responses.record("r-files", 90000, milliseconds(200));
    }
  }

  bool offerLarge(std::uint64_t Bytes, Duration Run, TimePoint ArrivedAt,
                  TimePoint Now) {
    LinkDemand Demand = {"r-files", 2, ArrivedAt + LargeObjective,
                         ArrivedAt + LargeTimeout};
    if (this->Gated && !this->Admission.decide(Demand, Now).Admitted) {
      return false;
    }
    this->Running.push_back({Now + Run, Demand.ObjectiveAt, Bytes,
                             this->Admission.reserve(2, 90000)});
    return true;
  }

  void writeSmall(TimePoint Now, Totals &Sums) {
    Sums.SmallTimes.push_back(this->Link.write(SmallBytes, Now));
  }

  void step(TimePoint Now, Totals &Sums) {
    for (RunningRequest &Request : this->Running) {
      if (Request.ReadyAt <= Now) {
        this->onReady(Request, Now, Sums);
      }
    }
    std::erase_if(this->Running, [&](const RunningRequest &Request) {
      return Request.ReadyAt <= Now;
    });
    while (auto Number = this->Queue.startNext(Now)) {
      this->write(this->Held.at(*Number), Now, Sums);
    }
  }

private:
  void onReady(RunningRequest &Request, TimePoint Now, Totals &Sums) {
    Request.Place.reset();
    this->Responses.record("r-files", Request.Bytes, milliseconds(200));
    QueuedResponse Response = {++this->LastNumber,  Request.Bytes,    2,
                               Request.ObjectiveAt, TimePoint::max(), Now};
    if (this->Gated && Request.Bytes > LargeBodyBytes) {
      this->Held[Response.Number] = Response;
      this->Queue.add(Response);
    } else {
      this->write(Response, Now, Sums);
    }
  }

  void write(const QueuedResponse &Response, TimePoint Now, Totals &Sums) {
    bool InTime =
        Now + this->Link.write(Response.Bytes, Now) <= Response.ObjectiveAt;
    Sums.LargeInTime += InTime ? 1 : 0;
    Sums.LargeLate += InTime ? 0 : 1;
    Sums.LargeBytes += Response.Bytes;
  }

  bool Gated;
  SimulatedLink Link;
  RouteResponses Responses;
  ResponseQueue Queue{LinkBytesPerSecond};
  ResponseAdmission Admission{this->Queue, this->Responses};
  std::vector<RunningRequest> Running;
  std::map<std::uint64_t, QueuedResponse> Held;
  std::uint64_t LastNumber = 0;
};

/// Sends 210 requests for large responses and 900 for small ones a second to
/// nine senders.
Totals replay(bool Gated) {
  std::mt19937 Random(11);
  std::uniform_int_distribution<std::size_t> AnySender(0, SenderCount - 1);
  std::poisson_distribution<int> LargeArrivals(LargePerSecond / 1000);
  std::poisson_distribution<int> SmallArrivals(SmallPerSecond / 1000);
  std::lognormal_distribution<double> Size(std::log(70000), 0.72);
  std::lognormal_distribution<double> RunSeconds(std::log(0.18), 0.5);
  std::vector<std::unique_ptr<Sender>> Senders;
  for (int Index = 0; Index < SenderCount; ++Index) {
    Senders.push_back(std::make_unique<Sender>(Gated));
  }
  Totals Sums;

  for (TimePoint Now = Start; Now < Start + Length; Now += Step) {
    for (int Count = LargeArrivals(Random); Count > 0; --Count) {
      auto Bytes =
          std::min(static_cast<std::uint64_t>(Size(Random)), MaxLargeBytes);
      auto Run = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(RunSeconds(Random)));
      bool Taken = false;
      for (int Try = 0; Try < MaxTries && !Taken; ++Try) {
        Taken = Senders[AnySender(Random)]->offerLarge(Bytes, Run, Now, Now);
      }
      Sums.Refused += Taken ? 0 : 1;
    }
    for (int Count = SmallArrivals(Random); Count > 0; --Count) {
      Senders[AnySender(Random)]->writeSmall(Now, Sums);
    }
    for (auto &Each : Senders) {
      Each->step(Now, Sums);
    }
  }
  std::sort(Sums.SmallTimes.begin(), Sums.SmallTimes.end());
  return Sums;
}

std::size_t countLateSmall(const Totals &Sums) {
  auto Late = std::upper_bound(Sums.SmallTimes.begin(), Sums.SmallTimes.end(),
                               SmallObjective);
  return static_cast<std::size_t>(Sums.SmallTimes.end() - Late);
}

void print(const char *Name, const Totals &Sums) {
  std::size_t Count = Sums.SmallTimes.size();
  std::fprintf(stderr,
               "%s: small %zu, late %zu, 99%% within %lld ms, longest %lld ms; "
               "large in time %d, late %d, refused %d, %.1f MB/s\n",
               Name, Count, countLateSmall(Sums),
               toMilliseconds(Sums.SmallTimes[Count * 99 / 100]),
               toMilliseconds(Sums.SmallTimes.back()), Sums.LargeInTime,
               Sums.LargeLate, Sums.Refused,
               static_cast<double>(Sums.LargeBytes) / 1e6 /
                   std::chrono::duration<double>(Length).count());
}

} // namespace

/// Nine senders with links of 17 Mbit/s, 210 responses of 90 KB on average and
/// up to 540 KB a second, and 900 small responses a second with an objective of
/// 250 ms, for 30 s. Written as they become ready, the large responses queue in
/// the network and most small ones are late. With admission and pacing, a small
/// response waits for one large response at most, admitted requests get their
/// response by its objective, and the share of the links is in use.
Test(ResponseLoad, LargeResponsesAtTheCapacityOfNineLinks) {
  Totals Unlimited = replay(false);
  Totals Limited = replay(true);
  print("written at once", Unlimited);
  print("admitted and paced", Limited);

  double SmallCount = static_cast<double>(Limited.SmallTimes.size());
  cr_assert_gt(static_cast<double>(countLateSmall(Unlimited)),
               0.3 * SmallCount);
  cr_assert_lt(static_cast<double>(countLateSmall(Limited)),
               0.001 * SmallCount);

  // The longest large response, and the small ones that arrive meanwhile.
  Duration LongestTransfer =
      SimulatedLink().write(MaxLargeBytes + 60 * SmallBytes, Start);
  cr_assert_leq(Limited.SmallTimes.back().count(), LongestTransfer.count());

  double ShareBytes = 0.7 * SenderCount * LinkBytesPerSecond *
                      std::chrono::duration<double>(Length).count();
  cr_assert_gt(static_cast<double>(Limited.LargeBytes), 0.9 * ShareBytes);
  cr_assert_gt(Limited.LargeInTime, Unlimited.LargeInTime);
  cr_assert_lt(Limited.LargeLate, Limited.LargeInTime / 50);
}
