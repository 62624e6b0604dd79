#include "corianderdock/work.h"

#include <algorithm>
#include <utility>

#include "corianderdock/detail/work_support.h"

namespace corianderdock {

using namespace detail;  // NOLINT(google-build-using-namespace)

namespace {

constexpr Duration kBehindRetry = Milliseconds(500);
constexpr Duration kShortestRetry = Milliseconds(20);

}  // namespace

Work::Work(detail::Context& context, const Directory& directory,
           const Configuration& configuration, GroupMonitor& monitor)
    : context_(context),
      directory_(directory),
      configuration_(configuration),
      monitor_(monitor) {}

// Accepting

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
  if (!request.transaction.empty()) return StatementType::kInTransaction;
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
    const bool needs_evidence = !context_.policy->Acknowledge(0, 1);
    if (needs_evidence && !monitor_.EvidencePossible(item.group)) {
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
  return current_at &&
         context_.now - *current_at <= SubtractClockDrift(item.routed.max_age);
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
  state.running = static_cast<int>(lane.busy.size());
  state.running_long = RunningLong(lane);
  state.now = context_.now;
  state.cap_long = context_.options.long_work_cap;
  return state;
}

int Work::RunningLong(const Lane& lane) const {
  const Duration limit =
      FromMs(std::max(kLongFloorMs, kLongFactor * lane.short_cost_ms));
  return static_cast<int>(
      std::count_if(lane.busy.begin(), lane.busy.end(), [&](const auto& it) {
        const Item& item = items_.at(it.second);
        // Work that turns out long counts as such while it still runs.
        return item.is_long || context_.now - item.started > limit;
      }));
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
  entry.enqueued = context_.now;
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

// Starting

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
  const Duration silence = SilenceLimit(cost->second.milliseconds);
  if (context_.now + silence < item.deadline) {
    context_.After(silence, {detail::TimerKind::kWorkDeadline, {}, id});
  }
}

// Answering

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
    const bool is_read = item.type == StatementType::kRead;
    answer.answer.token.Merge(
        item.group, is_read ? item.success.read_upper_bound : item.position);
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
