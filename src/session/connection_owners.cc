#include "corianderdock/session/connection_owners.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "corianderdock/detail/hash.h"

namespace corianderdock::session {

namespace {

/// Part of a server's connections that owners leave free: connections of an
/// owner that was killed count until the server notices.
constexpr int kOwnerReserveDivisor = 5;

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
