#include "daemon/Settings.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <fstream>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace hemlockspar {

namespace {

/// Walks one mapping of the file, checks its fields and collects faults.
class SectionReader {
public:
  SectionReader(const YAML::Node &Section, std::string Path, std::string Prefix,
                std::vector<std::string> &Faults)
      : Section(Section), Path(std::move(Path)), Prefix(std::move(Prefix)),
        Faults(Faults) {}

  void readName(const char *Field, std::string &Target) {
    auto Text = this->scalar(Field, true);
    if (!Text) {
      return;
    }

    bool Sound = !Text->empty() && Text->size() <= MaxNameLength &&
                 std::all_of(Text->begin(), Text->end(), isNameCharacter);
    if (!Sound) {
      this->fault(Field, "must be 1 to 64 of a-z, 0-9, '-', '_' and '.'");
      return;
    }
    Target = *Text;
  }

  void readHost(const char *Field, bool Required, std::string &Target) {
    auto Text = this->scalar(Field, Required);
    if (!Text) {
      return;
    }

    boost::system::error_code Error;
    boost::asio::ip::make_address(*Text, Error);
    if (Error) {
      this->fault(Field, "must be an IP address in numbers");
      return;
    }
    Target = *Text;
  }

  void readAddress(const char *Field, Address &Target) {
    auto Text = this->scalar(Field, true);
    if (!Text) {
      return;
    }

    Address Parsed;
    boost::system::error_code Error;
    bool Sound = Address::fromText(*Text, Parsed);
    if (Sound) {
      Parsed.toEndpoint(Error);
    }
    if (!Sound || Error || Parsed.Port == 0) {
      this->fault(Field, "must be an IP address and a port, as 10.0.0.1:80");
      return;
    }
    Target = Parsed;
  }

  /// Reads a whole number from \p Least to \p Most.
  template <typename Number>
  void readNumber(const char *Field, std::uint64_t Least, std::uint64_t Most,
                  bool Required, Number &Target) {
    auto Text = this->scalar(Field, Required);
    if (!Text) {
      return;
    }

    std::uint64_t Parsed = 0;
    bool Sound =
        YAML::convert<std::uint64_t>::decode(YAML::Node(*Text), Parsed) &&
        Parsed >= Least && Parsed <= Most;
    if (!Sound) {
      this->fault(Field, absl::StrCat("must be a whole number from ", Least,
                                      " to ", Most));
      return;
    }
    Target = Number(Parsed);
  }

  void readChoice(const char *Field, const std::vector<std::string> &Allowed,
                  std::string &Target) {
    auto Text = this->scalar(Field, false);
    if (!Text) {
      return;
    }

    if (std::find(Allowed.begin(), Allowed.end(), *Text) == Allowed.end()) {
      this->fault(Field, "must be one of " + absl::StrJoin(Allowed, ", "));
      return;
    }
    Target = *Text;
  }

  SectionReader section(const char *Field) {
    this->Seen.push_back(Field);
    YAML::Node Inner = this->Section[Field];
    if (Inner && !Inner.IsMap()) {
      this->fault(Field, "must hold fields of its own");
      Inner = YAML::Node();
    }
    return {Inner ? Inner : YAML::Node(YAML::NodeType::Map), this->Path,
            this->Prefix + Field + ".", this->Faults};
  }

  /// Every field that was not read is a fault.
  void refuseUnknown() {
    for (const auto &Entry : this->Section) {
      std::string Field = Entry.first.Scalar();
      bool Known = std::find(this->Seen.begin(), this->Seen.end(), Field) !=
                   this->Seen.end();
      if (!Known) {
        this->faultAt(Entry.first.Mark().line, Field,
                      "is unknown; allowed are " +
                          absl::StrJoin(this->Seen, ", "));
      }
    }
  }

private:
  static constexpr std::size_t MaxNameLength = 64;

  static bool isNameCharacter(char Character) {
    return (Character >= 'a' && Character <= 'z') ||
           (Character >= '0' && Character <= '9') || Character == '-' ||
           Character == '_' || Character == '.';
  }

  std::optional<std::string> scalar(const char *Field, bool Required) {
    this->Seen.push_back(Field);
    YAML::Node Value = this->Section[Field];

    if (!Value) {
      if (Required) {
        this->fault(Field, "is missing");
      }
      return std::nullopt;
    }
    if (!Value.IsScalar()) {
      this->fault(Field, "must be a single value");
      return std::nullopt;
    }
    return Value.Scalar();
  }

  void fault(const char *Field, const std::string &Text) {
    YAML::Node Value = this->Section[Field];
    int Line = Value ? Value.Mark().line : this->Section.Mark().line;
    this->faultAt(Line, Field, Text);
  }

  void faultAt(int Line, const std::string &Field, const std::string &Text) {
    this->Faults.push_back(absl::StrCat(this->Path, ":", std::max(Line, 0) + 1,
                                        ": ", this->Prefix, Field, " ", Text));
  }

  YAML::Node Section;
  std::string Path;
  std::string Prefix;
  std::vector<std::string> &Faults;
  std::vector<std::string> Seen;
};

constexpr std::uint64_t MaxPort = 65535;

/// \p Required says whether the fields must be there; without, \p Target keeps
/// what it has.
void readEndpoints(SectionReader Section, bool Required, Endpoints &Target) {
  Section.readHost("host", Required, Target.Host);
  Section.readNumber("caller_port", 1, MaxPort, Required, Target.CallerPort);
  Section.readNumber("forward_port", 1, MaxPort, Required, Target.ForwardPort);
  Section.readNumber("control_port", 1, MaxPort, Required, Target.ControlPort);
  Section.readNumber("api_port", 1, MaxPort, Required, Target.ApiPort);
  Section.refuseUnknown();
}

void readTable(SectionReader Section, Settings &Result) {
  Section.readAddress("address", Result.Table);
  Section.readNumber("timeout_ms", 100, 60000, false, Result.TableTimeout);
  Section.refuseUnknown();
}

void readLimits(SectionReader Section, Settings &Result) {
  HttpLimits &Callers = Result.Callers;
  Section.readNumber("header_bytes", 1024, 1 << 20, false, Callers.HeaderBytes);
  Section.readNumber("body_bytes", 1024, 64 << 20, false, Callers.BodyBytes);
  Section.readNumber("connections", 1, 100000, false, Callers.Connections);
  Section.readNumber("idle_timeout_ms", 100, 3600000, false,
                     Callers.IdleTimeout);
  Section.readNumber("read_timeout_ms", 100, 3600000, false,
                     Callers.ReadTimeout);
  Section.readNumber("default_timeout_ms", 1, 3600000, false,
                     Result.DefaultTimeout);
  Section.readNumber("max_timeout_ms", 1, 3600000, false, Result.MaxTimeout);
  Section.readNumber("waiting_requests", 0, 1000000, false,
                     Result.WaitingRequests);
  Section.readNumber("drain_linger_ms", 0, 60000, false, Result.DrainLinger);
  Section.readNumber("drain_timeout_ms", 1000, 3600000, false,
                     Result.DrainTimeout);
  Section.refuseUnknown();
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
    return absl::InvalidArgumentError(Path + ":1: must hold fields");
  }

  Settings Result;
  std::vector<std::string> Faults;
  SectionReader Section(Root, Path, "", Faults);

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
  Section.refuseUnknown();

  if (!Faults.empty()) {
    return absl::InvalidArgumentError(absl::StrJoin(Faults, "\n"));
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
