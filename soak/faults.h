/// \file
/// Overlapping series of faults, drawn from a seed.
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <string>

#include "soak/cluster.h"
#include "soak/ledger.h"
#include "soak/orders.h"

namespace soak {

class Faults {
 public:
  Faults(Cluster& cluster, Orders& orders, std::uint64_t seed, double rate)
      : cluster_(cluster), orders_(orders), seed_(seed), rate_(rate) {}

  /// Sets how many connections a server accepts in all.
  void SetConnections(int connections) { connections_ = connections; }
  /// Writes the first configuration.
  void PutConfiguration() { PutConfiguration(NewRandom()); }
  /// Starts all series.
  void Start();
  /// Ends the series. Faults in progress end as drawn.
  void Stop() { stopped_ = true; }
  /// Faults that are in progress.
  [[nodiscard]] int active() const { return active_; }

 private:
  using Series = Task (Faults::*)(Random&);
  using InstanceFault = Task (Faults::*)(Instance&, Random&);
  using GroupFault = Task (Faults::*)(lab::Group&, Random&);

  Random& NewRandom();
  [[nodiscard]] Ms Pause(Random& random, Ms least, Ms most) const;
  void Spawn(Task fault);
  Task Track(Task fault);

  Task InstanceSeries(Random& random);
  Task GroupSeries(lab::Group& group, Random& random);
  Task ReplacementSeries(lab::Group& group, Random& random);
  Task LateOrderSeries(Random& random);
  Task StoreSeries(Random& random);
  Task LinkSeries(Random& random);
  Task ConfigurationSeries(Random& random);
  void PutConfiguration(Random& random);
  /// Disturbs a promotion after its order arrived.
  void OnOrder(const Order& order);
  /// Disturbs the instances while a claim is likely.
  Task DisturbClaimants(lab::Group& group, Random& random);

  Task KillInstance(Instance& instance, Random& random);
  Task FreezeInstance(Instance& instance, Random& random);
  Task StopInstance(Instance& instance, Random& random);

  Task CrashPrimary(lab::Group& group, Random& random);
  Task SilencePrimary(lab::Group& group, Random& random);
  Task FreezePrimary(lab::Group& group, Random& random);
  Task WithholdAnswers(lab::Group& group, Random& random);
  Task RestartReplica(lab::Group& group, Random& random);
  Task StopReplication(lab::Group& group, Random& random);
  Task DelayApply(lab::Group& group, Random& random);
  Task HideServer(lab::Group& group, Random& random);
  Task ReplaceServer(lab::Group& group, Random& random);
  /// Replaces a replica by one that no list shows for a moment, while the
  /// primary crashes or is cut off from some instances (issue 56).
  Task ReplaceBesideLoss(lab::Group& group, Random& random);
  Task ListLater(lab::Server& server, Ms delay);
  Task LosePrimary(lab::Group& group, Random& random);
  Task RestartAfter(lab::Group& group, std::string spared, Ms delay,
                    Random& random);

  /// Takes a server for a fault; null if none is free.
  lab::Server* Take(lab::Group& group, bool primary, Random& random,
                    const std::string& spared = {});
  /// Cuts a server off from all instances, or heals these links.
  void CutFromAll(lab::Server& server, bool cut);

  Cluster& cluster_;
  Orders& orders_;
  std::uint64_t seed_;
  double rate_;
  std::uint64_t streams_ = 100;
  std::deque<Random> randoms_;
  std::set<std::string> taken_;      ///< servers with a fault in progress
  std::set<std::string> replacing_;  ///< services
  int connections_ = 60;             ///< of a server
  int version_ = 1;                  ///< of the configuration
  int servers_added_ = 0;
  int active_ = 0;
  bool stopped_ = false;
};

}  // namespace soak
