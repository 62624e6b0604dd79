/// \file
/// What callers saw in a run, and the promises checked against it.
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
  bool requires_latest = false;  ///< read of age zero
  Duration max_age{0};
  TimePoint invoked;
  TimePoint reply_sent;      ///< the answer left the system
  TimePoint reply_received;  ///< the answer reached the caller
  bool has_answer = false;
  Outcome outcome = Outcome::kUnknown;
  corianderdock::Reason reason = corianderdock::Reason::kNone;
  bool from_replica = false;
  std::set<std::string> returned_ids;  ///< ids a read returned
};

/// All operations of a run and the logs that survived it.
struct History {
  std::vector<Operation> operations;
  /// Surviving entries by group: the request ids in order, with their
  /// statements; tombstones are left out.
  struct Entry {
    std::string id;
    std::vector<std::string> statements;
  };
  std::map<std::string, std::vector<Entry>> survived;

  /// Every broken promise as one line; empty when all held.
  [[nodiscard]] std::vector<std::string> Violations() const;

  /// Longest time without a write done, between `from` and `to`.
  [[nodiscard]] Duration LongestWriteGap(TimePoint from, TimePoint to) const;

  [[nodiscard]] std::size_t Count(OperationType type, Outcome outcome) const;
};

}  // namespace testing_support
