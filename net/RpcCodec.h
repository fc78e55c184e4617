#pragma once

#include <functional>
#include <json/value.h>
#include <memory>
#include <string>

namespace hemlockspar {

/// Decoded response to a remote procedure call.
struct RpcResponse {
  bool Succeeded = false;
  Json::Value Result;

  /// Set when the call did not succeed.
  std::string Error;

  /// What was received is no JSON-RPC response.
  bool Malformed = false;
};

/// Client side of JSON-RPC 2.0, based on libjsonrpccpp. The library calls its
/// connector synchronously; here encoding and decoding are split, so that the
/// text can be sent and received asynchronously.
class RpcClientCodec {
public:
  /// Encodes a call of \p Method as one line, with the newline.
  static std::string encodeCall(const std::string &Method,
                                const Json::Value &Params);

  /// Decodes the response to a call.
  static RpcResponse decodeResponse(const std::string &Text);
};

/// Server side of JSON-RPC 2.0, based on libjsonrpccpp.
class RpcDispatcher {
public:
  /// Fills \p Result; returns an error message, empty on success.
  using Handler = std::function<std::string(const Json::Value &Params,
                                            Json::Value &Result)>;

  RpcDispatcher();
  ~RpcDispatcher();

  RpcDispatcher(const RpcDispatcher &) = delete;
  RpcDispatcher &operator=(const RpcDispatcher &) = delete;

  /// Registers \p Method, which takes an object of parameters.
  void registerMethod(const std::string &Method, Handler OnCall);

  /// Executes the call in \p Text and returns the encoded response. Malformed
  /// text gets an error response.
  std::string dispatch(const std::string &Text);

private:
  class Procedures;
  std::unique_ptr<Procedures> Methods;
};

} // namespace hemlockspar
