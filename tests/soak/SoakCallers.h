#pragma once

#include "tests/mesh/PlatformMesh.h"

#include <atomic>
#include <random>
#include <thread>

namespace hemlockspar {

/// Result of one request as its caller observed it.
struct SoakCall {
  std::string Id;
  int Daemon = 0;
  /// A request that must not be executed more than once.
  bool AtMostOnce = false;

  /// HTTP status; 0 if no answer arrived.
  unsigned Status = 0;

  /// No connection could be opened, so the request was not sent.
  bool NotSent = false;

  /// Whether the answer, if any, carries this request's id.
  bool AnswerMatches = true;
  TimePoint SentAt;
  TimePoint EndedAt;
};

/// Callers that send requests one after another over keep-alive connections.
/// Each caller runs on its own thread and uses one daemon. About half of the
/// requests are for random keys; the others must run at most once.
class SoakCallers {
public:
  SoakCallers(const PlatformMesh &Mesh, std::uint32_t Seed);
  ~SoakCallers();

  SoakCallers(const SoakCallers &) = delete;
  SoakCallers &operator=(const SoakCallers &) = delete;

  void start(int CallersPerDaemon);

  /// Stops all callers and returns the results of their requests.
  std::vector<SoakCall> finish();

private:
  void run(int Daemon, int CallerIndex);
  SoakCall send(BlockingClient &Client, int Daemon, const std::string &Id,
                std::mt19937 &Random) const;

  const PlatformMesh &Mesh;
  std::uint32_t Seed;
  std::atomic<bool> Stopping = false;
  std::vector<std::thread> Threads;
  std::mutex Mutex;
  std::vector<SoakCall> Calls;
};

} // namespace hemlockspar
