#include <algorithm>
#include <utility>

#include "corianderdock/detail/work_support.h"
#include "corianderdock/work.h"

namespace corianderdock {

using namespace detail;  // NOLINT(google-build-using-namespace)

// Time-outs

void Work::OnTimer(const detail::Timer& timer) {
  if (timer.kind == detail::TimerKind::kTransactionIdle) {
    const auto it = transactions_.find(timer.key);
    if (it == transactions_.end()) return;
    const Duration idle = context_.now - it->second.used;
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
    const auto it = lanes_.find(timer.key);
    if (it == lanes_.end()) return;
    it->second->pool.OnConnectTimeout(timer.id);
    if (!it->second->pool.Usable()) {
      BounceQueue(*it->second, RoutedStatus::kRetry);
    }
    return;
  }
  if (timer.kind == detail::TimerKind::kPing) {
    const auto it = lanes_.find(timer.key);
    if (it == lanes_.end()) return;
    Lane& lane = *it->second;
    if (timer.id == kPeriodicTimer) {
      PingIdle(timer.key);
    } else if (timer.id == kBackoffTimer) {
      if (directory_.Owns(timer.key)) {
        lane.pool.Keep(lane.pool.server().slots + 1 + lane.pool.pinned());
      }
      Pump(timer.key);
    } else if (lane.pings.erase(timer.id) > 0) {
      context_.Count("silent_connections");
      lane.pool.Close(timer.id);
      lane.pool.CloseIdle();
      lane.pool.Keep(lane.pool.server().slots + 1);
    }
    return;
  }
  const auto it = items_.find(timer.id);
  if (it != items_.end()) OnDeadline(timer.id, it->second);
}

void Work::OnDeadline(WorkId id, Item& item) {
  const bool at_deadline = context_.now >= item.deadline;
  if (item.phase == Phase::kQueued) {
    if (!at_deadline) return;
    const ServerId server = item.routed.server;
    lanes_.at(server)->queue.Remove(id);
    Complete(id, RoutedStatus::kBusy, Outcome::kNotRun, Reason::kDeadline);
    return;
  }
  if (item.phase == Phase::kEvidence) {
    if (!at_deadline) return;
    Complete(id, RoutedStatus::kInDoubt, Outcome::kUnknown,
             Reason::kNoEvidence);
    return;
  }
  if (item.phase == Phase::kConfirm) {
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
  Lane& lane = *lanes_.at(server);
  ReleaseConnection(item, lane, false);
  if (silent) {
    context_.Count("silent_connections");
    if (context_.policy->CloseInDoubt()) lane.pool.CloseIdle();
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
  lane.pool.Keep(lane.pool.server().slots + 1);
  Pump(server);
}

void Work::PingIdle(const ServerId& server) {
  const auto it = lanes_.find(server);
  if (it == lanes_.end()) return;
  Lane& lane = *it->second;
  for (const ConnectionId connection : lane.pool.TakeForPing()) {
    const WorkId id = context_.NewId();
    lane.pings[connection] = id;
    Statement ping;
    ping.type = StatementType::kPing;
    context_.Emit(RunStatement{id, connection, std::move(ping)});
    context_.After(context_.options.ping_timeout,
                   {detail::TimerKind::kPing, server, connection});
  }
  if (directory_.Owns(server) && !lane.pool.server().leaving) {
    lane.pool.Keep(lane.pool.server().slots + 1 + lane.pool.pinned());
  } else if (lane.busy.empty() && lane.queue.size() == 0) {
    lane.pool.CloseIdle();
  }
  context_.After(context_.options.ping_interval,
                 {detail::TimerKind::kPing, server, kPeriodicTimer});
}

void Work::OnPingDone(Lane& lane, const StatementDone& done) {
  lane.pings.erase(done.connection);
  if (std::holds_alternative<StatementSuccess>(done.result)) {
    lane.pool.Release(done.connection);
    Pump(lane.pool.server().id);
  } else {
    lane.pool.Close(done.connection);
  }
}

// Connections and ownership

void Work::OnConnect(const ConnectResult& result) {
  const auto it = lanes_.find(result.server);
  if (it == lanes_.end()) {
    if (result.opened) context_.Emit(CloseConnection{result.connection});
    return;
  }
  Lane& lane = *it->second;
  if (lane.pool.OnConnect(result)) {
    Pump(result.server);
  } else if (!lane.pool.Usable()) {
    BounceQueue(lane, RoutedStatus::kRetry);
  }
}

void Work::BounceQueue(Lane& lane, RoutedStatus status) {
  for (const WorkId id : lane.queue.Clear()) {
    Complete(id, status, Outcome::kNotRun, Reason::kNoPrimary,
             "server cannot take work");
  }
}

void Work::OnConnectionClosed(const ConnectionClosed& closed) {
  const auto it = lanes_.find(closed.server);
  if (it == lanes_.end()) return;
  Lane& lane = *it->second;
  const auto busy = lane.busy.find(closed.connection);
  if (busy != lane.busy.end()) return;  // its statement reports the loss
  lane.pings.erase(closed.connection);
  lane.pool.OnClosed(closed.connection);
  for (const auto& [id, transaction] : transactions_) {
    if (transaction.connection != closed.connection) continue;
    EndTransaction(id, true);
    break;
  }
}

void Work::OnDirectoryChanged() {
  for (const auto& [id, server] : directory_.topology().servers) {
    if (!directory_.Owns(id) || server.leaving) continue;
    Lane& lane = LaneOf(server);
    lane.pool.Update(server);
    lane.pool.Keep(server.slots + 1);
  }
  for (auto& [id, lane] : lanes_) {
    const Server* server = directory_.Find(id);
    const bool gone = server == nullptr;
    if (!gone) lane->pool.Update(*server);
    if (!gone && !(server->leaving && context_.policy->AvoidLeaving())) {
      continue;
    }
    BounceQueue(*lane, RoutedStatus::kRetry);
    lane->pool.CloseIdle();
  }
}

void Work::EndTransaction(const TransactionId& id, bool close) {
  const auto it = transactions_.find(id);
  if (it == transactions_.end()) return;
  const auto lane = lanes_.find(it->second.server);
  if (lane != lanes_.end()) {
    if (close) {
      lane->second->pool.Close(it->second.connection);
    } else {
      lane->second->pool.Release(it->second.connection);
    }
  }
  transactions_.erase(it);
}

}  // namespace corianderdock
