#include "corianderdock/topology_change.h"

#include <string>

#include "corianderdock/detail/hash.h"

namespace corianderdock {

namespace {

constexpr std::size_t kMostRemoved = 1000;

std::string ContentOf(const Server& it) {
  return it.group + "\n" + it.zone + "\n" + it.address + "\n" +
         std::to_string(it.slots) + "\n" + std::to_string(it.connection_limit) +
         "\n" + std::to_string(static_cast<int>(it.leaving));
}

std::string ContentOf(const ListedInstance& it) {
  return it.zone + "\n" + it.address + "\n" +
         std::to_string(static_cast<int>(it.leaving));
}

template <typename Entries>
std::uint64_t DigestEntries(const Entries& entries) {
  std::uint64_t digest = 0;
  for (const auto& [id, it] : entries) {
    digest += detail::HashPair(id, ContentOf(it));
  }
  return digest;
}

template <typename Entries>
void NoteChanges(const Entries& before, const Entries& after,
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

std::uint64_t DigestOf(const Topology& lists) {
  return DigestEntries(lists.servers) + 31 * DigestEntries(lists.instances);
}

std::optional<Topology> Apply(const Topology& lists,
                              const TopologyChange& change) {
  Topology after = lists;
  after.revision = change.entries.revision;
  Merge(change.entries.servers, change.removed_servers, after.servers);
  Merge(change.entries.instances, change.removed_instances, after.instances);
  if (DigestOf(after) != change.digest) return std::nullopt;
  return after;
}

void TopologyLog::Record(const Topology& before, const Topology& after) {
  if (before.revision == 0) {
    complete_from_ = after.revision;
    return;
  }
  NoteChanges(before.servers, after.servers, after.revision, servers_);
  NoteChanges(before.instances, after.instances, after.revision, instances_);
  const std::size_t listed = after.servers.size() + after.instances.size();
  if (servers_.size() + instances_.size() > listed + kMostRemoved) {
    Forget(after);
  }
}

void TopologyLog::Forget(const Topology& lists) {
  servers_.clear();
  instances_.clear();
  complete_from_ = lists.revision;
}

std::optional<TopologyChange> TopologyLog::Since(std::uint64_t revision,
                                                 const Topology& lists) const {
  if (revision == 0 || revision < complete_from_) return std::nullopt;
  TopologyChange change;
  change.digest = DigestOf(lists);
  change.entries.revision = lists.revision;
  Collect(servers_, revision, lists.servers, change.entries.servers,
          change.removed_servers);
  Collect(instances_, revision, lists.instances, change.entries.instances,
          change.removed_instances);
  return change;
}

}  // namespace corianderdock
