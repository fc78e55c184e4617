#include "daemon/PeerCodec.h"

#include "core/Json.h"

namespace hemlockspar {

namespace {

bool getBool(const Json::Value &Value, const char *Name) {
  return Value.isObject() && Value[Name].isBool() && Value[Name].asBool();
}

} // namespace

Json::Value toJson(const RenewalRequest &Request) {
  Json::Value Value;
  Value["h"] = Request.Holder;
  Value["v"] = Json::UInt64(Request.Version);
  Value["l"] = Json::UInt64(Request.Epoch);
  Value["c"] = Json::UInt64(Request.CompleteVersion);
  return Value;
}

Json::Value toJson(const RenewalReply &Reply) {
  Json::Value Value;
  Value["i"] = Json::UInt64(Reply.Incarnation);
  Value["a"] = Reply.Accepted;
  Value["c"] = Json::UInt64(Reply.CompleteVersion);
  return Value;
}

Json::Value toJson(const VoteRequest &Request) {
  Json::Value Value;
  Value["h"] = Request.Holder;
  Value["v"] = Json::UInt64(Request.Version);
  Value["p"] = Json::UInt64(Request.PreviousVersion);
  return Value;
}

Json::Value toJson(const VoteReply &Reply) {
  Json::Value Value;
  Value["i"] = Json::UInt64(Reply.Incarnation);
  Value["e"] = Reply.VersionExpired;
  Value["p"] = Reply.PreviousExpired;
  return Value;
}

Json::Value toJson(const LoadStatus &Status) {
  Json::Value Value;
  Value["u"] = Status.Utilization;
  Value["s"] = Status.SlotCount;
  Value["c"] = Status.Capacity;
  Value["a"] = Status.Accepting;
  return Value;
}

RenewalRequest renewalRequestFromJson(const Json::Value &Value) {
  RenewalRequest Request;
  Request.Holder = getString(Value, "h");
  Request.Version = getUnsigned(Value, "v");
  Request.Epoch = getUnsigned(Value, "l");
  Request.CompleteVersion = getUnsigned(Value, "c");
  return Request;
}

RenewalReply renewalReplyFromJson(const Json::Value &Value) {
  RenewalReply Reply;
  Reply.Incarnation = getUnsigned(Value, "i");
  Reply.Accepted = getBool(Value, "a");
  Reply.CompleteVersion = getUnsigned(Value, "c");
  return Reply;
}

VoteRequest voteRequestFromJson(const Json::Value &Value) {
  VoteRequest Request;
  Request.Holder = getString(Value, "h");
  Request.Version = getUnsigned(Value, "v");
  Request.PreviousVersion = getUnsigned(Value, "p");
  return Request;
}

VoteReply voteReplyFromJson(const Json::Value &Value) {
  VoteReply Reply;
  Reply.Incarnation = getUnsigned(Value, "i");
  Reply.VersionExpired = getBool(Value, "e");
  Reply.PreviousExpired = getBool(Value, "p");
  return Reply;
}

LoadStatus loadStatusFromJson(const Json::Value &Value) {
  LoadStatus Status;
  bool HasLoad = Value.isObject() && Value["u"].isNumeric();
  Status.Utilization = HasLoad ? Value["u"].asDouble() : 0;
  Status.SlotCount = static_cast<std::uint32_t>(getUnsigned(Value, "s"));
  Status.Capacity = static_cast<std::uint32_t>(getUnsigned(Value, "c"));
  Status.Accepting = getBool(Value, "a");
  return Status;
}

} // namespace hemlockspar
