#include <algorithm>
#include <utility>

#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

/// Connections to one server that may be opening concurrently.
constexpr int kMaxOpening = 2;
/// Interval of reconnects to a failing server.
constexpr Duration kReconnectInterval = std::chrono::milliseconds(200);
/// Interval of probes of a server that left the list but still answers.
constexpr Duration kUnlistedProbeInterval = std::chrono::milliseconds(500);
/// Doublings of the interval at which an instance that forwards reconnects.
constexpr int kMaxRetryDoublings = 3;
/// Time in which an instance that starts usually finds a connection.
constexpr Duration kConnectTime = std::chrono::milliseconds(200);
/// How long a connection cap learned from a full server applies.
constexpr Duration kConnectionCapDuration = std::chrono::milliseconds(500);

/// Setup commands that another connection may cost instead of one whose last
/// error came at the newest log position.
constexpr std::size_t kRefusedDistance = 4;
/// Longest text of a client in a log line.
constexpr std::size_t kMaxExcerpt = 64;

/// Returns the beginning of a client's text as printable characters.
std::string Excerpt(std::string_view text) {
  std::string excerpt(text.substr(0, kMaxExcerpt));
  for (char& it : excerpt) {
    if (it < ' ' || it > '~') it = '?';
  }
  return text.size() > kMaxExcerpt ? excerpt + "..." : excerpt;
}

bool UsesSlot(Verb verb) {
  return verb == Verb::kRead || verb == Verb::kWrite ||
         verb == Verb::kExecute || verb == Verb::kCommit;
}

}  // namespace

void Proxy::On(const ServersRead& event) {
  for (auto& [id, pool] : pools_) {
    if (event.servers.contains(id)) continue;
    if (!pool.listed) continue;
    Warn("server unlisted id=" + id);
    pool.unlisted_at = now_;
    pool.listed = false;
  }
  for (const auto& [id, entry] : event.servers) {
    ServerPool& pool = pools_[id];
    const bool added = pool.entry.id.empty();
    const bool replaced =
        !added && (pool.entry.address != entry.address ||
                   pool.entry.process_start != entry.process_start);
    if (added || !(pool.entry == entry)) {
      const bool joins = servers_known_ && (added || replaced);
      const bool drains = entry.draining && !pool.entry.draining;
      const std::string text =
          "server listed id=" + id + " service=" + entry.service +
          " zone=" + entry.zone +
          " draining=" + std::to_string(static_cast<int>(entry.draining)) +
          " primary=" + std::to_string(static_cast<int>(entry.claims_primary));
      if (joins || drains) {
        Warn(text);
      } else {
        Log(text);
      }
    }
    if (entry.draining && !pool.entry.draining) pool.draining_since = now_;
    const bool restarted =
        replaced && pool.entry.process_start != entry.process_start;
    pool.entry = entry;
    pool.listed = true;
    pool.superseded = false;
    if (replaced) pool.received.reset();
    if (added || replaced) RestartPace(pool);
    if (added) {
      pool.concurrency_limit = entry.slots;
      pool.known_since = now_;
    }
    pool.renewed = pool.renewed || event.renewed.contains(id);
    NoteWitness(pool, added, restarted);
    if (replaced) {
      const auto connections = pool.connections;
      for (const ConnectionId it : connections) CloseConnection(it, true);
      pool.failing = false;
      pool.repeats_replies = false;
      pool.covered_by.reset();
    }
    PlanPath(pool);
    Service& service = ServiceOf(entry.service);
    service.servers.insert(id);
    if (service.primary.empty() && entry.claims_primary && !entry.draining) {
      service.primary = id;
      service.primary_since = now_;
    }
    services_to_dispatch_.insert(entry.service);
  }
  NoteSuperseded();
  servers_read_at_ = event.as_of.value_or(now_);
  servers_known_ = servers_known_ || !event.servers.empty();
  server_list_complete_ = event.complete;
  if (event.complete && !list_complete_since_) list_complete_since_ = now_;
}

/// Finds the servers that left the list and whose address another server of the
/// service has by now. A server that takes the place of another one, or that
/// starts again, may do so under a new id; it has the log, if that still
/// exists.
void Proxy::NoteSuperseded() {
  std::map<std::pair<ServiceId, std::string>, ServerId> listed;
  for (const auto& [id, pool] : pools_) {
    if (pool.listed) listed[{pool.entry.service, pool.entry.address}] = id;
  }
  for (auto& [id, pool] : pools_) {
    if (pool.listed || pool.superseded) continue;
    const auto it = listed.find({pool.entry.service, pool.entry.address});
    if (it == listed.end()) continue;
    pool.superseded = true;
    // A log that lacks entries of the one before was lost.
    if (pool.newest_end) {
      NoteLogPosition(pools_.at(it->second), *pool.newest_end, now_);
    }
    Warn("server superseded id=" + id + " by=" + it->second);
  }
}

