/// \file
/// Seeds of random schedules, set by environment variables.
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

}  // namespace corianderdock::test
