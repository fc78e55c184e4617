#include "mesh/GrantClient.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::string_view Confirmation =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Confirms with any response of status 200.
class FakeGrantCodec : public GrantCodec {
public:
  HttpRequest encodeGrant(const GrantedKeys &, Duration) const override {
    return {http::verb::post, "/grant", 11};
  }
  HttpRequest encodeRelease(const GrantedKeys &) const override {
    return {http::verb::post, "/release", 11};
  }
  GrantOutcome decodeGrant(const HttpResponse &Response) const override {
    return Response.result() == http::status::ok ? GrantOutcome::Accepted
                                                 : GrantOutcome::Unknown;
  }
  std::optional<std::string>
  decodeRelease(const HttpResponse &Response) const override {
    return Response.result() == http::status::ok ? std::optional("")
                                                 : std::nullopt;
  }
};

class ResultRecorder : public GrantClient::Listener {
public:
  void onGrantResult(GrantCallNumber, GrantOutcome Outcome) override {
    this->Granted = Outcome == GrantOutcome::Accepted;
  }
  void onReleaseResult(GrantCallNumber,
                       const std::optional<std::string> &State) override {
    this->Released = State.has_value();
  }
  void onGrantRefused() override {}

  std::optional<bool> Granted;
  std::optional<bool> Released;
};

/// A backend server that confirms grants, and sends its last response again
/// when a release arrives, which it does not confirm.
struct RepeatingServer {
  explicit RepeatingServer(asio::io_context &Io)
      : Io(Io), Listener(Io, {asio::ip::make_address("127.0.0.1"), 0}) {
    this->accept();
  }

  void accept() {
    this->Listener.async_accept([this](const error_code &, tcp::socket Socket) {
      asio::spawn(
          this->Io,
          [Peer = std::make_shared<tcp::socket>(std::move(Socket))](
              const asio::yield_context &Yield) { serve(*Peer, Yield); },
          asio::detached);
      this->accept();
    });
  }

  static void serve(tcp::socket &Socket, const asio::yield_context &Yield) {
    error_code Error;
    std::string_view Last;
    while (!Error) {
      std::string Text;
      asio::async_read_until(Socket, asio::dynamic_buffer(Text), "\r\n\r\n",
                             Yield[Error]);
      bool IsGrant = Text.find("/grant") != std::string::npos;
      Last = IsGrant ? Confirmation : Last;
      asio::async_write(Socket, asio::buffer(Last), Yield[Error]);
    }
  }

  asio::io_context &Io;
  tcp::acceptor Listener;
};

} // namespace

/// A late copy of the response to a grant must not confirm a release: the keys
/// may still be in use, and would be given to another owner (OWNER).
Test(GrantClient, LateCopyConfirmsNoRelease) {
  asio::io_context Io;
  RepeatingServer Backend(Io);
  MeshSettings Config;
  Config.Service = "menus";
  Config.ServerAddress = {"127.0.0.1",
                          Backend.Listener.local_endpoint().port()};
  MeshView View;
  LocalServer Server(Config, View);
  Server.recover(nullptr, std::nullopt);
  ServerReport Report;
  Report.Incarnation = {"s", 1};
  Report.Service = Config.Service;
  Report.ServerAddress = Config.ServerAddress;
  Server.applyReport(Report, BootClock::now());

  FakeGrantCodec Codec;
  ResultRecorder Results;
  GrantClient Client(Io, Server, Codec, Results);
  Client.grant(1, {{0, 9}, 5, ""}, std::chrono::seconds(4));
  Io.run_for(milliseconds(200));
  cr_assert(Results.Granted == true);
  Client.release(2, {{0, 9}, 5, ""});
  Io.run_for(milliseconds(300));
  cr_assert(Results.Released != true, "a copy confirmed the release");
}
