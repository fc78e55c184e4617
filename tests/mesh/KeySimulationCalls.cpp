#include "tests/mesh/KeySimulationNode.h"

#include <algorithm>

namespace hemlockspar {

using std::chrono::milliseconds;

namespace {

/// Share of the calls that get no answer while calls are late, of ten.
constexpr int LateCallsOfTen = 4;

constexpr auto ReleasePollInterval = milliseconds(20);

} // namespace

bool KeySimulation::applyGrantCall(Node &Member, const GrantedKeys &Grant,
                                   TimePoint Until) {
  SimServer &Server = Member.Server;
  bool Outdated = std::any_of(
      Server.SeenTokens.begin(), Server.SeenTokens.end(),
      [&](const HeldKeys &Seen) {
        return Seen.Keys.overlaps(Grant.Keys) && Seen.Token > Grant.Token;
      });
  if (Outdated) {
    return false;
  }
  if (this->Now >= Until) {
    return true;
  }

  bool Known =
      std::any_of(Server.SeenTokens.begin(), Server.SeenTokens.end(),
                  [&](const HeldKeys &Seen) {
                    return Seen.Keys == Grant.Keys && Seen.Token == Grant.Token;
                  });
  if (!Known) {
    Server.SeenTokens.push_back({Grant.Keys, Grant.Token});
  }
  this->recordToken(Grant.Keys, Grant.Token);
  std::erase_if(Server.Holds, [&](const SimServer::Hold &Held) {
    return Held.Keys == Grant.Keys && !Held.ReleaseAt && Held.Until <= Until;
  });
  Server.Holds.push_back({Grant.Keys, Grant.Token, Until, std::nullopt});
  return true;
}

bool KeySimulation::applyReleaseCall(Node &Member, const GrantedKeys &Grant) {
  std::vector<SimServer::Hold> Next;
  TimePoint ReleaseAt = this->Now + this->randomDuration(0, 600);

  for (const SimServer::Hold &Held : Member.Server.Holds) {
    bool Affected = Held.Keys.overlaps(Grant.Keys) &&
                    Held.Token <= Grant.Token && !Held.ReleaseAt;
    if (!Affected) {
      Next.push_back(Held);
      continue;
    }
    if (Held.Keys.First < Grant.Keys.First) {
      Next.push_back(Held);
      Next.back().Keys.Last = Grant.Keys.First - 1;
    }
    if (Held.Keys.Last > Grant.Keys.Last) {
      Next.push_back(Held);
      Next.back().Keys.First = Grant.Keys.Last + 1;
    }
    Next.push_back(Held);
    Next.back().Keys = {std::max(Held.Keys.First, Grant.Keys.First),
                        std::min(Held.Keys.Last, Grant.Keys.Last)};
    Next.back().ReleaseAt = ReleaseAt;
  }
  Member.Server.Holds = std::move(Next);
  return true;
}

void KeySimulation::awaitRelease(Node &Member, const ServerIncarnation &Run,
                                 const KeyRange &Keys,
                                 const std::function<void()> &OnDone) {
  bool Replaced = !Member.Server.Up || Member.Server.Run != Run;
  if (Replaced) {
    return;
  }
  bool Working =
      std::any_of(Member.Server.Holds.begin(), Member.Server.Holds.end(),
                  [&](const SimServer::Hold &Held) {
                    return Held.ReleaseAt && Held.Keys.overlaps(Keys);
                  });
  if (!Working) {
    OnDone();
    return;
  }
  this->schedule(ReleasePollInterval, [this, &Member, Run, Keys, OnDone] {
    this->awaitRelease(Member, Run, Keys, OnDone);
  });
}

void KeySimulation::sendCall(Node &Member, const std::function<void()> &Apply,
                             const std::function<void()> &OnLost) {
  ServerIncarnation Run = Member.Server.Run;
  bool Late = this->isFaultActive(KeyFaultKind::CallsLate, Member.Index) &&
              static_cast<int>(this->Random() % 10) < LateCallsOfTen;
  Duration Delay =
      Late ? this->randomDuration(2000, 12000) : this->randomDuration(0, 5);
  this->schedule(Delay, [&Member, Run, Apply] {
    if (Member.Server.Up && Member.Server.Run == Run) {
      Apply();
    }
  });
  this->schedule(CallGrants::CallTimeout, OnLost);
}

void KeySimulation::Node::grant(GrantCallNumber Number,
                                const GrantedKeys &Grant, Duration HoldTime) {
  KeySimulation &World = this->Simulation;
  std::uint64_t Caller = this->Process;
  TimePoint SentAt = World.Now;
  auto Finish = [this, &World, Caller, Number](GrantOutcome Outcome) {
    if (this->Process != Caller) {
      return;
    }
    World.deliverToDaemon(*this, [this, &World, Number, Outcome] {
      this->GrantsByCall->onGrantResult(Number, Outcome, World.Now);
      this->Manager->tick(World.Now);
    });
  };

  TimePoint Until =
      SentAt + std::chrono::duration_cast<Duration>(HoldTime * ClockSlowdown);
  World.sendCall(
      *this,
      [this, &World, Grant, Until, SentAt, Finish] {
        bool Accepted = World.applyGrantCall(*this, Grant, Until);
        if (World.Now < SentAt + CallGrants::CallTimeout) {
          Finish(Accepted ? GrantOutcome::Accepted
                          : GrantOutcome::TokenOutdated);
        }
      },
      [Finish] { Finish(GrantOutcome::Unknown); });
}

void KeySimulation::Node::release(GrantCallNumber Number,
                                  const GrantedKeys &Grant) {
  KeySimulation &World = this->Simulation;
  std::uint64_t Caller = this->Process;
  TimePoint SentAt = World.Now;
  auto Finish = [this, &World, Caller,
                 Number](const std::optional<std::string> &State) {
    if (this->Process != Caller) {
      return;
    }
    World.deliverToDaemon(*this, [this, &World, Number, State] {
      this->GrantsByCall->onReleaseResult(Number, State, World.Now);
      this->Manager->tick(World.Now);
    });
  };

  World.sendCall(
      *this,
      [this, &World, Grant, SentAt, Finish] {
        World.applyReleaseCall(*this, Grant);
        bool Answered = World.Now < SentAt + CallGrants::CallTimeout;
        if (Answered) {
          World.awaitRelease(*this, this->Server.Run, Grant.Keys,
                             [Finish] { Finish("state"); });
        }
      },
      [] {});
}

} // namespace hemlockspar
