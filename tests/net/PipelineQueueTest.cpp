#include "net/PipelineQueue.h"

#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace hemlockspar;

namespace {

using Numbers = std::vector<PipelineNumber>;

constexpr PipelineLimits FewAllowed = {.MaxRequests = 3, .MaxBytes = 100};

/// Whether \p Queue has \p Number to write next, closing the connection or not.
bool writes(PipelineQueue &Queue, PipelineNumber Number, bool Closes,
            bool KeepAlive = true) {
  auto Next = Queue.takeWrite(KeepAlive);
  return Next && Next->Number == Number && Next->Closes == Closes;
}

} // namespace

/// A response that is ready first must not overtake those before it: the caller
/// would take it for the response to another request.
Test(PipelineQueue, ResponsesKeepTheOrderOfRequests) {
  PipelineQueue Queue(FewAllowed);
  Queue.add(PipelineKind::Concurrent, 10);
  Queue.add(PipelineKind::Concurrent, 10);
  cr_assert(Queue.takeStartable() == Numbers({1, 2}));

  Queue.setReady(2);
  cr_assert_not(Queue.takeWrite(true));
  Queue.setReady(1);
  cr_assert(writes(Queue, 1, false));
  cr_assert_not(Queue.takeWrite(true), "two responses are written at once");
  Queue.onWritten();
  cr_assert(writes(Queue, 2, false));
}

/// A request that may not run twice must not run beside others, whose closing
/// response would make the caller send it again.
Test(PipelineQueue, ExclusiveRequestRunsAlone) {
  PipelineQueue Queue(FewAllowed);
  Queue.add(PipelineKind::Concurrent, 10);
  Queue.add(PipelineKind::Exclusive, 10);
  Queue.add(PipelineKind::Concurrent, 10);
  cr_assert(Queue.takeStartable() == Numbers({1}));

  Queue.setReady(1);
  cr_assert(Queue.takeStartable().empty(), "1 is ready but not answered");
  cr_assert(writes(Queue, 1, false));
  Queue.onWritten();
  cr_assert(Queue.takeStartable() == Numbers({2}));
  Queue.setReady(2);
  cr_assert(Queue.takeStartable().empty(), "2 is ready but not answered");
  cr_assert(writes(Queue, 2, false));
  Queue.onWritten();
  cr_assert(Queue.takeStartable() == Numbers({3}));
}

/// A caller must not make the server hold more than the limits, and must not be
/// stuck when a single request is larger than what is read ahead.
Test(PipelineQueue, LimitsStopReading) {
  PipelineQueue Queue(FewAllowed);
  cr_assert_gt(Queue.allowance(1000), 1000, "a large first request is stuck");
  Queue.add(PipelineKind::Concurrent, 70);
  cr_assert_eq(Queue.allowance(0), 30);
  cr_assert_eq(Queue.allowance(25), 5);
  cr_assert_eq(Queue.allowance(31), 0);
  cr_assert(Queue.mayAdd(true));

  Queue.add(PipelineKind::Concurrent, 1);
  Queue.add(PipelineKind::Concurrent, 1);
  cr_assert_not(Queue.mayAdd(true));
  Queue.takeStartable();
  Queue.setReady(1);
  Queue.takeWrite(true);
  cr_assert_not(Queue.mayAdd(true), "the first is not written yet");
  Queue.onWritten();
  cr_assert(Queue.mayAdd(true));
  cr_assert_eq(Queue.allowance(0), 98);
}

/// A response that closes the connection before the last one would make the
/// caller send requests again that run already.
Test(PipelineQueue, OnlyTheLastResponseCloses) {
  PipelineQueue Queue(FewAllowed);
  Queue.add(PipelineKind::Concurrent, 1);
  Queue.add(PipelineKind::Concurrent, 1);
  Queue.takeStartable();
  Queue.setReady(1);
  Queue.setReady(2);
  cr_assert(writes(Queue, 1, false, false));
  Queue.onWritten();
  cr_assert(writes(Queue, 2, true, false));
  cr_assert_not(Queue.mayAdd(true), "a request behind the closing response");
}

/// A shutdown that begins while the last response is being written, without
/// closing the connection, must not drop the next request.
Test(PipelineQueue, RequestBehindOpenResponseIsServedInShutdown) {
  PipelineQueue Queue(FewAllowed);
  Queue.add(PipelineKind::Concurrent, 1);
  Queue.takeStartable();
  Queue.setReady(1);
  cr_assert(writes(Queue, 1, false));
  cr_assert_not(Queue.mayAdd(false));
  cr_assert_not(Queue.hasReadingEnded());
  Queue.onWritten();
  cr_assert(Queue.mayAdd(false));
  Queue.add(PipelineKind::Concurrent, 1);
  Queue.takeStartable();
  Queue.setReady(2);
  cr_assert(writes(Queue, 2, true, false));
}

/// Whatever the order of events, responses must be in order and complete, an
/// exclusive request must run alone, and nothing may follow a closing response.
Test(PipelineQueue, RulesHoldForAnyOrderOfEvents) {
  bool Holds = rc::check("the rules hold for any order of events", [] {
    PipelineQueue Queue(FewAllowed);
    bool KeepAlive = true;
    bool Closed = false;
    bool Writing = false;
    PipelineNumber LastWritten = 0;
    PipelineNumber LastAdded = 0;
    std::map<PipelineNumber, PipelineKind> Kinds;
    std::set<PipelineNumber> Running;
    std::size_t Steps = *rc::gen::inRange<std::size_t>(1, 200);
    for (std::size_t Step = 0; Step < Steps; ++Step) {
      int Action = *rc::gen::inRange(0, 40);
      if (Action < 15 && Queue.mayAdd(KeepAlive)) {
        RC_ASSERT(!Closed);
        auto Kind = *rc::gen::element(PipelineKind::Concurrent,
                                      PipelineKind::Concurrent,
                                      PipelineKind::Exclusive);
        LastAdded = Queue.add(Kind, 1);
        Kinds[LastAdded] = Kind;
      } else if (Action < 25 && !Running.empty()) {
        PipelineNumber Done = *rc::gen::elementOf(
            std::vector<PipelineNumber>(Running.begin(), Running.end()));
        Running.erase(Done);
        Queue.setReady(Done);
      } else if (Action < 38 && Writing) {
        Queue.onWritten();
        Writing = false;
      } else if (Action == 38) {
        KeepAlive = false;
      } else if (Action == 39 && !Running.empty()) {
        Queue.endReading();
      }

      for (PipelineNumber Number : Queue.takeStartable()) {
        RC_ASSERT(Kinds[Number] == PipelineKind::Concurrent ||
                  (LastWritten == Number - 1 && !Writing));
        Running.insert(Number);
      }
      for (PipelineNumber Number : Running) {
        RC_ASSERT(Kinds[Number] == PipelineKind::Concurrent ||
                  Running.size() == 1);
      }
      if (auto Next = Queue.takeWrite(KeepAlive)) {
        RC_ASSERT(!Closed && !Writing);
        RC_ASSERT(Next->Number == LastWritten + 1);
        LastWritten = Next->Number;
        Writing = true;
        Closed = Next->Closes;
        RC_ASSERT(!Closed || LastWritten == LastAdded);
      }
      RC_ASSERT(Queue.size() <= FewAllowed.MaxRequests);
    }
  });
  cr_assert(Holds);
}
