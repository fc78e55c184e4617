#include "core/Json.h"
#include "stand_ins/LoadGenerator.h"

#include <absl/strings/str_split.h>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(targets, "127.0.0.1:8080", "daemons, host:port, by commas");
DEFINE_string(keyspaces, "menus", "key spaces, by commas");
DEFINE_uint32(keys, 1000, "keys in each key space");
DEFINE_double(hot_share, 0, "share of requests to one key");
DEFINE_uint32(connections, 16, "connections");
DEFINE_double(rate, 0, "requests a second; 0: as fast as answers come");
DEFINE_double(surge_factor, 1, "the rate rises by this factor");
DEFINE_uint64(surge_at_ms, 0, "when the rate rises; 0: never");
DEFINE_uint64(length_ms, 5000, "length of the run");
DEFINE_uint64(short_work_us, 0, "run time of short requests");
DEFINE_uint64(long_work_us, 0, "run time of long requests");
DEFINE_double(long_share, 0, "share of long requests");
DEFINE_double(post_share, 0, "share of writes");
DEFINE_uint64(timeout_ms, 5000, "deadline of each request");
DEFINE_uint32(callers, 1, "callers that the connections stand for");
DEFINE_uint32(body_bytes, 0, "size of the body of a write");
DEFINE_uint64(seed, 1, "seed of all random choices");
DEFINE_bool(retry, false, "send requests that were not run again");

using namespace hemlockspar;

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("sends load and checks every answer");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);

  LoadOptions Options;
  for (const auto &Text : absl::StrSplit(FLAGS_targets, ',')) {
    Address Target;
    if (!Address::fromText(std::string(Text), Target)) {
      std::cerr << "--targets must be host:port, by commas\n";
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
  LoadGenerator Run(Io, Options);
  Run.start();
  Io.run();

  std::cout << writeJsonIndented(Run.result().toJson()) << "\n";
  return Run.result().Mismatched == 0 ? 0 : 1;
}
