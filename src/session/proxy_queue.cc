#include <algorithm>
#include <limits>
#include <utility>

#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

/// Weight of a route in a service's queues; priority 0 is the highest.
double WeightOf(int priority) { return 1.0 / (1.0 + std::max(priority, 0)); }

/// Penalties for the choice of a server, in units of one running statement.
constexpr double kOtherZoneCost = 0.6;
constexpr double kPrimaryCost = 0.9;
constexpr double kBehindCost = 1.2;
/// Average latency that costs as much as one running statement.
constexpr double kMsPerCostUnit = 100;
/// Share of the latency objective within which a statement must start while
/// others wait. A client whose statement is refused by then can still meet the
/// objective by retrying on another instance.
constexpr double kQueueShare = 0.33;
/// Multiple of the latency objective at which a queued statement is refused, as
/// a longer wait is of little use.
constexpr double kMaxQueueShare = 1.5;
/// Time in which a primary that can't be reached is usually found again.
constexpr Duration kNoPrimaryTime = std::chrono::milliseconds(200);
/// Age up to which the last known log position of a server is meaningful.
constexpr Duration kPositionFreshness = std::chrono::milliseconds(100);

TimePoint DueOf(TimePoint arrived, const Route& route) {
  return arrived + std::chrono::duration_cast<Duration>(
                       route.latency_objective * kQueueShare);
}

TimePoint LimitOf(TimePoint arrived, const Route& route) {
  return arrived + std::chrono::duration_cast<Duration>(
                       route.latency_objective * kMaxQueueShare);
}

}  // namespace

bool Proxy::NeedsPrimary(const Session& session) const {
  const PendingStatement& pending = *session.pending;
  if (pending.writes || pending.force_primary) return true;
  if (session.state == TransactionState::kOpen && session.read_write) {
    return true;
  }
  const Route& route = *pending.route;
  if (route.freshness == Freshness::kPrimary) return true;
  // A write with an unknown outcome may be a commit of the session at an
  // unknown position.
  const bool write_in_doubt =
      session.in_doubt_since && now_ - *session.in_doubt_since < route.max_age;
  if (write_in_doubt && route.freshness == Freshness::kReadYourWrites) {
    return true;
  }
  const auto it = services_.find(pending.route->service);
  return !RequiredPosition(session, it->second);
}

std::optional<Position> Proxy::RequiredPosition(const Session& session,
                                                const Service& service) const {
  const Route& route = *session.pending->route;
  if (route.max_age <= options_.staleness_margin) return std::nullopt;
  const Duration age =
      SubtractClockDrift(route.max_age - options_.staleness_margin);
  auto sample = service.samples.PositionCovering(now_ - age);
  if (!options_.safety->RequireFreshPosition()) sample = Position{};
  if (!sample) return std::nullopt;
  const bool own = route.freshness == Freshness::kReadYourWrites &&
                   session.last_commit_service == route.service;
  if (!own || !options_.safety->RequireOwnCommits()) return sample;
  return LaterPosition(sample, session.last_commit);
}

void Proxy::Enqueue(SessionId id, Session& session) {
  PendingStatement& pending = *session.pending;
  Service& service = ServiceOf(pending.route->service);
  const bool primary = NeedsPrimary(session);
  StatementQueue& queue = primary ? service.primary_queue : service.read_queue;
  const bool usable = !primary || PrimaryUsable(service);
  if (pending.attempts == 0 && usable && !Admit(id, session, queue)) return;
  const TimePoint due = DueOf(pending.arrived, *pending.route);
  queue.Push({id, pending.route->database, pending.arrived, due,
              service.mean_run_time[pending.route->database],
              WeightOf(pending.route->priority), session.tenant});
  pending.queued = true;
  ScheduleAfter(std::max(due - now_, Duration(0)),
                {TimerKind::kQueueTimeout, id, pending.statement_serial});
  services_to_dispatch_.insert(pending.route->service);
}

