/// \file
/// Runs scenarios against the fake world.
#pragma once

#include "fake_world.h"
#include "scenario.h"

namespace testing_support {

/// Runs a scenario on reducers in virtual time.
class FakeTarget : public ScenarioTarget {
 public:
  explicit FakeTarget(std::uint64_t seed, const Policy* policy = nullptr);

  bool Schedule(const Step& step) override;
  void Run(Duration end) override;
  std::string Check(const Step& step) override;

 private:
  bool ScheduleLoad(const Step& step);
  [[nodiscard]] std::function<void()> ActionOf(
      const std::vector<std::string>& words);

  FakeWorld world_;
  std::mt19937_64 random_;
  TimePoint start_;
  TimePoint load_end_;
  std::string initial_primary_;
};

/// Checks an expectation that depends only on the history, for both targets.
/// Returns why it is not met, or empty. Sets `handled` to false if `words` is
/// no such expectation.
[[nodiscard]] std::string CheckHistory(const std::vector<std::string>& words,
                                       const History& history, TimePoint start,
                                       TimePoint end, bool& handled);

/// Rates per second of a load step: writes, strict reads (`reads`), reads with
/// a staleness bound (`aged`) and transactions.
struct LoadRates {
  double writes = 0;
  double reads = 0;
  double bounded_reads = 0;
  double transactions = 0;
  Duration until{0};
  bool valid = false;
};
[[nodiscard]] LoadRates ParseLoad(const std::vector<std::string>& words);

}  // namespace testing_support
