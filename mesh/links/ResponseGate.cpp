#include "mesh/links/ResponseGate.h"

#include "core/Log.h"

namespace hemlockspar {

namespace asio = boost::asio;

ResponseGate::ResponseGate(asio::io_context &Io, double BytesPerSecond,
                           const RouteResponses &Responses,
                           MeshMetrics &Counters)
    : Counters(Counters), Limited(BytesPerSecond > 0), Io(Io), Timer(Io),
      OpenTimer(Io), Queue(BytesPerSecond), Admission(Queue, Responses) {}

std::optional<AttemptResult>
ResponseGate::admit(const AttemptContext &Context,
                    ResponseAdmission::Reservation &Place) {
  if (!this->isLimited()) {
    return std::nullopt;
  }
  TimePoint Now = BootClock::now();
  LinkDecision Decision = this->Admission.decide(
      {Context.RouteName, Context.Rank, Context.ObjectiveAt, Context.Deadline},
      Now);
  if (Decision.Admitted) {
    if (Decision.Expected.Large) {
      Place = this->Admission.reserve(
          Context.Rank, static_cast<std::uint64_t>(Decision.Expected.Bytes));
    }
    return std::nullopt;
  }

  this->Counters.onLinkRefusal();
  LogLine(LogLevel::Info, "link", "refused")
      .with("request", Context.RequestId)
      .with("route", Context.RouteName)
      .with("rank", static_cast<long long>(Context.Rank))
      .with("expected_bytes", static_cast<long long>(Decision.Expected.Bytes))
      .with("ahead_ms", toMilliseconds(Decision.Ahead))
      .with("transfer_ms", toMilliseconds(Decision.Transfer))
      .with("run_ms", toMilliseconds(Decision.Expected.RunTime))
      .with("left_ms", toMilliseconds(Context.ObjectiveAt - Now));
  return notRunResult(AttemptReason::Busy, Decision.Ahead);
}

void ResponseGate::waitForTurn(const AttemptContext &Context,
                               std::uint64_t Bytes, CallerWatch &Watch,
                               const asio::yield_context &Yield) {
  if (!this->isLimited() || Bytes <= LargeBodyBytes || Watch.isGone()) {
    return;
  }
  TimePoint ReadyAt = BootClock::now();
  std::uint64_t Number = ++this->LastNumber;
  Event Turn(this->Io);
  this->Waiters[Number] = &Turn;
  this->Queue.add({Number, Bytes, Context.Rank, Context.ObjectiveAt,
                   Context.Deadline, ReadyAt});
  this->startDue();

  Watch.OnCancel = [this, Number, &Turn] {
    if (this->Queue.cancel(Number)) {
      Turn.set();
    }
  };
  Turn.wait(Yield);
  Watch.OnCancel = nullptr;
  this->Waiters.erase(Number);

  Duration Waited = BootClock::now() - ReadyAt;
  this->Counters.recordLinkWait(Waited);
  if (toMilliseconds(Waited) > 0) {
    LogLine(LogLevel::Info, "link", "response_delayed")
        .with("request", Context.RequestId)
        .with("route", Context.RouteName)
        .with("rank", static_cast<long long>(Context.Rank))
        .with("bytes", static_cast<long long>(Bytes))
        .with("ms", toMilliseconds(Waited))
        .with("backlog_ms", toMilliseconds(this->backlog()))
        .with("caller_gone", Watch.Disconnected ? 1 : 0);
  }
}

void ResponseGate::startDue() {
  TimePoint Now = BootClock::now();
  while (auto Number = this->Queue.startNext(Now)) {
    this->Waiters.at(*Number)->set();
  }
  if (auto StartAt = this->Queue.nextStartAt(Now)) {
    this->Timer.expires_after(*StartAt - Now);
    this->Timer.async_wait([this](const boost::system::error_code &Error) {
      if (!Error) {
        this->startDue();
      }
    });
  }
}

Duration ResponseGate::backlog() const {
  return this->isLimited() ? this->Admission.backlog(BootClock::now())
                           : Duration::zero();
}

void ResponseGate::openAt(TimePoint Time) {
  this->OpenTimer.expires_after(Time - BootClock::now());
  this->OpenTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error) {
      this->open();
    }
  });
}

void ResponseGate::open() {
  this->Opened = true;
  for (const auto &[Number, Turn] : this->Waiters) {
    this->Queue.cancel(Number);
    Turn->set();
  }
}

} // namespace hemlockspar
