#include <algorithm>
#include <utility>

#include "corianderdock/detail/work_support.h"
#include "corianderdock/work.h"

namespace corianderdock {

using namespace detail;  // NOLINT(google-build-using-namespace)

// Time-outs

void WorkScheduler::OnTimer(const detail::Timer& timer) {
  if (timer.kind == detail::TimerKind::kTransactionIdle) {
    const auto it = transactions_.find(timer.key);
    if (it == transactions_.end()) return;
    const Duration idle = context_.now - it->second.last_used;
    const Duration limit = context_.options.transaction_idle;
    if (!it->second.busy && idle >= limit) {
      context_.Count("transactions_timed_out");
      EndTransaction(timer.key, true);
      return;
    }
    context_.After(std::max(limit - idle, Duration(Milliseconds(100))),
                   {detail::TimerKind::kTransactionIdle, timer.key, 0});
    return;
  }
  if (timer.kind == detail::TimerKind::kConnect) {
    const auto it = server_states_.find(timer.key);
    if (it == server_states_.end()) return;
    it->second->pool.OnConnectTimeout(timer.id);
    if (!it->second->pool.HasConnections()) {
      RejectQueued(*it->second, RoutedStatus::kRetry);
    }
    return;
  }
  if (timer.kind == detail::TimerKind::kPing) {
    const auto it = server_states_.find(timer.key);
    if (it == server_states_.end()) return;
    ServerState& state = *it->second;
    if (timer.id == kPeriodicTimer) {
      PingIdle(timer.key);
    } else if (timer.id == kBackoffTimer) {
      if (directory_.Schedules(timer.key)) {
        state.pool.EnsureOpen(state.pool.server().slots + 1 +
                              state.pool.pinned());
      }
      Dispatch(timer.key);
    } else if (state.pings_in_flight.erase(timer.id) > 0) {
      context_.Count("silent_connections");
      state.pool.Close(timer.id);
      state.pool.CloseIdle();
      state.pool.EnsureOpen(state.pool.server().slots + 1);
    }
    return;
  }
  const auto it = work_items_.find(timer.id);
  if (it != work_items_.end()) OnDeadline(timer.id, it->second);
}

void WorkScheduler::OnDeadline(WorkId id, WorkItem& item) {
  const bool at_deadline = context_.now >= item.deadline;
  if (item.phase == Phase::kQueued) {
    if (!at_deadline) return;
    const ServerId server = item.routed.server;
    server_states_.at(server)->queue.Remove(id);
    Complete(id, RoutedStatus::kBusy, Outcome::kNotRun, Reason::kDeadline);
    return;
  }
  if (item.phase == Phase::kAwaitingReplication) {
    if (!at_deadline) return;
    Complete(id, RoutedStatus::kInDoubt, Outcome::kUnknown,
             Reason::kNoEvidence);
    return;
  }
  if (item.phase == Phase::kVerifyingRead) {
    if (!at_deadline) return;
    Complete(id, RoutedStatus::kStale, Outcome::kFailed, Reason::kDeadline);
    return;
  }
  const auto cost = costs_.find(CostKey(item.routed.request));
  const Duration running = context_.now - item.started;
  const bool silent = cost != costs_.end() && cost->second.known &&
                      running >= SilenceLimit(cost->second.milliseconds);
  if (!at_deadline && !silent) return;
  const ServerId server = item.routed.server;
  ServerState& state = *server_states_.at(server);
  ReleaseConnection(item, state, false);
  if (silent) {
    context_.Count("silent_connections");
    if (context_.policy->CloseInDoubt()) state.pool.CloseIdle();
  }
  const bool in_transaction = IsInTransaction(item.type);
  if (in_transaction) EndTransaction(item.transaction, true);
  if (item.type == StatementType::kInTransaction) {
    Complete(id, RoutedStatus::kFinal, Outcome::kFailed,
             Reason::kTransactionLost, "statement timed out");
  } else if (IsWrite(item.type)) {
    Complete(id, RoutedStatus::kInDoubt, Outcome::kUnknown,
             Reason::kConnectionLost);
  } else if (at_deadline) {
    Complete(id, RoutedStatus::kFinal, Outcome::kFailed, Reason::kDeadline);
  } else {
    Complete(id, RoutedStatus::kRetry, Outcome::kNotRun,
             Reason::kConnectionLost);
  }
  state.pool.EnsureOpen(state.pool.server().slots + 1);
  Dispatch(server);
}

void WorkScheduler::PingIdle(const ServerId& server) {
  const auto it = server_states_.find(server);
  if (it == server_states_.end()) return;
  ServerState& state = *it->second;
  for (const ConnectionId connection : state.pool.TakeIdleForPing()) {
    const WorkId id = context_.NewId();
    state.pings_in_flight[connection] = id;
    Statement ping;
    ping.type = StatementType::kPing;
    context_.Emit(RunStatement{id, connection, std::move(ping)});
    context_.After(context_.options.ping_timeout,
                   {detail::TimerKind::kPing, server, connection});
  }
  if (directory_.Schedules(server) && !state.pool.server().leaving) {
    state.pool.EnsureOpen(state.pool.server().slots + 1 + state.pool.pinned());
  } else if (state.running.empty() && state.queue.size() == 0) {
    state.pool.CloseIdle();
  }
  context_.After(context_.options.ping_interval,
                 {detail::TimerKind::kPing, server, kPeriodicTimer});
}

void WorkScheduler::OnPingDone(ServerState& state, const StatementDone& done) {
  state.pings_in_flight.erase(done.connection);
  if (std::holds_alternative<StatementSuccess>(done.result)) {
    state.pool.Release(done.connection);
    Dispatch(state.pool.server().id);
  } else {
    state.pool.Close(done.connection);
  }
}

// Connections and scheduler assignment

void WorkScheduler::OnConnect(const ConnectResult& result) {
  const auto it = server_states_.find(result.server);
  if (it == server_states_.end()) {
    if (result.opened) context_.Emit(CloseConnection{result.connection});
    return;
  }
  ServerState& state = *it->second;
  if (state.pool.OnConnect(result)) {
    Dispatch(result.server);
  } else if (!state.pool.HasConnections()) {
    RejectQueued(state, RoutedStatus::kRetry);
  }
}

void WorkScheduler::RejectQueued(ServerState& state, RoutedStatus status) {
  for (const WorkId id : state.queue.Clear()) {
    Complete(id, status, Outcome::kNotRun, Reason::kNoPrimary,
             "server cannot take work");
  }
}

void WorkScheduler::OnConnectionClosed(const ConnectionClosed& closed) {
  const auto it = server_states_.find(closed.server);
  if (it == server_states_.end()) return;
  ServerState& state = *it->second;
  const auto running = state.running.find(closed.connection);
  // The result of the running statement reports the loss.
  if (running != state.running.end()) return;
  state.pings_in_flight.erase(closed.connection);
  state.pool.OnClosed(closed.connection);
  for (const auto& [id, transaction] : transactions_) {
    if (transaction.connection != closed.connection) continue;
    EndTransaction(id, true);
    break;
  }
}

void WorkScheduler::OnDirectoryChanged() {
  for (const auto& [id, server] : directory_.topology().servers) {
    if (!directory_.Schedules(id) || server.leaving) continue;
    ServerState& state = StateOf(server);
    state.pool.Update(server);
    state.pool.EnsureOpen(server.slots + 1);
  }
  for (auto& [id, state] : server_states_) {
    const Server* server = directory_.Find(id);
    const bool gone = server == nullptr;
    if (!gone) state->pool.Update(*server);
    if (!gone && !(server->leaving && context_.policy->AvoidLeaving())) {
      continue;
    }
    RejectQueued(*state, RoutedStatus::kRetry);
    state->pool.CloseIdle();
  }
}

void WorkScheduler::EndTransaction(const TransactionId& id, bool close) {
  const auto it = transactions_.find(id);
  if (it == transactions_.end()) return;
  const auto state = server_states_.find(it->second.server);
  if (state != server_states_.end()) {
    if (close) {
      state->second->pool.Close(it->second.connection);
    } else {
      state->second->pool.Release(it->second.connection);
    }
  }
  transactions_.erase(it);
}

}  // namespace corianderdock
