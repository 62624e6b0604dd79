/// \file
/// Failover of one service: decides when to promote a replica, and which one.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "corianderdock/session/events.h"
#include "corianderdock/session/model.h"
#include "corianderdock/session/safety.h"

namespace corianderdock::session {

/// Time limits of a failover.
struct FailoverOptions {
  const Safety* safety = &DefaultSafety();  ///< must outlive the failover
  /// A primary with unanswered work that sends nothing for this long is
  /// considered lost.
  Duration primary_loss_timeout = std::chrono::milliseconds(400);
  /// Time for which all replicas must have been reachable before a claim.
  Duration min_reachable_time = std::chrono::milliseconds(500);
  /// Delay before the next claim after an abandoned one.
  Duration claim_retry_delay = std::chrono::milliseconds(1000);
  /// Time-out of a claim at the store.
  Duration claim_timeout = std::chrono::milliseconds(600);
  /// Time-out for the demotion of a primary that is to be replaced.
  Duration demote_timeout = std::chrono::milliseconds(500);
  /// Time-out for fencing all replicas.
  Duration fence_timeout = std::chrono::milliseconds(2500);
  /// Time for which a claim by another instance counts as in progress.
  Duration competing_claim_duration = std::chrono::milliseconds(1500);
  /// Older reports no longer prove that a replica is fenced, as it may have
  /// restarted, which lifts the fence.
  Duration fence_report_max_age = std::chrono::milliseconds(500);
  /// Time within which the platform may still execute an order of another
  /// instance: the longest delay that it specifies for an unanswered call.
  Duration max_order_delay = std::chrono::milliseconds(12'000);
  /// Time from fencing all replicas to the order, within which other instances
  /// may rely on earlier proof of the old primary's leadership.
  Duration leadership_lease{0};
  /// The platform refuses an order whose token is lower than one used before.
  /// Otherwise it executes every order, and none is given without the store.
  bool tokens_checked = true;
  /// Age of a claim up to which an order may be given where tokens are not
  /// checked. Shorter than the claim's lease at the store by the time that an
  /// order may be under way.
  Duration claim_validity = std::chrono::milliseconds(2000);
  /// Interval at which commands to a replica or the old primary are repeated.
  Duration fence_retry_interval = std::chrono::milliseconds(300);
  /// Interval at which a claim is kept while an order may be executed; a third
  /// of the claim's lease at the store.
  Duration claim_keep_interval = std::chrono::milliseconds(1000);
  /// Interval at which an unanswered promotion order is repeated.
  Duration order_retry_interval = std::chrono::milliseconds(600);
  /// Time within which the promoted server must prove to be the primary.
  Duration takeover_timeout = std::chrono::milliseconds(3500);
};

/// Orders the promotion of a replica that has every acknowledged commit.
///
/// A primary that still answers is demoted first, so that it acknowledges no
/// commit through a server that just joined and is not listed yet.
///
/// All replicas are fenced first, so that no further commit is acknowledged.
/// Every acknowledged commit is on at least one replica, so the most advanced
/// replica has all of them.
///
/// An unanswered order may be executed until `max_order_delay` has passed. It
/// is repeated until its server leads, even if the former primary returns: of
/// two orders under way, the later one could end the lead of a server that has
/// acknowledged commits under the earlier one. Another server is ordered only
/// when the time has passed, or if it restarted, which lifted its fence, and
/// received more. The claim is kept for as long, so that no other instance
/// orders another server. An order is recorded at the store before it is given,
/// so that the next claimant orders the same server if this one stops.
///
/// The fencing token comes from the store, which grants one claim at a time.
/// While the store is unavailable, the instance uses its fallback token. The
/// instances take turns in doing so, and the platform refuses a token lower
/// than one used before. Replicas that another instance has fenced are then
/// not fenced until `max_order_delay` has passed, as that instance may have
/// ordered a promotion under a higher token.
///
/// Not thread-safe; times must not decrease.
class Failover {
 public:
  /// Claims a promotion at the store, which returns a fencing token.
  struct Claim {};
  /// Keeps the claim while an order may be executed.
  struct KeepClaim {};
  /// Asks a replica whether it is fenced.
  struct Inspect {
    ServerId server;
  };
  /// Tells a replica to accept no log entries from terms below `term`.
  struct Fence {
    ServerId server;
    Term term = 0;
  };
  /// Tells a primary of a term below `term` to acknowledge no more commits.
  struct Demote {
    ServerId server;
    Term term = 0;
  };
  /// Lifts the fence of a replica, although orders may rely on it: only if
  /// `Safety::KeepFencesOnAbandon` says so.
  struct Resume {
    ServerId server;
  };
  /// Records at the store that a server will be ordered.
  struct Record {
    ServerId server;
    std::uint64_t token = 0;
    Position end;  ///< of the most advanced log of the fenced replicas
  };
  /// Orders the platform to promote a server under a fencing token.
  struct Order {
    ServerId server;
    std::uint64_t token = 0;
  };
  using Action = std::variant<Claim, KeepClaim, Inspect, Fence, Demote, Resume,
                              Record, Order>;
  using Actions = std::vector<Action>;

