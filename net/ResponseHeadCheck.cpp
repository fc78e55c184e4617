#include "net/ResponseHeadCheck.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cctype>
#include <limits>

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

/// The fields of a trailer are added to those of the head, to which Beast
/// applies the same limit.
constexpr std::size_t MaxTrailerBytes = 8 << 10;

constexpr std::string_view LineBreak = "\r\n";

/// A proper status line, for the fields of a response whose own was parsed.
constexpr std::string_view StatusLine = "HTTP/1.1 200 OK\r\n";

/// Whether a line of \p Lines begins with a blank. Such a line continues the
/// field before it, a form that RFC 9112 forbids in responses (section 5.2), or
/// its field's name is malformed.
bool hasContinuedLine(std::string_view Lines) {
  return Lines.find("\r\n ") != Lines.npos ||
         Lines.find("\r\n\t") != Lines.npos;
}

/// The lines that follow the last chunk in \p Input, with the line break before
/// them; empty if \p Input does not begin with the last chunk.
std::string_view trailerIn(std::string_view Input) {
  // A chunk begins with the line break that ends the chunk before it.
  std::size_t Size = Input.starts_with(LineBreak) ? LineBreak.size() : 0;
  std::size_t SizeEnd = Input.find_first_not_of('0', Size);
  std::size_t LineEnd = Input.find(LineBreak, Size);
  bool IsLast = SizeEnd > Size && SizeEnd <= LineEnd && LineEnd != Input.npos &&
                !std::isxdigit(static_cast<unsigned char>(Input[SizeEnd]));
  return IsLast ? Input.substr(LineEnd) : std::string_view();
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
  this->HasStatusLine = this->HasStatusLine || Consumed > 0;
  if (!Parser.is_header_done()) {
    return this->checkIncomplete(Input.substr(Consumed));
  }
  if (!hasKnownTransferCoding(Parser.get())) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

error_code ResponseHeadCheck::checkTrailer(const ResponseParser &Parser,
                                           std::string_view Input,
                                           std::size_t Consumed) const {
  bool IsComplete = Parser.is_done();
  if (!Parser.chunked() || (!IsComplete && Consumed > 0)) {
    return {};
  }
  std::string_view Trailer =
      trailerIn(IsComplete ? Input.substr(0, Consumed) : Input);
  if (hasContinuedLine(Trailer)) {
    return http::error::bad_field;
  }
  if (Trailer.size() > MaxTrailerBytes) {
    return http::error::header_limit;
  }
  return IsComplete || Trailer.empty()
             ? error_code()
             : this->checkIncomplete(Trailer.substr(LineBreak.size()));
}

error_code ResponseHeadCheck::checkIncomplete(std::string_view Unparsed) const {
  // Once a part of the head has ended within a line, the parser looks at no
  // other until the whole head is there.
  std::string Lines(this->HasStatusLine ? StatusLine : std::string_view());
  Lines.append(Unparsed);

  ResponseParser Parser;
  Parser.header_limit(std::numeric_limits<std::uint32_t>::max());
  error_code Error;
  Parser.put(boost::asio::buffer(Lines), Error);
  if (Error == http::error::need_more) {
    Error = {};
  }
  return Error || isValidStatus(Parser.get().result_int())
             ? Error
             : error_code(http::error::bad_status);
}

} // namespace hemlockspar
