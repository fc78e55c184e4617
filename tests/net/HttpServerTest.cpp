#include "net/HttpServer.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

using namespace hemlockspar;
namespace asio = boost::asio;

namespace {

/// A server whose event loop is run step by step, and callers with blocking
/// sockets, so that a test can distinguish data that has arrived from data that
/// the server has read.
struct DrainFixture {
  DrainFixture()
      : Server(
            this->Io, {},
            [this](HttpRequest &, CallerWatch &, const asio::yield_context &) {
              ++this->RequestsServed;
              return HttpResponse(http::status::ok, 11);
            }) {
    cr_assert(this->Server.listen({"127.0.0.1", 0}).ok());
  }

  asio::ip::tcp::socket connect() {
    boost::system::error_code Error;
    asio::ip::tcp::socket Caller(this->CallerIo);
    Caller.connect(this->Server.localAddress().toEndpoint(Error));
    return Caller;
  }

  static void sendRequest(asio::ip::tcp::socket &Caller) {
    asio::write(Caller, asio::buffer(std::string_view(
                            "GET / HTTP/1.1\r\nHost: test\r\n\r\n")));
  }

  /// The head of the next response; empty when the connection ends without one.
  static std::string readHead(asio::ip::tcp::socket &Caller) {
    asio::streambuf Text;
    boost::system::error_code Error;
    asio::read_until(Caller, Text, "\r\n\r\n", Error);
    return {asio::buffers_begin(Text.data()), asio::buffers_end(Text.data())};
  }

  /// Runs all handlers that are ready.
  void runReady() {
    this->Io.restart();
    while (this->Io.poll() > 0) {
    }
  }

  /// Runs until no work is left.
  void runUntilIdle() {
    this->Io.restart();
    this->Io.run();
  }

  asio::io_context Io;
  asio::io_context CallerIo;
  int RequestsServed = 0;
  HttpServer Server;
};

} // namespace

/// Draining must not drop a request that has reached the machine but has not
/// been read yet.
Test(HttpServer, DrainAnswersReceivedRequests) {
  DrainFixture Fixture;
  asio::ip::tcp::socket Caller = Fixture.connect();
  DrainFixture::sendRequest(Caller);
  Fixture.runReady();
  cr_assert(DrainFixture::readHead(Caller).starts_with("HTTP/1.1 200"));

  DrainFixture::sendRequest(Caller);
  Fixture.Server.drain();
  Fixture.runUntilIdle();
  std::string Head = DrainFixture::readHead(Caller);
  cr_assert(Head.starts_with("HTTP/1.1 200"), "%s", Head.c_str());
  cr_assert(Head.find("Connection: close") != std::string::npos);
  cr_assert_eq(Fixture.RequestsServed, 2);
}

/// Draining must not drop requests on connections that still wait to be
/// accepted, since these look open to their callers.
Test(HttpServer, DrainAcceptsPendingConnections) {
  DrainFixture Fixture;
  asio::ip::tcp::socket First = Fixture.connect();
  asio::ip::tcp::socket Second = Fixture.connect();
  DrainFixture::sendRequest(First);
  DrainFixture::sendRequest(Second);

  Fixture.Server.drain();
  Fixture.runUntilIdle();
  for (asio::ip::tcp::socket *Caller : {&First, &Second}) {
    cr_assert(DrainFixture::readHead(*Caller).starts_with("HTTP/1.1 200"));
  }
}

/// Draining must not close a connection that was accepted just before and sends
/// its first request just after.
Test(HttpServer, DrainWaitsForFirstRequests) {
  DrainFixture Fixture;
  asio::ip::tcp::socket Caller = Fixture.connect();
  Fixture.runReady();
  Fixture.Server.drain();
  Fixture.runReady();

  DrainFixture::sendRequest(Caller);
  Fixture.runUntilIdle();
  cr_assert(DrainFixture::readHead(Caller).starts_with("HTTP/1.1 200"));
}

