#include "corianderdock/session/failover.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace corianderdock::session {

namespace {

bool IsLater(Position a, Position b) {
  return std::tie(a.term, a.index) > std::tie(b.term, b.index);
}

}  // namespace

void Failover::EnterPhase(Phase phase, TimePoint now) {
  phase_ = phase;
  phase_entered_at_ = now;
}

Failover::Actions Failover::Step(const Situation& situation) {
  Actions actions = Advance(situation);
  const bool keeps =
      !UnansweredServer(situation.now).empty() && !using_fallback_token_;
  if (keeps && situation.now >= next_keep_at_) {
    next_keep_at_ = situation.now + options_.claim_keep_interval;
    actions.emplace_back(KeepClaim{});
  }
  return actions;
}

Failover::Actions Failover::Advance(const Situation& situation) {
  const TimePoint now = situation.now;
  NoteForeignOrder(situation);
  if (!situation.replicas_reachable) replicas_reachable_since_.reset();
  if (situation.replicas_reachable && !replicas_reachable_since_) {
    replicas_reachable_since_ = now;
  }
  if (!situation.primary_lost) primary_lost_since_.reset();
  if (situation.primary_lost && !primary_lost_since_) primary_lost_since_ = now;
  if (!situation.primary_lost) foreign_fence_since_.reset();
  switch (phase_) {
    case Phase::kIdle:
      if (!situation.primary_lost || !situation.server_list_complete ||
          now < next_claim_at_ || situation.replicas.empty() ||
          now - *primary_lost_since_ < situation.claim_delay ||
          !ReplicasReachableLongEnough(now)) {
        return {};
      }
      EnterPhase(Phase::kClaiming, now);
      return {Claim{}};
    case Phase::kClaiming:
      if (now - phase_entered_at_ < options_.claim_timeout) return {};
      if (OrderMayBeExecuted(now)) {
        if (now - phase_entered_at_ < options_.claim_retry_delay) return {};
        EnterPhase(Phase::kClaiming, now);
        return {Claim{}};
      }
      return OnClaim(situation, ClaimAnswered{{}, 0, true});
    case Phase::kDemoting:
      if (now - phase_entered_at_ >= options_.demote_timeout ||
          !situation.primary_leaving) {
        return StartFencing(situation);
      }
      return DemoteOldPrimary(situation);
    case Phase::kFencing:
      if (!situation.primary_lost && !OrderMayBeExecuted(now) &&
          demoted_.empty()) {
        return AbandonClaim(situation);
      }
      if (now - phase_entered_at_ >= options_.fence_timeout &&
          !OrderMayBeExecuted(now)) {
        return AbandonClaim(situation);
      }
      if (unanswered_order_ && FoundPrimaryOfUnknownTerm(situation)) {
        if (now < next_retry_at_) return {};
        next_retry_at_ = now + options_.fence_retry_interval;
        return {Inspect{situation.primary}};
      }
      if (unanswered_order_ && AnotherPromoted(situation) &&
          options_.tokens_checked) {
        // A claim under a higher token keeps the unanswered order from undoing
        // that promotion.
        EnterPhase(Phase::kClaiming, now);
        return {Claim{}};
      }
      if (all_fenced_since_ && AllFenced(situation) &&
          !AwaitsLease(situation)) {
        return TryOrder(situation);
      }
      if (now >= next_retry_at_) return FenceRemaining(situation);
      return {};
    case Phase::kRecording:
      if (now - phase_entered_at_ < options_.claim_timeout) return {};
      return OnRecorded(situation, false);
    case Phase::kOrdering:
      // The platform may still execute the order, so the replicas stay fenced
      // and the same order is repeated until its outcome is known.
      if (now < next_retry_at_) return DemoteOldPrimary(situation);
      MarkOrderUnanswered();
      return StartFencing(situation);
    case Phase::kAwaitingPrimary:
      if (now - phase_entered_at_ >= options_.takeover_timeout) {
        return AbandonClaim(situation);
      }
      return DemoteOldPrimary(situation);
  }
  return {};
}

