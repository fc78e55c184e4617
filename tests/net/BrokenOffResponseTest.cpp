#include "tests/net/FaultFixture.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <boost/asio/read.hpp>
#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// How the server ends the connection after a part of its response.
enum class Ending {
  Reset,
  ResetAtOnce,
  CloseWithUnreadInput,
  HalfClose,
  HalfCloseThenReset
};

constexpr std::array<const char *, 5> EndingNames = {
    "reset", "reset at once", "close with unread input", "half close",
    "half close, then reset"};

/// How the client finds out to which request a response belongs.
enum class Attribution { ById, ByOrder };

constexpr std::array<const char *, 2> AttributionNames = {"by id", "by order"};

/// Which request on a connection is the upload.
enum class Position { First, Second };

constexpr std::array<const char *, 2> PositionNames = {
    "first on a connection", "second on a connection"};

/// Exceeds the buffers of both sockets, so that the upload is still being
/// written when the connection ends.
constexpr std::size_t UploadBytes = 6 << 20;

constexpr auto ExchangeTimeout = seconds(20);

/// The end of the connection ends the exchange.
constexpr auto MaxRejectTime = seconds(3);

/// The client reads the part of the response before the connection ends.
constexpr auto EndDelay = milliseconds(50);

HttpRequest makeRequest(const std::string &Id, std::size_t BodyBytes) {
  HttpRequest Request(http::verb::post, "/", 11);
  Request.set("Request-Id", Id);
  Request.body().assign(BodyBytes, 'b');
  return Request;
}

std::size_t contentLengthIn(const std::string &Head) {
  constexpr std::string_view Name = "Content-Length: ";
  std::size_t Found = Head.find(Name);
  return Found == std::string::npos
             ? 0
             : std::stoul(Head.substr(Found + Name.size()));
}

/// A server that answers an upload with a part of a response before it has read
/// the request, and all other requests properly.
class BreakingServer {
public:
  BreakingServer(std::string Part, Ending How)
      : Part(std::move(Part)), How(How),
        Fixture([this](tcp::socket &Socket, const asio::yield_context &Yield) {
          this->serve(Socket, Yield);
        }) {}

  ExchangeResult exchange(const std::string &Id, std::size_t BodyBytes,
                          Attribution By, const asio::yield_context &Yield) {
    HttpRequest Request = makeRequest(Id, BodyBytes);
    ExchangeOptions Options = {.Deadline = BootClock::now() + ExchangeTimeout};
    if (By == Attribution::ById) {
      Options.RequestId = Id;
      Options.RequestIdOf = [](const HttpResponse &Response) {
        return headerValue(Response, "Request-Id");
      };
    }
    tcp::endpoint At = this->Fixture.Listener.local_endpoint();
    return this->Fixture.Client.exchange({"127.0.0.1", At.port()}, Request,
                                         Options, Yield);
  }

private:
  void serve(tcp::socket &Socket, const asio::yield_context &Yield) {
    while (true) {
      std::string Head = readHead(Socket, Yield);
      if (Head.empty()) {
        return;
      }
      if (contentLengthIn(Head) > 0) {
        send(Socket, this->Part, Yield);
        this->end(Socket, Yield);
        return;
      }
      send(Socket, answer(requestIdIn(Head), "whole"), Yield);
    }
  }

  /// The caller closes the socket afterwards.
  void end(tcp::socket &Socket, const asio::yield_context &Yield) {
    error_code Error;
    if (this->How != Ending::ResetAtOnce) {
      sleepFor(this->Fixture.Io, EndDelay, Yield);
    }
    switch (this->How) {
    case Ending::Reset:
    case Ending::ResetAtOnce:
      Socket.set_option(asio::socket_base::linger(true, 0), Error);
      break;
    case Ending::CloseWithUnreadInput:
      break;
    case Ending::HalfCloseThenReset:
      Socket.shutdown(tcp::socket::shutdown_send, Error);
      Socket.set_option(asio::socket_base::linger(true, 0), Error);
      break;
    case Ending::HalfClose:
      Socket.shutdown(tcp::socket::shutdown_send, Error);
      sleepFor(this->Fixture.Io, EndDelay, Yield);
      std::array<char, 65536> Discarded;
      while (!Error) {
        Socket.async_read_some(asio::buffer(Discarded), Yield[Error]);
      }
      break;
    }
  }

  std::string Part;
  Ending How;

public:
  FaultFixture Fixture;
};

/// Why the part of a response was not rejected as it must be; empty if it was.
std::string findFault(const std::string &Part, Ending How, Attribution By,
                      Position At) {
  BreakingServer Server(Part, How);
  std::string Fault;
  Server.Fixture.run([&](const asio::yield_context &Yield) {
    if (At == Position::Second) {
      Server.exchange("first", 0, By, Yield);
    }
    TimePoint SentAt = BootClock::now();
    ExchangeResult Result = Server.exchange("a", UploadBytes, By, Yield);
    Duration Elapsed = BootClock::now() - SentAt;
    ExchangeResult Next = Server.exchange("b", 0, By, Yield);

    if (Result.Outcome != ExchangeOutcome::Ambiguous) {
      Fault = absl::StrCat("outcome ", nameOf(Result.Outcome));
    } else if (Elapsed > MaxRejectTime) {
      Fault = absl::StrCat("took ", toMilliseconds(Elapsed), " ms");
    } else if (!Result.Response.body().empty()) {
      Fault = "handed on in part";
    } else if (Server.Fixture.Connections != 2) {
      Fault = "connection kept";
    } else if (Next.Response.body() != "whole") {
      Fault = "next response not received";
    }
  });
  return Fault;
}

