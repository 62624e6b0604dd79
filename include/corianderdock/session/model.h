/// \file
/// Routes, services, servers and instances known to the session proxy.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "corianderdock/types.h"

namespace corianderdock::session {

using SessionId = std::uint64_t;  ///< identifies a client connection
/// Identifies a shared connection of another instance.
using PeerId = std::uint64_t;
using DatabaseName = std::string;

/// Consistency guarantee for the reads of a route.
enum class Freshness {
  kPrimary,           ///< reads see every acknowledged commit
  kBoundedStaleness,  ///< reads lack at most the commits of the last `max_age`
  kReadYourWrites,    ///< `kBoundedStaleness`, plus the session's commits
};

/// How statements on one database are served.
struct Route {
  DatabaseName database;
  ServiceId service;
  Freshness freshness = Freshness::kPrimary;
  Duration timeout{0};            ///< for one statement
  Duration latency_objective{0};  ///< from arrival to answer, including waits
  Duration max_age{0};            ///< staleness bound; unused with `kPrimary`
  int priority = 0;               ///< 0 is the highest
  /// Clients need no key; otherwise theirs must belong to a tenant, if there
  /// are tenants.
  bool open_access = false;
};

/// Digest of a client's key. Keys themselves are not kept.
struct KeyDigest {
  std::uint64_t low = 0;
  std::uint64_t high = 0;

  bool operator==(const KeyDigest&) const = default;
};

/// Hash of a digest for unordered containers.
struct KeyDigestHash {
  std::size_t operator()(const KeyDigest& digest) const noexcept {
    return static_cast<std::size_t>(digest.low);
  }
};

/// A customer whose clients are told apart from those of others.
struct Tenant {
  TenantId id;
  int priority = 0;       ///< 0 is the highest
  double rate_per_s = 0;  ///< operations over all instances; 0: no limit
  double burst = 0;       ///< operations beyond the rate
  bool operator==(const Tenant&) const = default;
};

/// The tenants of one configuration. Empty: clients have no keys.
struct TenantDirectory {
  std::map<TenantId, Tenant> tenants;
  /// Holders of keys. Pointers are to `tenants`, whose elements don't move.
  std::unordered_map<KeyDigest, const Tenant*, KeyDigestHash> holders;
  /// Tenants that are unusable, and fingerprints of keys that several tenants
  /// hold, as log lines show them; both are left out.
  std::vector<std::string> rejected;
};

/// Connection and replication settings of a service.
struct ServiceLimits {
  int max_connections = 1;  ///< to one server, over all instances
  /// Replicas that must receive a commit before it is acknowledged.
  int sync_replicas = 0;
};

/// One version of the configuration.
struct RoutingConfig {
  std::uint64_t version = 0;
  std::map<DatabaseName, std::shared_ptr<const Route>> routes;
  std::map<ServiceId, ServiceLimits> services;
  /// Idle transactions are rolled back after this time.
  Duration transaction_idle_timeout{0};
  /// Databases of routes that are unusable; they are left out of `routes`.
  std::vector<DatabaseName> rejected_routes;
  /// Null if the configuration has no tenants: then no keys are checked.
  std::shared_ptr<const TenantDirectory> tenants;
  /// The document, for other instances; null if they don't ask this one.
  std::shared_ptr<const std::string> document = {};
};

/// A configuration that can't be used. The last usable one stays in force.
struct ConfigRejection {
  std::uint64_t version = 0;  ///< 0 if the document states none
  std::string reason;
};

/// A backend server as it registered itself.
struct ServerEntry {
  ServerId id;
  ServiceId service;
  std::string address;  ///< IP:PORT
  ZoneId zone;
  int slots = 1;  ///< statements that it runs concurrently
  bool draining = false;
  bool claims_primary = false;
  /// Start time of its process; 0 when not reported.
  std::uint64_t process_start = 0;
  /// How much longer it expects to be slow after its start: a hint, which
  /// changes all the time and is not compared.
  Duration cold_left{0};

  bool operator==(const ServerEntry& other) const {
    const auto fields = [](const ServerEntry& it) {
      return std::tie(it.id, it.service, it.address, it.zone, it.slots,
                      it.draining, it.claims_primary, it.process_start);
    };
    return fields(*this) == fields(other);
  }
};

/// A proxy instance as it registered itself.
struct InstanceEntry {
  ZoneId zone;
  std::string relay_address;  ///< IP:PORT that relays connections to servers
  /// IP:PORT that shares this instance's connections to servers; empty if it
  /// does not share them.
  std::string share_address = {};
  /// Processor cores that the instance may use.
  double processor_share = 1;

  bool operator==(const InstanceEntry&) const = default;
};

using InstanceList = std::map<InstanceId, InstanceEntry>;
using ServerList = std::map<ServerId, ServerEntry>;

}  // namespace corianderdock::session
