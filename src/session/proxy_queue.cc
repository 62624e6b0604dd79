#include <algorithm>
#include <limits>
#include <utility>

#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

/// Weight of a route in a server's queue by its priority; 0 is the highest.
double WeightOf(int priority) { return 1.0 / (1.0 + std::max(priority, 0)); }

/// Cost of a choice, in running statements.
constexpr double kOtherZoneCost = 0.6;
constexpr double kPrimaryCost = 0.9;
constexpr double kBehindCost = 1.2;
/// Latency that weighs as much as one running statement.
constexpr double kLatencyOfStatementMs = 100;
/// Part of a latency objective in which a statement must start while others
/// wait: one refused by then can still be done in time elsewhere.
constexpr double kStartPart = 0.33;
/// Part of a latency objective after which waiting on is of little use.
constexpr double kLongestPart = 1.5;
/// Age at which what a copy was last known to hold says little of it now.
constexpr Duration kPositionNews = std::chrono::milliseconds(100);

TimePoint DueOf(TimePoint arrived, const Route& route) {
  return arrived +
         std::chrono::duration_cast<Duration>(route.objective * kStartPart);
}

TimePoint LimitOf(TimePoint arrived, const Route& route) {
  return arrived +
         std::chrono::duration_cast<Duration>(route.objective * kLongestPart);
}

}  // namespace

bool Proxy::NeedsPrimary(const Session& session) const {
  const Pending& pending = *session.pending;
  if (pending.writes || pending.force_primary) return true;
  if (session.state == TransactionState::kOpen && session.plain) return true;
  const Route& route = *pending.route;
  if (route.freshness == Freshness::kPrimary) return true;
  // A write in doubt may be a commit of the session at a position unknown.
  const bool in_doubt =
      session.in_doubt && now_ - *session.in_doubt < route.max_age;
  if (in_doubt && route.freshness == Freshness::kOwnWrites) return true;
  const auto it = services_.find(pending.route->service);
  return !RequiredPosition(session, it->second);
}

std::optional<Position> Proxy::RequiredPosition(const Session& session,
                                                const Service& service) const {
  const Route& route = *session.pending->route;
  if (route.max_age <= options_.age_margin) return std::nullopt;
  const Duration age = SubtractClockDrift(route.max_age - options_.age_margin);
  auto sample = service.samples.Covering(now_ - age);
  if (!options_.safety->RequirePosition()) sample = Position{};
  if (!sample) return std::nullopt;
  const bool own = route.freshness == Freshness::kOwnWrites &&
                   session.own_service == route.service;
  if (!own || !options_.safety->RequireOwnCommits()) return sample;
  return Later(sample, session.own);
}

void Proxy::Enqueue(SessionId id, Session& session) {
  Pending& pending = *session.pending;
  Service& service = ServiceOf(pending.route->service);
  const bool primary = NeedsPrimary(session);
  StatementQueue& queue = primary ? service.primary_queue : service.read_queue;
  const bool usable = !primary || PrimaryUsable(service);
  if (pending.attempts == 0 && usable && !Admit(id, session, queue)) return;
  const TimePoint due = DueOf(pending.arrived, *pending.route);
  queue.Push({id, pending.route->database, pending.arrived, due,
              service.run_time[pending.route->database],
              WeightOf(pending.route->priority)});
  pending.queued = true;
  After(std::max(due - now_, Duration(0)),
        {TimerKind::kQueueLimit, id, pending.number});
  to_pump_.insert(pending.route->service);
}

/// Refuses a statement that would be late at the queue's pace.
bool Proxy::Admit(SessionId id, Session& session, const StatementQueue& queue) {
  const Route& route = *session.pending->route;
  const Duration wait =
      queue.ExpectedWait(route.database, WeightOf(route.priority));
  const TimePoint due = DueOf(session.pending->arrived, route);
  if (now_ + wait <= due) return true;
  RefuseQueued(id, session, now_ + wait - due);
  return false;
}

void Proxy::Pump(const ServiceId& service_id) {
  Service& service = ServiceOf(service_id);
  while (PumpQueue(service, service.primary_queue, true)) {
  }
  while (PumpQueue(service, service.read_queue, false)) {
  }
}

bool Proxy::HasRoom(const Lane& lane) const {
  return !lane.idle.empty() && lane.running < lane.window &&
         now_ >= lane.busy_until;
}

