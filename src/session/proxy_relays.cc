#include <algorithm>
#include <vector>

#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

/// Doublings of the pause between path probes.
constexpr int kMaxBackoffDoublings = 4;

}  // namespace

/// Where all instances use the owners in one order, probes those before the one
/// in use, one each time. Returns whether the path is through a later one.
bool Proxy::ProbeEarlierOwner(ServerPool& pool) {
  if (!pool.plan.ordered || !pool.shared || pool.failing) return false;
  const auto at = std::find(pool.owners.begin(), pool.owners.end(), pool.relay);
  const auto earlier = static_cast<std::size_t>(at - pool.owners.begin());
  if (earlier == 0 || at == pool.owners.end()) return false;
  if (now_ - pool.last_path_probe < options_.direct_probe_interval) return true;
  const auto turn = static_cast<std::size_t>(pool.path_probes) % earlier;
  pool.last_path_probe = now_;
  ++pool.path_probes;
  OpenOnPath(pool, pool.owners[turn], true, true);
  return true;
}

/// Probes other instances as relays to a failing server, and the direct path to
/// a server that is reached by a relay.
void Proxy::ProbePaths(ServerPool& pool) {
  if (pool.opening_path_probes > 0 || isolated_since_ || !InUse(pool)) return;
  const bool forwards = ForwardsTo(pool);
  if (forwards && ProbeEarlierOwner(pool)) return;
  // The direct path is tried again, or the shared one where it is the plan.
  const bool relayed = !pool.failing && (pool.plan.one_active && forwards
                                             ? AvoidsActiveOwner(pool)
                                         : forwards ? !pool.shared
                                                    : !pool.relay.empty());
  if (!relayed && !pool.failing) return;
  const Duration growing =
      options_.path_probe_backoff *
      (1 << std::min(pool.path_probes, kMaxBackoffDoublings));
  const bool one_active = pool.plan.one_active && forwards;
  const Duration pause =
      relayed ? (one_active ? options_.active_owner_probe_interval
                            : options_.direct_probe_interval)
              : std::min(growing, forwards ? options_.max_owner_probe_backoff
                                           : options_.max_path_probe_backoff);
  if (now_ - pool.last_path_probe < pause) return;
  if (one_active) return ProbeOwnerPath(pool);
  const auto n = static_cast<std::size_t>(pool.path_probes);
  // Once all owners were tried, a relay is, and then the owners again.
  const std::size_t turn = n % (pool.owners.size() + 1);
  InstanceId relay;
  if (!relayed && (!forwards || turn == pool.owners.size())) {
    relay = NextRelay(pool);
  }
  const bool shared = forwards && relay.empty();
  if (shared) relay = pool.owners[turn % pool.owners.size()];
  if (!relayed && relay.empty()) return;
  pool.last_path_probe = now_;
  ++pool.path_probes;
  OpenOnPath(pool, relay, shared, true);
}

/// Instances in the server's zone go first, since a partition rarely separates
/// servers of one zone.
InstanceId Proxy::NextRelay(const ServerPool& pool) const {
  std::vector<InstanceId> near;
  std::vector<InstanceId> far;
  for (const auto& [id, entry] : instances_) {
    if (id == self_.id || entry.relay_address.empty()) continue;
    (entry.zone == pool.entry.zone ? near : far).push_back(id);
  }
  near.insert(near.end(), far.begin(), far.end());
  if (near.empty()) return {};
  return near[static_cast<std::size_t>(pool.path_probes) % near.size()];
}

void Proxy::SwitchPath(ServerPool& pool, const InstanceId& relay, bool shared) {
  Log("server path changed id=" + pool.entry.id +
      " relay=" + (relay.empty() ? "-" : relay) +
      " shared=" + std::to_string(static_cast<int>(shared)));
  pool.relay = relay;
  pool.shared = shared;
  pool.path_probes = 0;
  if (pool.plan.ordered) pool.last_path_probe = now_;
  const auto idle = pool.idle;
  for (const ConnectionId id : idle) {
    const Connection& connection = connections_.at(id);
    if (connection.relay != relay || connection.shared != shared) {
      CloseConnection(id, false);
    }
  }
}

bool Proxy::KnowsServerAt(std::string_view address) const {
  return std::any_of(pools_.begin(), pools_.end(), [&](const auto& it) {
    return MayServe(it.second) && it.second.entry.address == address;
  });
}

}  // namespace corianderdock::session
