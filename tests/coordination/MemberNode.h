#pragma once

#include "tests/coordination/MemberSimulation.h"

namespace hemlockspar {

/// One process: a member and its connections to the simulated table and
/// network.
struct MemberSimulation::Node : MemberActions {
  static constexpr Duration TableTimeout = std::chrono::seconds(2);
  static constexpr Duration PeerTimeout = std::chrono::milliseconds(400);

  Node(MemberSimulation &Simulation, int Index)
      : Simulation(Simulation), Index(Index) {}

  void commit(std::uint64_t Call, const TableTransaction &Work) override {
    auto Answer = [this, Call, StartGeneration = this->Generation](
                      CommitResult Result, Duration Delay) {
      this->Simulation.schedule(Delay, [this, Call, StartGeneration, Result] {
        this->Simulation.deliver(this->Index, StartGeneration,
                                 [=](Member &Self, TimePoint At) {
                                   Self.onCommitResult(Call, Result, At);
                                 });
      });
    };

    Duration Way = this->Simulation.randomTableDelay();
    if (this->Simulation.Now < this->Simulation.TableDownUntil) {
      bool Refused = this->Simulation.randomChance(0.5);
      Answer({Refused ? CommitOutcome::NotRun : CommitOutcome::Unknown, 0},
             Refused ? Way : TableTimeout);
      return;
    }

    bool Late = this->Simulation.Now < this->Simulation.LateTableWritesUntil &&
                this->Simulation.randomChance(0.5);
    bool Lost = this->Simulation.Now < this->Simulation.LoseTableRepliesUntil &&
                this->Simulation.randomChance(0.6);
    if (Late) {
      Way = this->Simulation.randomDuration(std::chrono::seconds(2),
                                            std::chrono::seconds(12));
    }

    bool InTime =
        !Late && !Lost && !this->rowsBlocked() && Way * 2 <= TableTimeout;
    this->Simulation.schedule(Way, [this, Work, Answer, InTime, Way] {
      CommitResult Result = this->Simulation.Table.commit(Work);
      if (InTime) {
        Answer(Result, Way);
      }
    });
    if (!InTime) {
      Answer({CommitOutcome::Unknown, 0}, TableTimeout);
    }
  }

  void readTable(RowVersion Since) override {
    Duration Way = this->Simulation.randomTableDelay();
    bool Down = this->Simulation.Now < this->Simulation.TableDownUntil ||
                this->rowsBlocked();
    std::uint64_t StartGeneration = this->Generation;

    this->Simulation.schedule(
        Down ? TableTimeout : Way, [this, Since, StartGeneration, Down, Way] {
          std::optional<RowBatch> Batch;
          if (!Down) {
            Batch = this->Simulation.Table.changesSince(Since);
          }
          this->Simulation.schedule(Way, [this, StartGeneration, Batch] {
            this->Simulation.deliver(this->Index, StartGeneration,
                                     [=](Member &Self, TimePoint At) {
                                       Self.onTableRead(Batch, At);
                                     });
          });
        });
  }

  void sendRenewal(const InstanceId &Witness,
                   const RenewalRequest &Request) override {
    int To = this->Simulation.indexOf(Witness);
    TimePoint SentAt = this->Simulation.localTime(this->Index);
    std::uint64_t StartGeneration = this->Generation;

    this->Simulation.send(
        this->Index, To, [=, this](Member &Peer, TimePoint At) {
          RenewalReply Reply = Peer.onRenewal(Request.Holder, Request, At);
          this->Simulation.send(
              To, this->Index, [=, this](Member &Self, TimePoint) {
                if (this->Generation == StartGeneration) {
                  Self.onRenewalReply(Witness, Request, Reply, SentAt);
                }
              });
        });
  }

  void sendVoteRequest(const InstanceId &Witness,
                       const VoteRequest &Request) override {
    int To = this->Simulation.indexOf(Witness);
    std::uint64_t StartGeneration = this->Generation;

    this->Simulation.send(
        this->Index, To, [=, this](Member &Peer, TimePoint At) {
          VoteReply Reply = Peer.onVoteRequest(Request, At);
          this->Simulation.send(
              To, this->Index, [=, this](Member &Self, TimePoint Then) {
                if (this->Generation == StartGeneration) {
                  Self.onVoteReply(Witness, Request, Reply, Then);
                }
              });
        });
  }

