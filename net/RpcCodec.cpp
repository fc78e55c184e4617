#include "net/RpcCodec.h"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <map>

namespace hemlockspar {

namespace {

/// Captures the encoded text of a call and aborts the call.
class CaptureConnector : public jsonrpc::IClientConnector {
public:
  void SendRPCMessage(const std::string &Message,
                      std::string &) throw(jsonrpc::JsonRpcException) override {
    this->Text = Message;
    throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                    "captured");
  }

  std::string Text;
};

/// Answers a call with a response that has already been received.
class ReplayConnector : public jsonrpc::IClientConnector {
public:
  explicit ReplayConnector(const std::string &Response) : Response(Response) {}

  void SendRPCMessage(const std::string &, std::string &Result) throw(
      jsonrpc::JsonRpcException) override {
    Result = this->Response;
  }

private:
  const std::string &Response;
};

constexpr int MaxNestingDepth = 32;

/// Whether brackets nest deeper than in any valid message. The library parses
/// recursively, up to 1000 levels, which would overflow the stack of a
/// coroutine.
bool nestsTooDeep(const std::string &Text) {
  int Depth = 0;
  bool InString = false;

  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    char Character = Text[Index];
    if (InString) {
      Index += Character == '\\';
      InString = Character != '"';
      continue;
    }

    InString = Character == '"';
    Depth += Character == '[' || Character == '{';
    Depth -= Character == ']' || Character == '}';
    if (Depth > MaxNestingDepth) {
      return true;
    }
  }
  return false;
}

const char *const MalformedRequestResponse =
    "{\"jsonrpc\":\"2.0\",\"id\":null,\"error\":{\"code\":-32600,"
    "\"message\":\"request is not well formed\"}}";

} // namespace

std::string RpcClientCodec::encodeCall(const std::string &Method,
                                       const Json::Value &Params) {
  CaptureConnector Connector;
  jsonrpc::Client Client(Connector, jsonrpc::JSONRPC_CLIENT_V2);

  try {
    Json::Value Ignored;
    Client.CallMethod(Method, Params, Ignored);
  } catch (const jsonrpc::JsonRpcException &) {
    // Thrown by the connector once it has captured the text.
  }

  // Calls are framed as one line that ends with a newline.
  if (Connector.Text.empty() || Connector.Text.back() != '\n') {
    Connector.Text.push_back('\n');
  }
  return Connector.Text;
}

RpcResponse RpcClientCodec::decodeResponse(const std::string &Text) {
  ReplayConnector Connector(Text);
  jsonrpc::Client Client(Connector, jsonrpc::JSONRPC_CLIENT_V2);
  RpcResponse Response;

  if (nestsTooDeep(Text)) {
    Response.Error = "the response is nested too deeply";
    Response.Malformed = true;
    return Response;
  }

  try {
    Client.CallMethod("", Json::Value(Json::objectValue), Response.Result);
    Response.Succeeded = true;
  } catch (const jsonrpc::JsonRpcException &Exception) {
    Response.Error = Exception.GetMessage();
    Response.Malformed =
        Exception.GetCode() == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR ||
        Exception.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
  } catch (const Json::Exception &Exception) {
    Response.Error = Exception.what();
    Response.Malformed = true;
  }

  return Response;
}

class RpcDispatcher::Procedures : public jsonrpc::IProcedureInvokationHandler {
public:
  Procedures()
      : Protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void HandleMethodCall(jsonrpc::Procedure &Procedure, const Json::Value &Input,
                        Json::Value &Output) override {
    auto Found = this->Handlers.find(Procedure.GetProcedureName());
    if (Found == this->Handlers.end()) {
      throw jsonrpc::JsonRpcException(
          jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND, "unknown method");
    }

    std::string Error = Found->second(Input, Output);
    if (!Error.empty()) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                      Error);
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure &,
                              const Json::Value &) override {}

  std::map<std::string, Handler> Handlers;
  std::unique_ptr<jsonrpc::IProtocolHandler> Protocol;
};

RpcDispatcher::RpcDispatcher() : Methods(new Procedures()) {}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::registerMethod(const std::string &Method, Handler OnCall) {
  jsonrpc::Procedure Declared(Method, jsonrpc::PARAMS_BY_NAME,
                              jsonrpc::JSON_OBJECT, nullptr);
  this->Methods->Protocol->AddProcedure(Declared);
  this->Methods->Handlers[Method] = std::move(OnCall);
}

std::string RpcDispatcher::dispatch(const std::string &Text) {
  std::string Response;

  if (nestsTooDeep(Text)) {
    return MalformedRequestResponse;
  }

  try {
    this->Methods->Protocol->HandleRequest(Text, Response);
  } catch (const Json::Exception &Exception) {
    Response = MalformedRequestResponse;
  }

  while (!Response.empty() && Response.back() == '\n') {
    Response.pop_back();
  }
  return Response;
}

} // namespace hemlockspar
