#pragma once

#include "core/DurationText.h"
#include "net/Address.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <optional>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace hemlockspar {

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

  void readAddress(const char *Field, Address &Target, bool Required = true) {
    auto Text = this->scalar(Field, Required);
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

  /// Reads a span of time as "1500ms" or "2.5s".
  void readSpan(const char *Field, Duration Least, Duration Most, bool Required,
                Duration &Target) {
    auto Text = this->scalar(Field, Required);
    if (!Text) {
      return;
    }

    auto Parsed = parseDuration(*Text);
    if (!Parsed || *Parsed < Least || *Parsed > Most) {
      this->fault(Field,
                  absl::StrCat("must be a time from ", formatDuration(Least),
                               " to ", formatDuration(Most), ", as 1500ms"));
      return;
    }
    Target = *Parsed;
  }

  /// Reads a number from \p Least to \p Most.
  void readFraction(const char *Field, double Least, double Most, bool Required,
                    double &Target) {
    auto Text = this->scalar(Field, Required);
    if (!Text) {
      return;
    }

    double Parsed = 0;
    bool Sound = YAML::convert<double>::decode(YAML::Node(*Text), Parsed) &&
                 Parsed >= Least && Parsed <= Most;
    if (!Sound) {
      this->fault(Field,
                  absl::StrCat("must be a number from ", Least, " to ", Most));
      return;
    }
    Target = Parsed;
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

    // A template may leave an optional field empty.
    bool Empty = Value && Value.IsScalar() && Value.Scalar().empty();
    if (!Value || (Empty && !Required)) {
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

} // namespace hemlockspar
