/// \file
/// An instance's own stock of tokens.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "corianderdock/session/quota_bound.h"
#include "corianderdock/session/quota_members.h"
#include "corianderdock/session/quota_messages.h"

namespace corianderdock::session {

/// An operation that waits for a token.
using QuotaWaiter = std::uint64_t;

/// Result of asking for a token.
enum class QuotaDecision {
  kTaken,    ///< the operation may start
  kWaits,    ///< a verdict follows
  kRefused,  ///< the tenant is over its quota
};

/// What became of an operation that waited.
struct QuotaVerdict {
  QuotaWaiter waiter = 0;
  TenantId tenant;
  bool granted = false;
};

/// A request to a broker.
struct QuotaRequestTo {
  InstanceId broker;
  QuotaRequest request;
};

/// Mints this instance's share of each tenant's tokens, hands over what it has
/// to spare, and asks brokers for what its operations need.
///
/// The stock of a tenant and the tokens in requests that may still arrive stay
/// below `QuotaCaps::own`. Tokens are handed over under a ticket of the broker,
/// so that those in a request are void a known time later. Not thread-safe;
/// times must not decrease.
class QuotaLedger {
 public:
  /// `boot` differs between processes of this instance.
  QuotaLedger(std::uint64_t boot, const QuotaOptions& options)
      : boot_(boot), options_(options) {}

  /// Replaces the limits; stocks above the new caps are clipped at once.
  void SetTenants(TimePoint now, std::shared_ptr<const TenantDirectory> tenants,
                  const QuotaMembers& members);

  /// Mints for all tenants; to be called before `members` changes.
  void MintAll(TimePoint now, const QuotaMembers& members);

  /// Takes a token for an operation, or makes it wait for a broker.
  [[nodiscard]] QuotaDecision Take(TimePoint now, const TenantId& tenant,
                                   QuotaWaiter waiter,
                                   const QuotaMembers& members);

  /// Returns the token of an operation that did not run.
  void Refund(TimePoint now, const TenantId& tenant,
              const QuotaMembers& members);

  /// Handles the answer of a broker.
  void OnAnswer(TimePoint now, const InstanceId& broker,
                const QuotaAnswer& answer, QuotaMembers& members);

  /// Sends reports that are due and ends waits and requests without an answer.
  /// To be called at least every 50 ms, and as often while operations wait.
  void Tick(TimePoint now, const QuotaMembers& members);

  [[nodiscard]] std::vector<QuotaRequestTo> TakeRequests() {
    return std::exchange(requests_, {});
  }
  [[nodiscard]] std::vector<QuotaVerdict> TakeVerdicts() {
    return std::exchange(verdicts_, {});
  }

  /// Expected time until a refused operation of `tenant` gets a token.
  [[nodiscard]] Duration RetryAfter(const TenantId& tenant) const;

  /// Tokens in stock for a tenant.
  [[nodiscard]] double StockOf(const TenantId& tenant) const;

  /// Broker that would be asked for tokens of `tenant`; empty if none is.
  [[nodiscard]] InstanceId BrokerOf(TimePoint now, const TenantId& tenant,
                                    const QuotaMembers& members) const;

 private:
  struct Waiting {
    QuotaWaiter waiter = 0;
    TimePoint since;
  };
  struct Account {
    const Tenant* tenant = nullptr;
    double stock = 0;
    double in_flight = 0;  ///< handed over, and maybe not arrived yet
    TimePoint minted_at;
    double demand_per_s = 0;  ///< moving average of operations asked for
    TimePoint demand_at;
    std::deque<Waiting> waiting;
    std::uint64_t draw = 0;  ///< number of the request; 0 if none
    std::uint64_t second_draw = 0;
    bool second_tried = false;
    TimePoint drawn_at;
    TimePoint draw_after;
    std::uint64_t generation = 0;
    std::vector<InstanceId> brokers;
  };
  struct Request {
    InstanceId broker;
    TimePoint sent;
    std::vector<std::pair<TenantId, double>> gives;
    TimePoint gives_until;  ///< they are void afterwards
    bool judged = false;    ///< its broker was passed over for it
  };
  struct Broker {
    std::uint64_t ticket = 0;
    TimePoint ticket_received;
    std::optional<TimePoint> reported_at;
    int unanswered = 0;  ///< requests since its last answer
    std::optional<TimePoint> passed_over_until;
    std::set<TenantId> wanted;
  };

  Account* Find(const TenantId& tenant);
  void Mint(TimePoint now, Account& account, const QuotaMembers& members) const;
  void Clip(TimePoint now, Account& account, const QuotaMembers& members) const;
  void NoteDemand(TimePoint now, Account& account) const;
  [[nodiscard]] double DemandAt(TimePoint now, const Account& account) const;
  [[nodiscard]] const std::vector<InstanceId>& BrokersOf(
      Account& account, const QuotaMembers& members) const;
  [[nodiscard]] InstanceId UsableBroker(TimePoint now,
                                        const std::vector<InstanceId>& brokers,
                                        const InstanceId& except) const;
  std::uint64_t Draw(TimePoint now, Account& account, const InstanceId& broker,
                     const QuotaMembers& members);
  QuotaRequest& Send(TimePoint now, const InstanceId& broker,
                     const QuotaMembers& members);
  void ServeWaiting(Account& account);
  void RefuseWaiting(Account& account);
  void EndDraw(TimePoint now, Account& account, const QuotaMembers& members);
  void Restore(TimePoint now, const Request& request,
               const QuotaAnswer& answer);
  void CheckRequests(TimePoint now, bool late);
  void CheckWaiting(TimePoint now, Account& account,
                    const QuotaMembers& members);
  void Report(TimePoint now, const QuotaMembers& members);
  void AddItem(TimePoint now, Account& account, Broker& broker,
               const QuotaMembers& members, QuotaRequest& request,
               Request& pending) const;

  std::uint64_t boot_;
  QuotaOptions options_;
  std::shared_ptr<const TenantDirectory> tenants_;
  std::unordered_map<TenantId, Account> accounts_;
  std::set<TenantId> waiting_;
  std::map<InstanceId, Broker> brokers_;
  std::map<std::uint64_t, Request> pending_;
  std::uint64_t next_number_ = 1;
  std::optional<TimePoint> ticked_at_;
  std::vector<QuotaRequestTo> requests_;
  std::vector<QuotaVerdict> verdicts_;
};

}  // namespace corianderdock::session
