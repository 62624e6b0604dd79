#include "corianderdock/node.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <time.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <thread>
#include <utility>
#include <vector>

#include "corianderdock/codec.h"
#include "corianderdock/detail/hash.h"
#include "corianderdock/metrics.h"
#include "corianderdock/net/backend_client.h"
#include "corianderdock/net/http_client.h"
#include "corianderdock/net/http_server.h"
#include "corianderdock/net/json_rpc.h"
#include "corianderdock/net/platform_client.h"
#include "corianderdock/reducer.h"

namespace corianderdock {

namespace asio = boost::asio;
using net::HttpRequest;
using net::HttpRespond;
using net::HttpResponse;
using net::RpcCall;

namespace {

constexpr Duration kFlushTime = Milliseconds(100);
constexpr Duration kFetchTimeout = Milliseconds(900);
constexpr std::size_t kLargestPeerBody = 16 << 20;
constexpr std::uint64_t kHttpOverheadBytes = 160;  // headers of one message
constexpr char kPeerTarget[] = "/peer";

const std::vector<net::RpcMethod>& CallerMethods() {
  static const std::vector<net::RpcMethod> kMethods = {
      {"execute", {"service", "kind", "statement"}},
      {"begin", {"service"}},
      {"commit", {"service", "transaction"}},
      {"rollback", {"service", "transaction"}},
      {"resolve", {"service", "request_id"}},
  };
  return kMethods;
}

const std::vector<net::RpcMethod>& PeerMethods() {
  static const std::vector<net::RpcMethod> kMethods = {
      {"peer.execute", {}},  {"peer.gossip", {}}, {"peer.sheet", {}},
      {"peer.topology", {}}, {"admin.drain", {}},
  };
  return kMethods;
}

Method MethodOf(const std::string& name) {
  for (const Method it : {Method::kExecute, Method::kBegin, Method::kCommit,
                          Method::kRollback, Method::kResolve}) {
    if (name == Name(it)) return it;
  }
  return Method::kExecute;
}

HttpResponse Text(int status, std::string type, std::string body) {
  HttpResponse response;
  response.status = status;
  response.content_type = std::move(type);
  response.make_body = [body = std::move(body)] { return body; };
  return response;
}

double ControlThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

std::uint64_t WallMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

class Node::Impl {
 public:
  explicit Impl(Settings settings);
  void Run();

 private:
  /// What one traffic thread owns.
  struct Traffic {
    asio::io_context io{1};
    std::unique_ptr<asio::executor_work_guard<asio::io_context::executor_type>>
        guard;
    std::unique_ptr<net::HttpClient> http;
    std::unique_ptr<net::BackendClient> backend;
    std::unique_ptr<net::RpcDispatcher> caller_rpc;
    std::unique_ptr<net::RpcDispatcher> peer_rpc;
    std::thread thread;
  };

  /// A call waiting for its answer on the control thread.
  struct Pending {
    RpcCall rpc;
    HttpRespond respond;
    TimePoint arrived;
    Method method = Method::kExecute;
  };

  // Traffic threads.
  void OnCallerHttp(const HttpRequest& request, HttpRespond respond,
                    std::function<void()>& on_gone);
  void OnPeerHttp(const HttpRequest& request, HttpRespond respond);
  void OnPeerCall(RpcCall rpc, HttpRespond respond);
  void OnGet(const std::string& target, HttpRespond respond);
  Traffic& CurrentTraffic();

  // Control thread.
  void Post(Event event);
  void Reduce(const Event& event);
  void Dispatch(Effects effects);
  void ArmTimer();
  void Accept(CallId call, Pending pending, const Event& event);
  void Apply(ReplyToCaller&& effect);
  void Apply(ReplyToPeer&& effect);
  void Apply(ForwardRequest&& effect);
  void Apply(OpenConnection&& effect);
  void Apply(CloseConnection&& effect);
  void Apply(RunStatement&& effect);
  void Apply(CallGroup&& effect);
  void Apply(SendGossip&& effect);
  void Apply(ReplyGossip&& effect);
  void Apply(FetchFromPeer&& effect);
  void Apply(PollPlatform&& effect);
  void Apply(LogLine&& effect);
  void Apply(Exit&& effect);
  void Fetch(Traffic& traffic, const std::string& address,
             const std::string& method);
  void BeginDrain();
  [[nodiscard]] std::string RenderMetrics();
  [[nodiscard]] HttpResponse Health() const;

