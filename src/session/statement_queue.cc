#include "corianderdock/session/statement_queue.h"

#include <algorithm>
#include <utility>

namespace corianderdock::session {

namespace {

/// Share of a new observation in the moving average of the pace.
constexpr double kPaceGain = 0.1;
/// A longer pause tells of a server that was away, not of its pace.
constexpr double kLongestPaceMs = 500;

/// Every so many starts the statement that is due first goes first, so that no
/// database starves.
constexpr int kOldestEvery = 8;

/// Order of starts: what is on time first.
struct Rank {
  bool late = false;
  double order = 0;
  bool operator<(const Rank& other) const {
    return std::pair(late, order) < std::pair(other.late, other.order);
  }
};

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

void StatementQueue::Push(WaitingStatement statement) {
  Lane& lane = lanes_[statement.database];
  const auto at = std::upper_bound(
      lane.items.begin(), lane.items.end(), statement.arrived,
      [](TimePoint t, const WaitingStatement& it) { return t < it.arrived; });
  lane.items.insert(at, std::move(statement));
  ++size_;
}

std::size_t StatementQueue::Candidate(const Lane& lane, TimePoint now) {
  const auto it = std::find_if(
      lane.items.begin(), lane.items.end(),
      [now](const WaitingStatement& item) { return item.due >= now; });
  if (it == lane.items.end()) return lane.items.size() - 1;
  return static_cast<std::size_t>(it - lane.items.begin());
}

std::optional<SessionId> StatementQueue::Pop(TimePoint now) {
  const bool oldest_first = ++starts_ % kOldestEvery == 0;
  Lane* best = nullptr;
  std::size_t best_at = 0;
  Rank best_rank;
  for (auto& [database, lane] : lanes_) {
    if (lane.items.empty()) continue;
    const std::size_t at = Candidate(lane, now);
    const WaitingStatement& item = lane.items[at];
    const double order =
        oldest_first ? ToMs(item.due - now) : ToMs(item.cost) / item.weight;
    const Rank rank{item.due < now, order};
    if (best != nullptr && !(rank < best_rank)) continue;
    best = &lane;
    best_at = at;
    best_rank = rank;
  }
  if (best == nullptr) return std::nullopt;
  const auto it = best->items.begin() + static_cast<std::ptrdiff_t>(best_at);
  const SessionId session = it->session;
  best->items.erase(it);
  --size_;
  NotePace(now);
  return session;
}

void StatementQueue::NotePace(TimePoint now) {
  if (busy_since_) {
    const double ms = std::min(ToMs(now - *busy_since_), kLongestPaceMs);
    pace_ms_ += kPaceGain * (ms - pace_ms_);
  }
  busy_since_ = size_ > 0 ? std::optional(now) : std::nullopt;
}

Duration StatementQueue::ExpectedWait(const DatabaseName& database,
                                      double weight) const {
  double all = weight;
  std::size_t before = 0;
  for (const auto& [name, lane] : lanes_) {
    if (name == database) before = lane.items.size();
    if (name != database && !lane.items.empty()) {
      all += lane.items.front().weight;
    }
  }
  const double turns = std::min(static_cast<double>(before) * all / weight,
                                static_cast<double>(size_));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(turns * pace_ms_));
}

bool StatementQueue::Remove(SessionId session) {
  for (auto& [database, lane] : lanes_) {
    const auto it = std::find_if(
        lane.items.begin(), lane.items.end(),
        [session](const auto& item) { return item.session == session; });
    if (it == lane.items.end()) continue;
    lane.items.erase(it);
    --size_;
    if (size_ == 0) busy_since_.reset();
    return true;
  }
  return false;
}

std::vector<SessionId> StatementQueue::Clear() {
  std::vector<SessionId> sessions;
  for (const auto& [database, lane] : lanes_) {
    for (const auto& it : lane.items) sessions.push_back(it.session);
  }
  lanes_.clear();
  size_ = 0;
  busy_since_.reset();
  return sessions;
}

}  // namespace corianderdock::session
