/// \file
/// Servers of each group and the instance that schedules each server.
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

/// Combines the platform's topology with the live members of the cluster.
///
/// The scheduler of a server is chosen by rendezvous hashing among the
/// eligible instances of its zone, or of all zones when it has none. Instances
/// may disagree for a while: two schedulers of one server cost efficiency,
/// never correctness. Confined to the control thread.
class Directory {
 public:
  /// \pre Both arguments outlive this object.
  Directory(const detail::Context& context, const Membership& membership);

  /// Installs `topology` if its revision is newer. Returns whether the content
  /// changed.
  bool Install(const Topology& topology);

  [[nodiscard]] const Topology& topology() const noexcept { return topology_; }

  /// Changes since `revision`; empty when the whole topology must be sent.
  [[nodiscard]] std::optional<TopologyChange> ChangesSince(
      std::uint64_t revision) const {
    return log_.Since(revision, topology_);
  }

  /// \return null when `id` is not listed.
  [[nodiscard]] const Server* Find(const ServerId& id) const;

  /// Servers of a group, ordered by id; empty when the group is unknown.
  [[nodiscard]] const std::vector<ServerId>& Servers(
      const GroupId& group) const;

  [[nodiscard]] const std::map<GroupId, std::vector<ServerId>>& groups() const {
    return groups_;
  }

  /// Instance that schedules `server`; this instance when the server is unknown
  /// or no instance is eligible.
  [[nodiscard]] InstanceId SchedulerOf(const ServerId& server) const;

  /// Whether this instance schedules `server`.
  [[nodiscard]] bool Schedules(const ServerId& server) const;

  /// Whether this instance schedules a server of `group`.
  [[nodiscard]] bool Watches(const GroupId& group) const;

  /// Position of this instance, from 0, in the order in which the schedulers of
  /// a group's servers may claim the term that follows `term`.
  [[nodiscard]] std::size_t ClaimRank(const GroupId& group, Term term) const;

  /// Address of another instance; empty when unknown.
  [[nodiscard]] std::string AddressOf(const InstanceId& id) const;

 private:
  /// Clears the cached schedulers when the members changed.
  void DropStaleSchedulers() const;
  [[nodiscard]] InstanceId ChooseScheduler(const Server& server) const;

  const detail::Context& context_;
  const Membership& membership_;
  Topology topology_;
  TopologyLog log_;
  std::map<GroupId, std::vector<ServerId>> groups_;
  mutable std::map<ServerId, InstanceId> schedulers_;
  mutable std::uint64_t membership_generation_ = 0;
};

}  // namespace corianderdock
