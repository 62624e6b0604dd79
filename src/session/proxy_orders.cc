#include <algorithm>

#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

/// Shortest interval of reads of the record for an order of another instance.
constexpr Duration kOrderReadInterval = std::chrono::milliseconds(200);

}  // namespace

/// Returns the servers under orders, of this or another instance, that are
/// known and may still be executed.
std::set<ServerId> Proxy::ServersUnderOrders(const Service& service) const {
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
/// recorded still, now that another server leads. It is completed, so that
/// commits need not wait until it can't be executed any more.
bool Proxy::OrphanedOrder(const Service& service) const {
  return OrderedElsewhere(service) &&
         service.members_current_at > service.primary_since;
}

/// Reads the record for the order of an instance that may have stopped.
void Proxy::CheckForOrders() {
  if (now_ - orders_read_at_ < kOrderReadInterval) return;
  orders_read_at_ = now_;
  Count("order_reads");
  Emit(ReadMembers{true});
}

}  // namespace corianderdock::session
