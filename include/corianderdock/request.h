/// \file
/// Client requests, their answers, and the guarantee behind each outcome.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "corianderdock/session_token.h"
#include "corianderdock/types.h"

namespace corianderdock {

enum class Method { kExecute, kBegin, kCommit, kRollback, kResolve };

/// What is known about the effect of a request.
enum class Outcome {
  kDone,     ///< succeeded; a write is stored on a majority of its group
  kNotRun,   ///< did not run and never will under this request id
  kUnknown,  ///< may have run; `resolve` determines whether it did
  kFailed,   ///< rejected by the database; had no effect
};

/// One client request.
struct Request {
  Method method = Method::kExecute;
  ServiceId service;
  KindId kind;
  std::string sql;
  std::vector<std::optional<std::string>> params;
  SessionToken token;
  RequestId request_id;
  TransactionId transaction;
  Duration timeout{0};
  bool repeat = false;  ///< retries an attempt under this id that is in doubt
};

/// Result rows, with values in text form.
struct ResultSet {
  std::vector<std::string> columns;
  std::vector<bool> numeric;  ///< per column: encode as JSON numbers
  std::vector<std::vector<std::optional<std::string>>> rows;
  std::uint64_t affected = 0;
};

/// Why a request was rejected, failed or is in doubt.
enum class Reason {
  kNone,
  kUnknownService,
  kUnknownKind,
  kZoneNotServed,
  kBadStatement,
  kNotReady,
  kOverloaded,
  kDeadline,
  kNoPrimary,
  kReplicationBehind,
  kTokenNotReached,
  kTransactionLost,
  kNoEvidence,
  kConnectionLost,
  kRetryBudget,
  kSqlError,
  kTombstoned,
  kDraining,
};

/// Answer to one request.
struct Answer {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  std::string detail;
  std::string sqlstate;
  std::optional<Duration> retry_after;
  ResultSet result;
  SessionToken token;
  RequestId request_id;
  TransactionId transaction;
  ServerId server;            ///< backend server that ran the statement
  bool from_replica = false;  ///< whether a replica served the read
};

[[nodiscard]] const char* Name(Outcome outcome) noexcept;
[[nodiscard]] const char* Name(Reason reason) noexcept;
[[nodiscard]] const char* Name(Method method) noexcept;

}  // namespace corianderdock
