/// \file
/// Relays before all servers of a run.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "soak/cluster.h"
#include "soak/repeater.h"

namespace soak {

/// Servers register in a store of their own. Their entries are copied to the
/// store of the proxies, with the relay's address in place of the server's.
class Relays {
 public:
  /// Has to be constructed before the first server of `cluster`.
  Relays(Cluster& cluster, std::uint64_t seed);

  /// Told what all relays see. Set before the proxies are started.
  RelayObserver observer;

  /// Disturbs the replies of all servers, until the next call.
  void DisturbAll(const Disturbance& disturbance);
  /// Disturbs the replies of some servers at a time, as drawn from the seed,
  /// until `Stop`. `share` is that of refused, cut and lost replies.
  Task Disturb(double rate, double share);
  /// Ends all disturbances.
  void Stop();
  [[nodiscard]] std::size_t repeats() const;

 private:
  Task CopyEntries();
  /// Returns a server's entry with the address of its relay.
  std::string Rewrite(const std::string& key, const std::string& entry);

  Cluster& cluster_;
  std::uint64_t seed_;
  lab::Store registry_;
  Disturbance disturbance_;  ///< of relays that are added
  std::map<std::string, std::unique_ptr<Repeater>> relays_;  ///< by key
  bool stopped_ = false;
};

}  // namespace soak
