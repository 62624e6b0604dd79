/// Costs of reads, and the load of servers that are chosen by them.
#include <catch2/catch.hpp>

#include "support/read_sim.h"

namespace corianderdock::test {

namespace {

/// Share of all slots that reads need.
constexpr double kLoad = 0.7;
constexpr int kRuns = 8;

double ReadsPerSecond(const ReadSim& sim, double load) {
  return load * static_cast<double>(sim.servers.size()) * ReadSim::kSlots *
         1000 / ReadSim::kRunMs;
}

/// Spreads the load evenly over the instances.
void LoadEvenly(ReadSim& sim, double load) {
  const double per_s =
      ReadsPerSecond(sim, load) / static_cast<double>(sim.nodes.size());
  sim.rate = [per_s](const ReadSim::Instance&, double) { return per_s; };
}

/// Shares of the servers between two times, in units of the fair one.
std::vector<double> Shares(ReadSim& sim, double from, double until) {
  sim.RunUntil(from);
  sim.TakeStarts();
  sim.RunUntil(until);
  const auto starts = sim.TakeStarts();
  double sum = 0;
  for (const int it : starts) sum += it;
  std::vector<double> shares;
  shares.reserve(starts.size());
  for (const int it : starts) {
    shares.push_back(it / (sum / static_cast<double>(starts.size())));
  }
  return shares;
}

/// Mean of the shares over several runs.
std::vector<double> MeanShares(
    const std::function<std::vector<double>(std::uint64_t)>& run) {
  std::vector<double> mean;
  for (std::uint64_t seed = 0; seed < kRuns; ++seed) {
    const auto shares = run(seed);
    mean.resize(shares.size());
    for (std::size_t n = 0; n < shares.size(); ++n)
      mean[n] += shares[n] / kRuns;
  }
  return mean;
}

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      share * static_cast<double>(values.size() - 1))];
}

session::ReadInputs Inputs(double ms) {
  session::ReadInputs in;
  in.expected_ms = ms;
  in.limit = 4;
  in.slots = 4;
  return in;
}

}  // namespace

TEST_CASE("zone without servers: its reads spread by spare capacity") {
  const auto shares = MeanShares([](std::uint64_t seed) {
    ReadSim sim(24, 4, {0, 1, 2});
    sim.seed = seed;
    LoadEvenly(sim, kLoad);
    return Shares(sim, 2000, 6000);
  });
  for (const double it : shares) CHECK(it <= 1.15);
}

TEST_CASE("swinging demand: no server gets more than its fair share and 15%") {
  const auto shares = MeanShares([](std::uint64_t seed) {
    ReadSim sim(20, 3, {0, 1, 2});
    sim.seed = seed;
    const double per_s = ReadsPerSecond(sim, kLoad) / 20;
    // Halves of 0.45 and 0.22 swap at 5 s.
    sim.rate = [per_s](const ReadSim::Instance& it, double ms) {
      if (it.zone == 2) return per_s;
      return (it.zone == 0) != (ms > 5000) ? 1.34 * per_s : 0.66 * per_s;
    };
    return Shares(sim, 5000, 7000);
  });
  for (const double it : shares) CHECK(it <= 1.15);
}

TEST_CASE("grey server: it gets few reads, and the others' times hold") {
  ReadSim sim(20, 3, {0, 1, 2});
  LoadEvenly(sim, 0.4);
  sim.servers[1].slowness = [](double ms) { return ms > 4000 ? 10.0 : 1.0; };
  const auto before = Shares(sim, 2000, 4000);
  sim.times.clear();
  const auto after = Shares(sim, 5000, 8000);
  CHECK(before[1] >= 0.75);
  CHECK(after[1] <= 0.1);
  CHECK(Quantile(sim.times, 0.9) <= 2 * ReadSim::kRunMs + 20);
}

