#include "corianderdock/directory.h"

#include <algorithm>

#include "corianderdock/detail/hash.h"

namespace corianderdock {

Directory::Directory(const detail::Context& context,
                     const Membership& membership)
    : context_(context), membership_(membership) {}

bool Directory::Install(const Topology& topology) {
  if (topology.revision <= topology_.revision) return false;
  const bool changed = !topology_.SameContent(topology);
  log_.Record(topology_, topology);
  topology_ = topology;
  if (!changed) return false;
  groups_.clear();
  for (const auto& [id, server] : topology_.servers) {
    groups_[server.group].push_back(id);
  }
  schedulers_.clear();
  return true;
}

const Server* Directory::Find(const ServerId& id) const {
  const auto it = topology_.servers.find(id);
  return it == topology_.servers.end() ? nullptr : &it->second;
}

const std::vector<ServerId>& Directory::Servers(const GroupId& group) const {
  static const std::vector<ServerId> kNone;
  const auto it = groups_.find(group);
  return it == groups_.end() ? kNone : it->second;
}

void Directory::DropStaleSchedulers() const {
  if (membership_generation_ == membership_.generation()) return;
  membership_generation_ = membership_.generation();
  schedulers_.clear();
}

InstanceId Directory::ChooseScheduler(const Server& server) const {
  const MemberUpdate* best = nullptr;
  std::uint64_t best_hash = 0;
  bool best_local = false;
  for (const MemberUpdate* it : membership_.Eligible()) {
    const bool local = it->zone == server.zone;
    const std::uint64_t hash = detail::HashPair(server.id, it->id);
    if (best == nullptr ||
        std::pair(local, hash) > std::pair(best_local, best_hash)) {
      best = it;
      best_hash = hash;
      best_local = local;
    }
  }
  return best == nullptr ? context_.self.instance : best->id;
}

InstanceId Directory::SchedulerOf(const ServerId& id) const {
  DropStaleSchedulers();
  const auto cached = schedulers_.find(id);
  if (cached != schedulers_.end()) return cached->second;
  const Server* server = Find(id);
  if (server == nullptr) return context_.self.instance;
  return schedulers_[id] = ChooseScheduler(*server);
}

bool Directory::Schedules(const ServerId& server) const {
  return Find(server) != nullptr &&
         SchedulerOf(server) == context_.self.instance;
}

bool Directory::Watches(const GroupId& group) const {
  const auto& servers = Servers(group);
  return std::any_of(servers.begin(), servers.end(),
                     [this](const auto& it) { return Schedules(it); });
}

std::size_t Directory::ClaimRank(const GroupId& group, Term term) const {
  const std::string subject = group + "#" + std::to_string(term);
  const std::uint64_t own = detail::HashPair(subject, context_.self.instance);
  std::size_t rank = 0;
  std::set<InstanceId> seen{context_.self.instance};
  for (const auto& it : Servers(group)) {
    const InstanceId scheduler = SchedulerOf(it);
    if (!seen.insert(scheduler).second) continue;
    if (detail::HashPair(subject, scheduler) < own) ++rank;
  }
  return rank;
}

std::string Directory::AddressOf(const InstanceId& id) const {
  const auto it = membership_.members().find(id);
  return it == membership_.members().end() ? "" : it->second.update.address;
}

}  // namespace corianderdock
