#include "tests/coordination/MemberSimulation.h"

#include "core/Log.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace hemlockspar {

void showValue(const Fault &Shown, std::ostream &Out) {
  Out << "{kind " << static_cast<int>(Shown.Kind) << " target " << Shown.Target
      << " peer " << Shown.Peer << " at " << toMilliseconds(Shown.At)
      << " ms length " << toMilliseconds(Shown.Length) << " ms}";
}

} // namespace hemlockspar

namespace rc {

template <> struct Arbitrary<Fault> {
  static Gen<Fault> arbitrary() {
    return gen::build<Fault>(
        gen::set(&Fault::Kind, gen::map(gen::inRange(0, FaultKindCount),
                                        [](int Kind) {
                                          return static_cast<FaultKind>(Kind);
                                        })),
        gen::set(&Fault::Target, gen::inRange(0, MemberSimulation::MaxMembers)),
        gen::set(&Fault::Peer, gen::inRange(0, MemberSimulation::MaxMembers)),
        gen::set(&Fault::At, gen::map(gen::inRange(0, 30000),
                                      [](int Span) -> Duration {
                                        return milliseconds(Span);
                                      })),
        gen::set(&Fault::Length,
                 gen::map(gen::inRange(100, 8000), [](int Span) -> Duration {
                   return milliseconds(Span);
                 })));
  }
};

} // namespace rc

/// Random, possibly overlapping pauses, kills, network cuts, table outages,
/// lost and late answers and handovers. A slot never has two serving owners,
/// its token never decreases, and every slot is served again after the faults
/// end.
Test(Member, OneOwnerUnderFaults) {
  startLogging("warn");
  bool Holds = rc::check("one owner per slot under faults", [] {
    auto Seed = *rc::gen::arbitrary<std::uint32_t>();
    auto Members = *rc::gen::inRange(2, MemberSimulation::MaxMembers + 1);
    auto Count = *rc::gen::inRange(1, 24);
    auto Faults = *rc::gen::container<std::vector<Fault>>(
        static_cast<std::size_t>(Count), rc::gen::arbitrary<Fault>());

    MemberSimulation Simulation(Seed, Members);
    Simulation.inject(Faults);
    Simulation.run(seconds(40));
    RC_ASSERT(Simulation.violation() == "");

    Simulation.endFaults();
    Simulation.run(seconds(75));
    RC_ASSERT(Simulation.violation() == "");
    if (Simulation.countUnservedSlots() != 0U) {
      RC_FAIL(Simulation.describe());
    }
  });
  cr_assert(Holds);
}

/// After a kill without other faults, every slot is served again within 3 s, as
/// promised to users.
Test(Member, ServedAgainWithinThreeSeconds) {
  bool Holds = rc::check("served again within 3 s of a kill", [] {
    auto Seed = *rc::gen::arbitrary<std::uint32_t>();
    auto Target = *rc::gen::inRange(0, MemberSimulation::MaxMembers);

    MemberSimulation Simulation(Seed, MemberSimulation::MaxMembers);
    Simulation.run(seconds(10));
    RC_ASSERT(Simulation.countUnservedSlots() == 0U);

    Fault Kill;
    Kill.Kind = FaultKind::Kill;
    Kill.Target = Target;
    Kill.Length = seconds(60);
    Simulation.inject({Kill});
    Simulation.run(seconds(13));
    RC_ASSERT(Simulation.violation() == "");
    RC_ASSERT(Simulation.countUnservedSlots() == 0U);
  });
  cr_assert(Holds);
}

/// While the table is down, every owner keeps serving its slots.
Test(Member, ServesThroughTableOutage) {
  bool Holds = rc::check("owners serve while the table is down", [] {
    auto Seed = *rc::gen::arbitrary<std::uint32_t>();

    MemberSimulation Simulation(Seed, MemberSimulation::MaxMembers);
    Simulation.run(seconds(10));

    Fault Outage;
    Outage.Kind = FaultKind::TableDown;
    Outage.Length = seconds(180);
    Simulation.inject({Outage});

    for (int Second = 11; Second < 190; Second += 10) {
      Simulation.run(seconds(Second));
      RC_ASSERT(Simulation.countUnservedSlots() == 0U);
    }
    RC_ASSERT(Simulation.violation() == "");
  });
  cr_assert(Holds);
}

/// A move requested after the table has gone down, but before any member has
/// noticed, freezes no slot; a frozen slot would stay unserved for the whole
/// outage.
Test(Member, NoSlotFrozenInTableOutage) {
  bool Holds = rc::check("moves do not begin in a table outage", [] {
    auto Seed = *rc::gen::arbitrary<std::uint32_t>();
    auto Owner = *rc::gen::inRange(0, MemberSimulation::MaxMembers);
    auto Receiver = *rc::gen::inRange(1, MemberSimulation::MaxMembers);
    auto Delay = *rc::gen::inRange(1, 8000);

    Fault Outage;
    Outage.Kind = FaultKind::TableDown;
    Outage.At = seconds(10);
    Outage.Length = seconds(60);

    Fault Move;
    Move.Kind = FaultKind::MoveSlots;
    Move.Target = Owner;
    Move.Peer = Owner + Receiver;
    Move.At = seconds(10) + milliseconds(Delay);

    MemberSimulation Simulation(Seed, MemberSimulation::MaxMembers);
    Simulation.inject({Outage, Move});
    Simulation.run(Move.At);

    for (int Second = 19; Second < 70; Second += 10) {
      Simulation.run(seconds(Second));
      RC_ASSERT(Simulation.countUnservedSlots() == 0U);
    }
    RC_ASSERT(Simulation.violation() == "");
  });
  cr_assert(Holds);
}

