/// \file
/// What replicated acknowledgement costs and what acknowledging at once loses,
/// over the same 100 failovers in virtual time.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>

#include "support/fake_world.h"
#include "support/naive.h"

namespace testing_support {
namespace {

constexpr std::uint64_t kFailovers = 100;
constexpr Duration kLoad = std::chrono::seconds(4);

/// Sums over all failovers under one policy.
struct Cost {
  std::vector<Duration> latencies;       ///< of writes before the failover
  std::vector<Duration> read_latencies;  ///< of latest data, before it too
  std::size_t acknowledged = 0;
  std::size_t lost = 0;
  std::size_t vanished = 0;  ///< sightings of writes that were lost
};

Cost Measure(const Policy* policy) {
  Cost cost;
  for (std::uint64_t seed = 1; seed <= kFailovers; ++seed) {
    WorldOptions options;
    options.policy = policy;
    FakeWorld world(options, seed);
    world.RunFor(std::chrono::seconds(3));
    for (Duration at{0}; at < kLoad; at += Milliseconds(10)) {
      const int n = static_cast<int>(at / Milliseconds(10));
      world.After(at, [&world, n] { world.Write(n % 4, n % 3); });
      world.After(at + Milliseconds(5),
                  [&world, n] { world.Read(n % 4 + 4, n % 3, "now"); });
    }
    const TimePoint killed = world.now() + Milliseconds(1000 + 7 * seed);
    world.After(killed - world.now(), [&] { world.KillServer("primary"); });
    world.RunFor(kLoad + std::chrono::seconds(4));
    world.Settle();
    std::set<std::string> books;
    for (const auto& it : world.history().survived["g"]) books.insert(it.id);
    for (const auto& it : world.history().operations) {
      if (!it.has_answer || it.outcome != Outcome::kDone) continue;
      if (it.type == OperationType::kRead) {
        for (const auto& id : it.seen) {
          if (!books.contains(id)) ++cost.vanished;
        }
        if (it.answered < killed) {
          cost.read_latencies.push_back(it.answered - it.invoked);
        }
        continue;
      }
      ++cost.acknowledged;
      if (!books.contains(it.id)) ++cost.lost;
      if (it.answered < killed) {
        cost.latencies.push_back(it.answered - it.invoked);
      }
    }
  }
  std::sort(cost.latencies.begin(), cost.latencies.end());
  std::sort(cost.read_latencies.begin(), cost.read_latencies.end());
  return cost;
}

double At(const std::vector<Duration>& sorted, double share) {
  const auto n =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
  return std::chrono::duration<double, std::milli>(sorted.at(n)).count();
}

void Print(const char* name, const Cost& cost) {
  std::printf("| %s | %.1f | %.1f | %zu | %zu | %.1f | %.1f | %zu |\n", name,
              At(cost.latencies, 0.5), At(cost.latencies, 0.99),
              cost.acknowledged, cost.lost, At(cost.read_latencies, 0.5),
              At(cost.read_latencies, 0.99), cost.vanished);
}

TEST_CASE("only replicated acknowledgement survives 100 failovers",
          "[acknowledgement]") {
  const AcknowledgeAtOnce at_once;
  const ShowAtOnce shown;
  const Cost replicated = Measure(nullptr);
  const Cost naive = Measure(&at_once);
  Print("held by a majority", replicated);
  Print("at once", naive);
  const Cost showing = Measure(&shown);
  Print("held by a majority, reads shown at once", showing);
  CHECK(replicated.vanished == 0);
  CHECK(replicated.lost == 0);
  CHECK(naive.lost > 0);
}

}  // namespace
}  // namespace testing_support
