/// \file
/// Compares acknowledgement after replication to a majority with immediate
/// acknowledgement over the same 100 failovers in virtual time: the latency
/// that the first adds and the writes that the second loses.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>

#include "support/fake_world.h"
#include "support/naive.h"

namespace testing_support {
namespace {

constexpr std::uint64_t kFailovers = 100;
constexpr Duration kLoadDuration = std::chrono::seconds(4);

/// Results of all failovers under one policy.
struct Cost {
  std::vector<Duration> latencies;       ///< writes before the failover
  std::vector<Duration> read_latencies;  ///< strict reads before it
  std::size_t acknowledged = 0;
  std::size_t lost = 0;
  std::size_t lost_after_read = 0;  ///< returned, then lost
};

Cost Measure(const Policy* policy) {
  Cost cost;
  for (std::uint64_t seed = 1; seed <= kFailovers; ++seed) {
    WorldOptions options;
    options.policy = policy;
    FakeWorld world(options, seed);
    world.RunFor(std::chrono::seconds(3));
    for (Duration at{0}; at < kLoadDuration; at += Milliseconds(10)) {
      const int n = static_cast<int>(at / Milliseconds(10));
      world.After(at, [&world, n] { world.Write(n % 4, n % 3); });
      world.After(at + Milliseconds(5),
                  [&world, n] { world.Read(n % 4 + 4, n % 3, "now"); });
    }
    const TimePoint killed = world.now() + Milliseconds(1000 + 7 * seed);
    world.After(killed - world.now(), [&] { world.KillServer("primary"); });
    world.RunFor(kLoadDuration + std::chrono::seconds(4));
    world.Settle();
    std::set<std::string> stored;
    for (const auto& it : world.history().survived["g"]) stored.insert(it.id);
    for (const auto& it : world.history().operations) {
      if (!it.has_answer || it.outcome != Outcome::kDone) continue;
      if (it.type == OperationType::kRead) {
        for (const auto& id : it.returned_ids) {
          if (!stored.contains(id)) ++cost.lost_after_read;
        }
        if (it.reply_received < killed) {
          cost.read_latencies.push_back(it.reply_received - it.invoked);
        }
        continue;
      }
      ++cost.acknowledged;
      if (!stored.contains(it.id)) ++cost.lost;
      if (it.reply_received < killed) {
        cost.latencies.push_back(it.reply_received - it.invoked);
      }
    }
  }
  std::sort(cost.latencies.begin(), cost.latencies.end());
  std::sort(cost.read_latencies.begin(), cost.read_latencies.end());
  return cost;
}

double Percentile(const std::vector<Duration>& sorted, double share) {
  const auto n =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
  return std::chrono::duration<double, std::milli>(sorted.at(n)).count();
}

void Print(const char* name, const Cost& cost) {
  std::printf("| %s | %.1f | %.1f | %zu | %zu | %.1f | %.1f | %zu |\n", name,
              Percentile(cost.latencies, 0.5), Percentile(cost.latencies, 0.99),
              cost.acknowledged, cost.lost,
              Percentile(cost.read_latencies, 0.5),
              Percentile(cost.read_latencies, 0.99), cost.lost_after_read);
}

TEST_CASE("acknowledgement after replication loses no write in 100 failovers",
          "[acknowledgement]") {
  const AcknowledgeBeforeReplication acknowledge_early;
  const ReturnUnreplicatedReads return_early;
  const Cost replicated = Measure(nullptr);
  const Cost early_acknowledgement = Measure(&acknowledge_early);
  Print("held by a majority", replicated);
  Print("at once", early_acknowledgement);
  const Cost early_reads = Measure(&return_early);
  Print("held by a majority, reads shown at once", early_reads);
  CHECK(replicated.lost_after_read == 0);
  CHECK(replicated.lost == 0);
  CHECK(early_acknowledgement.lost > 0);
}

}  // namespace
}  // namespace testing_support
