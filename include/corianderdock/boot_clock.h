/// \file
/// The clock for the age of data and of leases.
#pragma once

#include <ctime>

#include "corianderdock/types.h"

namespace corianderdock {

/// Time since boot. Unlike `Clock`, it advances while the machine is suspended,
/// so a lease or freshness proof obtained before a suspension expires on time.
/// Thread-safe.
[[nodiscard]] inline TimePoint BootNow() noexcept {
  std::timespec now{};
  // Cannot fail: every kernel that Asio supports has this clock.
  (void)clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace corianderdock
