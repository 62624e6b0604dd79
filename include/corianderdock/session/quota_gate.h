/// \file
/// Connects the quota of tenants with the proxy.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "corianderdock/session/events.h"
#include "corianderdock/session/quota.h"

namespace corianderdock::session {

/// An operation that waited for a token.
struct QuotaResult {
  SessionId session = 0;
  std::uint64_t statement_serial = 0;
  TenantId tenant;
  bool granted = false;
};

/// Lets operations of tenants start, refuses those over the quota, and counts
/// both. Not thread-safe; times must not decrease.
class QuotaGate {
 public:
  QuotaGate(const InstanceId& self, TimePoint now, const QuotaOptions& options)
      : quota_(self, BootOf(now), options) {}

  /// Whether the bound and a tenant's rate call for quotas.
  [[nodiscard]] static bool Applies(const QuotaOptions& options,
                                    const TenantDirectory* tenants);

  void OnTenants(TimePoint now, std::shared_ptr<const TenantDirectory> tenants);
  void OnInstances(TimePoint now, const InstanceList& instances,
                   bool self_listed) {
    quota_.OnInstances(now, instances, self_listed);
  }
  /// Returns false if the body of the message is invalid.
  bool OnMessage(TimePoint now, const MessageReceived& event);
  void Tick(TimePoint now) { quota_.Tick(now); }

  /// Takes a token for a statement; with `kWaits`, `TakeResults` returns it
  /// later, maybe at once.
  [[nodiscard]] QuotaDecision Take(TimePoint now, const TenantId& tenant,
                                   SessionId session,
                                   std::uint64_t statement_serial);
  /// Returns the token of a statement that did not run.
  void Return(TimePoint now, const TenantId& tenant);
  /// Counts a refusal. Returns when the client should come back.
  [[nodiscard]] Milliseconds Refuse(const TenantId& tenant, SessionId session);

  [[nodiscard]] std::vector<QuotaResult> TakeResults();
  [[nodiscard]] std::vector<SendMessage> TakeMessages();

  /// Number of instances that share the tokens, and for each of the tenants
  /// with the highest rates its stocks, broker and counts, the others in one.
  [[nodiscard]] Json::Value Dump(TimePoint now) const;

 private:
  struct Counts {
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
  };
  struct Waiter {
    SessionId session = 0;
    std::uint64_t statement_serial = 0;
  };

  /// Differs between processes, which start at different times.
  [[nodiscard]] static std::uint64_t BootOf(TimePoint now) {
    return static_cast<std::uint64_t>(now.time_since_epoch().count());
  }
  Counts& CountsOf(const TenantId& tenant);

  Quota quota_;
  std::vector<TenantId> shown_;  ///< tenants with the highest rates, first ones
  std::map<TenantId, Counts> counts_;  ///< of `shown_`
  Counts others_;
  std::unordered_map<QuotaWaiter, Waiter> waiting_;
  QuotaWaiter next_waiter_ = 1;
};

}  // namespace corianderdock::session
