#pragma once

#include "net/Http.h"

#include <boost/beast/http/parser.hpp>

namespace hemlockspar {

using ResponseParser = http::response_parser<http::string_body>;

/// Finds the faults in the head and in the trailer of a response that Beast's
/// parser accepts or does not find before their end. Free of I/O.
class ResponseHeadCheck {
public:
  /// Checks the head after \p Parser was given \p Input and has consumed its
  /// first \p Consumed bytes; to be called for each part of the head. Returns
  /// an error of Beast's HTTP category.
  boost::system::error_code check(const ResponseParser &Parser,
                                  std::string_view Input, std::size_t Consumed);

  /// The same for the trailer of a chunked body; to be called for each part of
  /// the body. \p Parser must not be eager, so that it consumes nothing else
  /// together with the trailer.
  boost::system::error_code checkTrailer(const ResponseParser &Parser,
                                         std::string_view Input,
                                         std::size_t Consumed) const;

private:
  boost::system::error_code checkIncomplete(std::string_view Unparsed) const;

  /// Whether the status line has been parsed.
  bool HasStatusLine = false;
};

} // namespace hemlockspar
