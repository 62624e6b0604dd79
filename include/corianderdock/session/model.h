/// \file
/// Routes, services and servers as the session proxy sees them.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "corianderdock/types.h"

namespace corianderdock::session {

using SessionId = std::uint64_t;  ///< one client connection
using DatabaseName = std::string;

/// What a route promises about the data that its reads see.
enum class Freshness {
  kPrimary,    ///< every acknowledged commit
  kBounded,    ///< every commit acknowledged longer than `max_age` ago
  kOwnWrites,  ///< as `kBounded`, and every commit of the same session
};

/// How statements on one database are served.
struct Route {
  DatabaseName database;
  ServiceId service;
  Freshness freshness = Freshness::kPrimary;
  Duration timeout{0};    ///< limit of one statement
  Duration objective{0};  ///< latency objective of a whole operation
  Duration max_age{0};    ///< of `kBounded` and `kOwnWrites` reads
  int priority = 0;       ///< 0 is the most important
};

/// Limits of one service.
struct ServiceLimits {
  int max_connections = 1;  ///< to one server, from all instances together
  int sync_replicas = 0;    ///< replicas that must receive a commit
};

/// One version of the configuration.
struct RoutingConfig {
  std::uint64_t version = 0;
  std::map<DatabaseName, std::shared_ptr<const Route>> routes;
  std::map<ServiceId, ServiceLimits> services;
  Duration transaction_idle{0};  ///< idle transactions may end after this
};

/// One backend server as it describes itself.
struct ServerEntry {
  ServerId id;
  ServiceId service;
  std::string address;  ///< IP:PORT
  ZoneId zone;
  int slots = 1;  ///< statements that it runs at once
  bool draining = false;
  bool claims_primary = false;
  std::uint64_t born = 0;  ///< start of its process; 0 when not told

  bool operator==(const ServerEntry&) const = default;
};

/// Another instance of the system as it announced itself.
struct InstanceEntry {
  ZoneId zone;
  std::string relay_address;  ///< IP:PORT that forwards to servers

  bool operator==(const InstanceEntry&) const = default;
};

using InstanceList = std::map<InstanceId, InstanceEntry>;
using ServerList = std::map<ServerId, ServerEntry>;

}  // namespace corianderdock::session
