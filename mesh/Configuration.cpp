#include "mesh/Configuration.h"

#include "core/EnumNames.h"

#include <algorithm>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 2> RepeatRuleNames = {"repeatable",
                                                         "once-only"};

std::string_view stripPort(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

const char *nameOf(RetryPolicy Rule) { return enumName(RepeatRuleNames, Rule); }

const Route *Configuration::findRoute(std::string_view Host,
                                      std::string_view Path) const {
  const Route *Best = nullptr;
  std::string_view HostName = stripPort(Host);

  for (const Route &Candidate : this->Routes) {
    bool Longer = !Best || Candidate.Prefix.size() > Best->Prefix.size();
    if (Longer && Candidate.Host == HostName &&
        Path.starts_with(Candidate.Prefix)) {
      Best = &Candidate;
    }
  }
  return Best;
}

const Route *Configuration::findRouteByName(std::string_view Name) const {
  auto Found =
      std::find_if(this->Routes.begin(), this->Routes.end(),
                   [&](const Route &Entry) { return Entry.Name == Name; });
  return Found == this->Routes.end() ? nullptr : &*Found;
}

const ServiceDeclaration *
Configuration::findService(const std::string &Service) const {
  auto Found = this->Services.find(Service);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

bool Configuration::isKeyed(const std::string &Service) const {
  const ServiceDeclaration *Declared = this->findService(Service);
  return Declared && Declared->Keyed;
}

} // namespace hemlockspar
