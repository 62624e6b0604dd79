/// Revoked keys and small instances: what instances learn from each other is
/// never older than it seems, and costs the store little.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "support/exchange_world.h"

namespace corianderdock::test {

namespace {

constexpr int kSeeds = 2000;

std::vector<std::vector<double>> Zones(int zones,
                                       const std::vector<double>& shares) {
  return {static_cast<std::size_t>(zones), shares};
}

int EnvironmentOr(const char* name, int fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoi(text);
}

/// Returns how many statements ran too late with this seed.
int LateStatements(std::uint64_t seed, const ExchangeRules& rules) {
  ExchangeWorld world(seed, {true, Zones(2, {0.5, 0.4, 0.3}), rules});
  const TimePoint end = world.now + std::chrono::seconds(24);
  world.PublishUntil(end, Milliseconds(3000));
  world.ServeUntil(end);
  world.AddFaults(6, end);
  world.RunUntil(end);
  REQUIRE(world.statements > 100);
  return world.late_statements;
}

bool FailsWithout(const ExchangeRules& rules) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    if (LateStatements(static_cast<std::uint64_t>(seed), rules) > 0) {
      return true;
    }
  }
  return false;
}

std::vector<double> ShareOf(int large, double large_share, int small,
                            double small_share) {
  std::vector<double> shares(static_cast<std::size_t>(large), large_share);
  shares.insert(shares.end(), static_cast<std::size_t>(small), small_share);
  return shares;
}

/// Price of the calls of an instance in a second, and its messages.
struct Cost {
  double price = 0;
  double messages = 0;
};

Cost CostOf(const ExchangeSetup& setup, int instances) {
  ExchangeWorld world(1, setup);
  world.lossy = false;
  world.RunUntil(world.now + std::chrono::seconds(12));
  const double price = world.price;
  const std::uint64_t messages = world.messages;
  world.RunUntil(world.now + std::chrono::seconds(60));
  return {(world.price - price) / 60 / instances,
          static_cast<double>(world.messages - messages) / 60 / instances};
}

}  // namespace

TEST_CASE("no statement runs under a key revoked longer ago than the bound") {
  const int first = EnvironmentOr("FIRST_SEED", 1);
  const int seeds = EnvironmentOr("SEEDS", kSeeds);
  for (int seed = first; seed < first + seeds; ++seed) {
    CAPTURE(seed);
    REQUIRE(LateStatements(static_cast<std::uint64_t>(seed), {}) == 0);
  }
}

TEST_CASE("each rule about evidence prevents late statements") {
  CHECK(FailsWithout({.date_by_sending = false}));
  CHECK(FailsWithout({.margin = false}));
  CHECK(FailsWithout({.check_before_sending = false}));
  CHECK(FailsWithout({.distrust_stopped_clocks = false}));
}

TEST_CASE("one instance of a zone reads, and again after faults") {
  ExchangeWorld world(3, {true, Zones(3, ShareOf(9, 0.4, 0, 0)), {}});
  world.lossy = false;
  world.RunUntil(world.now + std::chrono::seconds(10));
  CHECK(world.Readers() == 3);
  CHECK(world.AllFresh());
  const TimePoint end = world.now + std::chrono::seconds(20);
  world.AddFaults(8, end);
  world.RunUntil(end + std::chrono::seconds(14));
  CHECK(world.Readers() == 3);
  CHECK(world.AllFresh());
}

TEST_CASE("an instance in contact with the store knows a version after 5 s") {
  const int first = EnvironmentOr("FIRST_SEED", 1);
  const int seeds = EnvironmentOr("SEEDS", 500);
  for (int seed = first; seed < first + seeds; ++seed) {
    CAPTURE(seed);
    ExchangeWorld world(static_cast<std::uint64_t>(seed),
                        {false, Zones(2, ShareOf(2, 0.5, 3, 0.12)), {}});
    world.silent_watches = true;
    world.lossy = false;
    const TimePoint end = world.now + std::chrono::seconds(30);
    world.PublishUntil(end, Milliseconds(2500));
    world.RunUntil(world.now + std::chrono::seconds(9));
    REQUIRE(world.Followers() == 6);
    world.CheckVersionsUntil(end);
    // A followed instance dies, freezes or is cut off from the store.
    const InstanceId leader = seed % 2 == 0 ? "i0-0" : "i0-1";
    if (seed % 3 == 0) {
      world.CutFromStore(leader, std::chrono::seconds(40));
    } else {
      world.Pause(leader, std::chrono::seconds(seed % 3 == 1 ? 40 : 7), false);
    }
    world.RunUntil(end);
    REQUIRE(world.late_versions == 0);
  }
}

TEST_CASE("calls to the store by instance and second") {
  ExchangeSetup keys{true, Zones(3, ShareOf(9, 0.4, 0, 0)), {}};
  keys.zones.back().pop_back();
  const Cost with_keys = CostOf(keys, 26);
  keys.keys = false;
  const Cost without_keys = CostOf(keys, 26);
  ExchangeSetup mixed{false, Zones(4, ShareOf(2, 0.5, 20, 0.12)), {}};
  mixed.zones.back().pop_back();
  const Cost small = CostOf(mixed, 87);
  mixed.zones = Zones(4, ShareOf(22, 0.5, 0, 0));
  mixed.zones.back().pop_back();
  const Cost equal = CostOf(mixed, 87);
  std::cout << "26 instances, priced calls: before " << without_keys.price
            << ", with revocation " << with_keys.price << ", messages "
            << with_keys.messages << "\n87 instances, priced calls: before "
            << equal.price << ", with small instances " << small.price
            << ", messages " << small.messages << "\n";
  CHECK(without_keys.messages == 0);
  CHECK(equal.messages == 0);
  CHECK(with_keys.price <= 1.2 * without_keys.price);
  CHECK(small.price <= 0.5 * equal.price);
}

}  // namespace corianderdock::test
