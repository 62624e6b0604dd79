/// Which tenants have connections to a server, under each policy, with the load
/// of one server of a deployment and without a network.
#include "corianderdock/session/connection_cache.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <iostream>
#include <random>

namespace corianderdock::test {

namespace {

using session::CachedConnection;
using session::CacheDecision;
using session::CachePolicy;
using session::CacheView;
using session::ConnectionCache;
using State = CachedConnection::State;
using Action = CacheDecision::Action;
using std::chrono::milliseconds;

constexpr int kTenants = 75;
constexpr double kZipf = 1.2;
constexpr int kSlots = 4;
constexpr int kRatePerS = 39;  ///< 936 operations/s at 24 servers
constexpr Duration kOpenTime = milliseconds(12);
constexpr Duration kRunTime = milliseconds(27);
constexpr Duration kDuration = std::chrono::seconds(120);
/// Time after which a statement that hasn't started ends.
constexpr Duration kTimeout = std::chrono::seconds(2);

struct Figures {
  int statements = 0;
  int opened = 0;
  int waited = 0;  ///< statements that waited for a connection
  int unserved = 0;
  double slot_share = 0;  ///< of the server's slot time, spent opening
  Duration longest_wait{0};
};

/// One server, its owner's cache, and statements that arrive at random.
class CacheWorld {
 public:
  CacheWorld(const CachePolicy& policy, int limit, bool scan)
      : policy_(policy), cache_(policy), scan_(scan) {
    view_.limit = limit;
    view_.slots = kSlots;
    for (int n = 0; n < kTenants; ++n) {
      weights_.push_back(std::pow(n + 1, -kZipf));
    }
  }

  Figures Run() {
    std::discrete_distribution<int> tenant(weights_.begin(), weights_.end());
    std::exponential_distribution<double> gap(kRatePerS);
    TimePoint next = now_;
    TimePoint scan_at = now_ + std::chrono::seconds(10);
    const TimePoint end = now_ + kDuration;
    for (; now_ < end; now_ += milliseconds(1)) {
      FinishDue();
      while (next <= now_) {
        Arrive("t" + std::to_string(tenant(random_)));
        next += std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(gap(random_)));
      }
      if (scan_ && now_ >= scan_at) {
        for (int n = 0; n < kTenants; ++n) Arrive("t" + std::to_string(n));
        scan_at += std::chrono::seconds(10);
      }
      Serve();
    }
    const double slot_ms =
        std::chrono::duration<double, std::milli>(kDuration).count() * kSlots;
    figures_.slot_share = figures_.opened * 12.0 / slot_ms;
    return figures_;
  }

 private:
  struct Waiting {
    TenantId tenant;
    TimePoint arrived;
    bool lacked = false;
  };

  void Arrive(const TenantId& tenant) {
    ++figures_.statements;
    queue_.push_back({tenant, now_});
  }

  void FinishDue() {
    for (auto& it : view_.connections) {
      if (it.state == State::kIdle || now_ < done_[it.id]) continue;
      --slots_used_;
      it.state = State::kIdle;
      it.last_used = now_;
    }
  }

  CachedConnection* IdleOf(const TenantId& tenant) {
    for (auto& it : view_.connections) {
      if (it.state == State::kIdle && it.tenant == tenant) return &it;
    }
    return nullptr;
  }

  void Expire() {
    while (!queue_.empty() && now_ - queue_.front().arrived >= kTimeout) {
      ++figures_.unserved;
      figures_.longest_wait = kTimeout;
      queue_.pop_front();
    }
  }

  void Serve() {
    Expire();
    for (std::size_t n = 0; n < queue_.size();) {
      CachedConnection* idle = IdleOf(queue_[n].tenant);
      if (idle == nullptr) queue_[n].lacked = true;
      if (idle == nullptr || slots_used_ >= kSlots) {
        ++n;
        continue;
      }
      idle->state = State::kBusy;
      idle->used = true;
      done_[idle->id] = now_ + kRunTime;
      ++slots_used_;
      if (queue_[n].lacked) ++figures_.waited;
      figures_.longest_wait =
          std::max(figures_.longest_wait, now_ - queue_[n].arrived);
      cache_.Count(queue_[n].tenant, now_);
      queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(n));
    }
    view_.waiting.clear();
    for (const auto& it : queue_) ++view_.waiting[it.tenant];
    if (policy_.ClosesIdle()) CloseIdle();
    for (const auto& [tenant, n] : view_.waiting) Open(tenant);
  }

