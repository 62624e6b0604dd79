#include <algorithm>
#include <utility>

#include "corianderdock/detail/log_text.h"
#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

using detail::FormatPosition;
using detail::WholeMs;

namespace {

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Weight of a new observation in a moving average.
constexpr double kLatencySmoothing = 0.1;
/// Additive increase and multiplicative decrease of a server's concurrency
/// limit: the factor applied when the server is full, and the increment,
/// divided by the limit, for each completed statement.
constexpr double kConcurrencyDecrease = 0.5;
constexpr double kConcurrencyIncrease = 0.1;

}  // namespace

/// Binds an idle connection of `pool` and sends the statement, or first a BEGIN
/// if it opens a transaction or its read needs proof of leadership. Returns
/// false when no connection is idle.
bool Proxy::StartAttempt(SessionId id, Session& session, ServerPool& pool) {
  PendingStatement& pending = *session.pending;
  const bool primary = NeedsPrimary(session);
  const auto position =
      primary ? std::nullopt
              : RequiredPosition(session, ServiceOf(pending.route->service));
  const ConnectionId connection =
      TakeIdle(pool, session.tenant, session.values, pending.prepared);
  if (connection == 0) return false;
  connections_.at(connection).bound_session = id;
  session.bound_connection = connection;
  ++pending.attempts;
  pending.sent = true;
  pending.required = position;
  pending.sent_at = now_;
  pending.in_proxy_transaction = primary && !pending.writes &&
                                 !pending.opens_transaction &&
                                 options_.safety->RequirePrimaryProof();
  if (!pending.writes) {
    ScheduleAfter(options_.attempt_timeout,
                  {TimerKind::kAttemptTimeout, id, pending.statement_serial});
  }
  const bool set_up = SetUp(session, connection);
  if (pending.in_proxy_transaction || pending.opens_transaction) {
    const bool read_only =
        pending.opens_transaction && !session.read_write && !primary;
    ServerCommand begin;
    begin.statement.verb = read_only ? Verb::kBeginRead : Verb::kBegin;
    begin.after = position;
    // The statement itself, which follows the reply, proves leadership anew.
    const bool proves = !read_only && !pending.in_proxy_transaction;
    SendOne(connection, std::move(begin), Step::kBegin, proves);
    ExpectedReply& expected = connections_.at(connection).expected.back();
    expected.own_read = pending.in_proxy_transaction;
    expected.repeatable = true;
    pending.awaits_setup = true;
    return true;
  }
  pending.awaits_setup = !set_up;
  if (set_up) SendPending(id, session, connection);
  return true;
}

/// Sends the commands that bring a connection to the state of a session.
/// Returns false if the statement has to wait for the replies: it must not run
/// where one of them failed. An owner of connections waits for them itself.
bool Proxy::SetUp(Session& session, ConnectionId connection) {
  Connection& server_connection = connections_.at(connection);
  SetTenant(connection, session.tenant);
  auto commands = SetupCommands(session, server_connection);
  const bool done = commands.empty() || server_connection.shared;
  Send(connection, std::move(commands), Step::kSetup);
  return done;
}

std::vector<ServerCommand> Proxy::SetupCommands(const Session& session,
                                                Connection& connection) const {
  const bool synchronize = options_.safety->SynchronizeValues();
  return connection.state.Synchronize(
      synchronize ? session.values : SessionValues{},
      session.pending->prepared);
}

ServerCommand Proxy::CommandFor(const Session& session,
                                const Connection& connection) {
  const PendingStatement& pending = *session.pending;
  ServerCommand command;
  command.id = pending.id;
  command.statement = pending.statement;
  if (pending.prepared) {
    command.statement.name =
        connection.state.ServerStatementName(*pending.prepared);
  }
  return command;
}

/// Sends a statement in the transaction that is open on its connection, which
/// may be one that the proxy began for a read.
void Proxy::SendStatement(SessionId id, Session& session,
                          ConnectionId connection) {
  PendingStatement& pending = *session.pending;
  const bool commit = pending.statement.verb == Verb::kCommit;
  if (!pending.sent) {
    pending.sent = true;
    pending.sent_at = now_;
    ++pending.attempts;
    if (!commit) {
      ScheduleAfter(options_.attempt_timeout,
                    {TimerKind::kAttemptTimeout, id, pending.statement_serial});
    }
  }
  pending.awaits_setup = !SetUp(session, connection);
  if (!pending.awaits_setup) SendPending(id, session, connection);
}

