/// \file
/// Gossip messages: members, leaderships and versions known to an instance.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "corianderdock/leadership.h"
#include "corianderdock/types.h"

namespace corianderdock {

enum class MemberState { kAlive, kSuspect, kLeaving, kDead };

/// What is known about one instance. A higher incarnation overrides a lower
/// one; within an incarnation a later state overrides an earlier one.
struct MemberUpdate {
  InstanceId id;
  ZoneId zone;
  std::string address;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
};

/// A leadership change to disseminate.
struct LeadershipUpdate {
  GroupId group;
  Leadership leadership;
};

/// Sent with each probe and with its reply.
struct Gossip {
  MemberUpdate sender;
  std::vector<MemberUpdate> members;
  std::vector<LeadershipUpdate> leaderships;
  SheetVersion sheet_version = 0;
  std::uint64_t topology_revision = 0;
  InstanceId probe_target;  ///< instance for the receiver to probe, if any
  bool full = false;        ///< carries all members and asks for all of them
};

[[nodiscard]] const char* Name(MemberState state) noexcept;

}  // namespace corianderdock
