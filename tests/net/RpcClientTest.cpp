#include "net/RpcClient.h"
#include "tests/net/FaultFixture.h"

#include <criterion/criterion.h>

using namespace hemlockspar;

namespace {

/// A proper response with the result \p Result.
std::string resultLine(const std::string &Result) {
  return R"({"jsonrpc":"2.0","id":1,"result":")" + Result + "\"}\n";
}

/// Answers one call with \p FirstAnswer, and all others properly.
FaultFixture::Script answersFirstWith(const std::string &FirstAnswer) {
  auto Sent = std::make_shared<bool>(false);
  return [FirstAnswer, Sent](tcp::socket &Socket,
                             const asio::yield_context &Yield) {
    std::string Call;
    error_code Error;
    while (!Error) {
      std::size_t Size = asio::async_read_until(
          Socket, asio::dynamic_buffer(Call), '\n', Yield[Error]);
      Call.erase(0, Size);
      if (!Error) {
        send(Socket, *Sent ? resultLine("proper") : FirstAnswer, Yield);
        *Sent = true;
      }
    }
  };
}

RpcResponse call(FaultFixture &Fixture, RpcClient &Client,
                 const asio::yield_context &Yield) {
  RpcResponse Response;
  Event Done(Fixture.Io);
  tcp::endpoint At = Fixture.Listener.local_endpoint();
  Client.call({"127.0.0.1", At.port()}, "echo", Json::Value(Json::objectValue),
              std::chrono::seconds(5), [&](const RpcResponse &Received) {
                Response = Received;
                Done.set();
              });
  Done.wait(Yield);
  return Response;
}

} // namespace

/// A peer's malformed response left its connection in use, and what followed it
/// was taken for the response to the next call.
Test(RpcClient, MalformedResponseKeepsTheConnection) {
  for (const std::string Malformed :
       {"no response\n", "{\"jsonrpc\":\"2.0\",\"id\":1}\n", "[]\n", "\n",
        "HTTP/1.1 000 OK\r\n"}) {
    FaultFixture Fixture(answersFirstWith(Malformed + resultLine("late")));
    RpcClient Client(Fixture.Io, "");
    Fixture.run([&](const asio::yield_context &Yield) {
      TimePoint SentAt = BootClock::now();
      cr_assert_not(call(Fixture, Client, Yield).Succeeded);
      cr_assert(BootClock::now() - SentAt < std::chrono::seconds(2));
      RpcResponse Next = call(Fixture, Client, Yield);
      cr_assert(Next.Succeeded);
      cr_assert_eq(Next.Result.asString(), "proper", "after %s",
                   Malformed.c_str());
      cr_assert_eq(Fixture.Connections, 2);
    });
  }
}

/// Bytes after a proper response were taken for the response to the next call.
Test(RpcClient, BytesAfterAResponseTakenForTheNext) {
  FaultFixture Fixture(
      answersFirstWith(resultLine("first") + resultLine("extra")));
  RpcClient Client(Fixture.Io, "");
  Fixture.run([&](const asio::yield_context &Yield) {
    cr_assert_eq(call(Fixture, Client, Yield).Result.asString(), "first");
    cr_assert_eq(call(Fixture, Client, Yield).Result.asString(), "proper");
    cr_assert_eq(Fixture.Connections, 2);
  });
}

/// A response that broke off before its line ended was taken for a whole one.
Test(RpcClient, BrokenOffResponseTakenForAWholeOne) {
  const std::string Whole = resultLine("whole");
  for (std::size_t Size = 0; Size < Whole.size(); ++Size) {
    for (bool Reset : {false, true}) {
      FaultFixture Fixture(
          [&](tcp::socket &Socket, const asio::yield_context &Yield) {
            std::string Call;
            error_code Error;
            asio::async_read_until(Socket, asio::dynamic_buffer(Call), '\n',
                                   Yield[Error]);
            send(Socket, Whole.substr(0, Size), Yield);
            Socket.set_option(asio::socket_base::linger(Reset, 0));
          });
      RpcClient Client(Fixture.Io, "");
      Fixture.run([&](const asio::yield_context &Yield) {
        TimePoint SentAt = BootClock::now();
        cr_assert_not(call(Fixture, Client, Yield).Succeeded,
                      "accepted after %zu bytes", Size);
        cr_assert(BootClock::now() - SentAt < std::chrono::seconds(2));
      });
    }
  }
}

/// An error is a proper response: the connection stays in use.
Test(RpcClient, ErrorClosesTheConnection) {
  FaultFixture Fixture(answersFirstWith(
      R"({"jsonrpc":"2.0","id":1,"error":{"code":-32602,"message":"no"}})"
      "\n"));
  RpcClient Client(Fixture.Io, "");
  Fixture.run([&](const asio::yield_context &Yield) {
    cr_assert_not(call(Fixture, Client, Yield).Succeeded);
    cr_assert(call(Fixture, Client, Yield).Succeeded);
    cr_assert_eq(Fixture.Connections, 1);
  });
}
