/// \file
/// HTTP/1.1 keep-alive listener over several I/O threads.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "corianderdock/types.h"

namespace corianderdock::net {

/// A received request.
struct HttpRequest {
  std::string method;
  std::string target;
  std::string body;
};

/// A response to send. `make_body` runs on the connection's thread.
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::function<std::string()> make_body;
  bool close = false;  ///< ask the client to open a new connection
};

/// Sends the response of one request. Call once, from any thread.
using HttpRespond = std::function<void(HttpResponse)>;

/// Handles a request on a connection's thread. `on_gone` may be set to learn
/// that the client went away before the response.
using HttpHandler = std::function<void(const HttpRequest&, HttpRespond,
                                       std::function<void()>& on_gone)>;

struct HttpLimits {
  std::size_t largest_body = 1 << 20;
  Duration idle_timeout = std::chrono::seconds(60);
  Duration body_timeout = std::chrono::seconds(10);
};

/// Accepts connections and spreads them over the given contexts. Each runs in
/// one thread. Thread-safe: `Stop` may be called from any thread.
class HttpServer {
 public:
  /// Binds at once; throws `boost::system::system_error` when it cannot.
  HttpServer(std::vector<boost::asio::io_context*> contexts,
             const boost::asio::ip::tcp::endpoint& endpoint, HttpLimits limits,
             HttpHandler handler);
  ~HttpServer();

  /// Stops accepting; open connections go on.
  void Stop();

 private:
  struct State;
  static void Accept(const std::shared_ptr<State>& state);
  std::shared_ptr<State> state_;
};

/// Parses `IP:PORT`; throws `std::invalid_argument` with the text.
[[nodiscard]] boost::asio::ip::tcp::endpoint ParseEndpoint(
    const std::string& address);

}  // namespace corianderdock::net
