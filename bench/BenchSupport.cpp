#include "bench/BenchSupport.h"

#include "core/Json.h"

#include <cmath>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace hemlockspar {

namespace {

constexpr double BytesPerMb = 1 << 20;

} // namespace

ProcessUsage readProcessUsage(pid_t Pid) {
  ProcessUsage Usage;
  std::string Root = "/proc/" + std::to_string(Pid);
  std::ifstream Stat(Root + "/stat");
  std::string Text;
  std::getline(Stat, Text);

  // Skips the command name, which ends with ") " and may contain spaces.
  std::size_t Start = Text.rfind(") ");
  if (Start == std::string::npos) {
    return Usage;
  }
  std::istringstream Fields(Text.substr(Start + 2));
  std::string Skipped;
  for (int Field = 0; Field < 11; ++Field) {
    Fields >> Skipped;
  }
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  Usage.CpuSeconds = (User + System) / double(sysconf(_SC_CLK_TCK));

  std::ifstream Memory(Root + "/statm");
  double Total = 0;
  double Resident = 0;
  Memory >> Total >> Resident;
  Usage.ResidentMb = Resident * double(sysconf(_SC_PAGESIZE)) / BytesPerMb;
  return Usage;
}

FittedLine fitLine(const std::vector<std::pair<double, double>> &Points) {
  double Count = double(Points.size());
  double SumX = 0;
  double SumY = 0;
  double SumXx = 0;
  double SumXy = 0;
  for (const auto &[X, Y] : Points) {
    SumX += X;
    SumY += Y;
    SumXx += X * X;
    SumXy += X * Y;
  }

  FittedLine Line;
  double Spread = Count * SumXx - SumX * SumX;
  Line.Slope = Spread == 0 ? 0 : (Count * SumXy - SumX * SumY) / Spread;
  Line.Intercept = Count == 0 ? 0 : (SumY - Line.Slope * SumX) / Count;

  double Squares = 0;
  for (const auto &[X, Y] : Points) {
    double Distance = Y - (Line.Intercept + Line.Slope * X);
    Squares += Distance * Distance;
  }
  Line.Residual = Count == 0 ? 0 : std::sqrt(Squares / Count);
  return Line;
}

double readMetricSum(Mesh &Cluster, int Index, const std::string &Name) {
  BlockingClient Client;
  ExchangeResult Exchange = Client.get(Cluster.apiAddress(Index), "/metrics",
                                       std::chrono::seconds(5));
  std::istringstream Lines(Exchange.Response.body());
  std::string Line;
  double Sum = 0;

  while (std::getline(Lines, Line)) {
    bool Matches = Line.starts_with(Name + " ") || Line.starts_with(Name + "{");
    if (Matches) {
      Sum += std::stod(Line.substr(Line.rfind(' ') + 1));
    }
  }
  return Sum;
}

void writeReport(const std::string &Name, const Json::Value &Report) {
  std::filesystem::create_directories("bench/results");
  std::ofstream File("bench/results/" + Name + ".json");
  File << writeJsonIndented(Report) << "\n";
  std::cout << writeJsonIndented(Report) << "\n";
}

} // namespace hemlockspar
