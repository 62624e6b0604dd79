/// \file
/// Detects that the log of a primary lacks an acknowledged commit.
#pragma once

#include <optional>
#include <string>

#include "corianderdock/session/statement.h"
#include "corianderdock/types.h"

namespace corianderdock::session {

/// The newest commit of a service that this instance acknowledged to a client.
///
/// Positions in replies are those of a log, which may have later entries than
/// the commit. The commit is therefore known by two bounds: it is no earlier
/// than the entry after a position that was reported before it was sent, and no
/// later than the position reported with its acknowledgement. A loss is
/// reported only if it is certain from the earlier bound.
///
/// Not thread-safe.
class AcknowledgedCommits {
 public:
  struct Commit {
    StatementId id;
    Position earliest;
    Position latest;
    std::string evidence = {};  ///< on which the client was answered
  };

  /// Adds a commit that was acknowledged with `reported`. `before` is a
  /// position of the same server that was known when the commit was sent.
  /// `evidence` is for log lines only.
  void Add(const StatementId& id, Position reported,
           const std::optional<Position>& before, std::string evidence = {});

  /// Returns the newest commit if no log with an entry at `entry` has it: a
  /// primary of a later term created that entry in the place of the commit or
  /// of an earlier one. Reports each commit once.
  [[nodiscard]] std::optional<Commit> TakeMissing(Position entry);

  /// The same for the log of a primary that leads in `term` and ends at `end`.
  [[nodiscard]] std::optional<Commit> TakeMissing(Term term, Position end);

  /// Latest position of the newest commit.
  [[nodiscard]] std::optional<Position> position() const {
    return newest_ ? std::optional(newest_->latest) : std::nullopt;
  }

 private:
  std::optional<Commit> newest_;
};

}  // namespace corianderdock::session
