#include "net/RpcCodec.h"
#include "core/Json.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockspar;

namespace {

RpcDispatcher &echo() {
  static RpcDispatcher Dispatcher;
  static bool Bound = false;
  if (!Bound) {
    Dispatcher.registerMethod(
        "echo", [](const Json::Value &Params, Json::Value &Result) {
          Result = Params;
          return Params.isMember("fail") ? std::string("failure requested")
                                         : std::string();
        });
    Bound = true;
  }
  return Dispatcher;
}

} // namespace

Test(RpcCodec, CallAndAnswer) {
  Json::Value Params;
  Params["a"] = 5;
  std::string Call = RpcClientCodec::encodeCall("echo", Params);
  RpcResponse Response = RpcClientCodec::decodeResponse(echo().dispatch(Call));
  cr_assert(Response.Succeeded);
  cr_assert_eq(Response.Result["a"].asInt(), 5);

  Params["fail"] = true;
  Call = RpcClientCodec::encodeCall("echo", Params);
  Response = RpcClientCodec::decodeResponse(echo().dispatch(Call));
  cr_assert_not(Response.Succeeded);
  cr_assert(Response.Error.find("failure requested") != std::string::npos);
}

/// Arbitrary bytes get one response on one line and cause no crash.
Test(RpcCodec, AnyBytes) {
  bool Holds = rc::check("any bytes are answered", [] {
    auto Bytes = *rc::gen::arbitrary<std::string>();
    std::string Response = echo().dispatch(Bytes);
    RC_ASSERT(Response.find('\n') == std::string::npos);
    RC_ASSERT(!RpcClientCodec::decodeResponse(Response).Succeeded);
    RC_ASSERT(!RpcClientCodec::decodeResponse(Bytes).Succeeded);
  });
  cr_assert(Holds);
}

/// Nesting that would overflow the stack of the recursive parser is rejected.
Test(RpcCodec, DeepNesting) {
  std::string Deep = std::string(900, '[') + std::string(900, ']');
  std::string Call =
      R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{"a":)" + Deep + "}}";
  cr_assert(echo().dispatch(Call).find("not well formed") != std::string::npos);
  cr_assert_not(RpcClientCodec::decodeResponse(Deep).Succeeded);

  std::string Quoted =
      R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{"a":")" +
      std::string(900, '[') + R"(\""}})";
  cr_assert(echo().dispatch(Quoted).find("result") != std::string::npos);
}
