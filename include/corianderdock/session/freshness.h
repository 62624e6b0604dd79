/// \file
/// Log positions that bound the staleness of a server's data.
#pragma once

#include <deque>
#include <optional>

#include "corianderdock/types.h"

namespace corianderdock::session {

/// Sampled log positions of one service. Each comes from an answer by which the
/// server also proved to be the primary, so a position sampled by a command
/// sent at time t covers every commit acknowledged before t. Not thread-safe.
///
/// \code
/// samples.Add({3, 17}, sent);
/// auto after = samples.PositionCovering(now - max_age);
/// \endcode
class FreshnessSamples {
 public:
  /// Adds the position from the answer to a command sent at `sent`.
  void Add(Position position, TimePoint sent);

  /// Returns the lowest sampled position that covers all commits acknowledged
  /// before `since`, or nothing if no command was sent at or after `since`.
  [[nodiscard]] std::optional<Position> PositionCovering(TimePoint since) const;

  /// Discards samples of commands sent before `before`.
  void DiscardBefore(TimePoint before);

  /// Returns the send time of the newest sample, if any.
  [[nodiscard]] std::optional<TimePoint> NewestSendTime() const;

 private:
  struct Sample {
    TimePoint sent;
    Position position;
  };
  std::deque<Sample> samples_;  ///< by ascending `sent`
};

/// Returns the later of two positions in the same log; an absent position
/// precedes all others.
[[nodiscard]] std::optional<Position> LaterPosition(std::optional<Position> a,
                                                    std::optional<Position> b);

}  // namespace corianderdock::session
