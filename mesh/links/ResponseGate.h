#pragma once

#include "mesh/Attempt.h"
#include "mesh/MeshMetrics.h"
#include "mesh/links/ResponseAdmission.h"
#include "net/Event.h"
#include "net/Http.h"

namespace hemlockspar {

/// Where responses to other daemons pass on their way to the link: refuses
/// requests whose response the link cannot carry in time, and holds large
/// responses back until it is their turn. Does nothing when the rate of the
/// link is not known.
class ResponseGate {
public:
  /// \p BytesPerSecond is the rate of the link, 0 when it is not known.
  ResponseGate(boost::asio::io_context &Io, double BytesPerSecond,
               const RouteResponses &Responses, MeshMetrics &Counters);

  ResponseGate(const ResponseGate &) = delete;
  ResponseGate &operator=(const ResponseGate &) = delete;

  /// Admits a request with \p Context, whose response is expected while
  /// \p Place exists; otherwise returns the refusal.
  std::optional<AttemptResult> admit(const AttemptContext &Context,
                                     ResponseAdmission::Reservation &Place);

  /// Returns when a response of \p Bytes may be written, or when its caller has
  /// disconnected.
  void waitForTurn(const AttemptContext &Context, std::uint64_t Bytes,
                   CallerWatch &Watch, const boost::asio::yield_context &Yield);

  /// How long the responses that wait or are expected will take.
  Duration backlog() const;

  /// The process ends soon: from \p Time on responses are held back no longer.
  void openAt(TimePoint Time);

private:
  bool isLimited() const { return this->Limited && !this->Opened; }
  void startDue();
  void open();

  MeshMetrics &Counters;
  bool Limited;
  bool Opened = false;
  boost::asio::io_context &Io;
  boost::asio::steady_timer Timer;
  boost::asio::steady_timer OpenTimer;
  ResponseQueue Queue;
  ResponseAdmission Admission;

  /// Set when the response with that number may leave.
  std::map<std::uint64_t, Event *> Waiters;
  std::uint64_t LastNumber = 0;
};

} // namespace hemlockspar
