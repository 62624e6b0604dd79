/// \file
/// Statements of sessions and commands to servers, decoded.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "corianderdock/types.h"

namespace corianderdock::session {

using StatementId = std::string;  ///< chosen by the client, kept to the server

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
  kHold,
  kResume,
  kDemote,
  kUnknown,  ///< not a valid statement
};

/// One statement. Fields that its verb does not use are empty.
struct Statement {
  Verb verb = Verb::kRead;
  std::string name;  ///< value or prepared statement
  std::string text;  ///< arguments, unchanged: item, data, value or shape
};

/// A statement to send to a server.
struct ServerCommand {
  StatementId id;  ///< empty for commands of the proxy itself
  Statement statement;
  std::optional<Position> after;  ///< the log must hold this position
  Term term = 0;                  ///< of `kHold` and `kDemote`
};

/// State of a session or server connection between statements.
enum class TransactionState { kIdle, kOpen, kFailed };

/// Why a statement did not succeed.
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
  kOther,
};

/// What a server reports of itself.
struct ServerStatus {
  bool primary = false;
  Term term = 0;
  Position received;
  Term fence_term = 0;  ///< 0 when it receives
};

/// Answer to one statement.
struct Reply {
  std::vector<std::string> rows;
  std::string receipt;  ///< the server's, or empty
  ErrorCode error = ErrorCode::kNone;
  std::string detail;  ///< explains `error`
  TransactionState state = TransactionState::kIdle;
  std::optional<Position> position;    ///< of the server's log
  std::optional<ServerStatus> status;  ///< answer to `kHold` and such
};

}  // namespace corianderdock::session
