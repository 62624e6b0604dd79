/// \file
/// Work handed to one backend connection and what came of it.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "corianderdock/request.h"
#include "corianderdock/types.h"

namespace corianderdock {

enum class StatementType {
  kRead,    ///< read-only transaction that first notes the log position
  kWrite,   ///< transaction that checks the term and records the request id
  kBegin,   ///< opens a pinned transaction, checking the term
  kInside,  ///< statement of a pinned transaction
  kCommit,  ///< records the request id and commits a pinned transaction
  kRollback,
  kResolve,  ///< reads the recorded outcome or plants a tombstone
  kPing,
};

/// One unit of work for a backend connection.
struct Statement {
  StatementType type = StatementType::kRead;
  Term term = 0;  ///< term to check; zero checks none
  RequestId request_id;
  std::string sql;
  std::vector<std::optional<std::string>> params;
};

/// The backend completed the statement.
struct StatementSuccess {
  ResultSet result;
  Position position;       ///< commit position, or lower bound of what was read
  Position shown;          ///< upper bound of what was read
  bool recorded = false;   ///< the request id was already recorded
  bool tombstone = false;  ///< the record is a tombstone
};

enum class StatementFault {
  kSqlError,   ///< rejected by the database, rolled back
  kWrongTerm,  ///< the server is not primary of the term; nothing ran
  kLost,       ///< connection failed before a commit was sent; nothing ran
  kInDoubt,    ///< connection failed after a commit was sent
};

struct StatementFailure {
  StatementFault fault = StatementFault::kLost;
  std::string sqlstate;
  std::string message;
};

using StatementResult = std::variant<StatementSuccess, StatementFailure>;

}  // namespace corianderdock
