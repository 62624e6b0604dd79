/// \file
/// State shared by the components of the reducer.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "corianderdock/detail/timers.h"
#include "corianderdock/effects.h"
#include "corianderdock/options.h"
#include "corianderdock/policy.h"

namespace corianderdock::detail {

/// State common to all components: clock, random generator, timers, pending
/// effects and counters.
struct Context {
  Identity self;
  Options options;
  const Policy* policy = nullptr;
  std::mt19937_64 random;
  TimePoint now;
  Timers timers;
  Effects effects;
  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::uint64_t next_id = 1000;  ///< lower values are reserved as timer ids

  void Emit(Effect effect) { effects.push_back(std::move(effect)); }
  void Log(std::string text) { Emit(LogLine{std::move(text)}); }
  void Count(std::string_view name) {
    const auto it = counters.find(name);
    if (it == counters.end()) {
      counters.emplace(name, 1);
    } else {
      ++it->second;
    }
  }
  [[nodiscard]] std::uint64_t NewId() { return next_id++; }
  /// Schedules `timer` to fire `delay` after the current event.
  void After(Duration delay, Timer timer) {
    timers.Schedule(now + delay, std::move(timer));
  }
};

}  // namespace corianderdock::detail
