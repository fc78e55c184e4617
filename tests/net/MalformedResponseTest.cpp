#include "core/EnumNames.h"
#include "tests/net/FaultFixture.h"

#include <absl/strings/str_cat.h>
#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// How the server delivers its malformed response.
enum class Delivery { Alone, InPieces, BehindInterim, SecondOnConnection };

constexpr std::array<const char *, 4> DeliveryNames = {
    "alone", "in pieces", "behind a 1xx response", "second on a connection"};

/// How the client finds out to which request a response belongs.
enum class Attribution { ById, ByOrder };

constexpr std::array<const char *, 2> AttributionNames = {"by id", "by order"};

constexpr std::size_t PieceBytes = 5;
constexpr auto ExchangeTimeout = seconds(5);

/// A malformed response ends its exchange on arrival.
constexpr auto MaxRejectTime = seconds(2);
constexpr auto MaxCloseTime = seconds(2);

const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n";

/// A server that answers one request with a malformed response and keeps the
/// connection open, and all others properly.
class MalformingServer {
public:
  MalformingServer(std::string Malformed, Delivery How)
      : Malformed(std::move(Malformed)), How(How),
        Fixture([this](tcp::socket &Socket, const asio::yield_context &Yield) {
          this->serve(Socket, Yield);
        }) {}

  ExchangeResult exchange(const std::string &Id, Attribution By,
                          const asio::yield_context &Yield) {
    if (By == Attribution::ById) {
      return this->Fixture.exchange(Id, "", ExchangeTimeout, Yield);
    }
    HttpRequest Request(http::verb::post, "/", 11);
    Request.set("Request-Id", Id);
    tcp::endpoint At = this->Fixture.Listener.local_endpoint();
    return this->Fixture.Client.exchange(
        {"127.0.0.1", At.port()}, Request,
        {.Deadline = BootClock::now() + ExchangeTimeout}, Yield);
  }

  /// Waits until the client closes the connection of the malformed response;
  /// returns whether it does.
  bool waitUntilClosed(const asio::yield_context &Yield) {
    TimePoint Until = BootClock::now() + MaxCloseTime;
    while (!this->Closed && BootClock::now() < Until) {
      sleepFor(this->Fixture.Io, milliseconds(5), Yield);
    }
    return this->Closed;
  }

private:
  void serve(tcp::socket &Socket, const asio::yield_context &Yield) {
    bool First = true;
    bool IsMalformed = false;
    while (true) {
      std::string Head = readHead(Socket, Yield);
      if (Head.empty()) {
        this->Closed = this->Closed || IsMalformed;
        return;
      }
      bool Due =
          !this->Sent && !(First && this->How == Delivery::SecondOnConnection);
      First = false;
      if (!Due) {
        send(Socket, answer(requestIdIn(Head), "whole"), Yield);
        continue;
      }
      this->Sent = true;
      IsMalformed = true;
      if (!this->deliver(Socket, Yield)) {
        this->Closed = true;
        return;
      }
    }
  }

  /// Returns whether the client has not closed the connection meanwhile.
  bool deliver(tcp::socket &Socket, const asio::yield_context &Yield) {
    switch (this->How) {
    case Delivery::Alone:
    case Delivery::SecondOnConnection:
      return send(Socket, this->Malformed, Yield);
    case Delivery::BehindInterim:
      return send(Socket, Interim + this->Malformed, Yield);
    case Delivery::InPieces:
      break;
    }
    for (std::size_t At = 0; At < this->Malformed.size(); At += PieceBytes) {
      if (!send(Socket, this->Malformed.substr(At, PieceBytes), Yield)) {
        return false;
      }
      sleepFor(this->Fixture.Io, milliseconds(1), Yield);
    }
    return true;
  }

  std::string Malformed;
  Delivery How;
  bool Sent = false;
  bool Closed = false;

public:
  FaultFixture Fixture;
};

/// Why the response was not rejected as it must be; empty if it was.
std::string findFault(const std::string &Malformed, Delivery How,
                      Attribution By) {
  MalformingServer Server(Malformed, How);
  std::string Fault;
  Server.Fixture.run([&](const asio::yield_context &Yield) {
    if (How == Delivery::SecondOnConnection) {
      Server.exchange("first", By, Yield);
    }
    TimePoint SentAt = BootClock::now();
    ExchangeResult Result = Server.exchange("a", By, Yield);
    Duration Elapsed = BootClock::now() - SentAt;
    bool Closed = Server.waitUntilClosed(Yield);
    ExchangeResult Next = Server.exchange("b", By, Yield);

    if (Result.Outcome != ExchangeOutcome::Ambiguous) {
      Fault = "accepted";
    } else if (Elapsed > MaxRejectTime) {
      Fault = "read to the deadline";
    } else if (!Result.Response.body().empty()) {
      Fault = "handed on in part";
    } else if (!Closed || Server.Fixture.Connections != 2) {
      Fault = "connection kept";
    } else if (Next.Response.body() != "whole") {
      Fault = "next response not received";
    }
  });
  return Fault;
}

