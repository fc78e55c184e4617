#include "review/harness-2/Ledger.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::uint32_t KeyCount = 65536;
constexpr auto LongestOverlap = Milliseconds(500);

std::string textOf(const HeldRange &Held) {
  return std::to_string(Held.From) + ".." + std::to_string(Held.To) +
         " fence " + std::to_string(Held.Fence);
}

bool isHeld(const std::vector<HeldRange> &Held, std::uint32_t Key,
            std::uint64_t Fence, Clock::time_point Now) {
  return std::any_of(Held.begin(), Held.end(), [&](const HeldRange &Range) {
    return Range.From <= Key && Key <= Range.To && Range.Fence == Fence &&
           Now < Range.Until;
  });
}

} // namespace

void Ledger::checkFences(const std::string &Server,
                         const std::vector<HeldRange> &Held) {
  Clock::time_point Now = Clock::now();
  for (const HeldRange &Range : Held) {
    std::string Other;
    std::uint32_t Key = Range.From;
    for (; Key <= Range.To && Other.empty(); ++Key) {
      // A renewal takes no key.
      if (Range.Excused ||
          isHeld(this->Holders[Server], Key, Range.Fence, Now)) {
        continue;
      }
      for (const auto &[Name, Seen] : this->Fences) {
        if (Name != Server && Seen[Key] >= Range.Fence) {
          Other = Name + " had key " + std::to_string(Key) + " with " +
                  std::to_string(Seen[Key]);
        }
      }
    }
    if (!Other.empty()) {
      ++this->FenceFaults;
      std::string Text = "BROKEN OWNER: ";
      Text.append(Server).append(" takes ").append(textOf(Range));
      Text.append(", but ").append(Other);
      this->Out.write(Text);
    }
  }
}

void Ledger::update(const std::string &Server,
                    const std::vector<HeldRange> &Held) {
  std::lock_guard Lock(this->Mutex);
  this->checkFences(Server, Held);
  std::vector<std::uint64_t> &Seen = this->Fences[Server];
  Seen.resize(KeyCount);
  for (const HeldRange &Range : Held) {
    for (std::uint32_t Key = Range.From; Key <= Range.To; ++Key) {
      Seen[Key] = std::max(Seen[Key], Range.Fence);
    }
  }
  this->Holders[Server] = Held;
}

void Ledger::sample() {
  std::lock_guard Lock(this->Mutex);
  Clock::time_point Now = Clock::now();
  std::map<Pair, std::string> Found;
  for (auto First = this->Holders.begin(); First != this->Holders.end();
       ++First) {
    for (auto Second = std::next(First); Second != this->Holders.end();
         ++Second) {
      for (const HeldRange &One : First->second) {
        for (const HeldRange &Two : Second->second) {
          bool Counts = !One.Excused && !Two.Excused && Now < One.Until &&
                        Now < Two.Until && One.From <= Two.To &&
                        Two.From <= One.To;
          if (Counts) {
            Found[{First->first, Second->first}] =
                First->first + " " + textOf(One) + " and " + Second->first +
                " " + textOf(Two);
          }
        }
      }
    }
  }

  std::erase_if(this->Open, [&](const auto &Entry) {
    return !Found.contains(Entry.first);
  });
  for (const auto &[Servers, Text] : Found) {
    Overlap &Current = this->Open.emplace(Servers, Overlap{Now}).first->second;
    if (!Current.Reported && Now - Current.Since > LongestOverlap) {
      Current.Reported = true;
      ++this->Overlaps;
      this->Out.write(
          "BROKEN OWNER: the same keys held by two for over 0.5 s: " + Text);
    }
  }
}

void Ledger::excuse(const std::string &Server, Clock::time_point Until) {
  std::lock_guard Lock(this->Mutex);
  this->ExcusedUntil[Server] = Until;
}

bool Ledger::isExcused(const std::string &Server) const {
  std::lock_guard Lock(this->Mutex);
  auto Found = this->ExcusedUntil.find(Server);
  return Found != this->ExcusedUntil.end() && Clock::now() < Found->second;
}

int Ledger::overlaps() const {
  std::lock_guard Lock(this->Mutex);
  return this->Overlaps;
}

int Ledger::fenceFaults() const {
  std::lock_guard Lock(this->Mutex);
  return this->FenceFaults;
}

} // namespace review
