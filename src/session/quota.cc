#include "corianderdock/session/quota.h"

#include <algorithm>

namespace corianderdock::session {

namespace {

/// Refused clients come back between this part of the expected time and that
/// part plus one.
constexpr double kLeastSpread = 0.75;
constexpr double kSpread = 0.5;

}  // namespace

Quota::Quota(InstanceId self, std::uint64_t boot, const QuotaOptions& options)
    : self_(self),
      options_(options),
      members_(self, options),
      ledger_(boot, options),
      broker_(std::move(self), options) {}

void Quota::OnTenants(TimePoint now,
                      std::shared_ptr<const TenantDirectory> tenants) {
  broker_.SetTenants(tenants);
  ledger_.SetTenants(now, std::move(tenants), members_);
}

void Quota::OnInstances(TimePoint now, const InstanceList& instances,
                        bool self_listed) {
  // What was minted until now was minted with the previous list.
  ledger_.MintAll(now, members_);
  members_.OnList(now, instances, self_listed);
}

void Quota::OnMessage(TimePoint now, const InstanceId& from,
                      const QuotaMessage& message) {
  if (const auto* answer = std::get_if<QuotaAnswer>(&message)) {
    ledger_.OnAnswer(now, from, *answer, members_);
  } else if (const auto* request = std::get_if<QuotaRequest>(&message)) {
    auto reply = broker_.Handle(now, from, *request, members_);
    if (reply) messages_.push_back({from, std::move(*reply)});
  }
  Deliver(now);
}

void Quota::Tick(TimePoint now) {
  ledger_.Tick(now, members_);
  Deliver(now);
}

QuotaDecision Quota::Take(TimePoint now, const TenantId& tenant,
                          QuotaWaiter waiter) {
  const QuotaDecision decision = ledger_.Take(now, tenant, waiter, members_);
  Deliver(now);
  return decision;
}

void Quota::Refund(TimePoint now, const TenantId& tenant) {
  ledger_.Refund(now, tenant, members_);
}

Duration Quota::RetryAfter(const TenantId& tenant, double spread) const {
  const double part = kLeastSpread + kSpread * std::clamp(spread, 0.0, 1.0);
  return std::chrono::duration_cast<Duration>(ledger_.RetryAfter(tenant) *
                                              part);
}

Quota::TenantState Quota::StateOf(TimePoint now, const TenantId& tenant) const {
  return {ledger_.StockOf(tenant), broker_.StockOf(tenant),
          ledger_.BrokerOf(now, tenant, members_)};
}

/// Passes on the ledger's requests; those to this instance's own broker are
/// answered at once.
void Quota::Deliver(TimePoint now) {
  for (auto requests = ledger_.TakeRequests(); !requests.empty();
       requests = ledger_.TakeRequests()) {
    for (QuotaRequestTo& it : requests) {
      if (it.broker != self_) {
        messages_.push_back({it.broker, std::move(it.request)});
        continue;
      }
      const auto answer = broker_.Handle(now, self_, it.request, members_);
      if (answer) ledger_.OnAnswer(now, self_, *answer, members_);
    }
  }
}

}  // namespace corianderdock::session
