/// \file
/// Lists passed on as changes end the same as lists passed on whole.
#include "corianderdock/topology_change.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <random>

#include "corianderdock/codec.h"

namespace corianderdock {
namespace {

constexpr int kRounds = 4000;
constexpr int kIds = 12;

/// One instance's copy of the lists and its log of changes.
struct Copy {
  Topology lists;
  TopologyLog log;

  void Install(const Topology& next) {
    if (next.revision <= lists.revision) return;
    log.Record(lists, next);
    lists = next;
  }
};

std::string IdOf(std::uint64_t n) { return "id-" + std::to_string(n); }

/// Changes one entry at random: added, altered, removed or set back.
void ChangeOne(Topology& lists, std::mt19937_64& random) {
  ++lists.revision;
  const std::string id = IdOf(random() % kIds);
  switch (random() % 4) {
    case 0:
      lists.servers.erase(id);
      break;
    case 1:
      lists.instances.erase(id);
      break;
    case 2:
      lists.servers[id] = {id, "g", "z", "1:1", 2, 16, random() % 2 == 0};
      break;
    default:
      lists.instances[id] = {id, "z", "1:2", random() % 2 == 0};
      break;
  }
}

/// Passes changes on through JSON, and the whole lists when they do not fit.
/// Returns whether changes sufficed.
bool Fetch(Copy& to, const Copy& from) {
  if (from.lists.revision <= to.lists.revision) return true;
  const auto change = from.log.Since(to.lists.revision, from.lists);
  if (change) {
    const auto read = ParseTopologyChange(ToJson(*change));
    REQUIRE(read);
    if (const auto lists = Apply(to.lists, *read)) {
      to.Install(*lists);
      return true;
    }
  }
  to.Install(from.lists);
  return false;
}

TEST_CASE("changes passed on leave the same lists", "[topology]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    std::mt19937_64 random(seed);
    Topology platform;
    std::vector<Copy> copies(4);
    int whole = 0;
    int fetched = 0;
    for (int n = 0; n < kRounds; ++n) {
      ChangeOne(platform, random);
      Copy& to = copies[random() % copies.size()];
      const Copy& from = copies[random() % copies.size()];
      if (random() % 3 == 0) to.Install(platform);
      if (from.lists.revision <= to.lists.revision) continue;
      ++fetched;
      if (!Fetch(to, from)) ++whole;
      INFO("seed " << seed << " round " << n);
      REQUIRE(to.lists.SameContent(from.lists));
      REQUIRE(to.lists.revision == from.lists.revision);
    }
    CHECK(whole < fetched / 4);
  }
}

TEST_CASE("an entry that changed there and back is noticed", "[topology]") {
  Topology first;
  first.revision = 1;
  first.instances["i"] = {"i", "z", "1:2", false};
  Topology between = first;
  between.revision = 2;
  between.instances["i"].leaving = true;
  Topology last = first;
  last.revision = 3;
  Copy sender;
  sender.Install(first);
  sender.Install(last);
  const auto change = sender.log.Since(2, last);
  REQUIRE(change);
  CHECK_FALSE(Apply(between, *change));
  CHECK(Apply(first, *change));
}

TEST_CASE("changes are not told from before the first lists", "[topology]") {
  Topology lists;
  lists.revision = 5;
  Copy sender;
  sender.Install(lists);
  CHECK_FALSE(sender.log.Since(0, lists));
  CHECK_FALSE(sender.log.Since(4, lists));
  CHECK(sender.log.Since(5, lists));
}

TEST_CASE("malformed changes are refused with their place", "[topology]") {
  Json::Value text = ToJson(TopologyChange());
  text["removed_servers"].append(7);
  const auto change = ParseTopologyChange(text);
  REQUIRE_FALSE(change);
  CHECK(change.error().place == "change.removed_servers");
}

}  // namespace
}  // namespace corianderdock
