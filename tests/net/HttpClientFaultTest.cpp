#include "tests/net/FaultFixture.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A refusal; an empty \p Id is left out.
std::string refusal(const std::string &Id) {
  return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" +
         (Id.empty() ? "" : "Request-Id: " + Id + "\r\n") +
         "Content-Length: 0\r\n\r\n";
}

/// Sends \p Head, then \p Part over and over until the client closes.
FaultFixture::Script endless(const std::string &Head, const std::string &Part) {
  return [Head, Part](tcp::socket &Socket, const asio::yield_context &Yield) {
    readHead(Socket, Yield);
    bool Open = send(Socket, Head, Yield);
    while (Open) {
      Open = send(Socket, Part, Yield);
    }
  };
}

} // namespace

/// The server sends a second copy of each answer, late, when the connection is
/// in use again: each caller must get the answer to its own request.
Test(HttpClientFault, LateSecondCopyOfAnAnswer) {
  FaultFixture Fixture(
      [](tcp::socket &Socket, const asio::yield_context &Yield) {
        std::string Previous;
        while (true) {
          std::string Head = readHead(Socket, Yield);
          if (Head.empty()) {
            return;
          }
          std::string Id = requestIdIn(Head);
          if (!Previous.empty()) {
            send(Socket, answer(Previous, "for " + Previous), Yield);
          }
          send(Socket, answer(Id, "for " + Id), Yield);
          Previous = Id;
        }
      });

  Fixture.run([&](const asio::yield_context &Yield) {
    for (const char *Id : {"a", "b", "c", "d"}) {
      ExchangeResult Result = Fixture.exchange(Id, "", seconds(2), Yield);
      cr_assert(Result.Outcome == ExchangeOutcome::Answered);
      cr_assert(Result.Response.body() == std::string("for ") + Id);
    }
  });
}

/// The server refuses a request and, while it runs the repetition of the same
/// request, sends the refusal again: the repetition must not be taken for
/// refused (REFUSED).
Test(HttpClientFault, LateCopyOfARefusalToARepetition) {
  bool Refused = false;
  FaultFixture Fixture(
      [&](tcp::socket &Socket, const asio::yield_context &Yield) {
        std::string Copy;
        while (true) {
          std::string Id = requestIdIn(readHead(Socket, Yield));
          send(Socket, Copy, Yield);
          sleepFor(Fixture.Io, milliseconds(20), Yield);
          bool Open =
              send(Socket, Refused ? answer(Id, "ran") : refusal(Id), Yield);
          if (!Open) {
            return;
          }
          Copy = refusal(Id);
          Refused = true;
        }
      });

  Fixture.run([&](const asio::yield_context &Yield) {
    ExchangeResult First = Fixture.exchange("a", "", seconds(2), Yield);
    cr_assert_eq(First.Response.result_int(), 503);
    ExchangeResult Repeated = Fixture.exchange("a", "", seconds(2), Yield);
    cr_assert_eq(Repeated.Response.result_int(), 200);
    cr_assert_eq(Repeated.Response.body(), "ran");

    // Connections are still shared by requests that differ.
    Fixture.exchange("b", "", seconds(2), Yield);
    cr_assert_eq(Fixture.Connections, 2);
  });
}

/// The server refuses a request without naming it, and sends the refusal again
/// while it runs the next one: that must not be taken for refused (TWICE,
/// REFUSED).
Test(HttpClientFault, LateCopyOfARefusalWithoutId) {
  bool Refused = false;
  FaultFixture Fixture(
      [&](tcp::socket &Socket, const asio::yield_context &Yield) {
        std::string Copy;
        while (true) {
          std::string Id = requestIdIn(readHead(Socket, Yield));
          send(Socket, Copy, Yield);
          sleepFor(Fixture.Io, milliseconds(20), Yield);
          bool Open =
              send(Socket, Refused ? answer(Id, "ran") : refusal(""), Yield);
          if (!Open) {
            return;
          }
          Copy = Refused ? "" : refusal("");
          Refused = true;
        }
      });

  Fixture.run([&](const asio::yield_context &Yield) {
    ExchangeResult First = Fixture.exchange("a", "", seconds(2), Yield);
    cr_assert_eq(First.Response.result_int(), 503);
    for (const char *Id : {"b", "c", "d"}) {
      ExchangeResult Next = Fixture.exchange(Id, "", seconds(2), Yield);
      cr_assert_eq(Next.Response.result_int(), 200);
    }
    cr_assert_eq(Fixture.Connections, 2);
  });
}