/// Checks that each part of a response is rejected, however the connection
/// ends.
void expectRejected(const std::vector<std::string> &Parts) {
  std::string Faults;
  for (const std::string &Part : Parts) {
    for (std::size_t How = 0; How < EndingNames.size(); ++How) {
      for (std::size_t By = 0; By < AttributionNames.size(); ++By) {
        for (std::size_t At = 0; At < PositionNames.size(); ++At) {
          std::string Fault = findFault(Part, static_cast<Ending>(How),
                                        static_cast<Attribution>(By),
                                        static_cast<Position>(At));
          if (!Fault.empty()) {
            absl::StrAppend(&Faults, Fault, " (", EndingNames[How], ", ",
                            AttributionNames[By], ", ", PositionNames[At],
                            "): ", Part, "\n");
          }
        }
      }
    }
  }
  cr_assert(Faults.empty(), "%s", Faults.c_str());
}

const std::string SuccessHead = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
                                "Server-Stamp: s\r\n";
const std::string RefusalHead = "HTTP/1.1 503 Service Unavailable\r\n"
                                "Request-Id: a\r\nNot-Executed: 1\r\n";

} // namespace

/// The part of a success that had arrived when a server reset the connection of
/// an upload reached the caller as a complete response.
Test(BrokenOffResponse, EndDuringAnUploadTakenForTheEndOfAResponse) {
  expectRejected({SuccessHead + "\r\nhalf", SuccessHead + "\r\n",
                  SuccessHead + "Connection: close\r\n\r\nhalf"});
}

/// The same with a refusal, after which a request is sent again.
Test(BrokenOffResponse, EndDuringAnUploadTakenForTheEndOfARefusal) {
  expectRejected({RefusalHead + "\r\nhalf", RefusalHead + "\r\n"});
}

/// Responses that cannot end with the connection.
Test(BrokenOffResponse, IncompleteResponseDuringAnUpload) {
  expectRejected({SuccessHead + "Content-Length: 100\r\n\r\nhalf",
                  SuccessHead + "Transfer-Encoding: chunked\r\n\r\n"
                                "4\r\nhalf\r\n",
                  SuccessHead, "HTTP/1.1 100 Continue\r\n\r\n", ""});
}

/// A server closed its side of the connection in order in the middle of a
/// response and reset the connection at once. The upload fits into the buffers
/// of the sockets.
Test(BrokenOffResponse, ResetBehindTheEndTakenForAnOrderlyEnd) {
  for (std::size_t BodyBytes : {1 << 16, 1 << 20}) {
    FaultFixture Fixture(
        [&](tcp::socket &Socket, const asio::yield_context &Yield) {
          error_code Ignored;
          readHead(Socket, Yield);
          send(Socket, SuccessHead + "\r\nhalf", Yield);
          Socket.shutdown(tcp::socket::shutdown_send, Ignored);
          Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
        });
    Fixture.run([&](const asio::yield_context &Yield) {
      TimePoint SentAt = BootClock::now();
      ExchangeResult Result = Fixture.exchange("a", std::string(BodyBytes, 'b'),
                                               ExchangeTimeout, Yield);
      cr_assert(Result.Outcome == ExchangeOutcome::Ambiguous,
                "accepted after %zu bytes", BodyBytes);
      cr_assert(BootClock::now() - SentAt < MaxRejectTime);
    });
  }
}

/// A response without a length is complete when the server closes the
/// connection after it has received the whole request.
Test(BrokenOffResponse, ResponseWithoutLengthAfterAnUploadRejected) {
  FaultFixture *Server = nullptr;
  FaultFixture Fixture(
      [&](tcp::socket &Socket, const asio::yield_context &Yield) {
        error_code Error;
        std::string Input;
        std::size_t HeadBytes = asio::async_read_until(
            Socket, asio::dynamic_buffer(Input), "\r\n\r\n", Yield[Error]);
        if (Error) {
          return;
        }
        std::size_t Whole = HeadBytes + contentLengthIn(Input);
        if (Input.size() < Whole) {
          asio::async_read(Socket, asio::dynamic_buffer(Input),
                           asio::transfer_exactly(Whole - Input.size()),
                           Yield[Error]);
        }
        send(Socket, SuccessHead + "\r\nfirst,", Yield);
        sleepFor(Server->Io, milliseconds(20), Yield);
        send(Socket, "second", Yield);
      });
  Server = &Fixture;
  Fixture.run([&](const asio::yield_context &Yield) {
    int Expected = 0;
    for (std::size_t BodyBytes :
         {std::size_t(0), std::size_t(1), UploadBytes}) {
      for (int Round = 0; Round < 3; ++Round) {
        ExchangeResult Result = Fixture.exchange(
            "a", std::string(BodyBytes, 'b'), ExchangeTimeout, Yield);
        cr_assert(Result.Outcome == ExchangeOutcome::Answered, "%zu bytes: %s",
                  BodyBytes, Result.Error.c_str());
        cr_assert_eq(Result.Response.body(), "first,second");
        cr_assert_eq(Fixture.Connections, ++Expected);
      }
    }
  });
}