int Proxy::ConnectionShare(const ServerPool& pool) const {
  if (pool.shared) {
    return HasTenants() ? options_.tenant_forwarded_connections
                        : options_.forwarded_connections;
  }
  // How many instances share the server is unknown until they are listed.
  if (instances_.empty()) {
    return now_ - pool.known_since < options_.instances_wait ? 0 : 1;
  }
  const bool forwards = ForwardsTo(pool) && !IsOwner(pool);
  const int share = IsReserve(pool) ? pool.plan.starting_connections
                    : forwards      ? 1
                                    : pool.plan.connections;
  // If all instances restarted, their earlier connections still count at the
  // server. What it has left then serves more instances if each owner takes
  // few.
  const bool starting = now_ - started_at_ < options_.stale_connection_time;
  if (starting && !pool.owners.empty()) {
    return std::min(share, pool.plan.starting_connections);
  }
  return pool.connection_cap > 0 ? std::min(share, pool.connection_cap) : share;
}

/// Interval of reconnects to a failing server. Instances that forward are many,
/// and a server that is up may be full.
Duration Proxy::ReconnectInterval(const ServerPool& pool) const {
  if (!SearchesOwners(pool) || !ForwardsTo(pool) || IsReserve(pool)) {
    return kReconnectInterval;
  }
  const int doublings = std::min(pool.forwarder_retries, kMaxRetryDoublings);
  const Duration interval =
      std::min(options_.forwarder_retry * (1 << doublings),
               options_.max_forwarder_retry);
  const double spread =
      SpreadOf(self_.id, pool.entry.id, pool.forwarder_retries);
  return std::chrono::duration_cast<Duration>(interval * (0.5 + spread));
}

/// Time until a refused client finds a connection to a server of the service;
/// zero if there is one.
Duration Proxy::ConnectionHint(const Service& service) const {
  if (!adaptive_ && !instances_.empty()) return Duration(0);
  Duration hint{0};
  for (const ServerId& id : service.servers) {
    const ServerPool& pool = pools_.at(id);
    const bool open = static_cast<int>(pool.connections.size()) >
                      pool.opening + pool.opening_path_probes;
    if (open && !pool.failing) return Duration(0);
    const Duration wait =
        kConnectTime + std::max(pool.connect_after - now_, Duration(0));
    hint = hint == Duration(0) ? wait : std::min(hint, wait);
  }
  return hint;
}

void Proxy::OpenIfNeeded(ServerPool& pool, std::size_t wanted) {
  if (now_ < pool.connect_after || !InUse(pool)) return;
  const auto max_opening = std::min<std::size_t>(wanted, kMaxOpening);
  if (static_cast<std::size_t>(pool.opening) >= max_opening) return;
  if (static_cast<int>(pool.connections.size()) >= ConnectionShare(pool)) {
    return;
  }
  OpenConnection(pool);
}

ConnectionId Proxy::OpenConnection(ServerPool& pool) {
  return OpenOnPath(pool, pool.relay, pool.shared, false);
}

ConnectionId Proxy::OpenOnPath(ServerPool& pool, const InstanceId& relay,
                               bool shared, bool path_probe,
                               const TenantId& tenant) {
  const ConnectionId id = next_connection_++;
  Connection& connection = connections_[id];
  connection.server = pool.entry.id;
  connection.service = pool.entry.service;
  connection.last_used = now_;
  connection.relay = relay;
  connection.shared = shared;
  connection.path_probe = path_probe;
  connection.tenant = tenant;
  pool.connections.insert(id);
  ++(path_probe ? pool.opening_path_probes : pool.opening);
  const auto relay_entry = instances_.find(relay);
  const bool known = relay_entry != instances_.end();
  Count(relay.empty() ? "connections_opened"
        : shared      ? "connections_shared"
                      : "connections_relayed");
  Emit(OpenServerConnection{
      id, pool.entry.id, pool.entry.service, pool.entry.address,
      known && !shared ? relay_entry->second.relay_address : std::string(),
      known && shared ? relay_entry->second.share_address : std::string(),
      tenant});
  const bool short_wait = path_probe || (SearchesOwners(pool) && shared);
  ScheduleAfter(
      short_wait ? options_.path_probe_timeout : options_.connect_timeout,
      {TimerKind::kConnectTimeout, id, 0});
  return id;
}

