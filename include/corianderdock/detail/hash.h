/// \file
/// Stable hashing for rendezvous choices and content addresses.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace corianderdock::detail {

/// 64-bit hash of two texts, the same on every machine.
[[nodiscard]] std::uint64_t HashPair(std::string_view a, std::string_view b);

/// 16 hexadecimal digits naming `content`.
[[nodiscard]] std::string ContentAddress(std::string_view content);

}  // namespace corianderdock::detail
