#include <algorithm>
#include <utility>

#include "corianderdock/detail/work_support.h"
#include "corianderdock/work.h"

namespace corianderdock {

using namespace detail;  // NOLINT(google-build-using-namespace)

namespace {

constexpr double kCostSmoothing = 0.2;  // weight of a new observation
constexpr double kMedianStepFactor = 1.05;

}  // namespace

void WorkScheduler::OnStatementDone(const StatementDone& done) {
  const auto found = work_items_.find(done.work);
  if (found == work_items_.end()) {
    for (auto& [id, state] : server_states_) {
      if (state->pings_in_flight.contains(done.connection)) {
        OnPingDone(*state, done);
      }
    }
    return;
  }
  WorkItem& item = found->second;
  if (item.phase != Phase::kRunning || item.connection != done.connection) {
    return;
  }
  const ServerId server = item.routed.server;
  ServerState& state = *server_states_.at(server);
  if (const auto* success = std::get_if<StatementSuccess>(&done.result)) {
    LearnCost(item, state);
    ReleaseConnection(item, state, true);
    OnSuccess(done.work, item, *success);
  } else {
    const auto& failure = std::get<StatementFailure>(done.result);
    const bool reusable = failure.fault == StatementFault::kSqlError ||
                          failure.fault == StatementFault::kWrongTerm;
    ReleaseConnection(item, state, reusable);
    OnFailure(done.work, item, failure);
  }
  Dispatch(server);
}

void WorkScheduler::LearnCost(WorkItem& item, ServerState& state) {
  const double ms = ToMs(context_.now - item.started);
  CostEstimate& cost = costs_[CostKey(item.routed.request)];
  cost.milliseconds =
      cost.known ? cost.milliseconds + kCostSmoothing * (ms - cost.milliseconds)
                 : ms;
  cost.known = true;
  // Streaming estimate of the median, which outliers hardly change.
  if (!state.median_cost_known) {
    state.median_cost_ms = ms;
    state.median_cost_known = true;
  } else {
    state.median_cost_ms *=
        ms > state.median_cost_ms ? kMedianStepFactor : 1 / kMedianStepFactor;
  }
}

void WorkScheduler::ReleaseConnection(WorkItem& item, ServerState& state,
                                      bool reusable) {
  state.running.erase(item.connection);
  if (!reusable && context_.policy->CloseInDoubt()) {
    state.pool.Close(item.connection);
    return;
  }
  const bool pinned =
      IsInTransaction(item.type) && context_.policy->PinTransactions();
  if (!pinned) state.pool.Release(item.connection);
}

void WorkScheduler::OnSuccess(WorkId id, WorkItem& item,
                              const StatementSuccess& success) {
  item.success = success;
  item.position = success.position;
  switch (item.type) {
    case StatementType::kRead:
      OnReadDone(id, item);
      return;
    case StatementType::kWrite:
    case StatementType::kResolve:
      AwaitReplication(id, item);
      return;
    case StatementType::kCommit:
      EndTransaction(item.transaction, false);
      AwaitReplication(id, item);
      return;
    case StatementType::kBegin: {
      ServerState& state = *server_states_.at(item.routed.server);
      if (context_.policy->PinTransactions()) state.pool.Pin(item.connection);
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
    case StatementType::kInTransaction: {
      Transaction& transaction = transactions_.at(item.transaction);
      transaction.busy = false;
      transaction.last_used = context_.now;
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

void WorkScheduler::OnFailure(WorkId id, WorkItem& item,
                              const StatementFailure& failure) {
  const bool in_transaction = IsInTransaction(item.type);
  if (failure.fault == StatementFault::kSqlError) {
    if (item.type == StatementType::kInTransaction) {
      transactions_.at(item.transaction).busy = false;
      transactions_.at(item.transaction).last_used = context_.now;
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

// Verification

void WorkScheduler::OnReadDone(WorkId id, WorkItem& item) {
  item.phase = Phase::kVerifyingRead;
  const Leadership& lead = monitor_.LeadershipOf(item.group);
  const Position token =
      ClampToHistory(item.routed.request.token.At(item.group), lead.starts);
  if (!context_.policy->TokenReached(item.position, token)) {
    Complete(id, RoutedStatus::kStale, Outcome::kNotRun,
             Reason::kTokenNotReached);
    return;
  }
  if (TryFinishRead(id, item)) return;
  waiting_by_group_[item.group].insert(id);
  monitor_.BeginFastPolling(item.group);
}

void WorkScheduler::AwaitReplication(WorkId id, WorkItem& item) {
  item.phase = Phase::kAwaitingReplication;
  if (TryFinishVerification(id, item)) return;
  waiting_by_group_[item.group].insert(id);
  monitor_.BeginFastPolling(item.group);
}

bool WorkScheduler::TryFinishRead(WorkId id, WorkItem& item) {
  const auto data_current_at = VerifiedCurrentAt(item);
  if (data_current_at && ReadIsReplicated(item)) {
    item.data_current_at = *data_current_at;
    Complete(id, RoutedStatus::kFinal, Outcome::kDone, Reason::kNone);
    return true;
  }
  const Leadership& lead = monitor_.LeadershipOf(item.group);
  const bool on_primary = item.routed.server == lead.primary;
  const bool superseded = item.position.term < lead.term;
  // The primary may still be confirmed, or a majority may still replicate what
  // was read.
  if (!superseded && (on_primary || data_current_at)) return false;
  if (superseded && (on_primary || item.routed.max_age.count() == 0)) {
    Complete(id, RoutedStatus::kNotPrimary, Outcome::kNotRun,
             Reason::kNoPrimary);
  } else {
    Complete(id, RoutedStatus::kStale, Outcome::kNotRun, Reason::kNone);
  }
  return true;
}

std::optional<TimePoint> WorkScheduler::VerifiedCurrentAt(
    const WorkItem& item) const {
  const auto data_current_at = DataCurrentAt(item);
  if (!context_.policy->VerifyAge()) {
    return data_current_at.value_or(context_.now);
  }
  const bool strict = item.routed.max_age.count() == 0;
  const TimePoint since =
      strict ? item.accepted
             : context_.now - SubtractClockDrift(item.routed.max_age);
  if (!data_current_at || *data_current_at < since) return std::nullopt;
  return data_current_at;
}

bool WorkScheduler::TryFinishVerification(WorkId id, WorkItem& item) {
  if (item.phase == Phase::kVerifyingRead) return TryFinishRead(id, item);
  const std::size_t majority = Majority(directory_.Servers(item.group).size());
  const std::size_t replicated =
      monitor_.ReplicationCount(item.group, item.position);
  if (context_.policy->Acknowledge(replicated, majority)) {
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

bool WorkScheduler::ReadIsReplicated(const WorkItem& item) const {
  const std::size_t replicated = monitor_.ReadReplicationCount(
      item.group, item.success.read_upper_bound, item.routed.server);
  return context_.policy->MayReturnRead(
      replicated, Majority(directory_.Servers(item.group).size()));
}

std::optional<TimePoint> WorkScheduler::DataCurrentAt(
    const WorkItem& item) const {
  const bool on_primary =
      item.routed.server == monitor_.LeadershipOf(item.group).primary;
  // A server that is confirmed as primary after the read began had every commit
  // up to that time.
  if (on_primary &&
      monitor_.ConfirmedSince(item.group, item.position.term, item.started)) {
    return item.started;
  }
  return monitor_.ConfirmedCurrentAt(item.group, item.position);
}

void WorkScheduler::OnGroupUpdated(const GroupId& group) {
  const Leadership& lead = monitor_.LeadershipOf(group);
  if (lead.term > last_rejected_term_[group]) {
    // Queued writes must not wait for a server that is no longer the primary.
    last_rejected_term_[group] = lead.term;
    for (const auto& server : directory_.Servers(group)) {
      const auto state = server_states_.find(server);
      if (state == server_states_.end() || server == lead.primary) continue;
      RejectQueued(*state->second, RoutedStatus::kNotPrimary);
    }
  }
  const auto found = waiting_by_group_.find(group);
  if (found == waiting_by_group_.end()) return;
  const std::vector<WorkId> ids(found->second.begin(), found->second.end());
  for (const WorkId id : ids) {
    const auto it = work_items_.find(id);
    if (it != work_items_.end()) TryFinishVerification(id, it->second);
  }
}

void WorkScheduler::StopVerification(WorkId id, WorkItem& item) {
  const auto found = waiting_by_group_.find(item.group);
  if (found == waiting_by_group_.end() || found->second.erase(id) == 0) return;
  if (found->second.empty()) waiting_by_group_.erase(found);
  monitor_.EndFastPolling(item.group);
}

}  // namespace corianderdock
