#include "stand_ins/LoadRun.h"

#include "core/Json.h"
#include "daemon/RequestHeaders.h"
#include "daemon/RequestResult.h"
#include "net/Event.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

constexpr auto RetryPause = std::chrono::milliseconds(20);

/// A caller waits this much longer than the deadline it states.
constexpr auto PatienceBeyondDeadline = std::chrono::milliseconds(500);

double toMs(Duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

/// Jain's index: 1 when all got the same, 1/n when one got all.
double fairnessOf(const std::map<std::string, std::uint64_t> &Counts) {
  double Sum = 0;
  double Squares = 0;
  for (const auto &[Caller, Count] : Counts) {
    Sum += double(Count);
    Squares += double(Count) * double(Count);
  }
  return Squares == 0 ? 1 : Sum * Sum / (double(Counts.size()) * Squares);
}

Json::Value countsToJson(const std::map<std::string, std::uint64_t> &Counts) {
  Json::Value Value(Json::objectValue);
  for (const auto &[Name, Count] : Counts) {
    Value[Name] = Json::UInt64(Count);
  }
  return Value;
}

} // namespace

Json::Value LoadResult::toJson() {
  Json::Value Value;
  std::uint64_t Answered = this->Outcomes["answered"];
  Value["outcomes"] = countsToJson(this->Outcomes);
  Value["reasons"] = countsToJson(this->Reasons);
  Value["mismatched"] = Json::UInt64(this->Mismatched);
  Value["cut"] = Json::UInt64(this->Cut);
  Value["answered_per_second"] =
      this->Seconds > 0 ? double(Answered) / this->Seconds : 0;
  Value["longest_gap_ms"] = this->LongestGapMs;
  Value["short_ms"] = this->ShortMs.toJson();
  Value["long_ms"] = this->LongMs.toJson();
  Value["surge_short_ms"] = this->SurgeShortMs.toJson();
  Value["fairness"] = fairnessOf(this->AnsweredByCaller);
  return Value;
}

LoadRun::LoadRun(asio::io_context &Io, LoadOptions Chosen)
    : Io(Io), Options(std::move(Chosen)), Client(Io, {}),
      Random(this->Options.Seed) {}

void LoadRun::start() {
  this->StartedAt = BootClock::now();
  this->LastAnsweredAt = this->StartedAt;

  if (this->Options.Rate > 0) {
    asio::spawn(
        this->Io,
        [this](const asio::yield_context &Yield) { this->arrivals(Yield); },
        asio::detached);
    return;
  }

  for (std::uint32_t Number = 0; Number < this->Options.Connections; ++Number) {
    asio::spawn(
        this->Io,
        [this, Number](const asio::yield_context &Yield) {
          this->connectionLoop(Number, Yield);
        },
        asio::detached);
  }
}

void LoadRun::arrivals(const asio::yield_context &Yield) {
  asio::steady_timer Timer(this->Io);
  boost::system::error_code Ignored;
  TimePoint EndsAt = this->StartedAt + this->Options.Length;
  TimePoint DueAt = this->StartedAt;

  while (true) {
    std::exponential_distribution<double> Gap(this->rateAt(DueAt));
    DueAt += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Gap(this->Random)));
    if (DueAt >= EndsAt) {
      return;
    }

    Duration Wait = DueAt - BootClock::now();
    if (Wait > Duration::zero()) {
      Timer.expires_after(Wait);
      Timer.async_wait(Yield[Ignored]);
    }

    // Each request has a coroutine of its own: one that is slow must not
    // hold up those that come after it.
    asio::spawn(
        this->Io,
        [this, DueAt,
         Number = ++this->Arrivals](const asio::yield_context &Later) {
          Planned Work = this->plan(Number);
          std::size_t Target = Number % this->Options.Targets.size();
          this->sendOne(Work, Target, DueAt, Later);
          this->noteTime();
        },
        asio::detached);
  }
}

void LoadRun::connectionLoop(std::uint32_t Number,
                             const asio::yield_context &Yield) {
  TimePoint EndsAt = this->StartedAt + this->Options.Length;
  std::size_t Target = Number % this->Options.Targets.size();

  while (BootClock::now() < EndsAt) {
    Planned Work = this->plan(Number);
    this->sendOne(Work, Target, BootClock::now(), Yield);
  }
  this->noteTime();
}

void LoadRun::noteTime() {
  this->Result.Seconds =
      std::chrono::duration<double>(BootClock::now() - this->StartedAt).count();
}

