#include <algorithm>
#include <utility>

#include "corianderdock/detail/work_support.h"
#include "corianderdock/work.h"

namespace corianderdock {

using namespace detail;  // NOLINT(google-build-using-namespace)

namespace {

constexpr double kCostWeight = 0.2;  // of a new cost observation
constexpr double kMedianStep = 1.05;

}  // namespace

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
    case StatementType::kInTransaction: {
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
    if (item.type == StatementType::kInTransaction) {
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

// Verifying

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
  if (TryFinishRead(id, item)) return;
  waiting_[item.group].insert(id);
  monitor_.BeginUrgency(item.group);
}

void Work::AwaitEvidence(WorkId id, Item& item) {
  item.phase = Phase::kEvidence;
  if (TryFinishWaiting(id, item)) return;
  waiting_[item.group].insert(id);
  monitor_.BeginUrgency(item.group);
}

bool Work::TryFinishRead(WorkId id, Item& item) {
  const auto current_at = VerifiedAge(item);
  if (current_at && ReadIsHeld(item)) {
    item.current_at = *current_at;
    Complete(id, RoutedStatus::kFinal, Outcome::kDone, Reason::kNone);
    return true;
  }
  const Leadership& lead = monitor_.LeadershipOf(item.group);
  const bool on_primary = item.routed.server == lead.primary;
  const bool overtaken = item.position.term < lead.term;
  // Confirmation, or a majority that holds what was shown, may yet be seen.
  if (!overtaken && (on_primary || current_at)) return false;
  if (overtaken && (on_primary || item.routed.max_age.count() == 0)) {
    Complete(id, RoutedStatus::kNotPrimary, Outcome::kNotRun,
             Reason::kNoPrimary);
  } else {
    Complete(id, RoutedStatus::kStale, Outcome::kNotRun, Reason::kNone);
  }
  return true;
}

std::optional<TimePoint> Work::VerifiedAge(const Item& item) const {
  const auto current_at = CurrentAt(item);
  if (!context_.policy->VerifyAge()) return current_at.value_or(context_.now);
  const bool strict = item.routed.max_age.count() == 0;
  const TimePoint since =
      strict ? item.accepted
             : context_.now - SubtractClockDrift(item.routed.max_age);
  if (!current_at || *current_at < since) return std::nullopt;
  return current_at;
}

bool Work::TryFinishWaiting(WorkId id, Item& item) {
  if (item.phase == Phase::kConfirm) return TryFinishRead(id, item);
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

bool Work::ReadIsHeld(const Item& item) const {
  const std::size_t holders = monitor_.ReadHolders(
      item.group, item.success.read_upper_bound, item.routed.server);
  return context_.policy->ShowRead(
      holders, Majority(directory_.Servers(item.group).size()));
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

}  // namespace corianderdock
