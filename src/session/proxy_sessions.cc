#include <algorithm>
#include <utility>

#include "corianderdock/session/client_keys.h"
#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

/// Open transactions without a running statement are rolled back once the grace
/// period divided by this has passed.
constexpr int kTransactionGraceDivisor = 2;
/// Time left of the grace period when shutdown completes at the latest.
constexpr Duration kExitMargin = std::chrono::milliseconds(500);

}  // namespace

void Proxy::On(const SessionOpened& event) {
  if (!config_) {
    Count("sessions_refused");
    Emit(CloseSession{event.session, ErrorCode::kBusy, "no configuration yet"});
    return;
  }
  if (!config_->routes.contains(event.database)) {
    Count("sessions_refused");
    LogRequest("session refused database=" + event.database +
               " reason=no route" +
               " config_version=" + std::to_string(config_->version));
    Emit(CloseSession{event.session, ErrorCode::kNoDatabase, event.database});
    return;
  }
  Session opened;
  opened.database = event.database;
  opened.key = event.key;
  opened.key_fingerprint = event.key_fingerprint;
  const auto tenant =
      TenantOf(*config_, config_->routes.at(event.database).get(), event.key);
  if (!tenant) return RefuseKey(event.session, opened);
  opened.tenant = *tenant;
  Session& session = sessions_[event.session];
  session = std::move(opened);
  session.last_active = now_;
  Count("sessions_opened");
  Answer(event.session, session, {});
}

void Proxy::On(const SessionClosed& event) {
  const auto it = sessions_.find(event.session);
  if (it == sessions_.end()) return;
  Session& session = it->second;
  if (session.bound_connection != 0 && session.pending &&
      session.pending->sent) {
    // A reply is outstanding, so the connection cannot be reused.
    CloseConnection(session.bound_connection, false);
    session.bound_connection = 0;
  }
  if (session.pending && session.pending->queued) {
    Service& service = ServiceOf(session.pending->route->service);
    service.primary_queue.Remove(event.session);
    service.read_queue.Remove(event.session);
  }
  EndTransaction(session);
  sessions_.erase(event.session);
}

void Proxy::On(const StatementReceived& event) {
  const auto it = sessions_.find(event.session);
  if (it == sessions_.end()) return;
  Session& session = it->second;
  session.last_active = now_;
  const Statement& statement = event.statement;
  if (!CheckKey(event.session, session, statement)) return;
  const bool ends_transaction =
      statement.verb == Verb::kCommit || statement.verb == Verb::kRollback;
  if (session.state == TransactionState::kFailed && !ends_transaction) {
    return AnswerError(event.session, session, ErrorCode::kBad,
                       "the transaction failed; end it first");
  }
  if (LacksEvidence(session, statement.verb)) {
    return RefuseWithoutEvidence(event.session, session, event.id);
  }
  switch (statement.verb) {
    case Verb::kBegin:
    case Verb::kBeginRead:
      return BeginTransaction(event.session, session,
                              statement.verb == Verb::kBegin);
    case Verb::kRollback:
      return EndLocally(event.session, session, false);
    case Verb::kCommit:
      if (session.state != TransactionState::kOpen) {
        return EndLocally(event.session, session, true);
      }
      return AcceptStatement(event.session, session, event);
    case Verb::kSet:
      return StoreValue(event.session, session, statement);
    case Verb::kPrepareRead:
    case Verb::kPrepareWrite:
      return StorePrepared(event.session, session, statement);
    case Verb::kForget:
      return ForgetPrepared(event.session, session, statement);
    case Verb::kRead:
    case Verb::kWrite:
    case Verb::kExecute:
      return AcceptStatement(event.session, session, event);
    default:
      return AnswerError(event.session, session, ErrorCode::kBad,
                         "not a statement of a client");
  }
}

/// Checks the session's key under the configuration in force. Returns false if
/// the statement was answered or the session closed. A transaction doesn't
/// continue over the connection of a tenant that no longer holds the key.
bool Proxy::CheckKey(SessionId id, Session& session,
                     const Statement& statement) {
  const auto in_force = config_->routes.find(session.database);
  const Route* route = in_force != config_->routes.end()
                           ? in_force->second.get()
                           : session.route.get();
  auto tenant = TenantOf(*config_, route, session.key);
  if (!tenant) {
    EndTransaction(session);
    RefuseKey(id, session);
    sessions_.erase(id);
    return false;
  }
  if (*tenant == session.tenant) return true;
  session.tenant = *std::move(tenant);
  if (session.state != TransactionState::kOpen) return true;
  EndTransaction(session);
  session.state = TransactionState::kFailed;
  const bool ends_transaction =
      statement.verb == Verb::kCommit || statement.verb == Verb::kRollback;
  if (ends_transaction) return true;
  AnswerError(id, session, ErrorCode::kAborted, "the key has another tenant");
  return false;
}

