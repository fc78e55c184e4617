#include "stand_ins/OwnershipChecker.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace hemlockspar {

namespace {

bool overlap(const HeldKeyRange &First, const HeldKeyRange &Second) {
  return First.From <= Second.To && Second.From <= First.To;
}

std::string textOf(const std::string &Server, const HeldKeyRange &Keys) {
  return absl::StrCat(Server, " ", Keys.From, "..", Keys.To, " token ",
                      Keys.Token);
}

} // namespace

bool OwnershipChecker::alreadyHeld(const std::string &Server,
                                   const HeldKeyRange &Taken) const {
  auto Place = this->Held.find(Server);
  return Place != this->Held.end() &&
         std::any_of(Place->second.begin(), Place->second.end(),
                     [&](const HeldKeyRange &Known) {
                       return Known.Token == Taken.Token &&
                              overlap(Known, Taken);
                     });
}

void OwnershipChecker::checkOverlap(const std::string &Server,
                                    const HeldKeyRange &Taken, TimePoint Now) {
  for (const auto &[Other, Keys] : this->Held) {
    for (const HeldKeyRange &Theirs : Keys) {
      bool Both =
          Other != Server && Now < Theirs.Until && overlap(Theirs, Taken);
      if (Both) {
        this->Violations.push_back(
            absl::StrCat("two holders: ", textOf(Server, Taken), " beside ",
                         textOf(Other, Theirs)));
      }
    }
  }
}

void OwnershipChecker::checkTokens(const std::string &Server,
                                   const HeldKeyRange &Taken) {
  bool Noted = false;
  for (std::uint32_t Key = Taken.From; Key <= Taken.To; ++Key) {
    LastHolder &Known = this->LastHolderByKey[Key];
    bool Rises = Taken.Token > Known.Token || Known.Server == Server;
    if (!Rises && !Noted) {
      Noted = true;
      this->Violations.push_back(absl::StrCat("key ", Key, ": token not above ",
                                              Known.Token, " of ", Known.Server,
                                              ": ", textOf(Server, Taken)));
    }
    if (Taken.Token >= Known.Token) {
      Known = {Taken.Token, Server};
    }
  }
}

void OwnershipChecker::setHeldKeys(const std::string &Server,
                                   const std::vector<HeldKeyRange> &Keys) {
  std::lock_guard Lock(this->Mutex);
  TimePoint Now = BootClock::now();

  for (const HeldKeyRange &Taken : Keys) {
    this->checkOverlap(Server, Taken, Now);
    if (this->alreadyHeld(Server, Taken)) {
      continue;
    }
    ++this->Acquisitions;
    this->checkTokens(Server, Taken);
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
