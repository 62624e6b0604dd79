/// \file
/// Records the operations of a run as their callers saw them, and checks the
/// guarantees against the record.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "corianderdock/request.h"
#include "corianderdock/types.h"

namespace testing_support {

using corianderdock::Duration;
using corianderdock::Outcome;
using corianderdock::TimePoint;

enum class OperationType { kWrite, kRead, kTransaction };

/// One request as its caller saw it.
struct Operation {
  OperationType type = OperationType::kWrite;
  std::string id;  ///< request id of a write
  int session = 0;
  std::string group;
  bool requires_latest = false;  ///< read with a staleness bound of zero
  Duration max_age{0};
  TimePoint invoked;
  TimePoint reply_sent;      ///< when the answer left the system
  TimePoint reply_received;  ///< when the answer reached the caller
  bool has_answer = false;
  Outcome outcome = Outcome::kUnknown;
  corianderdock::Reason reason = corianderdock::Reason::kNone;
  bool from_replica = false;
  std::set<std::string> returned_ids;  ///< request ids returned by a read
};

/// All operations of a run and the log entries that survived it.
struct History {
  std::vector<Operation> operations;
  /// One surviving log entry: its request id and its statements.
  struct Entry {
    std::string id;
    std::vector<std::string> statements;
  };
  /// Surviving entries in log order, by group; without tombstones.
  std::map<std::string, std::vector<Entry>> survived;

  /// Describes each violated guarantee in one line; empty if there is none.
  [[nodiscard]] std::vector<std::string> Violations() const;

  /// Longest interval between `from` and `to` in which no write completed.
  [[nodiscard]] Duration LongestWriteGap(TimePoint from, TimePoint to) const;

  [[nodiscard]] std::size_t Count(OperationType type, Outcome outcome) const;
};

}  // namespace testing_support
