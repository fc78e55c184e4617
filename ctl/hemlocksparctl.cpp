#include "ctl/Commands.h"
#include "daemon/Version.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(api, "127.0.0.1:8083", "API address of any daemon");
DEFINE_string(output, "table", "table or json");

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(hemlockspar::CommandsHelp);
  gflags::SetVersionString(hemlockspar::ProductVersion);
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);

  hemlockspar::Address Api;
  if (!hemlockspar::Address::fromText(FLAGS_api, Api)) {
    std::cerr << "--api must be an address and a port, such as "
                 "127.0.0.1:8083\n";
    return 2;
  }

  auto Format = FLAGS_output == "json" ? hemlockspar::OutputFormat::Json
                                       : hemlockspar::OutputFormat::Table;
  hemlockspar::Commands Client(Api, Format, std::cout);
  absl::Status Result = Client.run(
      std::vector<std::string>(Arguments + 1, Arguments + ArgumentCount));

  if (!Result.ok()) {
    std::cerr << Result.message() << "\n";
    return 1;
  }
  return 0;
}