void Proxy::On(const ServerConnected& event) {
  const auto it = connections_.find(event.connection);
  if (it == connections_.end()) return;
  Connection& connection = it->second;
  ServerPool& pool = pools_.at(connection.server);
  if (event.error != ErrorCode::kNone) {
    return OnConnectFailed(event.connection, event.error);
  }
  // Other instances came to rely on this one while it tried another owner.
  if (connection.path_probe && StandsIn(pool)) {
    return CloseConnection(event.connection, false);
  }
  connection.open = true;
  connection.opened_at = now_;
  pool.full_refusals = 0;
  --(connection.path_probe ? pool.opening_path_probes : pool.opening);
  if (connection.path_probe) {
    SwitchPath(pool, connection.relay, connection.shared);
  }
  NoteHeard(pool);
  auto commands = std::exchange(connection.commands_on_open, {});
  for (auto& [step, command] : commands) {
    SendOne(event.connection, std::move(command), step, step == Step::kProbe);
  }
  ReturnToPool(event.connection);
  const bool leads = PrimaryOfService(pool) == pool.entry.id;
  if (leads && pool.leader_term == 0 && NeedsProof()) QueryServer(pool);
}

void Proxy::OnConnectFailed(ConnectionId id, ErrorCode error) {
  const Connection& connection = connections_.at(id);
  ServerPool& pool = pools_.at(connection.server);
  LogRequest("connection attempt failed server=" + connection.server +
             " code=" + NameOf(error) + " relay=" + connection.relay +
             " connections=" + std::to_string(pool.connections.size()));
  Count("connections_refused");
  const bool path_probe = connection.path_probe;
  const bool shared = connection.shared;
  const bool direct = connection.relay.empty();
  const bool path_lost = PathLost(pool, connection);
  const auto& reserves = pool.plan.reserves;
  const bool of_owner = std::find(reserves.begin(), reserves.end(),
                                  connection.relay) == reserves.end();
  CloseConnection(id, false);
  if (direct && error == ErrorCode::kTooMany) pool.last_refused_full = now_;
  if (path_probe) return;
  if (shared) {
    // An instance that stands in refuses until it has missed the owners itself.
    const bool refused = error == ErrorCode::kTooMany && of_owner;
    const OwnerLoss loss =
        refused ? OwnerLoss::kRefused : OwnerLoss::kUnreachable;
    if (path_lost && !TryNextOwner(pool, loss)) NoteFailing(pool);
    return;
  }
  pool.connect_after = now_ + options_.connect_backoff;
  if (error == ErrorCode::kTooMany) {
    if (adaptive_) PauseConnecting(pool);
    pool.connection_cap =
        std::max<int>(1, static_cast<int>(pool.connections.size()));
    pool.connection_cap_until = now_ + kConnectionCapDuration;
  }
  if (error != ErrorCode::kOther) return;
  ++pool.connect_failures;
  if (MayBeFull(pool)) return PauseConnecting(pool);
  NoteFailing(pool);
}

/// Whether a server whose connections fail may be over its limit: some servers
/// then reset a connection instead of refusing it. After a loss of power they
/// count the connections of the processes before.
bool Proxy::MayBeFull(const ServerPool& pool) const {
  return SearchesOwners(pool) && pool.last_heard == TimePoint() &&
         now_ - started_at_ < options_.stale_connection_time &&
         now_ - pool.known_since < options_.owner_search.start_search_time;
}

/// Pauses after a connection that was refused as over the server's limit.
void Proxy::PauseConnecting(ServerPool& pool) {
  const int refusals = ++pool.full_refusals;
  pool.connect_after = now_ + RefusedConnectionPause(
                                  options_.connect_backoff, refusals,
                                  SpreadOf(self_.id, pool.entry.id, refusals));
}

/// Whether a draining server must get no new statements, even as the primary.
bool Proxy::DrainLimitReached(const ServerPool& pool) const {
  return pool.entry.draining &&
         now_ - pool.draining_since >= options_.drain_work_limit;
}

