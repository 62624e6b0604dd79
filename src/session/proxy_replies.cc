#include <algorithm>
#include <utility>

#include "corianderdock/detail/log_text.h"
#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

using detail::FormatPosition;
using detail::OrDash;

void Proxy::On(const ServerReplied& event) {
  const auto it = connections_.find(event.connection);
  if (it == connections_.end()) return;
  Connection& connection = it->second;
  ServerPool& pool = pools_.at(connection.server);
  if (connection.doubted) return OnReplyInDoubt(event.connection, event.reply);
  if (connection.expected.empty()) {
    if (connection.shared) return OnOwnerDraining(event.connection);
    return OnExtraReply(event.connection, event.reply);
  }
  ExpectedReply expected = connection.expected.front();
  if (connection.shared && event.reply.error == ErrorCode::kTooMany) {
    return OnOwnerDraining(event.connection);
  }
  const MatchedReply matched = Match(pool, connection, expected, event.reply);
  const bool certain = matched.origin == ReplyOrigin::kOwn;
  expected.certain = certain;
  if (!certain) NoteUncertain(pool, expected, matched.origin, event.reply);
  if (matched.origin == ReplyOrigin::kRepeat) return NoteHeard(pool);
  connection.expected.pop_front();
  if (expected.uses_slot) --pool.running;
  const Reply& reply = event.reply;
  if (expected.uses_slot && certain) NoteAnswer(pool, expected, reply.error);
  const bool failed = reply.error != ErrorCode::kNone;
  NoteHeard(pool);
  if (matched.origin == ReplyOrigin::kPossibleRepeat &&
      CanAwaitEnd(pool, connection, expected, reply)) {
    return HoldInDoubt(event.connection, expected, reply);
  }
  if (matched.origin == ReplyOrigin::kForeign ||
      !Suffices(pool, connection, expected, reply, certain)) {
    if (expected.step == Step::kWitness) --pool.queries;
    return CloseInDoubt(event.connection, reply);
  }
  if (certain && !reply.receipt.empty()) {
    connection.setup_in_doubt = false;
    connection.unsettled = 0;
  } else if (!certain && RefusalDoubt::IsEnd(reply)) {
    ++connection.unsettled;
  }
  if (failed) connection.refused_at = reply.position;
  if (failed && !certain && expected.repeatable) AwaitEnd(event.connection);
  connection.retired = connection.retired || connection.replies.full();
  services_to_dispatch_.insert(connection.service);
  // A BEGIN that failed has opened no transaction.
  const Verb verb = expected.form.verb;
  if ((verb == Verb::kBegin || verb == Verb::kBeginRead) && failed &&
      connection.expected.empty()) {
    connection.in_transaction = false;
  }
  pool.log_position = LaterPosition(pool.log_position, reply.position);
  if (reply.position) CheckAcknowledged(pool, *reply.position);
  // What may be a repeat shows nothing that its predecessor didn't.
  if (!certain) expected.sent = std::min(expected.sent, matched.first_sent);
  NotePosition(pool, expected.sent, reply.position);
  NoteReport(pool, connection, expected, reply);
  switch (expected.step) {
    case Step::kBegin:
      OnBeginReply(event.connection, expected, reply, certain);
      break;
    case Step::kStatement:
      OnStatementReply(event.connection, expected, reply);
      break;
    case Step::kPeer:
      OnPeerReply(event.connection,
                  certain ? reply : WithoutEvidence(expected, reply));
      break;
    case Step::kProbe:
      if (!failed && certain) {
        NotePrimary(pool, reply.position, expected.sent);
      } else if (!failed) {
        // Statements prove a known primary; others need a reply that is new.
        connection.retired = PrimaryOfService(pool) != pool.entry.id;
      } else if (reply.error == ErrorCode::kReadOnly && certain) {
        NoteNotPrimary(pool);
      }
      break;
    case Step::kInspect:
    case Step::kWitness:
    case Step::kDemote:
    case Step::kFence:
      if (certain) {
        OnStatusAnswer(pool, expected, reply);
        break;
      }
      connection.retired = true;
      RepeatQuery(pool, expected);
      break;
    case Step::kSetup:
      if (!failed) {
        if (!certain) connection.setup_in_doubt = pool.repeats_replies;
        OnSetupReply(event.connection);
        break;
      }
      Log("connection closed server=" + connection.server +
          " reason=setup failed detail=" + reply.detail);
      return CloseConnection(event.connection, true);
    case Step::kContact:
    case Step::kEnd:
    case Step::kResume:
      break;
  }
  ReturnToPool(event.connection);
}

