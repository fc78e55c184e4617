#include "tests/net/PipelineFixture.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
namespace asio = boost::asio;

namespace {

using Fixture = PipelineFixture;
using Names = std::vector<std::string>;

} // namespace

/// Requests behind the first must run while it runs, and the response of the
/// second, which is ready first, must not be taken for that of the first.
Test(Pipeline, ResponsesAreInOrderWhileTheSecondIsReadyFirst) {
  Fixture Test;
  Test.send(Fixture::get("/hold/1") + Fixture::get("/2") +
            Fixture::get("/hold/3"));
  cr_assert(Test.starts(3));
  Test.release("/hold/3");
  Test.runFor();
  cr_assert(Test.Received.empty(), "%s", Test.Received.c_str());

  Test.release("/hold/1");
  cr_assert(Test.answers("/hold/1 /2 /hold/3"), "%s", Test.Received.c_str());
  cr_assert(
      Test.runUntil([&] { return Test.Server.activeRequestCount() == 0; }));
}

/// Without the option, requests are read one at a time as before.
Test(Pipeline, OptionOffReadsOneAtATime) {
  Fixture Test{std::nullopt};
  Test.send(Fixture::get("/hold/1") + Fixture::get("/2"));
  cr_assert(Test.starts(1));
  Test.runFor();
  cr_assert_eq(Test.Started.size(), 1);
  Test.release("/hold/1");
  cr_assert(Test.answers("/hold/1 /2"));
}

/// An early refusal must not close the connection under the requests behind it.
Test(Pipeline, RefusedFirstDoesNotEndThoseBehind) {
  Fixture Test;
  Test.send(Fixture::get("/refuse/1") + Fixture::get("/hold/2"));
  cr_assert(Test.answers("/refuse/1"));
  Test.runFor();
  cr_assert(Test.Cancelled.empty());
  Test.release("/hold/2");
  cr_assert(Test.answers("/refuse/1 /hold/2"));
  cr_assert_not(Test.Ended);
}

/// A handler that fails ends its connection, but only after the responses to
/// the requests that already run, and without reading more.
Test(Pipeline, FailedRequestClosesAfterThoseThatRun) {
  Fixture Test;
  Test.send(Fixture::get("/hold/1") + Fixture::get("/hold/fail") +
            Fixture::get("/hold/3"));
  cr_assert(Test.starts(3));
  Test.release("/hold/fail");
  Test.runFor();
  Test.send(Fixture::get("/4"));
  Test.release("/hold/1");
  Test.release("/hold/3");
  cr_assert(Test.answers("/hold/1 500 /hold/3!"), "%s", Test.Received.c_str());
  cr_assert(Test.ends());
  cr_assert_eq(Test.Started.size(), 3);
}

/// The caller sends requests behind a closing response again, so they must not
/// have run; and a reset must not destroy that response.
Test(Pipeline, NothingBehindAClosingRequestIsPassedOn) {
  Fixture Test;
  Test.send(Fixture::get("/hold/1") +
            Fixture::get("/2", "Connection: close\r\n") + Fixture::get("/3"));
  cr_assert(Test.starts(2));
  Test.send(Fixture::get("/4", "Padding: " + std::string(9000, 'x') + "\r\n"));
  Test.release("/hold/1");
  cr_assert(Test.answers("/hold/1 /2!"), "%s", Test.Received.c_str());
  cr_assert(Test.runUntil([&] { return Test.Ended; }));

  // A reset behind the end of the stream shows in the socket's error only.
  Test.runFor(std::chrono::milliseconds(100));
  cr_assert_eq(Test.callerError(), 0);
  cr_assert_eq(Test.Started.size(), 2);
  Test.Caller.close();
  cr_assert(Test.ends());
}

/// At a shutdown the first responses must not close the connection, the last of
/// those passed on must, and no further request may be passed on.
Test(Pipeline, ShutdownClosesWithTheLastRequestPassedOn) {
  Fixture Test;
  Test.send(Fixture::get("/hold/1") + Fixture::get("/hold/2"));
  cr_assert(Test.starts(2));
  Test.Server.disableKeepAlive();
  Test.send(Fixture::get("/3"));
  Test.runFor();
  Test.release("/hold/1");
  cr_assert(Test.answers("/hold/1"));
  Test.release("/hold/2");
  cr_assert(Test.answers("/hold/1 /hold/2!"));
  cr_assert(Test.ends());
  cr_assert_eq(Test.Started.size(), 2);
}

/// Draining must answer each request that was read, also one that waits for
/// another, and must end the connection.
Test(Pipeline, DrainAnswersWhatWasRead) {
  Fixture Test;
  Test.send(Fixture::get("/hold/1") + Fixture::post("/2") + Fixture::get("/3"));
  cr_assert(Test.starts(1));
  Test.runFor();
  Test.Server.drain();
  Test.runFor(std::chrono::milliseconds(400));
  cr_assert_not(Test.Ended);
  Test.release("/hold/1");
  cr_assert(Test.answers("/hold/1 /2 /3!"), "%s", Test.Received.c_str());
  cr_assert(Test.ends());
}