/// Checks that each response is rejected, however it is delivered and
/// attributed.
void expectRejected(const std::vector<std::string> &Responses) {
  std::string Faults;
  for (const std::string &Malformed : Responses) {
    for (std::size_t By = 0; By < AttributionNames.size(); ++By) {
      for (std::size_t How = 0; How < DeliveryNames.size(); ++How) {
        std::string Fault = findFault(Malformed, static_cast<Delivery>(How),
                                      static_cast<Attribution>(By));
        if (!Fault.empty()) {
          absl::StrAppend(&Faults, Fault, " (", DeliveryNames[How], ", ",
                          AttributionNames[By], "): ", Malformed, "\n");
        }
      }
    }
  }
  cr_assert(Faults.empty(), "%s", Faults.c_str());
}

/// Checks that \p Proper, whose body is \p Body, is accepted wherever it is
/// split on its way.
void expectAcceptedInTwoParts(const std::string &Proper,
                              const std::string &Body) {
  std::size_t Split = 0;
  FaultFixture *Server = nullptr;
  FaultFixture Fixture(
      [&](tcp::socket &Socket, const asio::yield_context &Yield) {
        while (!readHead(Socket, Yield).empty()) {
          send(Socket, Proper.substr(0, Split), Yield);
          sleepFor(Server->Io, milliseconds(1), Yield);
          send(Socket, Proper.substr(Split), Yield);
        }
      });
  Server = &Fixture;
  Fixture.run([&](const asio::yield_context &Yield) {
    for (Split = 1; Split < Proper.size(); ++Split) {
      HttpRequest Request(http::verb::get, "/", 11);
      tcp::endpoint At = Fixture.Listener.local_endpoint();
      ExchangeResult Result = Fixture.Client.exchange(
          {"127.0.0.1", At.port()}, Request,
          {.Deadline = BootClock::now() + ExchangeTimeout}, Yield);
      cr_assert(Result.Outcome == ExchangeOutcome::Answered, "split at %zu: %s",
                Split, Result.Error.c_str());
      cr_assert_eq(Result.Response.body(), Body);
    }
  });
}

/// A response with the status line \p Status, and with \p Line among its
/// fields, that is proper otherwise.
std::string responseWith(const std::string &Status, const std::string &Line) {
  return "HTTP/1.1 " + Status + "\r\nRequest-Id: a\r\nServer-Stamp: s\r\n" +
         Line + "Content-Length: 4\r\n\r\nbody";
}

/// Responses, a success and a refusal, with \p Line among their fields.
std::vector<std::string> responsesWith(const std::vector<std::string> &Lines) {
  std::vector<std::string> Responses;
  for (const std::string &Line : Lines) {
    Responses.push_back(responseWith("200 OK", Line));
    Responses.push_back(
        responseWith("503 Unavailable", "Not-Executed: 1\r\n" + Line));
  }
  return Responses;
}

/// Responses in chunks with \p Lines in their trailers.
std::vector<std::string>
responsesWithTrailer(const std::vector<std::string> &Lines) {
  std::vector<std::string> Responses;
  for (const std::string &Line : Lines) {
    Responses.push_back(
        "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" +
        Line);
  }
  return Responses;
}

} // namespace

/// A backend server's response with the status 000 reached a caller.
Test(MalformedResponse, StatusOutsideTheProtocolTakenForAnAnswer) {
  std::vector<std::string> Responses;
  for (const char *Status :
       {"000 ", "000 OK", "001 OK", "099 OK", "600 OK", "999 OK"}) {
    Responses.push_back(responseWith(Status, ""));
    Responses.push_back(responseWith(Status, "Not-Executed: 1\r\n"));
  }
  expectRejected(Responses);
}

/// No request asks for another protocol.
Test(MalformedResponse, SwitchOfProtocolsReadToTheDeadline) {
  expectRejected({responseWith("101 Switching Protocols", ""),
                  responseWith("101 Switching Protocols",
                               "Connection: Upgrade\r\nUpgrade: other\r\n")});
}

/// A response whose head had a blank or a control character in the name of a
/// field reached a caller.
Test(MalformedResponse, BlankOrControlCharacterInAFieldName) {
  std::vector<std::string> Lines = {"Field Name: x\r\n",
                                    "Field\tName: x\r\n",
                                    "Content-Length : 2\r\n",
                                    "Content-Length\t: 2\r\n",
                                    "Content Length: 2\r\n",
                                    "Transfer-Encoding : chunked\r\n",
                                    "Not-Executed : 1\r\n",
                                    "Field\rName: x\r\n",
                                    "Field\nName: x\r\n",
                                    "Field\x01Name: x\r\n",
                                    "Field\x1fName: x\r\n",
                                    "Field\x7fName: x\r\n",
                                    "Field\x80Name: x\r\n",
                                    ": x\r\n",
                                    "Field\r\n"};
  Lines.push_back(std::string("Field\0Name: x\r\n", 15));
  expectRejected(responsesWith(Lines));
}

