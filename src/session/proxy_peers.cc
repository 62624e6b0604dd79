#include <algorithm>
#include <utility>
#include <vector>

#include "corianderdock/session/client_keys.h"
#include "corianderdock/session/proxy.h"
#include "corianderdock/session/weighted_owners.h"

namespace corianderdock::session {

namespace {

/// Owners that are tried in succession before the server counts as failing.
constexpr int kMaxOwnerFailures = 3;

}  // namespace

void Proxy::UpdateAdaptive() {
  const bool tenants = config_ && config_->tenants;
  const bool on = options_.adaptive_routing.value_or(
      tenants || InstancesDiffer(instances_));
  if (on == adaptive_) return;
  adaptive_ = on;
  Log("adaptive routing changed on=" + std::to_string(static_cast<int>(on)));
}

void Proxy::PlanPaths() {
  UpdateAdaptive();
  for (auto& [id, pool] : pools_) PlanPath(pool);
}

/// Decides whether this instance connects to a server itself or forwards to an
/// instance that does.
void Proxy::PlanPath(ServerPool& pool) {
  const auto service = services_.find(pool.entry.service);
  if (instances_.empty() || service == services_.end()) return;
  const auto make_plan = HasTenants() ? PlanTenantConnections
                         : adaptive_  ? PlanWeightedOwners
                                      : PlanConnections;
  ConnectionPlan plan =
      make_plan(pool.entry, service->second.limits.max_connections,
                options_.reserved_connections, instances_);
  if (plan == pool.plan) return;
  pool.plan = std::move(plan);
  pool.owners = pool.plan.one_active ? pool.plan.owners
                : pool.plan.ordered
                    ? OwnersBefore(self_.id, pool.plan)
                    : OwnersInOrder(self_.id, pool.entry.id, pool.plan.owners);
  if (ForwardsTo(pool)) {
    const auto owner =
        std::find(pool.owners.begin(), pool.owners.end(), pool.relay);
    const bool any_kept = !pool.plan.one_active && owner != pool.owners.end();
    const bool path_kept =
        pool.shared && (any_kept || owner == pool.owners.begin());
    if (path_kept || pool.failing || StandsIn(pool)) return;
    return SwitchPath(pool, pool.owners.front(), true);
  }
  if (pool.shared) SwitchPath(pool, {}, false);
}

/// Whether statements for a server go to another instance that connects to it.
bool Proxy::ForwardsTo(const ServerPool& pool) const {
  if (pool.owners.empty()) return false;
  if (pool.plan.one_active) return pool.owners.front() != self_.id;
  return !IsOwner(pool);
}

/// Whether this instance stands in while no owner of a server can be reached.
bool Proxy::IsReserve(const ServerPool& pool) const {
  const auto& reserves = pool.plan.reserves;
  return std::find(reserves.begin(), reserves.end(), self_.id) !=
         reserves.end();
}

/// Whether the loss of a shared connection is one of the path in use. Several
/// connections to one owner are lost together, which is one loss of the path.
bool Proxy::PathLost(const ServerPool& pool,
                     const Connection& connection) const {
  if (!SearchesOwners(pool)) return true;
  return pool.shared && connection.relay == pool.relay;
}

/// Whether to look for another owner after a path through one was lost.
bool Proxy::SearchOwner(ServerPool& pool, OwnerLoss loss) {
  const int owners = static_cast<int>(pool.owners.size());
  const int lost = ++pool.owner_failures;
  if (!SearchesOwners(pool)) return lost < std::min(kMaxOwnerFailures, owners);
  const bool starting = now_ - started_at_ < options_.stale_connection_time;
  const SearcherKind searcher = starting          ? SearcherKind::kStarts
                                : IsReserve(pool) ? SearcherKind::kStandsIn
                                                  : SearcherKind::kForwards;
  const OwnerStep step = pool.owner_search.OnLost(
      now_, loss, owners, searcher, options_.owner_search,
      SpreadOf(self_.id, pool.entry.id, lost));
  pool.connect_after = std::max(pool.connect_after, now_ + step.pause);
  return !step.give_up;
}

/// Switches to the next owner after a shared path failed. Returns false when
/// several have failed in succession, so that the server may have.
bool Proxy::TryNextOwner(ServerPool& pool, OwnerLoss loss) {
  if (!ForwardsTo(pool) || pool.failing) return false;
  if (!SearchOwner(pool, loss)) return false;
  const auto at = std::find(pool.owners.begin(), pool.owners.end(), pool.relay);
  const std::size_t next =
      at == pool.owners.end()
          ? 0
          : static_cast<std::size_t>(at - pool.owners.begin() + 1);
  Count("owners_changed");
  const InstanceId& owner = pool.owners[next % pool.owners.size()];
  // The owner that failed is tried again after the full interval.
  if (pool.plan.one_active) pool.last_path_probe = now_;
  if (owner == self_.id) {
    SwitchPath(pool, {}, false);
  } else {
    SwitchPath(pool, owner, true);
  }
  services_to_dispatch_.insert(pool.entry.service);
  return true;
}

void Proxy::On(const PeerOpened& event) {
  const auto it = pools_.find(event.server);
  const bool known = it != pools_.end() && MayServe(it->second) &&
                     it->second.entry.service == event.service;
  if (!known) {
    return Emit(ClosePeer{event.peer, ErrorCode::kMisrouted});
  }
  ServerPool& pool = it->second;
  // The instance that connects has found no owner before this one.
  const bool stands_in = pool.shared && pool.plan.one_active && IsOwner(pool) &&
                         !stop_requested_at_;
  if (stands_in) {
    Count("owners_standing_in");
    SwitchPath(pool, {}, false);
  }
  // It may open none yet; another owner may.
  if (!pool.shared && ConnectionShare(pool) == 0) {
    return Emit(ClosePeer{event.peer, ErrorCode::kMisrouted});
  }
  // A command is forwarded at most once.
  if (pool.shared || pool.failing || stop_requested_at_) {
    return Emit(ClosePeer{event.peer, ErrorCode::kTooMany});
  }
  peers_[event.peer].server = event.server;
  pool.peers.insert(event.peer);
  Count("peers_opened");
  Reply reply;
  reply.position = pool.log_position;
  Emit(AnswerPeer{event.peer, std::move(reply)});
}

void Proxy::On(const PeerCommand& event) {
  const auto it = peers_.find(event.peer);
  if (it == peers_.end() || it->second.drained) return;
  it->second.commands.push_back(event.command);
  if (it->second.commands.size() == 1) RunNextCommand(it->first, it->second);
}

void Proxy::On(const PeerClosed& event) {
  const auto it = peers_.find(event.peer);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  ServerPool& pool = pools_.at(peer.server);
  const ConnectionId connection = std::exchange(peer.bound_connection, 0);
  if (connection != 0 && connections_.contains(connection)) {
    connections_.at(connection).bound_peer = 0;
    if (peer.running) {
      // A reply is outstanding, so the connection cannot be reused.
      CloseConnection(connection, false);
    } else {
      ServerCommand rollback;
      rollback.statement.verb = Verb::kRollback;
      SendOne(connection, std::move(rollback), Step::kEnd, false);
    }
  }
  pool.peers.erase(event.peer);
  std::erase(pool.waiting_peers, event.peer);
  peers_.erase(event.peer);
}

void Proxy::AnswerPeerLocally(PeerId id, Peer& peer, ErrorCode error) {
  Reply reply;
  reply.error = error;
  reply.position = pools_.at(peer.server).log_position;
  if (peer.bound_connection != 0) reply.state = TransactionState::kOpen;
  peer.commands.pop_front();
  Emit(AnswerPeer{id, std::move(reply)});
}

ErrorCode Proxy::StoreValue(Peer& peer, const Statement& statement) const {
  const bool known = peer.values.contains(statement.name);
  if (!known && peer.values.size() >= options_.max_session_values) {
    return ErrorCode::kBad;
  }
  peer.values[statement.name] = statement.text;
  return ErrorCode::kNone;
}

/// The names are those of the instance that forwards, which drops one before it
/// exceeds the limit.
ErrorCode Proxy::StorePrepared(Peer& peer, const Statement& statement) {
  const bool known = peer.prepared.contains(statement.name);
  if (!known &&
      peer.prepared.size() >= ConnectionState::kMaxPreparedStatements) {
    return ErrorCode::kBad;
  }
  peer.prepared[statement.name] = {statement.verb == Verb::kPrepareWrite,
                                   statement.text};
  return ErrorCode::kNone;
}

/// Runs the oldest commands of a peer until one needs the server.
void Proxy::RunNextCommand(PeerId id, Peer& peer) {
  while (!peer.commands.empty() && !peer.running) {
    const Statement& statement = peer.commands.front().statement;
    if (!MayRun(peer, statement.verb)) {
      Count("peers_refused_tenant");
      Warn("shared connection closed server=" + peer.server +
           " reason=command without a tenant verb=" + NameOf(statement.verb));
      return ClosePeerOf(id);
    }
    switch (statement.verb) {
      case Verb::kTenant:
        peer.tenant = statement.name;
        AnswerPeerLocally(id, peer);
        continue;
      case Verb::kSet:
        AnswerPeerLocally(id, peer, StoreValue(peer, statement));
        continue;
      case Verb::kPrepareRead:
      case Verb::kPrepareWrite:
        AnswerPeerLocally(id, peer, StorePrepared(peer, statement));
        continue;
      case Verb::kForget:
        AnswerPeerLocally(id, peer,
                          peer.prepared.erase(statement.name) == 0
                              ? ErrorCode::kNoStatement
                              : ErrorCode::kNone);
        continue;
      case Verb::kExecute:
        if (peer.prepared.contains(statement.name)) break;
        AnswerPeerLocally(id, peer, ErrorCode::kNoStatement);
        continue;
      case Verb::kReset:
        peer.values.clear();
        peer.prepared.clear();
        AnswerPeerLocally(id, peer);
        continue;
      case Verb::kRollback:
        if (peer.bound_connection != 0) break;
        AnswerPeerLocally(id, peer);
        continue;
      default:
        break;
    }
    ServerPool& pool = pools_.at(peer.server);
    if (StartPeerCommand(id, peer, pool)) return;
    if (pool.waiting_peers.size() >= options_.max_waiting_peers) {
      Reply busy;
      busy.error = ErrorCode::kBusy;
      busy.position = pool.log_position;
      peer.commands.pop_front();
      Count("peers_refused");
      Emit(AnswerPeer{id, std::move(busy)});
      continue;
    }
    peer.waiting_since = now_;
    pool.waiting_peers.push_back(id);
    services_to_dispatch_.insert(pool.entry.service);
    return;
  }
}

std::optional<PreparedStatement> Proxy::PreparedOf(
    const Peer& peer, const ServerCommand& command) const {
  if (command.statement.verb != Verb::kExecute) return std::nullopt;
  const auto it = peer.prepared.find(command.statement.name);
  if (it == peer.prepared.end()) return std::nullopt;
  return it->second;
}

/// Sends the oldest command of a peer over its connection, or an idle one.
/// Returns false when there is none.
bool Proxy::StartPeerCommand(PeerId id, Peer& peer, ServerPool& pool) {
  const auto prepared = PreparedOf(peer, peer.commands.front());
  if (peer.bound_connection == 0) {
    if (pool.shared || !HasCapacity(pool, peer.tenant)) return false;
    const ConnectionId connection =
        TakeIdle(pool, peer.tenant, peer.values, prepared);
    if (connection == 0) return false;
    peer.bound_connection = connection;
    connections_.at(connection).bound_peer = id;
  }
  peer.running = true;
  auto setup = connections_.at(peer.bound_connection)
                   .state.Synchronize(peer.values, prepared);
  peer.awaits_setup = !setup.empty();
  Send(peer.bound_connection, std::move(setup), Step::kSetup);
  if (!peer.awaits_setup) SendPeerCommand(id, peer);
  return true;
}

/// Sends the oldest command of a peer over its connection, which is set up.
void Proxy::SendPeerCommand(PeerId id, Peer& peer) {
  // An instance's own commands need no key, and ROLLBACK runs nothing.
  const bool keyed = !peer.tenant.empty() && peer.tenant != kOwnCommands &&
                     peer.commands.front().statement.verb != Verb::kRollback &&
                     EvidenceNeeded();
  if (keyed && !ConfigIsRecent()) return RefusePeerWithoutEvidence(id, peer);
  ServerCommand command = peer.commands.front();
  const Verb verb = command.statement.verb;
  const auto prepared = PreparedOf(peer, command);
  const bool reads = verb == Verb::kRead || (prepared && !prepared->writes);
  const bool begins = verb == Verb::kBegin || verb == Verb::kBeginRead;
  const bool in_transaction =
      connections_.at(peer.bound_connection).in_transaction;
  if (prepared) {
    command.statement.name = connections_.at(peer.bound_connection)
                                 .state.ServerStatementName(*prepared);
  }
  SendOne(peer.bound_connection, std::move(command), Step::kPeer, false);
  connections_.at(peer.bound_connection).expected.back().repeatable =
      begins || (reads && !in_transaction);
}

void Proxy::OnPeerReply(ConnectionId id, Reply reply) {
  Connection& connection = connections_.at(id);
  ServerPool& pool = pools_.at(connection.server);
  const auto it = peers_.find(connection.bound_peer);
  if (it == peers_.end()) return CloseConnection(id, false);
  const PeerId peer_id = it->first;
  Peer& peer = it->second;
  peer.running = false;
  if (peer.commands.front().statement.verb == Verb::kStatus) {
    const auto since =
        ServiceOf(pool.entry.service).quorum.RunningSince(peer.server);
    reply.running_for = now_ - std::min(since.value_or(connection.opened_at),
                                        connection.opened_at);
  }
  peer.commands.pop_front();
  if (reply.error == ErrorCode::kNoStatement) connection.state.Invalidate();
  if (reply.error == ErrorCode::kBusy) {
    NoteRefusal(pool, reply.error);
  } else if (reply.error == ErrorCode::kNone) {
    RaiseConcurrencyLimit(pool);
  }
  if (reply.state == TransactionState::kIdle) ReleasePeerConnection(peer);
  Emit(AnswerPeer{peer_id, std::move(reply)});
  RunNextCommand(peer_id, peer);
}

/// Unbinds the connection of a peer between transactions.
void Proxy::ReleasePeerConnection(Peer& peer) {
  const ConnectionId id = std::exchange(peer.bound_connection, 0);
  if (id == 0) return;
  connections_.at(id).bound_peer = 0;
  ReturnToPool(id);
}

void Proxy::ServeWaitingPeers(ServerPool& pool) {
  if (tenants_seen_) return ServeTenantPeers(pool);
  while (!pool.waiting_peers.empty()) {
    const PeerId id = pool.waiting_peers.front();
    const auto it = peers_.find(id);
    if (it == peers_.end()) {
      pool.waiting_peers.pop_front();
      continue;
    }
    if (!StartPeerCommand(id, it->second, pool)) {
      if (pool.idle.empty()) OpenIfNeeded(pool, pool.waiting_peers.size());
      return;
    }
    pool.waiting_peers.pop_front();
  }
}

/// Refuses commands that have waited too long, so that their instance can try
/// another server or refuse the client's statement in time.
void Proxy::RefuseLatePeers(ServerPool& pool) {
  if (pool.shared || stop_requested_at_) DrainPeers(pool);
  while (!pool.waiting_peers.empty()) {
    const PeerId id = pool.waiting_peers.front();
    const auto it = peers_.find(id);
    if (it != peers_.end()) {
      Peer& peer = it->second;
      if (now_ - peer.waiting_since < PeerWait(pool)) return;
      Reply busy;
      busy.error = ErrorCode::kBusy;
      busy.position = pool.log_position;
      if (peer.bound_connection != 0) busy.state = TransactionState::kOpen;
      peer.commands.pop_front();
      Count("peers_refused");
      Emit(AnswerPeer{id, std::move(busy)});
    }
    pool.waiting_peers.pop_front();
    if (it != peers_.end()) RunNextCommand(id, it->second);
  }
}

void Proxy::ClosePeerOf(PeerId id) {
  Emit(ClosePeer{id, ErrorCode::kNone});
  On(PeerClosed{id});
}

/// Closes the shared connections to a failing server, so that other instances
/// look for another path.
void Proxy::ClosePeersOf(ServerPool& pool) {
  for (const PeerId id : std::set<PeerId>(pool.peers)) ClosePeerOf(id);
}

/// Tells instances between transactions to use another owner. Their commands
/// that arrive from then on are not run, so that the notice answers the first
/// of them truthfully.
void Proxy::DrainPeers(ServerPool& pool) {
  for (const PeerId id : pool.peers) {
    Peer& peer = peers_.at(id);
    if (peer.drained || peer.running || peer.bound_connection != 0) continue;
    peer.drained = true;
    peer.commands.clear();
    std::erase(pool.waiting_peers, id);
    Count("peers_drained");
    Reply notice;
    notice.error = ErrorCode::kTooMany;
    Emit(AnswerPeer{id, std::move(notice)});
  }
}

bool Proxy::PeersBound() const {
  return std::any_of(peers_.begin(), peers_.end(), [](const auto& it) {
    return it.second.running || it.second.bound_connection != 0;
  });
}

/// Closes a shared connection whose owner leaves. Nothing outstanding on it was
/// run.
void Proxy::OnOwnerDraining(ConnectionId id) {
  const Connection& connection = connections_.at(id);
  ServerPool& pool = pools_.at(connection.server);
  const SessionId session = connection.bound_session;
  const ServerId server = connection.server;
  const bool current = connection.relay == pool.relay && pool.shared;
  Log("shared connection drained server=" + connection.server +
      " owner=" + connection.relay);
  CloseConnection(id, false);
  if (current) TryNextOwner(pool);
  const auto it = sessions_.find(session);
  if (it == sessions_.end()) return;
  if (!it->second.pending || !it->second.pending->sent) {
    return FailLostConnection(session, it->second, server);
  }
  it->second.bound_connection = 0;
  FailAttempt(session, it->second, AttemptEnd::kNotRun, ErrorCode::kTooMany,
              "the owner of the connection leaves");
}

}  // namespace corianderdock::session
