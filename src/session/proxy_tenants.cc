#include <algorithm>
#include <utility>

#include "corianderdock/session/client_keys.h"
#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

/// Connections to one server that may be opening concurrently for tenants: each
/// occupies a slot of the server.
constexpr int kMaxOpening = 2;

}  // namespace

/// Whether a statement of the tenant may run over a connection. The owner of a
/// shared one chooses its own.
bool Proxy::Serves(const Connection& connection, const TenantId& tenant) const {
  return connection.shared || connection.tenant == tenant ||
         tenant == kOwnCommands || !options_.safety->SeparateTenants();
}

bool Proxy::HasIdle(const ServerPool& pool, const TenantId& tenant) const {
  return std::any_of(pool.idle.begin(), pool.idle.end(), [&](ConnectionId it) {
    return Serves(connections_.at(it), tenant);
  });
}

bool Proxy::HasCapacity(const ServerPool& pool, const TenantId& tenant) const {
  return HasCapacity(pool) && HasIdle(pool, tenant);
}

/// Takes the statement to start next; `pool` is the primary, or null for reads.
/// Statements of tenants without an idle connection don't hold up others.
std::optional<SessionId> Proxy::PopStartable(StatementQueue& queue,
                                             Service& service,
                                             const ServerPool* pool) {
  if (!tenants_seen_) return queue.Pop(now_);
  std::map<TenantId, bool> startable;
  for (const auto& [tenant, n] : queue.tenants()) {
    startable[tenant] =
        pool != nullptr ? HasIdle(*pool, tenant)
                        : ChooseForRead(service, nullptr, tenant) != nullptr;
  }
  return queue.Pop(now_, [&](const TenantId& it) { return startable.at(it); });
}

/// Statements by tenant that wait for a connection to a server.
std::map<TenantId, std::size_t> Proxy::WaitingTenants(const ServerPool& pool) {
  std::map<TenantId, std::size_t> waiting;
  for (const PeerId id : pool.waiting_peers) {
    const auto it = peers_.find(id);
    if (it == peers_.end() || it->second.tenant == kOwnCommands) continue;
    ++waiting[it->second.tenant];
  }
  const Service& service = ServiceOf(pool.entry.service);
  const auto add = [&waiting](const StatementQueue& queue) {
    for (const auto& [tenant, n] : queue.tenants()) waiting[tenant] += n;
  };
  if (service.primary == pool.entry.id) add(service.primary_queue);
  add(service.read_queue);
  return waiting;
}

CacheView Proxy::ViewOf(const ServerPool& pool) {
  using State = CachedConnection::State;
  CacheView view;
  view.limit = ConnectionShare(pool);
  view.slots = pool.entry.slots;
  view.waiting = WaitingTenants(pool);
  for (const ConnectionId id : pool.connections) {
    const Connection& it = connections_.at(id);
    const bool idle =
        std::find(pool.idle.begin(), pool.idle.end(), id) != pool.idle.end();
    view.connections.push_back({id, it.tenant,
                                !it.open ? State::kOpening
                                : idle   ? State::kIdle
                                         : State::kBusy,
                                it.used, it.last_used});
  }
  return view;
}

/// Opens a connection for the waiting statements of a tenant, if necessary in
/// the place of one that another tenant needs least.
void Proxy::OpenForTenant(ServerPool& pool, const TenantId& tenant) {
  if (now_ < pool.connect_after || !InUse(pool)) return;
  if (pool.opening >= kMaxOpening) return;
  const CacheDecision decision = pool.cache.Decide(ViewOf(pool), tenant, now_);
  const bool replaces = decision.action == CacheDecision::Action::kReplace;
  if (!replaces && decision.action != CacheDecision::Action::kOpen) return;
  if (replaces) {
    Count("connections_replaced");
    CloseConnection(decision.closes, false);
  }
  OpenOnPath(pool, pool.relay, false, false, tenant);
}

/// Opens connections to the primary for the tenants whose statements wait for
/// it.
void Proxy::OpenForTenants(ServerPool& pool, const StatementQueue& queue) {
  if (!HasConnectionsOfTenants(pool)) return;
  for (const auto& [tenant, n] : queue.tenants()) {
    if (!HasIdle(pool, tenant)) OpenForTenant(pool, tenant);
  }
}