/// Idle connections are closed at once, those that never carried a request a
/// short time later, and the server finishes.
Test(HttpServer, DrainClosesIdleConnections) {
  DrainFixture Fixture;
  asio::ip::tcp::socket Used = Fixture.connect();
  asio::ip::tcp::socket Unused = Fixture.connect();
  DrainFixture::sendRequest(Used);
  Fixture.runReady();
  cr_assert(DrainFixture::readHead(Used).starts_with("HTTP/1.1 200"));

  Fixture.Server.drain();
  Fixture.runReady();
  cr_assert(DrainFixture::readHead(Used).empty());
  Fixture.runUntilIdle();
  cr_assert(DrainFixture::readHead(Unused).empty());
  cr_assert_eq(Fixture.Server.connectionCount(), 0);
}

/// An unexpected error in the handling of one request must end neither the
/// process nor other requests: its caller is told, and the next one is served.
Test(HttpServer, UnexpectedErrorEndsOneRequestOnly) {
  asio::io_context Io;
  int Requests = 0;
  HttpServer Server(
      Io, {}, [&](HttpRequest &, CallerWatch &, const asio::yield_context &) {
        if (++Requests == 1) {
          throw std::out_of_range("unexpected");
        }
        return HttpResponse(http::status::ok, 11);
      });
  cr_assert(Server.listen({"127.0.0.1", 0}).ok());
  asio::io_context CallerIo;
  auto Send = [&] {
    boost::system::error_code Error;
    asio::ip::tcp::socket Caller(CallerIo);
    Caller.connect(Server.localAddress().toEndpoint(Error));
    DrainFixture::sendRequest(Caller);
    Io.restart();
    Io.run_for(std::chrono::milliseconds(200));
    return DrainFixture::readHead(Caller);
  };
  cr_assert(Send().starts_with("HTTP/1.1 500"));
  cr_assert(Send().starts_with("HTTP/1.1 200"));
  cr_assert_eq(Server.activeRequestCount(), 0);
}

/// A process that is short of processor time finds a request together with the
/// end of its connection: the handler must learn at once that its caller has
/// gone, before it sends the request on.
Test(HttpServer, CallerThatLeftBeforeItsRequestWasReadIsGone) {
  asio::io_context Io;
  int Gone = 0;
  HttpServer Server(
      Io, {},
      [&](HttpRequest &, CallerWatch &Watch, const asio::yield_context &) {
        Gone += Watch.isGone() ? 1 : 0;
        return HttpResponse(http::status::ok, 11);
      });
  cr_assert(Server.listen({"127.0.0.1", 0}).ok());
  asio::io_context CallerIo;
  for (bool Leaves : {true, false}) {
    boost::system::error_code Error;
    asio::ip::tcp::socket Caller(CallerIo);
    Caller.connect(Server.localAddress().toEndpoint(Error));
    DrainFixture::sendRequest(Caller);
    if (Leaves) {
      Caller.close();
    }
    Io.restart();
    Io.run_for(std::chrono::milliseconds(200));
  }
  cr_assert_eq(Gone, 1);
}

/// A request whose transfer coding is not known must not have its body read as
/// a request of its own (UNASKED).
Test(HttpServer, BodyOfUnknownCodingIsNoRequest) {
  asio::io_context Io;
  std::vector<std::string> Served;
  HttpServer Server(Io, {},
                    [&](HttpRequest &Request, CallerWatch &, const auto &) {
                      Served.emplace_back(Request.target());
                      return HttpResponse(http::status::ok, 11);
                    });
  cr_assert(Server.listen({"127.0.0.1", 0}).ok());
  asio::io_context CallerIo;
  const std::string Hidden = "GET /hidden HTTP/1.1\r\nHost: test\r\n\r\n";
  for (const char *Coding : {"gzip", "identity", "chunked, gzip", "xchunked"}) {
    boost::system::error_code Error;
    asio::ip::tcp::socket Caller(CallerIo);
    Caller.connect(Server.localAddress().toEndpoint(Error));
    asio::write(Caller,
                asio::buffer("POST / HTTP/1.1\r\nHost: test\r\n"
                             "Transfer-Encoding: " +
                             std::string(Coding) + "\r\n\r\n" + Hidden));
    Io.restart();
    Io.run_for(std::chrono::milliseconds(100));
    cr_assert(DrainFixture::readHead(Caller).starts_with("HTTP/1.1 400"),
              "accepted %s", Coding);
  }
  cr_assert(Served.empty(), "served %s", Served.front().c_str());
}
