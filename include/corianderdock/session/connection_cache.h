/// \file
/// Decides which tenants have connections to a server that accepts fewer than
/// there are tenants.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "corianderdock/session/model.h"

namespace corianderdock::session {

/// A connection to a server. It belongs to one tenant for its lifetime.
struct CachedConnection {
  enum class State { kIdle, kBusy, kOpening };
  ConnectionId id = 0;
  TenantId tenant;
  State state = State::kIdle;
  bool used = false;  ///< it has run a statement
  TimePoint last_used;
};

/// The connections of one server and the statements that wait for one.
struct CacheView {
  std::vector<CachedConnection> connections;
  std::map<TenantId, std::size_t> waiting;  ///< statements, by tenant
  int limit = 1;  ///< connections that may exist at once
  int slots = 1;  ///< statements that the server runs concurrently
};

/// What to do for a statement that waits for a connection.
struct CacheDecision {
  enum class Action {
    kUse,      ///< an idle connection of its tenant exists
    kOpen,     ///< open one
    kReplace,  ///< close the idle connection `closes`, then open one
    kWait,
  };
  Action action = Action::kWait;
  ConnectionId closes = 0;
};

/// Estimated frequency of each tenant's statements. Older ones count less. Not
/// thread-safe; times must not decrease.
class TenantFrequency {
 public:
  void Count(const TenantId& tenant, TimePoint now);

  /// Statements per second.
  [[nodiscard]] double RateOf(const TenantId& tenant, TimePoint now) const;

 private:
  struct Entry {
    double count = 0;  ///< at `at`; decays exponentially
    TimePoint at;
  };
  void DropRare(TimePoint now);

  std::map<TenantId, Entry> entries_;
};

/// Chooses the connection that another tenant needs least. Thread-compatible:
/// const methods without state.
class CachePolicy {
 public:
  virtual ~CachePolicy() = default;

  /// Returns the one of `candidates`, which are idle, to close for another
  /// tenant, or null to keep all.
  [[nodiscard]] virtual std::optional<ConnectionId> Victim(
      const CacheView& view,
      const std::vector<const CachedConnection*>& candidates,
      const TenantFrequency& frequency, TimePoint now) const = 0;

  /// Whether to close a connection once it is idle.
  [[nodiscard]] virtual bool ClosesIdle() const { return false; }

  /// Connections that one tenant may have at once.
  [[nodiscard]] virtual int MaxPerTenant(const CacheView& view) const {
    return view.slots;
  }
};

/// Closes the connection that was used least recently.
[[nodiscard]] const CachePolicy& LeastRecentlyUsedPolicy();

/// Closes the connection that is least likely to be needed soon: statements of
/// its tenant are rare, or its tenant has others for them. A scan of rare
/// tenants closes only each other's connections.
[[nodiscard]] const CachePolicy& FrequencyAwarePolicy();

/// Gives each tenant at most one connection and keeps it, so that tenants
/// beyond the limit wait for ever. For comparison only.
[[nodiscard]] const CachePolicy& FixedConnectionPolicy();

/// Keeps no idle connection. For comparison only.
[[nodiscard]] const CachePolicy& NoCachePolicy();

/// Decides when to open and close connections of one server. Not thread-safe.
///
/// \code
/// cache.Count("acme", now);
/// const auto decision = cache.Decide(view, "acme", now);
/// \endcode
class ConnectionCache {
 public:
  /// \pre `policy` outlives the cache.
  explicit ConnectionCache(const CachePolicy& policy = FrequencyAwarePolicy())
      : policy_(&policy) {}

  /// Counts a statement of a tenant that starts.
  void Count(const TenantId& tenant, TimePoint now) {
    frequency_.Count(tenant, now);
  }

  /// Decides for the waiting statements of a tenant. `now` must not decrease.
  [[nodiscard]] CacheDecision Decide(const CacheView& view,
                                     const TenantId& tenant,
                                     TimePoint now) const;

 private:
  const CachePolicy* policy_;
  TenantFrequency frequency_;
};

}  // namespace corianderdock::session
