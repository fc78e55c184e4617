#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// What was sent, answered and run, one line an event, with the milliseconds
/// since the start.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {}

  void write(const std::string &Line) {
    std::lock_guard Lock(this->Mutex);
    this->File << this->elapsed() << " " << Line << std::endl;
  }

  long long elapsed() const {
    return std::chrono::duration_cast<Milliseconds>(Clock::now() -
                                                    this->StartedAt)
        .count();
  }

private:
  Clock::time_point StartedAt = Clock::now();
  std::mutex Mutex;
  std::ofstream File;
};

} // namespace review
