/// \file
/// Instances that read a simulated store and exchange what they know, in
/// virtual time, with faults.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "corianderdock/session/config_freshness.h"
#include "corianderdock/session/instance_exchange.h"
#include "corianderdock/session/store_follower.h"

namespace corianderdock::test {

/// Rules that a test can remove.
struct ExchangeRules {
  bool date_by_sending = true;
  bool margin = true;
  bool check_before_sending = true;
  bool distrust_stopped_clocks = true;
};

struct ExchangeSetup {
  bool keys = true;  ///< the configuration has tenants and a bound
  /// Processor share of each instance by zone.
  std::vector<std::vector<double>> zones;
  ExchangeRules rules;
};

/// One run. Times of the store and of the checks are true times; an instance
/// sees its own clock.
class ExchangeWorld {
 public:
  static constexpr Duration kBound = std::chrono::seconds(5);

  ExchangeWorld(std::uint64_t seed, const ExchangeSetup& setup);

  void RunUntil(TimePoint end);

  /// Adds random faults between 7 s and `end`.
  void AddFaults(int count, TimePoint end);
  /// Publishes a new version each `interval` on average until `end`.
  void PublishUntil(TimePoint end, Duration interval);
  /// Each instance gets statements with a key all the time.
  void ServeUntil(TimePoint end);

  /// Statements that ran under a configuration replaced longer ago than the
  /// bound.
  int late_statements = 0;
  int statements = 0;
  /// Instances in contact with the store for 5 s that lacked a version which
  /// is 5 s old.
  int late_versions = 0;
  /// Sum of what calls to the store cost.
  double price = 0;
  std::uint64_t messages = 0;

  [[nodiscard]] int Readers() const;
  [[nodiscard]] int Followers() const;
  [[nodiscard]] bool AllFresh() const;
  void CutFromStore(const InstanceId& id, Duration duration);
  void Isolate(const InstanceId& id, Duration duration);
  void Pause(const InstanceId& id, Duration duration, bool stops_clock);
  void CheckVersionsUntil(TimePoint end);

  TimePoint now{std::chrono::seconds(100)};
  bool lossy = true;            ///< messages are lost, or up to 4 s late
  bool silent_watches = false;  ///< watches deliver nothing until they end

 private:
  struct Node {
    Node(const session::ProxyIdentity& self, double processor_share,
         const session::InstanceExchangeOptions& options,
         const session::InstanceExchange::ConfigDecoder& decoder)
        : share(processor_share),
          zone(self.zone),
          follower(self.id, FollowerOptions()),
          exchange(self, options, decoder) {}
    static session::StoreFollowerOptions FollowerOptions();
    double share;
    ZoneId zone;
    session::StoreFollower follower;
    session::InstanceExchange exchange;
    session::ConfigFreshness gate;
    session::StoreDuties duties;
    std::uint64_t version = 0;  ///< in force
    Duration lost{0};           ///< time in which its clock stood still
    double drift = 0;
    bool judged = true;
    TimePoint paused_until;
    TimePoint cut_until;     ///< from the store
    TimePoint disturbed_at;  ///< end of its last fault
    TimePoint wake_at = TimePoint::max();
  };

  using Action = std::function<void()>;
  void At(TimePoint time, Action action);
  void Deliver(const InstanceId& id, TimePoint time, Action action);
  [[nodiscard]] TimePoint ClockOf(const Node& node) const;
  void Perform(const InstanceId& id, session::StoreFollower::Outputs outputs);
  void Perform(const InstanceId& id,
               session::InstanceExchange::Outputs outputs);
  void Report(const InstanceId& id, session::Event event, bool from_store);
  void CallStore(const InstanceId& id, const session::StoreCall& call);
  [[nodiscard]] session::StoreResult Answer(const session::StoreCall& call);
  void Send(const InstanceId& from, const session::SendMessage& message);
  void Wake(const InstanceId& id);
  void Schedule(const InstanceId& id);
  void Arrive(const InstanceId& id, TimePoint end);
  void Run(const Node& node);
  [[nodiscard]] Duration Between(int least_ms, int most_ms);
  [[nodiscard]] bool Chance(double share);
  [[nodiscard]] std::shared_ptr<const session::RoutingConfig> Config(
      std::uint64_t version) const;

  std::mt19937_64 random_;
  ExchangeSetup setup_;
  std::multimap<TimePoint, Action> actions_;
  std::map<InstanceId, std::unique_ptr<Node>> nodes_;
  std::map<std::uint64_t, TimePoint> published_;  ///< by version
  std::map<std::set<InstanceId>, TimePoint> cuts_;
  TimePoint slow_until_;
  std::uint64_t beats_ = 0;
};

}  // namespace corianderdock::test
