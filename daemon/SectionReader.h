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

/// Reads one mapping of the YAML settings file, validates its fields and
/// collects error messages.
class SectionReader {
public:
  SectionReader(const YAML::Node &Section, std::string Path,
                std::string FieldPrefix, std::vector<std::string> &Errors)
      : Section(Section), Path(std::move(Path)),
        FieldPrefix(std::move(FieldPrefix)), Errors(Errors) {}

  void readName(const char *Field, std::string &Target) {
    auto Text = this->readScalar(Field, true);
    if (!Text) {
      return;
    }

    bool Valid = !Text->empty() && Text->size() <= MaxNameLength &&
                 std::all_of(Text->begin(), Text->end(), isNameCharacter);
    if (!Valid) {
      this->addError(Field, "must be 1 to 64 of a-z, 0-9, '-', '_' and '.'");
      return;
    }
    Target = *Text;
  }

  void readHost(const char *Field, bool Required, std::string &Target) {
    auto Text = this->readScalar(Field, Required);
    if (!Text) {
      return;
    }

    boost::system::error_code Error;
    boost::asio::ip::make_address(*Text, Error);
    if (Error) {
      this->addError(Field, "must be an IP address, not a host name");
      return;
    }
    Target = *Text;
  }

  void readAddress(const char *Field, Address &Target, bool Required = true) {
    auto Text = this->readScalar(Field, Required);
    if (!Text) {
      return;
    }

    Address Parsed;
    boost::system::error_code Error;
    bool Valid = Address::fromText(*Text, Parsed);
    if (Valid) {
      Parsed.toEndpoint(Error);
    }
    if (!Valid || Error || Parsed.Port == 0) {
      this->addError(Field,
                     "must be an IP address and a port, such as 10.0.0.1:80");
      return;
    }
    Target = Parsed;
  }

  /// Reads a whole number from \p Min to \p Max.
  template <typename Number>
  void readNumber(const char *Field, std::uint64_t Min, std::uint64_t Max,
                  bool Required, Number &Target) {
    auto Text = this->readScalar(Field, Required);
    if (!Text) {
      return;
    }

    std::uint64_t Parsed = 0;
    bool Valid =
        YAML::convert<std::uint64_t>::decode(YAML::Node(*Text), Parsed) &&
        Parsed >= Min && Parsed <= Max;
    if (!Valid) {
      this->addError(Field, absl::StrCat("must be a whole number from ", Min,
                                         " to ", Max));
      return;
    }
    Target = Number(Parsed);
  }

  /// Reads a duration such as "1500ms" or "2.5s".
  void readDuration(const char *Field, Duration Min, Duration Max,
                    bool Required, Duration &Target) {
    auto Text = this->readScalar(Field, Required);
    if (!Text) {
      return;
    }

    auto Parsed = parseDuration(*Text);
    if (!Parsed || *Parsed < Min || *Parsed > Max) {
      this->addError(
          Field, absl::StrCat("must be a duration from ", formatDuration(Min),
                              " to ", formatDuration(Max), ", such as 1500ms"));
      return;
    }
    Target = *Parsed;
  }

  /// Reads a number from \p Min to \p Max.
  void readDouble(const char *Field, double Min, double Max, bool Required,
                  double &Target) {
    auto Text = this->readScalar(Field, Required);
    if (!Text) {
      return;
    }

    double Parsed = 0;
    bool Valid = YAML::convert<double>::decode(YAML::Node(*Text), Parsed) &&
                 Parsed >= Min && Parsed <= Max;
    if (!Valid) {
      this->addError(Field,
                     absl::StrCat("must be a number from ", Min, " to ", Max));
      return;
    }
    Target = Parsed;
  }

  void readChoice(const char *Field, const std::vector<std::string> &Allowed,
                  std::string &Target) {
    auto Text = this->readScalar(Field, false);
    if (!Text) {
      return;
    }

    if (std::find(Allowed.begin(), Allowed.end(), *Text) == Allowed.end()) {
      this->addError(Field, "must be one of " + absl::StrJoin(Allowed, ", "));
      return;
    }
    Target = *Text;
  }

  SectionReader section(const char *Field) {
    this->KnownFields.push_back(Field);
    YAML::Node Subsection = this->Section[Field];
    if (Subsection && !Subsection.IsMap()) {
      this->addError(Field, "must be a mapping");
      Subsection = YAML::Node();
    }
    return {Subsection ? Subsection : YAML::Node(YAML::NodeType::Map),
            this->Path, this->FieldPrefix + Field + ".", this->Errors};
  }

  /// Adds an error for every field that was not read.
  void rejectUnknownFields() {
    for (const auto &Entry : this->Section) {
      std::string Field = Entry.first.Scalar();
      bool Known = std::find(this->KnownFields.begin(), this->KnownFields.end(),
                             Field) != this->KnownFields.end();
      if (!Known) {
        this->addErrorAt(Entry.first.Mark().line, Field,
                         "is unknown; allowed are " +
                             absl::StrJoin(this->KnownFields, ", "));
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

  std::optional<std::string> readScalar(const char *Field, bool Required) {
    this->KnownFields.push_back(Field);
    YAML::Node Value = this->Section[Field];

    // A settings template may leave an optional field empty.
    bool Empty = Value && Value.IsScalar() && Value.Scalar().empty();
    if (!Value || (Empty && !Required)) {
      if (Required) {
        this->addError(Field, "is missing");
      }
      return std::nullopt;
    }
    if (!Value.IsScalar()) {
      this->addError(Field, "must be a single value");
      return std::nullopt;
    }
    return Value.Scalar();
  }

  void addError(const char *Field, const std::string &Text) {
    YAML::Node Value = this->Section[Field];
    int Line = Value ? Value.Mark().line : this->Section.Mark().line;
    this->addErrorAt(Line, Field, Text);
  }

  void addErrorAt(int Line, const std::string &Field, const std::string &Text) {
    this->Errors.push_back(absl::StrCat(this->Path, ":", std::max(Line, 0) + 1,
                                        ": ", this->FieldPrefix, Field, " ",
                                        Text));
  }

  YAML::Node Section;
  std::string Path;
  std::string FieldPrefix;
  std::vector<std::string> &Errors;
  std::vector<std::string> KnownFields;
};

} // namespace hemlockspar
