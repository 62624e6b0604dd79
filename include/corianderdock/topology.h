/// \file
/// Backend servers and instances as listed by the platform.
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
  int slots = 2;
  int connection_limit = 16;
  bool leaving = false;

  bool operator==(const Server&) const = default;
};

/// One instance as listed by the platform.
struct ListedInstance {
  InstanceId id;
  ZoneId zone;
  std::string address;  ///< IP:PORT for other instances
  bool leaving = false;

  bool operator==(const ListedInstance&) const = default;
};

/// The platform's lists at one revision of its store.
struct Topology {
  std::uint64_t revision = 0;
  std::map<ServerId, Server> servers;
  std::map<InstanceId, ListedInstance> instances;

  /// Whether both list the same servers and instances.
  [[nodiscard]] bool SameContent(const Topology& other) const {
    return servers == other.servers && instances == other.instances;
  }
};

}  // namespace corianderdock
