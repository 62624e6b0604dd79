#include "corianderdock/session/failover.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace corianderdock::session {

namespace {

bool Ahead(Position a, Position b) {
  return std::tie(a.term, a.index) > std::tie(b.term, b.index);
}

}  // namespace

void Failover::Enter(Phase phase, TimePoint now) {
  phase_ = phase;
  since_ = now;
}

Failover::Actions Failover::Step(const Situation& situation) {
  const TimePoint now = situation.now;
  if (!situation.reachable) reachable_since_.reset();
  if (situation.reachable && !reachable_since_) reachable_since_ = now;
  if (!situation.primary_lost) lost_since_.reset();
  if (situation.primary_lost && !lost_since_) lost_since_ = now;
  if (!situation.primary_lost) foreign_since_.reset();
  switch (phase_) {
    case Phase::kIdle:
      if (auto actions = Release(situation); !actions.empty()) return actions;
      if (!situation.primary_lost || !situation.complete || now < next_claim_ ||
          situation.replicas.empty() || !ReachableLongEnough(now)) {
        return {};
      }
      Enter(Phase::kClaiming, now);
      return {Claim{}};
    case Phase::kClaiming:
      if (now - since_ < options_.claim_timeout) return {};
      if (unanswered_order_ && now - since_ >= options_.claim_pause) {
        Enter(Phase::kClaiming, now);
        return {Claim{}};
      }
      if (unanswered_order_) return {};
      return OnClaim(situation, ClaimAnswered{{}, 0, true});
    case Phase::kHolding:
      if (!situation.primary_lost && !unanswered_order_) {
        return Abandon(situation);
      }
      if (now - since_ >= options_.hold_timeout && !unanswered_order_) {
        return Abandon(situation);
      }
      if (unanswered_order_ && !situation.primary_lost &&
          !situation.primary.empty()) {
        // Another promotion was done: the open order must not undo it.
        Enter(Phase::kClaiming, now);
        return {Claim{}};
      }
      if (now >= next_retry_) return HoldMissing(situation);
      return {};
    case Phase::kOrdering:
      // The order may still be carried out, so the replicas stay held and the
      // same order is repeated until its outcome is known.
      if (now < next_retry_) return FencePrimary(situation);
      LeaveOpen();
      return StartHolding(situation);
    case Phase::kStarting:
      if (now - since_ >= options_.lead_timeout) return Abandon(situation);
      return FencePrimary(situation);
  }
  return {};
}

/// Replicas behind a partition may have a new primary among them, which a
/// search finds soon after it healed.
bool Failover::ReachableLongEnough(TimePoint now) const {
  return reachable_since_ && now - *reachable_since_ >= options_.search_time;
}

Failover::Actions Failover::OnClaim(const Situation& situation,
                                    const ClaimAnswered& answer) {
  if (phase_ != Phase::kClaiming) return {};
  if (std::exchange(releasing_, false))
    return OnReleaseClaim(situation, answer);
  if (answer.store_unreachable && !unanswered_order_ && lost_since_ &&
      situation.now - *lost_since_ < situation.standing_turn) {
    Enter(Phase::kIdle, situation.now);
    next_claim_ = *lost_since_ + situation.standing_turn;
    return {};
  }
  const bool wanted =
      unanswered_order_ || (situation.primary_lost && situation.complete);
  if (answer.token == 0 && !answer.store_unreachable) {
    claimed_elsewhere_until_ = situation.now + options_.claim_elsewhere;
  }
  standing_ = answer.store_unreachable;
  token_ = standing_ ? situation.standing_token : answer.token;
  // An order without an answer may yet be carried out under a spent token.
  if (standing_ && token_ <= spent_token_ && !unanswered_order_) token_ = 0;
  if (unanswered_order_ && token_ <= open_token_) {
    Enter(Phase::kClaiming, situation.now);
    return {};
  }
  if (token_ == 0 || !wanted) return Abandon(situation);
  if (!situation.primary_lost && !situation.primary.empty()) {
    // The order changes nothing at the present primary but fences older ones.
    candidate_ = situation.primary;
    Enter(Phase::kOrdering, situation.now);
    next_retry_ = situation.now + options_.order_retry;
    return {Order{candidate_, token_}};
  }
  return StartHolding(situation);
}

