#include <log4cplus/loggingmacros.h>

#include <boost/asio/post.hpp>
#include <utility>

#include "corianderdock/codec.h"
#include "corianderdock/detail/hash.h"
#include "corianderdock/detail/node_impl.h"

namespace corianderdock {

namespace {

/// Lets the last responses leave before the control thread stops.
constexpr Duration kFinalFlushDelay = Milliseconds(100);
constexpr Duration kFetchTimeout = Milliseconds(900);

}  // namespace

void Node::Impl::Apply(ReplyToClient&& effect) {
  const auto it = pending_calls_.find(effect.call);
  if (it == pending_calls_.end()) return;
  PendingCall pending = std::move(it->second);
  pending_calls_.erase(it);
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
  const auto it = pending_calls_.find(effect.call);
  if (it == pending_calls_.end()) return;
  PendingCall pending = std::move(it->second);
  pending_calls_.erase(it);
  HttpResponse response;
  response.make_body = [rpc = std::move(pending.rpc),
                        answer = std::move(effect.answer)] {
    return rpc.Success(ToJson(answer));
  };
  pending.respond(std::move(response));
}

void Node::Impl::Apply(ReplyGossip&& effect) {
  const auto it = pending_calls_.find(effect.call);
  if (it == pending_calls_.end()) return;
  PendingCall pending = std::move(it->second);
  pending_calls_.erase(it);
  std::string body = pending.rpc.Success(ToJson(effect.gossip));
  control_bytes_ += body.size() + detail::kHttpOverheadBytes;
  pending.respond(
      detail::TextResponse(200, "application/json", std::move(body)));
}

void Node::Impl::Apply(ForwardRequest&& effect) {
  TrafficThread& traffic = ThreadFor(effect.call);
  asio::post(traffic.io, [this, &traffic, effect = std::move(effect)] {
    const CallId call = effect.call;
    const std::uint64_t attempt = effect.attempt;
    traffic.http->Post(
        effect.address, detail::kPeerTarget,
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
  TrafficThread& traffic = ThreadFor(effect.connection);
  asio::post(traffic.io, [&traffic, effect] { traffic.backend->Open(effect); });
}

void Node::Impl::Apply(CloseConnection&& effect) {
  TrafficThread& traffic = ThreadFor(effect.connection);
  asio::post(traffic.io,
             [&traffic, effect] { traffic.backend->Close(effect.connection); });
}

void Node::Impl::Apply(RunStatement&& effect) {
  TrafficThread& traffic = ThreadFor(effect.connection);
  asio::post(traffic.io, [&traffic, effect = std::move(effect)] {
    traffic.backend->Run(effect);
  });
}

void Node::Impl::Apply(RunGroupOperation&& effect) {
  TrafficThread& traffic =
      ThreadFor(detail::HashPair("control", effect.server));
  asio::post(traffic.io,
             [&traffic, effect] { traffic.backend->RunOperation(effect); });
}

void Node::Impl::Apply(SendGossip&& effect) {
  TrafficThread& traffic = ThreadFor(effect.probe);
  asio::post(traffic.io, [this, &traffic, effect = std::move(effect)] {
    std::string body =
        net::MakeRpcRequest("peer.gossip", ToJson(effect.gossip));
    control_bytes_ += body.size() + detail::kHttpOverheadBytes;
    traffic.http->Post(
        effect.address, detail::kPeerTarget, std::move(body), effect.timeout,
        [this, probe = effect.probe](const net::HttpResult& result) {
          GossipResult event{probe, std::nullopt};
          control_bytes_ += result.body.size() + detail::kHttpOverheadBytes;
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

void Node::Impl::Fetch(TrafficThread& traffic, const std::string& address,
                       const std::string& method, std::uint64_t since) {
  Json::Value params(Json::objectValue);
  if (since > 0) params["since"] = since;
  traffic.http->Post(
      address, detail::kPeerTarget, net::MakeRpcRequest(method, params),
      kFetchTimeout, [this, address, method](const net::HttpResult& result) {
        control_bytes_ += result.body.size() + detail::kHttpOverheadBytes;
        if (!result.ok || result.status != 200) return;
        const auto value = net::ParseRpcResponse(result.body);
        if (!value) return;
        if (method == "peer.sheet") {
          auto sheet = ParseAcceptedSheet(*value);
          if (sheet) Post(SheetRead{std::move(*sheet)});
        } else if (value->isMember("digest")) {
          auto change = ParseTopologyChange(*value);
          if (change) Post(TopologyChanged{address, std::move(*change)});
        } else {
          auto topology = ParseTopology(*value);
          if (topology) Post(TopologyRead{std::move(*topology)});
        }
      });
}

void Node::Impl::Apply(FetchFromPeer&& effect) {
  TrafficThread& traffic = *traffic_threads_.front();
  asio::post(traffic.io, [this, &traffic, effect] {
    if (effect.sheet) Fetch(traffic, effect.address, "peer.sheet", 0);
    if (!effect.topology) return;
    Fetch(traffic, effect.address, "peer.topology", effect.known_topology);
  });
}

void Node::Impl::Apply(PollPlatform&& effect) {
  TrafficThread& traffic = *traffic_threads_.front();
  asio::post(traffic.io, [this, effect] {
    platform_->Poll(effect, [this](Event event) { Post(std::move(event)); });
  });
}

void Node::Impl::Apply(LogLine&& effect) {
  LOG4CPLUS_INFO(logger_, effect.text);
}

void Node::Impl::Apply(Exit&&) {
  exit_timer_.expires_after(kFinalFlushDelay);
  exit_timer_.async_wait([this](boost::system::error_code) {
    LOG4CPLUS_INFO(logger_, "instance stopped");
    control_io_.stop();
  });
}

}  // namespace corianderdock