  enum class Phase {
    kIdle,
    kClaiming,
    kDemoting,  ///< awaits the end of the log of a primary that still answers
    kFencing,
    kRecording,  ///< awaits the store's answer to `Record`
    kOrdering,
    kAwaitingPrimary,
  };

  /// What a promotion that is needed waits for.
  enum class Wait {
    kNone,             ///< no promotion is needed
    kServerList,       ///< a complete list, and the member records
    kSilentServer,     ///< an answer of a server that may have commits
    kClaimTurn,        ///< instances that come before this one
    kClaim,            ///< the claim, or the end of another instance's
    kDemotion,         ///< the answer of the old primary
    kFences,           ///< fence reports of all replicas
    kLease,            ///< the end of leases on the old primary's leadership
    kJoiner,           ///< the listing of a server that joins
    kPosition,         ///< a log that has what silent servers may have
    kUnansweredOrder,  ///< the end of an order for another server
    kOrder,            ///< the platform's answer
    kTakeover,         ///< the new primary
  };

  /// The state of the service as known at the time of a step.
  struct Situation {
    TimePoint now;
    /// The primary does not answer, was removed, leaves commits unanswered, is
    /// draining, or is to be replaced by a switchover.
    bool primary_lost = false;
    bool server_list_complete = true;  ///< no live replica is missing
    ServerId primary;                  ///< empty when unknown
    Term primary_term = 0;             ///< in which it leads; 0 while unknown
    /// The primary still answers, but is draining or to be switched over.
    bool primary_leaving = false;
    ServerId last_primary;             ///< the last proven primary
    Term last_primary_term = 0;        ///< its log term at that time
    Term newest_term = 0;              ///< highest log term of a primary
    std::uint64_t fallback_token = 0;  ///< 0 if there is none
    Duration fallback_token_delay{0};  ///< after the loss of the primary
    Duration claim_delay{0};           ///< after the loss of the primary
    /// Replicas that an acknowledged commit may depend on; true if draining.
    std::map<ServerId, bool> replicas;
    bool replicas_reachable = true;  ///< no server that counts is silent
    /// Position that the log of the server to promote must have reached, as
    /// servers that are left out may have commits up to it.
    std::optional<Position> required;
    /// The last primary, if its log is needed, as that of a replica may lack
    /// what it acknowledged; otherwise empty.
    ServerId needed_log;
    /// The order that the member record names, the token under which it was
    /// given, and when this instance learned of it; empty if there is none.
    ServerId recorded_order;
    std::uint64_t recorded_token = 0;
    TimePoint recorded_since;
    std::optional<Position> recorded_end;  ///< as in `MemberRecord::order_end`
    /// A server started to drain so recently that the one which replaces it may
    /// not be listed yet.
    bool joiner_expected = false;
  };

  explicit Failover(FailoverOptions options = {}) : options_(options) {}

  /// Takes the steps that are due at `situation.now`.
  [[nodiscard]] Actions Step(const Situation& situation);

  /// Handles the store's answer to a `Claim`.
  [[nodiscard]] Actions OnClaim(const Situation& situation,
                                const ClaimAnswered& answer);

  /// Handles a replica's answer to an `Inspect` that was sent at `sent`.
  [[nodiscard]] Actions OnInspected(const Situation& situation,
                                    const ServerId& server, TimePoint sent,
                                    const ServerStatus& status);