  Traffic& TrafficOf(std::uint64_t id) {
    return *traffic_[id % traffic_.size()];
  }

  Settings settings_;
  log4cplus::Logger logger_;
  asio::io_context control_{1};
  asio::steady_timer timer_{control_};
  asio::steady_timer exit_timer_{control_};
  asio::signal_set signals_{control_, SIGTERM, SIGINT};
  std::vector<std::unique_ptr<Traffic>> traffic_;
  std::unique_ptr<net::PlatformClient> platform_;
  std::unique_ptr<net::HttpServer> callers_;
  std::unique_ptr<net::HttpServer> peers_;
  std::unique_ptr<Reducer> reducer_;
  std::map<CallId, Pending> pending_;
  Metrics metrics_;
  std::atomic<CallId> next_call_{1};
  std::atomic<std::uint64_t> control_bytes_{0};
};

Node::Impl::Impl(Settings settings)
    : settings_(std::move(settings)),
      logger_(log4cplus::Logger::getInstance("corianderdock")) {
  settings_.identity.incarnation = WallMilliseconds();
  reducer_ = std::make_unique<Reducer>(settings_.identity, settings_.options,
                                       std::random_device()());
  net::BackendOptions backend;
  backend.user = settings_.database_user;
  backend.database = settings_.database_name;
  backend.application_name =
      settings_.identity.zone + "/" + settings_.identity.instance;
  std::vector<asio::io_context*> contexts;
  for (int n = 0; n < settings_.traffic_threads; ++n) {
    auto traffic = std::make_unique<Traffic>();
    traffic->guard = std::make_unique<
        asio::executor_work_guard<asio::io_context::executor_type>>(
        traffic->io.get_executor());
    traffic->http = std::make_unique<net::HttpClient>(traffic->io);
    traffic->backend = std::make_unique<net::BackendClient>(
        traffic->io, backend, [this](Event event) { Post(std::move(event)); });
    traffic->caller_rpc = std::make_unique<net::RpcDispatcher>(CallerMethods());
    traffic->peer_rpc = std::make_unique<net::RpcDispatcher>(PeerMethods());
    contexts.push_back(&traffic->io);
    traffic_.push_back(std::move(traffic));
  }
  platform_ = std::make_unique<net::PlatformClient>(traffic_.front()->io,
                                                    settings_.platform);
  net::HttpLimits limits;
  limits.largest_body = settings_.largest_body;
  callers_ = std::make_unique<net::HttpServer>(
      contexts, net::ParseEndpoint(settings_.listen), limits,
      [this](HttpRequest request, HttpRespond respond,
             std::function<void()>& on_gone) {
        OnCallerHttp(request, std::move(respond), on_gone);
      });
  limits.largest_body = kLargestPeerBody;
  peers_ = std::make_unique<net::HttpServer>(
      contexts, net::ParseEndpoint(settings_.peer_listen), limits,
      [this](HttpRequest request, HttpRespond respond, std::function<void()>&) {
        OnPeerHttp(request, std::move(respond));
      });
}

void Node::Impl::Run() {
  LOG4CPLUS_INFO(logger_, "instance " << settings_.identity.instance
                                      << " serves callers at "
                                      << settings_.listen);
  signals_.async_wait([this](boost::system::error_code ec, int) {
    if (!ec) BeginDrain();
  });
  for (auto& it : traffic_) {
    it->thread = std::thread([&traffic = *it] { traffic.io.run(); });
  }
  asio::post(control_, [this] {
    Dispatch(reducer_->Start(Clock::now()));
    ArmTimer();
  });
  control_.run();
  for (auto& it : traffic_) it->io.stop();
  for (auto& it : traffic_) it->thread.join();
}

// Traffic threads ------------------------------------------------------------

Node::Impl::Traffic& Node::Impl::CurrentTraffic() {
  for (auto& it : traffic_) {
    if (it->thread.get_id() == std::this_thread::get_id()) return *it;
  }
  return *traffic_.front();
}

void Node::Impl::OnGet(const std::string& target, HttpRespond respond) {
  asio::post(control_, [this, target, respond = std::move(respond)] {
    if (target == "/health") return respond(Health());
    if (target == "/metrics") {
      return respond(Text(200, "text/plain; version=0.0.4", RenderMetrics()));
    }
    if (target == "/state") {
      return respond(Text(200, "application/json", DumpState(*reducer_)));
    }
    respond(Text(404, "text/plain", "not found\n"));
  });
}

void Node::Impl::OnCallerHttp(const HttpRequest& request, HttpRespond respond,
                              std::function<void()>& on_gone) {
  if (request.method == "GET") return OnGet(request.target, std::move(respond));
  if (request.method != "POST") {
    return respond(Text(405, "text/plain", "use POST\n"));
  }
  const TimePoint arrived = Clock::now();
  auto rpc = CurrentTraffic().caller_rpc->Parse(request.body);
  if (!rpc) return respond(Text(200, "application/json", rpc.error()));
  const Method method = MethodOf(rpc->method);
  auto parsed = ParseRequest(method, rpc->params);
  if (!parsed) {
    Json::Value data;
    data["outcome"] = Name(Outcome::kNotRun);
    data["place"] = parsed.error().place;
    return respond(
        Text(200, "application/json",
             rpc->Failure(net::kRpcInvalidParams,
                          parsed.error().place + ": " + parsed.error().reason,
                          data)));
  }
  const CallId call = next_call_++;
  on_gone = [this, call] { Post(CallerGone{call}); };
  rpc->params = Json::Value();
  asio::post(
      control_,
      [this, call,
       pending = Pending{std::move(*rpc), std::move(respond), arrived, method},
       event = CallerRequest{call, std::move(*parsed)}]() mutable {
        Accept(call, std::move(pending), event);
      });
}

void Node::Impl::OnPeerHttp(const HttpRequest& request, HttpRespond respond) {
  if (request.method == "GET") return OnGet(request.target, std::move(respond));
  if (request.method != "POST") {
    return respond(Text(405, "text/plain", "use POST\n"));
  }
  auto rpc = CurrentTraffic().peer_rpc->Parse(request.body);
  if (!rpc) return respond(Text(200, "application/json", rpc.error()));
  if (rpc->method == "peer.gossip") {
    control_bytes_ += request.body.size() + kHttpOverheadBytes;
  }
  OnPeerCall(std::move(*rpc), std::move(respond));
}

void Node::Impl::OnPeerCall(RpcCall rpc, HttpRespond respond) {
  auto reject = [&](const Error& error) {
    respond(Text(200, "application/json",
                 rpc.Failure(net::kRpcInvalidParams,
                             error.place + ": " + error.reason, {})));
  };
  if (rpc.method == "peer.execute") {
    auto routed = ParseRoutedRequest(rpc.params);
    if (!routed) return reject(routed.error());
    const CallId call = next_call_++;
    asio::post(control_,
               [this, call,
                pending = Pending{std::move(rpc), std::move(respond),
                                  Clock::now(), Method::kExecute},
                event = PeerRequest{call, std::move(*routed)}]() mutable {
                 Accept(call, std::move(pending), event);
               });
    return;
  }
  if (rpc.method == "peer.gossip") {
    auto gossip = ParseGossip(rpc.params);
    if (!gossip) return reject(gossip.error());
    const CallId call = next_call_++;
    asio::post(control_,
               [this, call,
                pending = Pending{std::move(rpc), std::move(respond),
                                  Clock::now(), Method::kExecute},
                event = GossipRequest{call, std::move(*gossip)}]() mutable {
                 Accept(call, std::move(pending), event);
               });
    return;
  }
  asio::post(control_,
             [this, rpc = std::move(rpc), respond = std::move(respond)] {
               Json::Value result(Json::objectValue);
               if (rpc.method == "peer.sheet") {
                 result = ToJson(reducer_->configuration().accepted());
               } else if (rpc.method == "peer.topology") {
                 result = ToJson(reducer_->directory().topology());
               } else {
                 BeginDrain();
               }
               respond(Text(200, "application/json", rpc.Success(result)));
             });
}

// Control thread -------------------------------------------------------------

void Node::Impl::Post(Event event) {
  asio::post(control_, [this, event = std::move(event)] { Reduce(event); });
}

void Node::Impl::Accept(CallId call, Pending pending, const Event& event) {
  pending_.emplace(call, std::move(pending));
  Reduce(event);
}

void Node::Impl::Reduce(const Event& event) {
  const TimePoint start = Clock::now();
  Effects effects = reducer_->Reduce(start, event);
  metrics_.Latency("reduce_seconds", "").Record(Clock::now() - start);
  Dispatch(std::move(effects));
  ArmTimer();
}

void Node::Impl::Dispatch(Effects effects) {
  for (auto& it : effects) {
    std::visit(
        [this](auto&& effect) {
          Apply(std::forward<decltype(effect)>(effect));
        },
        std::move(it));
  }
}

void Node::Impl::ArmTimer() {
  const auto next = reducer_->NextTimer();
  if (!next) return;
  timer_.expires_at(*next);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) Reduce(TimePassed{});
  });
}

