/// \file
/// Prints what a simulated schedule violated.
#pragma once

#include <iostream>
#include <set>
#include <string>

#include "support/session_world.h"

namespace corianderdock::test {

/// Prints the first violation of each rule.
inline void PrintViolations(const WorldResult& result) {
  std::set<std::string> rules;
  for (const std::string& it : result.violations) {
    if (rules.insert(it.substr(0, it.find(' '))).second) {
      std::cout << it << "\n";
    }
  }
}

}  // namespace corianderdock::test
