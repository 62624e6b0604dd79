#include "corianderdock/session/connection_cache.h"

#include <algorithm>
#include <cmath>

namespace corianderdock::session {

namespace {

/// Time after which a statement counts half. Demand of a tenant changes within
/// minutes, and a rare one sends several statements in this time.
constexpr double kHalfLifeSeconds = 30;
/// Tenants that are remembered; the rarest are dropped first.
constexpr std::size_t kMaxEntries = 20'000;
/// Time for which a statement occupies its connection, for the estimate how
/// many of a tenant run at once: the longest usual run time of a statement.
constexpr double kHoldSeconds = 0.03;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double Decay(Duration age) {
  return std::exp2(-Seconds(age) / kHalfLifeSeconds);
}

/// Probability that at least `n` statements of a tenant run at once.
double ChanceOf(int n, double rate) {
  const double mean = rate * kHoldSeconds;
  double term = std::exp(-mean);
  double below = 0;
  for (int k = 0; k < n; ++k) {
    below += term;
    term *= mean / (k + 1);
  }
  return std::max(0.0, 1 - below);
}

/// Returns the idle connections that may be closed for `tenant`: those whose
/// tenants have no waiting statement, or else those that have run one, so that
/// two tenants that share the last connection take turns.
std::vector<const CachedConnection*> CandidatesFor(const CacheView& view,
                                                   const TenantId& tenant) {
  std::vector<const CachedConnection*> unneeded;
  std::vector<const CachedConnection*> used;
  for (const CachedConnection& it : view.connections) {
    if (it.state != CachedConnection::State::kIdle) continue;
    if (it.tenant == tenant) continue;
    if (!view.waiting.contains(it.tenant)) {
      unneeded.push_back(&it);
    } else if (it.used) {
      used.push_back(&it);
    }
  }
  return unneeded.empty() ? used : unneeded;
}

class LeastRecentlyUsed : public CachePolicy {
 public:
  [[nodiscard]] std::optional<ConnectionId> Victim(
      const CacheView& /*view*/,
      const std::vector<const CachedConnection*>& candidates,
      const TenantFrequency& /*frequency*/, TimePoint /*now*/) const override {
    const auto oldest = std::min_element(candidates.begin(), candidates.end(),
                                         [](const auto* a, const auto* b) {
                                           return a->last_used < b->last_used;
                                         });
    return (*oldest)->id;
  }
};

class FrequencyAware : public CachePolicy {
 public:
  [[nodiscard]] std::optional<ConnectionId> Victim(
      const CacheView& view,
      const std::vector<const CachedConnection*>& candidates,
      const TenantFrequency& frequency, TimePoint now) const override {
    std::map<TenantId, int> held;
    for (const CachedConnection& it : view.connections) ++held[it.tenant];
    std::map<TenantId, double> worth;
    for (const auto& [id, n] : held) {
      const double rate = frequency.RateOf(id, now);
      worth[id] = rate * ChanceOf(n, rate);
    }
    const auto rank = [&worth](const CachedConnection* it) {
      return std::pair(worth.at(it->tenant), it->last_used);
    };
    const auto least = std::min_element(
        candidates.begin(), candidates.end(),
        [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
    return (*least)->id;
  }
};

class FixedConnection : public CachePolicy {
 public:
  [[nodiscard]] std::optional<ConnectionId> Victim(
      const CacheView& /*view*/,
      const std::vector<const CachedConnection*>& /*candidates*/,
      const TenantFrequency& /*frequency*/, TimePoint /*now*/) const override {
    return std::nullopt;
  }
  [[nodiscard]] int MaxPerTenant(const CacheView& /*view*/) const override {
    return 1;
  }
};

class NoCache : public LeastRecentlyUsed {
 public:
  [[nodiscard]] bool ClosesIdle() const override { return true; }
};

}  // namespace

void TenantFrequency::Count(const TenantId& tenant, TimePoint now) {
  Entry& entry = entries_[tenant];
  entry.count = entry.count * Decay(now - entry.at) + 1;
  entry.at = now;
  if (entries_.size() > kMaxEntries) DropRare(now);
}

double TenantFrequency::RateOf(const TenantId& tenant, TimePoint now) const {
  const auto it = entries_.find(tenant);
  if (it == entries_.end()) return 0;
  // A steady rate has a count of rate * half-life / ln 2.
  return it->second.count * Decay(now - it->second.at) * std::log(2.0) /
         kHalfLifeSeconds;
}

/// Drops the rarer half.
void TenantFrequency::DropRare(TimePoint now) {
  std::vector<std::pair<double, TenantId>> order;
  for (const auto& [id, entry] : entries_) {
    order.emplace_back(entry.count * Decay(now - entry.at), id);
  }
  const auto half =
      order.begin() + static_cast<std::ptrdiff_t>(order.size() / 2);
  std::nth_element(order.begin(), half, order.end());
  for (auto it = order.begin(); it != half; ++it) entries_.erase(it->second);
}

const CachePolicy& LeastRecentlyUsedPolicy() {
  static const LeastRecentlyUsed kPolicy;
  return kPolicy;
}

const CachePolicy& FrequencyAwarePolicy() {
  static const FrequencyAware kPolicy;
  return kPolicy;
}

const CachePolicy& FixedConnectionPolicy() {
  static const FixedConnection kPolicy;
  return kPolicy;
}

const CachePolicy& NoCachePolicy() {
  static const NoCache kPolicy;
  return kPolicy;
}

CacheDecision ConnectionCache::Decide(const CacheView& view,
                                      const TenantId& tenant,
                                      TimePoint now) const {
  using Action = CacheDecision::Action;
  using State = CachedConnection::State;
  int held = 0;
  std::size_t opening = 0;
  for (const CachedConnection& it : view.connections) {
    if (it.tenant != tenant) continue;
    if (it.state == State::kIdle) return {Action::kUse, 0};
    if (it.state == State::kOpening) ++opening;
    ++held;
  }
  const auto waiting = view.waiting.find(tenant);
  const std::size_t wanted =
      waiting == view.waiting.end() ? 0 : waiting->second;
  if (opening >= wanted || held >= policy_->MaxPerTenant(view)) return {};
  if (static_cast<int>(view.connections.size()) < view.limit) {
    return {Action::kOpen, 0};
  }
  const auto candidates = CandidatesFor(view, tenant);
  if (candidates.empty()) return {};
  const auto victim = policy_->Victim(view, candidates, frequency_, now);
  if (!victim) return {};
  return {Action::kReplace, *victim};
}

}  // namespace corianderdock::session
