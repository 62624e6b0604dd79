#include "corianderdock/work.h"

#include <algorithm>
#include <utility>

namespace corianderdock {

namespace {

constexpr double kCostWeight = 0.2;  // weight of a new cost observation
constexpr double kMedianStep = 1.05;
constexpr double kLongFactor = 8;    // long work, times the short average
constexpr double kLongFloorMs = 40;  // never long below this
constexpr int kSilenceFactor = 20;   // times the learned cost
constexpr Duration kShortestSilence = std::chrono::seconds(1);
constexpr Duration kBehindRetry = Milliseconds(500);
constexpr Duration kShortestRetry = Milliseconds(20);
constexpr std::uint64_t kPeriodicTimer = 0;
constexpr std::uint64_t kBackoffTimer = 1;

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration FromMs(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

bool IsWrite(StatementType type) {
  return type == StatementType::kWrite || type == StatementType::kCommit ||
         type == StatementType::kResolve;
}

bool IsInTransaction(StatementType type) {
  return type == StatementType::kInside || type == StatementType::kCommit ||
         type == StatementType::kRollback;
}

}  // namespace

Work::Work(detail::Context& context, const Directory& directory,
           const Configuration& configuration, GroupMonitor& monitor)
    : context_(context),
      directory_(directory),
      configuration_(configuration),
      monitor_(monitor) {}

// Accepting ------------------------------------------------------------------

StatementType Work::TypeOf(const Request& request, Mode mode) const {
  switch (request.method) {
    case Method::kBegin:
      return StatementType::kBegin;
    case Method::kCommit:
      return StatementType::kCommit;
    case Method::kRollback:
      return StatementType::kRollback;
    case Method::kResolve:
      return StatementType::kResolve;
    case Method::kExecute:
      break;
  }
  if (!request.transaction.empty()) return StatementType::kInside;
  return mode == Mode::kRead ? StatementType::kRead : StatementType::kWrite;
}

void Work::Execute(RoutedRequest routed, Finish finish) {
  const WorkId id = context_.NewId();
  Item& item = items_[id];
  item.type = TypeOf(routed.request, routed.mode);
  item.accepted = context_.now;
  item.deadline = context_.now + routed.remaining;
  item.routed = std::move(routed);
  item.finish = std::move(finish);
  if (IsInTransaction(item.type)) {
    ExecuteInTransaction(id, item);
    return;
  }
  const Server* server = directory_.Find(item.routed.server);
  if (server == nullptr) {
    Complete(id, RoutedStatus::kRetry, Outcome::kNotRun, Reason::kNoPrimary,
             "server is not listed");
    return;
  }
  item.group = server->group;
  if (auto refusal = Refusal(item, *server)) {
    context_.Count("work_refused");
    Deliver(id, std::move(*refusal));
    return;
  }
  Enqueue(id, item, *server);
}

std::optional<RoutedAnswer> Work::Refusal(const Item& item,
                                          const Server& server) const {
  RoutedAnswer answer = BaseAnswer(item);
  answer.answer.outcome = Outcome::kNotRun;
  if (server.leaving && context_.policy->AvoidLeaving()) {
    answer.status = RoutedStatus::kRetry;
    answer.answer.reason = Reason::kNoPrimary;
    return answer;
  }
  const Leadership& lead = monitor_.LeadershipOf(item.group);
  if (item.type == StatementType::kRead) {
    if (!ReadMayServe(item)) {
      answer.status = RoutedStatus::kStale;
      return answer;
    }
  } else {
    if (lead.primary != server.id) {
      answer.status = RoutedStatus::kNotPrimary;
      answer.answer.reason = Reason::kNoPrimary;
      return answer;
    }
    if (!monitor_.EvidencePossible(item.group) &&
        !context_.policy->Acknowledge(0, 1)) {
      answer.status = RoutedStatus::kRetry;
      answer.answer.reason = Reason::kReplicationBehind;
      answer.answer.retry_after = kBehindRetry;
      return answer;
    }
  }
  const auto lane = lanes_.find(server.id);
  if (lane == lanes_.end()) return std::nullopt;
  if (item.type == StatementType::kBegin) {
    const int most = std::max(lane->second->pool.Budget() - server.slots, 1);
    if (lane->second->pool.pinned() >= most) {
      answer.status = RoutedStatus::kBusy;
      answer.answer.reason = Reason::kOverloaded;
      answer.answer.detail = "too many open transactions";
      answer.answer.retry_after = kBehindRetry;
      return answer;
    }
  }
  if (!context_.options.early_refusal) return std::nullopt;
  const auto cost = costs_.find(CostKey(item.routed.request));
  const double own_ms = cost == costs_.end() ? lane->second->short_cost_ms
                                             : cost->second.milliseconds;
  const Duration wait = ExpectedWait(server.id);
  const Duration needed = wait + FromMs(own_ms);
  if (needed <= item.routed.remaining) return std::nullopt;
  answer.status = RoutedStatus::kBusy;
  answer.answer.reason = Reason::kOverloaded;
  answer.answer.retry_after =
      std::max(needed - item.routed.remaining, Duration(kShortestRetry));
  return answer;
}

bool Work::ReadMayServe(const Item& item) const {
  const Leadership& lead = monitor_.LeadershipOf(item.group);
  if (item.routed.server == lead.primary) return true;
  const auto last = monitor_.LastOf(item.routed.server);
  if (!last) return false;
  if (!context_.policy->VerifyAge()) return true;
  const Position token =
      ClampToHistory(item.routed.request.token.At(item.group), lead.starts);
  if (last->term < token.term) return false;
  if (item.routed.max_age.count() == 0) return false;
  const auto current_at = monitor_.KnownCurrentAt(item.group, *last);
  return current_at && context_.now - *current_at <= item.routed.max_age;
}

Work::Lane& Work::LaneOf(const Server& server) {
  auto& lane = lanes_[server.id];
  if (!lane) {
    lane = std::make_unique<Lane>(context_, server);
    context_.After(context_.options.ping_interval,
                   {detail::TimerKind::kPing, server.id, kPeriodicTimer});
  }
  return *lane;
}

SlotState Work::Slots(const Lane& lane) const {
  const Server& server = lane.pool.server();
  SlotState state;
  state.slots = server.slots;
  state.prefetch = context_.options.prefetch;
  if (!context_.options.shared_scheduler) {
    // Static shares cannot see the slots: each instance uses its connections.
    state.slots = lane.pool.Budget();
  }
  if (!context_.options.late_binding) state.slots = lane.pool.Budget();
  state.running = lane.running;
  state.running_long = lane.running_long;
  state.cap_long = context_.options.long_work_cap;
  return state;
}

Duration Work::ExpectedWait(const ServerId& server) const {
  const auto it = lanes_.find(server);
  if (it == lanes_.end()) return Duration(0);
  return it->second->queue.ExpectedWait(Slots(*it->second), false);
}

std::string Work::CostKey(const Request& request) const {
  return request.service + "/" + request.kind + "/" +
         std::to_string(static_cast<int>(request.method));
}

void Work::Enqueue(WorkId id, Item& item, const Server& server) {
  Lane& lane = LaneOf(server);
  const auto cost = costs_.find(CostKey(item.routed.request));
  const bool known = cost != costs_.end() && cost->second.known;
  const double cost_ms = known ? cost->second.milliseconds : lane.short_cost_ms;
  item.is_long = known && cost_ms > kLongFloorMs &&
                 cost_ms > kLongFactor * lane.short_cost_ms;
  QueueItem entry;
  entry.work = id;
  entry.service = item.routed.request.service;
  entry.is_long = item.is_long && context_.options.long_work_cap;
  entry.cost = FromMs(cost_ms);
  entry.deadline = item.deadline;
  const Service* service = configuration_.Find(entry.service);
  const double weight = service == nullptr ? 1 : service->Demand() + 1;
  lane.queue.Push(std::move(entry), weight);
  context_.timers.Schedule(item.deadline,
                           {detail::TimerKind::kWorkDeadline, {}, id});
  Pump(server.id);
}

void Work::ExecuteInTransaction(WorkId id, Item& item) {
  const Request& request = item.routed.request;
  const auto found = transactions_.find(request.transaction);
  if (found == transactions_.end() ||
      found->second.service != request.service) {
    if (item.type == StatementType::kCommit) {
      Complete(id, RoutedStatus::kInDoubt, Outcome::kUnknown,
               Reason::kTransactionLost, "transaction is not open");
    } else {
      Complete(id, RoutedStatus::kFinal, Outcome::kFailed,
               Reason::kTransactionLost, "transaction is not open");
    }
    return;
  }
  Transaction& transaction = found->second;
  if (transaction.busy) {
    Complete(id, RoutedStatus::kFinal, Outcome::kNotRun, Reason::kOverloaded,
             "transaction is busy with another statement");
    return;
  }
  item.group = transaction.group;
  item.routed.server = transaction.server;
  item.transaction = request.transaction;
  item.term = transaction.term;
  transaction.busy = true;
  const Server* server = directory_.Find(transaction.server);
  const auto lane = lanes_.find(transaction.server);
  if (server == nullptr || lane == lanes_.end() ||
      !lane->second->pool.Has(transaction.connection)) {
    EndTransaction(item.transaction, true);
    Complete(id, RoutedStatus::kFinal, Outcome::kFailed,
             Reason::kTransactionLost, "connection of the transaction ended");
    return;
  }
  context_.timers.Schedule(item.deadline,
                           {detail::TimerKind::kWorkDeadline, {}, id});
  Start(id, item, *lane->second, transaction.connection);
}

// Running --------------------------------------------------------------------

void Work::Pump(const ServerId& server_id) {
  const auto found = lanes_.find(server_id);
  if (found == lanes_.end()) return;
  Lane& lane = *found->second;
  while (lane.queue.size() > 0) {
    const SlotState slots = Slots(lane);
    if (slots.running >= slots.slots + slots.prefetch) return;
    const auto connection = lane.pool.Acquire();
    if (!connection) {
      lane.pool.Keep(lane.pool.size() + 1);
      return;
    }
    const auto next = lane.queue.Pop(slots);
    if (!next) {
      lane.pool.Release(*connection);
      return;
    }
    Start(next->work, items_.at(next->work), lane, *connection);
  }
}

void Work::Start(WorkId id, Item& item, Lane& lane, ConnectionId connection) {
  const Request& request = item.routed.request;
  item.phase = Phase::kRunning;
  item.connection = connection;
  item.started = context_.now;
  ++lane.running;
  if (item.is_long) ++lane.running_long;
  lane.busy[connection] = id;
  Statement statement;
  statement.type = item.type;
  statement.sql = request.sql;
  statement.params = request.params;
  if (item.type != StatementType::kRead && !IsInTransaction(item.type)) {
    item.term = monitor_.LeadershipOf(item.group).term;
  }
  const bool guarded = item.type != StatementType::kRead;
  if (guarded && context_.policy->GuardTerm()) statement.term = item.term;
  if (IsWrite(item.type) && context_.policy->RecordRequestIds()) {
    statement.request_id = request.service + "/" + request.request_id;
  }
  context_.Emit(RunStatement{id, connection, std::move(statement)});
  const auto cost = costs_.find(CostKey(request));
  if (cost == costs_.end() || !cost->second.known) return;
  const Duration silence =
      std::max(Duration(kShortestSilence),
               FromMs(cost->second.milliseconds * kSilenceFactor));
  if (context_.now + silence < item.deadline) {
    context_.After(silence, {detail::TimerKind::kWorkDeadline, {}, id});
  }
}

void Work::OnStatementDone(const StatementDone& done) {
  const auto found = items_.find(done.work);
  if (found == items_.end()) {
    for (auto& [id, lane] : lanes_) {
      if (lane->pings.contains(done.connection)) OnPingDone(*lane, done);
    }
    return;
  }
  Item& item = found->second;
  if (item.phase != Phase::kRunning || item.connection != done.connection) {
    return;
  }
  const ServerId server = item.routed.server;
  Lane& lane = *lanes_.at(server);
  if (const auto* success = std::get_if<StatementSuccess>(&done.result)) {
    LearnCost(item, lane);
    ReleaseConnection(item, lane, true);
    OnSuccess(done.work, item, *success);
  } else {
    const auto& failure = std::get<StatementFailure>(done.result);
    const bool reusable = failure.fault == StatementFault::kSqlError ||
                          failure.fault == StatementFault::kWrongTerm;
    ReleaseConnection(item, lane, reusable);
    OnFailure(done.work, item, failure);
  }
  Pump(server);
}

void Work::LearnCost(Item& item, Lane& lane) {
  const double ms = ToMs(context_.now - item.started);
  Cost& cost = costs_[CostKey(item.routed.request)];
  cost.milliseconds =
      cost.known ? cost.milliseconds + kCostWeight * (ms - cost.milliseconds)
                 : ms;
  cost.known = true;
  // A streaming median: a few stragglers do not move it.
  if (!lane.short_cost_known) {
    lane.short_cost_ms = ms;
    lane.short_cost_known = true;
  } else {
    lane.short_cost_ms *=
        ms > lane.short_cost_ms ? kMedianStep : 1 / kMedianStep;
  }
}

void Work::ReleaseConnection(Item& item, Lane& lane, bool reusable) {
  lane.busy.erase(item.connection);
  --lane.running;
  if (item.is_long) --lane.running_long;
  if (!reusable && context_.policy->CloseInDoubt()) {
    lane.pool.Close(item.connection);
    return;
  }
  const bool pinned =
      IsInTransaction(item.type) && context_.policy->PinTransactions();
  if (!pinned) lane.pool.Release(item.connection);
}

void Work::OnSuccess(WorkId id, Item& item, const StatementSuccess& success) {
  item.success = success;
  item.position = success.position;
  switch (item.type) {
    case StatementType::kRead:
      OnReadDone(id, item);
      return;
    case StatementType::kWrite:
    case StatementType::kResolve:
      AwaitEvidence(id, item);
      return;
    case StatementType::kCommit:
      EndTransaction(item.transaction, false);
      AwaitEvidence(id, item);
      return;
    case StatementType::kBegin: {
      Lane& lane = *lanes_.at(item.routed.server);
      if (context_.policy->PinTransactions()) lane.pool.Pin(item.connection);
      item.transaction = context_.self.instance + "." +
                         std::to_string(context_.self.incarnation) + "." +
                         std::to_string(id) + "." +
                         std::to_string(context_.random() & 0xffffffff);
      transactions_[item.transaction] = {item.routed.server,
                                         item.group,
                                         item.routed.request.service,
                                         item.connection,
                                         item.term,
                                         context_.now,
                                         false};
      context_.After(
          context_.options.transaction_idle,
          {detail::TimerKind::kTransactionIdle, item.transaction, 0});
      break;
    }
    case StatementType::kInside: {
      Transaction& transaction = transactions_.at(item.transaction);
      transaction.busy = false;
      transaction.used = context_.now;
      break;
    }
    case StatementType::kRollback:
      EndTransaction(item.transaction, false);
      break;
    case StatementType::kPing:
      break;
  }
  Complete(id, RoutedStatus::kFinal, Outcome::kDone, Reason::kNone);
}

void Work::OnFailure(WorkId id, Item& item, const StatementFailure& failure) {
  const bool in_transaction = IsInTransaction(item.type);
  if (failure.fault == StatementFault::kSqlError) {
    if (item.type == StatementType::kInside) {
      transactions_.at(item.transaction).busy = false;
      transactions_.at(item.transaction).used = context_.now;
    } else if (in_transaction) {
      EndTransaction(item.transaction, true);
    }
    RoutedAnswer answer = BaseAnswer(item);
    answer.status = RoutedStatus::kFinal;
    answer.answer.outcome = Outcome::kFailed;
    answer.answer.reason = Reason::kSqlError;
    answer.answer.sqlstate = failure.sqlstate;
    answer.answer.detail = failure.message;
    Deliver(id, std::move(answer));
    return;
  }
  if (in_transaction) EndTransaction(item.transaction, true);
  if (failure.fault == StatementFault::kInDoubt) {
    Complete(id, RoutedStatus::kInDoubt, Outcome::kUnknown,
             Reason::kConnectionLost, failure.message);
    return;
  }
  if (in_transaction) {
    Complete(id, RoutedStatus::kFinal, Outcome::kFailed,
             Reason::kTransactionLost, failure.message);
    return;
  }
  const auto status = failure.fault == StatementFault::kWrongTerm
                          ? RoutedStatus::kNotPrimary
                          : RoutedStatus::kRetry;
  Complete(id, status, Outcome::kNotRun, Reason::kConnectionLost,
           failure.message);
}

// Verifying ------------------------------------------------------------------

void Work::OnReadDone(WorkId id, Item& item) {
  item.phase = Phase::kConfirm;
  const Leadership& lead = monitor_.LeadershipOf(item.group);
  const Position token =
      ClampToHistory(item.routed.request.token.At(item.group), lead.starts);
  if (!context_.policy->TokenReached(item.position, token)) {
    Complete(id, RoutedStatus::kStale, Outcome::kNotRun,
             Reason::kTokenNotReached);
    return;
  }
  if (TryFinishWaiting(id, item)) return;
  if (item.routed.server != lead.primary) {
    Complete(id, RoutedStatus::kStale, Outcome::kNotRun, Reason::kNone);
    return;
  }
  waiting_[item.group].insert(id);
  monitor_.BeginUrgency(item.group);
}

void Work::AwaitEvidence(WorkId id, Item& item) {
  item.phase = Phase::kEvidence;
  if (TryFinishWaiting(id, item)) return;
  waiting_[item.group].insert(id);
  monitor_.BeginUrgency(item.group);
}

bool Work::TryFinishWaiting(WorkId id, Item& item) {
  if (item.phase == Phase::kConfirm) {
    const auto current_at = CurrentAt(item);
    if (!current_at && context_.policy->VerifyAge()) return false;
    const bool strict = item.routed.max_age.count() == 0;
    const TimePoint since =
        strict ? item.accepted : context_.now - item.routed.max_age;
    if (context_.policy->VerifyAge() && *current_at < since) return false;
    item.current_at = current_at.value_or(context_.now);
    Complete(id, RoutedStatus::kFinal, Outcome::kDone, Reason::kNone);
    return true;
  }
  const std::size_t majority = Majority(directory_.Servers(item.group).size());
  const std::size_t holders = monitor_.Holders(item.group, item.position);
  if (context_.policy->Acknowledge(holders, majority)) {
    if (item.success.tombstone) {
      Complete(id, RoutedStatus::kFinal, Outcome::kNotRun, Reason::kTombstoned,
               "refused for ever by resolve");
    } else {
      Complete(id, RoutedStatus::kFinal, Outcome::kDone, Reason::kNone);
    }
    return true;
  }
  if (monitor_.LeadershipOf(item.group).term > item.term) {
    Complete(id, RoutedStatus::kInDoubt, Outcome::kUnknown, Reason::kNoEvidence,
             "the primary was replaced");
    return true;
  }
  return false;
}

std::optional<TimePoint> Work::CurrentAt(const Item& item) const {
  const bool on_primary =
      item.routed.server == monitor_.LeadershipOf(item.group).primary;
  // Still the primary after the read began: it held everything until then.
  if (on_primary &&
      monitor_.ConfirmedSince(item.group, item.position.term, item.started)) {
    return item.started;
  }
  return monitor_.KnownCurrentAt(item.group, item.position);
}

void Work::OnGroupAdvanced(const GroupId& group) {
  const Leadership& lead = monitor_.LeadershipOf(group);
  if (lead.term > bounced_term_[group]) {
    // Queued writes must not wait for a server that no longer leads.
    bounced_term_[group] = lead.term;
    for (const auto& server : directory_.Servers(group)) {
      const auto lane = lanes_.find(server);
      if (lane == lanes_.end() || server == lead.primary) continue;
      BounceQueue(*lane->second, RoutedStatus::kNotPrimary);
    }
  }
  const auto found = waiting_.find(group);
  if (found == waiting_.end()) return;
  const std::vector<WorkId> ids(found->second.begin(), found->second.end());
  for (const WorkId id : ids) {
    const auto it = items_.find(id);
    if (it != items_.end()) TryFinishWaiting(id, it->second);
  }
}

void Work::StopWaiting(WorkId id, Item& item) {
  const auto found = waiting_.find(item.group);
  if (found == waiting_.end() || found->second.erase(id) == 0) return;
  if (found->second.empty()) waiting_.erase(found);
  monitor_.EndUrgency(item.group);
}

// Time-outs ------------------------------------------------------------------

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
  const bool silent =
      cost != costs_.end() && cost->second.known &&
      running >= std::max(Duration(kShortestSilence),
                          FromMs(cost->second.milliseconds * kSilenceFactor));
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
  if (item.type == StatementType::kInside) {
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
  } else if (lane.running == 0 && lane.queue.size() == 0) {
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

// Connections and ownership ---------------------------------------------------

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

// Answering ------------------------------------------------------------------

RoutedAnswer Work::BaseAnswer(const Item& item) const {
  RoutedAnswer answer;
  answer.leadership = monitor_.LeadershipOf(item.group);
  answer.expected_wait = ExpectedWait(item.routed.server);
  answer.answer.token = item.routed.request.token;
  answer.answer.server = item.routed.server;
  answer.handling = context_.now - item.accepted;
  if (item.type == StatementType::kRead && item.phase == Phase::kConfirm) {
    answer.data_age = context_.now - item.current_at;
  }
  return answer;
}

void Work::Complete(WorkId id, RoutedStatus status, Outcome outcome,
                    Reason reason, std::string detail) {
  Item& item = items_.at(id);
  RoutedAnswer answer = BaseAnswer(item);
  answer.status = status;
  answer.answer.outcome = outcome;
  answer.answer.reason = reason;
  answer.answer.detail = std::move(detail);
  if (outcome == Outcome::kDone) {
    answer.answer.result = std::move(item.success.result);
    answer.answer.transaction = item.transaction;
    answer.answer.token.Merge(item.group, item.position);
    answer.answer.from_replica =
        item.type == StatementType::kRead &&
        item.routed.server != answer.leadership.primary;
  }
  Deliver(id, std::move(answer));
}

void Work::Deliver(WorkId id, RoutedAnswer answer) {
  const auto it = items_.find(id);
  StopWaiting(id, it->second);
  const Finish finish = std::move(it->second.finish);
  items_.erase(it);
  finish(std::move(answer));
}

}  // namespace corianderdock
