/// \file
/// Revisions of the platform's store.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace corianderdock::session {

/// Number of a copy of the store. A store that is restored from an older copy
/// forgets what it acknowledged since, and gives revisions out again, but under
/// another era. Null until the store has named one.
using StoreEra = std::optional<std::uint64_t>;

/// A revision of the store or of one of its keys.
///
/// Only revisions of one era are ordered. Those of different eras are neither
/// equal nor less nor greater, as the same number may stand for another change.
struct StoreRevision {
  // Implicit, so that a store that names no era needs numbers only.
  // NOLINTNEXTLINE(google-explicit-constructor)
  StoreRevision(std::uint64_t number = 0, StoreEra era = std::nullopt)
      : number(number), era(era) {}

  bool operator==(const StoreRevision&) const = default;

  std::partial_ordering operator<=>(const StoreRevision& other) const {
    if (era != other.era) return std::partial_ordering::unordered;
    return number <=> other.number;
  }

  std::uint64_t number;  ///< 0: the key doesn't exist
  StoreEra era;
};

/// Returns the era as logged; "-" if there is none.
[[nodiscard]] inline std::string FormatEra(const StoreEra& era) {
  return era ? std::to_string(*era) : "-";
}

}  // namespace corianderdock::session
