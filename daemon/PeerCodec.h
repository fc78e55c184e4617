#pragma once

#include "coordination/Messages.h"

#include <json/value.h>

namespace hemlockspar {

/// JSON encoding of the parameters and results of RPC calls between daemons.
/// Field names have one letter, since renewals are most of the control traffic.
Json::Value toJson(const RenewalRequest &Request);
Json::Value toJson(const RenewalReply &Reply);
Json::Value toJson(const VoteRequest &Request);
Json::Value toJson(const VoteReply &Reply);
Json::Value toJson(const LoadStatus &Status);

RenewalRequest renewalRequestFromJson(const Json::Value &Value);
RenewalReply renewalReplyFromJson(const Json::Value &Value);
VoteRequest voteRequestFromJson(const Json::Value &Value);
VoteReply voteReplyFromJson(const Json::Value &Value);
LoadStatus loadStatusFromJson(const Json::Value &Value);

} // namespace hemlockspar