void Proxy::RefuseKey(SessionId id, const Session& session) {
  Count("sessions_unauthorized");
  LogRequest("session refused database=" + session.database +
             " reason=key not valid key=" +
             FormatFingerprint(session.key_fingerprint) +
             " config_version=" + std::to_string(config_->version));
  Emit(CloseSession{id, ErrorCode::kNotAuthorized, "the key is not valid"});
}

std::shared_ptr<const Route> Proxy::RouteOf(const Session& session) const {
  if (session.route) return session.route;
  const auto it = config_->routes.find(session.database);
  return it == config_->routes.end() ? nullptr : it->second;
}

void Proxy::BeginTransaction(SessionId id, Session& session, bool read_write) {
  if (session.state != TransactionState::kIdle) {
    return AnswerError(id, session, ErrorCode::kBad,
                       "already in a transaction");
  }
  const auto route = RouteOf(session);
  if (!route) {
    return AnswerError(id, session, ErrorCode::kNoDatabase, session.database);
  }
  session.route = route;
  session.read_write = read_write;
  session.sent_write = false;
  session.state = TransactionState::kOpen;
  ScheduleAfter(config_->transaction_idle_timeout,
                {TimerKind::kTransactionIdle, id, 0});
  AnswerOk(id, session);
}

void Proxy::EndLocally(SessionId id, Session& session, bool commit) {
  if (session.state == TransactionState::kIdle && commit) {
    return AnswerError(id, session, ErrorCode::kBad, "not in a transaction");
  }
  EndTransaction(session);
  if (commit) {
    return AnswerError(id, session, ErrorCode::kAborted,
                       "the transaction had failed");
  }
  AnswerOk(id, session);
}

/// Rolls back the session's transaction at the server and unbinds the
/// connection, which returns to the pool with the reply.
void Proxy::RollBackAndUnbind(Session& session) {
  if (session.bound_connection == 0) return;
  const ConnectionId connection = std::exchange(session.bound_connection, 0);
  ServerCommand rollback;
  rollback.statement.verb = Verb::kRollback;
  SendOne(connection, std::move(rollback), Step::kEnd, false);
  connections_.at(connection).bound_session = 0;
}

void Proxy::EndTransaction(Session& session) {
  RollBackAndUnbind(session);
  session.state = TransactionState::kIdle;
  session.route = nullptr;
  session.read_write = false;
  session.sent_write = false;
}

void Proxy::StoreValue(SessionId id, Session& session,
                       const Statement& statement) {
  const bool known = session.values.contains(statement.name);
  if (!known && session.values.size() >= options_.max_session_values) {
    return AnswerError(id, session, ErrorCode::kBad, "too many values");
  }
  session.values[statement.name] = statement.text;
  AnswerOk(id, session);
}

void Proxy::StorePrepared(SessionId id, Session& session,
                          const Statement& statement) {
  const bool known = session.prepared.contains(statement.name);
  if (!known && session.prepared.size() >= options_.max_prepared_statements) {
    return AnswerError(id, session, ErrorCode::kBad,
                       "too many prepared statements");
  }
  session.prepared[statement.name] = {statement.verb == Verb::kPrepareWrite,
                                      statement.text};
  AnswerOk(id, session);
}

void Proxy::ForgetPrepared(SessionId id, Session& session,
                           const Statement& statement) {
  if (session.prepared.erase(statement.name) == 0) {
    return AnswerError(id, session, ErrorCode::kNoStatement, statement.name);
  }
  AnswerOk(id, session);
}

