/// \file
/// Property test: the guarantees hold under random schedules of faults against
/// several reducers in virtual time.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "support/schedule.h"

namespace testing_support {
namespace {

constexpr int kMaxFaults = 8;

rc::Gen<Fault> AnyFault() {
  // Fixed size: RapidCheck would otherwise draw from a range that grows with
  // the number of cases.
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<Fault>(
          rc::gen::set(&Fault::at_ms, rc::gen::inRange(0, kLatestFaultMs)),
          rc::gen::set(&Fault::kind, rc::gen::inRange(0, kFaultKinds)),
          rc::gen::set(&Fault::target, rc::gen::inRange(0, 3)),
          rc::gen::set(&Fault::length_ms,
                       rc::gen::inRange(kShortestFaultMs, kLongestFaultMs))));
}

TEST_CASE("guarantees hold under random schedules", "[schedules]") {
  CHECK(rc::check("no guarantee is violated", [] {
    const auto seed = *rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, 1000000));
    const auto faults = *rc::gen::resize(
        kMaxFaults, rc::gen::container<std::vector<Fault>>(AnyFault()));
    const auto violations = RunSchedule(seed, faults);
    for (const auto& it : violations) RC_LOG() << it << "\n";
    RC_ASSERT(violations.empty());
  }));
}

}  // namespace
}  // namespace testing_support
