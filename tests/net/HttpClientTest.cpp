#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>

using namespace hemlockspar;

namespace {

/// A server on a free port of the loopback address and a client, both on one
/// thread.
struct ClientFixture {
  ClientFixture()
      : Server(this->Io, {},
               [this](HttpRequest &, CallerWatch &,
                      const boost::asio::yield_context &) {
                 ++this->RequestsServed;
                 return HttpResponse(http::status::ok, 11);
               }),
        Client(this->Io, {}) {
    cr_assert(this->Server.listen({"127.0.0.1", 0}).ok());
  }

  ExchangeResult exchange(const ExchangeOptions &Options) {
    ExchangeResult Result;
    HttpRequest Request(http::verb::post, "/", 11);
    boost::asio::spawn(
        this->Io,
        [&](const boost::asio::yield_context &Yield) {
          Result = this->Client.exchange(this->Server.localAddress(), Request,
                                         Options, Yield);
          this->Io.stop();
        },
        boost::asio::detached);
    this->Io.restart();
    this->Io.run();
    return Result;
  }

  boost::asio::io_context Io;
  int RequestsServed = 0;
  HttpServer Server;
  HttpClient Client;
};

TimePoint oneMinuteFromNow() {
  return BootClock::now() + std::chrono::minutes(1);
}

} // namespace

/// A process that is suspended between the decision to send and the write must
/// not send the request after SendBefore.
Test(HttpClient, DoesNotSendAfterSendBefore) {
  ClientFixture Fixture;
  ExchangeOptions Options = {.Deadline = oneMinuteFromNow(),
                             .SendBefore = BootClock::now()};

  // The first attempt opens a connection, the second reuses it.
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    cr_assert_eq(Fixture.exchange(Options).Outcome, ExchangeOutcome::TooLate);
  }
  cr_assert_eq(Fixture.RequestsServed, 0);

  Options.SendBefore = oneMinuteFromNow();
  cr_assert_eq(Fixture.exchange(Options).Outcome, ExchangeOutcome::Answered);
  cr_assert_eq(Fixture.RequestsServed, 1);
}
