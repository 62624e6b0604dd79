/// \file
/// Decoded statements of sessions, commands to servers, and their replies.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "corianderdock/types.h"

namespace corianderdock::session {

using StatementId = std::string;  ///< chosen by the client

enum class Verb {
  kBegin,
  kBeginRead,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,
  kPrepareRead,
  kPrepareWrite,
  kExecute,
  kForget,
  kReset,
  kStatus,
  kHold,     ///< fences a replica against lower terms
  kResume,   ///< lifts the fence of a replica
  kDemote,   ///< stops a primary of a lower term from acknowledging commits
  kTenant,   ///< sets the tenant of a shared connection; no server knows it
  kUnknown,  ///< not a valid statement
};

/// One statement. Fields that its verb does not use are empty.
struct Statement {
  Verb verb = Verb::kRead;
  std::string name;  ///< of a value, prepared statement or tenant
  std::string text;  ///< verbatim arguments: item, data, value or shape
};

/// A command to send to a server.
struct ServerCommand {
  StatementId id;  ///< as the client sent it; empty for the proxy's own
  Statement statement;
  std::optional<Position> after;  ///< the server's log must have reached it
  Term term = 0;                  ///< of `kHold` and `kDemote`
};

/// State of a session or server connection between statements.
enum class TransactionState { kIdle, kOpen, kFailed };

/// Why a statement failed.
enum class ErrorCode {
  kNone,
  kBusy,
  kAborted,
  kBehind,
  kReadOnly,
  kMisrouted,
  kTooMany,
  kNoStatement,
  kFailed,
  kTimeout,
  kUnsure,
  kBad,
  kNoDatabase,
  kNotAuthorized,  ///< the client's key is unknown or withdrawn
  kOther,
};

/// What a server reports about itself.
struct ServerStatus {
  bool primary = false;
  Term term = 0;
  Position received;
  Term fence_term = 0;  ///< accepts no lower terms; 0: not fenced
  /// Time for which its process is known to run, if the instance that shares
  /// its connection tells.
  std::optional<Duration> running_for = {};
};

/// Reply to one statement.
struct Reply {
  std::vector<std::string> rows;
  std::string receipt;  ///< as sent by the server; may be empty
  ErrorCode error = ErrorCode::kNone;
  std::string detail;  ///< explains `error`
  TransactionState state = TransactionState::kIdle;
  std::optional<Position> position;    ///< of the server's log
  std::optional<ServerStatus> status;  ///< for `kStatus`, `kHold` and the like
  /// To be added to the row of a status for another instance: as in
  /// `ServerStatus`.
  std::optional<Duration> running_for = {};
};

}  // namespace corianderdock::session
