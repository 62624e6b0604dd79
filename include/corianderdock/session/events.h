/// \file
/// Events that the session proxy handles and effects that it requests.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "corianderdock/session/member_record.h"
#include "corianderdock/session/model.h"
#include "corianderdock/session/statement.h"

namespace corianderdock::session {

/// A client opened a session on a database.
struct SessionOpened {
  SessionId session = 0;
  DatabaseName database;
  KeyDigest key = {};                 ///< of the client's key
  std::uint32_t key_fingerprint = 0;  ///< shown in log lines instead of the key
};

/// A client sent a statement. A session has at most one outstanding statement.
struct StatementReceived {
  SessionId session = 0;
  StatementId id;
  Statement statement;
};

/// A client connection ended.
struct SessionClosed {
  SessionId session = 0;
};

/// An attempt to open a server connection succeeded or failed.
struct ServerConnected {
  ConnectionId connection = 0;
  ErrorCode error = ErrorCode::kNone;  ///< `kOther` when unreachable
  std::optional<Position> position;
};

/// A server replied to the oldest outstanding command of a connection.
struct ServerReplied {
  ConnectionId connection = 0;
  Reply reply;
};

/// A server connection ended.
struct ServerConnectionLost {
  ConnectionId connection = 0;
};

/// Another instance opened a shared connection to a server.
struct PeerOpened {
  PeerId peer = 0;
  ServiceId service;
  ServerId server;
};

/// Another instance sent a command over a shared connection.
struct PeerCommand {
  PeerId peer = 0;
  ServerCommand command;
};

/// A shared connection of another instance ended.
struct PeerClosed {
  PeerId peer = 0;
};

/// The store returned the configuration.
struct ConfigRead {
  std::shared_ptr<const RoutingConfig> config;
};

/// A configuration is known to have been the newest at a time, or later. That
/// configuration was reported before by `ConfigRead`.
struct ConfigConfirmed {
  std::uint64_t version = 0;
  TimePoint as_of;
};

/// The store returned a configuration that can't be used.
struct ConfigRejected {
  ConfigRejection rejection;
};

/// The store returned the list of servers.
struct ServersRead {
  ServerList servers;
  bool complete = false;  ///< every live server is listed
  /// Servers whose entries were written again since they were first read.
  std::set<ServerId> renewed = {};
  /// When another instance read the list; null: this one read it just now.
  std::optional<TimePoint> as_of = {};
};

/// The store returned records of members.
struct MembersRead {
  MemberRecords records;
  bool all = false;  ///< services that are not named have no record
  /// The records are at least as new as the store was at this time; null if
  /// they may be older.
  std::optional<TimePoint> current_at = {};
  StoreEra era = {};  ///< in which they were read
};

/// The store returned the list of live instances.
struct InstancesRead {
  InstanceList instances;
  /// The store has this instance's entry; the list always has one.
  bool self_listed = true;
};

/// The store granted or refused a claim to promote a server of a service, or
/// could not be reached.
struct ClaimAnswered {
  ServiceId service;
  std::uint64_t token = 0;         ///< fencing token; 0 when the claim failed
  bool store_unreachable = false;  ///< the claim failed for this reason
};

/// The store holds the order of a promotion, or not: the claim has ended, the
/// record has changed, or the store could not be reached.
struct OrderRecorded {
  ServiceId service;
  bool recorded = false;
};

/// This instance obtained a new fallback token: a fencing token for promotions
/// while the store is unreachable.
struct TokenObtained {
  std::uint64_t token = 0;
};

enum class PromotionResult { kAccepted, kRefused, kUnknown };

/// The platform answered a promotion order, or did not (`kUnknown`).
struct PromotionAnswered {
  ServiceId service;
  ServerId server;
  PromotionResult result = PromotionResult::kUnknown;
};

/// Subject of a message between instances.
enum class MessageTopic { kFreshness, kQuota };

/// Another instance sent a message.
struct MessageReceived {
  InstanceId from;
  MessageTopic topic = MessageTopic::kFreshness;
  std::string body;  ///< one line of JSON
};

/// Time passed; due timers fire.
struct TimerFired {};

/// The instance was asked to shut down within `grace`.
struct StopRequested {
  Duration grace{0};
};

using Event =
    std::variant<SessionOpened, StatementReceived, SessionClosed,
                 ServerConnected, ServerReplied, ServerConnectionLost,
                 PeerOpened, PeerCommand, PeerClosed, ConfigRead,
                 ConfigConfirmed, ConfigRejected, ServersRead, MembersRead,
                 InstancesRead, ClaimAnswered, OrderRecorded, TokenObtained,
                 PromotionAnswered, MessageReceived, TimerFired, StopRequested>;

/// Answer the outstanding statement of a session, or accept the session.
struct AnswerSession {
  SessionId session = 0;
  Reply reply;
  /// Time since the statement arrived; 0 if the proxy answered it at once
  /// without a server.
  Duration latency{0};
};

/// Refuse a new session, or close an established one between statements.
struct CloseSession {
  SessionId session = 0;
  ErrorCode error = ErrorCode::kNone;
  std::string detail;
};

/// Open a server connection; completes with `ServerConnected`.
struct OpenServerConnection {
  ConnectionId connection = 0;
  ServerId server;
  ServiceId service;
  std::string address;
  std::string relay_address;  ///< of the relaying instance; empty when direct
  /// Of the instance whose connections to the server are shared; otherwise
  /// empty.
  std::string share_address;
  /// To which the connection belongs. If empty, it is this instance's.
  TenantId tenant = {};
};

/// Reply to the oldest command of a shared connection, or accept the
/// connection.
struct AnswerPeer {
  PeerId peer = 0;
  Reply reply;
};

/// Close a shared connection; with `error`, refuse to open it for that reason.
struct ClosePeer {
  PeerId peer = 0;
  ErrorCode error = ErrorCode::kNone;
};

/// Close a server connection; no further events are reported for it.
struct CloseServerConnection {
  ConnectionId connection = 0;
};

/// Send a command after the earlier ones; completes with `ServerReplied`.
struct SendCommand {
  ConnectionId connection = 0;
  ServerCommand command;
};

/// Obtain a new fencing token for `service`; completes with `ClaimAnswered`.
/// The claim succeeds only while the service's member record has this revision;
/// a newer one is reported with `MembersRead` before the claim is repeated.
struct ClaimPromotion {
  ServiceId service;
  StoreRevision member_revision = {};  ///< 0 while there is no record
};

/// Keep the claim of a service that this instance has, so that no other
/// instance claims it; completes without an event.
struct KeepClaim {
  ServiceId service;
};

/// Read the member records of all services; completes with `MembersRead`, or
/// not at all.
struct ReadMembers {
  bool linearizable = false;  ///< otherwise they may be seconds old
};

/// Replace the member record of a service if it still has the revision in
/// `record`; completes with `MembersRead`, or not at all.
struct WriteMembers {
  ServiceId service;
  MemberRecord record;
};

/// Write the member record, which names an ordered server, if the claim of
/// `token` still holds and the record still has its revision; completes with
/// `MembersRead` and `OrderRecorded`.
struct RecordOrder {
  ServiceId service;
  MemberRecord record;
  std::uint64_t token = 0;
};

/// Replace the fallback token, which a promotion under a higher token may have
/// superseded; completes with `TokenObtained`.
struct RenewToken {};

/// Order the promotion of a server; completes with `PromotionAnswered`.
struct PromoteServer {
  ServiceId service;
  ServerId server;
  std::uint64_t token = 0;
};

/// Send a message to another instance. It arrives at most once, or not at all;
/// nothing reports which.
struct SendMessage {
  InstanceId to;
  MessageTopic topic = MessageTopic::kFreshness;
  std::string body;  ///< one line of JSON
};

enum class Severity {
  kInfo,
  kWarning,  ///< a change of state that puts requests at risk
  kError,    ///< a guarantee was violated
};

/// Write a log line about a decision.
struct LogDecision {
  std::string text;
  Severity severity = Severity::kInfo;
};

/// Shutdown is complete; the process may exit.
struct StopFinished {};

using Effect =
    std::variant<AnswerSession, CloseSession, AnswerPeer, ClosePeer,
                 OpenServerConnection, CloseServerConnection, SendCommand,
                 ClaimPromotion, KeepClaim, ReadMembers, WriteMembers,
                 RecordOrder, RenewToken, PromoteServer, SendMessage,
                 LogDecision, StopFinished>;

using Effects = std::vector<Effect>;

}  // namespace corianderdock::session
