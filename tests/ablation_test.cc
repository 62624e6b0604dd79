/// \file
/// Shows that each safety mechanism is needed and that the checks detect its
/// absence: without it some schedule of faults violates a guarantee, and the
/// complete system passes the same schedule.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "support/naive.h"
#include "support/schedule.h"

namespace testing_support {
namespace {

constexpr std::uint64_t kMaxSeeds = 250;
constexpr std::size_t kMaxFaults = 6;

/// Returns the first seed at which `policy` causes a violation that contains
/// `expected_violation`, or 0 if there is none up to `kMaxSeeds`. Requires that
/// the complete system passes the same schedule.
std::uint64_t FindViolatingSeed(const Policy& policy,
                                const std::string& expected_violation,
                                std::string& violation) {
  for (std::uint64_t seed = 1; seed <= kMaxSeeds; ++seed) {
    const auto faults = RandomFaults(seed, kMaxFaults);
    const auto violations = RunSchedule(seed, faults, &policy);
    const auto match = std::find_if(
        violations.begin(), violations.end(), [&](const std::string& it) {
          return it.find(expected_violation) != std::string::npos;
        });
    if (match == violations.end()) continue;
    violation = *match;
    REQUIRE(RunSchedule(seed, faults).empty());
    return seed;
  }
  return 0;
}

void CheckViolates(const std::string& name, const Policy& policy,
                   const std::string& expected_violation) {
  std::string violation;
  const std::uint64_t seed =
      FindViolatingSeed(policy, expected_violation, violation);
  INFO(name << ": violation at seed " << seed << ": " << violation);
  CHECK(seed > 0);
  std::printf("%s: seed %d, %s\n", name.c_str(), static_cast<int>(seed),
              violation.c_str());
}

TEST_CASE("acknowledging before replication loses writes", "[ablation]") {
  CheckViolates("acknowledge before replication",
                AcknowledgeBeforeReplication(), "acknowledged and lost");
}

TEST_CASE("returning unreplicated data exposes writes that may be lost",
          "[ablation]") {
  CheckViolates("return unreplicated reads", ReturnUnreplicatedReads(),
                "returned before a majority");
}

TEST_CASE("promoting without a majority loses acknowledged writes",
          "[ablation]") {
  CheckViolates("promote without majority", PromoteWithoutMajority(),
                "acknowledged and lost");
}

TEST_CASE("ignoring session tokens violates read-your-writes", "[ablation]") {
  CheckViolates("ignore session token", IgnoreSessionToken(),
                "read-your-writes violated");
}

TEST_CASE("skipping the staleness check serves stale data", "[ablation]") {
  CheckViolates("skip staleness check", SkipStalenessCheck(),
                "stale read misses");
}

TEST_CASE("not recording request ids applies writes twice", "[ablation]") {
  CheckViolates("skip request id recording", SkipRequestIdRecording(),
                "applied 2 times");
}

TEST_CASE("reporting lost answers as not run contradicts applied writes",
          "[ablation]") {
  CheckViolates("report lost answer as not run", ReportLostAnswerAsNotRun(),
                "reported as not run but applied");
}

TEST_CASE("sharing a transaction's connection mixes transactions",
          "[ablation]") {
  CheckViolates("share transaction connections", ShareTransactionConnections(),
                "transactions mixed");
}

TEST_CASE("accepting any sheet version reverts to an older sheet",
          "[ablation]") {
  CheckViolates("accept any sheet", AcceptAnySheet(), "sheet reverted");
}

TEST_CASE("routing to leaving servers gives them new work", "[ablation]") {
  CheckViolates("route to leaving servers", RouteToLeavingServers(),
                "new work on a leaving server");
}

TEST_CASE("exiting without draining cuts off requests", "[ablation]") {
  CheckViolates("exit without draining", ExitWithoutDraining(),
                "graceful shutdown cut off");
}

TEST_CASE("reusing connections in doubt violates a guarantee", "[ablation]") {
  // The primary pauses for longer than the statement time-out but not long
  // enough for a failover, so its late answers arrive while later statements
  // run on the reused connections.
  auto count_violations = [](std::uint64_t seed, const Policy* policy) {
    WorldOptions options;
    options.policy = policy;
    options.tune = [](Options& it) {
      it.primary_silence = std::chrono::seconds(30);
      it.replication_silence = std::chrono::seconds(30);
    };
    FakeWorld world(options, seed);
    world.RunFor(std::chrono::seconds(3));
    for (int n = 0; n < 400; ++n) {
      world.After(Milliseconds(10) * n, [&world, n] {
        if (n % 2 == 0) world.Write(n % 4, n % 3);
        if (n % 2 == 1) world.Read(n % 4, n % 3, "now");
      });
    }
    world.After(Milliseconds(1000),
                [&] { world.FreezeServer("primary", true); });
    world.After(Milliseconds(2600),
                [&] { world.FreezeServer("primary", false); });
    world.RunFor(std::chrono::seconds(8));
    world.Settle();
    return world.history().Violations().size();
  };
  const ReuseConnectionsInDoubt policy;
  std::size_t total = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    total += count_violations(seed, &policy);
    CHECK(count_violations(seed, nullptr) == 0);
  }
  CHECK(total > 0);
  std::printf("reuse in doubt: %d violations\n", static_cast<int>(total));
}

}  // namespace
}  // namespace testing_support
