#include "bench/BenchSupport.h"

#include "core/Json.h"

#include <absl/strings/str_split.h>
#include <algorithm>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(sizes, "10,20,40,80", "comma-separated numbers of daemons");
DEFINE_uint32(slots_per_daemon, 91, "slots for each daemon");
DEFINE_uint32(seconds, 10, "length of a measurement in seconds");
DEFINE_uint32(settle_seconds, 15,
              "seconds between the settled state and the measurement");
DEFINE_uint32(target, 540,
              "number of daemons to which the lines are extrapolated");
DEFINE_string(report, "scale", "name of the report file, without .json");
DEFINE_uint32(table_writes, 400,
              "maximum number of table transactions per second");
DEFINE_bool(lose_data_center, true,
            "kill a data centre at the largest number of daemons");

using namespace hemlockspar;

namespace {

/// Averages over the daemons of one mesh.
struct Measurement {
  double CpuPercent = 0;
  double ResidentMb = 0;
  double ControlKbPerSecond = 0;

  /// Maximum over the daemons; the other fields are averages or totals.
  double MostControlKbPerSecond = 0;
  double TableReadsPerSecond = 0;
  double TableWritesPerSecond = 0;
};

/// Number of leases that the busiest witness observes.
std::uint64_t maxWitnessedLeases(Mesh &Cluster) {
  std::map<std::string, std::uint64_t> Counts;
  Json::Value Items =
      Cluster.getJson(Cluster.apiAddress(0), "/v1/instances")["items"];
  for (const Json::Value &Item : Items) {
    for (const Json::Value &Witness : Item["witnesses"]) {
      ++Counts[Witness.asString()];
    }
  }

  std::uint64_t MaxCount = 0;
  for (const auto &[Name, Count] : Counts) {
    MaxCount = std::max(MaxCount, Count);
  }
  return MaxCount;
}

double controlBytes(Mesh &Cluster, int Index) {
  return readMetricSum(Cluster, Index, "hemlockspar_control_bytes_sent") +
         readMetricSum(Cluster, Index, "hemlockspar_control_bytes_received");
}

Measurement measure(Mesh &Cluster, int Size) {
  auto Stats = [&](const char *Name) {
    return double(
        getUnsigned(Cluster.getJson(Cluster.tableAddress(), "/stats"), Name));
  };
  double Cpu = 0;
  for (const MeshInstance &Instance : Cluster.instances()) {
    Cpu -= readProcessUsage(Cluster.pidOf(Instance.Name)).CpuSeconds;
  }
  std::vector<double> Bytes;
  for (int Index = 0; Index < Size; ++Index) {
    Bytes.push_back(-controlBytes(Cluster, Index));
  }
  double Reads = -Stats("reads");
  double Writes = -Stats("commits");

  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));

  Measurement Result;
  for (const MeshInstance &Instance : Cluster.instances()) {
    ProcessUsage Use = readProcessUsage(Cluster.pidOf(Instance.Name));
    Cpu += Use.CpuSeconds;
    Result.ResidentMb += Use.ResidentMb / Size;
  }
  double AllBytes = 0;
  for (int Index = 0; Index < Size; ++Index) {
    Bytes[Index] += controlBytes(Cluster, Index);
    AllBytes += Bytes[Index];
  }
  Reads += Stats("reads");
  Writes += Stats("commits");

  double Seconds = FLAGS_seconds;
  Result.CpuPercent = 100 * Cpu / Seconds / Size;
  double MaxBytes = *std::max_element(Bytes.begin(), Bytes.end());
  Result.ControlKbPerSecond = AllBytes / Size / 1024 / Seconds;
  Result.MostControlKbPerSecond = MaxBytes / 1024 / Seconds;
  Result.TableReadsPerSecond = Reads / Seconds;
  Result.TableWritesPerSecond = Writes / Seconds;
  return Result;
}

