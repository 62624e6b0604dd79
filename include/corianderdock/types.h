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
using KindId = std::string;      ///< kind of statement within a service
using RequestId = std::string;   ///< idempotency key of a write
using TransactionId = std::string;

using Term = std::uint64_t;          ///< leadership term of a group
using CallId = std::uint64_t;        ///< request waiting for an answer here
using WorkId = std::uint64_t;        ///< statement scheduled on a server here
using ConnectionId = std::uint64_t;  ///< backend connection owned here
using SheetVersion = std::uint64_t;

/// A point in a group's replicated log.
struct Position {
  Term term = 0;
  std::uint64_t index = 0;

  bool operator==(const Position&) const = default;
};

/// Whether a log that ends at `end` holds the acknowledged entry `point`.
///
/// Logs of a group agree up to an entry of equal term and index, and every
/// primary of a later term holds all acknowledged entries of earlier ones, so
/// both parts must be at least as high.
[[nodiscard]] constexpr bool Contains(Position end, Position point) noexcept {
  return end.term >= point.term && end.index >= point.index;
}

/// A duration shortened by what clocks of 1,000 ppm could gain within it.
[[nodiscard]] constexpr Duration WithoutDrift(Duration duration) noexcept {
  constexpr int kDriftDivisor = 1000;
  return duration - duration / kDriftDivisor;
}

/// Smallest number of members that is more than half of `members`.
[[nodiscard]] constexpr std::size_t Majority(std::size_t members) noexcept {
  return members / 2 + 1;
}

}  // namespace corianderdock
