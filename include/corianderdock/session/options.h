/// \file
/// Identity, limits and times of the session proxy.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "corianderdock/session/failover.h"
#include "corianderdock/session/owner_search.h"
#include "corianderdock/session/quota_bound.h"
#include "corianderdock/types.h"

namespace corianderdock::session {

/// Identity of this instance.
struct ProxyIdentity {
  InstanceId id;
  ZoneId zone;
};

/// Limits and times; the defaults suit a system in one region.
struct ProxyOptions {
  const Safety* safety = &DefaultSafety();  ///< outlives the proxy
  FailoverOptions failover;
  QuotaOptions quota;  ///< without a window, tenants have no limits
  /// A replaced primary loses its leadership the moment the promotion takes
  /// effect. Otherwise it goes on accepting work until it is told, so that
  /// leadership must be proven by replicas.
  bool replaced_primary_stops = true;
  /// A proof of leadership is valid for a statement that arrives within this
  /// time after it. Shorter than `FailoverOptions::leadership_lease`, as clocks
  /// drift.
  Duration proof_validity = std::chrono::milliseconds(550);
  /// Age of the proof of a service in use at which positions are queried.
  Duration proof_refresh_age = std::chrono::milliseconds(250);
  /// Whether servers are chosen by expected time, their concurrency limits
  /// follow their answers, and owners are chosen by weight. Null: where the
  /// configuration has tenants, or instances are of very different size.
  std::optional<bool> adaptive_routing;
  /// Time from when a server is known until it gets a connection although the
  /// list of instances hasn't been read. One is allowed then: how many
  /// instances share the server is unknown.
  Duration instances_wait = std::chrono::milliseconds(300);
  /// Search for owners that are up; with adaptive routing.
  OwnerSearchOptions owner_search;
  /// Initial and longest interval at which an instance that forwards retries a
  /// failing server itself; with adaptive routing. Many instances do, and the
  /// server may be full.
  Duration forwarder_retry = std::chrono::milliseconds(600);
  Duration max_forwarder_retry = std::chrono::milliseconds(2400);
  /// Connections to each server that are kept out of the instances' shares, for
  /// instances that just started or died.
  int reserved_connections = 2;
  /// Time for which a server counts the connections of an instance that stopped
  /// without closing them. An owner opens one connection to each server until
  /// this time has passed since it started.
  Duration stale_connection_time = std::chrono::milliseconds(3500);
  /// Values and prepared statements of one session; more are refused.
  std::size_t max_session_values = 64;
  std::size_t max_prepared_statements = 256;
  /// Attempts at one statement before it fails.
  int max_attempts = 4;
  /// Connections to one server that an instance opens through another one that
  /// shares its own.
  int forwarded_connections = 4;
  /// The same where the configuration has tenants: one owner then runs the
  /// statements of all instances, and transactions keep a connection while
  /// their clients think.
  int tenant_forwarded_connections = 8;
  /// Longest wait of another instance's command for a connection, and the
  /// number that may wait for one server, before it is refused.
  Duration peer_wait = std::chrono::milliseconds(60);
  std::size_t max_waiting_peers = 24;
  /// Time without any reply after which a server with outstanding commands
  /// counts as failing and gets no new statements.
  Duration failing_after = std::chrono::milliseconds(350);
  /// Time without any reply after which a server with outstanding commands is
  /// probed. A probe uses no slot, so a busy server still answers it.
  Duration probe_after = std::chrono::milliseconds(150);
  /// Time-out of one attempt at a read or at a later statement of a transaction
  /// other than COMMIT, and of the proxy's own commands.
  Duration attempt_timeout = std::chrono::milliseconds(400);
  /// Time-out for opening a connection.
  Duration connect_timeout = std::chrono::milliseconds(1000);
  /// Time-out for opening a path probe, direct or through a relay, and with
  /// adaptive routing a connection to an owner.
  Duration path_probe_timeout = std::chrono::milliseconds(300);
  /// Initial and longest pause between probes of relays to a failing server.
  Duration path_probe_backoff = std::chrono::milliseconds(100);
  Duration max_path_probe_backoff = std::chrono::milliseconds(1600);
  /// The same where other instances own the connections. They are many, and
  /// after a restart of all of them each is up again soon.
  Duration max_owner_probe_backoff = std::chrono::milliseconds(200);
  /// Interval of probes of the direct path to a server reached by a relay.
  Duration direct_probe_interval = std::chrono::milliseconds(1000);
  /// Interval of attempts to return to the active owner of a server, where
  /// there is one. An owner that accepts connections but answers too late would
  /// be left again after each.
  Duration active_owner_probe_interval = std::chrono::milliseconds(3000);
  /// How long a server that neither answers nor is listed may return with the
  /// only copy of an acknowledged commit.
  Duration unlisted_server_retention = std::chrono::milliseconds(12'000);
  /// Time from losing readiness until an isolated instance closes its idle
  /// sessions, so that their clients reconnect to other zones.
  Duration isolated_close_delay = std::chrono::milliseconds(1200);
  /// Time after the end of an isolation before this instance's view of the
  /// primaries is trusted.
  Duration isolation_settle_time = std::chrono::milliseconds(1500);
  /// Consecutive failed connection attempts, and the time the primary has been
  /// failing, after which its process counts as gone even before
  /// `FailoverOptions::primary_loss_timeout`.
  int dead_connect_failures = 2;
  Duration dead_connect_failure_time = std::chrono::milliseconds(200);
  /// Log lines per second about single requests; the excess is only counted.
  int request_lines_per_second = 50;
  /// Warnings per second; the excess is logged with lower severity.
  int warnings_per_second = 200;
  /// Time from the listing of a server as draining until it gets no new
  /// statements, even as the primary.
  Duration drain_work_limit = std::chrono::milliseconds(5000);
  /// Idle time after which connections beyond half of this instance's share are
  /// closed.
  Duration connection_idle_timeout = std::chrono::milliseconds(4000);
  /// Pause after a failed connection attempt.
  Duration connect_backoff = std::chrono::milliseconds(150);
  /// Pause after a server refused a statement because it was full.
  Duration busy_backoff = std::chrono::milliseconds(10);
  /// Initial and longest time for which reads avoid a server that lacked the
  /// log position they required.
  Duration behind_backoff = std::chrono::milliseconds(100);
  Duration max_behind_backoff = std::chrono::milliseconds(1600);
  /// A switchover starts when all replicas have been behind for
  /// `switchover_behind_time` and the queues have refused `switchover_refusals`
  /// statements within `switchover_refusal_window`. The old primary then serves
  /// reads, because its data is up to date.
  Duration switchover_behind_time = std::chrono::milliseconds(4000);
  int switchover_refusals = 15;
  Duration switchover_refusal_window = std::chrono::milliseconds(4000);
  /// Time for which a server must have been the primary before such a
  /// switchover.
  Duration min_primary_tenure = std::chrono::milliseconds(15'000);
  /// Time from the confirmation of a configuration that revokes a key until no
  /// statement runs under that key any more; 0: not bounded. With a bound,
  /// statements on routes that need a key run only while there is evidence that
  /// the configuration is younger than the bound less the margin.
  Duration revoke_bound{0};
  /// Covers clocks of instances that drift apart, and the way to the server.
  Duration revoke_margin = std::chrono::milliseconds(200);
  /// Longest wait of a statement for a failover under way before it is refused.
  Duration failover_wait = std::chrono::milliseconds(400);
  /// Time for which all servers of other zones must have been failing before
  /// the instance loses readiness as isolated.
  Duration isolated_after = std::chrono::milliseconds(50);
  /// Part of a staleness bound reserved for the transit to the server.
  Duration staleness_margin = std::chrono::milliseconds(150);
  /// Age of the newest log position sample at which the primary is probed for
  /// another.
  Duration sample_interval = std::chrono::milliseconds(400);
  /// Interval of the periodic check of servers and services.
  Duration check_interval = std::chrono::milliseconds(25);
  /// Interval of searches for an unknown or failing primary.
  Duration search_interval = std::chrono::milliseconds(100);
  /// Time from losing readiness until the load balancer sends no new sessions.
  Duration load_balancer_drain_time = std::chrono::milliseconds(2500);
};

}  // namespace corianderdock::session