/// Admission control: refuses a statement whose expected wait in the queue
/// would make it late.
bool Proxy::Admit(SessionId id, Session& session, const StatementQueue& queue) {
  const Route& route = *session.pending->route;
  const Duration wait =
      queue.ExpectedWait(route.database, WeightOf(route.priority));
  const TimePoint due = DueOf(session.pending->arrived, route);
  if (now_ + wait <= due) return true;
  RefuseQueued(id, session, now_ + wait - due);
  return false;
}

void Proxy::DispatchService(const ServiceId& service_id) {
  Service& service = ServiceOf(service_id);
  // Commands of other instances have waited there already.
  for (const ServerId& id : service.servers) ServeWaitingPeers(pools_.at(id));
  while (DispatchNext(service, service.primary_queue, true)) {
  }
  while (DispatchNext(service, service.read_queue, false)) {
  }
}

bool Proxy::HasCapacity(const ServerPool& pool) const {
  return !pool.idle.empty() && HasSlot(pool) && now_ >= pool.busy_until;
}

bool Proxy::PrimaryUsable(const Service& service) const {
  const auto it = pools_.find(service.primary);
  return it != pools_.end() && !it->second.failing &&
         !DrainLimitReached(it->second) && !service.proof.FenceReported(now_);
}

/// Starts the next statement of a queue. Returns whether to try another.
bool Proxy::DispatchNext(Service& service, StatementQueue& queue,
                         bool primary) {
  if (queue.size() == 0) return false;
  ServerPool* pool = nullptr;
  if (primary) {
    const auto it = pools_.find(service.primary);
    if (!PrimaryUsable(service)) return false;
    if (!LeadershipProven(service)) {
      QueryNextReplica(service);
      return false;
    }
    OpenForTenants(it->second, queue);
    if (!HasCapacity(it->second)) {
      if (!HasConnectionsOfTenants(it->second)) {
        OpenIfNeeded(it->second, queue.size());
      }
      return false;
    }
    pool = &it->second;
  } else if (!tenants_seen_ && ChooseForRead(service, nullptr) == nullptr) {
    return false;
  }
  const auto id = PopStartable(queue, service, pool);
  if (!id) return false;
  const auto it = sessions_.find(*id);
  if (it == sessions_.end() || !it->second.pending) return true;
  Session& session = it->second;
  session.pending->queued = false;
  if (!primary && NeedsPrimary(session)) {
    Enqueue(*id, session);
    return true;
  }
  if (!primary) {
    pool = ChooseForRead(service, &session, session.tenant);
    if (pool == nullptr) {
      session.pending->force_primary = true;
      Enqueue(*id, session);
      return true;
    }
  }
  if (!StartAttempt(*id, session, *pool)) Enqueue(*id, session);
  return true;
}

/// Returns the cheapest server with capacity, or null. With `session`, skips
/// servers that its statement has tried, and servers behind its required
/// position that recently refused a read as behind.
Proxy::ServerPool* Proxy::ChooseForRead(const Service& service,
                                        const Session* session,
                                        const TenantId& tenant) {
  if (adaptive_) return ChooseByTime(service, session, tenant);
  std::optional<Position> position;
  if (session != nullptr) position = RequiredPosition(*session, service);
  ServerPool* best = nullptr;
  ServerPool* lacking = nullptr;  ///< has no idle connection of the tenant
  double best_cost = std::numeric_limits<double>::max();
  for (const ServerId& id : service.servers) {
    const auto it = pools_.find(id);
    if (it == pools_.end()) continue;
    ServerPool& pool = it->second;
    if (session != nullptr && session->pending->tried_servers.contains(id)) {
      continue;
    }
    if (pool.entry.draining || !pool.listed || pool.failing) continue;
    if (!HasCapacity(pool, tenant)) {
      if (HasConnectionsOfTenants(pool)) {
        if (!HasIdle(pool, tenant)) lacking = NearerOf(lacking, &pool);
      } else if (pool.idle.empty()) {
        OpenIfNeeded(pool, 1);
      }
      continue;
    }
    double cost = pool.running + pool.latency_ms / kMsPerCostUnit;
    if (pool.entry.zone != self_.zone) cost += kOtherZoneCost;
    if (id == service.primary) cost += kPrimaryCost;
    const bool behind =
        position &&
        !LogContains(pool.log_position.value_or(Position{}), *position);
    if (behind && now_ < pool.avoid_reads_until) continue;
    const bool recently_heard = now_ - pool.last_heard < kPositionFreshness;
    if (behind && recently_heard) cost += kBehindCost;
    if (cost >= best_cost) continue;
    best = &pool;
    best_cost = cost;
  }
  if (best == nullptr && lacking != nullptr) OpenForTenant(*lacking, tenant);
  return best;
}