/// Whether all replicas have been reachable for `min_reachable_time`. Another
/// instance may have promoted one of them during a partition. The delay lets a
/// search find that primary once the partition has healed.
bool Failover::ReplicasReachableLongEnough(TimePoint now) const {
  return replicas_reachable_since_ &&
         now - *replicas_reachable_since_ >= options_.min_reachable_time;
}

Failover::Actions Failover::OnClaim(const Situation& situation,
                                    const ClaimAnswered& answer) {
  if (phase_ != Phase::kClaiming) return {};
  NoteForeignOrder(situation);
  if (answer.store_unreachable && !unanswered_order_ && primary_lost_since_ &&
      situation.now - *primary_lost_since_ < situation.fallback_token_delay) {
    EnterPhase(Phase::kIdle, situation.now);
    next_claim_at_ = *primary_lost_since_ + situation.fallback_token_delay;
    return {};
  }
  if (answer.store_unreachable && !options_.tokens_checked) {
    if (!unanswered_order_) return AbandonClaim(situation);
    EnterPhase(Phase::kClaiming, situation.now);
    return {};
  }
  const bool wanted =
      OrderMayBeExecuted(situation.now) ||
      (situation.primary_lost && situation.server_list_complete);
  if (answer.token == 0 && !answer.store_unreachable) {
    competing_claim_until_ = situation.now + options_.competing_claim_duration;
  }
  using_fallback_token_ = answer.store_unreachable;
  claimed_at_ = phase_entered_at_;
  token_ = using_fallback_token_ ? situation.fallback_token : answer.token;
  // The platform may still execute an earlier order under a spent token.
  if (using_fallback_token_ && token_ <= spent_token_ && !unanswered_order_) {
    token_ = 0;
  }
  if (unanswered_order_ && token_ <= unanswered_order_token_) {
    if (!OrderMayBeExecuted(situation.now)) return AbandonClaim(situation);
    EnterPhase(Phase::kClaiming, situation.now);
    return {};
  }
  if (token_ == 0 || !wanted) return AbandonClaim(situation);
  demoted_.clear();
  if (unanswered_order_ && AnotherPromoted(situation)) {
    // Promoting the current primary again changes nothing at the server, but
    // its higher token invalidates earlier orders.
    candidate_ = situation.primary;
    EnterPhase(Phase::kOrdering, situation.now);
    last_order_at_ = situation.now;
    next_retry_at_ = situation.now + options_.order_retry_interval;
    return {Order{candidate_, token_}};
  }
  if (situation.primary_leaving) return StartDemoting(situation);
  return StartFencing(situation);
}

Failover::Actions Failover::StartDemoting(const Situation& situation) {
  fence_term_ = situation.newest_term + 1;
  next_demote_at_ = situation.now;
  EnterPhase(Phase::kDemoting, situation.now);
  return DemoteOldPrimary(situation);
}

Failover::Actions Failover::OnDemoted(const Situation& situation,
                                      const ServerId& server,
                                      const ServerStatus& status) {
  const bool awaited = phase_ == Phase::kDemoting || phase_ == Phase::kFencing;
  if (!awaited || server != situation.primary || status.primary) return {};
  demoted_ = server;
  demoted_end_ = status.received;
  if (phase_ == Phase::kFencing) return TryOrder(situation);
  return StartFencing(situation);
}

Failover::Actions Failover::StartFencing(const Situation& situation) {
  fence_term_ = situation.newest_term + 1;
  fence_reports_.clear();
  all_fenced_since_.reset();
  cleared_to_fence_.clear();
  EnterPhase(Phase::kFencing, situation.now);
  Actions actions;
  // It may still serve others, and acknowledge commits through a server that
  // is not listed yet.
  if (demoted_.empty() && !situation.primary.empty() && !unanswered_order_) {
    actions.push_back(Demote{situation.primary, fence_term_});
  }
  const Actions fences = FenceRemaining(situation);
  actions.insert(actions.end(), fences.begin(), fences.end());
  return actions;
}

