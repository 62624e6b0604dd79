/// \file
/// Requests forwarded between instances: at most one hop, from the entry
/// instance to the scheduler of a backend server.
#pragma once

#include <string>

#include "corianderdock/gossip.h"
#include "corianderdock/request.h"
#include "corianderdock/sheet.h"
#include "corianderdock/types.h"

namespace corianderdock {

/// A request to be run on one backend server.
struct RoutedRequest {
  ServerId server;
  Mode mode = Mode::kRead;
  Duration max_age{0};
  Duration remaining{0};  ///< time left until the client's deadline
  Request request;
};

/// What the entry instance does with the answer: return it or retry.
enum class RoutedStatus {
  kFinal,       ///< return the answer to the client
  kStale,       ///< this server's data is too stale; try another
  kNotPrimary,  ///< not the group's primary; nothing ran
  kBusy,        ///< refused or expired in the queue; nothing ran
  kRetry,       ///< nothing ran; the server or its connection failed
  kInDoubt,     ///< may have run; retry with the same request id
};

/// Answer of the scheduler to a forwarded request.
struct RoutedAnswer {
  RoutedStatus status = RoutedStatus::kRetry;
  Answer answer;
  Leadership leadership;      ///< as known to the scheduler
  Duration expected_wait{0};  ///< queueing delay at the server
  Duration handling{0};       ///< from acceptance to this answer
  Duration data_age{0};       ///< verified age of a read's data when answered
};

}  // namespace corianderdock
