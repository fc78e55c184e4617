#pragma once

#include "net/Http.h"
#include "net/MemoryBudget.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <optional>

namespace hemlockspar {

/// Largest size of a connection's buffer. It also bounds what precedes a part
/// of a chunked body.
inline constexpr std::size_t MaxUnparsedBytes = 256 << 10;

/// Reads some bytes of a connection into the space; returns their number.
using FillFunction = std::function<std::size_t(
    boost::asio::mutable_buffer Space, boost::system::error_code &Error)>;

/// A request, or why it could not be read.
struct ReadResult {
  HttpRequest Request;
  boost::system::error_code Error;

  /// Bytes of the request, as received.
  std::size_t Bytes = 0;
};

/// Reads one request. \p Buffer has what was received before, and keeps what
/// was received after the request. \p Fill is called whenever more is needed.
/// What is kept is reserved in \p Held before; the error is BudgetError when
/// the budget is short or the reservation is dropped. \p LargestBody bounds a
/// body of unknown length.
ReadResult readRequest(boost::beast::flat_buffer &Buffer,
                       const HttpLimits &Limits, const FillFunction &Fill,
                       MemoryBudget::Reservation &Held,
                       std::uint64_t LargestBody);

/// Response to a request that could not be read, which closes the connection;
/// std::nullopt when the connection just ended. Logs the error.
std::optional<HttpResponse>
errorResponseFor(const boost::system::error_code &Error);

} // namespace hemlockspar