  void CloseIdle() {
    std::erase_if(view_.connections, [this](const auto& it) {
      return it.state == State::kIdle && !view_.waiting.contains(it.tenant);
    });
  }

  void Open(const TenantId& tenant) {
    if (slots_used_ >= kSlots) return;
    const CacheDecision decision = cache_.Decide(view_, tenant, now_);
    if (decision.action == Action::kReplace) {
      std::erase_if(view_.connections,
                    [&](const auto& it) { return it.id == decision.closes; });
    } else if (decision.action != Action::kOpen) {
      return;
    }
    const ConnectionId id = next_id_++;
    view_.connections.push_back({id, tenant, State::kOpening, false, now_});
    REQUIRE(static_cast<int>(view_.connections.size()) <= view_.limit);
    done_[id] = now_ + kOpenTime;
    ++slots_used_;
    ++figures_.opened;
  }

  const CachePolicy& policy_;
  ConnectionCache cache_;
  bool scan_;
  CacheView view_;
  std::vector<double> weights_;
  std::deque<Waiting> queue_;
  std::map<ConnectionId, TimePoint> done_;
  std::mt19937_64 random_{7};
  TimePoint now_{std::chrono::seconds(100)};
  ConnectionId next_id_ = 1;
  int slots_used_ = 0;
  Figures figures_;
};

/// Connections of an owner: two fifths of what the server accepts.
int OwnerLimit(int max_connections) {
  return (max_connections - max_connections / 5) / 2;
}

Figures Report(const char* name, const CachePolicy& policy, int max_connections,
               bool scan) {
  const Figures it =
      CacheWorld(policy, OwnerLimit(max_connections), scan).Run();
  std::cout << name << " max=" << max_connections << " scan=" << scan
            << " opened/s="
            << it.opened / std::chrono::duration<double>(kDuration).count()
            << " waited=" << 100.0 * it.waited / it.statements
            << "% slot time=" << 100 * it.slot_share
            << "% unserved=" << it.unserved << " longest wait ms="
            << std::chrono::duration_cast<milliseconds>(it.longest_wait).count()
            << "\n";
  return it;
}

}  // namespace

TEST_CASE("rare tenants neither evict the large ones nor starve") {
  for (const int max_connections : {70, 46}) {
    for (const bool scan : {false, true}) {
      const auto lru =
          Report("least recently used", session::LeastRecentlyUsedPolicy(),
                 max_connections, scan);
      const auto aware =
          Report("frequency aware", session::FrequencyAwarePolicy(),
                 max_connections, scan);
      const auto fixed = Report("fixed", session::FixedConnectionPolicy(),
                                max_connections, scan);
      const auto none =
          Report("no cache", session::NoCachePolicy(), max_connections, scan);
      CHECK(aware.opened < lru.opened);
      CHECK(aware.waited < lru.waited);
      CHECK(aware.opened < none.opened / 2);
      CHECK(aware.unserved == 0);
      CHECK(fixed.unserved > kTenants);
    }
  }
}

TEST_CASE("two tenants that share the only connection take turns") {
  CacheView view;
  view.limit = 1;
  view.slots = 4;
  view.waiting = {{"large", 9}, {"rare", 1}};
  view.connections = {{1, "large", State::kIdle, false, {}}};
  const ConnectionCache cache;
  CHECK(cache.Decide(view, "rare", {}).action == Action::kWait);
  view.connections[0].used = true;
  CHECK(cache.Decide(view, "rare", {}).action == Action::kReplace);
  CHECK(cache.Decide(view, "large", {}).action == Action::kUse);
}

TEST_CASE("a tenant has at most as many connections as the server slots") {
  CacheView view;
  view.limit = 20;
  view.slots = 2;
  view.waiting = {{"large", 9}};
  const ConnectionCache cache;
  CHECK(cache.Decide(view, "large", {}).action == Action::kOpen);
  view.connections = {{1, "large", State::kBusy, true, {}},
                      {2, "large", State::kOpening, false, {}}};
  CHECK(cache.Decide(view, "large", {}).action == Action::kWait);
}

}  // namespace corianderdock::test
