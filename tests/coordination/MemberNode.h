#pragma once

#include "tests/coordination/MemberWorld.h"

namespace hemlockspar {

/// One process: a member and its ways to the world.
struct MemberWorld::Node : MemberActions {
  static constexpr Duration TableTimeout = std::chrono::seconds(2);
  static constexpr Duration PeerTimeout = std::chrono::milliseconds(400);

  Node(MemberWorld &World, int Index) : World(World), Index(Index) {}

  void commit(std::uint64_t Call, const TableTransaction &Work) override {
    auto Answer = [this, Call, Life = this->Generation](CommitResult Result,
                                                        Duration Delay) {
      this->World.after(Delay, [this, Call, Life, Result] {
        this->World.deliver(this->Index, Life, [=](Member &Self, TimePoint At) {
          Self.onCommitResult(Call, Result, At);
        });
      });
    };

    Duration Way = this->World.tableDelay();
    if (this->World.Now < this->World.TableDownUntil) {
      bool Refused = this->World.chance(0.5);
      Answer({Refused ? CommitOutcome::NotRun : CommitOutcome::Unknown, 0},
             Refused ? Way : TableTimeout);
      return;
    }

    bool Late = this->World.Now < this->World.LateWritesUntil &&
                this->World.chance(0.5);
    bool Lost = this->World.Now < this->World.LoseRepliesUntil &&
                this->World.chance(0.6);
    if (Late) {
      Way = this->World.span(std::chrono::seconds(2), std::chrono::seconds(12));
    }

    bool InTime = !Late && !Lost && !this->deaf() && Way * 2 <= TableTimeout;
    this->World.after(Way, [this, Work, Answer, InTime, Way] {
      CommitResult Result = this->World.Table.commit(Work);
      if (InTime) {
        Answer(Result, Way);
      }
    });
    if (!InTime) {
      Answer({CommitOutcome::Unknown, 0}, TableTimeout);
    }
  }

  void readTable(RowVersion Since) override {
    Duration Way = this->World.tableDelay();
    bool Down = this->World.Now < this->World.TableDownUntil || this->deaf();
    std::uint64_t Life = this->Generation;

    this->World.after(Down ? TableTimeout : Way, [this, Since, Life, Down,
                                                  Way] {
      std::optional<RowBatch> Batch;
      if (!Down) {
        Batch = this->World.Table.changesSince(Since);
      }
      this->World.after(Way, [this, Life, Batch] {
        this->World.deliver(this->Index, Life, [=](Member &Self, TimePoint At) {
          Self.onTableRead(Batch, At);
        });
      });
    });
  }

  void sendRenewal(const InstanceId &Witness,
                   const RenewalRequest &Request) override {
    int To = this->World.indexOf(Witness);
    TimePoint SentAt = this->World.localTime(this->Index);
    std::uint64_t Life = this->Generation;

    this->World.send(this->Index, To, [=, this](Member &Peer, TimePoint At) {
      RenewalReply Reply = Peer.onRenewal(Request.Holder, Request, At);
      this->World.send(To, this->Index, [=, this](Member &Self, TimePoint) {
        if (this->Generation == Life) {
          Self.onRenewalReply(Witness, Request, Reply, SentAt);
        }
      });
    });
  }

  void sendVoteRequest(const InstanceId &Witness,
                       const VoteRequest &Request) override {
    int To = this->World.indexOf(Witness);
    std::uint64_t Life = this->Generation;

    this->World.send(this->Index, To, [=, this](Member &Peer, TimePoint At) {
      VoteReply Reply = Peer.onVoteRequest(Request, At);
      this->World.send(To, this->Index,
                       [=, this](Member &Self, TimePoint Then) {
                         if (this->Generation == Life) {
                           Self.onVoteReply(Witness, Request, Reply, Then);
                         }
                       });
    });
  }

  void readPeer(const InstanceId &Peer, RowVersion Since) override {
    int To = this->World.indexOf(Peer);
    std::uint64_t Life = this->Generation;
    auto Answered = std::make_shared<bool>(false);

    this->World.send(this->Index, To, [=, this](Member &Other, TimePoint) {
      RowBatch Batch = Other.cache().changesSince(Since);
      this->World.send(To, this->Index, [=, this](Member &Self, TimePoint At) {
        if (this->Generation == Life && !*Answered && !this->deaf()) {
          *Answered = true;
          Self.onPeerRows(Batch, At);
        }
      });
    });

    this->World.after(PeerTimeout, [=, this] {
      this->World.deliver(this->Index, Life, [=](Member &Self, TimePoint) {
        if (!*Answered) {
          *Answered = true;
          Self.onPeerRowsFailed();
        }
      });
    });
  }

  void pushRows(const RowBatch &Batch) override {
    for (int To = 0; To < this->World.MemberCount; ++To) {
      if (To != this->Index && !this->World.Nodes[To]->deaf()) {
        this->World.send(this->Index, To, [=](Member &Peer, TimePoint At) {
          Peer.onPeerPush(Batch, At);
        });
      }
    }
  }

  void askLoad(const InstanceId &) override {}

  void freezeSlots(std::uint64_t Handover, const SlotsByKeyspace &Slots,
                   bool) override {
    std::uint64_t Life = this->Generation;
    for (const SlotGrant &Grant : Slots.at(MemberWorld::Keyspace)) {
      this->Frozen[Grant.Slot] = Handover;
    }

    this->World.after(this->World.span(std::chrono::milliseconds(0),
                                       std::chrono::milliseconds(50)),
                      [=, this] {
                        this->World.deliver(
                            this->Index, Life, [=](Member &Self, TimePoint At) {
                              Self.onSlotsIdle(Handover, Slots, At);
                            });
                      });
  }

  void thawSlots(std::uint64_t Handover) override {
    std::erase_if(this->Frozen,
                  [=](const auto &Entry) { return Entry.second == Handover; });
  }

  void decided(const PlacementDecision &) override {}

  bool deaf() const { return this->World.Now < this->DeafUntil; }

  bool dispatches(SlotIndex Slot) const {
    return this->Self && !this->Frozen.contains(Slot) &&
           this->Self->owns(MemberWorld::Keyspace, Slot,
                            this->World.localTime(this->Index));
  }

  /// The slots whose requests this member would dispatch now, frozen ones
  /// included; null for none.
  const SlotGrants *heldNow() const {
    if (!this->Self || this->Self->membership() != Membership::Inside ||
        this->Self->leaseExpiresAt() <= this->World.localTime(this->Index)) {
      return nullptr;
    }
    const auto *Known =
        this->Self->directory().find(this->Self->identity().Instance);
    auto Held = Known->Holding.Slots.find(MemberWorld::Keyspace);
    bool Owns = Known->live() && Held != Known->Holding.Slots.end();
    return Owns ? &Held->second : nullptr;
  }

  MemberWorld &World;
  int Index;
  std::uint64_t Generation = 0;
  double Rate = 1;
  Duration PausedUntil{};
  Duration DeafUntil{};
  std::unique_ptr<Member> Self;
  std::map<SlotIndex, std::uint64_t> Frozen;
};

} // namespace hemlockspar
