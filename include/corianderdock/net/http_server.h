/// \file
/// HTTP/1.1 server with keep-alive connections on several I/O threads.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "corianderdock/net/connection_budget.h"
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
  /// Close the connection after the response, so that the client opens a new
  /// one, which may reach another instance.
  bool close = false;
};

/// Sends the response to one request. Must be called exactly once; any thread
/// may call it.
using HttpRespond = std::function<void(HttpResponse)>;

/// Handles a request on a connection's thread. `on_disconnect` may be set to be
/// notified when the client disconnects before the response.
using HttpHandler = std::function<void(const HttpRequest&, HttpRespond,
                                       std::function<void()>& on_disconnect)>;

struct HttpLimits {
  /// What the connections count as in a budget.
  PeerKind kind = PeerKind::kHttp;
  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_header_bytes = 8 << 10;
  /// Limits on receiving a header, from the end of the response before, and on
  /// receiving a body and sending a response.
  Duration idle_timeout = std::chrono::seconds(60);
  Duration body_timeout = std::chrono::seconds(10);
};

/// Accepts connections and distributes them round-robin over the given
/// contexts, each of which runs in one thread. With a budget, connections and
/// their bytes count in it. `Stop` may be called from any thread.
class HttpServer {
 public:
  /// Binds `endpoint` and starts to accept; throws
  /// `boost::system::system_error` when it cannot be bound.
  HttpServer(std::vector<boost::asio::io_context*> contexts,
             const boost::asio::ip::tcp::endpoint& endpoint, HttpLimits limits,
             HttpHandler handler,
             std::shared_ptr<ConnectionBudget> budget = nullptr);
  ~HttpServer();

  /// Stops accepting; open connections are still served.
  void Stop();

 private:
  struct State;
  static void Accept(const std::shared_ptr<State>& state);
  std::shared_ptr<State> state_;
};

/// Parses `IP:PORT`; throws `std::invalid_argument` that names the text found.
[[nodiscard]] boost::asio::ip::tcp::endpoint ParseEndpoint(
    const std::string& address);

}  // namespace corianderdock::net