/// Draining must close idle connections and must not drop a request that has
/// arrived but was not read.
Test(Pipeline, DrainClosesIdleAndAnswersArrivedRequests) {
  Fixture Idle;
  Idle.send(Fixture::get("/1"));
  cr_assert(Idle.answers("/1"));
  Idle.Server.drain();
  cr_assert(Idle.ends());

  Fixture Arrived;
  Arrived.send(Fixture::get("/1"));
  cr_assert(Arrived.answers("/1"));
  Arrived.send(Fixture::get("/2"));
  Arrived.Server.drain();
  cr_assert(Arrived.answers("/1 /2!"));
  cr_assert(Arrived.ends());
}

/// A request that may not run twice must wait until those before it are
/// answered, and those behind it must wait for it.
Test(Pipeline, PostWaitsForThoseBeforeIt) {
  Fixture Test;
  Test.send(Fixture::get("/hold/1") + Fixture::post("/hold/2") +
            Fixture::get("/3"));
  cr_assert(Test.starts(1));
  Test.runFor();
  cr_assert(Test.Started == Names({"/hold/1"}));
  Test.release("/hold/1");
  cr_assert(Test.starts(2));
  Test.runFor();
  cr_assert(Test.Started == Names({"/hold/1", "/hold/2"}));
  Test.release("/hold/2");
  cr_assert(Test.answers("/hold/1 /hold/2 /3"));
}

/// A caller must not make the server run or hold more requests than the limit,
/// and reading must go on when one is answered.
Test(Pipeline, RequestLimitStopsReading) {
  Fixture Test;
  for (int Number = 1; Number <= 20; ++Number) {
    Test.send(Fixture::get("/hold/" + std::to_string(Number)));
  }
  cr_assert(Test.starts(16));
  Test.runFor();
  cr_assert_eq(Test.Started.size(), 16);
  Test.release("/hold/1");
  cr_assert(Test.starts(17));
  Test.runFor();
  cr_assert_eq(Test.Started.size(), 17);
}

/// A large body behind another request must stay with its caller (flow control)
/// until it can run, and must then be read in full, however long it had to
/// wait.
Test(Pipeline, ByteLimitStopsReading) {
  constexpr std::size_t BodyBytes = 32 << 20;
  HttpLimits Limits;
  Limits.MaxBodyBytes = BodyBytes;
  Limits.ReadTimeout = std::chrono::milliseconds(1000);
  Fixture Test{PipelineLimits(), Limits};
  Test.Caller.set_option(asio::socket_base::send_buffer_size(64 << 10));
  Test.send(Fixture::get("/hold/1"));
  std::string Text = "POST /2 HTTP/1.1\r\nHost: test\r\nContent-Length: " +
                     std::to_string(BodyBytes) + "\r\n\r\n" +
                     std::string(BodyBytes, 'x');
  std::size_t Sent = 0;
  auto SendMore = [&] {
    boost::system::error_code Error;
    Sent += Test.Caller.write_some(
        asio::buffer(Text.data() + Sent, Text.size() - Sent), Error);
    return Sent == Text.size();
  };
  auto Until = std::chrono::steady_clock::now() + Limits.ReadTimeout * 2;
  while (std::chrono::steady_clock::now() < Until) {
    SendMore();
    Test.step();
  }
  cr_assert_lt(Sent, Text.size());
  cr_assert(Test.Started == Names({"/hold/1"}));

  // The server uses up what has arrived and waits for more, with all of its
  // time left.
  Test.release("/hold/1");
  Test.runFor();
  cr_assert(Test.runUntil(SendMore));
  cr_assert(Test.answers("/hold/1 /2"), "%s", Test.Received.c_str());
}

/// The work of a caller that disconnects must end, all of it, also while its
/// further requests are unread because of the limits, which hides the end of
/// the stream. True: reset; false: end of stream.
Test(Pipeline, DisconnectWithUnreadBytesCancelsAll) {
  for (bool Resets : {true, false}) {
    Fixture Test{PipelineLimits{.MaxRequests = 2}};
    Test.send(Fixture::get("/hold/1") + Fixture::get("/hold/2"));
    for (int Number = 3; Number < 8; ++Number) {
      Test.send(Fixture::get("/3", "A: " + std::string(8000, 'x') + "\r\n"));
    }
    cr_assert(Test.starts(2));
    Test.runFor();
    if (Resets) {
      Test.Caller.set_option(asio::socket_base::linger(true, 0));
    }
    Test.Caller.close();
    auto LeftAt = std::chrono::steady_clock::now();
    cr_assert(Test.ends(), "reset: %d", Resets);
    cr_assert_lt(
        (std::chrono::steady_clock::now() - LeftAt).count(),
        std::chrono::nanoseconds(std::chrono::milliseconds(400)).count());
    cr_assert(Test.Cancelled == Names({"/hold/1", "/hold/2"}));
    cr_assert_eq(Test.Started.size(), 2);
  }
}

