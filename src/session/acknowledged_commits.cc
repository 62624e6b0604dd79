#include "corianderdock/session/acknowledged_commits.h"

#include <tuple>
#include <utility>

namespace corianderdock::session {

void AcknowledgedCommits::Add(const StatementId& id, Position reported,
                              const std::optional<Position>& before,
                              std::string evidence) {
  // Positions of another term say nothing about where this one began.
  if (!before || before->term != reported.term) return;
  const Position earliest{reported.term, before->index + 1};
  const bool newer =
      !newest_ || std::tie(earliest.term, earliest.index) >=
                      std::tie(newest_->earliest.term, newest_->earliest.index);
  if (newer) newest_ = Commit{id, earliest, reported, std::move(evidence)};
}

std::optional<AcknowledgedCommits::Commit> AcknowledgedCommits::TakeMissing(
    Position entry) {
  const bool missing = newest_ && entry.term > newest_->earliest.term &&
                       entry.index <= newest_->earliest.index;
  return missing ? std::exchange(newest_, std::nullopt) : std::nullopt;
}

std::optional<AcknowledgedCommits::Commit> AcknowledgedCommits::TakeMissing(
    Term term, Position end) {
  const bool missing = newest_ && term > newest_->earliest.term &&
                       (end.index < newest_->earliest.index ||
                        end.term < newest_->earliest.term);
  return missing ? std::exchange(newest_, std::nullopt) : std::nullopt;
}

}  // namespace corianderdock::session
