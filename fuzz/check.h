/// \file
/// Helpers of the fuzz targets.
#pragma once

#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace corianderdock::fuzz {

/// Aborts the process unless `holds`.
inline void Check(bool holds, std::string_view what) {
  if (holds) return;
  std::cerr << "violated: " << what << "\n";
  std::abort();
}

/// Splits input into lines as `net::LineSocket` does. Ends at the first line
/// that it refuses, and leaves out a line that isn't finished.
inline std::vector<std::string> Lines(std::string_view input) {
  std::vector<std::string> lines;
  while (true) {
    const std::size_t end = input.find('\n');
    if (end == std::string_view::npos || end == 0) return lines;
    const std::string_view line = input.substr(0, end - 1);
    if (input[end - 1] != '\r') return lines;
    if (line.find('\r') != std::string_view::npos) return lines;
    lines.emplace_back(line);
    input.remove_prefix(end + 1);
  }
}

}  // namespace corianderdock::fuzz
