/// \file
/// Constants and helpers shared by the source files of WorkScheduler.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "corianderdock/statement.h"
#include "corianderdock/types.h"

namespace corianderdock::detail {

/// A statement is long when its expected run time exceeds both this multiple of
/// the server's median and `kLongCostMinimumMs`.
inline constexpr double kLongCostFactor = 8;
/// Expected run time up to which no statement is long, whatever the median.
inline constexpr double kLongCostMinimumMs = 40;
/// A connection counts as silent when a statement takes this many times its
/// expected run time, but not before `kMinSilence`.
inline constexpr int kSilenceFactor = 20;
/// Shortest run time after which a connection counts as silent.
inline constexpr Duration kMinSilence = std::chrono::seconds(1);

// Ids of kPing timers that do not belong to a single connection.
inline constexpr std::uint64_t kPeriodicTimer = 0;
inline constexpr std::uint64_t kBackoffTimer = 1;

[[nodiscard]] inline double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

[[nodiscard]] inline Duration FromMs(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

/// Whether the statement may record its effect under a request id.
[[nodiscard]] constexpr bool IsWrite(StatementType type) noexcept {
  return type == StatementType::kWrite || type == StatementType::kCommit ||
         type == StatementType::kResolve;
}

/// Whether the statement belongs to an open transaction.
[[nodiscard]] constexpr bool IsInTransaction(StatementType type) noexcept {
  return type == StatementType::kInTransaction ||
         type == StatementType::kCommit || type == StatementType::kRollback;
}

/// Time that a statement with this expected run time may take before its
/// connection counts as silent.
[[nodiscard]] inline Duration SilenceLimit(double cost_ms) {
  return std::max(Duration(kMinSilence), FromMs(cost_ms * kSilenceFactor));
}

}  // namespace corianderdock::detail
