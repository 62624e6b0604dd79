/// \file
/// The clock that ages and leases go by.
#pragma once

#include <ctime>

#include "corianderdock/types.h"

namespace corianderdock {

/// Time since boot. Unlike `Clock`, it counts while the machine is suspended,
/// so a proof that was obtained before a suspension ages by it. Thread-safe.
[[nodiscard]] inline TimePoint BootNow() noexcept {
  std::timespec now{};
  // Can't fail: the clock exists on every kernel that Asio supports.
  (void)clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace corianderdock