LoadRun::Planned LoadRun::plan(std::uint32_t Number) {
  std::uniform_int_distribution<std::uint32_t> AnyKey(0,
                                                      this->Options.Keys - 1);
  std::uniform_int_distribution<std::size_t> AnyKeyspace(
      0, this->Options.Keyspaces.size() - 1);

  Planned Work;
  Work.Long = this->chance(this->Options.LongShare);
  Work.Write = this->chance(this->Options.PostShare);
  std::uint32_t Key =
      this->chance(this->Options.HotShare) ? 0 : AnyKey(this->Random);
  Work.Path =
      absl::StrCat("/", this->Options.Keyspaces[AnyKeyspace(this->Random)],
                   "/k", Key, Work.Long ? "/rebuild" : "/check");
  Work.Caller = absl::StrCat("caller-", Number % this->Options.Callers);
  Work.Key = absl::StrCat(this->Options.Seed, "-", ++this->LastRequest);

  Work.Request = HttpRequest(Work.Write ? http::verb::post : http::verb::get,
                             Work.Path, 11);
  Work.Request.set(http::field::host, "load");
  Work.Request.set(headers::Caller, Work.Caller);
  Work.Request.set(headers::RequestId, Work.Key);
  Work.Request.set(headers::TimeoutMs, std::to_string(this->Options.TimeoutMs));
  Work.Request.set("Work-Us",
                   std::to_string(Work.Long ? this->Options.LongWorkUs
                                            : this->Options.ShortWorkUs));
  if (Work.Write) {
    Work.Request.set(headers::IdempotencyKey, Work.Key);
    Work.Request.body() = Work.Key + std::string(this->Options.BodyBytes, 'x');
  }
  return Work;
}

void LoadRun::sendOne(Planned &Work, std::size_t &Target, TimePoint DueAt,
                      const asio::yield_context &Yield) {
  TimePoint Deadline = BootClock::now() +
                       std::chrono::milliseconds(this->Options.TimeoutMs) +
                       PatienceBeyondDeadline;

  while (true) {
    ExchangeResult Exchange =
        this->Client.exchange(this->Options.Targets[Target], Work.Request,
                              {.Deadline = Deadline}, Yield);

    bool Answered = Exchange.Outcome == ExchangeOutcome::Answered;
    bool NotRun =
        Exchange.Outcome == ExchangeOutcome::NotSent ||
        (Answered && headerValue(Exchange.Response, headers::Outcome) ==
                         nameOf(RequestOutcome::NotRun));
    if (!Answered) {
      Target = (Target + 1) % this->Options.Targets.size();
    }

    bool TryAgain = NotRun && this->Options.RetryNotRun &&
                    BootClock::now() + RetryPause < Deadline;
    if (!TryAgain) {
      this->note(Work, Exchange, DueAt);
      return;
    }

    sleepFor(this->Io, RetryPause, Yield);
  }
}

void LoadRun::note(const Planned &Work, const ExchangeResult &Exchange,
                   TimePoint DueAt) {
  TimePoint Now = BootClock::now();

  if (Exchange.Outcome != ExchangeOutcome::Answered) {
    ++this->Result.Cut;
    ++this->Result.Outcomes["cut"];
    return;
  }

  std::string Outcome = headerValue(Exchange.Response, headers::Outcome);
  ++this->Result.Outcomes[Outcome.empty() ? "none" : Outcome];
  std::string Reason = headerValue(Exchange.Response, headers::Reason);
  if (!Reason.empty()) {
    ++this->Result.Reasons[Reason];
  }

  if (Work.Write && Outcome == nameOf(RequestOutcome::NotRun)) {
    this->Result.NotRun.push_back(Work.Key);
  }
  bool Direct = Outcome.empty();
  if (!Direct && Outcome != nameOf(RequestOutcome::Answered)) {
    return;
  }

  if (!this->isOwnAnswer(Work, Exchange.Response)) {
    ++this->Result.Mismatched;
  }
  if (Work.Write) {
    this->Result.Acknowledged.push_back(Work.Key);
  }

  this->Result.LongestGapMs =
      std::max(this->Result.LongestGapMs, toMs(Now - this->LastAnsweredAt));
  this->LastAnsweredAt = Now;
  ++this->Result.AnsweredByCaller[Work.Caller];

  double Ms = toMs(Now - DueAt);
  (Work.Long ? this->Result.LongMs : this->Result.ShortMs).add(Ms);
  if (!Work.Long && this->surging(DueAt)) {
    this->Result.SurgeShortMs.add(Ms);
  }
}

bool LoadRun::isOwnAnswer(const Planned &Work,
                          const HttpResponse &Response) const {
  auto Body = readJson(Response.body());
  return Body && getString(*Body, "path") == Work.Path &&
         getString(*Body, "echo") == Work.Request.body();
}

double LoadRun::rateAt(TimePoint Moment) const {
  double Factor = this->surging(Moment) ? this->Options.SurgeFactor : 1;
  return this->Options.Rate * Factor;
}

bool LoadRun::surging(TimePoint Moment) const {
  return this->Options.SurgeAt.count() > 0 &&
         Moment >= this->StartedAt + this->Options.SurgeAt;
}

bool LoadRun::chance(double Share) {
  return Share > 0 &&
         std::uniform_real_distribution<double>(0, 1)(this->Random) < Share;
}

} // namespace hemlockspar
