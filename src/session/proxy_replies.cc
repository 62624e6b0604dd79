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
  if (connection.expected.empty()) {
    if (connection.shared) return OnOwnerDraining(event.connection);
    NoteExtraReply(connection, event.reply);
    Log("connection closed server=" + connection.server +
        " reason=unexpected reply");
    return CloseConnection(event.connection, true);
  }
  const ExpectedReply expected = connection.expected.front();
  if (!connection.shared) NoteOrigin(connection, expected, event.reply);
  if (connection.shared && event.reply.error == ErrorCode::kTooMany) {
    return OnOwnerDraining(event.connection);
  }
  connection.expected.pop_front();
  if (expected.uses_slot) --pool.running;
  NoteHeard(pool);
  services_to_dispatch_.insert(connection.service);
  const Reply& reply = event.reply;
  // A BEGIN that failed has opened no transaction.
  const Verb verb = expected.form.verb;
  if ((verb == Verb::kBegin || verb == Verb::kBeginRead) &&
      reply.error != ErrorCode::kNone && connection.expected.empty()) {
    connection.in_transaction = false;
  }
  pool.log_position = LaterPosition(pool.log_position, reply.position);
  if (reply.position) CheckAcknowledged(pool, *reply.position);
  NotePosition(pool, expected.sent, reply.position);
  NoteContact(pool, connection, expected, reply);
  switch (expected.step) {
    case Step::kBegin:
      OnBeginReply(event.connection, expected, reply);
      break;
    case Step::kStatement:
      OnStatementReply(event.connection, expected, reply);
      break;
    case Step::kPeer:
      OnPeerReply(event.connection, reply);
      break;
    case Step::kProbe:
      if (reply.error == ErrorCode::kNone) {
        NotePrimary(pool, reply.position, expected.sent);
      } else if (reply.error == ErrorCode::kReadOnly) {
        NoteNotPrimary(pool);
      }
      break;
    case Step::kInspect:
    case Step::kWitness:
    case Step::kDemote:
    case Step::kFence:
      OnStatusAnswer(pool, expected, reply);
      break;
    case Step::kSetup:
      if (reply.error == ErrorCode::kNone) break;
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

/// Describes a reply for a log line.
std::string Proxy::DescribeReply(const Reply& reply) {
  return "receipt=" + OrDash(reply.receipt) + " code=" + NameOf(reply.error) +
         " rows=" + std::to_string(reply.rows.size()) +
         " state=" + std::to_string(static_cast<int>(reply.state)) +
         " position=" + FormatPosition(reply.position);
}

/// Counts and logs a reply that isn't certain to be the one that is expected.
void Proxy::NoteOrigin(Connection& connection, const ExpectedReply& expected,
                       const Reply& reply) {
  const SeenReply seen = connection.replies.FindOrAdd(reply, expected.sent);
  const ReplyOrigin origin = OriginOf(expected.form, reply, seen, false);
  if (origin == ReplyOrigin::kOwn) return;
  const std::string name = NameOf(origin);
  Count("replies_" + name);
  // A command without result may have the same reply many times.
  if (origin == ReplyOrigin::kPossibleRepeat &&
      reply.error == ErrorCode::kNone) {
    return;
  }
  LogRequest("reply not certain server=" + connection.server +
             " origin=" + name + " expected=" + NameOf(expected.form.verb) +
             " in_transaction=" +
             std::to_string(static_cast<int>(expected.form.in_transaction)) +
             " " + DescribeReply(reply));
}

/// Counts and logs a reply that no command awaits.
void Proxy::NoteExtraReply(Connection& connection, const Reply& reply) {
  const SeenReply seen = connection.replies.FindOrAdd(reply, now_);
  Count("replies_extra");
  LogRequest("reply without a command server=" + connection.server +
             " known=" + std::to_string(static_cast<int>(seen.reply)) + " " +
             DescribeReply(reply));
}

}  // namespace corianderdock::session
