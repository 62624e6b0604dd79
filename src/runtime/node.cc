#include <log4cplus/loggingmacros.h>
#include <time.h>

#include <boost/asio/post.hpp>
#include <random>
#include <utility>

#include "corianderdock/codec.h"
#include "corianderdock/detail/node_impl.h"

namespace corianderdock {

namespace {

constexpr std::size_t kMaxPeerBodyBytes = 16 << 20;

const std::vector<net::RpcMethod>& ClientMethods() {
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

double ControlThreadCpuSeconds() {
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

HttpResponse detail::TextResponse(int status, std::string type,
                                  std::string body) {
  HttpResponse response;
  response.status = status;
  response.content_type = std::move(type);
  response.make_body = [body = std::move(body)] { return body; };
  return response;
}

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
    auto traffic = std::make_unique<TrafficThread>();
    traffic->guard = std::make_unique<
        asio::executor_work_guard<asio::io_context::executor_type>>(
        traffic->io.get_executor());
    traffic->http = std::make_unique<net::HttpClient>(traffic->io);
    traffic->backend = std::make_unique<net::BackendClient>(
        traffic->io, backend, [this](Event event) { Post(std::move(event)); });
    traffic->client_rpc = std::make_unique<net::RpcDispatcher>(ClientMethods());
    traffic->peer_rpc = std::make_unique<net::RpcDispatcher>(PeerMethods());
    contexts.push_back(&traffic->io);
    traffic_threads_.push_back(std::move(traffic));
  }
  platform_ = std::make_unique<net::PlatformClient>(
      traffic_threads_.front()->io, settings_.platform);
  budget_ = std::make_shared<net::ConnectionBudget>(
      BudgetOf(settings_),
      [this](const std::string& text) { LOG4CPLUS_WARN(logger_, text); });
  net::HttpLimits limits;
  limits.max_header_bytes = settings_.max_header_bytes;
  limits.max_body_bytes = settings_.max_body_bytes;
  limits.idle_timeout = settings_.idle_timeout;
  limits.body_timeout = settings_.body_timeout;
  client_listener_ = std::make_unique<net::HttpServer>(
      contexts, net::ParseEndpoint(settings_.listen), limits,
      [this](const HttpRequest& request, HttpRespond respond,
             std::function<void()>& on_disconnect) {
        OnClientHttp(request, std::move(respond), on_disconnect);
      },
      budget_);
  limits.max_body_bytes = kMaxPeerBodyBytes;
  limits.kind = PeerKind::kInstance;
  peer_listener_ = std::make_unique<net::HttpServer>(
      contexts, net::ParseEndpoint(settings_.peer_listen), limits,
      [this](const HttpRequest& request, HttpRespond respond,
             std::function<void()>&) {
        OnPeerHttp(request, std::move(respond));
      },
      budget_);
}

void Node::Impl::Run() {
  LOG4CPLUS_INFO(
      logger_, "instance started instance=" << settings_.identity.instance
                                            << " listen=" << settings_.listen);
  signals_.async_wait([this](boost::system::error_code ec, int) {
    if (!ec) BeginDrain();
  });
  for (auto& it : traffic_threads_) {
    it->thread = std::thread([&traffic = *it] { traffic.io.run(); });
  }
  asio::post(control_io_, [this] {
    Dispatch(reducer_->Start(Clock::now()));
    ArmTimer();
  });
  control_io_.run();
  for (auto& it : traffic_threads_) it->io.stop();
  for (auto& it : traffic_threads_) it->thread.join();
}

void Node::Impl::Post(Event event) {
  asio::post(control_io_, [this, event = std::move(event)] { Reduce(event); });
}

void Node::Impl::StartCall(CallId call, PendingCall pending,
                           const Event& event) {
  pending_calls_.emplace(call, std::move(pending));
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
  client_listener_->Stop();
  Reduce(DrainRequested{});
}

std::string Node::Impl::RenderMetrics() {
  std::map<std::string, double> gauges;
  gauges["sheet_version"] =
      static_cast<double>(reducer_->configuration().accepted().version);
  gauges["calls"] = static_cast<double>(reducer_->calls().size());
  gauges["work"] = static_cast<double>(reducer_->scheduler().size());
  gauges["transactions"] =
      static_cast<double>(reducer_->scheduler().transactions());
  gauges["ready"] = reducer_->Ready() ? 1 : 0;
  gauges["control_thread_seconds"] = ControlThreadCpuSeconds();
  gauges["control_bytes"] = static_cast<double>(control_bytes_.load());
  gauges.merge(budget_->Gauges());
  auto counters = reducer_->counters();
  counters.merge(budget_->Counters());
  return metrics_.Render(counters, gauges);
}

HttpResponse Node::Impl::Health() const {
  Json::Value out;
  out["instance"] = settings_.identity.instance;
  out["ready"] = reducer_->Ready();
  out["draining"] = reducer_->Draining();
  out["sheet_version"] = reducer_->configuration().accepted().version;
  return detail::TextResponse(reducer_->Ready() ? 200 : 503, "application/json",
                              ToText(out));
}

Node::Node(Settings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

Node::~Node() = default;

void Node::Run() { impl_->Run(); }

}  // namespace corianderdock