void Node::Impl::BeginDrain() {
  callers_->Stop();
  Reduce(DrainRequested{});
}

void Node::Impl::Apply(ReplyToCaller&& effect) {
  const auto it = pending_.find(effect.call);
  if (it == pending_.end()) return;
  Pending pending = std::move(it->second);
  pending_.erase(it);
  const std::string labels = std::string("method=\"") + Name(pending.method) +
                             "\",outcome=\"" + Name(effect.answer.outcome) +
                             "\"";
  metrics_.Latency("request_seconds", labels)
      .Record(Clock::now() - pending.arrived);
  HttpResponse response;
  response.close = reducer_->Draining();
  response.make_body = [rpc = std::move(pending.rpc),
                        answer = std::move(effect.answer)] {
    const Json::Value result = ToJson(answer);
    if (answer.outcome == Outcome::kDone) return rpc.Success(result);
    return rpc.Failure(net::kRpcOutcome, Name(answer.outcome), result);
  };
  pending.respond(std::move(response));
}

void Node::Impl::Apply(ReplyToPeer&& effect) {
  const auto it = pending_.find(effect.call);
  if (it == pending_.end()) return;
  Pending pending = std::move(it->second);
  pending_.erase(it);
  HttpResponse response;
  response.make_body = [rpc = std::move(pending.rpc),
                        answer = std::move(effect.answer)] {
    return rpc.Success(ToJson(answer));
  };
  pending.respond(std::move(response));
}