/// A holder replaces a dead witness but receives neither its own new lease row
/// nor any other: it keeps renewing with the old witnesses while other members
/// already see the new row. It must not be taken over while the old witnesses
/// acknowledge its renewals.
Test(Member, HolderMissesItsOwnLeaseRow) {
  bool Holds = rc::check("a holder that receives no rows keeps its lease", [] {
    auto Seed = *rc::gen::arbitrary<std::uint32_t>();
    auto Holder = *rc::gen::inRange(0, MemberSimulation::MaxMembers);
    auto Lost = *rc::gen::inRange(1, MemberSimulation::MaxMembers);
    auto BlockedAt = *rc::gen::inRange(11000, 12500);

    Fault Kill;
    Kill.Kind = FaultKind::Kill;
    Kill.Target = Holder + Lost;
    Kill.At = seconds(10);
    Kill.Length = seconds(60);

    Fault Blocked;
    Blocked.Kind = FaultKind::BlockIncomingRows;
    Blocked.Target = Holder;
    Blocked.At = milliseconds(BlockedAt);
    Blocked.Length = seconds(20);

    MemberSimulation Simulation(Seed, MemberSimulation::MaxMembers);
    Simulation.inject({Kill, Blocked});
    Simulation.run(seconds(40));
    RC_ASSERT(Simulation.violation() == "");
  });
  cr_assert(Holds);
}

/// The first instances to join must not stay witnesses of nearly all later
/// ones: some time after the last has joined, none is a witness for more
/// than 2.5 times the mean.
Test(Member, WitnessingIsSpread) {
  constexpr int Members = 16;
  constexpr std::size_t MostWitnessed = WitnessSelector::MaxWitnesses * 5 / 2;

  std::vector<Fault> JoinLater;
  for (int Target = 4; Target < Members; ++Target) {
    Fault Absent;
    Absent.Kind = FaultKind::Kill;
    Absent.Target = Target;
    Absent.Length = milliseconds(1000 + 300 * Target);
    JoinLater.push_back(Absent);
  }

  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    MemberSimulation Simulation(Seed, Members);
    Simulation.inject(JoinLater);
    Simulation.run(seconds(45));
    cr_assert_eq(Simulation.violation(), "");
    cr_assert_eq(Simulation.countOverloadedWitnesses(MostWitnessed), 0);
  }
}

/// Without faults no takeover campaign starts.
Test(Member, NoCampaignsWithoutFaults) {
  bool Holds = rc::check("no campaigns without faults", [] {
    auto Seed = *rc::gen::arbitrary<std::uint32_t>();
    auto Members = *rc::gen::inRange(4, MemberSimulation::MaxMembers + 1);

    MemberSimulation Simulation(Seed, Members);
    Simulation.run(seconds(20));
    if (Simulation.countCampaigns() != 0U) {
      RC_FAIL(Simulation.describe());
    }
  });
  cr_assert(Holds);
}

/// The commit of a handover times out and may still take effect later; the
/// owner then receives no more rows, before or after it has read the table. It
/// must not dispatch for the slots again until the write can no longer take
/// effect.
Test(Member, HandoverOfUnknownOutcome) {
  bool Holds = rc::check("a handover of unknown outcome is resolved", [] {
    auto Seed = *rc::gen::arbitrary<std::uint32_t>();
    auto Owner = *rc::gen::inRange(0, MemberSimulation::MaxMembers);
    auto Receiver = *rc::gen::inRange(1, MemberSimulation::MaxMembers);
    auto BlockedAt = *rc::gen::element(10600, 12500);

    Fault Late;
    Late.Kind = FaultKind::LateTableWrites;
    Late.At = seconds(10);
    Late.Length = seconds(1);

    Fault Move;
    Move.Kind = FaultKind::MoveSlots;
    Move.Target = Owner;
    Move.Peer = Owner + Receiver;
    Move.At = milliseconds(10100);

    Fault Blocked;
    Blocked.Kind = FaultKind::BlockIncomingRows;
    Blocked.Target = Owner;
    Blocked.At = milliseconds(BlockedAt);
    Blocked.Length = seconds(20);

    MemberSimulation Simulation(Seed, MemberSimulation::MaxMembers);
    Simulation.inject({Late, Move, Blocked});
    Simulation.run(seconds(35));
    RC_ASSERT(Simulation.violation() == "");
  });
  cr_assert(Holds);
}
