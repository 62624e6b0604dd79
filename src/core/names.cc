#include "corianderdock/request.h"

namespace corianderdock {

const char* Name(Outcome outcome) noexcept {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kFailed:
      return "failed";
  }
  return "unknown";
}

const char* Name(Reason reason) noexcept {
  constexpr const char* kNames[] = {"none",
                                    "unknown_service",
                                    "unknown_kind",
                                    "zone_not_served",
                                    "bad_statement",
                                    "not_ready",
                                    "overloaded",
                                    "deadline",
                                    "no_primary",
                                    "replication_behind",
                                    "token_not_reached",
                                    "transaction_lost",
                                    "no_evidence",
                                    "connection_lost",
                                    "retry_budget",
                                    "sql_error",
                                    "tombstoned",
                                    "draining"};
  return kNames[static_cast<std::size_t>(reason)];
}

const char* Name(Method method) noexcept {
  constexpr const char* kNames[] = {"execute", "begin", "commit", "rollback",
                                    "resolve"};
  return kNames[static_cast<std::size_t>(method)];
}

}  // namespace corianderdock
