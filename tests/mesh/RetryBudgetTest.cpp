#include "mesh/RetryBudget.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

/// Over all instances and any window, repeats stay below the operator's bound.
Test(RetryBudget, AllInstancesTogetherKeepTheBound) {
  cr_assert(rc::check([] {
    RetryBudget::Limits Terms;
    Terms.Allowance = *rc::gen::inRange(0, 60);
    int Count = *rc::gen::inRange(1, 20);
    std::vector<RetryBudget> Budgets(Count, RetryBudget(Terms));
    std::deque<TimePoint> Requests;
    std::deque<TimePoint> Repeats;
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
        Repeats.push_back(Now);
      }
      for (auto *Times : {&Requests, &Repeats}) {
        while (!Times->empty() && Times->front() < Now - Terms.Window) {
          Times->pop_front();
        }
      }
      double Most = Terms.Share * double(Requests.size()) + Terms.Allowance;
      RC_ASSERT(double(Repeats.size()) <= Most);
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
