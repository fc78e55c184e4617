#include "core/Log.h"
#include "stand_ins/FaultProxy.h"

#include <absl/strings/str_split.h>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(control, "127.0.0.1:7200",
              "address of the HTTP interface that sets faults");
DEFINE_string(links, "", "comma-separated list of listen=target");

using namespace hemlockspar;

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("forwards TCP connections and injects faults");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  startLogging("warn");
  std::signal(SIGPIPE, SIG_IGN);

  boost::asio::io_context Io(1);
  FaultProxy Proxy(Io);

  Address Control;
  if (!Address::fromText(FLAGS_control, Control)) {
    std::cerr << "--control must be host:port\n";
    return 2;
  }
  absl::Status Started = Proxy.listenForControl(Control);

  for (const auto &Link : absl::StrSplit(FLAGS_links, ',', absl::SkipEmpty())) {
    std::vector<std::string> Ends = absl::StrSplit(Link, '=');
    Address Listen;
    Address Target;
    bool Valid = Ends.size() == 2 && Address::fromText(Ends[0], Listen) &&
                 Address::fromText(Ends[1], Target);
    if (!Valid) {
      std::cerr
          << "--links must be a comma-separated list of host:port=host:port\n";
      return 2;
    }
    Started.Update(Proxy.forward(Listen, Target));
  }

  if (!Started.ok()) {
    std::cerr << Started.message() << "\n";
    return 1;
  }
  Io.run();
  return 0;
}
