/// \file
/// Leadership of database groups and the status of their servers.
#pragma once

#include <string>
#include <variant>

#include "corianderdock/session_token.h"
#include "corianderdock/types.h"

namespace corianderdock {

/// Current primary of a group and the log index at which each term starts.
struct Leadership {
  Term term = 0;
  ServerId primary;
  TermStarts starts;
};

enum class ServerRole { kPrimary, kReplica, kFenced };

/// Answer of a backend server to a group operation.
struct ServerStatus {
  Term term = 0;  ///< highest term known to the server
  ServerRole role = ServerRole::kReplica;
  Position last;                ///< log end
  Duration primary_heard{0};    ///< time since it last heard from the primary
  std::string primary_address;  ///< address of the primary it follows
  InstanceId claimant;          ///< instance to which the term was granted
  TermStarts starts;
  int connections = 0;
};

/// Requests the status.
struct StatusOperation {};
/// Asks the server to grant `term` to `claimant` and to reject older terms
/// from then on.
struct FenceOperation {
  Term term = 0;
  InstanceId claimant;
};
/// Makes a server that granted `term` to `claimant` its primary.
struct PromoteOperation {
  Term term = 0;
  InstanceId claimant;
};
/// Makes the server a replica of the primary at `address` in `term`.
struct FollowOperation {
  Term term = 0;
  std::string address;
};

using GroupOperation = std::variant<StatusOperation, FenceOperation,
                                    PromoteOperation, FollowOperation>;

}  // namespace corianderdock
