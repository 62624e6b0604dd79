#include <algorithm>
#include <vector>

#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

/// Expected time of a statement of a kind that was never answered.
constexpr double kUnknownMs = 20;
/// Time in which a replica that was not seen behind for long catches up.
constexpr Duration kCatchUpTime = std::chrono::milliseconds(100);

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

CommandKind KindOf(Verb verb, bool repeatable) {
  switch (verb) {
    case Verb::kRead:
      return CommandKind::kRead;
    case Verb::kExecute:
      return repeatable ? CommandKind::kExecute : CommandKind::kWrite;
    case Verb::kCommit:
      return CommandKind::kCommit;
    default:
      return CommandKind::kWrite;
  }
}

}  // namespace

/// Ramps up a server that starts, recovers or is promoted from the lowest
/// limit.
void Proxy::RestartPace(ServerPool& pool) {
  pool.pace.Restart(now_, pool.entry.slots, pool.entry.cold_left > Duration(0));
}

/// Notes how long a command took that occupied a slot.
void Proxy::NoteAnswer(ServerPool& pool, const ExpectedReply& expected,
                       ErrorCode error) {
  const Duration time = now_ - expected.sent;
  if (error == ErrorCode::kBusy) {
    pool.pace.OnBusy();
    return pool.outcomes.OnFailure(now_, time);
  }
  if (error != ErrorCode::kNone) return;
  pool.outcomes.OnAnswer(now_);
  const CommandKind kind = KindOf(expected.form.verb, expected.repeatable);
  pool.pace.OnAnswer(now_, kind, time, PaceOfOthers(pool));
  ReportLimit(pool);
}

/// The lowest pace of the service's other servers; 1 if none is known.
double Proxy::PaceOfOthers(const ServerPool& pool) const {
  const auto it = services_.find(pool.entry.service);
  if (it == services_.end()) return 1;
  std::optional<double> lowest;
  for (const ServerId& id : it->second.servers) {
    const ServerPool& other = pools_.at(id);
    if (&other == &pool || !other.pace.Known() || other.failing) continue;
    const double pace = other.pace.Pace(now_);
    lowest = lowest ? std::min(*lowest, pace) : pace;
  }
  return std::max(1.0, lowest.value_or(1));
}

/// Whether a server takes another command of this instance at once. With
/// adaptive routing, owners that are used side by side share its limit.
bool Proxy::HasSlot(const ServerPool& pool) const {
  if (!adaptive_ || pool.shared) return pool.running < pool.concurrency_limit;
  const bool in_turn = pool.plan.ordered || pool.plan.one_active;
  const std::size_t parts = in_turn ? 1 : pool.plan.owners.size();
  const double limit =
      pool.pace.Limit() / static_cast<double>(std::max<std::size_t>(1, parts));
  return pool.running + 1 <= std::max(1.0, limit);
}

/// Longest wait of another instance's command for a connection. A server that
/// is ramping up runs few at once, so that what would wait there for long is
/// better sent to another one.
Duration Proxy::PeerWait(const ServerPool& pool) const {
  if (!adaptive_) return options_.peer_wait;
  const double part = pool.pace.Limit() / std::max(1, pool.entry.slots);
  return std::chrono::duration_cast<Duration>(options_.peer_wait *
                                              std::min(part, 1.0));
}

/// Shows the limit of a server that this instance connects to, and logs when it
/// starts to ramp up and when it is used fully.
void Proxy::ReportLimit(ServerPool& pool) {
  if (!adaptive_ || pool.shared) return;
  const int limit = static_cast<int>(pool.pace.Limit());
  const int previous = std::exchange(pool.reported_limit, limit);
  if (limit == previous) return;
  gauges_["server_limit{server=\"" + pool.entry.id + "\"}"] = limit;
  if (limit != 1 && limit != pool.entry.slots) return;
  Log("server limit changed id=" + pool.entry.id + " limit=" +
      std::to_string(limit) + " slots=" + std::to_string(pool.entry.slots));
}

bool Proxy::LacksPosition(const ServerPool& pool,
                          const std::optional<Position>& position) const {
  return position &&
         !LogContains(pool.log_position.value_or(Position{}), *position);
}

/// Whether a read may be sent to a server once that has capacity.
bool Proxy::MayRead(const ServerPool& pool, const Session* session,
                    const std::optional<Position>& position) const {
  const bool tried = session != nullptr &&
                     session->pending->tried_servers.contains(pool.entry.id);
  if (tried || pool.entry.draining || !pool.listed || pool.failing) {
    return false;
  }
  return now_ >= pool.avoid_reads_until || !LacksPosition(pool, position);
}

double Proxy::ReadMs(const Service& service, const ServerPool& pool,
                     const Session& session,
                     const std::optional<Position>& position) const {
  const PendingStatement& pending = *session.pending;
  const auto mean = service.mean_run_time.find(pending.route->database);
  const bool known =
      mean != service.mean_run_time.end() && mean->second > Duration(0);
  ReadInputs in;
  in.expected_ms =
      pool.pace.ExpectedMs(now_, KindOf(pending.statement.verb, true),
                           known ? ToMs(mean->second) : kUnknownMs);
  in.running = pool.running;
  in.limit =
      pool.shared ? std::max(1.0, pool.concurrency_limit) : pool.pace.Limit();
  if (LacksPosition(pool, position)) {
    in.behind_chance = BehindChance(
        now_ - pool.last_heard, std::max(pool.behind_backoff, kCatchUpTime));
  }
  in.failure_chance = pool.outcomes.FailureChance(now_);
  in.lost_ms = pool.outcomes.LostMs();
  in.other_zone = pool.entry.zone != self_.zone;
  in.primary = pool.entry.id == service.primary;
  in.queued_writes = static_cast<int>(service.primary_queue.size());
  in.slots = pool.entry.slots;
  return ExpectedReadMs(in);
}

/// Chooses among the servers with capacity by the expected time until the read
/// is answered; null if there is none. Without `session`, returns any.
Proxy::ServerPool* Proxy::ChooseByTime(const Service& service,
                                       const Session* session,
                                       const TenantId& tenant) {
  std::optional<Position> position;
  if (session != nullptr) position = RequiredPosition(*session, service);
  std::vector<ServerPool*> pools;
  std::vector<double> costs;
  ServerPool* lacking = nullptr;  ///< has no idle connection of the tenant
  for (const ServerId& id : service.servers) {
    const auto it = pools_.find(id);
    if (it == pools_.end() || !MayRead(it->second, session, position)) continue;
    ServerPool& pool = it->second;
    if (!HasCapacity(pool, tenant)) {
      if (HasConnectionsOfTenants(pool)) {
        if (!HasIdle(pool, tenant)) lacking = NearerOf(lacking, &pool);
      } else if (pool.idle.empty()) {
        OpenIfNeeded(pool, 1);
      }
      continue;
    }
    pools.push_back(&pool);
    if (session == nullptr) continue;
    costs.push_back(ReadMs(service, pool, *session, position));
  }
  if (pools.empty()) {
    if (lacking != nullptr) OpenForTenant(*lacking, tenant);
    return nullptr;
  }
  if (session == nullptr) return pools.front();
  const PendingStatement& pending = *session->pending;
  const std::uint64_t number =
      pending.statement_serial *
          static_cast<std::uint64_t>(options_.max_attempts + 1) +
      static_cast<std::uint64_t>(pending.attempts);
  return pools[ChooseByCost(costs, RandomOf(self_.id, number))];
}

}  // namespace corianderdock::session