Failover::Actions Failover::FenceRemaining(const Situation& situation) {
  next_retry_at_ = situation.now + options_.fence_retry_interval;
  Actions actions;
  for (const auto& [id, draining] : situation.replicas) {
    const bool reported = fence_reports_.contains(id);
    if (reported && options_.leadership_lease == Duration(0)) continue;
    // A further fence would hide that the replica restarted in between.
    if (reported || MustInspect(id)) {
      actions.push_back(Inspect{id});
      continue;
    }
    fence_requested_.insert(id);
    actions.push_back(Fence{id, fence_term_});
  }
  // A restart lifts the fence of a replica. While an order is unanswered, the
  // old primary must not acknowledge commits through such a replica.
  if (unanswered_order_ && !situation.primary.empty()) {
    actions.push_back(Demote{situation.primary, fence_term_});
  }
  return actions;
}

/// Whether a replica must be inspected before it is fenced. While the store is
/// unavailable, an order that another instance issued under a higher token
/// shows only in the fences that it set.
bool Failover::MustInspect(const ServerId& replica) const {
  return using_fallback_token_ && !unanswered_order_ &&
         !fence_requested_.contains(replica) &&
         !cleared_to_fence_.contains(replica);
}

Failover::Actions Failover::OnInspected(const Situation& situation,
                                        const ServerId& server, TimePoint sent,
                                        const ServerStatus& status) {
  if (phase_ != Phase::kFencing) return {};
  const auto report = fence_reports_.find(server);
  if (report != fence_reports_.end()) {
    if (status.fence_term >= fence_term_) {
      report->second = {status.received, sent};
      return TryOrder(situation);
    }
    fence_reports_.erase(report);
    all_fenced_since_.reset();
    return {Fence{server, fence_term_}};
  }
  if (!MustInspect(server)) return {};
  const bool fenced = status.fence_term != 0;
  if (fenced && !foreign_fence_since_) foreign_fence_since_ = situation.now;
  const bool may_be_ordered = fenced && situation.now - *foreign_fence_since_ <
                                            options_.max_order_delay;
  if (may_be_ordered) return AbandonClaim(situation);
  cleared_to_fence_.insert(server);
  fence_requested_.insert(server);
  return {Fence{server, fence_term_}};
}

Failover::Actions Failover::OnFenced(const Situation& situation,
                                     const ServerId& server, TimePoint sent,
                                     const ServerStatus& status) {
  if (phase_ != Phase::kFencing) return {};
  if (status.fence_term < fence_term_ || status.term >= fence_term_) {
    fence_term_ = std::max(fence_term_, status.term + 1);
    return {};
  }
  fence_reports_[server] = {status.received, sent};
  return TryOrder(situation);
}

/// Whether a candidate may be chosen without regard to `replica`. The primary
/// of the newest term in all logs has no acknowledged commit that the other
/// replicas lack. Skipping it makes all claimants choose the same candidate, so
/// an order that is executed late does no harm.
bool Failover::CanSkip(const Situation& situation,
                       const ServerId& replica) const {
  if (replica != situation.last_primary) return false;
  if (!situation.needed_log.empty()) return false;
  bool another = false;
  for (const auto& [id, report] : fence_reports_) {
    if (report.received.term > situation.last_primary_term) return false;
    another = another || id != replica;
  }
  return another;
}

/// Whether the end of a log on which the choice depends is not known yet.
bool Failover::LacksNeededLog(const Situation& situation) const {
  const ServerId& needed = situation.needed_log;
  return !needed.empty() && needed != demoted_ &&
         !fence_reports_.contains(needed);
}

