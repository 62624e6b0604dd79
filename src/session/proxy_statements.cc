#include <algorithm>
#include <limits>
#include <utility>

#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

/// Weight of a route in a server's queue by its priority; 0 is the highest.
double WeightOf(int priority) { return 1.0 / (1.0 + std::max(priority, 0)); }

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::string Whole(Duration duration) {
  return std::to_string(static_cast<int>(ToMs(duration)));
}

std::string Show(const std::optional<Position>& position) {
  if (!position) return "-";
  return std::to_string(position->term) + "." + std::to_string(position->index);
}

/// Share of a new observation in a moving average.
constexpr double kLatencyGain = 0.1;
/// Cost of a choice, in running statements.
constexpr double kOtherZoneCost = 0.6;
constexpr double kPrimaryCost = 0.9;
constexpr double kBehindCost = 1.2;
/// Age at which what a copy was last known to hold says little of it now.
constexpr Duration kPositionNews = std::chrono::milliseconds(100);

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
  const Duration age = WithoutDrift(route.max_age - options_.age_margin);
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
  QueueItem item;
  item.work = id;
  item.service = pending.route->database;
  item.cost = std::chrono::milliseconds(5);
  item.enqueued = now_;
  pending.queued = true;
  const auto limit = std::chrono::duration_cast<Duration>(
      pending.route->objective * options_.queue_limit);
  After(pending.arrived + limit - now_,
        {TimerKind::kQueueLimit, id, pending.number});
  const bool primary = NeedsPrimary(session);
  (primary ? service.primary_queue : service.read_queue)
      .Push(std::move(item), WeightOf(pending.route->priority));
  to_pump_.insert(pending.route->service);
}

void Proxy::Pump(const ServiceId& service_id) {
  Service& service = ServiceOf(service_id);
  while (PumpQueue(service, service.primary_queue, true)) {
  }
  while (PumpQueue(service, service.read_queue, false)) {
  }
}

bool Proxy::HasRoom(const Lane& lane) const {
  return !lane.idle.empty() && lane.running < lane.entry.slots &&
         now_ >= lane.busy_until;
}

/// Starts the next statement of a queue. Returns whether more may start.
bool Proxy::PumpQueue(Service& service, ServerQueue& queue, bool primary) {
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
  SlotState state;
  state.slots = 1;
  state.now = now_;
  const auto item = queue.Pop(state);
  if (!item) return false;
  const auto it = sessions_.find(item->work);
  if (it == sessions_.end() || !it->second.pending) return true;
  Session& session = it->second;
  session.pending->queued = false;
  if (!primary && NeedsPrimary(session)) {
    Enqueue(item->work, session);
    return true;
  }
  if (!primary) {
    lane = ChooseForRead(service, &session);
    if (lane == nullptr) {
      session.pending->force_primary = true;
      Enqueue(item->work, session);
      return true;
    }
  }
  if (!Start(item->work, session, *lane)) Enqueue(item->work, session);
  return true;
}

bool Proxy::PrimaryUsable(const Service& service) const {
  const auto it = lanes_.find(service.leader);
  return it != lanes_.end() && !it->second.failing && !Leaving(it->second);
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
    double cost = lane.running + lane.latency_ms / 100;
    if (lane.entry.zone != self_.zone) cost += kOtherZoneCost;
    if (id == service.leader) cost += kPrimaryCost;
    const bool behind =
        position && !Contains(lane.position.value_or(Position{}), *position);
    if (behind && now_ < lane.avoid_until) continue;
    const bool fresh_news = now_ - lane.last_heard < kPositionNews;
    if (behind && fresh_news) cost += kBehindCost;
    if (cost >= best_cost) continue;
    best = &lane;
    best_cost = cost;
  }
  return best;
}

