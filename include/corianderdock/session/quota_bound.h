/// \file
/// Bound on a tenant's operations over all instances, and how the instances
/// share the tokens that it allows.
#pragma once

#include <cstddef>
#include <cstdint>

#include "corianderdock/session/model.h"

namespace corianderdock::session {

/// In any `window`, the operations of a tenant over all instances are at most
/// (`rate_per_s` x window + `burst`) x (1 + `excess`) + `slack`.
struct QuotaBound {
  Duration window{0};  ///< 0: operations aren't counted
  double excess = 0;
  double slack = 0;
};

/// Limits and times of the quota of all tenants.
struct QuotaOptions {
  QuotaBound bound;
  /// An instance that left the list counts for this time, as it may still mint.
  Duration member_retention = std::chrono::seconds(20);
  /// An instance mints for this time after it was last known to be counted by
  /// all others. The rest of `member_retention` covers the age of the lists.
  Duration evidence_validity = std::chrono::seconds(15);
  /// Interval of reports to a broker; `idle_report_interval` while no
  /// operation of its tenants starts and it wants no tokens.
  Duration report_interval = std::chrono::milliseconds(250);
  Duration idle_report_interval = std::chrono::milliseconds(750);
  /// Interval of reports until this instance may mint.
  Duration joining_report_interval = std::chrono::milliseconds(100);
  /// Age of the oldest member's report up to which a broker states that all
  /// members use one list; above `idle_report_interval`.
  Duration agreement_age = std::chrono::milliseconds(2500);
  /// Tokens that a broker grants are valid for this time after the request was
  /// sent.
  Duration grant_validity = std::chrono::milliseconds(150);
  /// Tokens are handed to a broker under a ticket of this age at most.
  Duration ticket_validity = std::chrono::milliseconds(1000);
  /// Longest wait of an operation for a broker, and the part of it after which
  /// the next broker is asked too.
  Duration draw_timeout = std::chrono::milliseconds(100);
  Duration second_draw_after = std::chrono::milliseconds(50);
  /// Time for which a broker that did not answer is passed over.
  Duration broker_pause = std::chrono::seconds(2);
  /// Time for which a broker isn't asked again after it had too few tokens.
  Duration shortage_pause = std::chrono::milliseconds(100);
  /// Time within which an operation that has a token usually starts at a
  /// server; what is minted meanwhile counts as held.
  Duration start_delay = std::chrono::milliseconds(300);
  /// Brokers of the fleet, and instances for each of them in small fleets.
  std::size_t max_brokers = 8;
  std::size_t instances_per_broker = 4;
};

/// Most tokens of one tenant that an instance holds, including those in
/// messages that it sent and that may still arrive.
struct QuotaCaps {
  double own = 0;     ///< minted by it or drawn from a broker
  double broker = 0;  ///< handed over to it, as the tenant's first broker
};

/// Returns the caps for a tenant with a rate, with `members` instances. Where
/// instances count differently, `own` holds for the higher number and `broker`
/// for the lower one.
/// docs/design/quotas.md derives them. Thread-safe.
[[nodiscard]] QuotaCaps CapsOf(const Tenant& tenant,
                               const QuotaOptions& options,
                               std::size_t members);

/// Returns the part of `QuotaCaps::broker` that the broker of rank `rank` may
/// hold; 0 is the tenant's first broker. Thread-safe.
[[nodiscard]] double BrokerPart(std::size_t rank);

}  // namespace corianderdock::session
