#include "corianderdock/session/read_cost.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "corianderdock/detail/hash.h"

namespace corianderdock::session {

namespace {

/// Price of a read's bytes between zones, as a time. A read goes to another
/// zone if it gains more than that and the longer way.
constexpr double kOtherZoneMs = 4;
/// Part of a read's time that it costs statements that only the primary can
/// run: its slot is one of theirs about half of the time.
constexpr double kPrimaryPart = 0.5;
/// Time constant in which a failure is forgotten, and the weight of one.
constexpr double kOutcomeSeconds = 2;
constexpr double kOutcomeGain = 0.25;
/// Power of the inverse times: a server that is twice as slow as two others
/// gets 1 read in 33. At 6 swings of demand overload servers more often; at 3
/// more reads go to other zones than needed.
constexpr double kPower = 4;

}  // namespace

void ServerOutcomes::Note(TimePoint now, double failed) {
  chance_ = FailureChance(now);
  chance_ += kOutcomeGain * (failed - chance_);
  noted_ = now;
}

void ServerOutcomes::OnFailure(TimePoint now, Duration lost) {
  Note(now, 1);
  const double ms = std::chrono::duration<double, std::milli>(lost).count();
  lost_ms_ += kOutcomeGain * (ms - lost_ms_);
}

double ServerOutcomes::FailureChance(TimePoint now) const {
  const double age = std::chrono::duration<double>(now - noted_).count();
  return chance_ * std::exp(-age / kOutcomeSeconds);
}

double ExpectedReadMs(const ReadInputs& inputs) {
  const double own = inputs.expected_ms;
  const double ahead = std::max(0.0, inputs.running + 1 - inputs.limit);
  double ms = own + ahead / inputs.limit * own;
  // A read that isn't answered is sent again, elsewhere.
  const double unanswered =
      1 - (1 - inputs.behind_chance) * (1 - inputs.failure_chance);
  ms += unanswered * own + inputs.failure_chance * inputs.lost_ms;
  if (inputs.other_zone) ms += kOtherZoneMs;
  if (inputs.primary) {
    ms += own * (kPrimaryPart + static_cast<double>(inputs.queued_writes) /
                                    std::max(1, inputs.slots));
  }
  return ms;
}

double BehindChance(Duration age, Duration catch_up) {
  return std::exp(-std::chrono::duration<double>(age).count() /
                  std::chrono::duration<double>(catch_up).count());
}

std::size_t ChooseByCost(const std::vector<double>& costs, double random) {
  const double least = *std::min_element(costs.begin(), costs.end());
  std::vector<double> weights;
  double total = 0;
  for (const double cost : costs) {
    weights.push_back(std::pow(least / cost, kPower));
    total += weights.back();
  }
  double left = random * total;
  for (std::size_t n = 0; n + 1 < weights.size(); ++n) {
    if (left < weights[n]) return n;
    left -= weights[n];
  }
  return weights.size() - 1;
}

double RandomOf(std::string_view instance, std::uint64_t serial) {
  constexpr int kDroppedBits = 11;
  constexpr double kSteps = 9007199254740992.0;  // 2^53
  const std::uint64_t hash = detail::HashPair(instance, std::to_string(serial));
  return static_cast<double>(hash >> kDroppedBits) / kSteps;
}

}  // namespace corianderdock::session
