#include "bench/BenchSupport.h"

#include "coordination/Member.h"
#include "coordination/RoutingTable.h"
#include "coordination/TransferBuilder.h"
#include "core/Json.h"
#include "daemon/PeerCodec.h"
#include "net/RpcCodec.h"
#include "platform/InMemoryTable.h"

#include <absl/strings/str_cat.h>
#include <chrono>
#include <gflags/gflags.h>
#include <unistd.h>

DEFINE_uint32(slots_per_daemon, 91, "slots for each daemon");
DEFINE_uint32(ticks, 5000, "ticks to measure");

using namespace hemlockspar;

namespace {

using WallClock = std::chrono::steady_clock;

double microsecondsSince(WallClock::time_point StartedAt) {
  return std::chrono::duration<double, std::micro>(WallClock::now() - StartedAt)
      .count();
}

/// Queues commits, renewals and table reads for the driver, and ignores all
/// other actions.
class QueueingActions : public MemberActions {
public:
  void commit(std::uint64_t Call, const TableTransaction &Work) override {
    this->Commits.emplace_back(Call, Work);
  }
  void readTable(RowVersion) override { this->ReadWanted = true; }
  void sendRenewal(const InstanceId &Witness,
                   const RenewalRequest &Request) override {
    this->Renewals.emplace_back(Witness, Request);
  }
  void sendVoteRequest(const InstanceId &, const VoteRequest &) override {}
  void fetchPeerRows(const InstanceId &, RowVersion) override {}
  void pushRows(const RowBatch &) override {}
  void requestLoad(const InstanceId &) override {}
  void freezeSlots(std::uint64_t, const SlotsByKeyspace &, bool) override {}
  void unfreezeSlots(std::uint64_t) override {}
  void reportDecision(const PlacementDecision &) override {}

  std::vector<std::pair<std::uint64_t, TableTransaction>> Commits;
  std::vector<std::pair<InstanceId, RenewalRequest>> Renewals;
  bool ReadWanted = false;
};

std::string nameOfDaemon(int Index) { return absl::StrCat("daemon-", Index); }

/// Fills \p Table with the rows of \p Size daemons, except for daemon 0, and
/// their slots.
void fillTable(InMemoryTable &Table, int Size) {
  TableTransaction Declared;
  Json::Value Spec;
  Spec["spec"]["service"] = "menus";
  Spec["spec"]["slots"] = Size * FLAGS_slots_per_daemon;
  addConditionalWrite(Declared, "config/keyspaces/menus", 0, writeJson(Spec));
  Table.commit(Declared);

  for (int Index = 1; Index < Size; ++Index) {
    LeaseRow Lease;
    Lease.Incarnation = 1;
    Lease.Epoch = 1;
    Lease.Region = Index % 5 < 2 ? "east" : "west";
    Lease.DataCenter = absl::StrCat("dc", Index % 5);
    Lease.Addresses = {"10.0.0.1", 8080, 8081, 8082, 8083};
    for (int Step = 1; Step <= 5; ++Step) {
      Lease.Witnesses.push_back({nameOfDaemon(1 + (Index + Step) % Size), 1});
    }

    HoldingRow Holding;
    Holding.Epoch = 1;
    Holding.Service = "menus";
    Holding.Capacity = 6;
    Holding.Accepting = true;
    Holding.Slots["menus"].addRange(Index * FLAGS_slots_per_daemon,
                                    FLAGS_slots_per_daemon, 1);

    TableTransaction Row;
    addConditionalWrite(Row, leaseKey(nameOfDaemon(Index)), 0, Lease.toText());
    addConditionalWrite(Row, holdingKey(nameOfDaemon(Index)), 0,
                        Holding.toText());
    Table.commit(Row);
  }
}

/// Drives one member as its daemon would and measures the time of its ticks.
class Driver {
public:
  explicit Driver(int Size)
      : Self({nameOfDaemon(0),
              1,
              "east",
              "dc0",
              {"10.0.0.1", 8080, 8081, 8082, 8083}},
             Timing(), Actions, 1, Now) {
    fillTable(this->Table, Size);
  }

  double tickMicroseconds(std::uint32_t Ticks) {
    this->run(500);
    double SpentUs = 0;
    for (std::uint32_t Tick = 0; Tick < Ticks; ++Tick) {
      SpentUs += this->step();
    }
    return SpentUs / Ticks;
  }

