#include "corianderdock/work.h"

#include <algorithm>
#include <utility>

#include "corianderdock/detail/work_support.h"

namespace corianderdock {

using namespace detail;  // NOLINT(google-build-using-namespace)

namespace {

constexpr Duration kUnavailableRetryAfter = Milliseconds(500);
constexpr Duration kMinRetryAfter = Milliseconds(20);

}  // namespace

WorkScheduler::WorkScheduler(detail::Context& context,
                             const Directory& directory,
                             const Configuration& configuration,
                             GroupMonitor& monitor)
    : context_(context),
      directory_(directory),
      configuration_(configuration),
      monitor_(monitor) {}

// Admission

StatementType WorkScheduler::TypeOf(const Request& request, Mode mode) const {
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

void WorkScheduler::Execute(RoutedRequest routed, AnswerCallback on_answer) {
  const WorkId id = context_.NewId();
  WorkItem& item = work_items_[id];
  item.type = TypeOf(routed.request, routed.mode);
  item.accepted = context_.now;
  item.deadline = context_.now + routed.remaining;
  item.routed = std::move(routed);
  item.on_answer = std::move(on_answer);
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
  if (auto refusal = CheckAdmission(item, *server)) {
    context_.Count("work_refused");
    Deliver(id, std::move(*refusal));
    return;
  }
  Enqueue(id, item, *server);
}

std::optional<RoutedAnswer> WorkScheduler::CheckAdmission(
    const WorkItem& item, const Server& server) const {
  RoutedAnswer answer = BaseAnswer(item);
  answer.answer.outcome = Outcome::kNotRun;
  if (server.leaving && context_.policy->AvoidLeaving()) {
    answer.status = RoutedStatus::kRetry;
    answer.answer.reason = Reason::kNoPrimary;
    return answer;
  }
  const Leadership& lead = monitor_.LeadershipOf(item.group);
  if (item.type == StatementType::kRead) {
    if (!CanServeRead(item)) {
      answer.status = RoutedStatus::kStale;
      return answer;
    }
  } else {
    if (lead.primary != server.id) {
      answer.status = RoutedStatus::kNotPrimary;
      answer.answer.reason = Reason::kNoPrimary;
      return answer;
    }
    const bool needs_majority = !context_.policy->Acknowledge(0, 1);
    if (needs_majority && !monitor_.CanConfirmReplication(item.group)) {
      answer.status = RoutedStatus::kRetry;
      answer.answer.reason = Reason::kReplicationBehind;
      answer.answer.retry_after = kUnavailableRetryAfter;
      return answer;
    }
  }
  const auto state = server_states_.find(server.id);
  if (state == server_states_.end()) return std::nullopt;
  if (item.type == StatementType::kBegin) {
    const int max_pinned =
        std::max(state->second->pool.Budget() - server.slots, 1);
    if (state->second->pool.pinned() >= max_pinned) {
      answer.status = RoutedStatus::kBusy;
      answer.answer.reason = Reason::kOverloaded;
      answer.answer.detail = "too many open transactions";
      answer.answer.retry_after = kUnavailableRetryAfter;
      return answer;
    }
  }
  if (!context_.options.early_refusal) return std::nullopt;
  const auto cost = costs_.find(CostKey(item.routed.request));
  const double own_ms = cost == costs_.end() ? state->second->median_cost_ms
                                             : cost->second.milliseconds;
  const Duration wait = ExpectedWait(server.id);
  const Duration needed = wait + FromMs(own_ms);
  if (needed <= item.routed.remaining) return std::nullopt;
  answer.status = RoutedStatus::kBusy;
  answer.answer.reason = Reason::kOverloaded;
  answer.answer.retry_after =
      std::max(needed - item.routed.remaining, Duration(kMinRetryAfter));
  return answer;
}

bool WorkScheduler::CanServeRead(const WorkItem& item) const {
  const Leadership& lead = monitor_.LeadershipOf(item.group);
  if (item.routed.server == lead.primary) return true;
  const auto last = monitor_.LogEndOf(item.routed.server);
  if (!last) return false;
  if (!context_.policy->VerifyAge()) return true;
  const Position token =
      ClampToHistory(item.routed.request.token.At(item.group), lead.starts);
  if (last->term < token.term) return false;
  if (item.routed.max_age.count() == 0) return false;
  const auto data_current_at = monitor_.ConfirmedCurrentAt(item.group, *last);
  return data_current_at && context_.now - *data_current_at <=
                                SubtractClockDrift(item.routed.max_age);
}

WorkScheduler::ServerState& WorkScheduler::StateOf(const Server& server) {
  auto& state = server_states_[server.id];
  if (!state) {
    state = std::make_unique<ServerState>(context_, server);
    context_.After(context_.options.ping_interval,
                   {detail::TimerKind::kPing, server.id, kPeriodicTimer});
  }
  return *state;
}

SlotState WorkScheduler::SlotsOf(const ServerState& state) const {
  const Server& server = state.pool.server();
  SlotState slot_state;
  slot_state.slots = server.slots;
  slot_state.prefetch = context_.options.prefetch;
  if (!context_.options.shared_scheduler) {
    // With static shares no instance knows the use of the slots; its own
    // connections are the only limit.
    slot_state.slots = state.pool.Budget();
  }
  if (!context_.options.late_binding) slot_state.slots = state.pool.Budget();
  slot_state.running = static_cast<int>(state.running.size());
  slot_state.running_long = RunningLong(state);
  slot_state.now = context_.now;
  slot_state.cap_long = context_.options.long_work_cap;
  return slot_state;
}

int WorkScheduler::RunningLong(const ServerState& state) const {
  const Duration limit = FromMs(
      std::max(kLongCostMinimumMs, kLongCostFactor * state.median_cost_ms));
  return static_cast<int>(std::count_if(
      state.running.begin(), state.running.end(), [&](const auto& it) {
        const WorkItem& item = work_items_.at(it.second);
        // A statement that runs longer than expected counts as long from then
        // on.
        return item.is_long || context_.now - item.started > limit;
      }));
}

Duration WorkScheduler::ExpectedWait(const ServerId& server) const {
  const auto it = server_states_.find(server);
  if (it == server_states_.end()) return Duration(0);
  return it->second->queue.ExpectedWait(SlotsOf(*it->second), false);
}

std::string WorkScheduler::CostKey(const Request& request) const {
  return request.service + "/" + request.kind + "/" +
         std::to_string(static_cast<int>(request.method));
}

void WorkScheduler::Enqueue(WorkId id, WorkItem& item, const Server& server) {
  ServerState& state = StateOf(server);
  const auto cost = costs_.find(CostKey(item.routed.request));
  const bool known = cost != costs_.end() && cost->second.known;
  const double cost_ms =
      known ? cost->second.milliseconds : state.median_cost_ms;
  item.is_long = known && cost_ms > kLongCostMinimumMs &&
                 cost_ms > kLongCostFactor * state.median_cost_ms;
  QueueItem entry;
  entry.work = id;
  entry.service = item.routed.request.service;
  entry.is_long = item.is_long && context_.options.long_work_cap;
  entry.cost = FromMs(cost_ms);
  entry.enqueued = context_.now;
  const Service* service = configuration_.Find(entry.service);
  const double weight = service == nullptr ? 1 : service->Demand() + 1;
  state.queue.Push(std::move(entry), weight);
  context_.timers.Schedule(item.deadline,
                           {detail::TimerKind::kWorkDeadline, {}, id});
  Dispatch(server.id);
}

void WorkScheduler::ExecuteInTransaction(WorkId id, WorkItem& item) {
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
  const auto state = server_states_.find(transaction.server);
  if (server == nullptr || state == server_states_.end() ||
      !state->second->pool.Has(transaction.connection)) {
    EndTransaction(item.transaction, true);
    Complete(id, RoutedStatus::kFinal, Outcome::kFailed,
             Reason::kTransactionLost, "connection of the transaction ended");
    return;
  }
  context_.timers.Schedule(item.deadline,
                           {detail::TimerKind::kWorkDeadline, {}, id});
  Start(id, item, *state->second, transaction.connection);
}

// Starting

void WorkScheduler::Dispatch(const ServerId& server_id) {
  const auto found = server_states_.find(server_id);
  if (found == server_states_.end()) return;
  ServerState& state = *found->second;
  while (state.queue.size() > 0) {
    const SlotState slot_state = SlotsOf(state);
    if (slot_state.running >= slot_state.slots + slot_state.prefetch) return;
    const auto connection = state.pool.Acquire();
    if (!connection) {
      state.pool.EnsureOpen(state.pool.size() + 1);
      return;
    }
    const auto next = state.queue.Pop(slot_state);
    if (!next) {
      state.pool.Release(*connection);
      return;
    }
    Start(next->work, work_items_.at(next->work), state, *connection);
  }
}

void WorkScheduler::Start(WorkId id, WorkItem& item, ServerState& state,
                          ConnectionId connection) {
  const Request& request = item.routed.request;
  item.phase = Phase::kRunning;
  item.connection = connection;
  item.started = context_.now;
  state.running[connection] = id;
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

RoutedAnswer WorkScheduler::BaseAnswer(const WorkItem& item) const {
  RoutedAnswer answer;
  answer.leadership = monitor_.LeadershipOf(item.group);
  answer.expected_wait = ExpectedWait(item.routed.server);
  answer.answer.token = item.routed.request.token;
  answer.answer.server = item.routed.server;
  answer.handling = context_.now - item.accepted;
  if (item.type == StatementType::kRead &&
      item.phase == Phase::kVerifyingRead) {
    answer.data_age = context_.now - item.data_current_at;
  }
  return answer;
}

void WorkScheduler::Complete(WorkId id, RoutedStatus status, Outcome outcome,
                             Reason reason, std::string detail) {
  WorkItem& item = work_items_.at(id);
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

void WorkScheduler::Deliver(WorkId id, RoutedAnswer answer) {
  const auto it = work_items_.find(id);
  StopVerification(id, it->second);
  const AnswerCallback on_answer = std::move(it->second.on_answer);
  work_items_.erase(it);
  on_answer(std::move(answer));
}

}  // namespace corianderdock
