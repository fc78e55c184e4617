#pragma once

#include "net/Http.h"
#include "net/MemoryBudget.h"
#include "net/ResponseHeadCheck.h"

#include <boost/asio/error.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

namespace hemlockspar {

/// The error of a transfer for which the budget is short.
inline constexpr auto BudgetError = boost::asio::error::no_memory;

/// Bytes to reserve before \p Into parses on: the unparsed input in \p Buffer,
/// and the body by its announced length, or else as it grows. \p MaxBodyBytes
/// bounds a body of unknown length.
template <bool IsRequest>
std::uint64_t neededBytes(http::parser<IsRequest, http::string_body> &Into,
                          const boost::beast::flat_buffer &Buffer,
                          std::uint64_t MaxBodyBytes) {
  constexpr std::uint64_t StepBytes = 64 << 10;
  std::uint64_t Unparsed = Buffer.capacity();
  if (!Into.is_header_done()) {
    return Unparsed;
  }
  if (auto Length = Into.content_length()) {
    return Unparsed + *Length;
  }

  // A buffer that doubles would occupy up to twice its content. Memory that is
  // allocated and not written is not resident, so the largest size is allocated
  // at once.
  std::string &Body = Into.get().body();
  if (Body.size() < SmallMessageBytes / 2) {
    return Unparsed + Body.capacity();
  }
  Body.reserve(MaxBodyBytes);
  return Unparsed + (Body.size() / StepBytes + 2) * StepBytes;
}

/// Reads one response on Stream while its memory is reserved before it is kept:
/// an announced length as a whole, a chunked body as it grows.
class BudgetedRead {
public:
  /// \p MaxBodyBytes bounds a body of unknown length.
  BudgetedRead(boost::beast::tcp_stream &Stream,
               boost::beast::flat_buffer &Buffer,
               MemoryBudget::Reservation &Held, std::uint64_t MaxBodyBytes)
      : Stream(Stream), Buffer(Buffer), Held(Held), MaxBodyBytes(MaxBodyBytes) {
  }

  /// Reads the next part. Fails with BudgetError when the budget is short or
  /// the reservation was dropped, and with an error of Beast's HTTP category
  /// when the response is malformed.
  boost::system::error_code readSome(ResponseParser &Into,
                                     const boost::asio::yield_context &Yield) {
    boost::system::error_code Error;
    if (!this->Held.grow(neededBytes(Into, this->Buffer, this->MaxBodyBytes),
                         BootClock::now())) {
      return BudgetError;
    }

    // Beast's own read operation continues until a part ends with a whole chunk
    // header, so with tiny chunks it would read without a reservation.
    if (this->NeedsInput || this->Buffer.size() == 0) {
      Error = this->receive(Into, Yield);
    }
    if (!Error && !Into.is_done()) {
      Error =
          Into.is_header_done() ? this->parseBody(Into) : this->parsePart(Into);
    }
    this->Held.onProgress(BootClock::now());
    return this->Held.isDropped() ? BudgetError : Error;
  }

private:
  /// Number of bytes received at once.
  static constexpr std::size_t ReceiveBytes = 4096;

  /// Parses what is in the buffer, a part of the body.
  boost::system::error_code parseBody(ResponseParser &Into) {
    boost::system::error_code Error;
    do {
      Error = this->parsePart(Into);
    } while (!Error && !this->NeedsInput && !Into.is_done() &&
             this->Buffer.size() > 0);
    return Error;
  }

  /// Parses a part of the head, or a part of the body that is not more than the
  /// head of a chunk, its data or the trailer.
  boost::system::error_code parsePart(ResponseParser &Into) {
    boost::system::error_code Error;
    bool InHead = !Into.is_header_done();
    auto Input = this->Buffer.cdata();
    std::string_view Bytes(static_cast<const char *>(Input.data()),
                           Input.size());
    Into.eager(false);
    std::size_t Consumed = Into.put(Input, Error);
    this->NeedsInput = Error == http::error::need_more;
    Error = this->NeedsInput ? boost::system::error_code() : Error;
    if (!Error) {
      Error = InHead ? this->HeadCheck.check(Into, Bytes, Consumed)
                     : this->HeadCheck.checkTrailer(Into, Bytes, Consumed);
    }
    this->Buffer.consume(Consumed);
    return Error;
  }

  boost::system::error_code receive(ResponseParser &Into,
                                    const boost::asio::yield_context &Yield) {
    boost::system::error_code Error;
    if (this->Buffer.size() + ReceiveBytes > this->Buffer.max_size()) {
      return http::error::buffer_overflow;
    }
    this->Buffer.commit(this->Stream.async_read_some(
        this->Buffer.prepare(ReceiveBytes), Yield[Error]));
    if (Error != boost::asio::error::eof) {
      return Error;
    }
    if (!Into.got_some()) {
      return http::error::end_of_stream;
    }
    Error = {};
    Into.put_eof(Error);
    return Error;
  }

  boost::beast::tcp_stream &Stream;
  boost::beast::flat_buffer &Buffer;
  MemoryBudget::Reservation &Held;
  std::uint64_t MaxBodyBytes;
  ResponseHeadCheck HeadCheck;

  /// What is in the buffer is not enough to parse on.
  bool NeedsInput = false;
};

} // namespace hemlockspar
