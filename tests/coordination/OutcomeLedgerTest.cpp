#include "coordination/OutcomeLedger.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <set>

using namespace hemlockspar;
using std::chrono::seconds;

namespace {

TimePoint at(int Second) { return TimePoint(seconds(Second)); }

OutcomeLedger::Attempt attempt(const std::string &Key) {
  OutcomeLedger::Attempt Request;
  Request.Key = Key;
  Request.Fingerprint = 1;
  Request.OwnedSince = at(100);
  return Request;
}

} // namespace

Test(OutcomeLedger, RepeatsGetTheFirstAnswer) {
  OutcomeLedger Ledger({});
  cr_assert(Ledger.begin(attempt("a"), at(101)) == LedgerVerdict::Run);
  cr_assert(Ledger.begin(attempt("a"), at(101)) == LedgerVerdict::InProgress);

  Ledger.onAnswered("a", {201, "text/plain", "booked"});
  cr_assert(Ledger.begin(attempt("a"), at(102)) == LedgerVerdict::Replay);
  cr_assert(Ledger.find("a")->Body == "booked");

  OutcomeLedger::Attempt Other = attempt("a");
  Other.Fingerprint = 2;
  cr_assert(Ledger.begin(Other, at(103)) == LedgerVerdict::Mismatch);
}

Test(OutcomeLedger, EarlierOwnersTimeIsUnknown) {
  OutcomeLedger Ledger({});
  OutcomeLedger::Attempt Repeat = attempt("a");
  Repeat.FirstSentAt = at(99);
  cr_assert(Ledger.begin(Repeat, at(101)) == LedgerVerdict::Unknown);

  Repeat.FirstSentAt = at(100) + std::chrono::milliseconds(1);
  cr_assert(Ledger.begin(Repeat, at(101)) == LedgerVerdict::Run);
}

/// A small ledger, with answers lost, forgotten and repeats: a request whose
/// repeats are marked never runs twice.
Test(OutcomeLedger, MarkedRepeatsRunAtMostOnce) {
  bool Holds = rc::check("marked repeats run at most once", [] {
    OutcomeLedger::Limits Bounds;
    Bounds.MaxEntries = 4;
    Bounds.MaxBytes = 64;
    Bounds.MaxAnswerBytes = 24;
    OutcomeLedger Ledger(Bounds);

    std::map<int, int> Runs;
    std::map<int, TimePoint> FirstSent;
    auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 4)));
    TimePoint Now = at(200);

    for (const auto &[Request, Ending] : Steps) {
      Now += std::chrono::milliseconds(1);
      std::string Key = std::to_string(Request);
      OutcomeLedger::Attempt Sent = attempt(Key);
      if (FirstSent.contains(Request)) {
        Sent.FirstSentAt = FirstSent[Request];
      }
      FirstSent.emplace(Request, Now);

      if (Ledger.begin(Sent, Now) != LedgerVerdict::Run) {
        continue;
      }
      if (Ending == 0) {
        Ledger.onNotRun(Key);
        continue;
      }
      RC_ASSERT(++Runs[Request] == 1);
      if (Ending == 1) {
        Ledger.onUnknown(Key);
      } else {
        Ledger.onAnswered(
            Key, {200, "", std::string(std::size_t(Ending) * 10, 'x')});
      }
    }
  });
  cr_assert(Holds);
}
