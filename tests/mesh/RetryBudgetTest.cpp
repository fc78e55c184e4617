#include "mesh/RetryBudget.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

/// Over all instances and in any window, retries stay within the operator's
/// limit.
Test(RetryBudget, AllInstancesTogetherKeepTheBound) {
  cr_assert(rc::check([] {
    RetryBudget::Limits Limits;
    Limits.Allowance = *rc::gen::inRange(0, 60);
    int Count = *rc::gen::inRange(1, 20);
    std::vector<RetryBudget> Budgets(Count, RetryBudget(Limits));
    std::deque<TimePoint> Requests;
    std::deque<TimePoint> Retries;
    TimePoint Now{std::chrono::seconds(100)};

    for (RetryBudget &Budget : Budgets) {
      Budget.setInstanceCount(Count);
    }
    for (int Step = 0; Step < 600; ++Step) {
      Now += milliseconds(*rc::gen::inRange(0, 60));
      RetryBudget &Budget = Budgets[*rc::gen::inRange(0, Count)];
      if (*rc::gen::inRange(0, 3) == 0) {
        Budget.recordRequest("s", Now);
        Requests.push_back(Now);
      } else if (Budget.tryConsume("s", Now)) {
        Retries.push_back(Now);
      }
      for (auto *Times : {&Requests, &Retries}) {
        while (!Times->empty() && Times->front() < Now - Limits.Window) {
          Times->pop_front();
        }
      }
      double MaxRetries =
          Limits.Share * double(Requests.size()) + Limits.Allowance;
      RC_ASSERT(double(Retries.size()) <= MaxRetries);
    }
  }));
}

Test(RetryBudget, ServicesDoNotShare) {
  RetryBudget Budget({0.2, std::chrono::seconds(10), 0});
  TimePoint Now{std::chrono::seconds(5)};
  for (int Count = 0; Count < 100; ++Count) {
    Budget.recordRequest("a", Now);
  }
  cr_assert(!Budget.tryConsume("b", Now));
  cr_assert(Budget.tryConsume("a", Now));
}

/// Retries of less urgent requests must not use up what calls of running
/// requests need.
Test(RetryBudget, ReservesAQuarterForTheMostUrgent) {
  RetryBudget Budget({0.2, std::chrono::seconds(10), 0});
  TimePoint Now{std::chrono::seconds(5)};
  for (int Count = 0; Count < 1000; ++Count) {
    Budget.recordRequest("a", Now);
  }
  int LessUrgent = 0;
  while (Budget.tryConsume("a", Now, RetryUrgency::LessUrgent)) {
    ++LessUrgent;
  }
  int MostUrgent = 0;
  while (Budget.tryConsume("a", Now)) {
    ++MostUrgent;
  }
  cr_assert_eq(LessUrgent, 90);
  cr_assert_eq(MostUrgent, 30);
}