/// Returns the fenced replica with the most advanced log; empty if there is
/// none. Among equal logs, prefers a replica that is not draining.
ServerId Failover::MostAdvanced(const Situation& situation) const {
  const auto& replicas = situation.replicas;
  ServerId best;
  for (const auto& [id, draining] : replicas) {
    if (!fence_reports_.contains(id) || CanSkip(situation, id)) continue;
    const Position received = fence_reports_.at(id).received;
    const bool better = best.empty() ||
                        IsLater(received, fence_reports_.at(best).received) ||
                        (received == fence_reports_.at(best).received &&
                         replicas.at(best) && !draining);
    if (better) best = id;
  }
  return best;
}

/// Returns the server to promote. A demoted primary leads again if no replica
/// has its whole log: a server that is not listed yet may have the only copy of
/// an acknowledged commit.
ServerId Failover::ChooseCandidate(const Situation& situation) const {
  // A server under an order may become the primary at any time.
  const ServerId pending = PendingOrder(situation);
  if (fence_reports_.contains(pending)) {
    const ServerId grown = HasGrownBeyond(situation, pending);
    return grown.empty() ? pending : grown;
  }
  ServerId best = MostAdvanced(situation);
  if (demoted_.empty() || best.empty()) return best;
  // Its own report is newer: it may have lost its log since.
  const auto report = fence_reports_.find(demoted_);
  const Position end =
      report == fence_reports_.end() ? demoted_end_ : report->second.received;
  return IsLater(end, fence_reports_.at(best).received) ? demoted_ : best;
}

/// Whether the candidate's log has what the servers that are left out may have.
bool Failover::ReachesRequired(const Situation& situation,
                               const ServerId& candidate) const {
  if (!situation.required) return true;
  const auto report = fence_reports_.find(candidate);
  const Position end =
      report == fence_reports_.end() ? demoted_end_ : report->second.received;
  return LogContains(end, *situation.required);
}

/// A restart lifts the fence of a replica, so old reports prove nothing.
/// Returns whether any report was discarded.
bool Failover::DiscardStaleReports(const Situation& situation) {
  const TimePoint oldest = situation.now - options_.fence_report_max_age;
  return std::erase_if(fence_reports_, [oldest](const auto& it) {
           return it.second.requested_at < oldest;
         }) > 0;
}

bool Failover::AllFenced(const Situation& situation) const {
  const auto& replicas = situation.replicas;
  const auto fenced = static_cast<std::size_t>(std::count_if(
      replicas.begin(), replicas.end(),
      [&](const auto& it) { return fence_reports_.contains(it.first); }));
  return fenced > 0 &&
         options_.safety->FencedReplicasSuffice(fenced, replicas.size());
}

/// Whether an instance may still rely on proof from before all replicas were
/// fenced.
bool Failover::AwaitsLease(const Situation& situation) {
  if (!all_fenced_since_) all_fenced_since_ = situation.now;
  if (!demoted_.empty()) return false;  // it accepts no more reads
  return situation.now - *all_fenced_since_ < options_.leadership_lease;
}

Failover::Actions Failover::TryOrder(const Situation& situation) {
  if (!AllFenced(situation) || AwaitsLease(situation)) return {};
  if (situation.joiner_expected && demoted_.empty()) return {};
  if (LacksNeededLog(situation)) return {};
  if (using_fallback_token_ && situation.fallback_token == 0) return {};
  if (DiscardStaleReports(situation)) {
    all_fenced_since_.reset();
    return FenceRemaining(situation);
  }
  if (!situation.primary_lost && !OrderMayBeExecuted(situation.now) &&
      demoted_.empty()) {
    return AbandonClaim(situation);
  }
  const ServerId chosen = ChooseCandidate(situation);
  if (!ReachesRequired(situation, chosen)) return {};
  const ServerId pending = PendingOrder(situation);
  const bool other = !pending.empty() && pending != chosen;
  // An order that would lose commits must not be executed, so that a higher
  // token is used at once where tokens are checked.
  const bool supersedes =
      options_.tokens_checked && HasGrownBeyond(situation, pending) == chosen;
  if (other && !supersedes) return {};
  candidate_ = chosen;
  // Promoting a different server requires a higher token, which invalidates the
  // earlier order.
  const bool token_used = unanswered_order_ && unanswered_server_ != chosen &&
                          token_ <= unanswered_order_token_;
  if (token_used || !ClaimValid(situation.now)) {
    EnterPhase(Phase::kClaiming, situation.now);
    return {Claim{}};
  }
  // Others count the time of a repeated order from its record.
  const bool recent =
      situation.now - recorded_at_ < options_.max_order_delay / 2;
  const bool recorded =
      recorded_server_ == chosen && recorded_token_ == token_ && recent;
  if (recorded || using_fallback_token_) return IssueOrder(situation);
  EnterPhase(Phase::kRecording, situation.now);
  return {Record{chosen, token_, MostAdvancedEnd(situation)}};
}

