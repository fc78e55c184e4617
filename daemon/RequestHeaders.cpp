#include "daemon/RequestHeaders.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/url/pct_string_view.hpp>

namespace hemlockspar {

namespace {

constexpr std::size_t MaxKeyBytes = 1024;
constexpr std::size_t MaxHeaderValueBytes = 256;

/// Splits a path into its decoded segments.
absl::StatusOr<std::vector<std::string>> splitPath(const std::string &Path) {
  std::vector<std::string> Segments;
  std::size_t Start = 1;

  while (Start <= Path.size()) {
    std::size_t End = std::min(Path.find('/', Start), Path.size());
    auto Text = boost::urls::make_pct_string_view(
        boost::core::string_view(Path.data() + Start, End - Start));
    if (!Text) {
      return absl::InvalidArgumentError(
          "the path has invalid percent-encoding");
    }
    Segments.push_back(Text->decode());
    Start = End + 1;
  }

  return Segments;
}

/// The path after the key, with '#' for each segment that contains a digit, so
/// that requests of one kind share a class.
std::string routePattern(const std::vector<std::string> &Segments) {
  std::string Pattern;
  for (std::size_t Index = 2; Index < Segments.size(); ++Index) {
    bool HasDigit =
        std::any_of(Segments[Index].begin(), Segments[Index].end(),
                    [](unsigned char C) { return C >= '0' && C <= '9'; });
    Pattern += HasDigit ? "/#" : "/" + Segments[Index];
  }
  return Pattern;
}

bool isIdempotent(http::verb Method) {
  return Method == http::verb::get || Method == http::verb::head ||
         Method == http::verb::options || Method == http::verb::put ||
         Method == http::verb::delete_;
}

} // namespace

absl::StatusOr<RoutedRequest>
parseRequest(const HttpRequest &Request, TimeoutBounds Bounds, TimePoint Now) {
  std::string_view Target(Request.target().data(), Request.target().size());
  if (Target.empty() || Target.front() != '/') {
    return absl::InvalidArgumentError("the target must be /<key space>/<key>");
  }

  auto Segments = splitPath(targetPath(Target));
  if (!Segments.ok()) {
    return Segments.status();
  }
  bool HasKey = Segments->size() >= 2 && !(*Segments)[0].empty() &&
                !(*Segments)[1].empty() && (*Segments)[1].size() <= MaxKeyBytes;
  if (!HasKey) {
    return absl::InvalidArgumentError(
        "the target must be /<key space>/<key>, the key at most 1024 bytes");
  }

  RoutedRequest Result;
  Result.Keyspace = (*Segments)[0];
  Result.Key = (*Segments)[1];
  Result.Class = absl::StrCat(std::string(Request.method_string()), " ",
                              Result.Keyspace, routePattern(*Segments));
  Result.Idempotent = isIdempotent(Request.method());
  Result.RequestId = headerValue(Request, headers::RequestId);
  Result.Caller = headerValue(Request, headers::Caller);
  Result.IdempotencyKey = headerValue(Request, headers::IdempotencyKey);
  Result.ArrivedAt = Now;

  bool TooLong = Result.IdempotencyKey.size() > MaxHeaderValueBytes ||
                 Result.RequestId.size() > MaxHeaderValueBytes ||
                 Result.Caller.size() > MaxHeaderValueBytes;
  if (TooLong) {
    return absl::InvalidArgumentError(
        "Idempotency-Key, Hemlockspar-Request-Id and Hemlockspar-Caller are "
        "at most 256 bytes");
  }

  auto Timeout = Bounds.Default;
  if (!headerValue(Request, headers::TimeoutMs).empty()) {
    auto Requested = numericHeaderValue(Request, headers::TimeoutMs);
    if (!Requested || *Requested == 0) {
      return absl::InvalidArgumentError(
          "Hemlockspar-Timeout-Ms must be a whole number above 0");
    }
    auto MaxMs = static_cast<std::uint64_t>(Bounds.Max.count());
    Timeout = std::chrono::milliseconds(std::min(*Requested, MaxMs));
  }
  Result.Deadline = Now + Timeout;

  if (!headerValue(Request, headers::AttemptAgeMs).empty()) {
    auto Age = numericHeaderValue(Request, headers::AttemptAgeMs);
    if (!Age || *Age > std::uint64_t(std::chrono::hours(24 * 365) /
                                     std::chrono::milliseconds(1))) {
      return absl::InvalidArgumentError(
          "Hemlockspar-Attempt-Age-Ms must be a whole number");
    }
    Result.FirstSentAt = Now - std::chrono::milliseconds(*Age);
  }

  return Result;
}

void eraseHopByHopHeaders(http::fields &Fields) {
  Fields.erase(http::field::connection);
  Fields.erase(http::field::keep_alive);
  Fields.erase(http::field::te);
  Fields.erase(http::field::trailer);
  Fields.erase(http::field::transfer_encoding);
  Fields.erase(http::field::upgrade);
  Fields.erase(http::field::proxy_authenticate);
  Fields.erase(http::field::proxy_authorization);
  Fields.erase("Proxy-Connection");
}

void eraseInternalHeaders(http::fields &Fields) {
  Fields.erase(headers::Keyspace);
  Fields.erase(headers::Slot);
  Fields.erase(headers::Token);
  Fields.erase(headers::LeaseUntil);
  Fields.erase(headers::Outcome);
  Fields.erase(headers::Reason);
}

} // namespace hemlockspar
