#pragma once

#include "net/Event.h"
#include "net/HttpServer.h"

#include <boost/asio/write.hpp>
#include <map>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <vector>

namespace hemlockspar {

/// A server that reads ahead, and one caller, on one thread. A request below
/// /hold waits until the test releases it; one below /refuse gets 503; one that
/// ends with /fail then fails unexpectedly. A response names the target of its
/// request.
struct PipelineFixture {
  explicit PipelineFixture(
      std::optional<PipelineLimits> ReadAhead = PipelineLimits(),
      const HttpLimits &Limits = {})
      : Server(
            this->Io, Limits,
            [this](HttpRequest &Request, CallerWatch &Watch,
                   const boost::asio::yield_context &Yield) {
              return this->serve(Request, Watch, Yield);
            },
            nullptr, ReadAhead),
        Caller(this->Io) {
    this->Listening = this->Server.listen({"127.0.0.1", 0}).ok();
    boost::system::error_code Error;
    this->Caller.connect(this->Server.localAddress().toEndpoint(Error));
    this->Caller.non_blocking(true);
  }

  HttpResponse serve(HttpRequest &Request, CallerWatch &Watch,
                     const boost::asio::yield_context &Yield) {
    std::string Target(Request.target());
    this->Started.push_back(Target);
    this->GoneAtStart += Watch.isGone() ? 1 : 0;
    if (Target.starts_with("/hold")) {
      Event &Released = this->held(Target);
      Watch.OnCancel = [this, &Released, Target] {
        this->Cancelled.push_back(Target);
        Released.set();
      };
      Released.wait(Yield);
      Watch.OnCancel = nullptr;
    }
    if (Target.ends_with("/fail")) {
      throw std::out_of_range("unexpected");
    }
    HttpResponse Response(Target.starts_with("/refuse")
                              ? http::status::service_unavailable
                              : http::status::ok,
                          11);
    Response.set("Target", Target);
    Response.body() = Target;
    return Response;
  }

  Event &held(const std::string &Target) {
    auto &Found = this->Held[Target];
    if (!Found) {
      Found = std::make_unique<Event>(this->Io);
    }
    return *Found;
  }

  void release(const std::string &Target) { this->held(Target).set(); }

  static std::string get(const std::string &Target,
                         const std::string &Headers = "") {
    return "GET " + Target + " HTTP/1.1\r\nHost: test\r\n" + Headers + "\r\n";
  }

  static std::string post(const std::string &Target) {
    return "POST " + Target +
           " HTTP/1.1\r\nHost: test\r\nContent-Length: 3\r\n\r\nabc";
  }

  void send(const std::string &Text) {
    boost::asio::write(this->Caller, boost::asio::buffer(Text));
  }

  /// Runs the server and reads responses until \p Condition holds; false after
  /// 5 s.
  bool runUntil(const std::function<bool()> &Condition) {
    auto Until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Condition()) {
      if (std::chrono::steady_clock::now() >= Until) {
        return false;
      }
      this->step();
    }
    return true;
  }

  /// Runs for \p Span, in which something must not happen.
  void runFor(std::chrono::milliseconds Span = std::chrono::milliseconds(50)) {
    auto Until = std::chrono::steady_clock::now() + Span;
    while (std::chrono::steady_clock::now() < Until) {
      this->step();
    }
  }

  void step() {
    this->Io.restart();
    this->Io.run_one_for(std::chrono::milliseconds(2));
    if (!this->Caller.is_open() || this->Ended) {
      return;
    }
    boost::system::error_code Error;
    std::array<char, 4096> Text{};
    std::size_t Count =
        this->Caller.read_some(boost::asio::buffer(Text), Error);
    this->Received.append(Text.data(), Count);
    this->Ended = Error && Error != boost::asio::error::would_block;
  }

  /// What was received: the value of "Target", or the status where there is
  /// none, of each response, followed by "!" where it closes the connection.
  std::string responses() const {
    std::string Result;
    std::string_view Rest = this->Received;
    while (Rest.starts_with("HTTP/1.1 ")) {
      std::string_view Head = Rest.substr(0, Rest.find("\r\n\r\n"));
      std::size_t At = Head.find("Target: ");
      std::string_view Name =
          At == Head.npos ? Head.substr(9, 3) : Head.substr(At + 8);
      Result += (Result.empty() ? "" : " ");
      Result += Name.substr(0, Name.find("\r\n"));
      Result += Head.find("Connection: close") != Head.npos ? "!" : "";
      std::size_t Next = Rest.find("HTTP/1.1 ", 1);
      Rest = Next == Rest.npos ? std::string_view() : Rest.substr(Next);
    }
    return Result;
  }

  bool answers(const std::string &Expected) {
    return this->runUntil([&] { return this->responses() == Expected; });
  }

  bool starts(std::size_t Count) {
    return this->runUntil([&] { return this->Started.size() >= Count; });
  }

  bool ends() {
    return this->runUntil([this] {
      return this->Server.connectionCount() == 0 &&
             this->Server.activeRequestCount() == 0;
    });
  }

  /// The pending error of the caller's socket; 0 for none.
  int callerError() {
    int Error = 0;
    socklen_t Size = sizeof(Error);
    ::getsockopt(this->Caller.native_handle(), SOL_SOCKET, SO_ERROR, &Error,
                 &Size);
    return Error;
  }

  boost::asio::io_context Io;
  std::vector<std::string> Started;
  std::vector<std::string> Cancelled;
  int GoneAtStart = 0;
  std::map<std::string, std::unique_ptr<Event>> Held;
  HttpServer Server;
  boost::asio::ip::tcp::socket Caller;
  bool Listening = false;
  std::string Received;

  /// Whether the server has closed the connection.
  bool Ended = false;
};

} // namespace hemlockspar
