#include "corianderdock/net/json_rpc.h"

#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <optional>

#include "corianderdock/codec.h"

namespace corianderdock::net {

namespace {

constexpr char kPlaceholder[] = "@corianderdock@";
constexpr int kInvalidRequest = -32600;
constexpr int kParseError = -32700;
constexpr int kMaxNesting = 64;

std::string ErrorWithoutId(int code, const std::string& message) {
  Json::Value out;
  out["jsonrpc"] = "2.0";
  out["id"] = Json::Value();
  out["error"]["code"] = code;
  out["error"]["message"] = message;
  return ToText(out);
}

/// Returns whether brackets nest deeper than in any valid request. The
/// library's parser recurses on them, so deep nesting could overflow the stack.
bool NestsTooDeep(const std::string& body) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t n = 0; n < body.size(); ++n) {
    const char c = body[n];
    if (in_string) {
      if (c == '\\') ++n;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '{' || c == '[') {
      if (++depth > kMaxNesting) return true;
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return false;
}

}  // namespace

std::string RpcCall::Success(const Json::Value& result) const {
  const std::string placeholder = "\"" + std::string(kPlaceholder) + "\"";
  std::string text = envelope;
  const auto at = text.rfind(placeholder);
  return text.replace(at, placeholder.size(), ToText(result));
}

std::string RpcCall::Failure(int code, const std::string& message,
                             const Json::Value& data) const {
  Json::Value error;
  error["code"] = code;
  error["message"] = message;
  error["data"] = data;
  const std::string placeholder =
      "\"result\":\"" + std::string(kPlaceholder) + "\"";
  std::string text = envelope;
  const auto at = text.rfind(placeholder);
  return text.replace(at, placeholder.size(), "\"error\":" + ToText(error));
}

/// Receives validated calls from the library and answers them with the
/// placeholder.
class RpcDispatcher::Handler : public jsonrpc::IProcedureInvokationHandler {
 public:
  explicit Handler(const std::vector<RpcMethod>& methods)
      : protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {
    for (const auto& it : methods) {
      jsonrpc::Procedure procedure(it.name, jsonrpc::PARAMS_BY_NAME,
                                   jsonrpc::JSON_OBJECT, nullptr);
      for (const auto& name : it.required_strings) {
        procedure.AddParameter(name, jsonrpc::JSON_STRING);
      }
      protocol_->AddProcedure(procedure);
    }
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    call_ = RpcCall{procedure.GetProcedureName(), input, {}};
    output = kPlaceholder;
  }

  void HandleNotificationCall(jsonrpc::Procedure&,
                              const Json::Value&) override {}

  Result<RpcCall, std::string> Parse(const std::string& body) {
    call_.reset();
    std::string response;
    protocol_->HandleRequest(body, response);
    while (!response.empty() && response.back() == '\n') response.pop_back();
    if (!call_) {
      if (response.empty()) {
        return ErrorWithoutId(kInvalidRequest,
                              "notifications are not supported");
      }
      return response;
    }
    call_->envelope = std::move(response);
    return std::move(*call_);
  }

 private:
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
  std::optional<RpcCall> call_;
};

RpcDispatcher::RpcDispatcher(const std::vector<RpcMethod>& methods)
    : handler_(std::make_unique<Handler>(methods)) {}

RpcDispatcher::~RpcDispatcher() = default;

Result<RpcCall, std::string> RpcDispatcher::Parse(const std::string& body) {
  const auto first_char = body.find_first_not_of(" \t\r\n");
  if (first_char == std::string::npos || body[first_char] != '{') {
    return ErrorWithoutId(kInvalidRequest, "expected one request object");
  }
  if (NestsTooDeep(body)) return ErrorWithoutId(kParseError, "nested too deep");
  return handler_->Parse(body);
}

std::string MakeRpcRequest(const std::string& method,
                           const Json::Value& params) {
  Json::Value out;
  out["jsonrpc"] = "2.0";
  out["id"] = 1;
  out["method"] = method;
  out["params"] = params;
  return ToText(out);
}

Result<Json::Value> ParseRpcResponse(const std::string& body) {
  auto value = ParseJson(body);
  if (!value) return value.error();
  if (!value->isObject()) return Error{"response", "expected an object"};
  if (value->isMember("error")) {
    const Json::Value& error = (*value)["error"];
    const bool has_text = error.isObject() && error["message"].isString();
    return Error{"response", has_text ? error["message"].asString() : "error"};
  }
  return (*value)["result"];
}

}  // namespace corianderdock::net
