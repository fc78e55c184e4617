#include "net/ResponseHeadCheck.h"

#include <boost/beast/http/error.hpp>

namespace hemlockspar {

using boost::system::error_code;

namespace {

/// The range of status codes; RFC 9110, section 15.
constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;

/// Whether a response may have \p Status. No request asks for another protocol,
/// so none is answered by a switch to one.
bool isValidStatus(unsigned Status) {
  constexpr auto Switching =
      static_cast<unsigned>(http::status::switching_protocols);
  return MinStatus <= Status && Status <= MaxStatus && Status != Switching;
}

/// Whether a line of \p Head begins with a blank. Such a line continues the
/// field before it, a form that RFC 9112 forbids in responses (section 5.2), or
/// its field's name is malformed.
bool hasContinuedLine(std::string_view Head) {
  return Head.find("\r\n ") != Head.npos || Head.find("\r\n\t") != Head.npos;
}

} // namespace

error_code ResponseHeadCheck::check(const ResponseParser &Parser,
                                    std::string_view Input,
                                    std::size_t Consumed) {
  if (!isValidStatus(Parser.get().result_int())) {
    return http::error::bad_status;
  }

  // Up to its end, the head is all that has been received.
  std::string_view Head =
      Parser.is_header_done() ? Input.substr(0, Consumed) : Input;
  if (hasContinuedLine(Head)) {
    return http::error::bad_field;
  }
  return {};
}

} // namespace hemlockspar
