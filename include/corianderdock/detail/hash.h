/// \file
/// Stable hashes for rendezvous hashing and content addresses.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace corianderdock::detail {

/// 64-bit hash of a pair of texts, the same on every machine.
[[nodiscard]] std::uint64_t HashPair(std::string_view a, std::string_view b);

/// Hash of `content` as 16 hexadecimal digits.
[[nodiscard]] std::string ContentAddress(std::string_view content);

}  // namespace corianderdock::detail
