#include "mesh/MeshSettings.h"

#include "daemon/SectionReader.h"

namespace hemlockspar {

namespace {

constexpr auto MinDuration = std::chrono::milliseconds(1);
constexpr auto MaxDuration = std::chrono::minutes(10);

/// Below this, the process itself leaves nothing for messages.
constexpr std::uint64_t MinMemoryMb = 32;
constexpr std::uint64_t MaxMemoryMb = 1 << 20;

/// 200 of them are for files, the others are divided into shares.
constexpr std::size_t MinDescriptors = 300;
constexpr std::size_t MaxDescriptors = 1 << 20;

void readListen(SectionReader Section, MeshSettings &Result) {
  Section.readAddress("callers", Result.CallerAddress);
  Section.readAddress("readiness", Result.ReadinessAddress);
  Section.readAddress("reports", Result.ReportAddress);
  Section.readAddress("inner", Result.PeerAddress);
  Result.AdvertisedAddress = Result.PeerAddress;
  Section.readAddress("advertised", Result.AdvertisedAddress, false);
  Result.MetricsAddress.Host = Result.PeerAddress.Host;
  Section.readNumber("metrics_port", 1, 65535, false,
                     Result.MetricsAddress.Port);
  Section.rejectUnknownFields();
}

void readServer(SectionReader Section, MeshSettings &Result) {
  Section.readAddress("address", Result.ServerAddress);
  Section.readName("service", Result.Service);
  Section.readDuration("heartbeat", MinDuration, MaxDuration, false,
                       Result.HeartbeatInterval);
  Section.readChoice("grants", {"heartbeat", "rpc"}, Result.GrantMethod);
  Section.readDuration("leave_time", MinDuration, MaxDuration, false,
                       Result.LeaveTime);
  Section.readDuration("longest_hold", MinDuration, MaxDuration, false,
                       Result.MaxHoldTime);
  Section.rejectUnknownFields();
}

void readRetries(SectionReader Section, MeshSettings &Result) {
  Section.readDouble("share", 0, 10, false, Result.RetryShare);
  Section.readDuration("window", MinDuration, MaxDuration, false,
                       Result.RetryWindow);
  Section.readNumber("allowance", 0, 1000000, false, Result.RetryAllowance);
  Section.rejectUnknownFields();
}

} // namespace

bool isMeshSettings(const std::string &Text) {
  try {
    YAML::Node Root = YAML::Load(Text);
    return Root.IsMap() && Root["store"];
  } catch (const YAML::Exception &) {
    // The parser that reads the settings next reports the error.
    return false;
  }
}

absl::StatusOr<MeshSettings> parseMeshSettings(const std::string &Text,
                                               const std::string &Path) {
  YAML::Node Root;

  try {
    Root = YAML::Load(Text);
  } catch (const YAML::Exception &Exception) {
    return absl::InvalidArgumentError(
        absl::StrCat(Path, ":", Exception.mark.line + 1, ": ", Exception.msg));
  }
  if (!Root.IsMap()) {
    return absl::InvalidArgumentError(Path + ":1: must hold fields");
  }

  MeshSettings Result;
  std::vector<std::string> Faults;
  SectionReader Section(Root, Path, "", Faults);

  Section.readName("instance", Result.Instance);
  Section.readName("region", Result.Region);
  Section.readName("data_center", Result.DataCenter);
  Section.readChoice("log_level", {"debug", "info", "warn", "error"},
                     Result.LogLevel);
  Section.readDuration("stop_time", MinDuration, MaxDuration, false,
                       Result.StopTime);
  Section.readNumber("connections", 16, 100000, false, Result.MaxConnections);
  Section.readNumber("memory_mb", MinMemoryMb, MaxMemoryMb, false,
                     Result.MemoryMb);
  Section.readNumber("descriptors", MinDescriptors, MaxDescriptors, false,
                     Result.Descriptors);
  Section.readDouble("link_mbps", 0, 1000000, false, Result.LinkMbps);
  readListen(Section.section("listen"), Result);
  readServer(Section.section("server"), Result);
  readRetries(Section.section("repeats"), Result);

  SectionReader Store = Section.section("store");
  Store.readAddress("address", Result.StoreAddress);
  Store.rejectUnknownFields();
  Section.rejectUnknownFields();

  if (!Faults.empty()) {
    return absl::InvalidArgumentError(absl::StrJoin(Faults, "\n"));
  }
  return Result;
}

} // namespace hemlockspar