/// Whether to keep connections to a server. A primary is used until it is
/// replaced, even if it is no longer listed. Servers that a promotion waits for
/// are contacted to learn whether they still run.
bool Proxy::InUse(const ServerPool& pool) const {
  if (MayServe(pool)) return true;
  const auto it = services_.find(pool.entry.service);
  return it != services_.end() && it->second.primary == pool.entry.id;
}

/// Takes the idle connection that serves the tenant and needs the fewest setup
/// commands; 0 if there is none.
ConnectionId Proxy::TakeIdle(
    ServerPool& pool, const TenantId& tenant, const SessionValues& values,
    const std::optional<PreparedStatement>& statement) {
  std::size_t best = 0;
  std::size_t best_distance = SIZE_MAX;
  for (std::size_t n = pool.idle.size(); n-- > 0;) {
    const Connection& connection = connections_.at(pool.idle[n]);
    if (!Serves(connection, tenant)) continue;
    std::size_t distance =
        connection.state.SynchronizeCommandCount(values, statement);
    if (connection.shared && connection.tenant != tenant) ++distance;
    // An equal error on it would be no promise.
    if (connection.refused_at && connection.refused_at == pool.log_position) {
      distance += kRefusedDistance;
    }
    if (distance >= best_distance) continue;
    best = n;
    best_distance = distance;
    if (distance == 0) break;
  }
  if (best_distance == SIZE_MAX) return 0;
  const ConnectionId id = pool.idle[best];
  pool.idle.erase(pool.idle.begin() + static_cast<std::ptrdiff_t>(best));
  connections_.at(id).used = true;
  if (tenants_seen_ && !pool.shared) pool.cache.Count(tenant, now_);
  return id;
}

/// Makes a connection idle if it is unbound and has no outstanding command.
void Proxy::ReturnToPool(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  const Connection& connection = it->second;
  if (!connection.open || connection.bound_session != 0 ||
      connection.bound_peer != 0 || connection.doubted ||
      !connection.expected.empty()) {
    return;
  }
  ServerPool& pool = pools_.at(connection.server);
  if (std::find(pool.idle.begin(), pool.idle.end(), id) != pool.idle.end()) {
    return;
  }
  const bool over =
      static_cast<int>(pool.connections.size()) > ConnectionShare(pool);
  const bool other_path =
      connection.relay != pool.relay || connection.shared != pool.shared;
  if (connection.retired || over || other_path || !InUse(pool))
    return CloseConnection(id, false);
  it->second.last_used = now_;
  pool.idle.push_back(id);
  services_to_dispatch_.insert(connection.service);
}

/// Closes a connection. With `fail_statement`, reports the loss to its session.
void Proxy::CloseConnection(ConnectionId id, bool fail_statement) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  const Connection connection = std::move(it->second);
  connections_.erase(it);
  ServerPool& pool = pools_.at(connection.server);
  pool.connections.erase(id);
  std::erase(pool.idle, id);
  if (!connection.open) {
    --(connection.path_probe ? pool.opening_path_probes : pool.opening);
  }
  for (const ExpectedReply& expected : connection.expected) {
    if (expected.uses_slot) --pool.running;
    if (expected.commits_writes) ++pool.lost_commits;
    if (expected.step == Step::kWitness) --pool.queries;
  }
  for (const auto& [step, command] : connection.commands_on_open) {
    if (step == Step::kWitness) --pool.queries;
  }
  Emit(CloseServerConnection{id});
  services_to_dispatch_.insert(connection.service);
  if (connection.bound_peer != 0) {
    const auto peer = peers_.find(connection.bound_peer);
    if (peer != peers_.end()) peer->second.bound_connection = 0;
    ClosePeerOf(connection.bound_peer);
  }
  if (!fail_statement || connection.bound_session == 0) return;
  const auto session = sessions_.find(connection.bound_session);
  if (session == sessions_.end()) return;
  FailLostConnection(session->first, session->second, connection.server);
}

/// Fails the attempt or transaction of a session whose connection was lost.
void Proxy::FailLostConnection(SessionId id, Session& session,
                               const ServerId& server) {
  session.bound_connection = 0;
  if (session.pending && session.pending->sent) {
    session.pending->tried_servers.insert(server);
    pools_.at(server).outcomes.OnFailure(now_, now_ - session.pending->sent_at);
    FailAttempt(id, session, EndWithoutReply(*session.pending),
                ErrorCode::kOther, "connection lost");
    return;
  }
  if (session.state == TransactionState::kOpen) {
    EndTransaction(session);
    session.state = TransactionState::kFailed;
  }
}