/// Kills every instance of data centre dc0 and waits until the survivors own
/// every slot. Returns the time in milliseconds, or -1 if that does not happen
/// in time.
double loseDataCenter(Mesh &Cluster) {
  std::vector<std::string> Lost;
  int Survivor = -1;
  for (std::size_t Index = 0; Index < Cluster.instances().size(); ++Index) {
    if (Cluster.instances()[Index].DataCenter == "dc0") {
      Lost.push_back(Cluster.instances()[Index].Name);
    } else {
      Survivor = static_cast<int>(Index);
    }
  }

  TimePoint KilledAt = BootClock::now();
  for (const std::string &Name : Lost) {
    Cluster.kill(Name, SIGKILL);
    Cluster.kill(Name + ".backend", SIGKILL);
  }

  bool Recovered = Cluster.waitUntil([&] {
    Json::Value Items =
        Cluster.getJson(Cluster.apiAddress(Survivor), "/v1/ownership")["items"];
    if (!Items.isArray() || Items.empty() ||
        Items[0]["unowned"].asUInt() != 0) {
      return false;
    }
    for (const std::string &Name : Lost) {
      if (Items[0]["owners"].isMember(Name)) {
        return false;
      }
    }
    return true;
  });
  return Recovered ? double(toMilliseconds(BootClock::now() - KilledAt)) : -1;
}

Json::Value
fittedLineToJson(const std::vector<std::pair<double, double>> &Points) {
  FittedLine Line = fitLine(Points);
  Json::Value Value;
  Value["intercept"] = Line.Intercept;
  Value["slope"] = Line.Slope;
  Value["residual"] = Line.Residual;
  Value["at_target"] = Line.Intercept + Line.Slope * FLAGS_target;
  return Value;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(
      "measures the cost of the control plane by number of daemons");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);

  Json::Value Report;
  std::map<std::string, std::vector<std::pair<double, double>>> Points;
  std::vector<std::string> Sizes = absl::StrSplit(FLAGS_sizes, ',');

  for (std::size_t Run = 0; Run < Sizes.size(); ++Run) {
    int Size = std::stoi(Sizes[Run]);
    MeshOptions Options;
    Options.Instances = Size;
    Options.DataCenters = 5;
    Options.Slots = FLAGS_slots_per_daemon * Size;
    Options.TableWritesPerSecond = FLAGS_table_writes;

    Mesh Cluster(60 + static_cast<int>(Run), Options);
    if (!Cluster.start()) {
      std::cerr << "the mesh of " << Size << " daemons did not become ready\n";
      return 1;
    }
    if (!Cluster.waitUntilSettled()) {
      std::cerr << "the mesh of " << Size << " daemons did not settle\n";
      return 1;
    }
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_settle_seconds));

    Measurement Averages = measure(Cluster, Size);
    Json::Value Row;
    Row["daemons"] = Size;
    Row["cpu_percent"] = Averages.CpuPercent;
    Row["resident_mb"] = Averages.ResidentMb;
    Row["control_kb_per_second"] = Averages.ControlKbPerSecond;
    Row["most_control_kb_per_second"] = Averages.MostControlKbPerSecond;
    Row["most_witnessed"] = Json::UInt64(maxWitnessedLeases(Cluster));
    Row["table_reads_per_second"] = Averages.TableReadsPerSecond;
    Row["table_writes_per_second"] = Averages.TableWritesPerSecond;
    Points["cpu_percent"].emplace_back(Size, Averages.CpuPercent);
    Points["resident_mb"].emplace_back(Size, Averages.ResidentMb);
    Points["control_kb_per_second"].emplace_back(Size,
                                                 Averages.ControlKbPerSecond);
    Points["most_control_kb_per_second"].emplace_back(
        Size, Averages.MostControlKbPerSecond);
    Points["table_reads_per_second"].emplace_back(Size,
                                                  Averages.TableReadsPerSecond);

    bool Largest = Run + 1 == Sizes.size();
    if (Largest && FLAGS_lose_data_center) {
      Row["data_center_lost_ms"] = loseDataCenter(Cluster);
    }
    Report["sizes"].append(Row);
  }

  for (const auto &[Name, Line] : Points) {
    Report["lines"][Name] = fittedLineToJson(Line);
  }
  Report["table_writes_limit"] = FLAGS_table_writes;
  writeReport(FLAGS_report, Report);
  return 0;
}
