#include "stand_ins/LoadGenerator.h"

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

constexpr auto RetryDelay = std::chrono::milliseconds(20);

/// Extra time that a client waits after the deadline that it states.
constexpr auto DeadlineMargin = std::chrono::milliseconds(500);

double toFractionalMilliseconds(Duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

/// Jain's fairness index: 1 if all callers got the same number of responses,
/// 1/n if one of n got them all.
double fairnessIndex(const std::map<std::string, std::uint64_t> &Counts) {
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
  Value["cut"] = Json::UInt64(this->ConnectionFailures);
  Value["answered_per_second"] =
      this->Seconds > 0 ? double(Answered) / this->Seconds : 0;
  Value["longest_gap_ms"] = this->LongestGapMs;
  Value["short_ms"] = this->ShortMs.toJson();
  Value["long_ms"] = this->LongMs.toJson();
  Value["surge_short_ms"] = this->SurgeShortMs.toJson();
  Value["fairness"] = fairnessIndex(this->AnsweredByCaller);
  return Value;
}

LoadGenerator::LoadGenerator(asio::io_context &Io, LoadOptions Chosen)
    : Io(Io), Options(std::move(Chosen)), Client(Io, {}),
      Random(this->Options.Seed) {}

void LoadGenerator::start() {
  this->StartedAt = BootClock::now();
  this->LastAnsweredAt = this->StartedAt;

  if (this->Options.Rate > 0) {
    asio::spawn(
        this->Io,
        [this](const asio::yield_context &Yield) { this->runOpenLoop(Yield); },
        asio::detached);
    return;
  }

  for (std::uint32_t Number = 0; Number < this->Options.Connections; ++Number) {
    asio::spawn(
        this->Io,
        [this, Number](const asio::yield_context &Yield) {
          this->runClosedLoop(Number, Yield);
        },
        asio::detached);
  }
}

void LoadGenerator::runOpenLoop(const asio::yield_context &Yield) {
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

    // Each request has its own coroutine, so that a slow one does not delay
    // those after it.
    asio::spawn(
        this->Io,
        [this, DueAt, Number = ++this->ArrivalCount](
            const asio::yield_context &RequestYield) {
          PlannedRequest Planned = this->makePlannedRequest(Number);
          std::size_t Target = Number % this->Options.Targets.size();
          this->sendOne(Planned, Target, DueAt, RequestYield);
          this->updateElapsedTime();
        },
        asio::detached);
  }
}

void LoadGenerator::runClosedLoop(std::uint32_t Number,
                                  const asio::yield_context &Yield) {
  TimePoint EndsAt = this->StartedAt + this->Options.Length;
  std::size_t Target = Number % this->Options.Targets.size();

  while (BootClock::now() < EndsAt) {
    PlannedRequest Planned = this->makePlannedRequest(Number);
    this->sendOne(Planned, Target, BootClock::now(), Yield);
  }
  this->updateElapsedTime();
}

void LoadGenerator::updateElapsedTime() {
  this->Result.Seconds =
      std::chrono::duration<double>(BootClock::now() - this->StartedAt).count();
}

LoadGenerator::PlannedRequest
LoadGenerator::makePlannedRequest(std::uint32_t Number) {
  std::uniform_int_distribution<std::uint32_t> AnyKey(0,
                                                      this->Options.Keys - 1);
  std::uniform_int_distribution<std::size_t> AnyKeyspace(
      0, this->Options.Keyspaces.size() - 1);

  PlannedRequest Planned;
  Planned.Long = this->randomChance(this->Options.LongShare);
  Planned.Write = this->randomChance(this->Options.PostShare);
  std::uint32_t Key =
      this->randomChance(this->Options.HotShare) ? 0 : AnyKey(this->Random);
  Planned.Path =
      absl::StrCat("/", this->Options.Keyspaces[AnyKeyspace(this->Random)],
                   "/k", Key, Planned.Long ? "/rebuild" : "/check");
  Planned.Caller = absl::StrCat("caller-", Number % this->Options.Callers);
  Planned.Key =
      absl::StrCat(this->Options.Seed, "-", ++this->LastRequestNumber);

  Planned.Request = HttpRequest(
      Planned.Write ? http::verb::post : http::verb::get, Planned.Path, 11);
  Planned.Request.set(http::field::host, "load");
  Planned.Request.set(headers::Caller, Planned.Caller);
  Planned.Request.set(headers::RequestId, Planned.Key);
  Planned.Request.set(headers::TimeoutMs,
                      std::to_string(this->Options.TimeoutMs));
  Planned.Request.set("Work-Us",
                      std::to_string(Planned.Long ? this->Options.LongWorkUs
                                                  : this->Options.ShortWorkUs));
  if (Planned.Write) {
    Planned.Request.set(headers::IdempotencyKey, Planned.Key);
    Planned.Request.body() =
        Planned.Key + std::string(this->Options.BodyBytes, 'x');
  }
  return Planned;
}