/// Sends the outstanding statement over its connection, which is set up.
void Proxy::SendPending(SessionId id, Session& session,
                        ConnectionId connection) {
  const PendingStatement& pending = *session.pending;
  if (!MayServe(*pending.route)) {
    return RefuseWithoutEvidence(id, session, StatementId(pending.id));
  }
  const Connection& server_connection = connections_.at(connection);
  const bool in_transaction = server_connection.in_transaction;
  const bool commit = pending.statement.verb == Verb::kCommit;
  if (in_transaction && pending.writes) session.sent_write = true;
  const bool commits_writes =
      in_transaction ? commit && session.sent_write : pending.writes;
  // The primary runs no statement of a plain transaction once it is replaced.
  const bool plain_transaction =
      pending.in_proxy_transaction || (in_transaction && session.read_write);
  ServerCommand command = CommandFor(session, server_connection);
  if (!in_transaction) command.after = pending.required;
  SendOne(connection, std::move(command), Step::kStatement,
          commits_writes || (plain_transaction && !commit), commits_writes);
  ExpectedReply& expected = connections_.at(connection).expected.back();
  expected.begin_in_doubt = pending.begin_in_doubt;
  expected.repeatable = !pending.writes && !commit &&
                        (!in_transaction || pending.in_proxy_transaction);
  if (!pending.in_proxy_transaction) return;
  ServerCommand end;
  end.statement.verb = Verb::kRollback;
  SendOne(connection, std::move(end), Step::kEnd, false);
}

/// How an attempt ends whose reply doesn't come.
AttemptEnd Proxy::EndWithoutReply(const PendingStatement& pending) {
  return pending.awaits_setup ? AttemptEnd::kNotRun : AttemptEnd::kLost;
}

/// Updates the state of a server after an error reply.
void Proxy::NoteRefusal(ServerPool& pool, ErrorCode code) {
  if (code == ErrorCode::kReadOnly) NoteNotPrimary(pool);
  if (code == ErrorCode::kBehind) NoteBehind(pool);
  if (code != ErrorCode::kBusy) return;
  pool.busy_until = now_ + options_.busy_backoff;
  pool.concurrency_limit =
      std::max(pool.concurrency_limit * kConcurrencyDecrease, 1.0);
}

/// Instances share a server's slots without coordination. Each lowers its limit
/// when the server refuses a statement as full, and raises it slowly otherwise.
void Proxy::RaiseConcurrencyLimit(ServerPool& pool) {
  const double max_limit = pool.entry.slots;
  pool.concurrency_limit = std::min(
      pool.concurrency_limit + kConcurrencyIncrease / pool.concurrency_limit,
      max_limit);
}

/// Unbinds a connection from its session. Returns it to the pool if no
/// transaction is open on it, and closes it otherwise.
void Proxy::ReleaseConnection(ConnectionId id, Session& session,
                              TransactionState state) {
  session.bound_connection = 0;
  connections_.at(id).bound_session = 0;
  if (state == TransactionState::kIdle) return ReturnToPool(id);
  CloseConnection(id, false);
}

void Proxy::OnBeginReply(ConnectionId id, const ExpectedReply& expected,
                         const Reply& reply, bool certain) {
  Connection& server_connection = connections_.at(id);
  ServerPool& pool = pools_.at(server_connection.server);
  const auto it = sessions_.find(server_connection.bound_session);
  if (reply.error == ErrorCode::kNone) {
    if (expected.proves_leadership && certain) {
      NotePrimary(pool, reply.position, expected.sent);
    }
    if (it == sessions_.end() || !it->second.pending) {
      return CloseConnection(id, false);
    }
    it->second.pending->begin_in_doubt = !certain;
    return SendStatement(it->first, it->second, id);
  }
  if (expected.certain || reply.error != ErrorCode::kReadOnly) {
    NoteRefusal(pool, reply.error);
  }
  if (it == sessions_.end() || !it->second.pending) {
    return CloseConnection(id, false);
  }
  Session& session = it->second;
  if (reply.error == ErrorCode::kBehind) {
    session.pending->tried_servers.insert(server_connection.server);
  }
  ReleaseConnection(id, session, reply.state);
  FailAttempt(it->first, session, AttemptEndOf(reply.error), reply.error,
              reply.detail);
}

