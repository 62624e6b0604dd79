#include "corianderdock/session/leadership_proof.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace corianderdock::session {

namespace {

/// Age up to which a reported fence counts; the replica may have been released
/// since.
constexpr Duration kFenceReportMaxAge = std::chrono::milliseconds(500);

/// Leader positions sampled more often add nothing, and only the newest matter.
constexpr Duration kLeaderPositionSpacing = std::chrono::milliseconds(5);
constexpr std::size_t kMaxLeaderPositions = 256;

bool Precedes(Position a, Position b) {
  return std::tie(a.term, a.index) < std::tie(b.term, b.index);
}

/// Whether a log that ends at `end` contains the entry at `position`. Only one
/// server creates entries in a term.
bool Covers(Position end, Position position) {
  return end.term == position.term && end.index >= position.index;
}

}  // namespace

void LeadershipProof::Add(const ServerId& replica, TimePoint sent,
                          TimePoint now, const ServerStatus& status,
                          Term leader_term) {
  const bool fenced = status.fence_term != 0;
  reports_[replica] = {now, fenced};
  received_[replica] = status.received;
  if (!AnyFenced()) fenced_since_.reset();
  if (fenced && !fenced_since_) fenced_since_ = now;
  const bool proves = !fenced && leader_term != 0 && status.term <= leader_term;
  if (proves) proven_at_ = std::max(proven_at_.value_or(sent), sent);
}

void LeadershipProof::Discard(const ServerId& replica) {
  reports_.erase(replica);
  received_.erase(replica);
  if (!AnyFenced()) fenced_since_.reset();
}

void LeadershipProof::Reset() {
  reports_.clear();
  received_.clear();
  leader_positions_.clear();
  proven_at_.reset();
  fenced_since_.reset();
}

bool LeadershipProof::AnyFenced() const {
  return std::any_of(reports_.begin(), reports_.end(),
                     [](const auto& it) { return it.second.fenced; });
}

bool LeadershipProof::HasReceived(Position position, TimePoint now) const {
  bool received = false;
  for (const auto& [id, end] : received_) {
    const bool covers = Covers(end, position);
    const auto report = reports_.find(id);
    const bool fenced = report != reports_.end() && report->second.fenced &&
                        now - report->second.reported_at < kFenceReportMaxAge;
    if (fenced && !covers) return false;
    received = received || covers;
  }
  return received;
}

bool LeadershipProof::HasReceivedAt(const ServerId& replica,
                                    Position position) const {
  const auto it = received_.find(replica);
  return it != received_.end() && Covers(it->second, position);
}

void LeadershipProof::AddLeaderPosition(TimePoint sent, Position position) {
  if (!leader_positions_.empty()) {
    const LeaderPosition& last = leader_positions_.back();
    if (sent < last.sent + kLeaderPositionSpacing) return;
    if (position == last.position) {
      // No entry was created in between, so the later time holds as well.
      leader_positions_.back().sent = sent;
      return;
    }
  }
  leader_positions_.push_back({sent, position});
  if (leader_positions_.size() > kMaxLeaderPositions) {
    leader_positions_.pop_front();
  }
}

void LeadershipProof::AddReplicaPosition(const ServerId& replica,
                                         Position position, Term leader_term) {
  Position& received = received_[replica];
  if (Precedes(received, position)) received = position;
  if (leader_term == 0 || position.term != leader_term) return;
  // The replica received its last entry after every earlier leader position.
  const auto after =
      std::partition_point(leader_positions_.begin(), leader_positions_.end(),
                           [&](const LeaderPosition& it) {
                             return Precedes(it.position, position);
                           });
  if (after == leader_positions_.begin()) return;
  const TimePoint sent = std::prev(after)->sent;
  proven_at_ = std::max(proven_at_.value_or(sent), sent);
}

bool LeadershipProof::FenceReported(TimePoint now) const {
  return std::any_of(reports_.begin(), reports_.end(), [now](const auto& it) {
    return it.second.fenced && now - it.second.reported_at < kFenceReportMaxAge;
  });
}

}  // namespace corianderdock::session
