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

/// Takes the text of a call and ends the call there.
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

/// Answers a call with a text that has already arrived.
class ReplayConnector : public jsonrpc::IClientConnector {
public:
  explicit ReplayConnector(const std::string &Answer) : Answer(Answer) {}

  void SendRPCMessage(const std::string &, std::string &Result) throw(
      jsonrpc::JsonRpcException) override {
    Result = this->Answer;
  }

private:
  const std::string &Answer;
};

constexpr int MaxDepth = 32;

/// Whether brackets nest deeper than any message here does. The library reads
/// by recursion, 1000 levels deep, which the stack of a coroutine does not
/// bear.
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
    if (Depth > MaxDepth) {
      return true;
    }
  }
  return false;
}

const char *const MalformedAnswer =
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
    // Thrown by the connector, once it has the text.
  }

  // One line, ended: that is how calls travel.
  if (Connector.Text.empty() || Connector.Text.back() != '\n') {
    Connector.Text.push_back('\n');
  }
  return Connector.Text;
}

RpcAnswer RpcClientCodec::decodeAnswer(const std::string &Text) {
  ReplayConnector Connector(Text);
  jsonrpc::Client Client(Connector, jsonrpc::JSONRPC_CLIENT_V2);
  RpcAnswer Answer;

  if (nestsTooDeep(Text)) {
    Answer.Error = "answer nests too deep";
    return Answer;
  }

  try {
    Client.CallMethod("", Json::Value(Json::objectValue), Answer.Result);
    Answer.Succeeded = true;
  } catch (const jsonrpc::JsonRpcException &Exception) {
    Answer.Error = Exception.GetMessage();
  } catch (const Json::Exception &Exception) {
    Answer.Error = Exception.what();
  }

  return Answer;
}

class RpcDispatcher::Procedures : public jsonrpc::IProcedureInvokationHandler {
public:
  Procedures()
      : Protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void HandleMethodCall(jsonrpc::Procedure &Procedure, const Json::Value &Input,
                        Json::Value &Output) override {
    auto Place = this->Handlers.find(Procedure.GetProcedureName());
    if (Place == this->Handlers.end()) {
      throw jsonrpc::JsonRpcException(
          jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND, "no such method");
    }

    std::string Error = Place->second(Input, Output);
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

RpcDispatcher::RpcDispatcher() : Bound(new Procedures()) {}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::bind(const std::string &Method, Handler OnCall) {
  jsonrpc::Procedure Declared(Method, jsonrpc::PARAMS_BY_NAME,
                              jsonrpc::JSON_OBJECT, nullptr);
  this->Bound->Protocol->AddProcedure(Declared);
  this->Bound->Handlers[Method] = std::move(OnCall);
}

std::string RpcDispatcher::dispatch(const std::string &Text) {
  std::string Answer;

  if (nestsTooDeep(Text)) {
    return MalformedAnswer;
  }

  try {
    this->Bound->Protocol->HandleRequest(Text, Answer);
  } catch (const Json::Exception &Exception) {
    Answer = MalformedAnswer;
  }

  while (!Answer.empty() && Answer.back() == '\n') {
    Answer.pop_back();
  }
  return Answer;
}

} // namespace hemlockspar
