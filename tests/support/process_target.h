/// \file
/// Runs scenarios against real processes.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "cluster.h"
#include "fake_target.h"
#include "history.h"
#include "scenario.h"

namespace testing_support {

/// One group g in zones a, b and c with three instances, on loopback.
[[nodiscard]] bench::Deployment ScenarioDeployment();

/// Runs a scenario on separate processes in real time.
class ProcessTarget : public ScenarioTarget {
 public:
  explicit ProcessTarget(std::uint64_t seed);
  ~ProcessTarget() override;

  bool Schedule(const Step& step) override;
  void Run(Duration end) override;
  std::string Check(const Step& step) override;

  [[nodiscard]] bench::Cluster& cluster() { return *cluster_; }
  [[nodiscard]] const History& history() const { return history_; }

 private:
  void RunCaller(int session, LoadRates rates);
  void Write(int session, int n, std::string& token, std::uint64_t number);
  void Read(int session, int n, std::string& token, bool requires_latest);
  void RunTransaction(int session, int n, int other, std::string& token,
                      std::uint64_t number);
  void Record(Operation operation, const Json::Value& response,
              std::string& token);
  void RunAction(const std::vector<std::string>& words);
  void RunServerAction(const std::string& verb, const std::string& name,
                       const std::string& last);
  void RunInstanceAction(const std::string& verb, int n,
                         const std::string& last);
  /// Blocks traffic between two zones.
  void PartitionZones(const std::string& zone, const std::string& other);
  void Heal();
  void RunAfter(Duration delay, std::function<void()> action);
  void RecordSurvivingWrites();

  std::unique_ptr<bench::Cluster> cluster_;
  std::uint64_t seed_;
  std::vector<Step> actions_;
  std::vector<LoadRates> loads_;
  std::vector<std::thread> delayed_actions_;
  std::mutex mutex_;
  History history_;
  TimePoint start_;
  TimePoint load_end_;
  std::string initial_primary_;
};

}  // namespace testing_support
