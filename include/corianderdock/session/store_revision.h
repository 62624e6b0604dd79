/// \file
/// Eras of the platform's store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace corianderdock::session {

/// Number of a copy of the store. A store that is restored from an older copy
/// forgets what it acknowledged since, and gives revisions out again, but under
/// another era. Null until the store has named one.
using StoreEra = std::optional<std::uint64_t>;

/// Returns the era as logged; "-" if there is none.
[[nodiscard]] inline std::string FormatEra(const StoreEra& era) {
  return era ? std::to_string(*era) : "-";
}

}  // namespace corianderdock::session