/// A server stops at any place of its answer's head and closes or resets: no
/// caller may get the rest for a whole answer (MIXED).
Test(HttpClientFault, HeadThatBreaksOff) {
  const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
                           "Server-Stamp: s\r\nContent-Length: 4\r\n\r\n";
  for (bool Reset : {false, true}) {
    for (std::size_t Size = 0; Size < Head.size(); ++Size) {
      FaultFixture Fixture(
          [&](tcp::socket &Socket, const asio::yield_context &Yield) {
            readHead(Socket, Yield);
            send(Socket, Head.substr(0, Size), Yield);
            Socket.set_option(asio::socket_base::linger(Reset, 0));
          });
      Fixture.run([&](const asio::yield_context &Yield) {
        ExchangeResult Result = Fixture.exchange("a", "", seconds(2), Yield);
        cr_assert(Result.Outcome == ExchangeOutcome::Ambiguous,
                  "accepted after %zu bytes", Size);
      });
    }
  }
}

/// A second copy that arrives while the connection is idle must not be read as
/// the next answer.
Test(HttpClientFault, SecondCopyOnAnIdleConnection) {
  FaultFixture Fixture(
      [](tcp::socket &Socket, const asio::yield_context &Yield) {
        while (true) {
          std::string Head = readHead(Socket, Yield);
          if (Head.empty()) {
            return;
          }
          std::string Id = requestIdIn(Head);
          send(Socket, answer(Id, Id), Yield);
          send(Socket, answer(Id, Id), Yield);
        }
      });

  Fixture.run([&](const asio::yield_context &Yield) {
    for (const char *Id : {"a", "b", "c"}) {
      ExchangeResult Result = Fixture.exchange(Id, "", seconds(2), Yield);
      cr_assert(Result.Outcome == ExchangeOutcome::Answered);
      cr_assert_eq(Result.Response.body(), Id);
      sleepFor(Fixture.Io, milliseconds(20), Yield);
    }
  });
}

