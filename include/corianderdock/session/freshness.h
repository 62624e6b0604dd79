/// \file
/// Log positions that prove how fresh a copy is.
#pragma once

#include <deque>
#include <optional>

#include "corianderdock/types.h"

namespace corianderdock::session {

/// Positions of one service's log, each read from a server that proved to lead
/// by the same answer. A position sampled by a command sent at time t covers
/// every commit acknowledged before t. Not thread-safe.
///
/// \code
/// samples.Add({3, 17}, sent);
/// auto after = samples.Covering(now - max_age);
/// \endcode
class FreshnessSamples {
 public:
  /// Adds an answer to a command that was sent at `sent`.
  void Add(Position position, TimePoint sent);

  /// Lowest known position that covers all commits acknowledged before
  /// `since`; nothing when none was sampled at or after it.
  [[nodiscard]] std::optional<Position> PositionCovering(TimePoint since) const;

  /// Forgets samples older than `before`.
  void DiscardBefore(TimePoint before);

  /// Send time of the newest sample.
  [[nodiscard]] std::optional<TimePoint> NewestSendTime() const;

 private:
  struct Sample {
    TimePoint sent;
    Position position;
  };
  std::deque<Sample> samples_;  ///< by ascending `sent`
};

/// The later of two positions of one history; an absent one is the earliest.
[[nodiscard]] std::optional<Position> LaterPosition(std::optional<Position> a,
                                                    std::optional<Position> b);

}  // namespace corianderdock::session
