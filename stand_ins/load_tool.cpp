#include "core/Json.h"
#include "stand_ins/LoadGenerator.h"

#include <absl/strings/str_split.h>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(targets, "127.0.0.1:8080",
              "comma-separated host:port of the daemons");
DEFINE_string(keyspaces, "menus", "comma-separated key spaces");
DEFINE_uint32(keys, 1000, "keys in each key space");
DEFINE_double(hot_share, 0, "share of requests to one hot key");
DEFINE_uint32(connections, 16, "number of connections without --rate");
DEFINE_double(rate, 0,
              "requests per second; 0: next request after each response");
DEFINE_double(surge_factor, 1, "factor on the rate from --surge_at_ms on");
DEFINE_uint64(surge_at_ms, 0, "start of the surge in ms; 0: no surge");
DEFINE_uint64(length_ms, 5000, "length of the run in ms");
DEFINE_uint64(short_work_us, 0, "service time of short requests in us");
DEFINE_uint64(long_work_us, 0, "service time of long requests in us");
DEFINE_double(long_share, 0, "share of long requests");
DEFINE_double(post_share, 0, "share of writes");
DEFINE_uint64(timeout_ms, 5000, "timeout of each request in ms");
DEFINE_uint32(callers, 1, "number of different callers");
DEFINE_uint32(body_bytes, 0, "minimum body size of a write in bytes");
DEFINE_uint64(seed, 1, "seed of all random choices");
DEFINE_bool(retry, false, "send requests again that were not executed");

using namespace hemlockspar;

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("generates load and checks every response");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);

  LoadOptions Options;
  for (const auto &TargetText : absl::StrSplit(FLAGS_targets, ',')) {
    Address Target;
    if (!Address::fromText(std::string(TargetText), Target)) {
      std::cerr << "--targets must be a comma-separated list of host:port\n";
      return 2;
    }
    Options.Targets.push_back(Target);
  }
  Options.Keyspaces = absl::StrSplit(FLAGS_keyspaces, ',');
  Options.Keys = FLAGS_keys;
  Options.HotShare = FLAGS_hot_share;
  Options.Connections = FLAGS_connections;
  Options.Rate = FLAGS_rate;
  Options.SurgeFactor = FLAGS_surge_factor;
  Options.SurgeAt = std::chrono::milliseconds(FLAGS_surge_at_ms);
  Options.Length = std::chrono::milliseconds(FLAGS_length_ms);
  Options.ShortWorkUs = FLAGS_short_work_us;
  Options.LongWorkUs = FLAGS_long_work_us;
  Options.LongShare = FLAGS_long_share;
  Options.PostShare = FLAGS_post_share;
  Options.TimeoutMs = FLAGS_timeout_ms;
  Options.Callers = FLAGS_callers;
  Options.BodyBytes = FLAGS_body_bytes;
  Options.Seed = FLAGS_seed;
  Options.RetryNotRun = FLAGS_retry;

  boost::asio::io_context Io(1);
  LoadGenerator Generator(Io, Options);
  Generator.start();
  Io.run();

  std::cout << writeJsonIndented(Generator.result().toJson()) << "\n";
  return Generator.result().Mismatched == 0 ? 0 : 1;
}
