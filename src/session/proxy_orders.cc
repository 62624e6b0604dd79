#include <algorithm>

#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

/// Shortest interval of reads of the record for an order of another instance.
constexpr Duration kOrderReadInterval = std::chrono::milliseconds(200);
/// Time for which commits of a new primary wait for a read of the record.
constexpr Duration kOrderReadLimit = std::chrono::milliseconds(1000);

}  // namespace

/// Returns the servers under orders, of this or another instance, that are
/// known and may still be executed.
std::set<ServerId> Proxy::ServersUnderOrders(const Service& service) const {
  if (!options_.safety->ExcludeLateOrders()) return {};
  const MemberRecord& record = service.members.record();
  const Duration known = now_ - service.members.order_known_since();
  std::set<ServerId> servers;
  // Once the order is executed, the platform refuses those before.
  const bool executed = options_.failover.tokens_checked &&
                        !record.ordered.empty() &&
                        record.ordered == service.primary;
  if (executed) return {};
  if (!record.ordered.empty() && known < options_.failover.max_order_delay) {
    servers = record.superseded;
    // This instance knows better when its own order has ended.
    if (service.failover.OrderedByAnother(record.order_token)) {
      servers.insert(record.ordered);
    }
  }
  const ServerId own = service.failover.OrderedServer(now_);
  if (!own.empty()) servers.insert(own);
  const ServerId foreign = service.failover.ForeignServer(now_);
  if (!foreign.empty()) servers.insert(foreign);
  return servers;
}

/// Whether an order of another instance may still replace the known primary.
bool Proxy::OrderedElsewhere(const Service& service) const {
  if (service.primary.empty()) return false;
  if (!service.failover.OrderedServer(now_).empty()) return false;
  const auto servers = ServersUnderOrders(service);
  return servers.size() > servers.count(service.primary);
}

/// Whether an order of another instance that may have stopped is known to be
/// recorded still, now that another server leads.
bool Proxy::OrphanedOrder(const Service& service) const {
  return OrderedElsewhere(service) &&
         service.members_current_at > service.primary_since;
}

/// Whether the primary counted as lost so recently that an order given then may
/// still be executed.
bool Proxy::RecentlyDoubted(const Service& service) const {
  return service.primary_doubted_at &&
         now_ - *service.primary_doubted_at < options_.failover.max_order_delay;
}

/// Whether the primary replaced another one so recently that the record must be
/// read for orders given before. If the store doesn't answer, the new primary
/// is relied on.
bool Proxy::RecentlyReplaced(const Service& service) const {
  const auto& asked_at = service.orders_asked_at;
  const bool unanswered = asked_at && now_ - *asked_at >= kOrderReadLimit;
  return service.primary_replaced_at && !unanswered &&
         now_ - *service.primary_replaced_at <
             options_.failover.max_order_delay;
}

/// Whether no order that may still be executed promotes a server which lacks
/// the commit. The fences under which an order was given don't outlast a
/// restart, or the return of a server that was left out, so that replicas may
/// receive entries before it is executed.
bool Proxy::OrdersExcluded(const Service& service,
                           const CommitEvidence::Commit& commit) const {
  const auto ordered = ServersUnderOrders(service);
  if (ordered.size() > ordered.count(service.primary)) {
    return std::all_of(ordered.begin(), ordered.end(), [&](const ServerId& id) {
      return id == service.primary ||
             service.proof.HasReceivedAt(id, commit.position);
    });
  }
  if (!options_.safety->ExcludeLateOrders()) return true;
  const auto current_at = service.members_current_at;
  if (current_at >= commit.acknowledged) return true;
  const bool unknown =
      (RecentlyDoubted(service) && current_at <= service.primary_doubted_at) ||
      (RecentlyReplaced(service) && current_at <= service.primary_replaced_at);
  return !unknown || AllHaveReceived(service, commit.position);
}

/// Whether every server that a claimant could promote has the entry at
/// `position`.
bool Proxy::AllHaveReceived(const Service& service, Position position) const {
  return std::all_of(
      service.servers.begin(), service.servers.end(), [&](const ServerId& id) {
        return id == service.primary || pools_.at(id).superseded ||
               service.proof.HasReceivedAt(id, position);
      });
}

/// Reads the record if held commits wait to learn whether an order was given.
void Proxy::CheckForOrders(Service& service) {
  const bool waits = RecentlyDoubted(service) || RecentlyReplaced(service) ||
                     OrderedElsewhere(service);
  if (waits && !service.orders_asked_at) service.orders_asked_at = now_;
  if (!waits || now_ - orders_read_at_ < kOrderReadInterval) return;
  orders_read_at_ = now_;
  Count("order_reads");
  Emit(ReadMembers{true});
}

}  // namespace corianderdock::session