void Proxy::On(const ServerConnectionLost& event) {
  const auto it = connections_.find(event.connection);
  if (it == connections_.end()) return;
  if (!it->second.open) {
    return On(ServerConnected{event.connection, ErrorCode::kOther, {}});
  }
  ServerPool& pool = pools_.at(it->second.server);
  Count("connections_lost");
  Log("connection lost server=" + it->second.server);
  const bool shared = it->second.shared;
  const bool path_lost = PathLost(pool, it->second);
  CloseConnection(event.connection, true);
  // The instance that shares its connections may have failed, not the server.
  if (shared && (!path_lost || TryNextOwner(pool))) return;
  NoteFailing(pool);
}

void Proxy::Send(ConnectionId id, std::vector<ServerCommand> commands,
                 Step step) {
  for (auto& it : commands) {
    const Verb verb = it.statement.verb;
    if (verb == Verb::kPrepareRead || verb == Verb::kPrepareWrite) {
      LogRequest("statement prepared server=" + connections_.at(id).server +
                 " connection=" + std::to_string(id) +
                 " name=" + it.statement.name + " verb=" + NameOf(verb) +
                 " shape=" + Excerpt(it.statement.text));
    }
    SendOne(id, std::move(it), step, false);
  }
}

void Proxy::SendOne(ConnectionId id, ServerCommand command, Step step,
                    bool proves_leadership, bool commits_writes) {
  SetTenantForOwn(id, step);
  Connection& connection = connections_.at(id);
  ExpectedReply expected;
  expected.step = step;
  expected.sent = now_;
  const Verb verb = command.statement.verb;
  expected.form = {verb, connection.in_transaction};
  expected.after = command.after;
  expected.term = command.term;
  if (verb == Verb::kBegin || verb == Verb::kBeginRead) {
    connection.in_transaction = true;
  } else if (verb == Verb::kCommit || verb == Verb::kRollback) {
    connection.in_transaction = false;
  }
  expected.uses_slot = UsesSlot(verb);
  expected.proves_leadership = proves_leadership;
  expected.commits_writes = commits_writes;
  ServerPool& pool = pools_.at(connection.server);
  if (expected.commits_writes) expected.known_position = pool.log_position;
  if (expected.uses_slot) ++pool.running;
  connection.expected.push_back(expected);
  Emit(SendCommand{id, std::move(command)});
}

void Proxy::NoteHeard(ServerPool& pool) {
  pool.last_heard = now_;
  pool.connect_failures = 0;
  pool.owner_failures = 0;
  pool.owner_search.OnHeard();
  pool.forwarder_retries = 0;
  if (!pool.failing) return;
  pool.failing = false;
  pool.covered_by.reset();
  RestartPace(pool);
  Warn("server recovered id=" + pool.entry.id);
  services_to_dispatch_.insert(pool.entry.service);
}

void Proxy::NoteFailing(ServerPool& pool) {
  if (pool.failing) return;
  pool.failing = true;
  pool.relay.clear();
  pool.shared = false;
  ClosePeersOf(pool);
  pool.failing_since = now_;
  // Other owners are tried before the server itself, by many instances.
  if (SearchesOwners(pool) && ForwardsTo(pool) && !IsReserve(pool))
    pool.last_probe = now_;
  Warn("server fails id=" + pool.entry.id);
}

std::optional<TimePoint> Proxy::OldestUnanswered(const ServerPool& pool) const {
  std::optional<TimePoint> oldest;
  for (const ConnectionId id : pool.connections) {
    const Connection& connection = connections_.at(id);
    if (connection.expected.empty()) continue;
    const TimePoint sent = connection.expected.front().sent;
    if (!oldest || sent < *oldest) oldest = sent;
  }
  return oldest;
}

/// Detects unresponsive servers, reconnects to failing ones and maintains the
/// pools.
void Proxy::CheckServers() {
  for (auto& [id, pool] : pools_) {
    if (pool.connection_cap > 0 && now_ >= pool.connection_cap_until) {
      pool.connection_cap = 0;
    }
    CloseStuckConnections(pool);
    ProbeUnlisted(pool);
    CheckUnresponsive(pool);
    ProbePaths(pool);
    TrimIdle(pool);
    RefuseLatePeers(pool);
    if (!InUse(pool) || now_ < pool.connect_after || pool.opening > 0) continue;
    const bool prewarm = pool.connections.empty() && ConnectionShare(pool) > 1;
    // Where one owner is active, path probes include the direct path.
    const bool probed =
        pool.plan.one_active && ForwardsTo(pool) && !isolated_since_;
    const bool retry = pool.failing && !probed &&
                       now_ - pool.last_probe >= ReconnectInterval(pool);
    if (!prewarm && !retry) continue;
    pool.last_probe = now_;
    if (retry) ++pool.forwarder_retries;
    OpenConnection(pool);
  }
  CheckIsolation();
}

