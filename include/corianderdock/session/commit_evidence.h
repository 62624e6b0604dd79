/// \file
/// Evidence that acknowledged commits reach the known replicas of a service.
#pragma once

#include <optional>

#include "corianderdock/types.h"

namespace corianderdock::session {

/// Whether commits that the primary acknowledges are on a known replica.
///
/// The primary acknowledges a commit once any server has received it. That may
/// be one that has just joined and that no other instance knows of, so a
/// promotion may leave it out. An acknowledgement therefore counts at once only
/// while a known replica answers, commits don't stall, and those answered
/// before are seen at a known replica within a bounded time. Otherwise the
/// commit itself must be seen there.
///
/// Not thread-safe; times must not decrease.
class CommitEvidence {
 public:
  /// A commit that the primary acknowledged.
  struct Commit {
    Position position;
    TimePoint sent;
    TimePoint acknowledged;
  };

  /// Whether the client may be answered before a known replica is seen to have
  /// the commit.
  [[nodiscard]] bool Suffices(const Commit& commit) const;

  /// Whether the commit must be seen at a known replica, even if one answers.
  [[nodiscard]] bool NeedsReceipt(const Commit& commit) const;

  /// Whether a known replica must be contacted for a commit sent at `now`.
  [[nodiscard]] bool NeedsContact(TimePoint now) const;

  /// Whether a commit that was sent at `sent` and is not acknowledged at `now`
  /// has stalled.
  [[nodiscard]] static bool Stalls(TimePoint sent, TimePoint now);

  /// Adds an acknowledged commit. If it stalled, or others did until then, it
  /// and those after it are in doubt.
  void AddCommit(const Commit& commit, bool others_stalled);

  /// Notes that the client of a commit was answered at `now` without proof.
  void AddAnswered(Position position, TimePoint now);

  /// Notes that a known replica answered a command sent at `sent`.
  void AddContact(TimePoint sent);

  /// Notes that the log of a known replica ends at `end`, or later.
  void AddReceived(Position end);

  /// Discards all evidence, as the primary changed.
  void Reset() { *this = {}; }

 private:
  struct Answered {
    Position position;
    TimePoint at;
  };

  std::optional<TimePoint> last_contact_;
  /// Newest commit that stalled and is not known to be at a known replica.
  std::optional<Position> stalled_;
  /// Oldest commit that was answered and is not known to be there.
  std::optional<Answered> unproven_;
};

}  // namespace corianderdock::session
