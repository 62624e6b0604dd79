/// \file
/// Text of values in log lines.
#pragma once

#include <optional>
#include <string>

#include "corianderdock/types.h"

namespace corianderdock::detail {

/// Returns `term.index`, or `-` without a position.
[[nodiscard]] inline std::string FormatPosition(
    const std::optional<Position>& position) {
  if (!position) return "-";
  return std::to_string(position->term) + "." + std::to_string(position->index);
}

/// Returns the duration in whole milliseconds, rounded towards zero.
[[nodiscard]] inline std::string WholeMs(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<Milliseconds>(duration).count());
}

/// Returns `text`, or `-` if it is empty.
[[nodiscard]] inline std::string OrDash(const std::string& text) {
  return text.empty() ? "-" : text;
}

}  // namespace corianderdock::detail
