/// \file
/// Evidence that the configuration in force is recent.
#pragma once

#include <cstdint>
#include <optional>

#include "corianderdock/types.h"

namespace corianderdock::session {

/// Returns until when the configuration was certainly the newest, according to
/// an instance that was asked at `asked_at` and answered that its own evidence
/// is `age` old. The answer was given later than the question was sent, so it
/// is dated by the question, however long the answer took.
[[nodiscard]] constexpr TimePoint DateAnswer(TimePoint asked_at,
                                             Duration age) noexcept {
  return asked_at - age;
}

/// Knows the newest version of the configuration and a time at which it still
/// was the newest. A version that is older than one known before is no
/// evidence: the store may have been restored from an older copy. Pure; not
/// thread-safe.
class ConfigFreshness {
 public:
  /// Notes that a version is known, of which nothing tells how recent it is.
  void NoteVersion(std::uint64_t version);

  /// Notes that `version` was the newest at `as_of` or later. Ignored if a
  /// newer one is known.
  void Confirm(std::uint64_t version, TimePoint as_of);

  /// Age of the evidence; null if there is none.
  [[nodiscard]] std::optional<Duration> AgeAt(TimePoint now) const;

  /// Whether the evidence is younger than `limit`.
  [[nodiscard]] bool IsYounger(TimePoint now, Duration limit) const;

  /// Newest version known; 0 if there is none.
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

 private:
  std::uint64_t version_ = 0;
  std::optional<TimePoint> as_of_;
};

}  // namespace corianderdock::session
