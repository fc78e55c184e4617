#include "coordination/AdmissionQueue.h"
#include "coordination/LeaseHolder.h"
#include "coordination/Witness.h"

#include <iostream>
#include <map>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

/// A holder and three witnesses in one program: shows how renewals travel and
/// when the lease ends.
void showLease() {
  Timing Times;
  TimePoint Now{std::chrono::hours(1)};

  LeaseRow Row;
  Row.Epoch = 1;
  Row.Witnesses = {{"a", 1}, {"b", 1}, {"c", 1}};
  constexpr RowVersion Version = 7;

  LeaseHolder Holder("holder", Times);
  Holder.adopt(Row, Version, Now);

  std::map<InstanceId, Witness> Judges;
  for (const WitnessRef &Named : Row.Witnesses) {
    Judges.try_emplace(Named.Instance, Named.Instance, Named.Incarnation, Times,
                       Now);
  }

  for (const Renewal &Due : Holder.renewalsDue(Now, Version)) {
    bool Accepted = Judges.at(Due.Witness).renew(Due.Request, Now);
    Holder.onRenewalReply(Due.Witness, Due.Request, {1, Accepted, Version},
                          Now);
  }

  std::cout << "lease held: " << (Holder.holds(Now) ? "yes" : "no")
            << ", after two seconds without renewals: "
            << (Holder.holds(Now + milliseconds(2000)) ? "yes" : "no") << "\n";
}

/// A queue for a server that runs two requests at once.
void showQueue() {
  TimePoint Now{std::chrono::hours(1)};
  ServiceTimeEstimator Learned;
  AdmissionQueue Queue({2, 64}, Learned,
                       makeDiscipline(QueueOrder::Classed, Learned));

  for (RequestNumber Number = 1; Number <= 3; ++Number) {
    Queue.offer({Number, "GET stock", "caller", Now, TimePoint::max()}, Now);
  }
  for (const AdmissionDecision &Decision : Queue.poll(Now)) {
    std::cout << "request " << Decision.Request << ": "
              << nameOf(Decision.Verdict) << "\n";
  }
  std::cout << "waiting: " << Queue.waiting() << "\n";
}

} // namespace

int main() {
  showLease();
  showQueue();
  return 0;
}
