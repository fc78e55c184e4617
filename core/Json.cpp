#include "core/Json.h"

#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace hemlockspar {

namespace {

constexpr int MaxJsonDepth = 64;

std::string writeWith(const Json::Value &Value, const char *Indentation) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = Indentation;
  Builder["emitUTF8"] = true;
  return Json::writeString(Builder, Value);
}

} // namespace

std::string writeJson(const Json::Value &Value) { return writeWith(Value, ""); }

std::string writeJsonIndented(const Json::Value &Value) {
  return writeWith(Value, "  ");
}

std::optional<Json::Value> readJson(const std::string &Text,
                                    std::string *Error) {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  Builder["strictRoot"] = false;
  Builder["stackLimit"] = MaxJsonDepth;

  std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Value;
  std::string Message;

  try {
    bool Parsed =
        Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Message);
    if (Parsed) {
      return Value;
    }
  } catch (const Json::Exception &Exception) {
    Message = Exception.what();
  }

  if (Error) {
    *Error = Message;
  }

  return std::nullopt;
}

std::uint64_t getUnsigned(const Json::Value &Object, const char *Name,
                          std::uint64_t Default) {
  if (!Object.isObject()) {
    return Default;
  }

  const Json::Value &Member = Object[Name];
  return Member.isUInt64() ? Member.asUInt64() : Default;
}

std::string getString(const Json::Value &Object, const char *Name) {
  if (!Object.isObject()) {
    return {};
  }

  const Json::Value &Member = Object[Name];
  return Member.isString() ? Member.asString() : std::string();
}

} // namespace hemlockspar
