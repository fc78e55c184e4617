#include "core/Log.h"
#include "stand_ins/FakeBackendServer.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(name, "backend", "server name in the records");
DEFINE_string(service, "menus", "service of the server");
DEFINE_string(listen, "127.0.0.1:7100", "address to listen on");
DEFINE_string(advertise, "", "address to announce; that of --listen if empty");
DEFINE_string(daemon, "", "API address of the local daemon");
DEFINE_uint32(capacity, 6, "maximum number of concurrent requests");
DEFINE_bool(checks_grants, true, "reject requests with stale grants");
DEFINE_uint64(max_run_ms, 0,
              "longest run in ms, for servers that do not check grants");
DEFINE_uint64(work_us, 1000,
              "service time in us of a request that states none");
DEFINE_double(cold_factor, 1, "factor on service times during the cold start");
DEFINE_uint64(cold_ms, 0, "length of the cold start in ms");
DEFINE_bool(sheds, false, "reject requests beyond the capacity");
DEFINE_uint64(health_lag_ms, 0,
              "delay in ms of the state that health responses show");
DEFINE_string(record, "", "file to which each executed request is appended");

using namespace hemlockspar;

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("fake backend server for tests");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  startLogging("warn");
  std::signal(SIGPIPE, SIG_IGN);

  BackendOptions Options;
  Options.Name = FLAGS_name;
  Options.Service = FLAGS_service;
  Options.Capacity = FLAGS_capacity;
  Options.ChecksGrants = FLAGS_checks_grants;
  Options.MaxRunMs = FLAGS_max_run_ms;
  Options.DefaultServiceTime = std::chrono::microseconds(FLAGS_work_us);
  Options.ColdStartFactor = FLAGS_cold_factor;
  Options.ColdStartTime = std::chrono::milliseconds(FLAGS_cold_ms);
  Options.ShedsLoad = FLAGS_sheds;
  Options.HealthLag = std::chrono::milliseconds(FLAGS_health_lag_ms);
  Options.RecordPath = FLAGS_record;

  bool Valid =
      Address::fromText(FLAGS_listen, Options.Listen) &&
      (FLAGS_advertise.empty() ||
       Address::fromText(FLAGS_advertise, Options.Advertised)) &&
      (FLAGS_daemon.empty() || Address::fromText(FLAGS_daemon, Options.Daemon));
  if (!Valid) {
    std::cerr << "--listen, --advertise and --daemon must be host:port\n";
    return 2;
  }

  boost::asio::io_context Io(1);
  FakeBackendServer Server(Io, Options);
  absl::Status Started = Server.start();
  if (!Started.ok()) {
    std::cerr << Started.message() << "\n";
    return 1;
  }
  Io.run();
  return 0;
}
