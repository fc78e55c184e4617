#include "net/Http.h"

#include "core/Json.h"

#include <boost/beast/core/string.hpp>
#include <boost/url/parse.hpp>
#include <charconv>

namespace hemlockspar {

HttpResponse jsonResponse(http::status Status, const Json::Value &Body) {
  HttpResponse Response(Status, 11);
  Response.set(http::field::content_type, "application/json");
  Response.body() = writeJson(Body) + "\n";
  return Response;
}

HttpResponse problemResponse(http::status Status, const std::string &Title,
                             const std::string &Detail) {
  Json::Value Body;
  Body["status"] = static_cast<unsigned>(Status);
  Body["title"] = Title;
  Body["detail"] = Detail;

  HttpResponse Response = jsonResponse(Status, Body);
  Response.set(http::field::content_type, "application/problem+json");
  return Response;
}

std::string headerValue(const http::fields &Fields, std::string_view Name) {
  auto Found = Fields.find(boost::beast::string_view(Name.data(), Name.size()));
  return Found == Fields.end() ? std::string() : std::string(Found->value());
}

std::optional<std::uint64_t> numericHeaderValue(const http::fields &Fields,
                                                std::string_view Name) {
  std::string Text = headerValue(Fields, Name);
  std::uint64_t Number = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);

  bool Whole =
      !Text.empty() && Error == std::errc() && End == Text.data() + Text.size();
  return Whole ? std::optional(Number) : std::nullopt;
}

bool hasKnownTransferCoding(const http::fields &Fields) {
  constexpr auto Field = http::field::transfer_encoding;
  std::size_t Count = Fields.count(Field);
  return Count == 0 ||
         (Count == 1 && boost::beast::iequals(Fields[Field], "chunked"));
}

std::string targetPath(std::string_view Target) {
  return std::string(Target.substr(0, Target.find('?')));
}

std::optional<std::string> queryParameter(std::string_view Target,
                                          std::string_view Name) {
  auto Parsed = boost::urls::parse_origin_form(
      boost::core::string_view(Target.data(), Target.size()));
  if (!Parsed) {
    return std::nullopt;
  }

  boost::core::string_view Wanted(Name.data(), Name.size());
  for (const auto &Parameter : Parsed->params()) {
    if (Parameter.key == Wanted) {
      return std::string(Parameter.value);
    }
  }
  return std::nullopt;
}

} // namespace hemlockspar
