#include "corianderdock/session/weighted_owners.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include "corianderdock/detail/weighted_rendezvous.h"

namespace corianderdock::session {

namespace {

/// Ratio of the largest to the smallest processor share from which instances
/// count as unequal.
constexpr double kUnequalRatio = 3;
/// 0.3 is three times 0.1, which doubles don't show.
constexpr double kRounding = 1e-9;
/// Part of a server's connections that owners leave free: connections of an
/// owner that was killed count until the server notices.
constexpr int kOwnerReserveDivisor = 5;
/// One that serves, and one that takes over without a new choice.
constexpr int kMaxOwners = 2;
/// Instances that stand in while all owners are down: one in the server's zone,
/// and one in each of some others, as a zone may fail whole.
constexpr std::size_t kReserves = 4;
/// Share of the largest instance of a zone below which one counts as small.
constexpr double kSmallShare = 0.5;

struct Candidate {
  bool far = false;
  bool small = false;
  double rank = 0;
  InstanceId id;

  bool operator<(const Candidate& other) const {
    return std::tuple(far, small, -rank, id) <
           std::tuple(other.far, other.small, -other.rank, other.id);
  }
};

/// Candidates for the connections to a server, the best one first.
std::vector<Candidate> CandidatesFor(const ServerEntry& server,
                                     const InstanceList& instances) {
  std::map<ZoneId, double> largest;
  for (const auto& [id, entry] : instances) {
    if (entry.share_address.empty()) continue;
    double& share = largest[entry.zone];
    share = std::max(share, entry.processor_share);
  }
  std::vector<Candidate> candidates;
  for (const auto& [id, entry] : instances) {
    if (entry.share_address.empty()) continue;
    const double share = entry.processor_share;
    candidates.push_back({entry.zone != server.zone,
                          share < kSmallShare * largest[entry.zone],
                          detail::WeightedRank(id, server.id, share), id});
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

}  // namespace

bool InstancesDiffer(const InstanceList& instances) {
  const auto less = [](const auto& a, const auto& b) {
    return a.second.processor_share < b.second.processor_share;
  };
  const auto [min, max] =
      std::minmax_element(instances.begin(), instances.end(), less);
  return min != instances.end() &&
         max->second.processor_share * (1 + kRounding) >=
             kUnequalRatio * min->second.processor_share;
}

int WeightedOwnerCount(int slots, int max_connections) {
  const int usable = max_connections - max_connections / kOwnerReserveDivisor;
  return std::clamp(usable / std::max(1, slots), 1, kMaxOwners);
}

ConnectionPlan PlanWeightedOwners(const ServerEntry& server,
                                  int max_connections, int reserved,
                                  const InstanceList& instances) {
  ConnectionPlan plan;
  const int count = std::max<int>(1, static_cast<int>(instances.size()));
  const int share = (max_connections - reserved) / count;
  plan.connections = std::max(1, share);
  if (share >= 1) return plan;
  const int owners = WeightedOwnerCount(server.slots, max_connections);
  const int rest = max_connections / kOwnerReserveDivisor;
  plan.connections = std::max(1, (max_connections - rest) / owners);
  plan.starting_connections =
      std::max(1, max_connections / owners - plan.connections);
  plan.ordered = true;
  std::set<ZoneId> zones;
  for (const Candidate& it : CandidatesFor(server, instances)) {
    if (static_cast<int>(plan.owners.size()) < owners) {
      plan.owners.push_back(it.id);
    } else if (zones.insert(instances.at(it.id).zone).second) {
      plan.reserves.push_back(it.id);
    }
    if (plan.reserves.size() == kReserves) break;
  }
  return plan;
}

std::vector<InstanceId> OwnersBefore(const InstanceId& self,
                                     const ConnectionPlan& plan) {
  std::vector<InstanceId> order = plan.owners;
  for (const InstanceId& it : plan.reserves) {
    if (it == self) break;
    order.push_back(it);
  }
  return order;
}

}  // namespace corianderdock::session
