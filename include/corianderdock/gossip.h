/// \file
/// Messages by which instances tell each other about members and versions.
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

/// A leadership change being spread.
struct LeadershipUpdate {
  GroupId group;
  Leadership leadership;
};

/// Exchanged in both directions by each probe.
struct Gossip {
  MemberUpdate sender;
  std::vector<MemberUpdate> members;
  std::vector<LeadershipUpdate> leaderships;
  SheetVersion sheet_version = 0;
  std::uint64_t topology_revision = 0;
  InstanceId probe_target;  ///< set when the receiver shall probe another
  bool full = false;        ///< asks for and carries the whole table
};

[[nodiscard]] const char* Name(MemberState state) noexcept;

}  // namespace corianderdock
