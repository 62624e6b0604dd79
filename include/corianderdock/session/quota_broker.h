/// \file
/// Stock of tokens that other instances handed over.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "corianderdock/session/quota_bound.h"
#include "corianderdock/session/quota_members.h"
#include "corianderdock/session/quota_messages.h"

namespace corianderdock::session {

/// Takes tokens that instances have to spare and grants them to those that need
/// them.
///
/// A token is in one place at a time: tokens are taken only with the sender's
/// last ticket, which is used once, so a repeated or late request adds
/// nothing. The stock of a tenant and its grants that may still arrive stay
/// below this broker's part of `QuotaCaps::broker`. Not thread-safe; times must
/// not decrease.
class QuotaBroker {
 public:
  QuotaBroker(InstanceId self, const QuotaOptions& options)
      : self_(std::move(self)), options_(options) {}

  /// Replaces the limits; stocks above the new caps are clipped when used next.
  void SetTenants(std::shared_ptr<const TenantDirectory> tenants);

  /// Handles a request; returns nothing for one that was handled before.
  [[nodiscard]] std::optional<QuotaAnswer> Handle(TimePoint now,
                                                  const InstanceId& from,
                                                  const QuotaRequest& request,
                                                  const QuotaMembers& members);

  /// Tokens in stock for a tenant.
  [[nodiscard]] double StockOf(const TenantId& tenant) const;

 private:
  struct Grant {
    double amount = 0;
    TimePoint until;  ///< it is void afterwards
  };
  struct Stock {
    double amount = 0;
    std::deque<Grant> grants;  ///< that may still arrive, oldest first
    double granted = 0;        ///< sum of `grants`
    std::uint64_t generation = 0;
    double part = 0;                    ///< of the cap, by this broker's rank
    bool first = false;                 ///< this broker is the tenant's first
    std::optional<TimePoint> asked_at;  ///< last request with this tenant
  };
  struct Sender {
    std::uint64_t boot = 0;
    std::deque<std::uint64_t> numbers;  ///< of its last requests
    std::uint64_t ticket = 0;
    TimePoint ticket_issued;
    std::uint64_t digest = 0;
    std::size_t members = 0;
    std::optional<TimePoint> reported_at;  ///< its list was in use then
  };

  [[nodiscard]] static bool Repeated(const Sender& sender,
                                     const QuotaRequest& request);
  [[nodiscard]] bool Accepts(TimePoint now, Sender& sender,
                             const QuotaRequest& request);
  Stock& Refresh(TimePoint now, const Tenant& tenant,
                 const QuotaMembers& members);
  [[nodiscard]] double CapOf(TimePoint now, const Tenant& tenant,
                             const Stock& stock,
                             const QuotaMembers& members) const;
  [[nodiscard]] QuotaAnswerItem Trade(TimePoint now, const Tenant& tenant,
                                      const QuotaRequestItem& item, bool valid,
                                      bool urgent, const QuotaMembers& members);
  void FindWanted(TimePoint now, const QuotaMembers& members);
  void FindAgreement(TimePoint now, const QuotaMembers& members);

  InstanceId self_;
  QuotaOptions options_;
  std::shared_ptr<const TenantDirectory> tenants_;
  std::unordered_map<TenantId, Stock> stocks_;
  std::map<InstanceId, Sender> senders_;
  std::uint64_t next_ticket_ = 1;
  std::vector<TenantId> wanted_;
  std::optional<TimePoint> wanted_at_;
  std::optional<TimePoint> agreement_checked_at_;
  std::uint64_t agreed_digest_ = 0;
  std::size_t agreed_members_ = 0;
};

}  // namespace corianderdock::session
