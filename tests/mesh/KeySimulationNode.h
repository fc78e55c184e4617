#pragma once

#include "mesh/CallGrants.h"
#include "mesh/ReportGrants.h"
#include "tests/mesh/KeySimulation.h"

namespace hemlockspar {

/// The backend server's clock is slower than the simulated time by this factor.
inline constexpr double ClockSlowdown = 1.02;

inline constexpr int SlotsPerServer = 6;

/// A backend server that is granted keys in the responses to its reports or by
/// calls.
struct KeySimulation::SimServer {
  struct Hold {
    KeyRange Keys;
    FencingToken Token = 0;
    TimePoint Until;

    /// Set once a response leaves the keys out: they are released at this time,
    /// when the work on them is done.
    std::optional<TimePoint> ReleaseAt;
  };

  bool Up = false;
  bool Leaving = false;
  ServerIncarnation Run;
  std::uint64_t Sequence = 0;
  TimePoint NextReportAt;
  std::vector<Hold> Holds;
  std::vector<ReleasedKeys> Released;

  /// Tokens that were seen in calls, with their keys.
  std::vector<HeldKeys> SeenTokens;
};

/// One instance: the daemon process and its backend server.
struct KeySimulation::Node : KeyOwnershipActions, GrantCalls {
  Node(KeySimulation &Simulation, int Index)
      : Simulation(Simulation), Index(Index),
        Name("i" + std::to_string(Index)) {}

  void commitLease(const TableTransaction &Write) override {
    TimePoint SentAt = this->Simulation.Now;
    this->Simulation.commit(
        *this, Write, [this, SentAt](const StoreCommit &Commit) {
          this->Manager->onLeaseCommit(Commit, SentAt, this->Simulation.Now);
        });
  }

  void commitMap(const TableTransaction &Write) override {
    this->Simulation.commit(
        *this, Write, [this, Write](const StoreCommit &Commit) {
          if (Commit.Result.Outcome == CommitOutcome::Committed) {
            StoreRows Written;
            Written.Rows = writtenRows(Write, Commit.Result.Version).Rows;
            this->View->apply(Written);
          } else if (!Commit.Current.empty()) {
            StoreRows Current;
            Current.Rows = Commit.Current;
            this->View->apply(Current);
          }
          this->Manager->onMapCommit(Commit, this->Simulation.Now);
        });
  }

  void readLeases() override {
    TimePoint SentAt = this->Simulation.Now;
    this->Simulation.read(*this, tables::Leases,
                          [this, SentAt](const std::optional<StoreRows> &Read) {
                            this->Manager->onLeasesRead(Read, SentAt,
                                                        this->Simulation.Now);
                          });
  }

  void readKeys() override {
    this->Simulation.read(*this, tables::Keys,
                          [this](const std::optional<StoreRows> &Read) {
                            if (Read) {
                              this->View->apply(*Read);
                            }
                          });
  }

  void readInstances() override {
    this->Simulation.read(*this, tables::Instances,
                          [this](const std::optional<StoreRows> &Read) {
                            if (Read) {
                              this->View->apply(*Read);
                            }
                            this->Manager->onInstancesRead(
                                Read.has_value(), this->Simulation.Now);
                          });
  }

  void sendOffer(const InstanceId &Receiver, double Load) override {
    for (auto &Other : this->Simulation.Nodes) {
      if (Other->Name != Receiver) {
        continue;
      }
      Node *Target = Other.get();
      std::uint64_t Process = this->Process;
      this->Simulation.schedule(
          std::chrono::milliseconds(30), [this, Target, Load, Process] {
            std::optional<OfferResponse> Response;
            if (Target->Manager) {
              Response = Target->Manager->onOffer(Load, this->Simulation.Now);
            }
            if (this->Manager && this->Process == Process) {
              this->Manager->onOfferResponse(Target->Name, Response,
                                             this->Simulation.Now);
            }
          });
    }
  }

  void notifyOwners(const std::set<InstanceId> &Owners) override {
    auto Row = this->View->keyMapRow("menus");
    for (auto &Other : this->Simulation.Nodes) {
      if (!Row || !Owners.contains(Other->Name)) {
        continue;
      }
      Node *Target = Other.get();
      this->Simulation.schedule(
          this->Simulation.randomDuration(1, 200), [this, Target, Row] {
            this->Simulation.deliverToDaemon(*Target, [Target, Row] {
              StoreRows Pushed;
              Pushed.Rows = {*Row};
              Target->View->apply(Pushed);
            });
          });
    }
  }

  void onKeyEvent(KeyEvent Event, const std::string &) override {
    this->Simulation.HandoverCount += Event == KeyEvent::HandoverDone ? 1 : 0;
  }

  void grant(GrantCallNumber Number, const GrantedKeys &Grant,
             Duration HoldTime) override;
  void release(GrantCallNumber Number, const GrantedKeys &Grant) override;

  InstanceRow row() const {
    InstanceRow Row;
    Row.Instance = this->Name;
    Row.PeerAddress = {"10.0.0.1", 7000};
    Row.Service = "menus";
    Row.Incarnation = this->Server.Run;
    Row.Slots = SlotsPerServer;
    Row.State = !this->Server.Up       ? ServerState::Gone
                : this->Server.Leaving ? ServerState::Leaving
                                       : ServerState::Ready;
    return Row;
  }

  KeySimulation &Simulation;
  int Index;
  std::string Name;
  std::uint64_t Process = 0;
  std::unique_ptr<MeshView> View;
  std::unique_ptr<ServerGrants> Grants;

  /// Set where keys are granted by calls.
  CallGrants *GrantsByCall = nullptr;
  std::unique_ptr<KeyOwnershipManager> Manager;
  SimServer Server;
  double Load = 0;
  double RecentLoad = 0;
  TimePoint NextTickAt;
  TimePoint NextPollAt;
  InstanceRow LastWrittenRow;

  /// The newest era of the store that the daemon has heard of, and those in
  /// which it has read whole tables.
  std::uint64_t Era = 0;
  std::map<std::string, std::uint64_t> ReadEras;

  /// Sequence number of the newest report of this incarnation that was
  /// accepted.
  std::uint64_t LastSequence = 0;

  /// Calls that arrived while the daemon was suspended.
  std::vector<std::function<void()>> QueuedCalls;
};

} // namespace hemlockspar
