/// \file
/// Statements executed on a backend connection, and their results.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "corianderdock/request.h"
#include "corianderdock/types.h"

namespace corianderdock {

enum class StatementType {
  kRead,   ///< read-only transaction; reads the log position before and after
  kWrite,  ///< transaction that checks the term and records the request id
  kBegin,  ///< checks the term and opens a transaction
  kInTransaction,  ///< statement on a pinned connection
  kCommit,         ///< records the request id and commits the open transaction
  kRollback,
  kResolve,  ///< reads the recorded outcome; if none, writes a tombstone
  kPing,
};

/// One statement to execute on a backend connection.
struct Statement {
  StatementType type = StatementType::kRead;
  Term term = 0;  ///< expected term of the primary; 0 skips the check
  RequestId request_id;
  std::string sql;
  std::vector<std::optional<std::string>> params;
};

/// The backend server completed the statement.
struct StatementSuccess {
  ResultSet result;
  /// Commit position; for a read, a lower bound of the position it saw.
  Position position;
  Position read_upper_bound;  ///< for a read: upper bound of what it saw
  bool recorded = false;      ///< an earlier attempt recorded the request id
  bool tombstone = false;     ///< the recorded outcome is a tombstone
};

enum class StatementFault {
  kSqlError,   ///< rejected by the database and rolled back
  kWrongTerm,  ///< the server is not the primary of `term`; nothing ran
  kLost,       ///< connection failed before a commit was sent; no effect
  kInDoubt,  ///< connection failed after a commit was sent; may have committed
};

struct StatementFailure {
  StatementFault fault = StatementFault::kLost;
  std::string sqlstate;
  std::string message;
};

using StatementResult = std::variant<StatementSuccess, StatementFailure>;

}  // namespace corianderdock
