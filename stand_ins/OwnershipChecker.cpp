#include "stand_ins/OwnershipChecker.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace hemlockspar {

namespace {

bool overlap(const HeldKeyRange &First, const HeldKeyRange &Second) {
  return First.From <= Second.To && Second.From <= First.To;
}

std::string describe(const std::string &Server, const HeldKeyRange &Keys) {
  return absl::StrCat(Server, " ", Keys.From, "..", Keys.To, " token ",
                      Keys.Token);
}

} // namespace

bool OwnershipChecker::alreadyHeld(const std::string &Server,
                                   const HeldKeyRange &Acquired) const {
  auto Found = this->Held.find(Server);
  return Found != this->Held.end() &&
         std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const HeldKeyRange &Last) {
                       return Last.Token == Acquired.Token &&
                              overlap(Last, Acquired);
                     });
}

void OwnershipChecker::checkOverlap(const std::string &Server,
                                    const HeldKeyRange &Acquired,
                                    TimePoint Now) {
  for (const auto &[Other, Keys] : this->Held) {
    for (const HeldKeyRange &OtherRange : Keys) {
      bool Conflict = Other != Server && Now < OtherRange.Until &&
                      overlap(OtherRange, Acquired);
      if (Conflict) {
        this->Violations.push_back(
            absl::StrCat("two holders at once: ", describe(Server, Acquired),
                         " and ", describe(Other, OtherRange)));
      }
    }
  }
}

void OwnershipChecker::checkTokens(const std::string &Server,
                                   const HeldKeyRange &Acquired) {
  bool Reported = false;
  for (std::uint32_t Key = Acquired.From; Key <= Acquired.To; ++Key) {
    LastHolder &Last = this->LastHolderByKey[Key];
    bool Increases = Acquired.Token > Last.Token || Last.Server == Server;
    if (!Increases && !Reported) {
      Reported = true;
      this->Violations.push_back(absl::StrCat(
          "key ", Key, ": fencing token does not exceed ", Last.Token, " of ",
          Last.Server, ": ", describe(Server, Acquired)));
    }
    if (Acquired.Token >= Last.Token) {
      Last = {Acquired.Token, Server};
    }
  }
}

void OwnershipChecker::setHeldKeys(const std::string &Server,
                                   const std::vector<HeldKeyRange> &Keys) {
  std::lock_guard Lock(this->Mutex);
  TimePoint Now = BootClock::now();

  for (const HeldKeyRange &Acquired : Keys) {
    this->checkOverlap(Server, Acquired, Now);
    if (this->alreadyHeld(Server, Acquired)) {
      continue;
    }
    ++this->Acquisitions;
    this->checkTokens(Server, Acquired);
  }
  this->Held[Server] = Keys;
}

std::vector<std::string> OwnershipChecker::violations() const {
  std::lock_guard Lock(this->Mutex);
  return this->Violations;
}

int OwnershipChecker::acquisitions() const {
  std::lock_guard Lock(this->Mutex);
  return this->Acquisitions;
}

} // namespace hemlockspar
