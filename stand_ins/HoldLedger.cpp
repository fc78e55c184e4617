#include "stand_ins/HoldLedger.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace hemlockspar {

namespace {

bool overlap(const HeldKeys &First, const HeldKeys &Second) {
  return First.From <= Second.To && Second.From <= First.To;
}

std::string textOf(const std::string &Server, const HeldKeys &Keys) {
  return absl::StrCat(Server, " ", Keys.From, "..", Keys.To, " token ",
                      Keys.Token);
}

} // namespace

bool HoldLedger::heldBefore(const std::string &Server,
                            const HeldKeys &Taken) const {
  auto Place = this->Held.find(Server);
  return Place != this->Held.end() &&
         std::any_of(Place->second.begin(), Place->second.end(),
                     [&](const HeldKeys &Known) {
                       return Known.Token == Taken.Token &&
                              overlap(Known, Taken);
                     });
}

void HoldLedger::checkOthers(const std::string &Server, const HeldKeys &Taken,
                             TimePoint Now) {
  for (const auto &[Other, Keys] : this->Held) {
    for (const HeldKeys &Theirs : Keys) {
      bool Both =
          Other != Server && Now < Theirs.Until && overlap(Theirs, Taken);
      if (Both) {
        this->Breaches.push_back(
            absl::StrCat("two holders: ", textOf(Server, Taken), " beside ",
                         textOf(Other, Theirs)));
      }
    }
  }
}

void HoldLedger::checkTokens(const std::string &Server, const HeldKeys &Taken) {
  bool Noted = false;
  for (std::uint32_t Key = Taken.From; Key <= Taken.To; ++Key) {
    Mark &Known = this->Highest[Key];
    bool Rises = Taken.Token > Known.Token || Known.Server == Server;
    if (!Rises && !Noted) {
      Noted = true;
      this->Breaches.push_back(absl::StrCat("key ", Key, ": token not above ",
                                            Known.Token, " of ", Known.Server,
                                            ": ", textOf(Server, Taken)));
    }
    if (Taken.Token >= Known.Token) {
      Known = {Taken.Token, Server};
    }
  }
}

void HoldLedger::replace(const std::string &Server,
                         const std::vector<HeldKeys> &Keys) {
  std::lock_guard Lock(this->Guard);
  TimePoint Now = BootClock::now();

  for (const HeldKeys &Taken : Keys) {
    this->checkOthers(Server, Taken, Now);
    if (this->heldBefore(Server, Taken)) {
      continue;
    }
    ++this->Takes;
    this->checkTokens(Server, Taken);
  }
  this->Held[Server] = Keys;
}

std::vector<std::string> HoldLedger::breaches() const {
  std::lock_guard Lock(this->Guard);
  return this->Breaches;
}

int HoldLedger::takes() const {
  std::lock_guard Lock(this->Guard);
  return this->Takes;
}

} // namespace hemlockspar
