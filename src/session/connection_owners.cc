#include "corianderdock/session/connection_owners.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "corianderdock/detail/hash.h"
#include "corianderdock/detail/weighted_rendezvous.h"

namespace corianderdock::session {

namespace {

/// Part of a server's connections that owners leave free: connections of an
/// owner that was killed count until the server notices.
constexpr int kOwnerReserveDivisor = 5;

/// Owners of a server where connections belong to tenants: one runs all
/// statements, the other takes over when it fails.
constexpr int kTenantOwners = 2;

std::uint64_t Rank(const std::string& a, const std::string& b) {
  return detail::HashPair(a, b);
}

}  // namespace

ConnectionPlan PlanConnections(const ServerEntry& server, int max_connections,
                               int reserved, const InstanceList& instances) {
  ConnectionPlan plan;
  const int count = std::max<int>(1, static_cast<int>(instances.size()));
  const int share = (max_connections - reserved) / count;
  plan.connections = std::max(1, share);
  if (share >= 1) return plan;
  const int usable = max_connections - max_connections / kOwnerReserveDivisor;
  plan.connections = std::clamp(server.slots, 1, std::max(1, usable));
  using Candidate = std::tuple<bool, std::uint64_t, InstanceId>;
  std::vector<Candidate> candidates;
  for (const auto& [id, entry] : instances) {
    if (entry.share_address.empty()) continue;
    candidates.emplace_back(entry.zone != server.zone, Rank(id, server.id), id);
  }
  std::sort(candidates.begin(), candidates.end());
  const auto wanted =
      static_cast<std::size_t>(std::max(1, usable / plan.connections));
  for (const auto& [far, rank, id] : candidates) {
    if (plan.owners.size() == wanted) break;
    plan.owners.push_back(id);
  }
  std::sort(plan.owners.begin(), plan.owners.end());
  return plan;
}

ConnectionPlan PlanTenantConnections(const ServerEntry& server,
                                     int max_connections, int reserved,
                                     const InstanceList& instances) {
  using Candidate = std::tuple<bool, double, InstanceId>;
  std::vector<Candidate> candidates;
  for (const auto& [id, entry] : instances) {
    if (entry.share_address.empty()) continue;
    candidates.emplace_back(
        entry.zone != server.zone,
        -detail::WeightedRank(id, server.id, entry.processor_share), id);
  }
  if (candidates.empty()) {
    return PlanConnections(server, max_connections, reserved, instances);
  }
  std::sort(candidates.begin(), candidates.end());
  const int rest = max_connections / kOwnerReserveDivisor;
  const int usable = std::max(1, max_connections - rest);
  const int owners =
      std::min({kTenantOwners, usable, static_cast<int>(candidates.size())});
  ConnectionPlan plan;
  plan.one_active = true;
  // Half each, also of an owner that has no second one: others may follow it.
  plan.connections = std::max(1, usable / kTenantOwners);
  plan.starting_connections =
      std::clamp(rest / kTenantOwners, 1, plan.connections);
  for (const auto& [far, rank, id] : candidates) {
    if (static_cast<int>(plan.owners.size()) == owners) break;
    plan.owners.push_back(id);
  }
  return plan;
}

std::vector<InstanceId> OwnersInOrder(const InstanceId& self,
                                      const ServerId& server,
                                      const std::vector<InstanceId>& owners) {
  std::vector<InstanceId> ordered = owners;
  const auto rank = [&](const InstanceId& owner) {
    return Rank(owner, server + "/" + self);
  };
  std::sort(ordered.begin(), ordered.end(),
            [&](const InstanceId& a, const InstanceId& b) {
              return rank(a) < rank(b);
            });
  return ordered;
}

}  // namespace corianderdock::session
