/// \file
/// Load against running instances, reported as counts and four measures.
#pragma once

#include <string>
#include <vector>

#include "load.h"

namespace bench {

/// Parameters of the command `load`.
struct LoadCommand {
  std::vector<std::string> addresses;  ///< client addresses, used in turn
  double rate = 150;                   ///< statements per second at normal load
  double peak = 2;                     ///< multiplier of `rate` in the peak
  std::string long_work = "audits";    ///< none, reports or audits
  int seconds = 8;                     ///< length of each part
  std::uint64_t seed = 1;              ///< also part of the request ids
  std::string json;                    ///< file for the report; empty for none
};

/// Runs a normal load, the same load with long-running reads, and a peak load.
/// Prints the counts of each kind and the four measures, and writes them as
/// JSON. Returns an exit code: 0 when each part completed requests, 1 when one
/// did not, 2 for bad input.
int RunLoadCommand(const LoadCommand& command);

}  // namespace bench
