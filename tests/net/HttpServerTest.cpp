#include "net/HttpServer.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

using namespace hemlockspar;
namespace asio = boost::asio;

namespace {

/// A server whose loop runs only when told, and callers whose sockets block:
/// what has arrived at the server, and what it has read of it, are two things
/// here that a test can tell apart.
struct DrainWorld {
  DrainWorld()
      : Server(
            this->Io, {},
            [this](HttpRequest &, CallerWatch &, const asio::yield_context &) {
              ++this->Served;
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

  /// The head of the next answer; empty when the connection ends without one.
  static std::string readHead(asio::ip::tcp::socket &Caller) {
    asio::streambuf Text;
    boost::system::error_code Error;
    asio::read_until(Caller, Text, "\r\n\r\n", Error);
    return {asio::buffers_begin(Text.data()), asio::buffers_end(Text.data())};
  }

  /// Runs all that can run now.
  void runReady() {
    this->Io.restart();
    while (this->Io.poll() > 0) {
    }
  }

  /// Runs until nothing is left to do.
  void runToEnd() {
    this->Io.restart();
    this->Io.run();
  }

  asio::io_context Io;
  asio::io_context CallerIo;
  int Served = 0;
  HttpServer Server;
};

} // namespace

/// A request that has reached the machine, but has not been read yet, is
/// answered when the server drains.
Test(HttpServer, DrainAnswersWhatHasArrived) {
  DrainWorld World;
  asio::ip::tcp::socket Caller = World.connect();
  DrainWorld::sendRequest(Caller);
  World.runReady();
  cr_assert(DrainWorld::readHead(Caller).starts_with("HTTP/1.1 200"));

  DrainWorld::sendRequest(Caller);
  World.Server.drain();
  World.runToEnd();
  std::string Head = DrainWorld::readHead(Caller);
  cr_assert(Head.starts_with("HTTP/1.1 200"), "%s", Head.c_str());
  cr_assert(Head.find("Connection: close") != std::string::npos);
  cr_assert_eq(World.Served, 2);
}

/// To its caller a connection that waits to be accepted looks open: what was
/// sent on it is answered.
Test(HttpServer, DrainAcceptsWhatWaits) {
  DrainWorld World;
  asio::ip::tcp::socket First = World.connect();
  asio::ip::tcp::socket Second = World.connect();
  DrainWorld::sendRequest(First);
  DrainWorld::sendRequest(Second);

  World.Server.drain();
  World.runToEnd();
  for (asio::ip::tcp::socket *Caller : {&First, &Second}) {
    cr_assert(DrainWorld::readHead(*Caller).starts_with("HTTP/1.1 200"));
  }
}

/// A connection that was accepted just before brings its first request just
/// after.
Test(HttpServer, DrainAwaitsFirstRequests) {
  DrainWorld World;
  asio::ip::tcp::socket Caller = World.connect();
  World.runReady();
  World.Server.drain();
  World.runReady();

  DrainWorld::sendRequest(Caller);
  World.runToEnd();
  cr_assert(DrainWorld::readHead(Caller).starts_with("HTTP/1.1 200"));
}

/// Connections that nothing has arrived on are closed at once, those that
/// never carried a request a moment later; the server's work ends.
Test(HttpServer, DrainClosesIdleConnections) {
  DrainWorld World;
  asio::ip::tcp::socket Used = World.connect();
  asio::ip::tcp::socket Unused = World.connect();
  DrainWorld::sendRequest(Used);
  World.runReady();
  cr_assert(DrainWorld::readHead(Used).starts_with("HTTP/1.1 200"));

  World.Server.drain();
  World.runReady();
  cr_assert(DrainWorld::readHead(Used).empty());
  World.runToEnd();
  cr_assert(DrainWorld::readHead(Unused).empty());
  cr_assert_eq(World.Server.connectionCount(), 0);
}