void LoadGenerator::sendOne(PlannedRequest &Planned, std::size_t &Target,
                            TimePoint DueAt, const asio::yield_context &Yield) {
  TimePoint Deadline = BootClock::now() +
                       std::chrono::milliseconds(this->Options.TimeoutMs) +
                       DeadlineMargin;

  while (true) {
    ExchangeResult Exchange =
        this->Client.exchange(this->Options.Targets[Target], Planned.Request,
                              {.Deadline = Deadline}, Yield);

    bool Answered = Exchange.Outcome == ExchangeOutcome::Answered;
    bool NotRun =
        Exchange.Outcome == ExchangeOutcome::NotSent ||
        (Answered && headerValue(Exchange.Response, headers::Outcome) ==
                         nameOf(RequestOutcome::NotRun));
    if (!Answered) {
      Target = (Target + 1) % this->Options.Targets.size();
    }

    bool Retry = NotRun && this->Options.RetryNotRun &&
                 BootClock::now() + RetryDelay < Deadline;
    if (!Retry) {
      this->recordResult(Planned, Exchange, DueAt);
      return;
    }

    sleepFor(this->Io, RetryDelay, Yield);
  }
}

void LoadGenerator::recordResult(const PlannedRequest &Planned,
                                 const ExchangeResult &Exchange,
                                 TimePoint DueAt) {
  TimePoint Now = BootClock::now();

  if (Exchange.Outcome != ExchangeOutcome::Answered) {
    ++this->Result.ConnectionFailures;
    ++this->Result.Outcomes["cut"];
    return;
  }

  std::string Outcome = headerValue(Exchange.Response, headers::Outcome);
  ++this->Result.Outcomes[Outcome.empty() ? "none" : Outcome];
  std::string Reason = headerValue(Exchange.Response, headers::Reason);
  if (!Reason.empty()) {
    ++this->Result.Reasons[Reason];
  }

  if (Planned.Write && Outcome == nameOf(RequestOutcome::NotRun)) {
    this->Result.NotRun.push_back(Planned.Key);
  }
  bool Direct = Outcome.empty();
  if (!Direct && Outcome != nameOf(RequestOutcome::Answered)) {
    return;
  }

  if (!this->matchesRequest(Planned, Exchange.Response)) {
    ++this->Result.Mismatched;
  }
  if (Planned.Write) {
    this->Result.Acknowledged.push_back(Planned.Key);
  }

  this->Result.LongestGapMs =
      std::max(this->Result.LongestGapMs,
               toFractionalMilliseconds(Now - this->LastAnsweredAt));
  this->LastAnsweredAt = Now;
  ++this->Result.AnsweredByCaller[Planned.Caller];

  double LatencyMs = toFractionalMilliseconds(Now - DueAt);
  (Planned.Long ? this->Result.LongMs : this->Result.ShortMs).add(LatencyMs);
  if (!Planned.Long && this->isSurging(DueAt)) {
    this->Result.SurgeShortMs.add(LatencyMs);
  }
}

bool LoadGenerator::matchesRequest(const PlannedRequest &Planned,
                                   const HttpResponse &Response) const {
  auto Body = readJson(Response.body());
  return Body && getString(*Body, "path") == Planned.Path &&
         getString(*Body, "echo") == Planned.Request.body();
}

double LoadGenerator::rateAt(TimePoint Moment) const {
  double Factor = this->isSurging(Moment) ? this->Options.SurgeFactor : 1;
  return this->Options.Rate * Factor;
}

bool LoadGenerator::isSurging(TimePoint Moment) const {
  return this->Options.SurgeAt.count() > 0 &&
         Moment >= this->StartedAt + this->Options.SurgeAt;
}

bool LoadGenerator::randomChance(double Share) {
  return Share > 0 &&
         std::uniform_real_distribution<double>(0, 1)(this->Random) < Share;
}

} // namespace hemlockspar