/// A disconnect while the server reads ahead must cancel what runs, and must
/// drop what waits.
Test(Pipeline, DisconnectCancelsWhatRunsAndDropsWhatWaits) {
  Fixture Test;
  Test.send(Fixture::get("/hold/1") + Fixture::get("/hold/2") +
            Fixture::post("/3"));
  cr_assert(Test.starts(2));
  Test.Caller.close();
  cr_assert(Test.ends());
  cr_assert(Test.Cancelled == Names({"/hold/1", "/hold/2"}));
  cr_assert_eq(Test.Started.size(), 2);
}

/// A disconnect after reading has ended, when no read would notice it, must
/// cancel the last request as well.
Test(Pipeline, DisconnectAfterClosingRequestCancels) {
  Fixture Test;
  Test.send(Fixture::get("/hold/1", "Connection: close\r\n"));
  cr_assert(Test.starts(1));
  Test.Caller.close();
  cr_assert(Test.ends());
  cr_assert(Test.Cancelled == Names({"/hold/1"}));
}

/// A handler must learn at its start that its caller has left before the
/// request was read.
Test(Pipeline, CallerThatLeftBeforeItsRequestWasReadIsGone) {
  Fixture Test;
  Test.send(Fixture::get("/1") + Fixture::get("/2"));
  Test.Caller.close();
  cr_assert(Test.ends());
  cr_assert_eq(Test.GoneAtStart, static_cast<int>(Test.Started.size()));
}

/// A caller that sends byte by byte must be understood, also behind a request
/// that runs.
Test(Pipeline, CallerThatSendsByteByByte) {
  Fixture Test;
  std::string Text = Fixture::get("/hold/1") + Fixture::get("/2") +
                     Fixture::post("/3") + Fixture::get("/4");
  for (char Byte : Text) {
    Test.send(std::string(1, Byte));
    Test.step();
    Test.step();
  }
  cr_assert(Test.starts(2));
  cr_assert(Test.Received.empty());
  Test.release("/hold/1");
  cr_assert(Test.answers("/hold/1 /2 /3 /4"), "%s", Test.Received.c_str());
}

/// Malformed input behind a request that runs must neither cancel it nor be
/// answered before it.
Test(Pipeline, MalformedRequestIsAnsweredLast) {
  Fixture Test;
  Test.send(Fixture::get("/hold/1") + "no request\r\n\r\n" +
            Fixture::get("/3"));
  cr_assert(Test.starts(1));
  Test.runFor();
  cr_assert(Test.Received.empty());
  Test.release("/hold/1");
  cr_assert(Test.answers("/hold/1 400!"), "%s", Test.Received.c_str());
  cr_assert(Test.ends());
  cr_assert_eq(Test.Started.size(), 1);
  cr_assert(Test.Received.find("Hemlockspar-Outcome: not-run") !=
            std::string::npos);
}

/// A request that is never completed must be given up without loss of the
/// response that is due before it.
Test(Pipeline, IncompleteRequestTimesOutInOrder) {
  HttpLimits Limits;
  Limits.ReadTimeout = std::chrono::milliseconds(50);
  Fixture Test{PipelineLimits(), Limits};
  Test.send(Fixture::get("/hold/1") + "GET /2 HTTP/1.1\r\nHo");
  cr_assert(Test.starts(1));
  Test.runFor(std::chrono::milliseconds(200));
  cr_assert(Test.Received.empty());
  cr_assert(Test.Cancelled.empty());
  Test.release("/hold/1");
  cr_assert(Test.answers("/hold/1 408!"), "%s", Test.Received.c_str());
  cr_assert(Test.ends());
}

/// The idle timeout of connections must not end one whose request runs, and
/// must end it afterwards.
Test(Pipeline, IdleTimeoutCountsFromTheLastResponse) {
  HttpLimits Limits;
  Limits.IdleTimeout = std::chrono::milliseconds(50);
  Fixture Test{PipelineLimits(), Limits};
  Test.send(Fixture::get("/hold/1"));
  cr_assert(Test.starts(1));
  Test.runFor(std::chrono::milliseconds(200));
  cr_assert_not(Test.Ended);
  Test.release("/hold/1");
  cr_assert(Test.answers("/hold/1"));
  cr_assert(Test.ends());
}

/// The body of a response to HEAD must not be taken for the next response.
Test(Pipeline, HeadHasNoBody) {
  Fixture Test;
  Test.send("HEAD /1 HTTP/1.1\r\nHost: test\r\n\r\n" + Fixture::get("/2"));
  cr_assert(Test.answers("/1 /2"), "%s", Test.Received.c_str());
  cr_assert(Test.Received.ends_with("\r\n\r\n/2"));
  cr_assert_eq(Test.Received.find("\r\n\r\n/1"), std::string::npos);
}
