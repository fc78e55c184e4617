#pragma once

#include "tests/mesh/PlatformMesh.h"

#include <atomic>
#include <random>
#include <thread>

namespace hemlockspar {

/// What became of one request, as its caller saw it.
struct SoakCall {
  std::string Id;
  int Daemon = 0;
  bool OnceOnly = false;

  /// 0 when no answer came.
  unsigned Status = 0;

  /// No connection came about.
  bool NotSent = false;

  /// An answer is this request's own.
  bool Own = true;
  TimePoint SentAt;
  TimePoint EndedAt;
};

/// Callers on threads of their own, some beside each daemon, that send one
/// request after the other on connections that they keep open until these are
/// closed. Half of the requests are for keys, half once only.
class SoakCallers {
public:
  SoakCallers(const PlatformMesh &Mesh, std::uint32_t Seed);
  ~SoakCallers();

  SoakCallers(const SoakCallers &) = delete;
  SoakCallers &operator=(const SoakCallers &) = delete;

  void start(int EachDaemon);

  /// Ends all callers and returns what they saw.
  std::vector<SoakCall> finish();

private:
  void run(int Daemon, int Number);
  SoakCall send(BlockingClient &Client, int Daemon, const std::string &Id,
                std::mt19937 &Random) const;

  const PlatformMesh &Mesh;
  std::uint32_t Seed;
  std::atomic<bool> Stopping = false;
  std::vector<std::thread> Threads;
  std::mutex Guard;
  std::vector<SoakCall> Calls;
};

} // namespace hemlockspar
