#pragma once

#include <functional>
#include <json/value.h>
#include <memory>
#include <string>

namespace hemlockspar {

/// Answer to a remote procedure call as the codec reads it.
struct RpcResponse {
  bool Succeeded = false;
  Json::Value Result;

  /// Set when the call did not succeed.
  std::string Error;
};

/// Caller's side of JSON-RPC 2.0, by libjsonrpccpp. The library calls its
/// connector synchronously; here the text is taken out and the answer put in,
/// so that the bytes can travel asynchronously.
class RpcClientCodec {
public:
  /// Text of a call of \p Method: one line and its end.
  static std::string encodeCall(const std::string &Method,
                                const Json::Value &Params);

  /// Reads the answer to a call.
  static RpcResponse decodeResponse(const std::string &Text);
};

/// Receiver's side of JSON-RPC 2.0, by libjsonrpccpp.
class RpcDispatcher {
public:
  /// Fills the result; returns an error text, empty for success.
  using Handler = std::function<std::string(const Json::Value &Params,
                                            Json::Value &Result)>;

  RpcDispatcher();
  ~RpcDispatcher();

  RpcDispatcher(const RpcDispatcher &) = delete;
  RpcDispatcher &operator=(const RpcDispatcher &) = delete;

  /// Serves \p Method, which takes an object of parameters.
  void registerMethod(const std::string &Method, Handler OnCall);

  /// Text of the answer to the call in \p Text. Text that is no call gets an
  /// error answer.
  std::string dispatch(const std::string &Text);

private:
  class Procedures;
  std::unique_ptr<Procedures> Methods;
};

} // namespace hemlockspar
