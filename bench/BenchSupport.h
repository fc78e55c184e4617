#pragma once

#include "tests/integration/Mesh.h"

#include <string>

namespace hemlockspar {

/// Resource usage of a process, as the kernel reports it.
struct ProcessUsage {
  double CpuSeconds = 0;
  double ResidentMb = 0;
};

/// Reads the usage of process \p Pid; zeros if it does not exist.
ProcessUsage readProcessUsage(pid_t Pid);

/// Least-squares line through measured points.
struct FittedLine {
  double Intercept = 0;
  double Slope = 0;

  /// Root mean square of the vertical distances of the points from the line.
  double Residual = 0;
};

FittedLine fitLine(const std::vector<std::pair<double, double>> &Points);

/// Sum of all samples of the metric \p Name in the /metrics text of daemon \p
/// Index.
double readMetricSum(Mesh &Cluster, int Index, const std::string &Name);

/// Writes \p Report to bench/results/<Name>.json and prints it.
void writeReport(const std::string &Name, const Json::Value &Report);

} // namespace hemlockspar