void Proxy::AcceptStatement(SessionId id, Session& session,
                            const StatementReceived& event) {
  const auto route = RouteOf(session);
  if (!route) {
    LogRequest(
        "statement refused id=" + event.id +
        " reason=no route config_version=" + std::to_string(config_->version));
    return AnswerError(id, session, ErrorCode::kNoDatabase, session.database);
  }
  PendingStatement pending;
  pending.id = event.id;
  pending.statement = event.statement;
  pending.route = route;
  pending.writes = event.statement.verb == Verb::kWrite;
  if (event.statement.verb == Verb::kExecute) {
    const auto it = session.prepared.find(event.statement.name);
    if (it == session.prepared.end()) {
      return AnswerError(id, session, ErrorCode::kNoStatement,
                         event.statement.name);
    }
    pending.prepared = it->second;
    pending.writes = it->second.writes;
  }
  const bool in_transaction = session.state == TransactionState::kOpen;
  if (in_transaction && pending.writes && !session.read_write) {
    return AnswerError(id, session, ErrorCode::kReadOnly, "read transaction");
  }
  pending.arrived = now_;
  pending.deadline = now_ + route->timeout;
  pending.statement_serial = next_statement_serial_++;
  session.pending = std::move(pending);
  ScheduleAfter(route->timeout, {TimerKind::kStatementDeadline, id,
                                 session.pending->statement_serial});
  ServiceOf(route->service).last_used = now_;
  if (session.bound_connection != 0) {
    return SendStatement(id, session, session.bound_connection);
  }
  session.pending->opens_transaction = in_transaction;
  if (TakeToken(id, session)) Enqueue(id, session);
}

void Proxy::Answer(SessionId id, Session& session, Reply reply) {
  const Duration latency =
      session.pending ? now_ - session.pending->arrived : Duration(0);
  session.pending.reset();
  session.last_active = now_;
  reply.state = session.state;
  Emit(AnswerSession{id, std::move(reply), latency});
}

void Proxy::AnswerOk(SessionId id, Session& session) {
  Answer(id, session, {});
}

void Proxy::AnswerError(SessionId id, Session& session, ErrorCode code,
                        std::string detail) {
  Reply reply;
  reply.error = code;
  reply.detail = std::move(detail);
  if (code == ErrorCode::kBusy) ReturnToken(session);
  if (session.state == TransactionState::kOpen && code != ErrorCode::kBad) {
    EndTransaction(session);
    session.state = TransactionState::kFailed;
  }
  Count("statements_refused");
  Answer(id, session, std::move(reply));
}

void Proxy::OnTransactionIdle(SessionId id) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end()) return;
  Session& session = it->second;
  if (session.state != TransactionState::kOpen) return;
  const Duration limit = config_->transaction_idle_timeout;
  const Duration idle =
      session.pending ? Duration(0) : now_ - session.last_active;
  if (idle < limit) {
    ScheduleAfter(limit - idle, {TimerKind::kTransactionIdle, id, 0});
    return;
  }
  LogRequest("transaction ended database=" + session.database + " reason=idle");
  Count("transactions_idle");
  EndTransaction(session);
  session.state = TransactionState::kFailed;
}

void Proxy::On(const StopRequested& event) {
  if (stop_requested_at_) return;
  stop_requested_at_ = now_;
  stop_grace_ = event.grace;
  Log("stop requested sessions=" + std::to_string(sessions_.size()));
}

void Proxy::CheckShutdown() {
  const bool close_for_isolation =
      isolated_since_ &&
      now_ - *isolated_since_ >=
          options_.isolated_after + options_.isolated_close_delay;
  if (close_for_isolation) CloseIdleSessions("isolated");
  if (!stop_requested_at_ || stop_finished_) return;
  const Duration elapsed = now_ - *stop_requested_at_;
  if (elapsed >= stop_grace_ / kTransactionGraceDivisor) {
    for (auto& [id, session] : sessions_) {
      if (session.state != TransactionState::kOpen || session.pending) continue;
      EndTransaction(session);
      session.state = TransactionState::kFailed;
    }
  }
  if (elapsed >= options_.load_balancer_drain_time) {
    CloseIdleSessions("stopping");
  }
  const bool grace_ending = elapsed >= stop_grace_ - kExitMargin;
  if (!grace_ending && (elapsed < options_.load_balancer_drain_time ||
                        !sessions_.empty() || PeersBound())) {
    return;
  }
  stop_finished_ = true;
  Log("stopped sessions=" + std::to_string(sessions_.size()));
  Emit(StopFinished{});
}

/// Closes sessions between statements, so that clients reconnect through the
/// load balancer to other instances.
void Proxy::CloseIdleSessions(const std::string& reason) {
  std::vector<SessionId> closing;
  for (const auto& [id, session] : sessions_) {
    if (session.pending || session.state != TransactionState::kIdle) continue;
    closing.push_back(id);
  }
  for (const SessionId id : closing) {
    Emit(CloseSession{id, ErrorCode::kNone, reason});
    sessions_.erase(id);
  }
}

}  // namespace corianderdock::session
