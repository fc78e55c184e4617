#include "tests/soak/SoakRun.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <csignal>

namespace hemlockspar {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int CallersPerDaemon = 2;

/// Allowance for scheduling and the transit time of the answer. An answer that
/// arrives later than the deadline plus this time is too late.
constexpr auto LateAnswerTolerance = milliseconds(1500);

/// The mesh must serve everything again within this time after the last fault.
/// It covers the longest lease, reading the lease rows and the first reports of
/// the backend servers.
constexpr auto RecoveryTimeout = seconds(20);

/// A fault of a daemon may affect requests for this long after it ends: the
/// longest lease of keys plus the time to detect its expiry.
constexpr auto ResidualEffectTime = seconds(10);

/// Key requested from every daemon to check that the mesh has recovered.
constexpr std::uint32_t ProbeKey = 4711;

std::vector<std::string> servicesOf(int Daemons) {
  std::vector<std::string> Services;
  for (int Index = 0; Index < Daemons; ++Index) {
    Services.push_back(Index % 2 == 0 ? "menus" : "bookings");
  }
  return Services;
}

bool isServed(const ExchangeResult &Result) {
  return Result.Outcome == ExchangeOutcome::Answered &&
         Result.Response.result() == http::status::ok;
}

} // namespace

SoakRun::SoakRun(const Options &RunOptions)
    : RunOptions(RunOptions),
      Mesh(RunOptions.LoopbackNetwork, servicesOf(RunOptions.Daemons), true),
      Plan(makeSoakPlan(RunOptions.Seed, RunOptions.Daemons,
                        RunOptions.Length)) {
  this->Mesh.setLedger(&this->Checker);
}

void SoakRun::reportViolation(std::string Description) {
  this->Violations.push_back(std::move(Description));
}

bool SoakRun::run() {
  if (!this->Mesh.start()) {
    this->reportViolation("the mesh did not start");
    return false;
  }

  for (int Server = 0; Server < this->Mesh.count(); ++Server) {
    this->setServerFaults(Server);
  }
  SoakCallers Callers(this->Mesh, this->RunOptions.Seed);
  Callers.start(CallersPerDaemon);
  this->runPlan();
  this->awaitRecovery();
  this->checkCalls(Callers.finish());
  return this->Violations.empty();
}

