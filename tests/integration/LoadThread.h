#pragma once

#include "stand_ins/LoadGenerator.h"

#include <thread>

namespace hemlockspar {

/// Generates load on its own thread while a test runs.
class LoadThread {
public:
  explicit LoadThread(const LoadOptions &Options) : Generator(Io, Options) {
    this->Generator.start();
    this->Thread = std::thread([this] { this->Io.run(); });
  }

  ~LoadThread() {
    if (this->Thread.joinable()) {
      this->Thread.join();
    }
  }

  /// Waits for the load run to end.
  LoadResult &finish() {
    this->Thread.join();
    return this->Generator.result();
  }

private:
  boost::asio::io_context Io{1};
  LoadGenerator Generator;
  std::thread Thread;
};

} // namespace hemlockspar