  void fetchPeerRows(const InstanceId &Peer, RowVersion Since) override {
    int To = this->Simulation.indexOf(Peer);
    std::uint64_t StartGeneration = this->Generation;
    auto Answered = std::make_shared<bool>(false);

    this->Simulation.send(this->Index, To, [=, this](Member &Other, TimePoint) {
      RowBatch Batch = Other.cache().changesSince(Since);
      this->Simulation.send(To, this->Index,
                            [=, this](Member &Self, TimePoint At) {
                              if (this->Generation == StartGeneration &&
                                  !*Answered && !this->rowsBlocked()) {
                                *Answered = true;
                                Self.onPeerRows(Batch, At);
                              }
                            });
    });

    this->Simulation.schedule(PeerTimeout, [=, this] {
      this->Simulation.deliver(this->Index, StartGeneration,
                               [=](Member &Self, TimePoint) {
                                 if (!*Answered) {
                                   *Answered = true;
                                   Self.onPeerRowsFailed();
                                 }
                               });
    });
  }

  void pushRows(const RowBatch &Batch) override {
    for (int To = 0; To < this->Simulation.MemberCount; ++To) {
      if (To != this->Index && !this->Simulation.Nodes[To]->rowsBlocked()) {
        this->Simulation.send(this->Index, To, [=](Member &Peer, TimePoint At) {
          Peer.onPeerPush(Batch, At);
        });
      }
    }
  }

  void requestLoad(const InstanceId &) override {}

  void freezeSlots(std::uint64_t Handover, const SlotsByKeyspace &Slots,
                   bool) override {
    std::uint64_t StartGeneration = this->Generation;
    for (const SlotGrant &Grant : Slots.at(MemberSimulation::Keyspace)) {
      this->Frozen[Grant.Slot] = Handover;
    }

    this->Simulation.schedule(
        this->Simulation.randomDuration(std::chrono::milliseconds(0),
                                        std::chrono::milliseconds(50)),
        [=, this] {
          this->Simulation.deliver(this->Index, StartGeneration,
                                   [=](Member &Self, TimePoint At) {
                                     Self.onSlotsIdle(Handover, Slots, At);
                                   });
        });
  }

  void unfreezeSlots(std::uint64_t Handover) override {
    std::erase_if(this->Frozen,
                  [=](const auto &Entry) { return Entry.second == Handover; });
  }

  void reportDecision(const PlacementDecision &) override {}

  bool rowsBlocked() const {
    return this->Simulation.Now < this->RowsBlockedUntil;
  }

  bool dispatches(SlotIndex Slot) const {
    return this->Self && !this->Frozen.contains(Slot) &&
           this->Self->owns(MemberSimulation::Keyspace, Slot,
                            this->Simulation.localTime(this->Index));
  }

  /// The slots that this member owns under a valid lease, including frozen
  /// ones; null when there are none.
  const SlotGrants *servedSlots() const {
    if (!this->Self || this->Self->membership() != Membership::Joined ||
        this->Self->leaseExpiresAt() <=
            this->Simulation.localTime(this->Index)) {
      return nullptr;
    }
    const auto *Known =
        this->Self->directory().find(this->Self->identity().Instance);
    auto Held = Known->Holding.Slots.find(MemberSimulation::Keyspace);
    bool Owns = Known->live() && Held != Known->Holding.Slots.end();
    return Owns ? &Held->second : nullptr;
  }

  MemberSimulation &Simulation;
  int Index;
  std::uint64_t Generation = 0;
  double ClockRate = 1;
  Duration PausedUntil{};
  Duration RowsBlockedUntil{};
  std::unique_ptr<Member> Self;
  std::map<SlotIndex, std::uint64_t> Frozen;
};

} // namespace hemlockspar
