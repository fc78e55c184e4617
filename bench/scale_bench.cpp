#include "bench/BenchSupport.h"

#include "core/Json.h"

#include <absl/strings/str_split.h>
#include <algorithm>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(sizes, "10,20,40,80", "numbers of daemons, by commas");
DEFINE_uint32(slots_per_daemon, 91, "slots for each daemon");
DEFINE_uint32(seconds, 10, "length of a measurement");
DEFINE_uint32(settle_seconds, 15, "time between rest and measurement");
DEFINE_uint32(target, 540, "size for which the lines are drawn out");
DEFINE_string(report, "scale", "name of the report");
DEFINE_uint32(table_writes, 400, "transactions that the table runs a second");
DEFINE_bool(lose_data_center, true, "kill a data centre at the largest size");

using namespace hemlockspar;

namespace {

/// Averages over the daemons of one mesh.
struct Measured {
  double CpuPercent = 0;
  double ResidentMb = 0;
  double ControlKbPerSecond = 0;

  /// The daemon with the most; the others are averages.
  double MostControlKbPerSecond = 0;
  double TableReadsPerSecond = 0;
  double TableWritesPerSecond = 0;
};

/// For how many others the busiest witness does so.
std::uint64_t mostWitnessed(Mesh &Cluster) {
  std::map<std::string, std::uint64_t> Counts;
  Json::Value Items = Cluster.getJson(Cluster.api(0), "/v1/instances")["items"];
  for (const Json::Value &Item : Items) {
    for (const Json::Value &Witness : Item["witnesses"]) {
      ++Counts[Witness.asString()];
    }
  }

  std::uint64_t Most = 0;
  for (const auto &[Name, Count] : Counts) {
    Most = std::max(Most, Count);
  }
  return Most;
}

double controlBytes(Mesh &Cluster, int Index) {
  return readMetricSum(Cluster, Index, "hemlockspar_control_bytes_sent") +
         readMetricSum(Cluster, Index, "hemlockspar_control_bytes_received");
}

Measured measure(Mesh &Cluster, int Size) {
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

  Measured Result;
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
  double MostBytes = *std::max_element(Bytes.begin(), Bytes.end());
  Result.ControlKbPerSecond = AllBytes / Size / 1024 / Seconds;
  Result.MostControlKbPerSecond = MostBytes / 1024 / Seconds;
  Result.TableReadsPerSecond = Reads / Seconds;
  Result.TableWritesPerSecond = Writes / Seconds;
  return Result;
}

/// Kills every instance of data centre dc0 and waits until the survivors own
/// every slot. Returns milliseconds, or -1.
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

  TimePoint Began = BootClock::now();
  for (const std::string &Name : Lost) {
    Cluster.kill(Name, SIGKILL);
    Cluster.kill(Name + ".backend", SIGKILL);
  }

  bool Recovered = Cluster.waitUntil([&] {
    Json::Value Items =
        Cluster.getJson(Cluster.api(Survivor), "/v1/ownership")["items"];
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
  return Recovered ? double(toMilliseconds(BootClock::now() - Began)) : -1;
}

Json::Value lineToJson(const std::vector<std::pair<double, double>> &Points) {
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
  gflags::SetUsageMessage("measures what control costs by number of daemons");
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
      std::cerr << "a mesh of " << Size << " did not come up\n";
      return 1;
    }
    if (!Cluster.settle()) {
      std::cerr << "a mesh of " << Size << " did not come to rest\n";
      return 1;
    }
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_settle_seconds));

    Measured Seen = measure(Cluster, Size);
    Json::Value Row;
    Row["daemons"] = Size;
    Row["cpu_percent"] = Seen.CpuPercent;
    Row["resident_mb"] = Seen.ResidentMb;
    Row["control_kb_per_second"] = Seen.ControlKbPerSecond;
    Row["most_control_kb_per_second"] = Seen.MostControlKbPerSecond;
    Row["most_witnessed"] = Json::UInt64(mostWitnessed(Cluster));
    Row["table_reads_per_second"] = Seen.TableReadsPerSecond;
    Row["table_writes_per_second"] = Seen.TableWritesPerSecond;
    Points["cpu_percent"].emplace_back(Size, Seen.CpuPercent);
    Points["resident_mb"].emplace_back(Size, Seen.ResidentMb);
    Points["control_kb_per_second"].emplace_back(Size, Seen.ControlKbPerSecond);
    Points["most_control_kb_per_second"].emplace_back(
        Size, Seen.MostControlKbPerSecond);
    Points["table_reads_per_second"].emplace_back(Size,
                                                  Seen.TableReadsPerSecond);

    bool Largest = Run + 1 == Sizes.size();
    if (Largest && FLAGS_lose_data_center) {
      Row["data_center_lost_ms"] = loseDataCenter(Cluster);
    }
    Report["sizes"].append(Row);
  }

  for (const auto &[Name, Line] : Points) {
    Report["lines"][Name] = lineToJson(Line);
  }
  Report["table_writes_limit"] = FLAGS_table_writes;
  writeReport(FLAGS_report, Report);
  return 0;
}
