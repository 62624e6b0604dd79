#include "soak/orders.h"

#include <algorithm>
#include <boost/beast.hpp>
#include <sstream>
#include <utility>

namespace soak {

namespace http = boost::beast::http;
using asio::use_awaitable;
using lab::tcp;

namespace {

constexpr std::uint64_t kStream = 1;
constexpr Ms kMinTakeover{200};
constexpr Ms kMaxTakeover{700};

}  // namespace

Orders::Orders(Cluster& cluster, Ledger& ledger, std::uint64_t seed)
    : cluster_(cluster), ledger_(ledger), random_(seed, kStream) {}

int Orders::Listen(const std::string& instance) {
  const int port = lab::FreePort();
  auto acceptor = std::make_shared<tcp::acceptor>(
      cluster_.io, tcp::endpoint(asio::ip::address_v4::loopback(),
                                 static_cast<std::uint16_t>(port)));
  asio::co_spawn(cluster_.io, Accept(std::move(acceptor), instance),
                 asio::detached);
  return port;
}

void Orders::Cut(const std::string& instance, bool cut) {
  if (cut) {
    cut_.insert(instance);
  } else {
    cut_.erase(instance);
  }
}

Task Orders::Accept(std::shared_ptr<tcp::acceptor> acceptor,
                    std::string instance) {
  for (;;) {
    tcp::socket socket = co_await acceptor->async_accept(use_awaitable);
    asio::co_spawn(cluster_.io, Serve(std::move(socket), instance),
                   asio::detached);
  }
}

Task Orders::Serve(tcp::socket socket, std::string instance) {
  boost::beast::flat_buffer buf;
  bool answers = true;  // nothing follows a lost answer on its connection
  try {
    for (;;) {
      http::request<http::string_body> request;
      co_await http::async_read(socket, buf, request, use_awaitable);
      if (!answers) continue;
      Json::Value body;
      std::istringstream(request.body()) >> body;
      Order order;
      order.called_at = cluster_.record.now();
      order.holder = std::string(request["X-Corianderdock-Holder"]);
      order.fence = std::stoull(std::string(request["X-Corianderdock-Fence"]));
      order.service = body["backend"].asString();
      order.server = body["id"].asString();
      order.late = random_.Chance(late_share_);
      const std::string text = "order of " + order.server + " for " +
                               order.service + " by " + order.holder +
                               " fence " + std::to_string(order.fence);
      if (cut_.contains(instance)) {
        cluster_.record.Line(text + " is lost");
        answers = false;
        continue;
      }
      ledger_.OnOrder(order);
      if (order.late) {
        const Ms delay = random_.Chance(lost_answers_)
                             ? Ms(0)
                             : random_.Between(min_delay_, max_delay_);
        cluster_.record.Line(text + " is executed after " +
                             std::to_string(delay.count()) + " ms");
        answers = false;
        ++pending_;
        asio::co_spawn(cluster_.io, ExecuteLate(order, delay), asio::detached);
        if (on_order) on_order(order);
        continue;
      }
      const int status = Execute(order);
      cluster_.record.Line(text + " -> " + std::to_string(status));
      if (on_order) on_order(order);
      http::response<http::string_body> response;
      response.result(static_cast<unsigned>(status));
      response.version(11);
      response.keep_alive(request.keep_alive());
      response.body() = "{}";
      response.prepare_payload();
      co_await http::async_write(socket, response, use_awaitable);
    }
  } catch (const boost::system::system_error&) {
    co_return;  // the connection ended
  }
}

Task Orders::ExecuteLate(Order order, Ms delay) {
  co_await lab::Sleep(delay);
  const int status = Execute(order);
  cluster_.record.Line("late order of " + order.server + " by " + order.holder +
                       " fence " + std::to_string(order.fence) +
                       ", called at " +
                       std::to_string(order.called_at.count()) + " ms -> " +
                       std::to_string(status));
  --pending_;
}

int Orders::Execute(const Order& order) {
  std::uint64_t& highest = highest_fence_[order.service];
  if (order.fence < highest) return 409;
  highest = order.fence;
  lab::Group& group = *cluster_.FindGroup(order.service);
  const lab::Server* server = group.Find(order.server);
  if (server == nullptr || !server->alive()) return 409;
  if (server != group.Primary()) {
    ++pending_;
    asio::co_spawn(cluster_.io, TakeEffect(order), asio::detached);
  }
  return 200;
}

Task Orders::TakeEffect(Order order) {
  co_await lab::Sleep(random_.Between(kMinTakeover, kMaxTakeover));
  --pending_;
  lab::Group& group = *cluster_.FindGroup(order.service);
  const lab::Server* server = group.Find(order.server);
  if (!server->alive() || server == group.Primary()) co_return;
  ledger_.OnPromotion(order, *server);
  group.Promote(order.server, true);
}

}  // namespace soak