void Proxy::OnStatementReply(ConnectionId id, const ExpectedReply& expected,
                             Reply reply) {
  Connection& server_connection = connections_.at(id);
  ServerPool& pool = pools_.at(server_connection.server);
  const auto it = sessions_.find(server_connection.bound_session);
  if (it == sessions_.end() || !it->second.pending) {
    return CloseConnection(id, false);
  }
  Session& session = it->second;
  if (reply.error == ErrorCode::kNone) {
    const double ms = ToMs(now_ - expected.sent);
    pool.latency_ms += kLatencySmoothing * (ms - pool.latency_ms);
    NoteRunTime(session, now_ - expected.sent);
    if (expected.commits_writes) {
      pool.lost_commits = 0;
    }
    RaiseConcurrencyLimit(pool);
    pool.behind_backoff = Duration(0);
    pool.behind_since.reset();
    if (expected.proves_leadership) {
      NotePrimary(pool, reply.position, expected.sent);
    }
    return CompleteStatement(it->first, session, id, expected,
                             std::move(reply));
  }
  PendingStatement& pending = *session.pending;
  pending.tried_servers.insert(server_connection.server);
  NoteRefusal(pool, reply.error);
  if (reply.error == ErrorCode::kNoStatement) {
    server_connection.state.Invalidate();
  }
  const bool commit = pending.statement.verb == Verb::kCommit;
  const bool autocommit = session.state == TransactionState::kIdle;
  // A ROLLBACK that showed that a refusal is the statement's own ends its
  // transaction.
  const bool ended = reply.state == TransactionState::kIdle &&
                     (commit || !server_connection.in_transaction);
  if (pending.in_proxy_transaction) {
    // The ROLLBACK is in flight; its reply returns the connection to the pool.
    session.bound_connection = 0;
    server_connection.bound_session = 0;
  } else if (autocommit || ended) {
    ReleaseConnection(id, session, reply.state);
  }
  FailAttempt(it->first, session, AttemptEndOf(reply.error), reply.error,
              reply.detail);
}

void Proxy::NoteRunTime(const Session& session, Duration run_time) {
  const Route& route = *session.pending->route;
  Duration& average = ServiceOf(route.service).mean_run_time[route.database];
  average += std::chrono::duration_cast<Duration>(kLatencySmoothing *
                                                  (run_time - average));
}

void Proxy::CompleteStatement(SessionId id, Session& session,
                              ConnectionId connection,
                              const ExpectedReply& expected, Reply reply) {
  PendingStatement& pending = *session.pending;
  Connection& server_connection = connections_.at(connection);
  const ServerId server = server_connection.server;
  const bool commit = pending.statement.verb == Verb::kCommit;
  const bool autocommit = session.state == TransactionState::kIdle;
  if ((commit && session.sent_write) || (autocommit && pending.writes)) {
    session.last_commit = reply.position;
    session.last_commit_service = pending.route->service;
  }
  if (autocommit && !pending.writes) {
    Count(server_connection.server == ServiceOf(pending.route->service).primary
              ? "reads_primary"
              : "reads_replica");
  }
  Count("statements_done");
  if (now_ - pending.arrived > pending.route->latency_objective) {
    Count("statements_late");
    LogRequest("statement late id=" + pending.id + " database=" +
               session.database + " server=" + server_connection.server +
               " waited_ms=" + WholeMs(pending.sent_at - pending.arrived) +
               " ran_ms=" + WholeMs(now_ - pending.sent_at) +
               " attempts=" + std::to_string(pending.attempts));
  }
  if (pending.in_proxy_transaction) {
    session.bound_connection = 0;
    server_connection.bound_session = 0;
  } else if (autocommit || commit) {
    session.bound_connection = 0;
    server_connection.bound_session = 0;
    ReturnToPool(connection);
  }
  const bool commits_writes =
      (commit && session.sent_write) || (autocommit && pending.writes);
  if (commit) EndTransaction(session);
  if (commits_writes) {
    pending.position_before = expected.known_position;
    return AnswerCommit(id, session, server, expected.sent, std::move(reply));
  }
  Answer(id, session, std::move(reply));
}

AttemptKind Proxy::AttemptKindOf(const Session& session) const {
  const PendingStatement& pending = *session.pending;
  if (session.state == TransactionState::kOpen) {
    if (pending.statement.verb == Verb::kCommit && !pending.opens_transaction) {
      return session.sent_write ? AttemptKind::kCommitWrites
                                : AttemptKind::kCommitReadOnly;
    }
    return pending.opens_transaction ? AttemptKind::kFirstInTransaction
                                     : AttemptKind::kLaterInTransaction;
  }
  return pending.writes ? AttemptKind::kWrite : AttemptKind::kRead;
}

