/// \file
/// Backend servers and instances listed by the platform.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "corianderdock/types.h"

namespace corianderdock {

/// One backend server of a database group.
struct Server {
  ServerId id;
  GroupId group;
  ZoneId zone;
  std::string address;  ///< IP:PORT
  int slots = 2;        ///< statements that it runs concurrently
  int connection_limit = 16;
  bool leaving = false;

  bool operator==(const Server&) const = default;
};

/// One instance listed by the platform.
struct ListedInstance {
  InstanceId id;
  ZoneId zone;
  std::string address;  ///< IP:PORT on which peers connect
  bool leaving = false;

  bool operator==(const ListedInstance&) const = default;
};

/// Servers and instances at one revision of the platform's store.
struct Topology {
  std::uint64_t revision = 0;
  std::map<ServerId, Server> servers;
  std::map<InstanceId, ListedInstance> instances;

  /// Whether both list the same servers and instances, at any revision.
  [[nodiscard]] bool SameContent(const Topology& other) const {
    return servers == other.servers && instances == other.instances;
  }
};

}  // namespace corianderdock
