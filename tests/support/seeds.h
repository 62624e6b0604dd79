/// \file
/// Seeds and rates of random schedules, set by environment variables.
#pragma once

#include <cstdint>
#include <cstdlib>

namespace corianderdock::test {

/// Returns the number in the environment variable `name`, or `fallback`.
[[nodiscard]] inline std::uint64_t FromEnvironment(const char* name,
                                                   std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

[[nodiscard]] inline double RateFromEnvironment(const char* name,
                                                double fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtod(text, nullptr);
}

}  // namespace corianderdock::test
