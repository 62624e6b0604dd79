/// \file
/// A load against running instances and its four measures.
#pragma once

#include <string>
#include <vector>

#include "load.h"

namespace bench {

/// What to send, and to whom.
struct LoadCommand {
  std::vector<std::string> addresses;  ///< callers' addresses, used in turn
  double rate = 150;                   ///< statements per second before a peak
  double peak = 2;                     ///< demand of the peak over that
  std::string long_work = "audits";    ///< none, reports or audits
  int seconds = 8;                     ///< length of each part
  std::uint64_t seed = 1;              ///< also of the request ids
  std::string json;                    ///< file for the report; empty for none
};

/// Sends a calm load, the same with long work, and a peak; prints the counts
/// of each kind and the four measures and writes them as JSON. Returns an exit
/// code: 0 when every part had requests done, 1 otherwise, 2 for bad input.
int RunLoadCommand(const LoadCommand& command);

}  // namespace bench
