/// \file
/// Threads and adapters of a running instance.
#pragma once

#include <log4cplus/logger.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "corianderdock/metrics.h"
#include "corianderdock/net/backend_client.h"
#include "corianderdock/net/connection_budget.h"
#include "corianderdock/net/http_client.h"
#include "corianderdock/net/http_server.h"
#include "corianderdock/net/json_rpc.h"
#include "corianderdock/net/platform_client.h"
#include "corianderdock/node.h"
#include "corianderdock/reducer.h"

namespace corianderdock {

namespace asio = boost::asio;
using net::HttpRequest;
using net::HttpRespond;
using net::HttpResponse;
using net::RpcCall;

namespace detail {

/// Estimated bytes of HTTP headers, counted for each control message.
inline constexpr std::uint64_t kHttpOverheadBytes = 160;
/// Target of requests between instances.
inline constexpr char kPeerTarget[] = "/peer";

/// A response with a fixed body.
[[nodiscard]] HttpResponse TextResponse(int status, std::string type,
                                        std::string body);

}  // namespace detail

/// State of a node. The member functions are grouped by the thread that runs
/// them; `Post` may be called from any thread.
class Node::Impl {
 public:
  explicit Impl(Settings settings);
  void Run();

 private:
  /// One traffic thread and the objects that only it uses.
  struct TrafficThread {
    asio::io_context io{1};
    std::unique_ptr<asio::executor_work_guard<asio::io_context::executor_type>>
        guard;
    std::unique_ptr<net::HttpClient> http;
    std::unique_ptr<net::BackendClient> backend;
    std::unique_ptr<net::RpcDispatcher> client_rpc;
    std::unique_ptr<net::RpcDispatcher> peer_rpc;
    std::thread thread;
  };

  /// A call that awaits the reducer's answer; owned by the control thread.
  struct PendingCall {
    RpcCall rpc;
    HttpRespond respond;
    TimePoint arrived;
    Method method = Method::kExecute;
  };

  // Traffic threads.
  void OnClientHttp(const HttpRequest& request, HttpRespond respond,
                    std::function<void()>& on_disconnect);
  void OnPeerHttp(const HttpRequest& request, HttpRespond respond);
  void OnPeerCall(RpcCall rpc, HttpRespond respond);
  void PostPeerCall(CallId call, RpcCall rpc, HttpRespond respond, Event event);
  void OnGet(const std::string& target, HttpRespond respond);
  TrafficThread& CurrentThread();

  // Control thread.
  void Post(Event event);
  void Reduce(const Event& event);
  void Dispatch(Effects effects);
  void ArmTimer();
  void StartCall(CallId call, PendingCall pending, const Event& event);
  void Apply(ReplyToClient&& effect);
  void Apply(ReplyToPeer&& effect);
  void Apply(ForwardRequest&& effect);
  void Apply(OpenConnection&& effect);
  void Apply(CloseConnection&& effect);
  void Apply(RunStatement&& effect);
  void Apply(RunGroupOperation&& effect);
  void Apply(SendGossip&& effect);
  void Apply(ReplyGossip&& effect);
  void Apply(FetchFromPeer&& effect);
  void Apply(PollPlatform&& effect);
  void Apply(LogLine&& effect);
  void Apply(Exit&& effect);
  void Fetch(TrafficThread& traffic, const std::string& address,
             const std::string& method, std::uint64_t since);
  void BeginDrain();
  [[nodiscard]] std::string RenderMetrics();
  [[nodiscard]] HttpResponse Health() const;

  TrafficThread& ThreadFor(std::uint64_t id) {
    return *traffic_threads_[id % traffic_threads_.size()];
  }

  Settings settings_;
  log4cplus::Logger logger_;
  asio::io_context control_io_{1};
  asio::steady_timer timer_{control_io_};
  asio::steady_timer exit_timer_{control_io_};
  asio::signal_set signals_{control_io_, SIGTERM, SIGINT};
  std::vector<std::unique_ptr<TrafficThread>> traffic_threads_;
  std::shared_ptr<net::ConnectionBudget> budget_;
  std::unique_ptr<net::PlatformClient> platform_;
  std::unique_ptr<net::HttpServer> client_listener_;
  std::unique_ptr<net::HttpServer> peer_listener_;
  std::unique_ptr<Reducer> reducer_;
  std::map<CallId, PendingCall> pending_calls_;
  Metrics metrics_;
  std::atomic<CallId> next_call_{1};
  std::atomic<std::uint64_t> control_bytes_{0};
};

}  // namespace corianderdock
