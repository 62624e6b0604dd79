#include "corianderdock/detail/hash.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace corianderdock::detail {

std::uint64_t HashPair(std::string_view a, std::string_view b) {
  return XXH3_64bits_withSeed(b.data(), b.size(),
                              XXH3_64bits(a.data(), a.size()));
}

std::string ContentAddress(std::string_view content) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(
                    XXH3_64bits(content.data(), content.size())));
  return text.data();
}

}  // namespace corianderdock::detail
