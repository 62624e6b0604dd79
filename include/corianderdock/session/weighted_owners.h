/// \file
/// Decides which instances connect to a backend server where instances are of
/// different size.
#pragma once

#include "corianderdock/session/connection_owners.h"
#include "corianderdock/session/model.h"

namespace corianderdock::session {

/// Whether adaptive routing is on where the setting is absent: the largest
/// processor share is at least three times the smallest. Thread-safe.
[[nodiscard]] bool InstancesDiffer(const InstanceList& instances);

/// Returns the number of owners of a server with `slots` slots of which all
/// instances accept `max_connections`: two, of which the first serves all
/// statements and the second takes over from it, or one where the connections
/// don't suffice for the slots twice. \pre both > 0. Thread-safe.
[[nodiscard]] int WeightedOwnerCount(int slots, int max_connections);

/// Returns the plan for `server` as `PlanConnections` does, with owners by
/// weighted rendezvous hashing of the processor shares, in the order in which
/// all instances use them. An instance with less than half of the largest share
/// of its zone owns nothing while the larger ones of the zone suffice. A change
/// of one instance moves only what it gets or loses. \pre `max_connections` >
/// 0. Thread-safe.
[[nodiscard]] ConnectionPlan PlanWeightedOwners(const ServerEntry& server,
                                                int max_connections,
                                                int reserved,
                                                const InstanceList& instances);

/// Returns the owners that `self` uses in the order of `plan`: the owners, then
/// the instances that stand in for them, up to `self` if it is one of these.
/// Thread-safe.
[[nodiscard]] std::vector<InstanceId> OwnersBefore(const InstanceId& self,
                                                   const ConnectionPlan& plan);

}  // namespace corianderdock::session
