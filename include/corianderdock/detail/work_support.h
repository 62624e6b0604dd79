/// \file
/// Constants and conversions shared by the parts of Work.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "corianderdock/statement.h"
#include "corianderdock/types.h"

namespace corianderdock::detail {

/// Work is long when it costs this many times the server's median...
inline constexpr double kLongFactor = 8;
/// ...and at least this many milliseconds.
inline constexpr double kLongFloorMs = 40;
/// A statement counts as silent after this many times its learned cost...
inline constexpr int kSilenceFactor = 20;
/// ...and never earlier than this.
inline constexpr Duration kShortestSilence = std::chrono::seconds(1);

// Timers of kind kPing that are not about one connection.
inline constexpr std::uint64_t kPeriodicTimer = 0;
inline constexpr std::uint64_t kBackoffTimer = 1;

[[nodiscard]] inline double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

[[nodiscard]] inline Duration FromMs(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

/// Whether the statement leaves an effect under a request id.
[[nodiscard]] constexpr bool IsWrite(StatementType type) noexcept {
  return type == StatementType::kWrite || type == StatementType::kCommit ||
         type == StatementType::kResolve;
}

/// Whether the statement belongs to an open transaction.
[[nodiscard]] constexpr bool IsInTransaction(StatementType type) noexcept {
  return type == StatementType::kInTransaction ||
         type == StatementType::kCommit || type == StatementType::kRollback;
}

/// How long a statement of this learned cost may take before its connection
/// counts as silent.
[[nodiscard]] inline Duration SilenceLimit(double cost_ms) {
  return std::max(Duration(kShortestSilence), FromMs(cost_ms * kSilenceFactor));
}

}  // namespace corianderdock::detail