void Node::Impl::Apply(ReplyGossip&& effect) {
  const auto it = pending_.find(effect.call);
  if (it == pending_.end()) return;
  Pending pending = std::move(it->second);
  pending_.erase(it);
  std::string body = pending.rpc.Success(ToJson(effect.gossip));
  control_bytes_ += body.size() + kHttpOverheadBytes;
  pending.respond(Text(200, "application/json", std::move(body)));
}

void Node::Impl::Apply(ForwardRequest&& effect) {
  Traffic& traffic = TrafficOf(effect.call);
  asio::post(traffic.io, [this, &traffic, effect = std::move(effect)] {
    const CallId call = effect.call;
    const std::uint64_t attempt = effect.attempt;
    traffic.http->Post(
        effect.address, kPeerTarget,
        net::MakeRpcRequest("peer.execute", ToJson(effect.routed)),
        effect.timeout, [this, call, attempt](const net::HttpResult& result) {
          ForwardResult event{call, attempt, result.sent, std::nullopt};
          if (result.ok && result.status == 200) {
            const auto value = net::ParseRpcResponse(result.body);
            if (value) {
              auto answer = ParseRoutedAnswer(*value);
              if (answer) event.answer = std::move(*answer);
            }
          }
          Post(std::move(event));
        });
  });
}

void Node::Impl::Apply(OpenConnection&& effect) {
  Traffic& traffic = TrafficOf(effect.connection);
  asio::post(traffic.io, [&traffic, effect] { traffic.backend->Open(effect); });
}

void Node::Impl::Apply(CloseConnection&& effect) {
  Traffic& traffic = TrafficOf(effect.connection);
  asio::post(traffic.io,
             [&traffic, effect] { traffic.backend->Close(effect.connection); });
}

void Node::Impl::Apply(RunStatement&& effect) {
  Traffic& traffic = TrafficOf(effect.connection);
  asio::post(traffic.io, [&traffic, effect = std::move(effect)] {
    traffic.backend->Run(effect);
  });
}

