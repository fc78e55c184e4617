#include "daemon/Settings.h"

#include "daemon/SectionReader.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <fstream>
#include <sstream>

namespace hemlockspar {

namespace {

constexpr std::uint64_t MaxPort = 65535;

/// A missing field is an error if \p Required; otherwise \p Target keeps its
/// value.
void readEndpoints(SectionReader Section, bool Required, Endpoints &Target) {
  Section.readHost("host", Required, Target.Host);
  Section.readNumber("caller_port", 1, MaxPort, Required, Target.CallerPort);
  Section.readNumber("forward_port", 1, MaxPort, Required, Target.ForwardPort);
  Section.readNumber("control_port", 1, MaxPort, Required, Target.ControlPort);
  Section.readNumber("api_port", 1, MaxPort, Required, Target.ApiPort);
  Section.rejectUnknownFields();
}

void readTable(SectionReader Section, Settings &Result) {
  Section.readAddress("address", Result.TableAddress);
  Section.readNumber("timeout_ms", 100, 60000, false, Result.TableTimeout);
  Section.rejectUnknownFields();
}

void readLimits(SectionReader Section, Settings &Result) {
  HttpLimits &Limits = Result.CallerLimits;
  Section.readNumber("header_bytes", 1024, 1 << 20, false,
                     Limits.MaxHeaderBytes);
  Section.readNumber("body_bytes", 1024, 64 << 20, false, Limits.MaxBodyBytes);
  Section.readNumber("connections", 1, 100000, false, Limits.MaxConnections);
  Section.readNumber("idle_timeout_ms", 100, 3600000, false,
                     Limits.IdleTimeout);
  Section.readNumber("read_timeout_ms", 100, 3600000, false,
                     Limits.ReadTimeout);
  Section.readNumber("default_timeout_ms", 1, 3600000, false,
                     Result.DefaultTimeout);
  Section.readNumber("max_timeout_ms", 1, 3600000, false, Result.MaxTimeout);
  Section.readNumber("waiting_requests", 0, 1000000, false,
                     Result.MaxWaitingRequests);
  Section.readNumber("drain_linger_ms", 0, 60000, false, Result.DrainLinger);
  Section.readNumber("drain_timeout_ms", 1000, 3600000, false,
                     Result.DrainTimeout);
  Section.rejectUnknownFields();
}

} // namespace

absl::StatusOr<Settings> parseSettings(const std::string &Text,
                                       const std::string &Path) {
  YAML::Node Root;

  try {
    Root = YAML::Load(Text);
  } catch (const YAML::Exception &Exception) {
    return absl::InvalidArgumentError(
        absl::StrCat(Path, ":", Exception.mark.line + 1, ": ", Exception.msg));
  }
  if (!Root.IsMap()) {
    return absl::InvalidArgumentError(Path + ":1: must be a mapping");
  }

  Settings Result;
  std::vector<std::string> Errors;
  SectionReader Section(Root, Path, "", Errors);

  Section.readName("instance", Result.Instance);
  Section.readName("region", Result.Region);
  Section.readName("data_center", Result.DataCenter);
  Section.readChoice("log_level", {"debug", "info", "warn", "error"},
                     Result.LogLevel);
  readEndpoints(Section.section("listen"), true, Result.Listen);
  Result.Advertise = Result.Listen;
  readEndpoints(Section.section("advertise"), false, Result.Advertise);
  readTable(Section.section("table"), Result);
  readLimits(Section.section("limits"), Result);
  Section.rejectUnknownFields();

  if (!Errors.empty()) {
    return absl::InvalidArgumentError(absl::StrJoin(Errors, "\n"));
  }
  return Result;
}

absl::StatusOr<Settings> readSettings(const std::string &Path) {
  std::ifstream File(Path);
  if (!File) {
    return absl::NotFoundError(Path + ": cannot be read");
  }

  std::stringstream Text;
  Text << File.rdbuf();
  return parseSettings(Text.str(), Path);
}

} // namespace hemlockspar
