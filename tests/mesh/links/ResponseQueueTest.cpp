#include "mesh/links/ResponseQueue.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A response of 70 KB takes 100 ms of the share of this link.
constexpr double LinkBytesPerSecond = 1e6;
constexpr std::uint64_t Bytes = 70000;
const TimePoint Start{seconds(100)};

QueuedResponse response(std::uint64_t Number, std::uint32_t Rank,
                        milliseconds Objective) {
  return {Number, Bytes, Rank, Start + Objective, Start + seconds(10), Start};
}

/// Numbers in the order in which they leave, one per 100 ms.
std::vector<std::uint64_t> leave(ResponseQueue &Queue, TimePoint Now) {
  std::vector<std::uint64_t> Order;
  while (auto Number = Queue.startNext(Now)) {
    Order.push_back(*Number);
    cr_assert(!Queue.startNext(Now + milliseconds(99)),
              "two responses on the link");
    Now += milliseconds(100);
  }
  return Order;
}

} // namespace

/// A burst of six large responses: a less urgent one must not leave first.
Test(ResponseQueue, MostUrgentLeavesFirst) {
  ResponseQueue Queue(LinkBytesPerSecond);
  Queue.add(response(1, 2, milliseconds(100)));
  Queue.add(response(2, 1, milliseconds(900)));
  Queue.add(response(3, 1, milliseconds(300)));
  Queue.add(response(4, 1, milliseconds(300)));
  Queue.add(response(5, 0, milliseconds(900)));
  Queue.add(response(6, 2, milliseconds(50)));
  std::vector<std::uint64_t> Expected = {5, 3, 4, 2, 6, 1};
  cr_assert(leave(Queue, Start) == Expected);
}

/// The receiver of the first response reads nothing for good: nothing tells the
/// queue, and the second one leaves after the computed time all the same.
Test(ResponseQueue, DeadReceiverHoldsUpNobody) {
  ResponseQueue Queue(LinkBytesPerSecond);
  Queue.add(response(1, 1, milliseconds(800)));
  Queue.add(response(2, 1, milliseconds(800)));
  cr_assert_eq(Queue.startNext(Start).value(), 1);
  cr_assert(Queue.nextStartAt(Start).value() == Start + milliseconds(100));
  cr_assert_eq(Queue.startNext(Start + milliseconds(100)).value(), 2);
}

/// Callers that disconnect while their responses wait: their places must be
/// free at once.
Test(ResponseQueue, CancelledResponsesTakeNoTime) {
  ResponseQueue Queue(LinkBytesPerSecond);
  for (std::uint64_t Number = 1; Number <= 50; ++Number) {
    Queue.add(response(Number, 1, milliseconds(800)));
  }
  cr_assert_eq(Queue.startNext(Start).value(), 1);
  for (std::uint64_t Number = 2; Number < 50; ++Number) {
    cr_assert(Queue.cancel(Number));
  }
  cr_assert(!Queue.cancel(1) && !Queue.cancel(2));
  cr_assert(Queue.backlog(Start) == milliseconds(200));
  cr_assert_eq(Queue.startNext(Start + milliseconds(100)).value(), 50);
  cr_assert_eq(Queue.size(), 0);
}

/// Urgent responses take up the whole share of the link for 5 s: a less urgent
/// one must not be kept back for all of that time.
Test(ResponseQueue, LessUrgentOnesAreNotKeptBackForLong) {
  ResponseQueue Queue(LinkBytesPerSecond);
  Queue.add(response(1, 5, milliseconds(800)));
  std::uint64_t Number = 1;
  TimePoint Now = Start;
  for (; Now < Start + seconds(5); Now += milliseconds(100)) {
    QueuedResponse Urgent = response(++Number, 0, milliseconds(800));
    Urgent.ReadyAt = Now;
    Queue.add(Urgent);
    if (Queue.startNext(Now).value() == 1) {
      break;
    }
  }
  cr_assert(Now <= Start + milliseconds(1100));
}

/// After an overload the oldest responses cannot arrive by their deadline. They
/// must not make the others late as well, but they are not dropped.
Test(ResponseQueue, HopelessResponsesLeaveLast) {
  ResponseQueue Queue(LinkBytesPerSecond);
  for (std::uint64_t Number = 1; Number <= 3; ++Number) {
    QueuedResponse Hopeless = response(Number, 0, milliseconds(10));
    Hopeless.Deadline = Start + milliseconds(50);
    Queue.add(Hopeless);
  }
  Queue.add(response(4, 1, milliseconds(800)));
  cr_assert(Queue.backlog(Start) == milliseconds(400));
  cr_assert_eq(Queue.startNext(Start).value(), 4);
  cr_assert(Queue.cancel(2));
  cr_assert(Queue.backlog(Start) == milliseconds(300));
  std::vector<std::uint64_t> Expected = {1, 3};
  cr_assert(leave(Queue, Start + milliseconds(100)) == Expected);
}