/// Probes a server that left the list, as no statement shows whether it runs.
void Proxy::ProbeUnlisted(ServerPool& pool) {
  const TimePoint last = std::max(pool.last_heard, pool.last_probe);
  if (pool.listed || pool.failing || pool.opening > 0) return;
  if (now_ - last < kUnlistedProbeInterval) return;
  pool.last_probe = now_;
  ProbeLeadership(pool);
}

/// Marks a server with unanswered commands as failing when it does not answer a
/// probe either. A server that runs a long statement still answers probes, as
/// they use no slot.
void Proxy::CheckUnresponsive(ServerPool& pool) {
  if (pool.failing) return;
  const auto oldest = OldestUnanswered(pool);
  if (!oldest) return;
  const TimePoint since = std::max(*oldest, pool.last_heard);
  if (now_ - since < options_.probe_after) return;
  if (now_ - since < options_.failing_after) {
    if (now_ - pool.last_probe < options_.probe_after) return;
    pool.last_probe = now_;
    return ProbeLeadership(pool);
  }
  if (pool.shared && TryNextOwner(pool)) {
    const auto connections = pool.connections;
    for (const ConnectionId it : connections) {
      if (connections_.at(it).open) CloseConnection(it, true);
    }
    return;
  }
  NoteFailing(pool);
  pool.failing_since = since;
  ProbeAll();
  const auto idle = pool.idle;
  for (const ConnectionId it : idle) CloseConnection(it, false);
}

/// Probes servers not heard from recently, to find the extent of a failure.
void Proxy::ProbeAll() {
  for (auto& [id, pool] : pools_) {
    if (!pool.listed || pool.failing || pool.opening > 0) continue;
    if (now_ - pool.last_heard < options_.probe_after) continue;
    if (now_ - pool.last_probe < options_.probe_after) continue;
    pool.last_probe = now_;
    ProbeLeadership(pool);
  }
}

/// Closes unbound connections whose command has no reply in time. No session
/// waits for it, and the connection may never answer again.
void Proxy::CloseStuckConnections(ServerPool& pool) {
  std::vector<ConnectionId> stuck;
  for (const ConnectionId id : pool.connections) {
    const Connection& connection = connections_.at(id);
    const bool bound =
        connection.bound_session != 0 || connection.bound_peer != 0;
    if (bound || connection.expected.empty()) continue;
    const TimePoint sent = connection.expected.front().sent;
    if (now_ - sent >= options_.attempt_timeout) stuck.push_back(id);
  }
  for (const ConnectionId id : stuck) {
    Count("connections_stuck");
    CloseConnection(id, false);
  }
}

/// Closes idle connections beyond half of the share. When an instance restarts,
/// its old connections linger at the server and count in addition to the new.
void Proxy::TrimIdle(ServerPool& pool) {
  // Connections of tenants are expensive to open again, and the plan leaves
  // room for those of instances that restart.
  if (pool.plan.one_active && IsOwner(pool) && !pool.shared) return;
  const auto kept =
      static_cast<std::size_t>(std::max(ConnectionShare(pool) / 2, 1));
  while (!pool.idle.empty() && pool.connections.size() > kept) {
    const ConnectionId oldest = pool.idle.front();
    const TimePoint last_used = connections_.at(oldest).last_used;
    if (now_ - last_used < options_.connection_idle_timeout) return;
    CloseConnection(oldest, false);
  }
}

/// Detects a partition between this instance and all other zones.
void Proxy::CheckIsolation() {
  bool any = false;
  bool all = true;
  for (const auto& [id, pool] : pools_) {
    if (!pool.listed || pool.entry.zone == self_.zone) continue;
    any = true;
    all = all && pool.failing;
  }
  const bool isolated = any && all;
  if (isolated == isolated_since_.has_value()) return;
  Warn(isolated ? "instance isolated from other zones"
                : "isolation from other zones ended");
  if (!isolated) isolation_ended_ = now_;
  isolated_since_ = isolated ? std::optional(now_) : std::nullopt;
}

}  // namespace corianderdock::session