bool Proxy::Start(SessionId id, Session& session, Lane& lane) {
  Pending& pending = *session.pending;
  const bool primary = NeedsPrimary(session);
  const auto position =
      primary ? std::nullopt
              : RequiredPosition(session, ServiceOf(pending.route->service));
  const ConnectionId connection = TakeIdle(lane, session.values, pending.shape);
  if (connection == 0) return false;
  Connection& at = connections_.at(connection);
  at.bound = id;
  session.bound = connection;
  ++pending.attempts;
  pending.sent = true;
  pending.sent_at = now_;
  pending.wrapped = primary && !pending.writes && !pending.first_inside &&
                    options_.safety->ProveLead();
  if (!pending.writes) {
    After(options_.attempt_limit,
          {TimerKind::kAttemptLimit, id, pending.number});
  }
  Send(connection, Setup(session, at), Step::kSetup);
  if (pending.wrapped || pending.first_inside) {
    const bool read_only = pending.first_inside && !session.plain && !primary;
    ServerCommand begin;
    begin.statement.verb = read_only ? Verb::kBeginRead : Verb::kBegin;
    begin.after = position;
    SendOne(connection, std::move(begin), Step::kBegin, !read_only);
    return true;
  }
  ServerCommand command = CommandFor(session);
  command.after = position;
  SendOne(connection, std::move(command), Step::kStatement, pending.writes);
  return true;
}

std::vector<ServerCommand> Proxy::Setup(const Session& session,
                                        Connection& connection) const {
  const bool match = options_.safety->MatchValues();
  return connection.state.Synchronize(match ? session.values : SessionValues{},
                                      session.pending->shape);
}

ServerCommand Proxy::CommandFor(const Session& session) const {
  const Pending& pending = *session.pending;
  ServerCommand command;
  command.id = pending.id;
  command.statement = pending.statement;
  if (pending.shape) {
    command.statement.name = ConnectionState::ServerName(*pending.shape);
  }
  return command;
}

/// Sends a statement of an open transaction, or the one that a proof covers.
void Proxy::SendStatement(SessionId id, Session& session,
                          ConnectionId connection) {
  Pending& pending = *session.pending;
  Connection& at = connections_.at(connection);
  const bool commit = pending.statement.verb == Verb::kCommit;
  if (!pending.sent) {
    pending.sent = true;
    pending.sent_at = now_;
    ++pending.attempts;
    if (!commit) {
      After(options_.attempt_limit,
            {TimerKind::kAttemptLimit, id, pending.number});
    }
  }
  Send(connection, Setup(session, at), Step::kSetup);
  if (pending.writes) session.wrote = true;
  SendOne(connection, CommandFor(session), Step::kStatement,
          commit && session.wrote);
  if (!pending.wrapped) return;
  ServerCommand end;
  end.statement.verb = Verb::kRollback;
  SendOne(connection, std::move(end), Step::kEnd, false);
}

/// What a server's refusal says about the server.
void Proxy::NoteRefusal(Lane& lane, ErrorCode code) {
  if (code == ErrorCode::kReadOnly) NoteNotLeader(lane);
  if (code == ErrorCode::kBehind) NoteBehind(lane);
  if (code == ErrorCode::kBusy) lane.busy_until = now_ + options_.busy_pause;
}

/// Takes a connection from its session, for others if nothing is open on it.
void Proxy::Free(ConnectionId id, Session& session, TransactionState state) {
  session.bound = 0;
  connections_.at(id).bound = 0;
  if (state == TransactionState::kIdle) return MakeIdle(id);
  Drop(id, false);
}

void Proxy::OnBeginDone(ConnectionId id, const Expected& expected,
                        const Reply& reply) {
  Connection& at = connections_.at(id);
  Lane& lane = lanes_.at(at.server);
  const auto it = sessions_.find(at.bound);
  if (reply.error == ErrorCode::kNone) {
    if (expected.proves_lead) NoteLeader(lane, reply.position, expected.sent);
    if (it == sessions_.end() || !it->second.pending) return Drop(id, false);
    return SendStatement(it->first, it->second, id);
  }
  NoteRefusal(lane, reply.error);
  if (it == sessions_.end() || !it->second.pending) return Drop(id, false);
  Session& session = it->second;
  if (reply.error == ErrorCode::kBehind) {
    session.pending->tried.insert(at.server);
  }
  Free(id, session, reply.state);
  Fail(it->first, session, EndOf(reply.error), reply.error, reply.detail);
}

