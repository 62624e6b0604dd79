/// Random schedules of sessions, servers and faults in virtual time.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "support/session_world.h"

namespace corianderdock::test {

namespace {

constexpr std::uint64_t kSchedules = 100;

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

}  // namespace

TEST_CASE("no random schedule breaks a promise") {
  const std::uint64_t first = FromEnvironment("FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("SEEDS", kSchedules);
  WorldResult total;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    WorldOptions options;
    options.seed = seed;
    const WorldResult result = RunSessionSchedule(options);
    for (const auto& it : result.violations) {
      std::cout << it << "\n";
      break;
    }
    CHECK(result.violations.empty());
    total.succeeded += result.succeeded;
    total.refused += result.refused;
    total.unsure += result.unsure;
    total.promotions += result.promotions;
    total.replica_reads += result.replica_reads;
  }
  std::cout << "done " << total.succeeded << ", refused " << total.refused
            << ", unsure " << total.unsure << ", promotions "
            << total.promotions << ", reads at replicas " << total.replica_reads
            << "\n";
  CHECK(total.promotions > 0);
  CHECK(total.replica_reads > 0);
}

TEST_CASE("schedules that once broke a promise keep it") {
  const std::uint64_t seeds[] = {
      36,    // a read of a session with a write in doubt lacked that write
      135,   // a refused claimant let another's replicas go
      178,   // an order without an answer was given up and carried out late
      953,   // a held replica restarted before the order was repeated
      3071,  // the same, and the replica could not be asked to hold again
      97,    // a hold was sent over a connection that had lost an answer
      500,   // a fence was ordered of no server
      1305,  // old evidence counted after another's promotion
      1565,  // two instances ordered under standing tokens at once
      3414,  // one standing token was used for two servers
  };
  for (const std::uint64_t seed : seeds) {
    WorldOptions options;
    options.seed = seed;
    CHECK(RunSessionSchedule(options).violations.empty());
  }
}

TEST_CASE("harsh schedules that once broke a promise keep it") {
  struct HighFaultSchedule {
    std::uint64_t seed;
    double faults_per_second;
    double lost_reply_rate;
  };
  const HighFaultSchedule schedules[] = {
      {12, 3, 0.05},    // evidence of a replica that had restarted since
      {233, 6, 0.01},   // the same
      {629, 6, 0.01},   // the same, after the claimant was stopped
      {381, 6, 0.01},   // a standing token below that of a late order
      {43, 1.5, 0.01},  // two claimants chose different servers
      {231, 6, 0.01},   // the same
      {295, 3, 0.05},   // the same
      {87, 6, 0.01},    // a standing token with an open order was used again
      {767, 6, 0.01},   // a held replica restarted
      {926, 6, 0.01},   // two orders were late
      {1183, 3, 0.05},  // a held replica restarted
      {7, 6, 0.01},     // a held replica restarted
      {700, 6, 0.01},   // the same
      {910, 6, 0.01},   // the same
      {104, 3, 0.05},   // the same
  };
  for (const HighFaultSchedule& it : schedules) {
    WorldOptions options;
    options.seed = it.seed;
    options.faults_per_second = it.faults_per_second;
    options.lost_reply_rate = it.lost_reply_rate;
    CHECK(RunSessionSchedule(options).violations.empty());
  }
}

TEST_CASE("without faults every statement is served") {
  WorldOptions options;
  options.faults_per_second = 0;
  options.lost_reply_rate = 0;
  const WorldResult result = RunSessionSchedule(options);
  CHECK(result.violations.empty());
  CHECK(result.succeeded > 1000);
  CHECK(result.refused == 0);
  CHECK(result.promotions == 0);
}

}  // namespace corianderdock::test
