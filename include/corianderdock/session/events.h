/// \file
/// What can happen to the session proxy, and what it asks for, as data.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "corianderdock/session/model.h"
#include "corianderdock/session/statement.h"

namespace corianderdock::session {

/// A client opened a session on a database.
struct SessionOpened {
  SessionId session = 0;
  DatabaseName database;
};

/// A client sent a statement. At most one of a session is outstanding.
struct StatementReceived {
  SessionId session = 0;
  StatementId id;
  Statement statement;
};

/// A client's connection ended.
struct SessionClosed {
  SessionId session = 0;
};

/// A connection to a server was opened or refused.
struct ServerConnected {
  ConnectionId connection = 0;
  ErrorCode error = ErrorCode::kNone;  ///< `kOther`: not reachable
  std::optional<Position> position;
};

/// A server answered the oldest unanswered command of a connection.
struct ServerReplied {
  ConnectionId connection = 0;
  Reply reply;
};

/// A connection to a server ended.
struct ServerConnectionLost {
  ConnectionId connection = 0;
};

/// The store returned a configuration.
struct ConfigRead {
  std::shared_ptr<const RoutingConfig> config;
};

/// The store returned the list of servers.
struct ServersRead {
  ServerList servers;
  bool settled = false;  ///< no server that lives is missing from the list
};

/// The store returned the list of instances that live.
struct InstancesRead {
  InstanceList instances;
};

/// The store answered a claim for the promotion of a service's server.
struct ClaimAnswered {
  ServiceId service;
  std::uint64_t token = 0;  ///< fencing token; 0 when the claim failed
  bool store_away = false;  ///< it failed since the store did not answer
};

/// This instance has a fencing token of its own, for use while the store is
/// away.
struct TokenObtained {
  std::uint64_t token = 0;
};

enum class PromotionResult { kAccepted, kRefused, kUnknown };

/// The platform answered a promotion order.
struct PromotionAnswered {
  ServiceId service;
  ServerId server;
  PromotionResult result = PromotionResult::kUnknown;
};

/// Time passed; fires what is due.
struct TimerFired {};

/// The instance was told to leave within `grace`.
struct StopRequested {
  Duration grace{0};
};

using Event =
    std::variant<SessionOpened, StatementReceived, SessionClosed,
                 ServerConnected, ServerReplied, ServerConnectionLost,
                 ConfigRead, ServersRead, InstancesRead, ClaimAnswered,
                 TokenObtained, PromotionAnswered, TimerFired, StopRequested>;

/// Answer the outstanding statement of a session, or its opening.
struct AnswerSession {
  SessionId session = 0;
  Reply reply;
  Duration took{0};  ///< since the statement arrived; 0 for local answers
};

/// Refuse the opening of a session and close it, or close it between answers.
struct CloseSession {
  SessionId session = 0;
  ErrorCode error = ErrorCode::kNone;
  std::string detail;
};

/// Open a connection; ends in `ServerConnected`.
struct OpenServerConnection {
  ConnectionId connection = 0;
  ServerId server;
  ServiceId service;
  std::string address;
  std::string relay_address;  ///< of the instance to go through; may be empty
};

/// Close a connection; nothing more is reported for it.
struct CloseServerConnection {
  ConnectionId connection = 0;
};

/// Send a command behind the earlier ones; ends in `ServerReplied`.
struct SendCommand {
  ConnectionId connection = 0;
  ServerCommand command;
};

/// Obtain a new fencing token for `service`; ends in `ClaimAnswered`.
struct ClaimPromotion {
  ServiceId service;
};

/// Renew the standing token, which a promotion elsewhere has outdated; ends in
/// `TokenObtained`.
struct RenewToken {};

/// Order the promotion of a server; ends in `PromotionAnswered`.
struct PromoteServer {
  ServiceId service;
  ServerId server;
  std::uint64_t token = 0;
};

/// Write a log line about a decision.
struct LogDecision {
  std::string text;
};

/// Nothing is left to finish; the process may end.
struct StopFinished {};

using Effect =
    std::variant<AnswerSession, CloseSession, OpenServerConnection,
                 CloseServerConnection, SendCommand, ClaimPromotion, RenewToken,
                 PromoteServer, LogDecision, StopFinished>;

using Effects = std::vector<Effect>;

}  // namespace corianderdock::session