Failover::Actions Failover::OnRecorded(const Situation& situation,
                                       bool recorded) {
  if (phase_ != Phase::kRecording) return {};
  if (!recorded) {
    EnterPhase(Phase::kClaiming, situation.now);
    return {Claim{}};
  }
  recorded_server_ = candidate_;
  recorded_token_ = token_;
  recorded_at_ = situation.now;
  EnterPhase(Phase::kFencing, situation.now);
  return TryOrder(situation);
}

ServerId Failover::UnansweredServer(TimePoint now) const {
  const bool expired = now - unanswered_order_at_ >= options_.max_order_delay;
  return expired ? ServerId() : unanswered_server_;
}

ServerId Failover::OrderedServer(TimePoint now) const {
  const bool ordering =
      phase_ == Phase::kOrdering || phase_ == Phase::kAwaitingPrimary;
  return ordering ? candidate_ : UnansweredServer(now);
}

/// Returns the server under an order of any instance that may still be
/// executed; empty if there is none.
ServerId Failover::PendingOrder(const Situation& situation) const {
  ServerId own = UnansweredServer(situation.now);
  if (!own.empty()) return own;
  return ForeignServer(situation.now);
}

ServerId Failover::ForeignServer(TimePoint now) const {
  const bool expired = now - foreign_order_since_ >= options_.max_order_delay;
  return expired ? ServerId() : foreign_server_;
}

bool Failover::OwnOrderEnded(std::uint64_t token, TimePoint now) const {
  return token == recorded_token_ && phase_ == Phase::kIdle &&
         UnansweredServer(now).empty() && ForeignServer(now).empty();
}

/// Notes an order that another instance recorded. It is kept beyond an order
/// that this instance records in its place.
void Failover::NoteForeignOrder(const Situation& situation) {
  if (situation.recorded_order.empty()) foreign_server_.clear();
  const bool foreign = !situation.recorded_order.empty() &&
                       OrderedByAnother(situation.recorded_token);
  if (!foreign) return;
  foreign_server_ = situation.recorded_order;
  foreign_order_since_ = situation.recorded_since;
  foreign_order_end_ = situation.recorded_end;
}

/// Returns the fenced replica that has received entries since `server` was
/// ordered, which that one lacks; empty if there is none. The primary before
/// counts only if others need its log: the end of its own is not of what it
/// received.
ServerId Failover::HasGrownBeyond(const Situation& situation,
                                  const ServerId& server) const {
  const auto report = fence_reports_.find(server);
  if (report == fence_reports_.end()) return {};
  ServerId best;
  Position end = report->second.received;
  for (const auto& [id, other] : fence_reports_) {
    const auto at_order = EndAtOrder(server, id, situation.now);
    if (!at_order || CanSkip(situation, id)) continue;
    const Position received = other.received;
    if (!IsLater(received, *at_order) || !IsLater(received, end)) continue;
    best = id;
    end = received;
  }
  return best;
}

