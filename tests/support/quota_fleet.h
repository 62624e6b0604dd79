/// \file
/// A fleet of quota modules with their store and network, in virtual time.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "corianderdock/session/quota.h"

namespace corianderdock::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct FleetOptions {
  int instances = 26;
  int tenants = 75;
  double usual_per_s = 936;  ///< operations of all tenants
  double limit_factor = 1.6;
  double burst_s = 1;   ///< seconds of its rate that a tenant may burst
  double lost = 0;      ///< share of messages lost
  double repeated = 0;  ///< share that arrives again up to 2 s later
  std::uint64_t seed = 1;
};

/// Figures of a run.
struct FleetResult {
  int windows_above = 0;
  double worst_window = 0;  ///< largest count as part of the bound
  double owed = 0;
  double lost = 0;            ///< owed operations not served
  double messages_per_s = 0;  ///< sent by an instance
  [[nodiscard]] double LostShare() const { return owed > 0 ? lost / owed : 0; }
};

class QuotaFleet {
 public:
  explicit QuotaFleet(const FleetOptions& options)
      : options_(options), random_(options.seed) {
    quota_options_.bound = {seconds(5), 0.1, 20};
    auto directory = std::make_shared<session::TenantDirectory>();
    double sum = 0;
    for (int n = 0; n < options.tenants; ++n) sum += std::pow(n + 1, -1.2);
    for (int n = 0; n < options.tenants; ++n) {
      Load load;
      load.tenant.id = "t" + std::to_string(n);
      load.usual_per_s = options.usual_per_s * std::pow(n + 1, -1.2) / sum;
      load.tenant.rate_per_s = load.usual_per_s * options.limit_factor;
      load.tenant.burst =
          std::max(5.0, load.tenant.rate_per_s * options.burst_s);
      load.bucket = load.tenant.burst;
      directory->tenants[load.tenant.id] = load.tenant;
      loads_.push_back(std::move(load));
    }
    directory_ = std::move(directory);
    for (int n = 0; n < options.instances; ++n) {
      AddInstance("i" + std::to_string(n));
    }
    for (std::size_t n = 0; n < loads_.size(); ++n) NextArrival(n);
  }

  void AddInstance(const InstanceId& id) {
    Node& node = nodes_[id];
    node.weight = std::uniform_real_distribution<>(1, 3)(random_);
    Start(id);
  }

  /// Runs until `duration` has passed.
  void Run(Duration duration) {
    const TimePoint until = now_ + duration;
    while (!events_.empty() && events_.top().at <= until) {
      auto run = events_.top().run;
      now_ = std::max(now_, events_.top().at);
      events_.pop();
      run();
    }
    now_ = until;
  }

  /// Starts to count anew.
  void ResetCounts() {
    for (Load& it : loads_) it.owed = it.served = it.lost = it.all_owed = 0;
    messages_ = 0;
    counted_since_ = now_;
  }

  [[nodiscard]] FleetResult Result() {
    FleetResult result;
    result.windows_above = windows_above_;
    result.worst_window = worst_window_;
    for (Load& it : loads_) {
      EndCount(it);
      result.owed += it.all_owed;
      result.lost += it.lost;
    }
    const double s = Seconds(now_ - counted_since_);
    result.messages_per_s =
        static_cast<double>(messages_) / s / static_cast<double>(nodes_.size());
    return result;
  }

