/// \file
/// Limits and times of an instance, and its identity.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "corianderdock/types.h"

namespace corianderdock {

/// Identity of this instance, from its settings.
struct Identity {
  InstanceId instance;
  ZoneId zone;
  std::string address;  ///< IP:PORT at which other instances reach it
  std::uint64_t incarnation = 1;
};

/// Limits and times with their defaults.
struct Options {
  // Requests.
  Duration default_timeout = std::chrono::seconds(5);
  Duration largest_timeout = std::chrono::seconds(60);
  /// Time a read may wait for a server that has reached its session token.
  Duration token_wait = std::chrono::seconds(1);
  Duration retry_pause = Milliseconds(10);
  Duration transaction_idle = std::chrono::seconds(10);
  std::size_t largest_waiting = 4000;  ///< unanswered requests
  double retry_share = 0.2;            ///< retries added per request
  double retry_burst = 100;            ///< largest number of saved retries

  // Group monitoring and failover.
  Duration poll_interval = Milliseconds(400);
  Duration fast_poll_pause = Milliseconds(1);  ///< while statements wait
  Duration poll_timeout = Milliseconds(400);
  /// A primary counts as lost when it has not answered this instance for
  /// `primary_silence` and a majority of the servers has not heard from it for
  /// `replica_silence`.
  Duration primary_silence = Milliseconds(900);
  Duration replica_silence = Milliseconds(600);
  /// A primary also counts as lost when a majority of the servers has not heard
  /// from it for this time, whether or not it answers this instance.
  Duration replication_silence = std::chrono::seconds(3);
  /// Delay of a claim for each instance that ranks before this one.
  Duration claim_rank_delay = Milliseconds(300);
  Duration claim_timeout = Milliseconds(1200);

  // Backend connections.
  Duration ping_interval = std::chrono::seconds(2);
  Duration ping_timeout = Milliseconds(500);
  Duration connect_timeout = Milliseconds(600);
  Duration reconnect_pause = Milliseconds(50);
  Duration longest_reconnect_pause = std::chrono::seconds(1);
  int control_connections = 6;  ///< reserved from each server's limit
  int prefetch = 1;             ///< short statements sent ahead of a free slot

  // Membership.
  Duration probe_interval = Milliseconds(500);
  Duration probe_timeout = Milliseconds(300);
  Duration suspicion_timeout = Milliseconds(1500);
  Duration full_exchange_interval = std::chrono::seconds(30);
  Duration platform_poll_interval = std::chrono::seconds(1);
  std::size_t platform_pollers_per_zone = 2;
  Duration forget_dead_after = std::chrono::minutes(10);
  std::size_t updates_per_message = 8;
  Duration startup_wait = std::chrono::seconds(2);
  /// Time without new requests that must pass before a drained instance exits.
  Duration drain_quiet = Milliseconds(500);
  Duration drain_limit = std::chrono::seconds(30);
  std::vector<std::string> seeds;  ///< peer addresses known at start

  // Strategies that comparative measurements switch off one at a time.
  bool late_binding = true;
  bool long_work_cap = true;
  bool replica_reads = true;
  bool early_refusal = true;
  bool shared_scheduler = true;
  bool gossip_membership = true;
};

}  // namespace corianderdock