/// Whether a reply that fits its command decides the outcome of a statement or
/// of the BEGIN of a client's transaction.
bool Proxy::Suffices(const ServerPool& pool, const Connection& connection,
                     const ExpectedReply& expected, const Reply& reply,
                     bool certain) {
  const bool statement =
      expected.step == Step::kStatement || expected.step == Step::kPeer;
  if (!statement && expected.step != Step::kBegin) return true;
  if (reply.error != ErrorCode::kNone) {
    // The error may be that of the command before.
    const bool of_setup = statement && connection.setup_in_doubt;
    const bool of_begin =
        expected.begin_in_doubt && reply.state == TransactionState::kIdle;
    const bool harmless = expected.repeatable && !pool.repeats_replies;
    return (certain || harmless) && !of_setup && !of_begin;
  }
  const bool begins = expected.form.verb == Verb::kBegin ||
                      expected.form.verb == Verb::kBeginRead;
  if (certain || !begins || connection.shared) return true;
  // A repeat may hide that the log lacks the position, unless its predecessor
  // has shown that it doesn't.
  const bool reached =
      !expected.after ||
      (reply.position && LogContains(*reply.position, *expected.after));
  // A read of its own shows by its reply whether BEGIN succeeded. A client's
  // statements would run outside their transaction.
  const bool harmless = expected.own_read || expected.step == Step::kPeer;
  return reached && (harmless || !pool.repeats_replies);
}

/// Closes a connection after a reply that promises nothing about the command
/// that it was taken for.
void Proxy::CloseInDoubt(ConnectionId id, const Reply& reply) {
  const Connection& connection = connections_.at(id);
  const ServerId server = connection.server;
  const SessionId session = connection.bound_session;
  // What the server is short of needs no certainty.
  const bool refused =
      reply.error == ErrorCode::kBusy || reply.error == ErrorCode::kBehind;
  Count("connections_closed_in_doubt");
  LogRequest("connection closed server=" + server + " reason=reply in doubt " +
             DescribeReply(reply));
  if (refused) NoteRefusal(pools_.at(server), reply.error);
  CloseConnection(id, false);
  const auto it = sessions_.find(session);
  if (it == sessions_.end()) return;
  if (!refused || !it->second.pending || !it->second.pending->sent) {
    return FailLostConnection(session, it->second, server);
  }
  it->second.bound_connection = 0;
  it->second.pending->tried_servers.insert(server);
  FailAttempt(session, it->second, EndWithoutReply(*it->second.pending),
              reply.error, "reply in doubt");
}

/// Whether a ROLLBACK can show that a refusal which may be a repeat is the
/// command's own. A read goes elsewhere instead, as running it again is
/// harmless.
bool Proxy::CanAwaitEnd(const ServerPool& pool, const Connection& connection,
                        const ExpectedReply& expected, const Reply& reply) {
  const bool statement =
      expected.step == Step::kStatement || expected.step == Step::kPeer;
  const bool of_begin =
      expected.begin_in_doubt && reply.state == TransactionState::kIdle;
  return reply.error != ErrorCode::kNone && statement && !expected.repeatable &&
         RefusalDoubt::CanDecide(expected.form) && !of_begin &&
         !connection.setup_in_doubt && !connection.shared &&
         connection.expected.empty() && !pool.repeats_replies;
}

/// Sends a ROLLBACK behind a command whose refusal may be a repeat. Its session
/// or instance gets no answer until the doubt ends.
void Proxy::HoldInDoubt(ConnectionId id, const ExpectedReply& expected,
                        const Reply& reply) {
  Connection& connection = connections_.at(id);
  Count("refusals_in_doubt");
  connection.refused_at = reply.position;
  connection.doubted =
      DoubtedCommand{RefusalDoubt(expected.form, connection.unsettled,
                                  !expected.begin_in_doubt),
                     expected, reply, options_.busy_backoff};
  AwaitEnd(id);
}

