#pragma once

#include "mesh/InstanceRow.h"
#include "mesh/MeshSettings.h"
#include "mesh/MeshView.h"

namespace hemlockspar {

/// What a report is worth.
enum class ReportVerdict {
  /// The newest word of the backend server here.
  Taken,
  /// Another report that is newer came before it.
  Older,
  /// Not from the backend server beside this daemon.
  Foreign,
};

/// Name of \p Verdict for logs.
const char *nameOf(ReportVerdict Verdict);

/// The backend server beside this daemon, as its reports and its answers show
/// it. Reports may come late, from a run that has crashed, or from elsewhere.
/// Free of I/O; lives as long as the process.
class LocalServer {
public:
  LocalServer(const MeshSettings &Config, const MeshView &View);

  ReportVerdict applyReport(const ServerReport &Report, TimePoint Now);

  /// It said that it stops; false when \p ServerId is not the one here.
  bool markLeaving(const std::string &ServerId, TimePoint Now);

  /// No process listens at its address.
  void onConnectionRefused();

  bool hasReport() const { return this->HasReport; }
  const ServerReport &lastReport() const { return this->LastReport; }
  ServerState state() const;

  /// Whether a request may be sent to it now.
  bool acceptsRequests(TimePoint Now) const;

  /// The service here: the backend server's, or the one that is expected.
  const std::string &service() const;

  /// What others are to know of it.
  InstanceRow toRow() const;

private:
  bool isForeign(const ServerReport &Report) const;
  bool isOlder(const ServerReport &Report) const;

  const MeshSettings &Config;
  const MeshView &View;
  ServerReport LastReport;
  bool HasReport = false;
  bool ConnectionRefused = false;

  /// When it first said that it stops.
  std::optional<TimePoint> LeavingSince;
};

} // namespace hemlockspar
