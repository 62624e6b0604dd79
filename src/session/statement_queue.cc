#include "corianderdock/session/statement_queue.h"

#include <algorithm>
#include <utility>

namespace corianderdock::session {

namespace {

/// Weight of a new observation in the moving average of the start interval.
constexpr double kStartIntervalGain = 0.1;
/// Longer intervals are capped: they come from an unavailable server, not from
/// its throughput.
constexpr double kMaxStartIntervalMs = 500;

/// One in this many starts takes the statement with the earliest due time, so
/// that no database starves.
constexpr int kEarliestDueEvery = 8;

/// Order of starts: statements that are on time before late ones.
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
  DatabaseQueue& queue = queues_[statement.database];
  const auto at = std::upper_bound(
      queue.items.begin(), queue.items.end(), statement.arrived,
      [](TimePoint t, const WaitingStatement& it) { return t < it.arrived; });
  ++tenants_[statement.tenant];
  queue.items.insert(at, std::move(statement));
  ++size_;
}

std::optional<std::size_t> StatementQueue::NextIndex(
    const DatabaseQueue& queue, TimePoint now, const Startable& startable) {
  std::optional<std::size_t> newest;
  for (std::size_t n = 0; n < queue.items.size(); ++n) {
    const WaitingStatement& item = queue.items[n];
    if (startable && !startable(item.tenant)) continue;
    if (item.due >= now) return n;
    newest = n;
  }
  return newest;
}

void StatementQueue::Forget(const TenantId& tenant) {
  --size_;
  const auto it = tenants_.find(tenant);
  if (--it->second == 0) tenants_.erase(it);
}

std::optional<SessionId> StatementQueue::Pop(TimePoint now,
                                             const Startable& startable) {
  const bool earliest_due_first = ++start_count_ % kEarliestDueEvery == 0;
  DatabaseQueue* best = nullptr;
  std::size_t best_at = 0;
  Rank best_rank;
  for (auto& [database, queue] : queues_) {
    if (queue.items.empty()) continue;
    const auto at = NextIndex(queue, now, startable);
    if (!at) continue;
    const WaitingStatement& item = queue.items[*at];
    const double order = earliest_due_first ? ToMs(item.due - now)
                                            : ToMs(item.cost) / item.weight;
    const Rank rank{item.due < now, order};
    if (best != nullptr && !(rank < best_rank)) continue;
    best = &queue;
    best_at = *at;
    best_rank = rank;
  }
  if (best == nullptr) return std::nullopt;
  const auto it = best->items.begin() + static_cast<std::ptrdiff_t>(best_at);
  const SessionId session = it->session;
  Forget(it->tenant);
  best->items.erase(it);
  UpdateStartInterval(now);
  return session;
}

void StatementQueue::UpdateStartInterval(TimePoint now) {
  if (last_contended_start_) {
    const double ms =
        std::min(ToMs(now - *last_contended_start_), kMaxStartIntervalMs);
    start_interval_ms_ += kStartIntervalGain * (ms - start_interval_ms_);
  }
  last_contended_start_ = size_ > 0 ? std::optional(now) : std::nullopt;
}

Duration StatementQueue::ExpectedWait(const DatabaseName& database,
                                      double weight) const {
  double total_weight = weight;
  std::size_t queued_ahead = 0;
  for (const auto& [name, queue] : queues_) {
    if (name == database) queued_ahead = queue.items.size();
    if (name != database && !queue.items.empty()) {
      total_weight += queue.items.front().weight;
    }
  }
  const double starts_ahead =
      std::min(static_cast<double>(queued_ahead) * total_weight / weight,
               static_cast<double>(size_));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(starts_ahead *
                                                start_interval_ms_));
}

bool StatementQueue::Remove(SessionId session) {
  for (auto& [database, queue] : queues_) {
    const auto it = std::find_if(
        queue.items.begin(), queue.items.end(),
        [session](const auto& item) { return item.session == session; });
    if (it == queue.items.end()) continue;
    Forget(it->tenant);
    queue.items.erase(it);
    if (size_ == 0) last_contended_start_.reset();
    return true;
  }
  return false;
}

std::vector<SessionId> StatementQueue::Clear() {
  std::vector<SessionId> sessions;
  for (const auto& [database, queue] : queues_) {
    for (const auto& it : queue.items) sessions.push_back(it.session);
  }
  queues_.clear();
  tenants_.clear();
  size_ = 0;
  last_contended_start_.reset();
  return sessions;
}

}  // namespace corianderdock::session