  /// Handles a replica's answer to a `Fence` that was sent at `sent`.
  [[nodiscard]] Actions OnFenced(const Situation& situation,
                                 const ServerId& server, TimePoint sent,
                                 const ServerStatus& status);

  /// Handles the old primary's answer to `Demote`.
  [[nodiscard]] Actions OnDemoted(const Situation& situation,
                                  const ServerId& server,
                                  const ServerStatus& status);

  /// Handles the store's answer to a `Record`.
  [[nodiscard]] Actions OnRecorded(const Situation& situation, bool recorded);

  /// Whether the order recorded under `token` is of this instance, and no order
  /// can be executed any more.
  [[nodiscard]] bool OwnOrderEnded(std::uint64_t token, TimePoint now) const;

  /// Whether the platform accepted the order recorded under `token`, which is
  /// of this instance, so that it refuses orders under lower tokens since.
  [[nodiscard]] bool OwnOrderAccepted(std::uint64_t token) const {
    return token != 0 && token == accepted_token_;
  }

  /// Whether the order recorded under `token` is of another instance.
  [[nodiscard]] bool OrderedByAnother(std::uint64_t token) const {
    return token != recorded_token_;
  }

  /// Returns the server under an unanswered order of this instance that may
  /// still be executed; empty if there is none. An order that was repeated may
  /// be executed more than once, also after its server has led and was demoted.
  [[nodiscard]] ServerId UnansweredServer(TimePoint now) const;

  /// Returns the server under an order of this instance that is being given or
  /// may still be executed; empty if there is none.
  [[nodiscard]] ServerId OrderedServer(TimePoint now) const;

  /// Returns the server under an order of another instance that may still be
  /// executed; empty if none is known.
  [[nodiscard]] ServerId ForeignServer(TimePoint now) const;

  /// Handles the platform's answer to an `Order`.
  [[nodiscard]] Actions OnOrdered(const Situation& situation,
                                  PromotionResult result);

  /// Notes that a server is not fenced any more.
  void OnUnfenced(const ServerId& server);

  /// Returns the servers whose fences this instance requested and didn't see
  /// end.
  [[nodiscard]] const std::set<ServerId>& fences_left() const noexcept {
    return fence_requested_;
  }

  /// Ends a promotion of `server`, which proved to be the primary.
  void OnPrimaryConfirmed(const ServerId& server);

  /// Whether this or another instance is promoting a server.
  [[nodiscard]] bool PromotionInProgress(TimePoint now) const {
    return phase_ != Phase::kIdle || now < competing_claim_until_;
  }

  [[nodiscard]] Phase phase() const noexcept { return phase_; }

  /// Returns what the promotion waits for after the last step.
  [[nodiscard]] Wait WaitsFor(const Situation& situation) const;
  [[nodiscard]] const ServerId& candidate() const noexcept {
    return candidate_;
  }

  /// Log position of a fenced replica. An answer may be read long after it
  /// arrived, so that it is dated by its request.
  struct FenceReport {
    Position received;
    TimePoint requested_at;
  };

  /// Returns what the next order is based on.
  [[nodiscard]] const std::map<ServerId, FenceReport>& fence_reports()
      const noexcept {
    return fence_reports_;
  }
  [[nodiscard]] Term fence_term() const noexcept { return fence_term_; }
  [[nodiscard]] bool using_fallback_token() const noexcept {
    return using_fallback_token_;
  }
  [[nodiscard]] TimePoint claimed_at() const noexcept { return claimed_at_; }

