#pragma once

#include "mesh/InstanceRow.h"
#include "mesh/MeshSettings.h"
#include "mesh/MeshView.h"
#include "mesh/placement/ColdStartLimiter.h"

namespace hemlockspar {

/// Result of checking a report.
enum class ReportVerdict {
  /// The newest report of the local backend server.
  Taken,
  /// A newer report was received before it.
  Older,
  /// Not from the local backend server.
  Foreign,
  /// It is not known yet what earlier processes of this instance have
  /// acknowledged.
  Premature,
};

const char *nameOf(ReportVerdict Verdict);

/// State of the local backend server, as derived from its reports and
/// responses. Reports may arrive late, from a process that has crashed, or from
/// another host. Performs no I/O; lives as long as the process.
class LocalServer {
public:
  LocalServer(const MeshSettings &Config, const MeshView &View);

  /// What earlier processes of this instance have acknowledged is known, and
  /// reports are applied from now on. \p Own is the row that they have written,
  /// and \p Left the newest backend server that is known to have departed here.
  void recover(const InstanceRow *Own,
               const std::optional<ServerIncarnation> &Left);
  bool isRecovered() const { return this->Recovered; }

  ReportVerdict applyReport(const ServerReport &Report, TimePoint Now);

  /// The server announced its shutdown. Returns false when \p ServerId is not
  /// the current local backend server.
  bool markLeaving(const std::string &ServerId, TimePoint Now);

  /// Its address refused a connection.
  void onConnectionRefused(TimePoint Now);

  bool hasReport() const { return this->HasReport; }

  /// Before the first report: what earlier processes have written of it.
  const ServerReport &lastReport() const { return this->LastReport; }

  /// Whether there is a state to publish.
  bool hasRow() const { return this->HasReport || this->LeavingSince; }
  ServerState state() const;

  /// Returns whether requests may be sent to it at \p Now.
  bool acceptsRequests(TimePoint Now) const;

  /// Until when it is cold, as far as known; the end of time while only a later
  /// report can tell.
  TimePoint coldUntil() const { return this->ColdUntil; }

  /// Evidence that it may have become cold unnoticed: it counts as cold until a
  /// report says otherwise that was made after \p Now.
  void assumeCold(TimePoint Now);

  /// The server \p ServerId, asked at \p AskedAt, said at \p Now that it
  /// stays cold for \p ColdLeft.
  void onColdStated(const std::string &ServerId, Duration ColdLeft,
                    TimePoint AskedAt, TimePoint Now);

  /// Whether operators ask for the evacuation of its data centre.
  bool isEvacuated() const {
    return this->View.isEvacuated(this->Config.DataCenter);
  }

  /// Whether requests of the route \p RouteName may be served in its region.
  bool isHomeOf(const std::string &RouteName) const;

  /// The service of the backend server or, before its first report, the
  /// configured one.
  const std::string &service() const;

  /// The row that describes it to other instances.
  InstanceRow toRow() const;

private:
  bool isForeign(const ServerReport &Report) const;
  bool isOlder(const ServerReport &Report) const;
  bool mayPrecedeEvidence(const ServerReport &Report) const;
  void setFirstSequenceAfterEvidence(TimePoint Now);
  TimePoint coldUntilAfter(const ServerReport &Report, TimePoint Now) const;

  const MeshSettings &Config;
  const MeshView &View;
  ServerReport LastReport;
  bool HasReport = false;
  bool ConnectionRefused = false;
  TimePoint ColdUntil = NeverCold;

  /// Reports of the current incarnation before this one may have been made
  /// before the latest evidence that the server is cold.
  std::uint64_t FirstSequenceAfterEvidence = 0;
  TimePoint AssumedColdAt;
  TimePoint LastReportAt;

  bool Recovered = false;

  /// When it first announced its shutdown; the earliest time when that was to
  /// an earlier process.
  std::optional<TimePoint> LeavingSince;
};

} // namespace hemlockspar