/// Handles a reply on a connection with a command in doubt.
void Proxy::OnReplyInDoubt(ConnectionId id, const Reply& reply) {
  Connection& connection = connections_.at(id);
  ServerPool& pool = pools_.at(connection.server);
  DoubtedCommand& doubted = *connection.doubted;
  NoteHeard(pool);
  const SeenReply seen = connection.replies.FindOrAdd(reply, now_);
  const RefusalDoubt::State state = doubted.doubt.Add(reply, seen);
  const bool awaited =
      RefusalDoubt::IsEnd(reply) && !connection.expected.empty();
  if (awaited) {
    connection.expected.pop_front();
  } else {
    NoteUncertain(pool, doubted.expected, ReplyOrigin::kRepeat, reply);
  }
  switch (state) {
    case RefusalDoubt::State::kUnknown: {
      const Reply refusal = std::move(doubted.refusal);
      return CloseInDoubt(id, refusal);
    }
    case RefusalDoubt::State::kOpen:
      if (!awaited) return;
      ScheduleAfter(doubted.pause, {TimerKind::kRefusalDoubt, id, 0});
      doubted.pause *= 2;
      return;
    case RefusalDoubt::State::kRefused:
    case RefusalDoubt::State::kAnswered:
      break;
  }
  connection.retired = connection.retired || connection.replies.full();
  pool.log_position = LaterPosition(pool.log_position, reply.position);
  if (reply.position) CheckAcknowledged(pool, *reply.position);
  NotePosition(pool, doubted.expected.sent, reply.position);
  services_to_dispatch_.insert(connection.service);
  EndDoubt(id, state == RefusalDoubt::State::kRefused, reply);
}

/// Answers a command that was in doubt: with its refusal if that was its own,
/// and otherwise with `reply`, which is.
void Proxy::EndDoubt(ConnectionId id, bool refused, const Reply& reply) {
  Connection& connection = connections_.at(id);
  DoubtedCommand doubted = std::move(*connection.doubted);
  connection.doubted.reset();
  ExpectedReply& expected = doubted.expected;
  Count(refused ? "refusals_confirmed" : "refusals_repeated");
  // The ROLLBACK has ended the transaction.
  const bool ended_early =
      expected.form.in_transaction && expected.form.verb != Verb::kCommit;
  if (refused) {
    connection.unsettled = doubted.ends_sent - 1;
  } else {
    connection.retired = true;
    if (ended_early) return CloseInDoubt(id, doubted.refusal);
  }
  Reply own = refused ? doubted.refusal : reply;
  if (expected.step == Step::kPeer) {
    // The other instance sends a ROLLBACK, which releases the connection.
    const bool open = refused && own.state == TransactionState::kOpen;
    if (open) own.state = TransactionState::kFailed;
    OnPeerReply(id, std::move(own));
  } else {
    if (refused) own.state = TransactionState::kIdle;
    expected.certain = true;
    OnStatementReply(id, expected, std::move(own));
  }
  ReturnToPool(id);
}

/// Sends another ROLLBACK, whose reply differs from those before once the log
/// has grown.
void Proxy::OnRefusalDoubt(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end() || !it->second.doubted) return;
  if (!it->second.expected.empty()) return;
  ++it->second.doubted->ends_sent;
  AwaitEnd(id);
}

/// Keeps a connection from other statements until a ROLLBACK is answered. If an
/// error was a repeat, the statement's own reply comes before and is found out.
void Proxy::AwaitEnd(ConnectionId id) {
  if (!connections_.at(id).expected.empty()) return;
  ServerCommand end;
  end.statement.verb = Verb::kRollback;
  SendOne(id, std::move(end), Step::kEnd, false);
}

/// Asks again, over another connection, after a reply that may be a repeat.
void Proxy::RepeatQuery(ServerPool& pool, const ExpectedReply& expected) {
  // Such queries have a pause and are repeated while they are needed.
  if (expected.step == Step::kWitness) {
    --pool.queries;
    return;
  }
  ServerCommand command;
  command.statement.verb = expected.form.verb;
  command.term = expected.term;
  SendControl(pool.entry.id, std::move(command), expected.step);
}

