#pragma once

#include "tests/integration/Mesh.h"

#include <string>

namespace hemlockspar {

/// What the kernel says of one process.
struct ProcessUsage {
  double CpuSeconds = 0;
  double ResidentMb = 0;
};

/// Reads the use of a process; zeros when it is gone.
ProcessUsage readProcessUsage(pid_t Pid);

/// A straight line through measured points.
struct FittedLine {
  double Intercept = 0;
  double Slope = 0;

  /// Root of the mean squared distance of the points from the line.
  double Residual = 0;
};

FittedLine fitLine(const std::vector<std::pair<double, double>> &Points);

/// Sum over the samples of a metric in a daemon's exposition text.
double readMetricSum(Mesh &Cluster, int Index, const std::string &Name);

/// Writes \p Report to bench/results/<Name>.json and prints it.
void writeReport(const std::string &Name, const Json::Value &Report);

} // namespace hemlockspar
