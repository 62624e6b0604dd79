/// \file
/// Limits and times of the session proxy.
#pragma once

#include <cstddef>
#include <string>

#include "corianderdock/session/failover.h"
#include "corianderdock/types.h"

namespace corianderdock::session {

/// Who this instance is.
struct ProxyIdentity {
  InstanceId id;
  ZoneId zone;
};

/// Limits and times; the defaults suit a system in one region.
struct ProxyOptions {
  const Safety* safety = &DefaultSafety();  ///< outlives the proxy
  FailoverOptions failover;
  /// Instances that share a server's connections until their list is read.
  int assumed_instances = 5;
  /// Connections to one server left to instances that died or just started.
  int spare_connections = 2;
  /// Statements of a session's own state; more are refused.
  std::size_t most_values = 64;
  std::size_t most_prepared = 256;
  /// Attempts at one statement before it is refused.
  int most_attempts = 4;
  /// Silence of a server with unanswered work before new work avoids it.
  Duration suspect_after = std::chrono::milliseconds(350);
  /// Silence of a server with unanswered work before it is asked for a sign of
  /// life that needs no slot.
  Duration probe_after = std::chrono::milliseconds(150);
  /// Answer of a single attempt at a read.
  Duration attempt_limit = std::chrono::milliseconds(400);
  /// Opening of a connection.
  Duration connect_limit = std::chrono::milliseconds(1000);
  /// The same through another instance.
  Duration relay_limit = std::chrono::milliseconds(300);
  /// Pause between tries of other ways to a server that fails: at first, and
  /// at most.
  Duration way_pause = std::chrono::milliseconds(100);
  Duration longest_way_pause = std::chrono::milliseconds(1600);
  /// Pause between tries of the direct way to a server that is relayed.
  Duration direct_pause = std::chrono::milliseconds(1000);
  /// How long a replica that vanished from the list may still hold the only
  /// copy of an acknowledged commit: behind a partition it goes on serving.
  Duration vanished_evidence = std::chrono::milliseconds(6000);
  /// Time from not being ready until an isolated instance closes idle
  /// sessions, which then reconnect to other zones.
  Duration isolated_leave = std::chrono::milliseconds(1200);
  /// Time after a partition healed before its view of primaries is trusted.
  Duration after_isolation = std::chrono::milliseconds(1500);
  /// Refused connections in a row, and time, that show a primary's process
  /// gone without waiting for its silence.
  int refusals_of_dead = 2;
  Duration refused_after = std::chrono::milliseconds(200);
  /// Log lines about single requests in a second; more are counted instead.
  int request_lines_per_second = 50;
  /// From the listing of a leaving server until it gets no new work.
  Duration leaving_limit = std::chrono::milliseconds(5000);
  /// Idle time after which a connection above half of the instance's share is
  /// given back.
  Duration connection_idle = std::chrono::milliseconds(4000);
  /// Pause after a connection could not be opened.
  Duration connect_pause = std::chrono::milliseconds(150);
  /// Pause after a server refused a statement for lack of room.
  Duration busy_pause = std::chrono::milliseconds(10);
  /// How long a copy that lacked a position is avoided at first, and at most.
  Duration behind_pause = std::chrono::milliseconds(100);
  Duration longest_behind_pause = std::chrono::milliseconds(1600);
  /// A primary whose replicas all stay behind for this long, while it refuses
  /// this many statements in this time, hands over to one of them: the old
  /// primary then serves reads, being up to date.
  Duration behind_for = std::chrono::milliseconds(4000);
  int crowd = 15;
  Duration crowd_time = std::chrono::milliseconds(4000);
  /// Time that a primary leads before such a hand-over.
  Duration lead_at_least = std::chrono::milliseconds(15'000);
  /// Longest wait for a primary that is being replaced before a statement is
  /// refused.
  Duration failover_wait = std::chrono::milliseconds(400);
  /// Time for which every server of other zones must have been silent before
  /// the instance counts as isolated.
  Duration isolated_after = std::chrono::milliseconds(50);
  /// Part of a promised age kept for the way to the server.
  Duration age_margin = std::chrono::milliseconds(150);
  /// Age of the newest sample at which the primary is asked for another.
  Duration sample_interval = std::chrono::milliseconds(400);
  /// Interval of the regular check of servers and services.
  Duration tick = std::chrono::milliseconds(25);
  /// Pause between searches for an unknown primary.
  Duration search_interval = std::chrono::milliseconds(100);
  /// Time from not being ready until no new sessions are expected.
  Duration leave_rotation = std::chrono::milliseconds(2500);
};

}  // namespace corianderdock::session
