/// \file
/// JSON-RPC 2.0 envelopes, checked by libjsonrpccpp.
#pragma once

#include <json/json.h>

#include <memory>
#include <string>
#include <vector>

#include "corianderdock/result.h"

namespace corianderdock::net {

/// A valid call. The envelope holds the library's response with a place for
/// the result, so that answers may be given later and in any order.
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

/// A method name and its required parameters, all strings or objects.
struct RpcMethod {
  std::string name;
  std::vector<std::string> required_texts;
};

inline constexpr int kRpcInvalidParams = -32602;
/// Error code of every refused, doubtful or failed request.
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

/// Result of a response text; the error carries the message.
[[nodiscard]] Result<Json::Value> ParseRpcResponse(const std::string& body);

}  // namespace corianderdock::net
