#include <algorithm>
#include <vector>

#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

/// Doublings of the pause between tries.
constexpr int kMostDoublings = 4;

}  // namespace

/// Tries other instances as relays of a server that fails, and the direct way
/// to one that is relayed.
void Proxy::FindWay(Lane& lane) {
  const bool wanted = InUse(lane) || MayHoldCommits(lane);
  if (lane.opening_aside > 0 || isolated_since_ || !wanted) return;
  const bool relayed = !lane.failing && !lane.via.empty();
  if (!relayed && !lane.failing) return;
  const Duration growing =
      options_.way_pause * (1 << std::min(lane.ways_tried, kMostDoublings));
  const Duration pause = relayed
                             ? options_.direct_pause
                             : std::min(growing, options_.longest_way_pause);
  if (now_ - lane.way_tried < pause) return;
  const InstanceId via = relayed ? InstanceId() : NextRelay(lane);
  if (!relayed && via.empty()) return;
  lane.way_tried = now_;
  ++lane.ways_tried;
  OpenVia(lane, via, true);
}

/// Instances in the server's zone go first: a partition seldom runs between.
InstanceId Proxy::NextRelay(const Lane& lane) const {
  std::vector<InstanceId> near;
  std::vector<InstanceId> far;
  for (const auto& [id, entry] : instances_) {
    if (id == self_.id || entry.relay_address.empty()) continue;
    (entry.zone == lane.entry.zone ? near : far).push_back(id);
  }
  near.insert(near.end(), far.begin(), far.end());
  if (near.empty()) return {};
  return near[static_cast<std::size_t>(lane.ways_tried) % near.size()];
}

void Proxy::UseWay(Lane& lane, const InstanceId& via) {
  Log("server reached another way id=" + lane.entry.id +
      " via=" + (via.empty() ? "-" : via));
  lane.via = via;
  lane.ways_tried = 0;
  const auto idle = lane.idle;
  for (const ConnectionId id : idle) {
    if (connections_.at(id).via != via) Drop(id, false);
  }
}

bool Proxy::KnowsServerAt(std::string_view address) const {
  return std::any_of(lanes_.begin(), lanes_.end(), [&](const auto& it) {
    return it.second.listed && it.second.entry.address == address;
  });
}

}  // namespace corianderdock::session
