#include "corianderdock/server_pool.h"

#include <algorithm>

namespace corianderdock {

ServerPool::ServerPool(detail::Context& context, const Server& server)
    : context_(context), server_(server), next_connect_at_(context.now) {}

void ServerPool::Update(const Server& server) {
  if (server.address != server_.address) CloseIdle();
  server_ = server;
}

int ServerPool::Budget() const {
  const int available =
      server_.connection_limit - context_.options.control_connections;
  if (!context_.options.shared_scheduler) {
    // Static shares: each instance has a fixed part of the limit, used or not.
    constexpr int kInstances = 5;
    return std::max(available / kInstances, 1);
  }
  return std::max(available / 2, 1);
}

int ServerPool::pinned() const {
  return static_cast<int>(std::count_if(
      entries_.begin(), entries_.end(),
      [](const auto& it) { return it.second.state == State::kPinned; }));
}

void ServerPool::EnsureOpen(int wanted) {
  const int target = std::min(wanted, Budget());
  while (size() < target && context_.now >= next_connect_at_) Open();
}

void ServerPool::Open() {
  const ConnectionId id = context_.NewId();
  entries_[id] = {State::kOpening, context_.now};
  context_.Emit(OpenConnection{server_.id, server_.address, id});
  context_.After(context_.options.connect_timeout,
                 {detail::TimerKind::kConnect, server_.id, id});
}

void ServerPool::BackOff() {
  const Duration longest = context_.options.longest_reconnect_pause;
  reconnect_pause_ = std::clamp(reconnect_pause_ * 2,
                                context_.options.reconnect_pause, longest);
  next_connect_at_ = context_.now + reconnect_pause_;
  context_.After(reconnect_pause_, {detail::TimerKind::kPing, server_.id, 1});
}

std::optional<ConnectionId> ServerPool::Acquire() {
  // The most recently used connection is the least likely to have been dropped
  // silently on the network path.
  auto best = entries_.end();
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    if (it->second.state != State::kIdle) continue;
    if (best == entries_.end() ||
        it->second.last_used > best->second.last_used) {
      best = it;
    }
  }
  if (best == entries_.end()) return std::nullopt;
  best->second.state = State::kBusy;
  return best->first;
}

void ServerPool::Release(ConnectionId connection) {
  const auto it = entries_.find(connection);
  if (it == entries_.end()) return;
  it->second.last_used = context_.now;
  it->second.state = State::kIdle;
}

void ServerPool::Pin(ConnectionId connection) {
  const auto it = entries_.find(connection);
  if (it == entries_.end()) return;
  it->second.state = State::kPinned;
}

void ServerPool::Close(ConnectionId connection) {
  if (entries_.erase(connection) == 0) return;
  context_.Emit(CloseConnection{connection});
}

void ServerPool::CloseIdle() {
  std::vector<ConnectionId> idle;
  for (const auto& [id, entry] : entries_) {
    if (entry.state == State::kIdle) idle.push_back(id);
  }
  for (const ConnectionId id : idle) Close(id);
}

bool ServerPool::OnConnect(const ConnectResult& result) {
  const auto it = entries_.find(result.connection);
  if (it == entries_.end()) {
    if (result.opened) context_.Emit(CloseConnection{result.connection});
    return false;
  }
  if (it->second.state != State::kOpening) return false;
  if (!result.opened) {
    entries_.erase(it);
    context_.Count("connect_failures");
    BackOff();
    return false;
  }
  reconnect_pause_ = Duration(0);
  it->second = {State::kIdle, context_.now};
  return true;
}

bool ServerPool::OnClosed(ConnectionId connection) {
  if (entries_.erase(connection) == 0) return false;
  BackOff();
  return true;
}

void ServerPool::OnConnectTimeout(ConnectionId connection) {
  const auto it = entries_.find(connection);
  if (it == entries_.end() || it->second.state != State::kOpening) return;
  context_.Count("connect_timeouts");
  Close(connection);
  BackOff();
}

std::vector<ConnectionId> ServerPool::TakeIdleForPing() {
  std::vector<ConnectionId> taken;
  for (auto& [id, entry] : entries_) {
    if (entry.state != State::kIdle) continue;
    if (context_.now - entry.last_used < context_.options.ping_interval) {
      continue;
    }
    entry.state = State::kBusy;
    taken.push_back(id);
  }
  return taken;
}

}  // namespace corianderdock
