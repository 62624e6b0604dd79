/// \file
/// Quotas of tenants over all instances.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "corianderdock/session/quota_broker.h"
#include "corianderdock/session/quota_ledger.h"
#include "corianderdock/session/quota_members.h"
#include "corianderdock/session/quota_messages.h"

namespace corianderdock::session {

/// A message to another instance.
struct QuotaSend {
  InstanceId to;
  QuotaMessage message;
};

/// Ledger and broker of one instance.
///
/// Performs no I/O and reads no clock. After each call, `TakeMessages` and
/// `TakeVerdicts` return what is to be done. Not thread-safe; times must not
/// decrease.
class Quota {
 public:
  /// `boot` differs between processes of this instance.
  Quota(InstanceId self, std::uint64_t boot, const QuotaOptions& options);

  void OnTenants(TimePoint now, std::shared_ptr<const TenantDirectory> tenants);

  /// `self_listed`: the store has this instance's entry.
  void OnInstances(TimePoint now, const InstanceList& instances,
                   bool self_listed);

  void OnMessage(TimePoint now, const InstanceId& from,
                 const QuotaMessage& message);

  /// To be called at least every 50 ms.
  void Tick(TimePoint now);

  /// Takes a token for an operation of `tenant`; a tenant without a limit needs
  /// none. With `kWaits`, a verdict on `waiter` follows within
  /// `QuotaOptions::draw_timeout`, maybe at once.
  [[nodiscard]] QuotaDecision Take(TimePoint now, const TenantId& tenant,
                                   QuotaWaiter waiter);

  /// Returns the token of an operation that did not run.
  void Refund(TimePoint now, const TenantId& tenant);

  /// When a refused client should come back; `spread` between 0 and 1 sets
  /// clients apart.
  [[nodiscard]] Duration RetryAfter(const TenantId& tenant,
                                    double spread) const;

  [[nodiscard]] std::vector<QuotaSend> TakeMessages() {
    return std::exchange(messages_, {});
  }
  [[nodiscard]] std::vector<QuotaVerdict> TakeVerdicts() {
    return ledger_.TakeVerdicts();
  }

  /// State of a tenant for `/state`.
  struct TenantState {
    double stock = 0;         ///< of this instance
    double broker_stock = 0;  ///< handed over to this instance
    InstanceId broker;
  };
  [[nodiscard]] TenantState StateOf(TimePoint now,
                                    const TenantId& tenant) const;

  [[nodiscard]] std::size_t Members(TimePoint now) const {
    return members_.Count(now);
  }
  [[nodiscard]] bool Mints(TimePoint now) const {
    return members_.MintsUntil() > now;
  }

 private:
  void Deliver(TimePoint now);

  InstanceId self_;
  QuotaOptions options_;
  QuotaMembers members_;
  QuotaLedger ledger_;
  QuotaBroker broker_;
  std::vector<QuotaSend> messages_;
};

}  // namespace corianderdock::session
