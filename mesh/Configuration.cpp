#include "mesh/Configuration.h"

#include "core/EnumNames.h"

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 2> RepeatRuleNames = {"repeatable",
                                                         "once-only"};

std::string_view withoutPort(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

const char *nameOf(RepeatRule Rule) { return enumName(RepeatRuleNames, Rule); }

const Route *Configuration::findRoute(std::string_view Host,
                                      std::string_view Path) const {
  const Route *Best = nullptr;
  std::string_view Wanted = withoutPort(Host);

  for (const Route &Candidate : this->Routes) {
    bool Longer = !Best || Candidate.Prefix.size() > Best->Prefix.size();
    if (Longer && Candidate.Host == Wanted &&
        Path.starts_with(Candidate.Prefix)) {
      Best = &Candidate;
    }
  }
  return Best;
}

bool Configuration::isKeyed(const std::string &Service) const {
  auto Place = this->Services.find(Service);
  return Place != this->Services.end() && Place->second.Keyed;
}

} // namespace hemlockspar