void Proxy::OnStatementDone(ConnectionId id, const Expected& expected,
                            Reply reply) {
  Connection& at = connections_.at(id);
  Lane& lane = lanes_.at(at.server);
  const auto it = sessions_.find(at.bound);
  if (it == sessions_.end() || !it->second.pending) return Drop(id, false);
  Session& session = it->second;
  if (reply.error == ErrorCode::kNone) {
    const double ms = ToMs(now_ - expected.sent);
    lane.latency_ms += kLatencyGain * (ms - lane.latency_ms);
    if (expected.commits) lane.commits_lost = 0;
    lane.behind_pause = Duration(0);
    if (expected.proves_lead) NoteLeader(lane, reply.position, expected.sent);
    return Succeed(it->first, session, id, expected, std::move(reply));
  }
  Pending& pending = *session.pending;
  pending.tried.insert(at.server);
  NoteRefusal(lane, reply.error);
  const bool commit = pending.statement.verb == Verb::kCommit;
  const bool single = session.state == TransactionState::kIdle;
  const bool ended = commit && reply.state == TransactionState::kIdle;
  if (pending.wrapped) {
    // The rollback is on its way; its answer frees the connection.
    session.bound = 0;
    at.bound = 0;
  } else if (single || ended) {
    Free(id, session, reply.state);
  }
  Fail(it->first, session, EndOf(reply.error), reply.error, reply.detail);
}

void Proxy::Succeed(SessionId id, Session& session, ConnectionId connection,
                    const Expected& /*expected*/, Reply reply) {
  Pending& pending = *session.pending;
  Connection& at = connections_.at(connection);
  const bool commit = pending.statement.verb == Verb::kCommit;
  const bool single = session.state == TransactionState::kIdle;
  if ((commit && session.wrote) || (single && pending.writes)) {
    session.own = reply.position;
    session.own_service = pending.route->service;
  }
  if (single && !pending.writes) {
    Count(at.server == ServiceOf(pending.route->service).leader
              ? "reads_primary"
              : "reads_replica");
  }
  Count("statements_done");
  if (now_ - pending.arrived > pending.route->objective) {
    Count("statements_late");
    LogRequest("statement late id=" + pending.id +
               " database=" + session.database + " server=" + at.server +
               " waited_ms=" + Whole(pending.sent_at - pending.arrived) +
               " ran_ms=" + Whole(now_ - pending.sent_at) +
               " attempts=" + std::to_string(pending.attempts));
  }
  if (pending.wrapped) {
    session.bound = 0;
    at.bound = 0;
  } else if (single || commit) {
    session.bound = 0;
    at.bound = 0;
    MakeIdle(connection);
  }
  if (commit) EndTransaction(session);
  Answer(id, session, std::move(reply));
}

AttemptKind Proxy::KindOf(const Session& session) const {
  const Pending& pending = *session.pending;
  if (session.state == TransactionState::kOpen) {
    if (pending.statement.verb == Verb::kCommit && !pending.first_inside) {
      return session.wrote ? AttemptKind::kCommitWrites
                           : AttemptKind::kCommitReadOnly;
    }
    return pending.first_inside ? AttemptKind::kFirstInside
                                : AttemptKind::kLaterInside;
  }
  return pending.writes ? AttemptKind::kWrite : AttemptKind::kRead;
}