Failover::Actions Failover::StartHolding(const Situation& situation) {
  hold_term_ = situation.newest_term + 1;
  held_.clear();
  free_.clear();
  Enter(Phase::kHolding, situation.now);
  return HoldMissing(situation);
}

Failover::Actions Failover::HoldMissing(const Situation& situation) {
  next_retry_ = situation.now + options_.hold_retry;
  Actions actions;
  for (const auto& [id, leaving] : situation.replicas) {
    if (held_.contains(id)) continue;
    if (MustInspect(id)) {
      actions.push_back(Inspect{id});
      continue;
    }
    asked_.insert(id);
    actions.push_back(Hold{id, hold_term_});
  }
  // A held replica that restarts receives again: while an order is open, the
  // old primary must not acknowledge by it.
  if (unanswered_order_ && !situation.primary.empty()) {
    actions.push_back(Demote{situation.primary, hold_term_});
  }
  return actions;
}

/// Another instance may have ordered a promotion under a higher token, unseen
/// while the store is away. Its holds show it.
bool Failover::MustInspect(const ServerId& replica) const {
  return standing_ && !unanswered_order_ && !asked_.contains(replica) &&
         !free_.contains(replica);
}

Failover::Actions Failover::OnInspected(const Situation& situation,
                                        const ServerId& server,
                                        const ServerStatus& status) {
  if (phase_ != Phase::kHolding || !MustInspect(server)) return {};
  const bool held = status.held != 0;
  if (held && !foreign_since_) foreign_since_ = situation.now;
  const bool may_be_ordered =
      held && situation.now - *foreign_since_ < options_.late_order;
  if (may_be_ordered) return Abandon(situation);
  free_.insert(server);
  asked_.insert(server);
  return {Hold{server, hold_term_}};
}

Failover::Actions Failover::OnHeld(const Situation& situation,
                                   const ServerId& server,
                                   const ServerStatus& status) {
  if (phase_ != Phase::kHolding) return {};
  if (status.held < hold_term_ || status.term >= hold_term_) {
    hold_term_ = std::max(hold_term_, status.term + 1);
    return {};
  }
  held_[server] = {status.received, situation.now};
  return TryOrder(situation);
}

/// Whether a candidate may be chosen without looking at `replica`: one that led
/// in the newest term of all logs holds no acknowledged commit that the others
/// lack. All claimants then choose the same, and a late order does no harm.
bool Failover::MayPass(const Situation& situation,
                       const ServerId& replica) const {
  if (replica != situation.last_primary) return false;
  bool another = false;
  for (const auto& [id, evidence] : held_) {
    if (evidence.received.term > situation.last_primary_term) return false;
    another = another || id != replica;
  }
  return another;
}

/// A server that stays goes before one that leaves with the same log.
ServerId Failover::MostAdvanced(const Situation& situation) {
  const auto& replicas = situation.replicas;
  ServerId best;
  for (const auto& [id, leaving] : replicas) {
    if (!held_.contains(id) || MayPass(situation, id)) continue;
    const Position received = held_[id].received;
    const bool better =
        best.empty() || Ahead(received, held_[best].received) ||
        (received == held_[best].received && replicas.at(best) && !leaving);
    if (better) best = id;
  }
  return best;
}

/// A replica that restarted receives again, so old answers prove nothing.
/// Returns whether any was dropped.
bool Failover::DropOldEvidence(const Situation& situation) {
  const TimePoint oldest = situation.now - options_.evidence_age;
  return std::erase_if(held_, [oldest](const auto& it) {
           return it.second.at < oldest;
         }) > 0;
}

Failover::Actions Failover::TryOrder(const Situation& situation) {
  const auto& replicas = situation.replicas;
  const auto held = static_cast<std::size_t>(
      std::count_if(replicas.begin(), replicas.end(),
                    [&](const auto& it) { return held_.contains(it.first); }));
  if (held == 0 || !options_.safety->EvidenceComplete(held, replicas.size())) {
    return {};
  }
  if (DropOldEvidence(situation)) return HoldMissing(situation);
  if (!situation.primary_lost && !unanswered_order_) return Abandon(situation);
  const ServerId ordered = std::exchange(candidate_, MostAdvanced(situation));
  if (unanswered_order_ && !ordered.empty() && ordered != candidate_) {
    // Another server needs a higher token, which fences the earlier order.
    candidate_.clear();
    Enter(Phase::kClaiming, situation.now);
    return {Claim{}};
  }
  return IssueOrder(situation);
}

