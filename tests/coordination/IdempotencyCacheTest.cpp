#include "coordination/IdempotencyCache.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <set>

using namespace hemlockspar;
using std::chrono::seconds;

namespace {

TimePoint at(int Second) { return TimePoint(seconds(Second)); }

IdempotencyCache::Attempt attempt(const std::string &Key) {
  IdempotencyCache::Attempt Request;
  Request.Key = Key;
  Request.Fingerprint = 1;
  Request.OwnedSince = at(100);
  return Request;
}

} // namespace

Test(IdempotencyCache, RetriesGetTheFirstAnswer) {
  IdempotencyCache Cache({});
  cr_assert(Cache.begin(attempt("a"), at(101)) == IdempotencyVerdict::Run);
  cr_assert(Cache.begin(attempt("a"), at(101)) ==
            IdempotencyVerdict::InProgress);

  Cache.onAnswered("a", {201, "text/plain", "booked"});
  cr_assert(Cache.begin(attempt("a"), at(102)) == IdempotencyVerdict::Replay);
  cr_assert(Cache.findAnswer("a")->Body == "booked");

  IdempotencyCache::Attempt Other = attempt("a");
  Other.Fingerprint = 2;
  cr_assert(Cache.begin(Other, at(103)) == IdempotencyVerdict::Mismatch);
}

Test(IdempotencyCache, RetryFromBeforeOwnershipIsUnknown) {
  IdempotencyCache Cache({});
  IdempotencyCache::Attempt Retry = attempt("a");
  Retry.FirstSentAt = at(99);
  cr_assert(Cache.begin(Retry, at(101)) == IdempotencyVerdict::Unknown);

  Retry.FirstSentAt = at(100) + std::chrono::milliseconds(1);
  cr_assert(Cache.begin(Retry, at(101)) == IdempotencyVerdict::Run);
}

/// With lost answers, evicted entries and retries on a small cache, a request
/// whose retries are marked never runs twice.
Test(IdempotencyCache, MarkedRetriesRunAtMostOnce) {
  bool Holds = rc::check("marked retries run at most once", [] {
    IdempotencyCache::Limits Bounds;
    Bounds.MaxEntries = 4;
    Bounds.MaxBytes = 64;
    Bounds.MaxAnswerBytes = 24;
    IdempotencyCache Cache(Bounds);

    std::map<int, int> Runs;
    std::map<int, TimePoint> FirstSent;
    auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 4)));
    TimePoint Now = at(200);

    for (const auto &[Request, Ending] : Steps) {
      Now += std::chrono::milliseconds(1);
      std::string Key = std::to_string(Request);
      IdempotencyCache::Attempt Sent = attempt(Key);
      if (FirstSent.contains(Request)) {
        Sent.FirstSentAt = FirstSent[Request];
      }
      FirstSent.emplace(Request, Now);

      if (Cache.begin(Sent, Now) != IdempotencyVerdict::Run) {
        continue;
      }
      if (Ending == 0) {
        Cache.onNotRun(Key);
        continue;
      }
      RC_ASSERT(++Runs[Request] == 1);
      if (Ending == 1) {
        Cache.onUnknown(Key);
      } else {
        Cache.onAnswered(Key,
                         {200, "", std::string(std::size_t(Ending) * 10, 'x')});
      }
    }
  });
  cr_assert(Holds);
}