 private:
  Actions Advance(const Situation& situation);
  [[nodiscard]] Wait WaitsBeforeClaim(const Situation& situation) const;
  [[nodiscard]] Wait WaitsBeforeOrder(const Situation& situation) const;
  [[nodiscard]] bool ReplicasReachableLongEnough(TimePoint now) const;
  void MarkOrderUnanswered();
  Actions OnOrderRefused(const Situation& situation);
  Actions StartDemoting(const Situation& situation);
  Actions StartFencing(const Situation& situation);
  [[nodiscard]] ServerId ChooseCandidate(const Situation& situation) const;
  [[nodiscard]] bool ReachesRequired(const Situation& situation,
                                     const ServerId& candidate) const;
  Actions FenceRemaining(const Situation& situation);
  [[nodiscard]] bool CanSkip(const Situation& situation,
                             const ServerId& replica) const;
  [[nodiscard]] bool LacksNeededLog(const Situation& situation) const;
  [[nodiscard]] ServerId MostAdvanced(const Situation& situation) const;
  [[nodiscard]] bool MustInspect(const ServerId& replica) const;
  [[nodiscard]] bool DiscardStaleReports(const Situation& situation);
  [[nodiscard]] bool AllFenced(const Situation& situation) const;
  [[nodiscard]] bool AwaitsLease(const Situation& situation);
  [[nodiscard]] bool ClaimValid(TimePoint now) const;
  [[nodiscard]] bool OrderMayBeExecuted(TimePoint now) const;
  [[nodiscard]] static bool FoundPrimaryOfUnknownTerm(
      const Situation& situation);
  [[nodiscard]] bool AnotherPromoted(const Situation& situation) const;
  Actions TryOrder(const Situation& situation);
  Actions IssueOrder(const Situation& situation);
  [[nodiscard]] ServerId PendingOrder(const Situation& situation) const;
  void NoteForeignOrder(const Situation& situation);
  [[nodiscard]] ServerId HasGrownBeyond(const Situation& situation,
                                        const ServerId& server) const;
  [[nodiscard]] std::optional<Position> EndAtOrder(const ServerId& ordered,
                                                   const ServerId& replica,
                                                   TimePoint now) const;
  [[nodiscard]] Position MostAdvancedEnd(const Situation& situation) const;
  Actions DemoteOldPrimary(const Situation& situation);
  Actions AbandonClaim(const Situation& situation);
  void EnterPhase(Phase phase, TimePoint now);

  FailoverOptions options_;
  Phase phase_ = Phase::kIdle;
  TimePoint phase_entered_at_;
  TimePoint next_claim_at_;
  TimePoint next_retry_at_;
  TimePoint competing_claim_until_;
  std::uint64_t token_ = 0;
  TimePoint claimed_at_;  ///< when the claim of `token_` was requested
  Term fence_term_ = 0;
  std::optional<TimePoint> replicas_reachable_since_;
  std::optional<TimePoint> primary_lost_since_;
  std::set<ServerId> fence_requested_;  ///< until promoted or seen unfenced
  bool using_fallback_token_ = false;   ///< `token_` is not from a claim
  /// Replicas that an inspection found safe to fence: not fenced by another
  /// instance, or for longer than `max_order_delay`.
  std::set<ServerId> cleared_to_fence_;
  /// When a replica was first found fenced by another instance.
  std::optional<TimePoint> foreign_fence_since_;
  TimePoint next_demote_at_;
  TimePoint next_keep_at_;
  std::map<ServerId, FenceReport> fence_reports_;
  /// Since when all replicas have been fenced without interruption.
  std::optional<TimePoint> all_fenced_since_;
  TimePoint last_order_at_;
  Term order_fence_term_ = 0;  ///< `fence_term_` at the last order
  /// Ends of the fenced replicas' logs at the first order for its server.
  std::map<ServerId, Position> order_ends_;
  /// Server and token of the last order of this instance that was recorded.
  ServerId recorded_server_;
  std::uint64_t recorded_token_ = 0;
  TimePoint recorded_at_;
  /// Server of the last order that another instance recorded, and when this
  /// instance learned of it.
  ServerId foreign_server_;
  TimePoint foreign_order_since_;
  std::optional<Position> foreign_order_end_;
  /// The primary that was demoted before its replicas were fenced, and the end
  /// of its log, which no acknowledged commit exceeds.
  ServerId demoted_;
  Position demoted_end_;
  ServerId candidate_;
  /// Highest token of an unanswered order; a further claim must exceed it.
  std::uint64_t unanswered_order_token_ = 0;
  /// Highest token under which an order ever went unanswered; it is not used
  /// again as the fallback token.
  std::uint64_t spent_token_ = 0;
  std::uint64_t accepted_token_ = 0;  ///< of the last order that was accepted
  bool unanswered_order_ = false;     ///< an order may still be executed
  /// Server of the last unanswered order, and when it was given.
  ServerId unanswered_server_;
  TimePoint unanswered_order_at_;
};

}  // namespace corianderdock::session
