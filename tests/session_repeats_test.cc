/// Random schedules of servers that send replies twice, refuse statements, fail
/// to set up connections and break replies off, together with the other faults.
/// The environment variables FIRST_SEED and SEEDS set the first seed and the
/// number of seeds of each test.
#include <catch2/catch.hpp>
#include <iostream>
#include <iterator>

#include "support/seeds.h"
#include "support/session_world.h"
#include "support/violations.h"

namespace corianderdock::test {

namespace {

using Kind = RepeatOptions::Kind;

constexpr std::uint64_t kSchedules = 12;

/// A world whose servers repeat replies, with or without periods, one kind of
/// them or all, by `seed`.
WorldOptions RepeatingWorld(std::uint64_t seed) {
  constexpr Kind kKinds[] = {Kind::kAll, Kind::kStatements, Kind::kOwnCommands,
                             Kind::kErrors};
  constexpr double kRates[] = {0.05, 0.2, 0.5};
  WorldOptions options;
  options.seed = seed;
  options.duration = std::chrono::seconds(4);
  options.repeats.kind = kKinds[seed % std::size(kKinds)];
  options.repeats.rate = kRates[seed / std::size(kKinds) % std::size(kRates)];
  options.repeats.in_periods = seed % 2 == 0;
  options.repeats.max_replies = seed % 3 == 0 ? 400 : 0;
  options.repeats.max_delay =
      std::chrono::milliseconds(seed % 5 == 0 ? 3 : 200);
  options.busy_rate = 0.05;
  return options;
}

WorldResult CheckSchedules(WorldOptions (*world)(std::uint64_t seed)) {
  const std::uint64_t first = FromEnvironment("FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("SEEDS", kSchedules);
  WorldResult total;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const WorldResult result = RunSessionSchedule(world(seed));
    PrintViolations(result);
    CHECK(result.violations.empty());
    total.succeeded += result.succeeded;
    total.refused += result.refused;
    total.unsure += result.unsure;
    total.repeats += result.repeats;
    total.connections_opened += result.connections_opened;
  }
  std::cout << "done " << total.succeeded << ", refused " << total.refused
            << ", unsure " << total.unsure << ", repeats " << total.repeats
            << ", connections " << total.connections_opened << "\n";
  CHECK(total.succeeded > 0);
  return total;
}

}  // namespace

// A repeated reply reached the client of another statement.
TEST_CASE("no schedule with repeated replies violates a guarantee") {
  (void)CheckSchedules(RepeatingWorld);
}

// The same, where a replaced primary goes on until it is told.
TEST_CASE("no schedule with repeated replies and no fencing is stale") {
  (void)CheckSchedules([](std::uint64_t seed) {
    WorldOptions options = RepeatingWorld(seed);
    options.fencing = false;
    return options;
  });
}

// The same, while claimants and servers fail during promotions.
TEST_CASE("no schedule with repeated replies during promotions loses commits") {
  (void)CheckSchedules([](std::uint64_t seed) {
    WorldOptions options = RepeatingWorld(seed);
    options.overlap = true;
    options.restarts = seed % 2 == 0;
    options.cut_reply_rate = 0.005;
    options.duration = std::chrono::seconds(8);
    return options;
  });
}

// The repeat of a BEGIN that succeeded was taken for the reply to one that
// failed, whose error then counted as the reply to its first statement.
TEST_CASE("no statement runs after the repeat of a BEGIN that failed") {
  (void)CheckSchedules([](std::uint64_t seed) {
    WorldOptions options;
    options.seed = seed;
    options.faults_per_second = 3;
    options.repeats.kind = Kind::kOwnCommands;
    options.repeats.rate = 0.6;
    options.repeats.max_delay = std::chrono::milliseconds(1000);
    options.repeats.copies = 20;
    return options;
  });
}

// A repeat that came after hundreds of other replies wasn't recognized.
TEST_CASE("replies repeated after hundreds of others reach no other client") {
  (void)CheckSchedules([](std::uint64_t seed) {
    WorldOptions options;
    options.seed = seed;
    options.faults_per_second = 0;
    options.lost_reply_rate = 0;
    options.duration = std::chrono::seconds(12);
    options.clients_per_instance = 4;
    options.repeats.kind = Kind::kStatements;
    options.repeats.rate = 0.05;
    options.repeats.max_replies = 2000;
    return options;
  });
}

// Two equal refusals of a write, neither of them a repeat, left it in doubt.
TEST_CASE("refusals of servers that never repeat leave no write unsure") {
  const WorldResult total = CheckSchedules([](std::uint64_t seed) {
    WorldOptions options;
    options.seed = seed;
    options.faults_per_second = 0;
    options.lost_reply_rate = 0;
    options.busy_rate = 0.2;
    return options;
  });
  CHECK(total.unsure == 0);
}

// The same, where each instance has few connections and the log often stands
// still.
TEST_CASE("refusals to many instances leave no write unsure") {
  const WorldResult total = CheckSchedules([](std::uint64_t seed) {
    WorldOptions options;
    options.seed = seed;
    options.instances = 12;
    options.clients_per_instance = 3;
    options.duration = std::chrono::seconds(4);
    options.faults_per_second = 0;
    options.lost_reply_rate = 0;
    options.busy_rate = 0.6;
    return options;
  });
  CHECK(total.unsure == 0);
}

TEST_CASE("all faults of replies together violate no guarantee") {
  (void)CheckSchedules([](std::uint64_t seed) {
    WorldOptions options = RepeatingWorld(seed);
    options.varied_texts = true;
    options.setup_failure_rate = 0.02;
    options.cut_reply_rate = 0.005;
    options.joiners = seed % 2 == 1;
    return options;
  });
}

}  // namespace corianderdock::test
