/// \file
/// Work passed between instances: at most one hop from the entry instance to
/// the scheduler of a backend server.
#pragma once

#include <string>

#include "corianderdock/gossip.h"
#include "corianderdock/request.h"
#include "corianderdock/sheet.h"
#include "corianderdock/types.h"

namespace corianderdock {

/// A request bound for one server.
struct RoutedRequest {
  ServerId server;
  Mode mode = Mode::kRead;
  Duration max_age{0};
  Duration remaining{0};  ///< time left until the caller's deadline
  Request request;
};

/// Whether the entry instance may try again.
enum class RoutedStatus {
  kFinal,       ///< the answer goes to the caller
  kStale,       ///< this server's data is too old; try another
  kNotPrimary,  ///< this server does not lead the group; nothing ran
  kBusy,        ///< refused early; nothing ran
  kRetry,       ///< nothing ran; the server or its connection failed
  kInDoubt,     ///< may have run; repeat under the same request id
};

/// Answer of the scheduler.
struct RoutedAnswer {
  RoutedStatus status = RoutedStatus::kRetry;
  Answer answer;
  Leadership leadership;      ///< as the scheduler knows it
  Duration expected_wait{0};  ///< queueing delay at the server
  Duration handling{0};       ///< from acceptance to this answer
  Duration data_age{0};       ///< verified age of a read's data at this answer
};

}  // namespace corianderdock
