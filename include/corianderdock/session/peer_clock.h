/// \file
/// Notices that the clock of another instance stood still.
#pragma once

#include <algorithm>
#include <optional>

#include "corianderdock/types.h"

namespace corianderdock::session {

/// Compares the clock of another instance with ours. A machine that was stopped
/// together with its clock understates the age of what it knows, so ages count
/// only for what it learned since its clock is known to run. Pure; not
/// thread-safe.
class PeerClock {
 public:
  /// Notes what the other clock showed in an answer that was received at `now`
  /// to a question that was sent at `asked_at`. Returns false if the clock has
  /// stood still since the last answer.
  bool Note(TimePoint asked_at, TimePoint now, Duration clock) {
    const Duration least = asked_at.time_since_epoch() - clock;
    const Duration most = now.time_since_epoch() - clock;
    const auto drift = std::chrono::duration_cast<Duration>((now - noted_at_) *
                                                            kMaxDriftShare);
    const bool known = most_.has_value();
    const bool stood_still = known && least > *most_ + drift + kTolerance;
    if (!known || stood_still) running_since_ = clock;
    most_ = known && !stood_still ? std::min(*most_ + drift, most) : most;
    noted_at_ = now;
    return !stood_still;
  }

  /// Whether an age that was told with this reading of the clock is true.
  [[nodiscard]] bool Covers(Duration clock, Duration age) const {
    return most_ && age >= Duration(0) && clock - age >= running_since_;
  }

 private:
  /// Less than the margin of the evidence.
  static constexpr Duration kTolerance = std::chrono::milliseconds(20);
  /// Clocks of computers drift apart by less.
  static constexpr double kMaxDriftShare = 1e-3;

  std::optional<Duration> most_;  ///< our clock is ahead by no more than this
  TimePoint noted_at_;
  Duration running_since_{0};  ///< by the other clock
};

}  // namespace corianderdock::session
