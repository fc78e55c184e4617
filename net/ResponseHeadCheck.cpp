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

} // namespace

error_code ResponseHeadCheck::check(const ResponseParser &Parser) {
  if (!isValidStatus(Parser.get().result_int())) {
    return http::error::bad_status;
  }
  return {};
}

} // namespace hemlockspar