void Node::Impl::Apply(CallGroup&& effect) {
  Traffic& traffic = TrafficOf(detail::HashPair("control", effect.server));
  asio::post(traffic.io, [&traffic, effect] { traffic.backend->Call(effect); });
}

void Node::Impl::Apply(SendGossip&& effect) {
  Traffic& traffic = TrafficOf(effect.probe);
  asio::post(traffic.io, [this, &traffic, effect = std::move(effect)] {
    std::string body =
        net::MakeRpcRequest("peer.gossip", ToJson(effect.gossip));
    control_bytes_ += body.size() + kHttpOverheadBytes;
    traffic.http->Post(
        effect.address, kPeerTarget, std::move(body), effect.timeout,
        [this, probe = effect.probe](const net::HttpResult& result) {
          GossipResult event{probe, std::nullopt};
          control_bytes_ += result.body.size() + kHttpOverheadBytes;
          if (result.ok && result.status == 200) {
            const auto value = net::ParseRpcResponse(result.body);
            if (value) {
              auto gossip = ParseGossip(*value);
              if (gossip) event.gossip = std::move(*gossip);
            }
          }
          Post(std::move(event));
        });
  });
}

void Node::Impl::Fetch(Traffic& traffic, const std::string& address,
                       const std::string& method) {
  traffic.http->Post(
      address, kPeerTarget,
      net::MakeRpcRequest(method, Json::Value(Json::objectValue)),
      kFetchTimeout, [this, method](const net::HttpResult& result) {
        control_bytes_ += result.body.size() + kHttpOverheadBytes;
        if (!result.ok || result.status != 200) return;
        const auto value = net::ParseRpcResponse(result.body);
        if (!value) return;
        if (method == "peer.sheet") {
          auto sheet = ParseAcceptedSheet(*value);
          if (sheet) Post(SheetRead{std::move(*sheet)});
        } else {
          auto topology = ParseTopology(*value);
          if (topology) Post(TopologyRead{std::move(*topology)});
        }
      });
}

void Node::Impl::Apply(FetchFromPeer&& effect) {
  Traffic& traffic = *traffic_.front();
  asio::post(traffic.io, [this, &traffic, effect] {
    if (effect.sheet) Fetch(traffic, effect.address, "peer.sheet");
    if (effect.topology) Fetch(traffic, effect.address, "peer.topology");
  });
}

void Node::Impl::Apply(PollPlatform&& effect) {
  Traffic& traffic = *traffic_.front();
  asio::post(traffic.io, [this, effect] {
    platform_->Poll(effect, [this](Event event) { Post(std::move(event)); });
  });
}

void Node::Impl::Apply(LogLine&& effect) {
  LOG4CPLUS_INFO(logger_, effect.text);
}

void Node::Impl::Apply(Exit&&) {
  exit_timer_.expires_after(kFlushTime);
  exit_timer_.async_wait([this](boost::system::error_code) {
    LOG4CPLUS_INFO(logger_, "stopped");
    control_.stop();
  });
}

std::string Node::Impl::RenderMetrics() {
  std::map<std::string, double> gauges;
  gauges["sheet_version"] =
      static_cast<double>(reducer_->configuration().accepted().version);
  gauges["calls"] = static_cast<double>(reducer_->calls().size());
  gauges["work"] = static_cast<double>(reducer_->work().size());
  gauges["transactions"] = static_cast<double>(reducer_->work().transactions());
  gauges["ready"] = reducer_->Ready() ? 1 : 0;
  gauges["control_thread_seconds"] = ControlThreadSeconds();
  gauges["control_bytes"] = static_cast<double>(control_bytes_.load());
  return metrics_.Render(reducer_->counters(), gauges);
}

HttpResponse Node::Impl::Health() const {
  Json::Value out;
  out["instance"] = settings_.identity.instance;
  out["ready"] = reducer_->Ready();
  out["draining"] = reducer_->Draining();
  out["sheet_version"] = reducer_->configuration().accepted().version;
  return Text(reducer_->Ready() ? 200 : 503, "application/json", ToText(out));
}

Node::Node(Settings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

Node::~Node() = default;

void Node::Run() { impl_->Run(); }

}  // namespace corianderdock
