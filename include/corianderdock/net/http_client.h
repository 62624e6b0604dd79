/// \file
/// HTTP/1.1 client with pooled keep-alive connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "corianderdock/types.h"

namespace corianderdock::net {

/// What came of a request.
struct HttpResult {
  bool ok = false;    ///< a response arrived
  bool sent = false;  ///< the request may have reached the server
  int status = 0;
  std::string body;
};

/// Posts requests. Not thread-safe; use one for each I/O thread, from it.
class HttpClient {
 public:
  using Callback = std::function<void(HttpResult)>;

  /// \pre `io` outlives this object.
  explicit HttpClient(boost::asio::io_context& io);
  ~HttpClient();

  /// Sends `body` and calls back exactly once, after `timeout` at the latest.
  void Post(const std::string& address, const std::string& target,
            std::string body, Duration timeout, Callback callback);

  /// The same with GET.
  void Get(const std::string& address, const std::string& target,
           Duration timeout, Callback callback);

 private:
  class Exchange;
  struct Pool;
  void Start(const std::string& address, const std::string& target,
             bool is_post, std::string body, Duration timeout,
             Callback callback);

  boost::asio::io_context& io_;
  std::shared_ptr<Pool> pool_;
};

}  // namespace corianderdock::net