Failover::Actions Failover::IssueOrder(const Situation& situation) {
  Enter(Phase::kOrdering, situation.now);
  next_retry_ = situation.now + options_.order_retry;
  next_fence_ = situation.now;
  Actions actions = FencePrimary(situation);
  actions.push_back(Order{candidate_, token_});
  return actions;
}

/// Until the new primary leads, a replica that restarts receives from the old
/// one, which then acknowledges commits that the new one lacks.
Failover::Actions Failover::FencePrimary(const Situation& situation) {
  const bool in_order = situation.primary_leaves && situation.reachable;
  const bool needless =
      situation.primary.empty() || in_order || situation.primary == candidate_;
  if (needless || situation.now < next_fence_) return {};
  next_fence_ = situation.now + options_.hold_retry;
  return {Demote{situation.primary, hold_term_}};
}

Failover::Actions Failover::OnOrdered(const Situation& situation,
                                      PromotionResult result) {
  if (phase_ != Phase::kOrdering) return {};
  if (result == PromotionResult::kUnknown) {
    LeaveOpen();
    return {};
  }
  // Another instance used a higher token, or the server does not run.
  if (result == PromotionResult::kRefused) return OnRefused(situation);
  unanswered_order_ = false;
  if (result == PromotionResult::kAccepted) {
    Enter(Phase::kStarting, situation.now);
  }
  return {};
}

/// The order may be carried out at any later time, unless a higher token was
/// used before.
void Failover::LeaveOpen() {
  unanswered_order_ = true;
  open_token_ = std::max(open_token_, token_);
  spent_token_ = std::max(spent_token_, token_);
}

/// An earlier order without an answer may be carried out once the server runs
/// again. Only a call under a higher token rules that out.
Failover::Actions Failover::OnRefused(const Situation& situation) {
  if (!unanswered_order_) return Abandon(situation);
  Enter(Phase::kClaiming, situation.now);
  return {Claim{}};
}

void Failover::OnLeader(const ServerId& server) {
  const bool ordered = phase_ == Phase::kHolding && unanswered_order_;
  const bool started =
      phase_ == Phase::kStarting || phase_ == Phase::kOrdering || ordered;
  if (!started || server != candidate_) return;
  phase_ = Phase::kIdle;
  unanswered_order_ = false;
  asked_.clear();
}

/// The replicas stay held: another instance's promotion may rely on it, and
/// only a promotion or `Release` lets them go.
Failover::Actions Failover::Abandon(const Situation& situation) {
  Actions actions;
  if (!options_.safety->KeepHolding()) {
    for (const ServerId& id : asked_) actions.push_back(Resume{id});
  }
  held_.clear();
  candidate_.clear();
  Enter(Phase::kIdle, situation.now);
  next_claim_ = situation.now + options_.claim_pause;
  return actions;
}

/// Lets replicas go that an abandoned claim held. The claim that this needs
/// keeps others from holding them meanwhile.
Failover::Actions Failover::Release(const Situation& situation) {
  if (asked_.empty()) return {};
  if (situation.primary_lost) {
    healthy_since_.reset();
    return {};
  }
  if (!healthy_since_) healthy_since_ = situation.now;
  if (situation.now - *healthy_since_ < options_.release_after) return {};
  healthy_since_.reset();
  releasing_ = true;
  Enter(Phase::kClaiming, situation.now);
  return {Claim{}};
}

Failover::Actions Failover::OnReleaseClaim(const Situation& situation,
                                           const ClaimAnswered& answer) {
  Enter(Phase::kIdle, situation.now);
  if (answer.token == 0 || situation.primary_lost) return {};
  Actions actions;
  for (const ServerId& id : asked_) actions.push_back(Resume{id});
  asked_.clear();
  return actions;
}

}  // namespace corianderdock::session