/// Answers or retries the outstanding statement after a failed attempt. The
/// session must be unbound already, unless its transaction is still open.
void Proxy::FailAttempt(SessionId id, Session& session, AttemptEnd end,
                        ErrorCode code, const std::string& detail) {
  PendingStatement& pending = *session.pending;
  pending.sent = false;
  pending.awaits_setup = false;
  Verdict verdict = DecideVerdict(AttemptKindOf(session), end);
  // If BEGIN failed, the statement has run outside its transaction.
  const bool ran_alone = pending.begin_in_doubt && pending.writes;
  if (ran_alone && end == AttemptEnd::kLost) verdict = Verdict::kUnsure;
  if (verdict == Verdict::kUnsure &&
      !options_.safety->UnansweredWriteInDoubt()) {
    verdict = Verdict::kRetry;
  }
  const bool may_retry =
      pending.attempts < options_.max_attempts && now_ < pending.deadline;
  LogRequest("attempt failed id=" + pending.id +
             " database=" + session.database + " end=" + NameOf(end) +
             " code=" + NameOf(code) + " attempts=" +
             std::to_string(pending.attempts) + " verdict=" + NameOf(verdict) +
             " age_ms=" + WholeMs(now_ - pending.arrived) + " last_commit=" +
             FormatPosition(session.last_commit) + " detail=" + detail);
  Count("attempts_failed");
  if (verdict == Verdict::kRetry && may_retry) {
    RollBackAndUnbind(session);
    return Retry(
        id, session,
        code == ErrorCode::kBusy ? options_.busy_backoff : Duration(0));
  }
  switch (verdict) {
    case Verdict::kRetry:
      return AnswerError(id, session, ErrorCode::kBusy, detail);
    case Verdict::kAbort:
      return AnswerError(id, session, ErrorCode::kAborted, detail);
    case Verdict::kFailed:
      session.in_doubt_since = now_;
      return AnswerError(id, session, ErrorCode::kFailed, detail);
    case Verdict::kTimeout:
      session.in_doubt_since = now_;
      return AnswerError(id, session, ErrorCode::kTimeout, detail);
    case Verdict::kUnsure:
      session.in_doubt_since = now_;
      return AnswerError(id, session, ErrorCode::kUnsure, detail);
  }
}

/// Reads back off exponentially from a server that stays behind.
void Proxy::NoteBehind(ServerPool& pool) {
  Count("reads_behind");
  if (!pool.behind_since) pool.behind_since = now_;
  pool.behind_backoff =
      std::clamp(pool.behind_backoff * 2, options_.behind_backoff,
                 options_.max_behind_backoff);
  pool.avoid_reads_until = now_ + pool.behind_backoff;
}

void Proxy::Retry(SessionId id, Session& session, Duration pause) {
  Count("retries");
  if (pause == Duration(0)) return Enqueue(id, session);
  ScheduleAfter(pause, {TimerKind::kRetryStatement, id,
                        session.pending->statement_serial});
}

void Proxy::OnAttemptTimeout(SessionId id, std::uint64_t statement_serial) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end() || !it->second.pending) return;
  Session& session = it->second;
  PendingStatement& pending = *session.pending;
  if (pending.statement_serial != statement_serial || !pending.sent) return;
  const TimePoint due = pending.sent_at + options_.attempt_timeout;
  if (now_ < due) {
    ScheduleAfter(due - now_,
                  {TimerKind::kAttemptTimeout, id, statement_serial});
    return;
  }
  if (pending.held_reply) return;
  const ServerId server = connections_.at(session.bound_connection).server;
  pending.tried_servers.insert(server);
  pools_.at(server).outcomes.OnFailure(now_, options_.attempt_timeout);
  const ConnectionId connection = std::exchange(session.bound_connection, 0);
  CloseConnection(connection, false);
  Count("attempts_timed_out");
  FailAttempt(id, session, EndWithoutReply(pending), ErrorCode::kOther,
              "no answer in time");
}

void Proxy::OnDeadline(SessionId id, std::uint64_t statement_serial) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end() || !it->second.pending) return;
  Session& session = it->second;
  PendingStatement& pending = *session.pending;
  if (pending.statement_serial != statement_serial) return;
  if (pending.held_reply) {
    pending.attempts = options_.max_attempts;
    return FailHeld(id, session, "no proof of leadership in time");
  }
  if (pending.queued) {
    Service& service = ServiceOf(pending.route->service);
    service.primary_queue.Remove(id);
    service.read_queue.Remove(id);
    pending.queued = false;
  }
  const bool was_sent = pending.sent;
  if (was_sent && session.bound_connection != 0) {
    const ConnectionId connection = std::exchange(session.bound_connection, 0);
    CloseConnection(connection, false);
  }
  pending.attempts = options_.max_attempts;
  Count("deadlines_passed");
  FailAttempt(id, session,
              was_sent ? EndWithoutReply(pending) : AttemptEnd::kNotRun,
              ErrorCode::kTimeout, "the statement's time is over");
}

}  // namespace corianderdock::session
