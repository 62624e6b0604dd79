/// \file
/// Leadership of database groups and the status of their servers.
#pragma once

#include <string>
#include <variant>

#include "corianderdock/session_token.h"
#include "corianderdock/types.h"

namespace corianderdock {

/// Who leads a group and where earlier terms forked.
struct Leadership {
  Term term = 0;
  ServerId primary;
  TermStarts starts;
};

enum class ServerRole { kPrimary, kReplica, kFenced };

/// Answer of a backend server to a group operation.
struct ServerStatus {
  Term term = 0;  ///< highest term the server knows
  ServerRole role = ServerRole::kReplica;
  Position last;                ///< last entry of its log
  Duration primary_heard{0};    ///< since it last heard the primary
  std::string primary_address;  ///< whom it follows
  InstanceId claimant;          ///< to whom the term was granted
  TermStarts starts;
  int connections = 0;
};

/// Asks for the status.
struct StatusCall {};
/// Asks the server to grant `term` to `claimant` and stop serving older terms.
struct FenceCall {
  Term term = 0;
  InstanceId claimant;
};
/// Makes a granted server the primary of `term`.
struct PromoteCall {
  Term term = 0;
  InstanceId claimant;
};
/// Makes the server follow `address` in `term`.
struct FollowCall {
  Term term = 0;
  std::string address;
};

using GroupOperation =
    std::variant<StatusCall, FenceCall, PromoteCall, FollowCall>;

}  // namespace corianderdock
