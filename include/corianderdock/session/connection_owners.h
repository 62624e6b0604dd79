/// \file
/// Decides which instances connect to a backend server when it accepts fewer
/// connections than there are instances.
#pragma once

#include <vector>

#include "corianderdock/session/model.h"

namespace corianderdock::session {

/// How the instances share the connections of one server.
struct ConnectionPlan {
  /// Instances that connect to the server; the others forward statements to one
  /// of them. Empty if every instance connects.
  std::vector<InstanceId> owners;
  /// Connections that each instance that connects may hold.
  int connections = 1;
  /// The same of an owner until connections of its earlier process no longer
  /// count, and of an instance that stands in for the owners.
  int starting_connections = 1;
  /// Instances that stand in, in this order, while no owner can be reached.
  std::vector<InstanceId> reserves = {};
  /// All instances use the owners in the order of `owners`; otherwise each in
  /// one of its own. Every owner connects to the server.
  bool ordered = false;
  /// The same, but only the first owner that works connects to the server and
  /// runs the statements of all.
  bool one_active = false;

  bool operator==(const ConnectionPlan&) const = default;
};

/// Returns the plan for `server`, of which all instances accept
/// `max_connections`; `reserved` of them stay free. All instances that know the
/// same `instances` compute the same plan, and a change of one instance changes
/// few owners. Owners are in the server's zone if enough instances are.
/// \pre `max_connections` > 0. Thread-safe.
[[nodiscard]] ConnectionPlan PlanConnections(const ServerEntry& server,
                                             int max_connections, int reserved,
                                             const InstanceList& instances);

/// Returns the plan for a server whose connections belong to tenants. It has
/// owners whatever `max_connections` is, since only one instance that sees all
/// statements can choose which tenants have connections. The owners, with
/// larger weights for larger processor shares, hold four fifths of the
/// connections together. The rest is for connections of owners that were killed
/// or start, and of instances that reach no owner. All instances that know the
/// same `instances` compute the same plan. Without an instance that shares its
/// connections, the plan is that of `PlanConnections`.
/// \pre `max_connections` > 0. Thread-safe.
[[nodiscard]] ConnectionPlan PlanTenantConnections(
    const ServerEntry& server, int max_connections, int reserved,
    const InstanceList& instances);

/// Returns `owners` in the order in which `self` tries them, which spreads the
/// instances over the owners. Thread-safe.
[[nodiscard]] std::vector<InstanceId> OwnersInOrder(
    const InstanceId& self, const ServerId& server,
    const std::vector<InstanceId>& owners);

}  // namespace corianderdock::session
