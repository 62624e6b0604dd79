/// \file
/// Which servers form each group and which instance schedules each server.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "corianderdock/detail/context.h"
#include "corianderdock/membership.h"
#include "corianderdock/topology.h"
#include "corianderdock/topology_change.h"

namespace corianderdock {

/// Combines the platform's lists with the live members.
///
/// The scheduler of a server is chosen by rendezvous hashing among the
/// eligible instances of its zone, or of all zones when it has none. Ownership
/// is soft: two schedulers at once cost efficiency, never safety. Confined to
/// the control thread.
class Directory {
 public:
  /// \pre Both arguments outlive this object.
  Directory(const detail::Context& context, const Membership& membership);

  /// Installs newer lists. Returns false when they were not newer.
  bool Install(const Topology& topology);

  [[nodiscard]] const Topology& topology() const noexcept { return topology_; }

  /// Changes after `revision`; nothing when the whole lists must be sent.
  [[nodiscard]] std::optional<TopologyChange> ChangesSince(
      std::uint64_t revision) const {
    return log_.Since(revision, topology_);
  }

  /// \return null when `id` is not listed.
  [[nodiscard]] const Server* Find(const ServerId& id) const;

  /// Servers of a group in order of their ids; empty when not listed.
  [[nodiscard]] const std::vector<ServerId>& Servers(
      const GroupId& group) const;

  [[nodiscard]] const std::map<GroupId, std::vector<ServerId>>& groups() const {
    return groups_;
  }

  /// Instance that schedules `server`; this one when no other is known.
  [[nodiscard]] InstanceId SchedulerOf(const ServerId& server) const;

  /// Whether this instance schedules `server`.
  [[nodiscard]] bool Owns(const ServerId& server) const;

  /// Whether this instance schedules a server of `group`.
  [[nodiscard]] bool Watches(const GroupId& group) const;

  /// Order of this instance among the schedulers of a group's servers.
  [[nodiscard]] std::size_t ClaimRank(const GroupId& group, Term term) const;

  /// Address of another instance; empty when unknown.
  [[nodiscard]] std::string AddressOf(const InstanceId& id) const;

 private:
  void Refresh() const;
  [[nodiscard]] InstanceId Choose(const Server& server) const;

  const detail::Context& context_;
  const Membership& membership_;
  Topology topology_;
  TopologyLog log_;
  std::map<GroupId, std::vector<ServerId>> groups_;
  mutable std::map<ServerId, InstanceId> schedulers_;
  mutable std::uint64_t generation_ = 0;
};

}  // namespace corianderdock
