/// \file
/// JSON-RPC 2.0 messages, validated by libjsonrpccpp.
#pragma once

#include <json/json.h>

#include <memory>
#include <string>
#include <vector>

#include "corianderdock/result.h"

namespace corianderdock::net {

/// A valid call. `envelope` is the library's response with a placeholder for
/// the result, so that calls may be answered later and in any order.
struct RpcCall {
  std::string method;
  Json::Value params;
  std::string envelope;

  /// Response text with `result`.
  [[nodiscard]] std::string Success(const Json::Value& result) const;

  /// Response text with an error object.
  [[nodiscard]] std::string Failure(int code, const std::string& message,
                                    const Json::Value& data) const;
};

/// A method and its required parameters, which must be strings.
struct RpcMethod {
  std::string name;
  std::vector<std::string> required_strings;
};

inline constexpr int kRpcInvalidParams = -32602;
/// Error code of every request whose outcome is not `done`.
inline constexpr int kRpcOutcome = -32000;

/// Checks request bodies against a set of methods. Not thread-safe.
class RpcDispatcher {
 public:
  explicit RpcDispatcher(const std::vector<RpcMethod>& methods);
  ~RpcDispatcher();

  /// Returns the call, or the error response to send.
  [[nodiscard]] Result<RpcCall, std::string> Parse(const std::string& body);

 private:
  class Handler;
  std::unique_ptr<Handler> handler_;
};

/// Text of a request with id 1.
[[nodiscard]] std::string MakeRpcRequest(const std::string& method,
                                         const Json::Value& params);

/// Returns the result of a response; an error has the message of the response.
[[nodiscard]] Result<Json::Value> ParseRpcResponse(const std::string& body);

}  // namespace corianderdock::net