  void Kill(const InstanceId& id) { nodes_.at(id).quota.reset(); }
  void Start(const InstanceId& id) {
    Node& node = nodes_.at(id);
    node.quota = std::make_unique<session::Quota>(id, ++boots_, quota_options_);
    node.quota->OnTenants(now_, directory_);
    ++node.life;
    const auto phase = milliseconds(random_() % 25);
    Schedule(phase, [this, id, life = node.life] { Tick(id, life); });
    Schedule(milliseconds(random_() % 300),
             [this, id, life = node.life] { Announce(id, life); });
    Schedule(milliseconds(random_() % 500),
             [this, id, life = node.life] { ReadList(id, life); });
  }
  /// Keeps an instance from its store, or from all other instances.
  void CutFromStore(const InstanceId& id, Duration duration) {
    nodes_.at(id).no_store_until = now_ + duration;
  }
  void CutFromPeers(const InstanceId& id, Duration duration) {
    nodes_.at(id).no_peers_until = now_ + duration;
  }
  void Suspend(const InstanceId& id, Duration duration) {
    nodes_.at(id).suspended_until = now_ + duration;
  }
  /// Leases end in time, but nothing is read or renewed.
  void StopStore(Duration duration) { no_store_until_ = now_ + duration; }
  void SetDemand(std::size_t tenant, double factor) {
    loads_[tenant].factor = factor;
  }
  /// Draws the instances' parts of the clients anew.
  void ShiftIngress() {
    for (auto& [id, node] : nodes_) {
      node.weight = std::uniform_real_distribution<>(1, 3)(random_);
    }
  }
  void SetTenantRate(std::size_t tenant, double rate) {
    auto changed = std::make_shared<session::TenantDirectory>(*directory_);
    changed->tenants["t" + std::to_string(tenant)].rate_per_s = rate;
    directory_ = std::move(changed);
    loads_[tenant].tenant.rate_per_s = rate;
    loads_[tenant].binds_from = now_ + quota_options_.bound.window;
    for (auto& [id, node] : nodes_) {
      if (node.quota) node.quota->OnTenants(now_, directory_);
    }
  }
  [[nodiscard]] std::vector<InstanceId> Ids() const {
    std::vector<InstanceId> ids;
    for (const auto& [id, node] : nodes_) ids.push_back(id);
    return ids;
  }
  [[nodiscard]] TimePoint now() const { return now_; }

 private:
  struct Node {
    std::unique_ptr<session::Quota> quota;
    int life = 0;
    double weight = 1;
    TimePoint no_store_until;
    TimePoint no_peers_until;
    TimePoint suspended_until;
  };
  /// A tenant's clients, and what was owed to them and served.
  struct Load {
    session::Tenant tenant;
    double usual_per_s = 0;
    double factor = 1;
    double bucket = 0;  ///< one bucket over all instances: what is owed
    TimePoint refilled_at = TimePoint(seconds(1000));
    TimePoint binds_from;
    std::deque<TimePoint> window;
    TimePoint counted_from = TimePoint(seconds(1000));
    double owed = 0;
    double served = 0;
    double all_owed = 0;
    double lost = 0;
  };
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  static double Seconds(Duration it) {
    return std::chrono::duration<double>(it).count();
  }
  void Schedule(Duration delay, std::function<void()> run) {
    events_.push({now_ + delay, ++order_, std::move(run)});
  }
  [[nodiscard]] bool Chance(double share) {
    return share > 0 && std::uniform_real_distribution<>(0, 1)(random_) < share;
  }

  /// Runs `act` on a live instance, after its suspension if it is suspended.
  template <typename Act>
  void OnNode(const InstanceId& id, int life, const Act& act) {
    Node& node = nodes_.at(id);
    if (!node.quota || node.life != life) return;
    if (now_ < node.suspended_until) {
      return Schedule(node.suspended_until - now_,
                      [this, id, life, act] { OnNode(id, life, act); });
    }
    act(node);
    Flush(id, node);
  }
  void Flush(const InstanceId& id, Node& node) {
    for (auto& it : node.quota->TakeMessages()) SendOn(id, it);
    for (const auto& it : node.quota->TakeVerdicts()) {
      if (it.granted) Serve(static_cast<std::size_t>(it.waiter));
    }
  }
  void Tick(const InstanceId& id, int life) {
    OnNode(id, life, [this, id, life](Node& node) {
      node.quota->Tick(now_);
      Schedule(milliseconds(25), [this, id, life] { Tick(id, life); });
    });
  }
  [[nodiscard]] bool StoreReached(const Node& node) const {
    return now_ >= node.no_store_until && now_ >= no_store_until_;
  }
  void Announce(const InstanceId& id, int life) {
    OnNode(id, life, [this, id, life](Node& node) {
      if (StoreReached(node)) leases_[id] = now_ + seconds(10);
      Schedule(seconds(2), [this, id, life] { Announce(id, life); });
    });
  }
  void ReadList(const InstanceId& id, int life) {
    OnNode(id, life, [this, id, life](Node& node) {
      Schedule(seconds(2), [this, id, life] { ReadList(id, life); });
      if (!StoreReached(node)) return;
      session::InstanceList list;
      for (const auto& [other, until] : leases_) {
        if (now_ < until) list[other] = {"zone", ""};
      }
      const bool listed = list.contains(id);
      list.try_emplace(id);
      node.quota->OnInstances(now_, list, listed);
    });
  }
  void SendOn(const InstanceId& from, const session::QuotaSend& send) {
    ++messages_;
    const auto to = nodes_.find(send.to);
    if (to == nodes_.end() || Chance(options_.lost)) return;
    if (now_ < nodes_.at(from).no_peers_until) return;
    if (now_ < to->second.no_peers_until) return;
    const auto arrive = [this, from, id = send.to, message = send.message] {
      OnNode(id, nodes_.at(id).life, [this, from, message](Node& node) {
        node.quota->OnMessage(now_, from, message);
      });
    };
    Schedule(std::chrono::microseconds(300 + random_() % 1500), arrive);
    if (Chance(options_.repeated)) {
      Schedule(milliseconds(random_() % 2000), arrive);
    }
  }

