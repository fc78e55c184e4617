#include "net/ReadRequest.h"

#include "core/Log.h"
#include "net/BudgetedRead.h"
#include "net/LogLimiter.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

namespace hemlockspar {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t MaxReadBytes = 16 << 10;

/// Retry-After in seconds of a request for which the memory is short: stalled
/// transfers can be dropped after this time.
constexpr char MemoryRetryAfter[] = "2";

using RequestParser = http::request_parser<http::string_body>;

/// Reads more bytes for \p Parser into \p Buffer.
void fillBuffer(boost::beast::flat_buffer &Buffer, RequestParser &Parser,
                const FillFunction &Fill, error_code &Error) {
  std::size_t Size = boost::beast::read_size(Buffer, MaxReadBytes);
  if (Size == 0) {
    Error = http::error::buffer_overflow;
    return;
  }

  Buffer.commit(Fill(Buffer.prepare(Size), Error));
  if (Error == asio::error::eof) {
    Error = http::error::end_of_stream;
    if (Parser.got_some()) {
      Error = {};
      Parser.put_eof(Error);
    }
  }
}

std::optional<HttpResponse> problemFor(const error_code &Error) {
  if (Error == http::error::header_limit) {
    return problemResponse(http::status::request_header_fields_too_large,
                           "header too large",
                           "the header exceeds the size limit");
  }
  if (Error == BudgetError) {
    HttpResponse Refusal =
        problemResponse(http::status::service_unavailable, "out of memory",
                        "the memory for requests is in use");
    Refusal.set(http::field::retry_after, MemoryRetryAfter);
    return Refusal;
  }
  if (Error == http::error::body_limit) {
    return problemResponse(http::status::payload_too_large, "body too large",
                           "the body exceeds the size limit");
  }
  if (Error == boost::beast::error::timeout) {
    return problemResponse(http::status::request_timeout, "request timeout",
                           "the request was not received in time");
  }

  bool ConnectionEnded = Error == http::error::end_of_stream ||
                         Error == http::error::partial_message ||
                         Error == asio::error::operation_aborted ||
                         Error == asio::error::connection_reset;
  if (ConnectionEnded) {
    return std::nullopt;
  }
  return problemResponse(http::status::bad_request, "bad request",
                         Error.message());
}

} // namespace

ReadResult readRequest(boost::beast::flat_buffer &Buffer,
                       const HttpLimits &Limits, const FillFunction &Fill,
                       MemoryBudget::Reservation &Held,
                       std::uint64_t LargestBody) {
  ReadResult Result;
  LargestBody = std::min(LargestBody, Limits.MaxBodyBytes);
  RequestParser Parser;
  Parser.header_limit(Limits.MaxHeaderBytes);
  Parser.body_limit(Limits.MaxBodyBytes);
  Parser.eager(true);

  while (!Parser.is_done() && !Result.Error) {
    if (!Held.grow(neededBytes(Parser, Buffer, LargestBody),
                   BootClock::now())) {
      Result.Error = BudgetError;
      break;
    }
    bool NeedsMore = Buffer.size() == 0;
    if (!NeedsMore) {
      std::size_t Used = Parser.put(Buffer.data(), Result.Error);
      Buffer.consume(Used);
      Result.Bytes += Used;
      NeedsMore = Result.Error == http::error::need_more;
    }
    if (NeedsMore) {
      Result.Error = {};
      fillBuffer(Buffer, Parser, Fill, Result.Error);
      Held.onProgress(BootClock::now());
    }
    if (Held.isDropped()) {
      Result.Error = BudgetError;
    }
  }
  Held.pin();

  // The body of another coding could not be told from the next request.
  if (!Result.Error && !hasKnownTransferCoding(Parser.get())) {
    Result.Error = http::error::bad_transfer_encoding;
  }
  if (!Result.Error) {
    Result.Request = Parser.release();
  }
  return Result;
}

std::optional<HttpResponse> errorResponseFor(const error_code &Error) {
  auto Response = problemFor(Error);
  if (Response) {
    Response->set("Hemlockspar-Outcome", "not-run");
    Response->keep_alive(false);
    static LogLimiter Limiter;
    if (auto Omitted = Limiter.admit(BootClock::now())) {
      LogLine(LogLevel::Info, "net", "bad_request")
          .with("error", Error.message())
          .with("omitted", static_cast<long long>(*Omitted));
    }
  }
  return Response;
}

} // namespace hemlockspar
