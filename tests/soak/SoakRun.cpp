#include "tests/soak/SoakRun.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <csignal>

namespace hemlockspar {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int CallersEachDaemon = 2;

/// An answer after the caller's time is late by more than scheduling and the
/// way back explain.
constexpr auto AnswerSlack = milliseconds(1500);

/// The mesh is whole again within this time after the last fault: the longest
/// lease, a reading of it, and the first reports.
constexpr auto RecoveryTime = seconds(20);

/// What was done to a daemon, or to the store, shows this much longer: the
/// longest lease of keys, and the time to notice.
constexpr auto AfterEffect = seconds(10);

/// Whose holder is asked for after the faults.
constexpr std::uint32_t AnyKey = 4711;

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

SoakRun::SoakRun(const Terms &Chosen)
    : Chosen(Chosen), Mesh(Chosen.Number, servicesOf(Chosen.Daemons), true),
      Plan(makeSoakPlan(Chosen.Seed, Chosen.Daemons, Chosen.Length)) {
  this->Mesh.setLedger(&this->Ledger);
}

void SoakRun::complain(std::string What) {
  this->Complaints.push_back(std::move(What));
}

bool SoakRun::run() {
  if (!this->Mesh.start()) {
    this->complain("the mesh did not start");
    return false;
  }

  for (int Server = 0; Server < this->Mesh.count(); ++Server) {
    this->setServerFaults(Server);
  }
  SoakCallers Callers(this->Mesh, this->Chosen.Seed);
  Callers.start(CallersEachDaemon);
  this->playPlan();
  this->awaitRecovery();
  this->check(Callers.finish());
  return this->Complaints.empty();
}

void SoakRun::playPlan() {
  TimePoint Begin = BootClock::now();
  std::size_t Next = 0;

  while (Next < this->Plan.size() || !this->Active.empty()) {
    auto Age =
        std::chrono::duration_cast<milliseconds>(BootClock::now() - Begin);
    std::vector<SoakEvent> Over;
    std::erase_if(this->Active, [&](const SoakEvent &Event) {
      bool Ended = Age >= Event.At + Event.Lasting;
      if (Ended) {
        Over.push_back(Event);
      }
      return Ended;
    });
    for (const SoakEvent &Event : Over) {
      this->end(Event);
    }
    while (Next < this->Plan.size() && Age >= this->Plan[Next].At) {
      this->Active.push_back(this->Plan[Next]);
      this->begin(this->Plan[Next]);
      ++Next;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
}

void SoakRun::disturb(int Daemon, Duration Lasting, bool Orderly) {
  TimePoint Now = BootClock::now();
  this->Disturbances.push_back({Daemon, Now, Now + Lasting, Orderly});
}

void SoakRun::begin(const SoakEvent &Event) {
  int Who = Event.Who;
  switch (Event.Fault) {
  case SoakFault::DaemonKilled:
    if (this->Down.insert(Who).second) {
      this->disturb(Who, Event.Lasting + AfterEffect);
      this->Mesh.signalDaemon(Who, SIGCONT);
      this->Mesh.signalDaemon(Who, SIGKILL);
    }
    break;
  case SoakFault::DaemonPaused:
    if (!this->Down.contains(Who)) {
      this->disturb(Who, Event.Lasting + AfterEffect);
      this->Mesh.signalDaemon(Who, SIGSTOP);
    }
    break;
  case SoakFault::DaemonStopped:
    // A process that is not up yet ends by the signal, and not in order.
    if (this->Mesh.hasStarted(Who) && this->Down.insert(Who).second) {
      this->disturb(Who, Event.Lasting + AfterEffect, true);
      this->Mesh.signalDaemon(Who, SIGTERM);
    }
    break;
  case SoakFault::DaemonReloaded:
    if (!this->Down.contains(Who) && this->Mesh.hasStarted(Who)) {
      this->Mesh.signalDaemon(Who, SIGHUP);
    }
    break;
  case SoakFault::LinkDelayed:
  case SoakFault::LinkReset:
  case SoakFault::LinkCutOneWay:
  case SoakFault::LinkSilent:
    if (Event.Other != Who) {
      this->disturb(Who, Event.Lasting + AfterEffect);
      this->Mesh.setLink(Who, Event.Other, this->linkFaults(Event.Fault));
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
  case SoakFault::ServerLosesAnswers:
  case SoakFault::ServerRefuses:
  case SoakFault::ServerWrongIds:
  case SoakFault::ServerMute:
    this->setServerFaults(Who);
    break;
  case SoakFault::ServerRestarts:
    this->Mesh.server(Who).restart(
        absl::StrCat("s", Who, "r", ++this->Restarts));
    break;
  case SoakFault::ConfigurationChanges:
    this->Configuration += 1 + this->Configuration % 3;
    this->Mesh.declare(this->Configuration,
                       absl::StrCat("extra", this->Configuration));
    break;
  }
}

void SoakRun::end(const SoakEvent &Event) {
  int Who = Event.Who;
  bool Same = std::any_of(
      this->Active.begin(), this->Active.end(), [&](const SoakEvent &Other) {
        return Other.Fault == Event.Fault && Other.Who == Who;
      });

  switch (Event.Fault) {
  case SoakFault::DaemonKilled:
  case SoakFault::DaemonStopped:
    this->restartDaemon(Who);
    break;
  case SoakFault::DaemonPaused:
    if (!Same && !this->Down.contains(Who)) {
      this->Mesh.signalDaemon(Who, SIGCONT);
    }
    break;
  case SoakFault::LinkDelayed:
  case SoakFault::LinkReset:
  case SoakFault::LinkCutOneWay:
  case SoakFault::LinkSilent:
    if (Event.Other != Who) {
      this->Mesh.setLink(Who, Event.Other, {});
    }
    break;
  case SoakFault::StoreRefuses:
  case SoakFault::StoreSilent:
  case SoakFault::StoreLosesAnswers:
    this->setStoreFaults();
    break;
  case SoakFault::ServerLosesAnswers:
  case SoakFault::ServerRefuses:
  case SoakFault::ServerWrongIds:
  case SoakFault::ServerMute:
    this->setServerFaults(Who);
    break;
  case SoakFault::DaemonReloaded:
  case SoakFault::StoreForgets:
  case SoakFault::ServerRestarts:
  case SoakFault::ConfigurationChanges:
    break;
  }
}

void SoakRun::restartDaemon(int Daemon) {
  if (this->Down.erase(Daemon) == 0) {
    return;
  }
  if (this->Mesh.isRunning(Daemon)) {
    this->Mesh.signalDaemon(Daemon, SIGCONT);
    int Code = this->Mesh.waitForExit(Daemon);
    if (Code != 0) {
      this->complain(absl::StrCat("daemon ", Daemon, " ended with ", Code));
    }
  }
  this->Mesh.startDaemon(Daemon);
  this->disturb(Daemon, AfterEffect);
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
    std::string Caller = Event.Other < 0 ? "*" : absl::StrCat("d", Event.Who);
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
  Faults.RunTwice = this->Chosen.RunTwice;
  for (const SoakEvent &Event : this->Active) {
    if (Event.Who != Server) {
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
    std::string At = absl::StrCat(" at daemon ", Index);
    std::string Newest = absl::StrCat("/extra", this->Configuration, "/1");
    if (!this->Mesh.isReady(Index)) {
      return "readiness" + At;
    }
    if (!isServed(this->Mesh.sendKey(Index, AnyKey))) {
      return "a key's request" + At;
    }
    if (!isServed(
            this->Mesh.send(Index, "/bookings/1", {}, http::verb::post))) {
      return "a request" + At;
    }
    if (this->Configuration > 1 && !isServed(this->Mesh.send(Index, Newest))) {
      return "the newest route" + At;
    }
  }
  return this->Mesh.allKeysHeld() ? "" : "holders of all keys";
}

void SoakRun::awaitRecovery() {
  std::string Unserved;
  bool Whole = this->Mesh.waitUntil(
      [&] {
        Unserved = this->findUnserved();
        return Unserved.empty();
      },
      RecoveryTime);
  if (!Whole) {
    this->complain("not served again after the last fault: " + Unserved);
  }
}

void SoakRun::check(const std::vector<SoakCall> &Calls) {
  for (const std::string &Breach : this->Ledger.violations()) {
    this->complain(Breach);
  }

  std::map<std::string, int> Runs;
  for (int Index = 0; Index < this->Mesh.count(); ++Index) {
    for (const std::string &Id : this->Mesh.server(Index).executedRequests()) {
      ++Runs[Id];
    }
  }
  this->Requests = Calls.size();
  for (const SoakCall &Call : Calls) {
    auto Place = Runs.find(Call.Id);
    this->checkCall(Call, Place == Runs.end() ? 0 : Place->second);
  }
}

void SoakRun::checkCall(const SoakCall &Call, int Runs) {
  bool Refused = Call.Status == 503 || Call.Status == 429;
  bool Success = Call.Status / 100 == 2;
  bool None = Call.Status == 0 && !Call.NotSent;
  this->Answered += Call.Status > 0 ? 1 : 0;
  this->Crossed += None && Runs == 0 ? 1 : 0;
  std::string About = absl::StrCat(Call.Id, " status ", Call.Status, " runs ",
                                   Runs, " at daemon ", Call.Daemon);

  if (Call.OnceOnly && Runs > 1) {
    this->complain("ran more than once: " + About);
  }
  if (Call.OnceOnly && Refused && Runs > 0) {
    this->complain("refused, and ran: " + About);
  }
  if (Success && Runs == 0) {
    this->complain("a success that nobody ran: " + About);
  }
  if (!Call.Own) {
    this->complain("another request's answer: " + About);
  }
  if (this->disturbed(Call)) {
    return;
  }
  if (None && Runs > 0) {
    this->complain("ran, and was not answered: " + About);
  }
  if (Call.EndedAt - Call.SentAt > seconds(3) + AnswerSlack) {
    this->complain("answered too late: " + About);
  }
}

bool SoakRun::disturbed(const SoakCall &Call) const {
  return std::any_of(this->Disturbances.begin(), this->Disturbances.end(),
                     [&](const Disturbance &Known) {
                       return Known.Daemon == Call.Daemon && !Known.Orderly &&
                              Call.SentAt < Known.To &&
                              Call.EndedAt > Known.From;
                     });
}

std::string SoakRun::summary() const {
  return absl::StrCat(
      "seed ", this->Chosen.Seed, ": ", this->Plan.size(), " faults, ",
      this->Requests, " requests, ", this->Answered, " answered, ",
      this->Crossed, " met a close unread, ", this->Ledger.acquisitions(),
      " takes of keys, ", this->Complaints.size(), " complaints");
}

} // namespace hemlockspar
