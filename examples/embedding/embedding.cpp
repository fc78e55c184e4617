#include "coordination/AdmissionQueue.h"
#include "coordination/LeaseHolder.h"
#include "coordination/Witness.h"

#include <iostream>
#include <map>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

/// A lease holder and three witnesses in one program: shows how renewals are
/// exchanged and when the lease ends.
void showLease() {
  Timing Times;
  TimePoint Now{std::chrono::hours(1)};

  LeaseRow Row;
  Row.Epoch = 1;
  Row.Witnesses = {{"a", 1}, {"b", 1}, {"c", 1}};
  constexpr RowVersion Version = 7;

  LeaseHolder Holder("holder", Times);
  Holder.adopt(Row, Version, Now);

  std::map<InstanceId, Witness> Witnesses;
  for (const WitnessRef &Reference : Row.Witnesses) {
    Witnesses.try_emplace(Reference.Instance, Reference.Instance,
                          Reference.Incarnation, Times, Now);
  }

  for (const Renewal &Due : Holder.renewalsDue(Now, Version)) {
    bool Accepted = Witnesses.at(Due.Witness).renew(Due.Request, Now);
    Holder.onRenewalReply(Due.Witness, Due.Request, {1, Accepted, Version},
                          Now);
  }

  std::cout << "lease held: " << (Holder.holds(Now) ? "yes" : "no")
            << ", after two seconds without renewals: "
            << (Holder.holds(Now + milliseconds(2000)) ? "yes" : "no") << "\n";
}

/// An admission queue for a server that runs two requests concurrently.
void showQueue() {
  TimePoint Now{std::chrono::hours(1)};
  ServiceTimeEstimator ServiceTimeEstimates;
  AdmissionQueue Queue(
      {2, 64}, ServiceTimeEstimates,
      makeDiscipline(QueueOrder::Classed, ServiceTimeEstimates));

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