/// The same at the start of a name, in the first line after the status line.
Test(MalformedResponse, BlankBeforeTheFirstFieldName) {
  expectRejected({"HTTP/1.1 200 OK\r\n Request-Id: a\r\nServer-Stamp: s\r\n"
                  "Content-Length: 4\r\n\r\nbody",
                  "HTTP/1.1 200 OK\r\n\tRequest-Id: a\r\nServer-Stamp: s\r\n"
                  "Content-Length: 4\r\n\r\nbody"});
}

/// The same in a trailer, whose fields are added to those of the head.
Test(MalformedResponse, BlankOrControlCharacterInATrailerFieldName) {
  std::vector<std::string> Lines = {"Field Name: x\r\n\r\n",
                                    "Field\tName: x\r\n\r\n",
                                    "Field : x\r\n\r\n",
                                    "Field\rName: x\r\n\r\n",
                                    "Field\nName: x\r\n\r\n",
                                    "Field\x01Name: x\r\n\r\n",
                                    "Field\x7fName: x\r\n\r\n",
                                    "Field\x80Name: x\r\n\r\n",
                                    ": x\r\n\r\n",
                                    "Field\r\n\r\n",
                                    " Field: x\r\n\r\n",
                                    "\tField: x\r\n\r\n"};
  Lines.push_back(std::string("Field\0Name: x\r\n\r\n", 17));
  expectRejected(responsesWithTrailer(Lines));
}

/// A line of a trailer that begins with a blank was appended to the value of
/// the field before it.
Test(MalformedResponse, BlankBeforeATrailerFieldNameJoinsTwoFields) {
  expectRejected(responsesWithTrailer(
      {"Field: x\r\n Other: y\r\n\r\n", "Field: x\r\n\tOther: y\r\n\r\n",
       "Field:\r\n x\r\n\r\n", "Field: x\r\n \r\n\r\n"}));
}

/// A malformed trailer that does not end.
Test(MalformedResponse, MalformedTrailerThatStallsReadToTheDeadline) {
  expectRejected(
      responsesWithTrailer({"Field Name: x\r\nOth", "Field\x01Name",
                            " Field: x\r\nOth", "Field: x\r\n Other: y"}));
}

/// A line that begins with a blank was appended to the value of the field
/// before it, so its own field was lost.
Test(MalformedResponse, BlankBeforeAFieldNameJoinsTwoFields) {
  expectRejected(
      responsesWith({" Field: x\r\n", "\tField: x\r\n", " Not-Executed: 1\r\n",
                     " \r\n", "Field:\r\n x\r\n"}));
  expectRejected({"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: s\r\n"
                  " Content-Length: 4\r\n\r\nbody",
                  "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: s\r\n"
                  "Content-Length: 4\r\n Field: x\r\n\r\nbody"});
}

/// A 1xx response with a malformed head, before a proper response.
Test(MalformedResponse, MalformedInterimResponse) {
  expectRejected(
      {"HTTP/1.1 100 Continue\r\nField Name: x\r\n\r\n" + answer("a", "body"),
       "HTTP/1.1 000 Continue\r\n\r\n" + answer("a", "body"),
       "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nok" +
           answer("a", "body")});
}

/// A malformed head that arrives in pieces and does not end was read until the
/// deadline.
Test(MalformedResponse, MalformedHeadThatStallsReadToTheDeadline) {
  const std::string Start = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
  expectRejected({"HTTP/1.1 000 OK\r\nReq", Start + "Field Name: x\r\nServ",
                  Start + "Field\x01Name", Start + " Field: x\r\nServ",
                  Start + "Field: a\x01", "HTTP/1.1 200 OK\nRequest-Id: a\n\n",
                  "HTTP/2.0 200 OK\r\n", "\x16\x03\x01\x02no response"});
}

/// A proper response is accepted wherever it is split on its way.
Test(MalformedResponse, ProperResponseInTwoPartsRejected) {
  expectAcceptedInTwoParts(
      "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nEmpty:\r\nx!#$%&'*+-.^_`|~9:\tb  c "
      "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
      "body");
}

/// The same with a trailer, behind a body that looks like one.
Test(MalformedResponse, ProperTrailerInTwoPartsRejected) {
  expectAcceptedInTwoParts(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\n0\r\n"
      "6\r\n0\r\n a:\r\n000;a=b\r\nField: x\r\n0:\tb  c \r\n\r\n",
      "00\r\n a:");
}

/// The coding of a body that is coded otherwise than in chunks was taken for
/// the body.
Test(MalformedResponse, UnknownTransferCodingTakenForTheBody) {
  std::vector<std::string> Responses;
  for (const std::string Coding :
       {"gzip", "gzip, chunked", "chunked, gzip", "xchunked",
        "gzip\r\nTransfer-Encoding: chunked"}) {
    Responses.push_back("HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
                        "Server-Stamp: s\r\nTransfer-Encoding: " +
                        Coding + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  }
  expectRejected(Responses);
}