/// Returns the server to open a connection to: the one in this zone, or else
/// the first.
Proxy::ServerPool* Proxy::NearerOf(ServerPool* a, ServerPool* b) const {
  if (a == nullptr) return b;
  return a->entry.zone != self_.zone && b->entry.zone == self_.zone ? b : a;
}

/// Sets the tenant of the commands that follow on a shared connection.
void Proxy::SetTenant(ConnectionId id, const TenantId& tenant) {
  Connection& connection = connections_.at(id);
  if (!connection.shared || connection.tenant == tenant) return;
  connection.tenant = tenant;
  ServerCommand command;
  command.statement = {Verb::kTenant, tenant, {}};
  SendOne(id, std::move(command), Step::kSetup, false);
}

/// Lets the owner of a shared connection run a command of this instance over
/// any of its connections.
void Proxy::SetTenantForOwn(ConnectionId id, Step step) {
  const bool of_statement = step == Step::kSetup || step == Step::kBegin ||
                            step == Step::kStatement || step == Step::kEnd ||
                            step == Step::kPeer;
  if (!tenants_seen_ || of_statement) return;
  SetTenant(id, TenantId(kOwnCommands));
}

/// Whether a peer may run a command now. Its transaction doesn't change
/// tenants, and no statement of a client runs without a known one.
bool Proxy::MayRun(const Peer& peer, Verb verb) {
  if (verb == Verb::kTenant) return peer.bound_connection == 0;
  const bool statement = verb == Verb::kRead || verb == Verb::kWrite ||
                         verb == Verb::kExecute || verb == Verb::kCommit;
  return peer.tenant != kOwnCommands || !statement;
}

/// Starts waiting commands of other instances in the order of arrival, but
/// passes over those whose tenant has no idle connection, and opens one.
void Proxy::ServeTenantPeers(ServerPool& pool) {
  for (std::size_t n = 0; n < pool.waiting_peers.size();) {
    const PeerId id = pool.waiting_peers[n];
    const auto it = peers_.find(id);
    if (it != peers_.end() && !StartPeerCommand(id, it->second, pool)) {
      ++n;
      continue;
    }
    pool.waiting_peers.erase(pool.waiting_peers.begin() +
                             static_cast<std::ptrdiff_t>(n));
  }
  for (std::size_t n = 0; n < pool.waiting_peers.size(); ++n) {
    const TenantId tenant = peers_.at(pool.waiting_peers[n]).tenant;
    if (HasIdle(pool, tenant)) continue;
    if (tenant == kOwnCommands) {
      OpenIfNeeded(pool, 1);
    } else {
      OpenForTenant(pool, tenant);
    }
  }
}

bool Proxy::IsOwner(const ServerPool& pool) const {
  return std::find(pool.owners.begin(), pool.owners.end(), self_.id) !=
         pool.owners.end();
}

/// Whether this instance runs statements of others in the place of an owner
/// before it.
bool Proxy::StandsIn(const ServerPool& pool) const {
  return pool.plan.one_active && IsOwner(pool) && !pool.shared &&
         pool.relay.empty() && !pool.peers.empty();
}

/// Whether statements take another path than to the active owner although none
/// of other instances depend on it.
bool Proxy::AvoidsActiveOwner(const ServerPool& pool) const {
  const bool uses = pool.shared && pool.relay == pool.owners.front();
  return !uses && !StandsIn(pool);
}

/// Tries the active owner again, or, while the server is failing, the owners in
/// turn, another instance as a relay, and last a direct connection.
void Proxy::ProbeOwnerPath(ServerPool& pool) {
  pool.last_path_probe = now_;
  const auto n = static_cast<std::size_t>(pool.path_probes++);
  const std::size_t turn = pool.failing ? n % (pool.owners.size() + 2) : 0;
  const bool owner = turn < pool.owners.size();
  if (owner && pool.owners[turn] != self_.id) {
    OpenOnPath(pool, pool.owners[turn], true, true);
    return;
  }
  const bool relayed = turn == pool.owners.size();
  OpenOnPath(pool, relayed ? NextRelay(pool) : InstanceId(), false, true);
}

}  // namespace corianderdock::session
