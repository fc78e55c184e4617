#include "ctl/Commands.h"
#include "net/HttpServer.h"
#include "stand_ins/HeadFault.h"

#include <criterion/criterion.h>
#include <sstream>
#include <thread>

using namespace hemlockspar;

/// A daemon's malformed response was printed like a proper one.
Test(Commands, MalformedResponsePrinted) {
  boost::asio::io_context Io;
  HeadFault Fault = HeadFault::None;
  HttpServer Server(
      Io, {},
      [&](HttpRequest &, CallerWatch &, const boost::asio::yield_context &) {
        Json::Value Body;
        Body["items"] = Json::Value(Json::arrayValue);
        HttpResponse Response = jsonResponse(http::status::ok, Body);
        malformHead(Response, Fault);
        return Response;
      });
  cr_assert(Server.listen({"127.0.0.1", 0}).ok());
  std::ostringstream Out;
  Commands Client(Server.localAddress(), OutputFormat::Json, Out);

  auto Run = [&] {
    std::thread Serving([&] {
      Io.restart();
      Io.run();
    });
    absl::Status Status = Client.run({"get", "keyspaces"});
    Io.stop();
    Serving.join();
    return Status;
  };
  cr_assert(Run().ok());
  Out.str("");
  for (HeadFault Each : HeadFaults) {
    Fault = Each;
    cr_assert(absl::IsUnavailable(Run()), "%s", nameOf(Each));
    cr_assert(Out.str().empty(), "%s", Out.str().c_str());
  }
}
