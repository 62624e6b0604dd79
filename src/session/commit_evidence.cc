#include "corianderdock/session/commit_evidence.h"

#include <algorithm>

namespace corianderdock::session {

namespace {

/// Age of a contact, before the commit was sent, up to which it counts.
constexpr Duration kContactMaxAge = std::chrono::milliseconds(20);
/// Time for a commit after which it may have waited for a server to join.
constexpr Duration kStallTime = std::chrono::milliseconds(100);
/// Time within which an answered commit must be seen at a known replica.
constexpr Duration kMaxUnprovenTime = std::chrono::milliseconds(1000);

/// Whether a log that ends at `end` contains the entry at `position`. Only one
/// server creates entries in a term.
bool Covers(Position end, Position position) {
  return end.term == position.term && end.index >= position.index;
}

}  // namespace

bool CommitEvidence::Suffices(const Commit& commit) const {
  return !NeedsContact(commit.sent) && !NeedsReceipt(commit);
}

bool CommitEvidence::NeedsReceipt(const Commit& commit) const {
  return stalled_ ||
         (unproven_ && commit.acknowledged - unproven_->at >= kMaxUnprovenTime);
}

bool CommitEvidence::NeedsContact(TimePoint now) const {
  return !last_contact_ || *last_contact_ < now - kContactMaxAge;
}

bool CommitEvidence::Stalls(TimePoint sent, TimePoint now) {
  return now - sent >= kStallTime;
}

void CommitEvidence::AddCommit(const Commit& commit, bool others_stalled) {
  if (others_stalled || Stalls(commit.sent, commit.acknowledged)) {
    stalled_ = commit.position;
  }
}

void CommitEvidence::AddAnswered(Position position, TimePoint now) {
  if (!unproven_) unproven_ = {position, now};
}

void CommitEvidence::AddContact(TimePoint sent) {
  last_contact_ = std::max(last_contact_.value_or(sent), sent);
}

void CommitEvidence::AddReceived(Position end) {
  if (stalled_ && Covers(end, *stalled_)) stalled_.reset();
  if (unproven_ && Covers(end, unproven_->position)) unproven_.reset();
}

}  // namespace corianderdock::session