bool Proxy::PrimaryUsable(const Service& service) const {
  const auto it = lanes_.find(service.leader);
  return it != lanes_.end() && !it->second.failing && !Leaving(it->second);
}

/// Starts the next statement of a queue. Returns whether more may start.
bool Proxy::PumpQueue(Service& service, StatementQueue& queue, bool primary) {
  if (queue.size() == 0) return false;
  Lane* lane = nullptr;
  if (primary) {
    const auto it = lanes_.find(service.leader);
    if (!PrimaryUsable(service)) return false;
    if (!HasRoom(it->second)) {
      OpenIfUseful(it->second, queue.size());
      return false;
    }
    lane = &it->second;
  } else if (ChooseForRead(service, nullptr) == nullptr) {
    return false;
  }
  const auto id = queue.Pop(now_);
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
    lane = ChooseForRead(service, &session);
    if (lane == nullptr) {
      session.pending->force_primary = true;
      Enqueue(*id, session);
      return true;
    }
  }
  if (!Start(*id, session, *lane)) Enqueue(*id, session);
  return true;
}

/// The cheapest server with room, or null. Without `session` any will do.
Proxy::Lane* Proxy::ChooseForRead(const Service& service,
                                  const Session* session) {
  std::optional<Position> position;
  if (session != nullptr) position = RequiredPosition(*session, service);
  Lane* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  for (const ServerId& id : service.servers) {
    const auto it = lanes_.find(id);
    if (it == lanes_.end()) continue;
    Lane& lane = it->second;
    if (session != nullptr && session->pending->tried.contains(id)) continue;
    if (lane.entry.draining || !lane.listed || lane.failing) continue;
    if (!HasRoom(lane)) {
      if (lane.idle.empty()) OpenIfUseful(lane, 1);
      continue;
    }
    double cost = lane.running + lane.latency_ms / kLatencyOfStatementMs;
    if (lane.entry.zone != self_.zone) cost += kOtherZoneCost;
    if (id == service.leader) cost += kPrimaryCost;
    const bool behind =
        position && !LogContains(lane.position.value_or(Position{}), *position);
    if (behind && now_ < lane.avoid_until) continue;
    const bool fresh_news = now_ - lane.last_heard < kPositionNews;
    if (behind && fresh_news) cost += kBehindCost;
    if (cost >= best_cost) continue;
    best = &lane;
    best_cost = cost;
  }
  return best;
}

/// Refuses what waits too long for a primary that can't be reached: another
/// instance may reach it, or its replacement is not near.
void Proxy::RefuseWaiting(Service& service) {
  if (PrimaryUsable(service) || service.primary_queue.size() == 0) return;
  const bool hopeful = !isolated_since_ && service.failover.UnderWay(now_);
  const Duration limit = hopeful ? options_.failover_wait : Duration(0);
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
    AnswerError(id, session, ErrorCode::kBusy, "no primary");
  }
}

/// A statement that would be late makes room for others, and is refused at the
/// latest when waiting on is of little use.
void Proxy::OnQueueLimit(SessionId id, std::uint64_t statement) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end() || !it->second.pending) return;
  Session& session = it->second;
  Pending& pending = *session.pending;
  if (pending.number != statement || !pending.queued) return;
  Service& service = ServiceOf(pending.route->service);
  const TimePoint last = LimitOf(pending.arrived, *pending.route);
  const bool others =
      service.primary_queue.size() + service.read_queue.size() > 1;
  if (now_ < last && !others) {
    After(last - now_, {TimerKind::kQueueLimit, id, pending.number});
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

void Proxy::RefuseQueued(SessionId id, Session& session, Duration come_back) {
  const Pending& pending = *session.pending;
  const Service& service = ServiceOf(pending.route->service);
  const auto ms = std::chrono::duration_cast<Milliseconds>(come_back).count();
  Count("refused_queue");
  NoteCrowded(ServiceOf(pending.route->service));
  LogRequest("statement refused id=" + pending.id +
             " database=" + session.database + " reason=queue queued_primary=" +
             std::to_string(service.primary_queue.size()) +
             " queued_reads=" + std::to_string(service.read_queue.size()) +
             " come_back_ms=" + std::to_string(ms));
  AnswerError(id, session, ErrorCode::kBusy,
              "no room in time; come back in " + std::to_string(ms) + " ms");
}

}  // namespace corianderdock::session