void SoakRun::runPlan() {
  TimePoint StartedAt = BootClock::now();
  std::size_t Next = 0;

  while (Next < this->Plan.size() || !this->Active.empty()) {
    auto Elapsed =
        std::chrono::duration_cast<milliseconds>(BootClock::now() - StartedAt);
    std::vector<SoakEvent> EndedEvents;
    std::erase_if(this->Active, [&](const SoakEvent &Event) {
      bool Ended = Elapsed >= Event.StartOffset + Event.FaultDuration;
      if (Ended) {
        EndedEvents.push_back(Event);
      }
      return Ended;
    });
    for (const SoakEvent &Event : EndedEvents) {
      this->endFault(Event);
    }
    while (Next < this->Plan.size() &&
           Elapsed >= this->Plan[Next].StartOffset) {
      this->Active.push_back(this->Plan[Next]);
      this->beginFault(this->Plan[Next]);
      ++Next;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
}

void SoakRun::recordDisturbance(int Daemon, Duration Length,
                                bool GracefulStop) {
  TimePoint Now = BootClock::now();
  this->Disturbances.push_back({Daemon, Now, Now + Length, GracefulStop});
}

void SoakRun::beginFault(const SoakEvent &Event) {
  int Target = Event.Target;
  switch (Event.Fault) {
  case SoakFault::DaemonKilled:
    if (this->DownDaemons.insert(Target).second) {
      this->recordDisturbance(Target, Event.FaultDuration + ResidualEffectTime);
      this->Mesh.signalDaemon(Target, SIGCONT);
      this->Mesh.signalDaemon(Target, SIGKILL);
    }
    break;
  case SoakFault::DaemonPaused:
    if (!this->DownDaemons.contains(Target)) {
      this->recordDisturbance(Target, Event.FaultDuration + ResidualEffectTime);
      this->Mesh.signalDaemon(Target, SIGSTOP);
    }
    break;
  case SoakFault::DaemonStopped:
    // A daemon that has not started up yet would be killed by the signal
    // instead of stopping gracefully.
    if (this->Mesh.hasStarted(Target) &&
        this->DownDaemons.insert(Target).second) {
      this->recordDisturbance(Target, Event.FaultDuration + ResidualEffectTime,
                              true);
      this->Mesh.signalDaemon(Target, SIGTERM);
    }
    break;
  case SoakFault::DaemonReloaded:
    if (!this->DownDaemons.contains(Target) && this->Mesh.hasStarted(Target)) {
      this->Mesh.signalDaemon(Target, SIGHUP);
    }
    break;
  case SoakFault::LinkDelayed:
  case SoakFault::LinkReset:
  case SoakFault::LinkCutOneWay:
  case SoakFault::LinkSilent:
    if (Event.Peer != Target) {
      this->recordDisturbance(Target, Event.FaultDuration + ResidualEffectTime);
      this->Mesh.setLink(Target, Event.Peer, this->linkFaults(Event.Fault));
    }
    break;
  case SoakFault::StoreRefuses:
  case SoakFault::StoreSilent:
  case SoakFault::StoreLosesAnswers:
    this->setStoreFaults();
    break;
  case SoakFault::StoreForgets:
    this->Mesh.store().dropHistory();
    break;
  case SoakFault::StoreRestored:
    this->Mesh.store().saveCopy();
    break;
  case SoakFault::ServerLosesAnswers:
  case SoakFault::ServerRefuses:
  case SoakFault::ServerWrongIds:
  case SoakFault::ServerMute:
    this->setServerFaults(Target);
    break;
  case SoakFault::ServerRestarts:
    this->Mesh.server(Target).restart(
        absl::StrCat("s", Target, "r", ++this->RestartCount));
    break;
  case SoakFault::ConfigurationChanges:
    this->ConfigurationVersion += 1 + this->ConfigurationVersion % 3;
    this->declareNewest();
    break;
  }
}

void SoakRun::endFault(const SoakEvent &Event) {
  int Target = Event.Target;
  bool StillActive = std::any_of(this->Active.begin(), this->Active.end(),
                                 [&](const SoakEvent &ActiveEvent) {
                                   return ActiveEvent.Fault == Event.Fault &&
                                          ActiveEvent.Target == Target;
                                 });

  switch (Event.Fault) {
  case SoakFault::DaemonKilled:
  case SoakFault::DaemonStopped:
    this->restartDaemon(Target);
    break;
  case SoakFault::DaemonPaused:
    if (!StillActive && !this->DownDaemons.contains(Target)) {
      this->Mesh.signalDaemon(Target, SIGCONT);
    }
    break;
  case SoakFault::LinkDelayed:
  case SoakFault::LinkReset:
  case SoakFault::LinkCutOneWay:
  case SoakFault::LinkSilent:
    if (Event.Peer != Target) {
      this->Mesh.setLink(Target, Event.Peer, {});
    }
    break;
  case SoakFault::StoreRefuses:
  case SoakFault::StoreSilent:
  case SoakFault::StoreLosesAnswers:
    this->setStoreFaults();
    break;
  case SoakFault::StoreRestored:
    this->Mesh.store().restoreCopy();
    this->declareNewest();
    break;
  case SoakFault::ServerLosesAnswers:
  case SoakFault::ServerRefuses:
  case SoakFault::ServerWrongIds:
  case SoakFault::ServerMute:
    this->setServerFaults(Target);
    break;
  case SoakFault::DaemonReloaded:
  case SoakFault::StoreForgets:
  case SoakFault::ServerRestarts:
  case SoakFault::ConfigurationChanges:
    break;
  }
}

void SoakRun::declareNewest() {
  bool First = this->ConfigurationVersion == 1;
  this->Mesh.declare(this->ConfigurationVersion,
                     First ? ""
                           : absl::StrCat("extra", this->ConfigurationVersion));
}

void SoakRun::restartDaemon(int Daemon) {
  if (this->DownDaemons.erase(Daemon) == 0) {
    return;
  }
  if (this->Mesh.isRunning(Daemon)) {
    this->Mesh.signalDaemon(Daemon, SIGCONT);
    int Code = this->Mesh.waitForExit(Daemon);
    if (Code != 0) {
      this->reportViolation(
          absl::StrCat("daemon ", Daemon, " exited with code ", Code));
    }
  }
  this->Mesh.startDaemon(Daemon);
  this->recordDisturbance(Daemon, ResidualEffectTime);
}

LinkFaults SoakRun::linkFaults(SoakFault Kind) const {
  LinkFaults Faults;
  Faults.DelayMs = Kind == SoakFault::LinkDelayed ? 120 : 0;
  Faults.Reset = Kind == SoakFault::LinkReset;
  Faults.DropOutbound =
      Kind == SoakFault::LinkCutOneWay || Kind == SoakFault::LinkSilent;
  Faults.DropInbound = Kind == SoakFault::LinkSilent;
  return Faults;
}

void SoakRun::setStoreFaults() {
  PlatformStoreFaults Faults;
  for (const SoakEvent &Event : this->Active) {
    std::string Caller = Event.Peer < 0 ? "*" : absl::StrCat("d", Event.Target);
    if (Event.Fault == SoakFault::StoreRefuses) {
      Faults.RefusedCallers.insert(Caller);
    } else if (Event.Fault == SoakFault::StoreSilent) {
      Faults.UnansweredCallers.insert(Caller);
    } else if (Event.Fault == SoakFault::StoreLosesAnswers) {
      Faults.DropResponses = true;
    }
  }
  this->Mesh.store().setFaults(Faults);
}

void SoakRun::setServerFaults(int Server) {
  PlatformServerFaults Faults;
  Faults.RunTwice = this->RunOptions.RunTwice;
  for (const SoakEvent &Event : this->Active) {
    if (Event.Target != Server) {
      continue;
    }
    Faults.OmitServerStamp |= Event.Fault == SoakFault::ServerLosesAnswers;
    Faults.RefuseRequests |= Event.Fault == SoakFault::ServerRefuses;
    Faults.WrongRequestIds |= Event.Fault == SoakFault::ServerWrongIds;
    Faults.SuppressReports |= Event.Fault == SoakFault::ServerMute;
  }
  this->Mesh.server(Server).setFaults(Faults);
}

std::string SoakRun::findUnserved() {
  for (int Index = 0; Index < this->Mesh.count(); ++Index) {
    std::string Location = absl::StrCat(" at daemon ", Index);
    std::string NewestPath =
        absl::StrCat("/extra", this->ConfigurationVersion, "/1");
    if (!this->Mesh.isReady(Index)) {
      return "readiness" + Location;
    }
    if (!isServed(this->Mesh.sendKey(Index, ProbeKey))) {
      return "a request for a key" + Location;
    }
    if (!isServed(
            this->Mesh.send(Index, "/bookings/1", {}, http::verb::post))) {
      return "a request without a key" + Location;
    }
    if (this->ConfigurationVersion > 1 &&
        !isServed(this->Mesh.send(Index, NewestPath))) {
      return "the route of the newest configuration" + Location;
    }
  }
  return this->Mesh.allKeysHeld() ? "" : "some keys have no holder";
}

void SoakRun::awaitRecovery() {
  std::string Unserved;
  bool Recovered = this->Mesh.waitUntil(
      [&] {
        Unserved = this->findUnserved();
        return Unserved.empty();
      },
      RecoveryTimeout);
  if (!Recovered) {
    this->reportViolation("not recovered after the last fault: " + Unserved);
  }
}

void SoakRun::checkCalls(const std::vector<SoakCall> &Calls) {
  for (const std::string &Violation : this->Checker.violations()) {
    this->reportViolation(Violation);
  }

  std::map<std::string, int> Runs;
  for (int Index = 0; Index < this->Mesh.count(); ++Index) {
    for (const std::string &Id : this->Mesh.server(Index).executedRequests()) {
      ++Runs[Id];
    }
  }
  this->RequestCount = Calls.size();
  for (const SoakCall &Call : Calls) {
    auto Entry = Runs.find(Call.Id);
    this->checkCall(Call, Entry == Runs.end() ? 0 : Entry->second);
  }
}

void SoakRun::checkCall(const SoakCall &Call, int Runs) {
  bool Refused = Call.Status == 503 || Call.Status == 429;
  bool Success = Call.Status / 100 == 2;
  bool Unanswered = Call.Status == 0 && !Call.NotSent;
  this->AnsweredCount += Call.Status > 0 ? 1 : 0;
  this->UnreadCount += Unanswered && Runs == 0 ? 1 : 0;
  std::string Description =
      absl::StrCat(Call.Id, " status ", Call.Status, " runs ", Runs,
                   " at daemon ", Call.Daemon);

  if (Call.AtMostOnce && Runs > 1) {
    this->reportViolation("ran more than once: " + Description);
  }
  if (Call.AtMostOnce && Refused && Runs > 0) {
    this->reportViolation("refused but ran: " + Description);
  }
  if (Success && Runs == 0) {
    this->reportViolation("successful answer, but no backend server ran it: " +
                          Description);
  }
  if (!Call.AnswerMatches) {
    this->reportViolation("answer belongs to another request: " + Description);
  }
  if (this->wasDisturbed(Call)) {
    return;
  }
  if (Unanswered && Runs > 0) {
    this->reportViolation("ran but got no answer: " + Description);
  }
  if (Call.EndedAt - Call.SentAt > seconds(3) + LateAnswerTolerance) {
    this->reportViolation("answered too late: " + Description);
  }
}

bool SoakRun::wasDisturbed(const SoakCall &Call) const {
  return std::any_of(this->Disturbances.begin(), this->Disturbances.end(),
                     [&](const Disturbance &Interval) {
                       return Interval.Daemon == Call.Daemon &&
                              !Interval.GracefulStop &&
                              Call.SentAt < Interval.To &&
                              Call.EndedAt > Interval.From;
                     });
}

std::string SoakRun::summary() const {
  return absl::StrCat("seed ", this->RunOptions.Seed, ": ", this->Plan.size(),
                      " faults, ", this->RequestCount, " requests, ",
                      this->AnsweredCount, " answered, ", this->UnreadCount,
                      " closed before they were read, ",
                      this->Checker.acquisitions(), " key acquisitions, ",
                      this->Violations.size(), " violations");
}

} // namespace hemlockspar
