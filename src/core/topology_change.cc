#include "corianderdock/topology_change.h"

#include <string>

#include "corianderdock/detail/hash.h"

namespace corianderdock {

namespace {

constexpr std::size_t kMaxRemovedEntries = 1000;

std::string SerializeForDigest(const Server& it) {
  return it.group + "\n" + it.zone + "\n" + it.address + "\n" +
         std::to_string(it.slots) + "\n" + std::to_string(it.connection_limit) +
         "\n" + std::to_string(static_cast<int>(it.leaving));
}

std::string SerializeForDigest(const ListedInstance& it) {
  return it.zone + "\n" + it.address + "\n" +
         std::to_string(static_cast<int>(it.leaving));
}

template <typename Entries>
std::uint64_t DigestEntries(const Entries& entries) {
  std::uint64_t digest = 0;
  for (const auto& [id, it] : entries) {
    digest += detail::HashPair(id, SerializeForDigest(it));
  }
  return digest;
}

template <typename Entries>
void RecordChanges(const Entries& before, const Entries& after,
                   std::uint64_t revision,
                   std::map<std::string, std::uint64_t>& changed) {
  for (const auto& [id, it] : after) {
    const auto old = before.find(id);
    if (old == before.end() || old->second != it) changed[id] = revision;
  }
  for (const auto& [id, it] : before) {
    if (!after.contains(id)) changed[id] = revision;
  }
}

template <typename Entries>
void Collect(const std::map<std::string, std::uint64_t>& changed,
             std::uint64_t since, const Entries& now, Entries& entries,
             std::set<std::string>& removed) {
  for (const auto& [id, revision] : changed) {
    if (revision <= since) continue;
    const auto it = now.find(id);
    if (it == now.end()) {
      removed.insert(id);
    } else {
      entries.insert(*it);
    }
  }
}

template <typename Entries>
void Merge(const Entries& changed, const std::set<std::string>& removed,
           Entries& entries) {
  for (const auto& id : removed) entries.erase(id);
  for (const auto& [id, it] : changed) entries.insert_or_assign(id, it);
}

}  // namespace

std::uint64_t ComputeDigest(const Topology& topology) {
  return DigestEntries(topology.servers) +
         31 * DigestEntries(topology.instances);
}

std::optional<Topology> Apply(const Topology& topology,
                              const TopologyChange& change) {
  Topology after = topology;
  after.revision = change.entries.revision;
  Merge(change.entries.servers, change.removed_servers, after.servers);
  Merge(change.entries.instances, change.removed_instances, after.instances);
  if (ComputeDigest(after) != change.digest) return std::nullopt;
  return after;
}

void TopologyLog::Record(const Topology& before, const Topology& after) {
  if (before.revision == 0) {
    complete_from_ = after.revision;
    return;
  }
  RecordChanges(before.servers, after.servers, after.revision,
                server_revisions_);
  RecordChanges(before.instances, after.instances, after.revision,
                instance_revisions_);
  const std::size_t listed = after.servers.size() + after.instances.size();
  if (server_revisions_.size() + instance_revisions_.size() >
      listed + kMaxRemovedEntries) {
    Reset(after);
  }
}

void TopologyLog::Reset(const Topology& topology) {
  server_revisions_.clear();
  instance_revisions_.clear();
  complete_from_ = topology.revision;
}

std::optional<TopologyChange> TopologyLog::Since(
    std::uint64_t revision, const Topology& topology) const {
  if (revision == 0 || revision < complete_from_) return std::nullopt;
  TopologyChange change;
  change.digest = ComputeDigest(topology);
  change.entries.revision = topology.revision;
  Collect(server_revisions_, revision, topology.servers, change.entries.servers,
          change.removed_servers);
  Collect(instance_revisions_, revision, topology.instances,
          change.entries.instances, change.removed_instances);
  return change;
}

}  // namespace corianderdock