/// Refuses statements that wait for an unusable primary, at once or, while a
/// failover is under way, after `failover_wait`. Another instance may still
/// reach the primary.
void Proxy::RefuseWithoutPrimary(Service& service) {
  if (PrimaryUsable(service) || service.primary_queue.size() == 0) return;
  const bool promotion_expected =
      !isolated_since_ && (service.failover.PromotionInProgress(now_) ||
                           service.proof.FenceReported(now_));
  const Duration limit =
      promotion_expected ? options_.failover_wait : Duration(0);
  for (const SessionId id : service.primary_queue.Clear()) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || !it->second.pending) continue;
    Session& session = it->second;
    session.pending->queued = false;
    if (now_ - session.pending->arrived < limit) {
      Enqueue(id, session);
      continue;
    }
    Count("refused_no_primary");
    LogRequest("statement refused id=" + session.pending->id +
               " database=" + session.database + " reason=no primary");
    const auto ms = std::chrono::duration_cast<Milliseconds>(
                        std::max(ConnectionHint(service), kNoPrimaryTime))
                        .count();
    AnswerError(id, session, ErrorCode::kBusy,
                adaptive_
                    ? "no primary; come back in " + std::to_string(ms) + " ms"
                    : "no primary");
  }
}

/// Handles a statement that did not start by its due time: refuses it at once
/// if others wait, to make room for them, and otherwise when it has waited for
/// `kMaxQueueShare` times its latency objective.
void Proxy::OnQueueTimeout(SessionId id, std::uint64_t statement_serial) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end() || !it->second.pending) return;
  Session& session = it->second;
  PendingStatement& pending = *session.pending;
  if (pending.statement_serial != statement_serial || !pending.queued) return;
  Service& service = ServiceOf(pending.route->service);
  const TimePoint last = LimitOf(pending.arrived, *pending.route);
  const bool others =
      service.primary_queue.size() + service.read_queue.size() > 1;
  if (now_ < last && !others) {
    ScheduleAfter(last - now_,
                  {TimerKind::kQueueTimeout, id, pending.statement_serial});
    return;
  }
  const bool primary = service.primary_queue.Remove(id);
  service.read_queue.Remove(id);
  pending.queued = false;
  const auto& queue = primary ? service.primary_queue : service.read_queue;
  RefuseQueued(id, session,
               queue.ExpectedWait(pending.route->database,
                                  WeightOf(pending.route->priority)));
}

void Proxy::RefuseQueued(SessionId id, Session& session, Duration retry_after) {
  const PendingStatement& pending = *session.pending;
  const Service& service = ServiceOf(pending.route->service);
  retry_after = std::max(retry_after, ConnectionHint(service));
  const auto ms = std::chrono::duration_cast<Milliseconds>(retry_after).count();
  Count("refused_queue");
  NoteQueueRefusal(ServiceOf(pending.route->service));
  LogRequest("statement refused id=" + pending.id +
             " database=" + session.database + " reason=queue queued_primary=" +
             std::to_string(service.primary_queue.size()) +
             " queued_reads=" + std::to_string(service.read_queue.size()) +
             " retry_after_ms=" + std::to_string(ms) +
             (NeedsProof() ? " proof_age_ms=" + ProofAge(service) : ""));
  AnswerError(id, session, ErrorCode::kBusy,
              "no room in time; come back in " + std::to_string(ms) + " ms");
}

}  // namespace corianderdock::session
