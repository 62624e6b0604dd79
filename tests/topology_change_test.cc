/// \file
/// Instances that exchange incremental topology changes must end with the same
/// topology as instances that exchange it in full.
#include "corianderdock/topology_change.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <random>

#include "corianderdock/codec.h"

namespace corianderdock {
namespace {

constexpr int kRounds = 4000;
constexpr int kIds = 12;

/// One instance's copy of the topology and its change log.
struct TopologyCopy {
  Topology topology;
  TopologyLog log;

  void Install(const Topology& next) {
    if (next.revision <= topology.revision) return;
    log.Record(topology, next);
    topology = next;
  }
};

std::string IdOf(std::uint64_t n) { return "id-" + std::to_string(n); }

/// Adds, alters, removes or restores one random entry.
void ChangeRandomEntry(Topology& topology, std::mt19937_64& random) {
  ++topology.revision;
  const std::string id = IdOf(random() % kIds);
  switch (random() % 4) {
    case 0:
      topology.servers.erase(id);
      break;
    case 1:
      topology.instances.erase(id);
      break;
    case 2:
      topology.servers[id] = {id, "g", "z", "1:1", 2, 16, random() % 2 == 0};
      break;
    default:
      topology.instances[id] = {id, "z", "1:2", random() % 2 == 0};
      break;
  }
}

/// Brings `receiver` up to the revision of `sender` with incremental changes
/// encoded as JSON, or with the full topology if the changes do not apply.
/// Returns true if no full transfer was needed.
bool FetchTopology(TopologyCopy& receiver, const TopologyCopy& sender) {
  if (sender.topology.revision <= receiver.topology.revision) return true;
  const auto change =
      sender.log.Since(receiver.topology.revision, sender.topology);
  if (change) {
    const auto read = ParseTopologyChange(ToJson(*change));
    REQUIRE(read);
    if (const auto topology = Apply(receiver.topology, *read)) {
      receiver.Install(*topology);
      return true;
    }
  }
  receiver.Install(sender.topology);
  return false;
}

TEST_CASE("incremental changes produce the same topology as full transfers",
          "[topology]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    std::mt19937_64 random(seed);
    Topology platform;
    std::vector<TopologyCopy> copies(4);
    int full_fetches = 0;
    int fetches = 0;
    for (int n = 0; n < kRounds; ++n) {
      ChangeRandomEntry(platform, random);
      TopologyCopy& receiver = copies[random() % copies.size()];
      const TopologyCopy& sender = copies[random() % copies.size()];
      if (random() % 3 == 0) receiver.Install(platform);
      if (sender.topology.revision <= receiver.topology.revision) continue;
      ++fetches;
      if (!FetchTopology(receiver, sender)) ++full_fetches;
      INFO("seed " << seed << " round " << n);
      REQUIRE(receiver.topology.SameContent(sender.topology));
      REQUIRE(receiver.topology.revision == sender.topology.revision);
    }
    CHECK(full_fetches < fetches / 4);
  }
}

TEST_CASE("a change is rejected when an entry changed and reverted in between",
          "[topology]") {
  Topology first;
  first.revision = 1;
  first.instances["i"] = {"i", "z", "1:2", false};
  Topology between = first;
  between.revision = 2;
  between.instances["i"].leaving = true;
  Topology last = first;
  last.revision = 3;
  TopologyCopy sender;
  sender.Install(first);
  sender.Install(last);
  const auto change = sender.log.Since(2, last);
  REQUIRE(change);
  CHECK_FALSE(Apply(between, *change));
  CHECK(Apply(first, *change));
}

TEST_CASE("no changes are available from before the first installed topology",
          "[topology]") {
  Topology topology;
  topology.revision = 5;
  TopologyCopy sender;
  sender.Install(topology);
  CHECK_FALSE(sender.log.Since(0, topology));
  CHECK_FALSE(sender.log.Since(4, topology));
  CHECK(sender.log.Since(5, topology));
}

TEST_CASE("malformed changes are rejected with the path of the error",
          "[topology]") {
  Json::Value text = ToJson(TopologyChange());
  text["removed_servers"].append(7);
  const auto change = ParseTopologyChange(text);
  REQUIRE_FALSE(change);
  CHECK(change.error().place == "change.removed_servers");
}

}  // namespace
}  // namespace corianderdock
