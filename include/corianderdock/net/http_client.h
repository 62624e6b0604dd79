/// \file
/// HTTP/1.1 client with pooled keep-alive connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "corianderdock/types.h"

namespace corianderdock::net {

/// Result of a request.
struct HttpResult {
  bool ok = false;    ///< a response arrived
  bool sent = false;  ///< the request may have reached the server
  int status = 0;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;  ///< as received

  /// Returns the value of a header, whose name is compared without case; null
  /// unless the response has it exactly once.
  [[nodiscard]] const std::string* Header(std::string_view name) const;
};

/// A request to send.
struct HttpCall {
  std::string method = "GET";
  std::string address;  ///< IP:PORT
  std::string target;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
};

/// Sends requests. Not thread-safe; each I/O thread needs its own client.
class HttpClient {
 public:
  using Callback = std::function<void(HttpResult)>;

  /// \pre `io` outlives this object.
  explicit HttpClient(boost::asio::io_context& io);
  ~HttpClient();

  /// Sends `call`; `callback` is called exactly once, after `timeout` at the
  /// latest.
  void Send(HttpCall call, Duration timeout, Callback callback);

  /// Sends a POST request with `body`; otherwise as `Send`.
  void Post(const std::string& address, const std::string& target,
            std::string body, Duration timeout, Callback callback);

  /// Sends a GET request; otherwise as `Send`.
  void Get(const std::string& address, const std::string& target,
           Duration timeout, Callback callback);

 private:
  class Exchange;
  struct Pool;
  boost::asio::io_context& io_;
  std::shared_ptr<Pool> pool_;
};

}  // namespace corianderdock::net