  void run(std::uint32_t Ticks) {
    for (std::uint32_t Tick = 0; Tick < Ticks; ++Tick) {
      this->step();
    }
  }

  const Member &member() const { return this->Self; }

private:
  double step() {
    this->Now += Member::TickInterval;
    auto StartedAt = WallClock::now();
    this->Self.tick(this->Now);
    double SpentUs = microsecondsSince(StartedAt);

    for (auto &[Call, Work] : std::exchange(this->Actions.Commits, {})) {
      this->Self.onCommitResult(Call, this->Table.commit(Work), this->Now);
    }
    if (std::exchange(this->Actions.ReadWanted, false)) {
      this->Self.onTableRead(
          this->Table.changesSince(this->Self.cache().completeVersion()),
          this->Now);
    }
    for (auto &[Witness, Request] : std::exchange(this->Actions.Renewals, {})) {
      this->Self.onRenewalReply(Witness, Request,
                                {1, true, Request.CompleteVersion}, this->Now);
    }
    this->renewOtherLeases();
    return SpentUs;
  }

  /// Renews the leases of the holders that name this member as a witness.
  void renewOtherLeases() {
    for (const auto &[Id, Known] : this->Self.directory().instances()) {
      RenewalRequest Request{Id, Known.LeaseVersion, Known.Lease.Epoch, 0};
      for (const WitnessRef &Witness : Known.Lease.Witnesses) {
        if (Witness.Instance == nameOfDaemon(0)) {
          this->Self.onRenewal(Id, Request, this->Now);
        }
      }
    }
  }

  InMemoryTable Table;
  QueueingActions Actions;
  TimePoint Now{std::chrono::hours(1)};
  Member Self;
};

double routingBuildMs(const Member &Self) {
  constexpr int Rounds = 20;
  auto StartedAt = WallClock::now();
  for (int Round = 0; Round < Rounds; ++Round) {
    RoutingTable::build(Self.directory(), Self.cache());
  }
  return microsecondsSince(StartedAt) / 1000 / Rounds;
}

/// Measures one renewal and its response: encoding time on both sides, and
/// bytes.
Json::Value measureRenewal() {
  constexpr int Rounds = 5000;
  RpcDispatcher Dispatcher;
  Dispatcher.registerMethod("renew", [](const Json::Value &Params,
                                        Json::Value &Result) {
    RenewalRequest Request = renewalRequestFromJson(Params);
    Result = toJson(RenewalReply{1796375643748, true, Request.CompleteVersion});
    return std::string();
  });

  RenewalRequest Request{"daemon-417", 123456, 3, 123456};
  std::size_t Bytes = 0;
  auto StartedAt = WallClock::now();
  for (int Round = 0; Round < Rounds; ++Round) {
    std::string Call = RpcClientCodec::encodeCall("renew", toJson(Request));
    std::string Answer = Dispatcher.dispatch(Call);
    RpcClientCodec::decodeResponse(Answer);
    Bytes = Call.size() + Answer.size();
  }

  Json::Value Row;
  Row["microseconds_both_sides"] = microsecondsSince(StartedAt) / Rounds;
  Row["bytes"] = Json::UInt64(Bytes);
  return Row;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(
      "measures the coordination code for several mesh sizes, without I/O");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);

  Json::Value Report;
  Report["renewal"] = measureRenewal();
  std::vector<std::pair<double, double>> Ticks;

  for (int Size : {60, 120, 240, 540}) {
    double Before = readProcessUsage(getpid()).ResidentMb;
    Driver BenchDriver(Size);
    double TickUs = BenchDriver.tickMicroseconds(FLAGS_ticks);
    Json::Value Row;
    Row["daemons"] = Size;
    Row["tick_us"] = TickUs;
    Row["tick_core_percent"] =
        TickUs / 1e6 /
        std::chrono::duration<double>(Member::TickInterval).count() * 100;
    Row["routing_build_ms"] = routingBuildMs(BenchDriver.member());
    Row["memory_mb"] = readProcessUsage(getpid()).ResidentMb - Before;
    Report["sizes"].append(Row);
    Ticks.emplace_back(Size, TickUs);
  }

  FittedLine Line = fitLine(Ticks);
  Report["tick_line"]["slope_us"] = Line.Slope;
  Report["tick_line"]["intercept_us"] = Line.Intercept;
  Report["tick_line"]["residual_us"] = Line.Residual;
  writeReport("member", Report);
  return 0;
}