  void NextArrival(std::size_t tenant) {
    Load& load = loads_[tenant];
    const double gap = std::exponential_distribution<>(load.usual_per_s *
                                                       load.factor)(random_);
    Schedule(std::chrono::duration_cast<Duration>(
                 std::chrono::duration<double>(gap)),
             [this, tenant] {
               Arrive(tenant);
               NextArrival(tenant);
             });
  }
  void Arrive(std::size_t tenant) {
    Load& load = loads_[tenant];
    if (now_ - load.counted_from >= quota_options_.bound.window) EndCount(load);
    load.bucket = std::min(load.tenant.burst,
                           load.bucket + load.tenant.rate_per_s *
                                             Seconds(now_ - load.refilled_at));
    load.refilled_at = now_;
    if (load.bucket >= 1) {
      load.bucket -= 1;
      load.owed += 1;
    }
    std::vector<double> weights;
    std::vector<InstanceId> ids;
    for (auto& [id, node] : nodes_) {
      if (!node.quota || now_ < node.suspended_until) continue;
      weights.push_back(node.weight);
      ids.push_back(id);
    }
    if (ids.empty()) return;
    const InstanceId id = ids[static_cast<std::size_t>(
        std::discrete_distribution<>(weights.begin(), weights.end())(random_))];
    Node& node = nodes_.at(id);
    const auto decision = node.quota->Take(now_, load.tenant.id, tenant);
    if (decision == session::QuotaDecision::kTaken) Serve(tenant);
    Flush(id, node);
  }
  void Serve(std::size_t tenant) {
    Load& load = loads_[tenant];
    load.served += 1;
    const auto& bound = quota_options_.bound;
    while (!load.window.empty() && load.window.front() <= now_ - bound.window) {
      load.window.pop_front();
    }
    load.window.push_back(now_);
    if (now_ < load.binds_from) return;
    const double limit =
        (load.tenant.rate_per_s * Seconds(bound.window) + load.tenant.burst) *
            (1 + bound.excess) +
        bound.slack;
    const auto count = static_cast<double>(load.window.size());
    worst_window_ = std::max(worst_window_, count / limit);
    if (count > limit) ++windows_above_;
  }
  void EndCount(Load& load) {
    load.counted_from = now_;
    load.all_owed += load.owed;
    load.lost += std::max(load.owed - load.served, 0.0);
    load.owed = load.served = 0;
  }

  FleetOptions options_;
  session::QuotaOptions quota_options_;
  std::mt19937_64 random_;
  TimePoint now_{seconds(1000)};
  TimePoint counted_since_{seconds(1000)};
  TimePoint no_store_until_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  std::uint64_t boots_ = 0;
  std::shared_ptr<const session::TenantDirectory> directory_;
  std::map<InstanceId, Node> nodes_;
  std::map<InstanceId, TimePoint> leases_;
  std::vector<Load> loads_;
  std::uint64_t messages_ = 0;
  int windows_above_ = 0;
  double worst_window_ = 0;
};

}  // namespace corianderdock::test
