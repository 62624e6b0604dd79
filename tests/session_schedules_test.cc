/// Random schedules of sessions, servers and faults in virtual time. The
/// environment variables FIRST_SEED and SEEDS set the first seed and the number
/// of seeds, FAULTS_PER_SECOND and LOST_REPLY_RATE the rates of faults.
#include <catch2/catch.hpp>
#include <iostream>

#include "support/seeds.h"
#include "support/session_world.h"

namespace corianderdock::test {

namespace {

constexpr std::uint64_t kSchedules = 100;

}  // namespace

TEST_CASE("no random schedule violates a guarantee") {
  const std::uint64_t first = FromEnvironment("FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("SEEDS", kSchedules);
  WorldResult total;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    WorldOptions options;
    options.seed = seed;
    options.faults_per_second =
        RateFromEnvironment("FAULTS_PER_SECOND", options.faults_per_second);
    options.lost_reply_rate =
        RateFromEnvironment("LOST_REPLY_RATE", options.lost_reply_rate);
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

TEST_CASE("schedules that once violated a guarantee no longer do") {
  const std::uint64_t seeds[] = {
      36,    // a read lacked the session's own write in doubt
      135,   // a refused claimant unfenced replicas that another had fenced
      178,   // an unanswered order was abandoned and took effect later
      953,   // a fenced replica restarted before the order was repeated
      3071,  // the same, and the replica could not be fenced again
      97,    // a fence was sent over a connection that had lost a reply
      500,   // a fencing order named no server
      1305,  // old fence reports were used after another's promotion
      1565,  // two instances ordered with fallback tokens at once
      3414,  // one fallback token was used for two servers
  };
  for (const std::uint64_t seed : seeds) {
    WorldOptions options;
    options.seed = seed;
    CHECK(RunSessionSchedule(options).violations.empty());
  }
}

TEST_CASE(
    "schedules with many faults that once violated a guarantee no longer do") {
  struct HighFaultSchedule {
    std::uint64_t seed;
    double faults_per_second;
    double lost_reply_rate;
  };
  const HighFaultSchedule schedules[] = {
      {12, 3, 0.05},    // fence report of a replica that had restarted since
      {233, 6, 0.01},   // the same
      {629, 6, 0.01},   // the same, after the claimant was paused
      {381, 6, 0.01},   // a fallback token below that of a delayed order
      {43, 1.5, 0.01},  // two claimants chose different servers
      {231, 6, 0.01},   // the same
      {295, 3, 0.05},   // the same
      {87, 6, 0.01},    // a fallback token with an unanswered order was reused
      {767, 6, 0.01},   // a fenced replica restarted
      {926, 6, 0.01},   // two orders were delayed
      {1183, 3, 0.05},  // a fenced replica restarted
      {7, 6, 0.01},     // a fenced replica restarted
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

TEST_CASE("refused statements and replies cut off violate no guarantee") {
  for (std::uint64_t seed = 1; seed <= kSchedules / 4; ++seed) {
    WorldOptions options;
    options.seed = seed;
    options.busy_rate = 0.1;
    options.cut_reply_rate = 0.02;
    const WorldResult result = RunSessionSchedule(options);
    CAPTURE(result.violations);
    CHECK(result.violations.empty());
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