/// An answer that breaks off halfway must not count as complete, whether the
/// connection is closed or reset, with a length or in chunks.
Test(HttpClientFault, AnswerThatBreaksOff) {
  for (const char *Start :
       {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 100\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"}) {
    for (bool Reset : {false, true}) {
      FaultFixture Fixture(
          [&](tcp::socket &Socket, const asio::yield_context &Yield) {
            readHead(Socket, Yield);
            send(Socket, Start, Yield);
            sleepFor(Fixture.Io, milliseconds(20), Yield);
            Socket.set_option(asio::socket_base::linger(Reset, 0));
          });
      Fixture.run([&](const asio::yield_context &Yield) {
        ExchangeResult Result = Fixture.exchange("a", "", seconds(2), Yield);
        cr_assert(Result.Outcome == ExchangeOutcome::Ambiguous, "accepted: %s",
                  Start);
      });
    }
  }
}

/// An answer without a length ends with its connection; a reset is no end.
Test(HttpClientFault, ResetEndsNoAnswerWithoutLength) {
  for (bool Reset : {false, true}) {
    FaultFixture Fixture(
        [&](tcp::socket &Socket, const asio::yield_context &Yield) {
          readHead(Socket, Yield);
          send(Socket, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nbody", Yield);
          sleepFor(Fixture.Io, milliseconds(20), Yield);
          Socket.set_option(asio::socket_base::linger(Reset, 0));
        });
    Fixture.run([&](const asio::yield_context &Yield) {
      ExchangeResult Result = Fixture.exchange("a", "", seconds(2), Yield);
      cr_assert(Result.Outcome == (Reset ? ExchangeOutcome::Ambiguous
                                         : ExchangeOutcome::Answered));
    });
  }
}

/// Bytes without end, in a head or in a body, with a length or in chunks: the
/// exchange must end, with little memory in use, long before its deadline.
Test(HttpClientFault, BytesWithoutEnd) {
  const std::string Ok = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
  const std::string Noise(16384, 'x');
  HttpClient::Limits Bounds;
  Bounds.MaxTotalBodyBytes = 1 << 20;
  const std::vector<std::pair<std::string, std::string>> Kinds = {
      {"", Noise},
      {"HTTP/1.1 200 OK\r\nX: ", Noise},
      {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", answer("other", "z")},
      {Ok + "Content-Length: 99999999999999\r\n\r\n", Noise},
      {Ok + "\r\n", Noise},
      {Ok + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + Noise + "\r\n"},
      {Ok + "Transfer-Encoding: chunked\r\n\r\n4;", Noise},
      {Ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", Noise}};

  for (const auto &[Head, Part] : Kinds) {
    FaultFixture Fixture(endless(Head, Part), Bounds);
    Fixture.run([&](const asio::yield_context &Yield) {
      TimePoint StartedAt = BootClock::now();
      ExchangeResult Result = Fixture.exchange("a", "", seconds(20), Yield);
      cr_assert(Result.Outcome == ExchangeOutcome::Ambiguous,
                "accepted after %s", Head.c_str());
      cr_assert(BootClock::now() - StartedAt < seconds(10),
                "read to the deadline after %s", Head.c_str());
    });
  }
}

/// Bytes without end after a complete answer belong to no request: the answer
/// counts, and the connection is not used again.
Test(HttpClientFault, BytesWithoutEndAfterAnAnswer) {
  FaultFixture Fixture(endless(answer("a", "whole"), "garbage"));
  Fixture.run([&](const asio::yield_context &Yield) {
    for (int Round = 1; Round <= 3; ++Round) {
      ExchangeResult Result = Fixture.exchange("a", "", seconds(2), Yield);
      cr_assert(Result.Outcome == ExchangeOutcome::Answered);
      cr_assert_eq(Result.Response.body(), "whole");
      cr_assert_eq(Fixture.Connections, Round);
    }
  });
}

/// A server may answer before it has read a long body and read no further: the
/// answer must arrive at once, and the connection must not be used again, since
/// the server expects the rest of the body there.
Test(HttpClientFault, AnswerBeforeALongBodyIsRead) {
  FaultFixture Fixture(
      [&](tcp::socket &Socket, const asio::yield_context &Yield) {
        readHead(Socket, Yield);
        send(Socket, answer("a", "early"), Yield);
        sleepFor(Fixture.Io, seconds(5), Yield);
      });
  Fixture.run([&](const asio::yield_context &Yield) {
    const std::string Long(32 << 20, 'b');
    TimePoint StartedAt = BootClock::now();
    for (int Round = 1; Round <= 2; ++Round) {
      ExchangeResult Result = Fixture.exchange("a", Long, seconds(20), Yield);
      cr_assert(Result.Outcome == ExchangeOutcome::Answered);
      cr_assert_eq(Result.Response.body(), "early");
      cr_assert_eq(Fixture.Connections, Round);
    }
    cr_assert(BootClock::now() - StartedAt < seconds(3));
  });
}

/// A response that is arriving must not be given up at the deadline, but one
/// that stops must.
Test(HttpClientFault, ArrivingResponseIsGivenUpAtTheDeadline) {
  constexpr std::size_t Parts = 10;
  std::string Whole = answer("", std::string(80000, 'x'));
  std::size_t PartsToSend = Parts;
  FaultFixture *Server = nullptr;
  FaultFixture Fixture([&](tcp::socket &Socket,
                           const asio::yield_context &Yield) {
    readHead(Socket, Yield);
    error_code Error;
    std::size_t Size = Whole.size() / Parts;
    for (std::size_t Part = 0; Part < PartsToSend && !Error; ++Part) {
      std::size_t Count = Part + 1 < Parts ? Size : Whole.size() - Part * Size;
      asio::async_write(Socket, asio::buffer(Whole.data() + Part * Size, Count),
                        Yield[Error]);
      sleepFor(Server->Io, milliseconds(60), Yield);
    }
    sleepFor(Server->Io, seconds(2), Yield);
  });
  Server = &Fixture;

  int Received = 0;
  auto Exchange = [&](const asio::yield_context &Yield) {
    HttpRequest Request(http::verb::get, "/", 11);
    ExchangeOptions Options = {.Deadline =
                                   BootClock::now() + milliseconds(200)};
    Options.ReceiveTimeout = milliseconds(300);
    Options.OnReceived = [&] { ++Received; };
    tcp::endpoint At = Fixture.Listener.local_endpoint();
    return Fixture.Client.exchange({"127.0.0.1", At.port()}, Request, Options,
                                   Yield);
  };
  Fixture.run([&](const asio::yield_context &Yield) {
    cr_assert_eq(Exchange(Yield).Outcome, ExchangeOutcome::Answered);
    cr_assert_gt(Received, 0);

    PartsToSend = 4;
    TimePoint SentAt = BootClock::now();
    cr_assert_eq(Exchange(Yield).Outcome, ExchangeOutcome::Ambiguous);
    cr_assert_lt(BootClock::now() - SentAt, seconds(1));
  });
}

/// Where responses have no ids, an interim response was taken for the response
/// to the request.
Test(HttpClientFault, InterimResponseTakenForTheResponse) {
  FaultFixture Fixture(
      [](tcp::socket &Socket, const asio::yield_context &Yield) {
        readHead(Socket, Yield);
        send(Socket,
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" +
                 answer("a", "body"),
             Yield);
        readHead(Socket, Yield);
      });
  Fixture.run([&](const asio::yield_context &Yield) {
    HttpRequest Request(http::verb::get, "/", 11);
    tcp::endpoint At = Fixture.Listener.local_endpoint();
    ExchangeResult Result = Fixture.Client.exchange(
        {"127.0.0.1", At.port()}, Request,
        {.Deadline = BootClock::now() + seconds(2)}, Yield);
    cr_assert(Result.Outcome == ExchangeOutcome::Answered);
    cr_assert_eq(Result.Response.result_int(), 200);
    cr_assert_eq(Result.Response.body(), "body");
  });
}