/// Returns the position up to which the log of `replica` may have reached when
/// `ordered` was ordered; null if unknown.
std::optional<Position> Failover::EndAtOrder(const ServerId& ordered,
                                             const ServerId& replica,
                                             TimePoint now) const {
  if (ordered == UnansweredServer(now)) {
    const auto it = order_ends_.find(replica);
    if (it != order_ends_.end()) return it->second;
  }
  return ordered == foreign_server_ ? foreign_order_end_ : std::nullopt;
}

/// Returns the end of the most advanced log that a fenced replica reported.
Position Failover::MostAdvancedEnd(const Situation& situation) const {
  Position end;
  for (const auto& [id, report] : fence_reports_) {
    if (CanSkip(situation, id)) continue;
    if (IsLater(report.received, end)) end = report.received;
  }
  return end;
}

/// Whether the platform may still execute an unanswered order.
bool Failover::OrderMayBeExecuted(TimePoint now) const {
  return unanswered_order_ &&
         now - unanswered_order_at_ < options_.max_order_delay;
}

/// Whether a primary was found that may be the former one or a new one.
bool Failover::FoundPrimaryOfUnknownTerm(const Situation& situation) {
  return !situation.primary_lost && !situation.primary.empty() &&
         situation.primary_term == 0;
}

/// Whether a server other than the one ordered leads in a newer term than the
/// primary that was to be replaced.
bool Failover::AnotherPromoted(const Situation& situation) const {
  return !situation.primary_lost && !situation.primary.empty() &&
         situation.primary != unanswered_server_ &&
         situation.primary_term >= order_fence_term_;
}

/// Whether no other instance can have claimed the promotion since. A platform
/// that checks tokens refuses the order otherwise.
bool Failover::ClaimValid(TimePoint now) const {
  return options_.tokens_checked || now - claimed_at_ < options_.claim_validity;
}

Failover::Actions Failover::IssueOrder(const Situation& situation) {
  EnterPhase(Phase::kOrdering, situation.now);
  next_retry_at_ = situation.now + options_.order_retry_interval;
  next_demote_at_ = situation.now;
  last_order_at_ = situation.now;
  order_fence_term_ = fence_term_;
  if (!unanswered_order_ || unanswered_server_ != candidate_) {
    order_ends_.clear();
    for (const auto& [id, report] : fence_reports_) {
      order_ends_[id] = report.received;
    }
  }
  Actions actions = DemoteOldPrimary(situation);
  actions.push_back(Order{candidate_, token_});
  return actions;
}

/// Until the new primary has taken over, a replica that restarts receives from
/// the old one again, which could then acknowledge commits that the new primary
/// lacks.
Failover::Actions Failover::DemoteOldPrimary(const Situation& situation) {
  const bool needless =
      situation.primary.empty() || situation.primary == candidate_;
  if (needless || situation.now < next_demote_at_) return {};
  next_demote_at_ = situation.now + options_.fence_retry_interval;
  return {Demote{situation.primary, fence_term_}};
}

Failover::Actions Failover::OnOrdered(const Situation& situation,
                                      PromotionResult result) {
  if (phase_ != Phase::kOrdering) return {};
  if (result == PromotionResult::kUnknown) {
    MarkOrderUnanswered();
    return {};
  }
  // Another instance used a higher token, or the server is not running.
  if (result == PromotionResult::kRefused) return OnOrderRefused(situation);
  unanswered_order_ = false;
  // From now on the platform refuses orders under lower tokens.
  foreign_server_.clear();
  if (token_ > unanswered_order_token_) unanswered_server_.clear();
  if (result == PromotionResult::kAccepted) {
    accepted_token_ = token_;
    EnterPhase(Phase::kAwaitingPrimary, situation.now);
  }
  return {};
}

