#include <algorithm>
#include <utility>

#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

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
/// Change of a lane's window when its server is full, and for each statement
/// done, over the window.
constexpr double kWindowDecrease = 0.5;
constexpr double kWindowIncrease = 0.1;

}  // namespace

/// Binds a connection of `lane` and sends the statement, behind a BEGIN where
/// it needs one. Returns false when no connection is free.
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
                    options_.safety->RequirePrimaryProof();
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
  const bool match = options_.safety->SynchronizeValues();
  return connection.state.Synchronize(match ? session.values : SessionValues{},
                                      session.pending->shape);
}

ServerCommand Proxy::CommandFor(const Session& session) const {
  const Pending& pending = *session.pending;
  ServerCommand command;
  command.id = pending.id;
  command.statement = pending.statement;
  if (pending.shape) {
    command.statement.name =
        ConnectionState::ServerStatementName(*pending.shape);
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
  if (code != ErrorCode::kBusy) return;
  lane.busy_until = now_ + options_.busy_pause;
  lane.window = std::max(lane.window * kWindowDecrease, 1.0);
}

/// Instances share a server's slots without knowing of each other: each sends
/// less when the server refuses for lack of room, and slowly more otherwise.
void Proxy::WidenWindow(Lane& lane) {
  const double most = lane.entry.slots;
  lane.window = std::min(lane.window + kWindowIncrease / lane.window, most);
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
  Fail(it->first, session, AttemptEndOf(reply.error), reply.error,
       reply.detail);
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
    NoteRunTime(session, now_ - expected.sent);
    if (expected.commits) lane.commits_lost = 0;
    WidenWindow(lane);
    lane.behind_pause = Duration(0);
    lane.behind_since.reset();
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
  Fail(it->first, session, AttemptEndOf(reply.error), reply.error,
       reply.detail);
}

void Proxy::NoteRunTime(const Session& session, Duration took) {
  const Route& route = *session.pending->route;
  Duration& average = ServiceOf(route.service).run_time[route.database];
  average +=
      std::chrono::duration_cast<Duration>(kLatencyGain * (took - average));
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
    return pending.first_inside ? AttemptKind::kFirstInTransaction
                                : AttemptKind::kLaterInTransaction;
  }
  return pending.writes ? AttemptKind::kWrite : AttemptKind::kRead;
}

/// Ends or repeats the outstanding statement after an attempt failed. The
/// session must not be bound any more, unless its transaction goes on.
void Proxy::Fail(SessionId id, Session& session, AttemptEnd end, ErrorCode code,
                 const std::string& detail) {
  Pending& pending = *session.pending;
  pending.sent = false;
  Verdict verdict = DecideVerdict(KindOf(session), end);
  if (verdict == Verdict::kUnsure &&
      !options_.safety->UnansweredWriteInDoubt()) {
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
  if (!lane.behind_since) lane.behind_since = now_;
  lane.behind_pause = std::clamp(lane.behind_pause * 2, options_.behind_pause,
                                 options_.longest_behind_pause);
  lane.avoid_until = now_ + lane.behind_pause;
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
