/// \file
/// Rendezvous hashing in which candidates have weights.
#pragma once

#include <cmath>
#include <limits>
#include <string_view>

#include "corianderdock/detail/hash.h"

namespace corianderdock::detail {

/// Rank of candidate `a` for item `b`. Of several candidates, the one with the
/// highest rank is chosen with a probability proportional to its weight. A
/// change of one candidate's weight moves only items to or from it. The same on
/// every machine; the lowest value for a weight of 0 or less. Thread-safe.
[[nodiscard]] inline double WeightedRank(std::string_view a, std::string_view b,
                                         double weight) {
  if (!(weight > 0)) return std::numeric_limits<double>::lowest();
  // The 53 bits that a double holds, moved off 0 and 1, where the logarithm is
  // infinite or 0.
  constexpr int kDroppedBits = 11;
  constexpr double kSteps = 9007199254740992.0;  // 2^53
  const auto bits = static_cast<double>(HashPair(a, b) >> kDroppedBits);
  return -weight / std::log((bits + 0.5) / (kSteps + 1));
}

}  // namespace corianderdock::detail