TEST_CASE("flapping server: few reads are refused or wait for it") {
  ReadSim sim(20, 3, {0, 1, 2});
  LoadEvenly(sim, 0.4);
  sim.servers[1].slowness = [](double ms) {
    return static_cast<int>(ms / 1000) % 2 == 0 ? 1.0 : 10.0;
  };
  sim.RunUntil(4000);
  sim.times.clear();
  sim.refused = 0;
  sim.RunUntil(14'000);
  CHECK(sim.refused <= 0.05 * static_cast<double>(sim.times.size()));
  CHECK(Quantile(sim.times, 0.9) <= 2 * ReadSim::kRunMs + 20);
}

TEST_CASE("cold server: reads don't wait there longer than at the others") {
  for (const bool reported : {true, false}) {
    ReadSim sim(20, 3, {0, 1, 2});
    LoadEvenly(sim, 0.6);
    sim.RunUntil(4000);
    sim.servers[1].pace.Restart(sim.Time(), ReadSim::kSlots, reported);
    for (auto& it : sim.nodes) {
      it.paces[1].Restart(sim.Time(), ReadSim::kSlots, reported);
    }
    sim.servers[1].slowness = [](double ms) { return ms < 6000 ? 5.0 : 1.0; };
    for (auto& it : sim.servers) it.waits.clear();
    sim.RunUntil(6000);
    const double others = std::max(Quantile(sim.servers[0].waits, 0.95),
                                   Quantile(sim.servers[2].waits, 0.95));
    INFO("reported " << reported);
    CHECK(Quantile(sim.servers[1].waits, 0.95) <= others);
    sim.RunUntil(8000);
    CHECK(sim.servers[1].pace.Limit() >= 0.9 * ReadSim::kSlots);
  }
}

TEST_CASE("recovered server: it has its share again") {
  ReadSim sim(20, 3, {0, 1, 2});
  LoadEvenly(sim, kLoad);
  sim.servers[1].slowness = [](double ms) {
    return ms > 4000 && ms < 6000 ? 5.0 : 1.0;
  };
  sim.RunUntil(8000);
  CHECK(sim.servers[1].pace.Limit() >= 0.9 * ReadSim::kSlots);
  CHECK(Shares(sim, 8000, 11'000)[1] >= 0.9);
}

TEST_CASE("lagging replicas: a likely refusal costs another attempt") {
  using session::BehindChance;
  auto behind = Inputs(15);
  behind.behind_chance = BehindChance(Milliseconds(0), Milliseconds(100));
  CHECK(session::ExpectedReadMs(behind) >= 2 * 15);
  // It catches up: what it could not serve, it can.
  behind.behind_chance = BehindChance(Milliseconds(500), Milliseconds(100));
  CHECK(session::ExpectedReadMs(behind) <= 1.02 * 15);
  // One that is far behind is asked again later.
  CHECK(BehindChance(Milliseconds(500), Milliseconds(1600)) > 0.7);
}

TEST_CASE("the primary gets reads only when it is better by its writes") {
  auto primary = Inputs(15);
  primary.primary = true;
  CHECK(session::ExpectedReadMs(primary) > session::ExpectedReadMs(Inputs(20)));
  CHECK(session::ExpectedReadMs(primary) < session::ExpectedReadMs(Inputs(30)));
  primary.queued_writes = 4;
  CHECK(session::ExpectedReadMs(primary) > session::ExpectedReadMs(Inputs(30)));
}

TEST_CASE("unequal instances: the choice doesn't depend on their number") {
  // In each zone one instance with half of the reads, and many with few.
  const auto shares = MeanShares([](std::uint64_t seed) {
    ReadSim sim(21, 3, {0, 1, 2});
    sim.seed = seed;
    const double all = ReadsPerSecond(sim, kLoad);
    const ReadSim::Instance* first_small = sim.nodes.data() + 3;
    sim.rate = [all, first_small](const ReadSim::Instance& it, double) {
      return &it < first_small ? 0.5 * all / 3 : 0.5 * all / 18;
    };
    return Shares(sim, 2000, 6000);
  });
  for (const double it : shares) CHECK(it <= 1.15);
}

TEST_CASE("failures count for a while") {
  session::ServerOutcomes outcomes;
  const TimePoint start{std::chrono::seconds(100)};
  outcomes.OnFailure(start, Milliseconds(400));
  CHECK(outcomes.FailureChance(start) > 0.2);
  CHECK(outcomes.LostMs() > 0);
  CHECK(outcomes.FailureChance(start + std::chrono::seconds(10)) < 0.01);
}

}  // namespace corianderdock::test
