/// \file
/// Random schedules of faults and load for the fake world.
#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "fake_world.h"

namespace testing_support {

/// One fault of a schedule.
struct Fault {
  int at_ms = 0;
  int kind = 0;    ///< below `kFaultKinds`
  int target = 0;  ///< 0 to 2: index of a server, instance or zone
  int length_ms = 0;
};

inline constexpr int kFaultKinds = 16;
inline constexpr int kLatestFaultMs = 6000;
inline constexpr int kShortestFaultMs = 50;
inline constexpr int kLongestFaultMs = 4000;

std::ostream& operator<<(std::ostream& out, const Fault& it);

/// Runs a load drawn from `seed` with the faults, waits for recovery, and
/// returns all violated guarantees.
[[nodiscard]] std::vector<std::string> RunSchedule(
    std::uint64_t seed, const std::vector<Fault>& faults,
    const Policy* policy = nullptr);

/// The same; calls `inspect` with the world after recovery.
[[nodiscard]] std::vector<std::string> RunScheduleWith(
    std::uint64_t seed, const std::vector<Fault>& faults, const Policy* policy,
    const std::function<void(FakeWorld&)>& inspect);

/// Draws 1 to `max_faults` faults from `seed`.
[[nodiscard]] std::vector<Fault> RandomFaults(std::uint64_t seed,
                                              std::size_t max_faults);

}  // namespace testing_support