/// The platform may execute the order at any later time, unless a higher token
/// is used first.
void Failover::MarkOrderUnanswered() {
  unanswered_order_ = true;
  unanswered_server_ = candidate_;
  unanswered_order_at_ = last_order_at_;
  next_keep_at_ =
      std::max(next_keep_at_, last_order_at_ + options_.claim_keep_interval);
  unanswered_order_token_ = std::max(unanswered_order_token_, token_);
  spent_token_ = std::max(spent_token_, token_);
}

/// An earlier unanswered order may be executed once the server runs again. Only
/// an order under a higher token rules that out.
Failover::Actions Failover::OnOrderRefused(const Situation& situation) {
  if (!unanswered_order_) return AbandonClaim(situation);
  EnterPhase(Phase::kClaiming, situation.now);
  return {Claim{}};
}

void Failover::OnUnfenced(const ServerId& server) {
  // A status may have been sent before the fence.
  if (phase_ == Phase::kIdle) fence_requested_.erase(server);
}

void Failover::OnPrimaryConfirmed(const ServerId& server) {
  const bool started =
      phase_ == Phase::kAwaitingPrimary || phase_ == Phase::kOrdering;
  const bool executed = unanswered_order_ && server == unanswered_server_;
  if (!executed && (!started || server != candidate_)) return;
  phase_ = Phase::kIdle;
  unanswered_order_ = false;
  fence_requested_.clear();
}

/// The replicas stay fenced, as an order of another instance may rely on it,
/// also one that nothing shows. Only a promotion lifts the fences: the primary
/// counts as lost while replicas report them.
Failover::Actions Failover::AbandonClaim(const Situation& situation) {
  Actions actions;
  if (!options_.safety->KeepFencesOnAbandon()) {
    for (const ServerId& id : fence_requested_) actions.push_back(Resume{id});
  }
  fence_reports_.clear();
  candidate_.clear();
  unanswered_order_ = OrderMayBeExecuted(situation.now);
  EnterPhase(Phase::kIdle, situation.now);
  next_claim_at_ = situation.now + options_.claim_retry_delay;
  return actions;
}

Failover::Wait Failover::WaitsFor(const Situation& situation) const {
  switch (phase_) {
    case Phase::kIdle:
      return WaitsBeforeClaim(situation);
    case Phase::kClaiming:
      return Wait::kClaim;
    case Phase::kDemoting:
      return Wait::kDemotion;
    case Phase::kFencing:
      return WaitsBeforeOrder(situation);
    case Phase::kRecording:
      return Wait::kClaim;
    case Phase::kOrdering:
      return Wait::kOrder;
    case Phase::kAwaitingPrimary:
      return Wait::kTakeover;
  }
  return Wait::kNone;
}

Failover::Wait Failover::WaitsBeforeClaim(const Situation& situation) const {
  if (!situation.primary_lost) return Wait::kNone;
  if (!situation.server_list_complete) return Wait::kServerList;
  if (!situation.replicas_reachable || situation.replicas.empty() ||
      !ReplicasReachableLongEnough(situation.now)) {
    return Wait::kSilentServer;
  }
  return situation.now < next_claim_at_ ? Wait::kClaim : Wait::kClaimTurn;
}

Failover::Wait Failover::WaitsBeforeOrder(const Situation& situation) const {
  if (!AllFenced(situation) || !all_fenced_since_) return Wait::kFences;
  const bool leased = demoted_.empty() && situation.now - *all_fenced_since_ <
                                              options_.leadership_lease;
  if (leased) return Wait::kLease;
  if (situation.joiner_expected && demoted_.empty()) return Wait::kJoiner;
  if (LacksNeededLog(situation)) return Wait::kDemotion;
  if (using_fallback_token_ && situation.fallback_token == 0) {
    return Wait::kServerList;
  }
  const ServerId chosen = ChooseCandidate(situation);
  if (!ReachesRequired(situation, chosen)) return Wait::kPosition;
  const ServerId pending = PendingOrder(situation);
  const bool other = !pending.empty() && pending != chosen;
  return other ? Wait::kUnansweredOrder : Wait::kFences;
}

}  // namespace corianderdock::session
