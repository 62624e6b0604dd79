/// \file
/// Identifiers, time types and log positions used throughout the library.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace corianderdock {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;

using InstanceId = std::string;  ///< one corianderdockd process
using ZoneId = std::string;      ///< availability zone
using GroupId = std::string;     ///< database group
using ServerId = std::string;    ///< backend server, unique over all groups
using ServiceId = std::string;   ///< service named by the sheet
using KindId = std::string;      ///< statement kind within a service
using RequestId = std::string;   ///< idempotency key of a write
using TransactionId = std::string;
using TenantId = std::string;  ///< a customer whose clients share a quota

using Term = std::uint64_t;    ///< leadership term of a database group
using CallId = std::uint64_t;  ///< client request in progress at this instance
using WorkId = std::uint64_t;  ///< statement scheduled by this instance
using ConnectionId = std::uint64_t;  ///< backend connection of this instance
using SheetVersion = std::uint64_t;

/// A position in the replicated log of a database group.
struct Position {
  Term term = 0;
  std::uint64_t index = 0;

  bool operator==(const Position&) const = default;
};

/// Whether a log that ends at `end` contains the acknowledged entry `point`.
///
/// If two logs of a group have an entry with the same term and index, they are
/// identical up to that entry, and the primary of a term has all acknowledged
/// entries of earlier terms. A log contains the entry if its last term and its
/// last index are both at least as high.
[[nodiscard]] constexpr bool LogContains(Position end,
                                         Position point) noexcept {
  return end.term >= point.term && end.index >= point.index;
}

/// Shortens `duration` by the most that two clocks can drift apart within it,
/// assuming a drift of at most 1,000 ppm.
[[nodiscard]] constexpr Duration SubtractClockDrift(
    Duration duration) noexcept {
  constexpr int kDriftDivisor = 1000;
  return duration - duration / kDriftDivisor;
}

/// Smallest number of members that forms a majority of `members`.
[[nodiscard]] constexpr std::size_t Majority(std::size_t members) noexcept {
  return members / 2 + 1;
}

}  // namespace corianderdock
