/// \file
/// Proof, from the replicas of a service, that its primary was not replaced.
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "corianderdock/session/model.h"
#include "corianderdock/session/statement.h"
#include "corianderdock/types.h"

namespace corianderdock::session {

/// What the replicas of one service reported about promotions.
///
/// A primary goes on accepting work after another server was promoted, so its
/// own answers prove nothing. A promotion requires that every replica is fenced
/// first. A replica that reports no fence and no newer term, in answer to a
/// query sent at time t, thus proves that no promotion took effect before t. A
/// replica that has received a commit keeps it in every later promotion, as the
/// most advanced of the fenced replicas is promoted.
///
/// The same is shown without a query by log positions: a replica whose log has
/// an entry that the primary created after time t was not fenced at t.
///
/// Only replicas that no claimant may leave out count; the caller selects them.
/// Not thread-safe; times must not decrease.
class LeadershipProof {
 public:
  /// Adds the answer of a replica to a query sent at `sent`. `leader_term` is
  /// the term in which the primary leads, or 0 while unknown.
  void Add(const ServerId& replica, TimePoint sent, TimePoint now,
           const ServerStatus& status, Term leader_term);

  /// Notes the log position in the primary's answer to a command sent at
  /// `sent`.
  void AddLeaderPosition(TimePoint sent, Position position);

  /// Notes the log position that a replica reported. `leader_term` is as above.
  void AddReplicaPosition(const ServerId& replica, Position position,
                          Term leader_term);

  /// Discards what a server reported, as it is no longer a replica that counts.
  void Discard(const ServerId& replica);

  /// Discards all reports, as the primary changed.
  void Reset();

  /// Whether no promotion had taken effect before `since`.
  [[nodiscard]] bool ProvenSince(TimePoint since) const {
    return proven_at_ && *proven_at_ >= since;
  }

  /// Latest time before which no promotion took effect, if any is known.
  [[nodiscard]] std::optional<TimePoint> proven_at() const {
    return proven_at_;
  }

  /// Whether a replica has received the commit at `position`, and no replica
  /// that may lack it is known to be fenced.
  [[nodiscard]] bool HasReceived(Position position, TimePoint now) const;

  /// Whether the log of `replica` is known to have the commit at `position`.
  [[nodiscard]] bool HasReceivedAt(const ServerId& replica,
                                   Position position) const;

  /// Whether a replica recently reported a fence, so that a promotion may be
  /// under way.
  [[nodiscard]] bool FenceReported(TimePoint now) const;

  /// Since when replicas have reported fences without interruption, if any
  /// still does.
  [[nodiscard]] std::optional<TimePoint> fenced_since() const {
    return fenced_since_;
  }

 private:
  struct Report {
    TimePoint reported_at;
    bool fenced = false;
  };

  [[nodiscard]] bool AnyFenced() const;

  struct LeaderPosition {
    TimePoint sent;
    Position position;
  };

  std::map<ServerId, Report> reports_;
  std::map<ServerId, Position> received_;        ///< highest known, by replica
  std::deque<LeaderPosition> leader_positions_;  ///< ascending
  std::optional<TimePoint> proven_at_;
  std::optional<TimePoint> fenced_since_;
};

}  // namespace corianderdock::session
