/// \file
/// Promotion of a new primary for one service.
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

/// Times of a failover.
struct FailoverOptions {
  const Safety* safety = &DefaultSafety();  ///< outlives the failover
  /// Silence of a primary with unanswered work before it is replaced.
  Duration primary_silence_limit = std::chrono::milliseconds(400);
  /// Time for which all replicas must have answered before a claim.
  Duration min_reachable_time = std::chrono::milliseconds(500);
  /// Pause after a claim that came to nothing.
  Duration claim_retry_delay = std::chrono::milliseconds(1000);
  /// Longest wait for an answer of the store.
  Duration claim_timeout = std::chrono::milliseconds(600);
  /// Longest wait for the replicas to stop receiving.
  Duration fence_timeout = std::chrono::milliseconds(2500);
  /// How long the claim of another instance counts as under way.
  Duration competing_claim_duration = std::chrono::milliseconds(1500);
  /// Age at which a replica's answer says no more that it is held: it may have
  /// restarted since.
  Duration fence_report_max_age = std::chrono::milliseconds(500);
  /// Time in which an order of another instance may still be carried out: the
  /// longest delay that the platform states for a call without an answer.
  Duration max_order_delay = std::chrono::milliseconds(12'000);
  /// Pause between repeated commands to a replica.
  Duration fence_retry_interval = std::chrono::milliseconds(300);
  /// Health of the primary after which an abandoned claim's holds end; longer
  /// than a promotion ordered meanwhile takes.
  Duration release_delay = std::chrono::milliseconds(4000);
  /// Pause between repeated promotion orders.
  Duration order_retry_interval = std::chrono::milliseconds(600);
  /// Longest time until the promoted server leads.
  Duration takeover_timeout = std::chrono::milliseconds(3500);
};

/// Orders the promotion of the replica that holds every acknowledged commit.
///
/// All replicas are held first: then nothing more is acknowledged, and an
/// acknowledged commit is on at least one of them, so the most advanced holds
/// them all. A promotion whose answer is missing is only repeated for the same
/// server under the same token.
///
/// The token comes from the store, where one claim at a time succeeds. While
/// the store is away, the instance's standing token serves, one instance after
/// the other: the platform refuses it if a higher one was used before. Replicas
/// that another instance holds are left to it then, as an order of its may be
/// under way under a higher token. Not thread-safe; times must not decrease.
class Failover {
 public:
  /// Asks for a fencing token.
  struct Claim {};
  /// Asks a replica whether it is held.
  struct Inspect {
    ServerId server;
  };
  /// Asks a replica to stop receiving below `term`.
  struct Fence {
    ServerId server;
    Term term = 0;
  };
  /// Asks a primary of a lower term to acknowledge nothing more.
  struct Demote {
    ServerId server;
    Term term = 0;
  };
  /// Lets a replica receive again.
  struct Resume {
    ServerId server;
  };
  /// Orders a promotion.
  struct Order {
    ServerId server;
    std::uint64_t token = 0;
  };
  using Action = std::variant<Claim, Inspect, Fence, Demote, Resume, Order>;
  using Actions = std::vector<Action>;

  enum class Phase { kIdle, kClaiming, kFencing, kOrdering, kAwaitingPrimary };

  /// What is known of the service when a step is taken.
  struct Situation {
    TimePoint now;
    bool primary_lost = false;         ///< silent, gone or leaving
    bool server_list_complete = true;  ///< every replica that lives is listed
    ServerId primary;                  ///< empty when not known
    bool primary_leaving = false;      ///< in order, and it answers
    ServerId last_primary;             ///< the last one that proved to lead
    Term last_primary_term = 0;        ///< of its log when it did
    Term newest_term = 0;
    std::uint64_t fallback_token = 0;   ///< 0 when there is none
    Duration fallback_token_delay{0};   ///< when this instance may use it
    std::map<ServerId, bool> replicas;  ///< whether each is leaving
    bool reachable = true;              ///< all replicas answer
  };

  explicit Failover(FailoverOptions options = {}) : options_(options) {}

  /// Advances by time.
  [[nodiscard]] Actions Step(const Situation& situation);

  /// The store answered a claim.
  [[nodiscard]] Actions OnClaim(const Situation& situation,
                                const ClaimAnswered& answer);

  /// A replica answered `Inspect`.
  [[nodiscard]] Actions OnInspected(const Situation& situation,
                                    const ServerId& server,
                                    const ServerStatus& status);

  /// A replica answered `Hold`.
  [[nodiscard]] Actions OnFenced(const Situation& situation,
                                 const ServerId& server,
                                 const ServerStatus& status);

  /// The platform answered an order.
  [[nodiscard]] Actions OnOrdered(const Situation& situation,
                                  PromotionResult result);

  /// `server` proved to lead.
  void OnPrimaryConfirmed(const ServerId& server);

  /// Whether a promotion, by this instance or another, is under way.
  [[nodiscard]] bool PromotionInProgress(TimePoint now) const {
    return phase_ != Phase::kIdle || now < competing_claim_until_;
  }

  [[nodiscard]] Phase phase() const noexcept { return phase_; }
  [[nodiscard]] const ServerId& candidate() const noexcept {
    return candidate_;
  }

 private:
  /// What a held replica had received, and when it said so.
  struct FenceReport {
    Position received;
    TimePoint at;
  };

  [[nodiscard]] bool ReplicasReachableLongEnough(TimePoint now) const;
  void MarkOrderUnanswered();
  Actions OnRefused(const Situation& situation);
  Actions StartFencing(const Situation& situation);
  Actions FenceRemaining(const Situation& situation);
  [[nodiscard]] bool CanSkip(const Situation& situation,
                             const ServerId& replica) const;
  [[nodiscard]] ServerId MostAdvanced(const Situation& situation);
  [[nodiscard]] bool MustInspect(const ServerId& replica) const;
  [[nodiscard]] bool DiscardStaleReports(const Situation& situation);
  Actions TryOrder(const Situation& situation);
  Actions IssueOrder(const Situation& situation);
  Actions DemoteOldPrimary(const Situation& situation);
  Actions ReleaseFences(const Situation& situation);
  Actions OnReleaseClaim(const Situation& situation,
                         const ClaimAnswered& answer);
  Actions Abandon(const Situation& situation);
  void Enter(Phase phase, TimePoint now);

  FailoverOptions options_;
  Phase phase_ = Phase::kIdle;
  TimePoint phase_entered_at_;
  TimePoint next_claim_at_;
  TimePoint next_retry_at_;
  TimePoint competing_claim_until_;
  std::uint64_t token_ = 0;
  Term fence_term_ = 0;
  std::optional<TimePoint> replicas_reachable_since_;
  std::optional<TimePoint> primary_healthy_since_;
  std::optional<TimePoint> primary_lost_since_;
  bool claim_releases_fences_ =
      false;  ///< the claim serves to release replicas
  std::set<ServerId> fence_requested_;  ///< to stop receiving
  bool using_fallback_token_ =
      false;  ///< the token is the instance's standing one
  std::set<ServerId> cleared_to_fence_;  ///< found not held by another instance
  std::optional<TimePoint> foreign_fence_since_;  ///< a replica was found held
  TimePoint next_demote_at_;
  std::map<ServerId, FenceReport> fence_reports_;
  ServerId candidate_;
  std::uint64_t unanswered_order_token_ =
      0;  ///< highest token of an unanswered order
  std::uint64_t spent_token_ =
      0;  ///< highest token that ever had such an order
  bool unanswered_order_ = false;  ///< it may be carried out yet
};

}  // namespace corianderdock::session
