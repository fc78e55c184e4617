// A backend server of a case in a process of its own, so that it can be killed
// and started again. SIGUSR1 makes it report that it is draining.

#include "review/harness-3/Backend.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

using namespace hemlockspar;
using namespace hemlockspar::review3;

namespace {

constexpr int WordCount = 8;

} // namespace

int main(int Count, char **Words) {
  if (Count != WordCount) {
    std::cerr << "usage: backend_3 RECORD ID SERVICE ADDRESS DAEMON RUN_MS "
                 "CLOCK_AHEAD_MS\n";
    return 2;
  }
  Backend::Config Config;
  Config.Id = Words[2];
  Config.Service = Words[3];
  Config.Zone = "z";
  bool Valid = Address::fromText(Words[4], Config.At) &&
               Address::fromText(Words[5], Config.Daemon);
  Config.RunTime = std::chrono::milliseconds(std::stol(Words[6]));
  Config.ClockAhead = std::chrono::milliseconds(std::stol(Words[7]));
  Config.Keyed = Config.Service == "menus";
  if (!Valid) {
    return 2;
  }

  boost::asio::io_context Io;
  Ledger Book(Words[1], true);
  Backend Server(Io, Config, Book);
  if (!Server.start().ok()) {
    return 2;
  }
  Book.note(
      absl::StrCat("backend ", Config.Id, " started, born ", Server.bornAt()));
  boost::asio::signal_set Signals(Io, SIGUSR1);
  Signals.async_wait([&](const boost::system::error_code &Error, int) {
    if (!Error) {
      Book.note(absl::StrCat("backend ", Config.Id, " is to leave"));
      Server.startDraining();
    }
  });
  Io.run();
}
