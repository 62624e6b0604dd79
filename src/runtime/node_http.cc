#include <boost/asio/post.hpp>
#include <utility>

#include "corianderdock/codec.h"
#include "corianderdock/detail/fields.h"
#include "corianderdock/detail/node_impl.h"

namespace corianderdock {

namespace {

constexpr std::uint64_t kHttpOverheadBytes = 160;  // headers of one message

Method MethodOf(const std::string& name) {
  for (const Method it : {Method::kExecute, Method::kBegin, Method::kCommit,
                          Method::kRollback, Method::kResolve}) {
    if (name == Name(it)) return it;
  }
  return Method::kExecute;
}

}  // namespace

Node::Impl::TrafficThread& Node::Impl::CurrentThread() {
  for (auto& it : traffic_threads_) {
    if (it->thread.get_id() == std::this_thread::get_id()) return *it;
  }
  return *traffic_threads_.front();
}

void Node::Impl::OnGet(const std::string& target, HttpRespond respond) {
  asio::post(control_io_, [this, target, respond = std::move(respond)] {
    if (target == "/health") return respond(Health());
    if (target == "/metrics") {
      return respond(detail::TextResponse(200, "text/plain; version=0.0.4",
                                          RenderMetrics()));
    }
    if (target == "/state") {
      // Adds a member to the object.
      std::string state = DumpState(*reducer_);
      state.erase(state.rfind('}'));
      state += ",\"budget\":" + budget_->DumpState() + "}";
      return respond(
          detail::TextResponse(200, "application/json", std::move(state)));
    }
    respond(detail::TextResponse(404, "text/plain", "not found\n"));
  });
}

void Node::Impl::OnClientHttp(const HttpRequest& request, HttpRespond respond,
                              std::function<void()>& on_disconnect) {
  if (request.method == "GET") return OnGet(request.target, std::move(respond));
  if (request.method != "POST") {
    return respond(detail::TextResponse(405, "text/plain", "use POST\n"));
  }
  const TimePoint arrived = Clock::now();
  auto rpc = CurrentThread().client_rpc->Parse(request.body);
  if (!rpc)
    return respond(detail::TextResponse(200, "application/json", rpc.error()));
  const Method method = MethodOf(rpc->method);
  auto parsed = ParseRequest(method, rpc->params);
  if (!parsed) {
    Json::Value data;
    data["outcome"] = Name(Outcome::kNotRun);
    data["place"] = parsed.error().place;
    return respond(detail::TextResponse(
        200, "application/json",
        rpc->Failure(net::kRpcInvalidParams,
                     parsed.error().place + ": " + parsed.error().reason,
                     data)));
  }
  const CallId call = next_call_++;
  on_disconnect = [this, call] { Post(ClientDisconnected{call}); };
  rpc->params = Json::Value();
  asio::post(control_io_,
             [this, call,
              pending = PendingCall{std::move(*rpc), std::move(respond),
                                    arrived, method},
              event = ClientRequest{call, std::move(*parsed)}]() mutable {
               StartCall(call, std::move(pending), event);
             });
}

void Node::Impl::OnPeerHttp(const HttpRequest& request, HttpRespond respond) {
  if (request.method == "GET") return OnGet(request.target, std::move(respond));
  if (request.method != "POST") {
    return respond(detail::TextResponse(405, "text/plain", "use POST\n"));
  }
  auto rpc = CurrentThread().peer_rpc->Parse(request.body);
  if (!rpc)
    return respond(detail::TextResponse(200, "application/json", rpc.error()));
  if (rpc->method == "peer.gossip") {
    control_bytes_ += request.body.size() + detail::kHttpOverheadBytes;
  }
  OnPeerCall(std::move(*rpc), std::move(respond));
}

void Node::Impl::PostPeerCall(CallId call, RpcCall rpc, HttpRespond respond,
                              Event event) {
  PendingCall pending{std::move(rpc), std::move(respond), Clock::now(),
                      Method::kExecute};
  asio::post(control_io_, [this, call, pending = std::move(pending),
                           event = std::move(event)]() mutable {
    StartCall(call, std::move(pending), event);
  });
}

void Node::Impl::OnPeerCall(RpcCall rpc, HttpRespond respond) {
  auto reject = [&](const Error& error) {
    respond(detail::TextResponse(
        200, "application/json",
        rpc.Failure(net::kRpcInvalidParams, error.place + ": " + error.reason,
                    {})));
  };
  if (rpc.method == "peer.execute") {
    auto routed = ParseRoutedRequest(rpc.params);
    if (!routed) return reject(routed.error());
    const CallId call = next_call_++;
    return PostPeerCall(call, std::move(rpc), std::move(respond),
                        PeerRequest{call, std::move(*routed)});
  }
  if (rpc.method == "peer.gossip") {
    auto gossip = ParseGossip(rpc.params);
    if (!gossip) return reject(gossip.error());
    const CallId call = next_call_++;
    return PostPeerCall(call, std::move(rpc), std::move(respond),
                        GossipRequest{call, std::move(*gossip)});
  }
  detail::Fields fields(rpc.params, "params");
  const std::uint64_t since = fields.Number("since", 0);
  if (fields.error()) return reject(*fields.error());
  asio::post(control_io_, [this, rpc = std::move(rpc), since,
                           respond = std::move(respond)] {
    Json::Value result(Json::objectValue);
    if (rpc.method == "peer.sheet") {
      result = ToJson(reducer_->configuration().accepted());
    } else if (rpc.method == "peer.topology") {
      const Directory& directory = reducer_->directory();
      const auto change = directory.ChangesSince(since);
      result = change ? ToJson(*change) : ToJson(directory.topology());
    } else {
      BeginDrain();
    }
    respond(detail::TextResponse(200, "application/json", rpc.Success(result)));
  });
}

}  // namespace corianderdock
