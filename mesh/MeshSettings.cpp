#include "mesh/MeshSettings.h"

#include "daemon/SectionReader.h"

namespace hemlockspar {

namespace {

constexpr auto ShortestSpan = std::chrono::milliseconds(1);
constexpr auto LongestSpan = std::chrono::minutes(10);

void readListen(SectionReader Section, MeshSettings &Result) {
  Section.readAddress("callers", Result.Callers);
  Section.readAddress("readiness", Result.Readiness);
  Section.readAddress("reports", Result.Reports);
  Section.readAddress("inner", Result.Inner);
  Result.Advertised = Result.Inner;
  Section.readAddress("advertised", Result.Advertised, false);
  Result.Metrics.Host = Result.Inner.Host;
  Section.readNumber("metrics_port", 1, 65535, false, Result.Metrics.Port);
  Section.rejectUnknownFields();
}

void readServer(SectionReader Section, MeshSettings &Result) {
  Section.readAddress("address", Result.Server);
  Section.readName("service", Result.Service);
  Section.readDuration("heartbeat", ShortestSpan, LongestSpan, false,
                       Result.Heartbeat);
  Section.readDuration("leave_time", ShortestSpan, LongestSpan, false,
                       Result.LeaveTime);
  Section.readDuration("longest_hold", ShortestSpan, LongestSpan, false,
                       Result.LongestHold);
  Section.rejectUnknownFields();
}

void readRepeats(SectionReader Section, MeshSettings &Result) {
  Section.readDouble("share", 0, 10, false, Result.RepeatShare);
  Section.readDuration("window", ShortestSpan, LongestSpan, false,
                       Result.RepeatWindow);
  Section.readNumber("allowance", 0, 1000000, false, Result.RepeatAllowance);
  Section.rejectUnknownFields();
}

} // namespace

bool isMeshSettings(const std::string &Text) {
  try {
    YAML::Node Root = YAML::Load(Text);
    return Root.IsMap() && Root["store"];
  } catch (const YAML::Exception &) {
    // Whoever reads the settings next says what is wrong with them.
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
  Section.readDuration("stop_time", ShortestSpan, LongestSpan, false,
                       Result.StopTime);
  Section.readNumber("connections", 16, 100000, false, Result.Connections);
  readListen(Section.section("listen"), Result);
  readServer(Section.section("server"), Result);
  readRepeats(Section.section("repeats"), Result);

  SectionReader Store = Section.section("store");
  Store.readAddress("address", Result.Store);
  Store.rejectUnknownFields();
  Section.rejectUnknownFields();

  if (!Faults.empty()) {
    return absl::InvalidArgumentError(absl::StrJoin(Faults, "\n"));
  }
  return Result;
}

} // namespace hemlockspar