/// Ends or repeats the outstanding statement after an attempt failed. The
/// session must not be bound any more, unless its transaction goes on.
void Proxy::Fail(SessionId id, Session& session, AttemptEnd end, ErrorCode code,
                 const std::string& detail) {
  Pending& pending = *session.pending;
  pending.sent = false;
  Verdict verdict = Judge(KindOf(session), end);
  if (verdict == Verdict::kUnsure && !options_.safety->LostWriteInDoubt()) {
    verdict = Verdict::kRetry;
  }
  const bool may_retry =
      pending.attempts < options_.most_attempts && now_ < pending.deadline;
  LogRequest("attempt failed id=" + pending.id +
             " database=" + session.database + " end=" + NameOf(end) +
             " code=" + NameOf(code) + " attempts=" +
             std::to_string(pending.attempts) + " verdict=" + NameOf(verdict) +
             " age_ms=" + Whole(now_ - pending.arrived) +
             " own=" + Show(session.own) + " detail=" + detail);
  Count("attempts_failed");
  if (verdict == Verdict::kRetry && may_retry) {
    Unbind(session);
    return Retry(id, session,
                 code == ErrorCode::kBusy ? options_.busy_pause : Duration(0));
  }
  switch (verdict) {
    case Verdict::kRetry:
      return AnswerError(id, session, ErrorCode::kBusy, detail);
    case Verdict::kAbort:
      return AnswerError(id, session, ErrorCode::kAborted, detail);
    case Verdict::kFailed:
      session.in_doubt = now_;
      return AnswerError(id, session, ErrorCode::kFailed, detail);
    case Verdict::kTimeout:
      session.in_doubt = now_;
      return AnswerError(id, session, ErrorCode::kTimeout, detail);
    case Verdict::kUnsure:
      session.in_doubt = now_;
      return AnswerError(id, session, ErrorCode::kUnsure, detail);
  }
}

/// A copy that stays behind is asked ever less often.
void Proxy::NoteBehind(Lane& lane) {
  Count("reads_behind");
  lane.behind_pause = std::clamp(lane.behind_pause * 2, options_.behind_pause,
                                 options_.longest_behind_pause);
  lane.avoid_until = now_ + lane.behind_pause;
}

/// What has waited so long would be late, and delays what is not.
void Proxy::OnQueueLimit(SessionId id, std::uint64_t statement) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end() || !it->second.pending) return;
  Session& session = it->second;
  Pending& pending = *session.pending;
  if (pending.number != statement || !pending.queued) return;
  Service& service = ServiceOf(pending.route->service);
  service.primary_queue.Remove(id);
  service.read_queue.Remove(id);
  pending.queued = false;
  Count("refused_queue");
  LogRequest("statement refused id=" + pending.id +
             " database=" + session.database + " reason=queue queued_primary=" +
             std::to_string(service.primary_queue.size()) +
             " queued_reads=" + std::to_string(service.read_queue.size()));
  AnswerError(id, session, ErrorCode::kBusy, "no room in time");
}

void Proxy::Retry(SessionId id, Session& session, Duration pause) {
  Count("retries");
  if (pause == Duration(0)) return Enqueue(id, session);
  After(pause, {TimerKind::kRetryStatement, id, session.pending->number});
}

void Proxy::OnAttemptLimit(SessionId id, std::uint64_t statement) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end() || !it->second.pending) return;
  Session& session = it->second;
  Pending& pending = *session.pending;
  if (pending.number != statement || !pending.sent) return;
  const TimePoint due = pending.sent_at + options_.attempt_limit;
  if (now_ < due) {
    After(due - now_, {TimerKind::kAttemptLimit, id, statement});
    return;
  }
  pending.tried.insert(connections_.at(session.bound).server);
  const ConnectionId connection = std::exchange(session.bound, 0);
  Drop(connection, false);
  Count("attempts_timed_out");
  Fail(id, session, AttemptEnd::kLost, ErrorCode::kOther, "no answer in time");
}

void Proxy::OnDeadline(SessionId id, std::uint64_t statement) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end() || !it->second.pending) return;
  Session& session = it->second;
  Pending& pending = *session.pending;
  if (pending.number != statement) return;
  if (pending.queued) {
    Service& service = ServiceOf(pending.route->service);
    service.primary_queue.Remove(id);
    service.read_queue.Remove(id);
    pending.queued = false;
  }
  const bool was_sent = pending.sent;
  if (was_sent && session.bound != 0) {
    const ConnectionId connection = std::exchange(session.bound, 0);
    Drop(connection, false);
  }
  pending.attempts = options_.most_attempts;
  Count("deadlines_passed");
  Fail(id, session, was_sent ? AttemptEnd::kLost : AttemptEnd::kNotRun,
       ErrorCode::kTimeout, "the statement's time is over");
}

}  // namespace corianderdock::session
