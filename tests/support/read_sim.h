/// \file
/// Instances that choose servers for reads by cost, and servers with slots and
/// a queue at their owner, in virtual time.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "corianderdock/session/read_cost.h"
#include "corianderdock/session/server_pace.h"

namespace corianderdock::test {

enum class ChoiceRule { kLeastTime, kTwoChoices, kByCost };

class ReadSim {
 public:
  struct Server {
    int zone = 0;
    bool primary = false;
    std::function<double(double)> slowness = [](double) { return 1; };
    session::ServerPace pace;  ///< at its owner
    /// Reads that wait, by when they arrived: what to do at the start, or, if
    /// they waited too long, at a negative time.
    std::deque<std::pair<double, std::function<void(double)>>> waiting;
    int running = 0;
    std::vector<double> waits;  ///< ms, of those started since cleared
    int started = 0;
  };
  struct Instance {
    int zone = 0;
    std::vector<session::ServerPace> paces;
    std::vector<session::ServerOutcomes> outcomes;
    std::vector<int> running;
    std::vector<TimePoint> heard;
    std::uint64_t serial = 0;
  };

  ReadSim(int instances, int instance_zones,
          const std::vector<int>& server_zones)
      : rule(ChoiceRule::kByCost) {
    for (const int zone : server_zones) {
      servers.emplace_back();
      servers.back().zone = zone;
      servers.back().pace.Restart(Time(), kSlots);
    }
    for (int n = 0; n < instances; ++n) {
      nodes.emplace_back();
      Instance& node = nodes.back();
      node.zone = n % instance_zones;
      node.paces.resize(servers.size());
      for (auto& it : node.paces) it.Restart(Time(), kSlots);
      node.outcomes.resize(servers.size());
      node.running.resize(servers.size());
      node.heard.resize(servers.size());
    }
    rate = [](const Instance&, double) { return 10.0; };
    for (std::size_t n = 0; n < nodes.size(); ++n) Arrive(n);
  }

  void RunUntil(double ms) {
    while (!agenda_.empty() && agenda_.top().at <= ms) {
      const Item item = agenda_.top();
      agenda_.pop();
      now = item.at;
      item.action();
    }
    now = ms;
  }
  /// Starts per server since the last call.
  std::vector<int> TakeStarts() {
    std::vector<int> starts;
    for (auto& it : servers) starts.push_back(std::exchange(it.started, 0));
    return starts;
  }
  [[nodiscard]] TimePoint Time() const {
    return TimePoint{std::chrono::seconds(100)} +
           std::chrono::duration_cast<Duration>(
               std::chrono::duration<double, std::milli>(now));
  }

  static constexpr int kSlots = 4;
  static constexpr double kRunMs = 15;
  /// As the options max_waiting_peers and peer_wait.
  static constexpr std::size_t kMaxWaiting = 24;
  static constexpr double kMaxWaitMs = 60;
  ChoiceRule rule;
  double now = 0;
  std::vector<Server> servers;
  std::vector<Instance> nodes;
  /// Reads per second of an instance at a time.
  std::function<double(const Instance&, double)> rate;
  std::vector<double> times;  ///< ms until answers, since cleared
  int refused = 0;
  std::uint64_t seed = 0;

 private:
  struct Item {
    double at = 0;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Item& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  void At(double delay, std::function<void()> action) {
    agenda_.push({now + delay, ++numbers_, std::move(action)});
  }
  double Random() {
    return session::RandomOf("sim" + std::to_string(seed), ++randoms_);
  }

  void Arrive(std::size_t n) {
    const double per_s = std::max(0.01, rate(nodes[n], now));
    At(-std::log(1 - Random()) * 1000 / per_s, [this, n] {
      Send(n);
      Arrive(n);
    });
  }

  std::size_t Choose(Instance& node) {
    std::vector<double> costs;
    for (std::size_t n = 0; n < servers.size(); ++n) {
      session::ReadInputs in;
      in.expected_ms =
          node.paces[n].ExpectedMs(Time(), session::CommandKind::kRead, kRunMs);
      in.running = node.running[n];
      in.limit = kSlots;
      in.failure_chance = node.outcomes[n].FailureChance(Time());
      in.lost_ms = node.outcomes[n].LostMs();
      in.other_zone = node.zone != servers[n].zone;
      in.primary = servers[n].primary;
      in.slots = kSlots;
      costs.push_back(session::ExpectedReadMs(in));
    }
    const double random = Random();
    if (rule == ChoiceRule::kByCost) {
      return session::ChooseByCost(costs, random);
    }
    const auto best = static_cast<std::size_t>(
        std::min_element(costs.begin(), costs.end()) - costs.begin());
    if (rule == ChoiceRule::kLeastTime) return best;
    const auto count = static_cast<double>(costs.size());
    const auto a = static_cast<std::size_t>(random * count);
    const auto b = static_cast<std::size_t>(Random() * (count - 1));
    const std::size_t other = b >= a ? b + 1 : b;
    return costs[other] < costs[a] ? other : a;
  }

  void Send(std::size_t n) {
    Instance& node = nodes[n];
    const std::size_t at = Choose(node);
    Server& server = servers[at];
    const double sent = now;
    const double way = node.zone == server.zone ? 0.5 : 4.4;
    ++node.running[at];
    At(way, [=, this, &server] {
      const auto refuse = [=, this] {
        ++refused;
        At(way, [=, this] {
          --nodes[n].running[at];
          nodes[n].outcomes[at].OnFailure(Time(), ToDuration(now - sent));
        });
      };
      if (server.waiting.size() >= kMaxWaiting) return refuse();
      const double arrived = now;
      server.waiting.emplace_back(arrived, [=, this, &server](double started) {
        if (started < 0) return refuse();
        server.waits.push_back(started - arrived);
        const double run = kRunMs * (0.5 + Random()) * server.slowness(started);
        At(run, [=, this, &server] {
          --server.running;
          server.pace.OnAnswer(Time(), session::CommandKind::kRead,
                               ToDuration(run), 1);
          StartWaiting(server);
          At(way, [=, this] { Answer(n, at, sent); });
        });
      });
      StartWaiting(server);
    });
  }
  void Answer(std::size_t n, std::size_t at, double sent) {
    Instance& node = nodes[n];
    --node.running[at];
    node.paces[at].OnAnswer(Time(), session::CommandKind::kRead,
                            ToDuration(now - sent), 1);
    node.outcomes[at].OnAnswer(Time());
    times.push_back(now - sent);
  }
  void StartWaiting(Server& server) {
    while (!server.waiting.empty() &&
           server.running + 1 <= server.pace.Limit()) {
      const auto [arrived, start] = std::move(server.waiting.front());
      server.waiting.pop_front();
      if (now - arrived > kMaxWaitMs * server.pace.Limit() / kSlots) {
        start(-1);
        continue;
      }
      ++server.running;
      ++server.started;
      start(now);
    }
  }
  static Duration ToDuration(double ms) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(ms));
  }

  std::priority_queue<Item> agenda_;
  std::uint64_t numbers_ = 0;
  std::uint64_t randoms_ = 0;
};

}  // namespace corianderdock::test
