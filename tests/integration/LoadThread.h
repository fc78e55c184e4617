#pragma once

#include "stand_ins/LoadGenerator.h"

#include <thread>

namespace hemlockspar {

/// A load run on a thread of its own, beside a test's actions.
class LoadThread {
public:
  explicit LoadThread(const LoadOptions &Options) : Run(Io, Options) {
    this->Run.start();
    this->Runner = std::thread([this] { this->Io.run(); });
  }

  ~LoadThread() {
    if (this->Runner.joinable()) {
      this->Runner.join();
    }
  }

  /// Waits for the end of the run.
  LoadResult &finish() {
    this->Runner.join();
    return this->Run.result();
  }

private:
  boost::asio::io_context Io{1};
  LoadGenerator Run;
  std::thread Runner;
};

} // namespace hemlockspar