/// Returns what another instance may learn of a reply that may be a repeat.
Reply Proxy::WithoutEvidence(const ExpectedReply& expected,
                             const Reply& reply) {
  Reply rest = reply;
  rest.position.reset();
  if (!reply.status) return rest;
  rest = {};
  rest.error = ErrorCode::kBusy;
  rest.detail = "status may be a repeat";
  if (expected.form.in_transaction) rest.state = TransactionState::kOpen;
  return rest;
}

/// Finds the origin of a reply to the oldest outstanding command. An instance
/// that shares its connections drops repeats itself, and leaves out the
/// position where it isn't certain of a reply.
Proxy::MatchedReply Proxy::Match(const ServerPool& pool, Connection& connection,
                                 const ExpectedReply& expected,
                                 const Reply& reply) {
  MatchedReply matched;
  if (connection.shared) {
    const bool evident = reply.position || reply.error != ErrorCode::kNone;
    matched.origin = !HasReplyForm(expected.form, reply) ? ReplyOrigin::kForeign
                     : evident                           ? ReplyOrigin::kOwn
                               : ReplyOrigin::kPossibleRepeat;
    return matched;
  }
  const SeenReply seen = connection.replies.FindOrAdd(reply, expected.sent);
  matched.origin = OriginOf(expected.form, reply, seen, pool.repeats_replies);
  matched.first_sent = seen.reply ? seen.sent : expected.sent;
  return matched;
}

/// Describes a reply for a log line.
std::string Proxy::DescribeReply(const Reply& reply) {
  return "receipt=" + OrDash(reply.receipt) + " code=" + NameOf(reply.error) +
         " rows=" + std::to_string(reply.rows.size()) +
         " state=" + std::to_string(static_cast<int>(reply.state)) +
         " position=" + FormatPosition(reply.position);
}

/// Counts and logs a reply that isn't certain to be the one that is expected.
void Proxy::NoteUncertain(ServerPool& pool, const ExpectedReply& expected,
                          ReplyOrigin origin, const Reply& reply) {
  const std::string name = NameOf(origin);
  Count("replies_" + name);
  // Commands of one kind often have equal replies, and errors as well.
  if (origin == ReplyOrigin::kPossibleRepeat &&
      reply.error == ErrorCode::kNone) {
    return;
  }
  if (origin != ReplyOrigin::kPossibleRepeat) NoteRepeats(pool);
  LogRequest("reply not certain server=" + pool.entry.id + " origin=" + name +
             " expected=" + NameOf(expected.form.verb) + " in_transaction=" +
             std::to_string(static_cast<int>(expected.form.in_transaction)) +
             " " + DescribeReply(reply));
}

/// From now on, errors of the server that are equal but for the position, and
/// equal replies to BEGIN, may be repeats.
void Proxy::NoteRepeats(ServerPool& pool) {
  if (pool.repeats_replies) return;
  pool.repeats_replies = true;
  Warn("server repeats replies id=" + pool.entry.id);
}

/// Handles a reply that no command awaits.
void Proxy::OnExtraReply(ConnectionId id, const Reply& reply) {
  Connection& connection = connections_.at(id);
  ServerPool& pool = pools_.at(connection.server);
  const SeenReply seen = connection.replies.FindOrAdd(reply, now_);
  const bool harmless = IsHarmlessExtra(reply, seen);
  Count("replies_extra");
  NoteRepeats(pool);
  LogRequest("reply without a command server=" + connection.server +
             " closes=" + std::to_string(static_cast<int>(!harmless)) + " " +
             DescribeReply(reply));
  NoteHeard(pool);
  if (!harmless) CloseConnection(id, true);
}

/// Sends what waited for the setup of its connection.
void Proxy::OnSetupReply(ConnectionId id) {
  const Connection& connection = connections_.at(id);
  if (!connection.expected.empty()) return;
  const auto peer = peers_.find(connection.bound_peer);
  if (peer != peers_.end() && peer->second.awaits_setup) {
    peer->second.awaits_setup = false;
    return SendPeerCommand(peer->first, peer->second);
  }
  const auto it = sessions_.find(connection.bound_session);
  if (it == sessions_.end() || !it->second.pending) return;
  if (!std::exchange(it->second.pending->awaits_setup, false)) return;
  SendPending(it->first, it->second, id);
}

}  // namespace corianderdock::session
