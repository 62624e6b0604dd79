/// Owners of servers among instances of different size, and the search for one
/// that is up.
#include "corianderdock/session/weighted_owners.h"

#include <catch2/catch.hpp>
#include <set>

#include "corianderdock/session/owner_search.h"

namespace corianderdock::test {

namespace {

using session::InstanceList;
using session::OwnerLoss;
using session::OwnersBefore;
using session::OwnerSearch;
using session::OwnerSearchOptions;
using session::PlanWeightedOwners;
using session::ServerEntry;

constexpr int kReserved = 2;
constexpr int kLimit = 46;

InstanceList Instances(int count, int large) {
  InstanceList list;
  for (int n = 0; n < count; ++n) {
    const InstanceId id = "p" + std::to_string(n);
    list[id] = {"z" + std::to_string(n % 4), "", id,
                n / 4 < large ? 0.5 : 0.12};
  }
  return list;
}

ServerEntry Server(const ServerId& id, const ZoneId& zone) {
  ServerEntry entry;
  entry.id = id;
  entry.zone = zone;
  entry.slots = 4;
  return entry;
}

}  // namespace

TEST_CASE("small instances own nothing while larger ones suffice") {
  const auto list = Instances(87, 2);
  for (int n = 0; n < 24; ++n) {
    const auto server =
        Server("s" + std::to_string(n), "z" + std::to_string(n % 3));
    const auto plan = PlanWeightedOwners(server, kLimit, kReserved, list);
    REQUIRE(plan.owners.size() == 2);
    for (const auto& id : plan.owners) {
      CHECK(list.at(id).processor_share == 0.5);
      CHECK(list.at(id).zone == server.zone);
    }
    // One of each zone.
    std::set<ZoneId> zones;
    for (const auto& id : plan.reserves) zones.insert(list.at(id).zone);
    CHECK(zones.size() == 4);
    CHECK(list.at(plan.reserves.front()).zone == server.zone);
  }
}

// Guards against owners that together exceed the limit, also while the
// connections of their processes before still count.
TEST_CASE("owners and their starts stay within the limit") {
  for (const int limit : {1, 5, 46, 58, 70}) {
    const auto plan = PlanWeightedOwners(Server("s", "z0"), limit, kReserved,
                                         Instances(200, 2));
    const int owners = static_cast<int>(plan.owners.size());
    CHECK(owners * plan.connections <= limit);
    if (limit >= 5) {
      CHECK(owners * (plan.connections + plan.starting_connections) <= limit);
    }
  }
}

TEST_CASE("a changed weight moves only what its instance gets or loses") {
  auto list = Instances(80, 6);
  for (int n = 0; n < 200; ++n) {
    const auto server = Server("s" + std::to_string(n), "z1");
    const auto before = PlanWeightedOwners(server, kLimit, kReserved, list);
    auto changed = list;
    changed["p1"].processor_share = 0.4;
    const auto after = PlanWeightedOwners(server, kLimit, kReserved, changed);
    for (const auto& id : after.owners) {
      const bool owned =
          std::count(before.owners.begin(), before.owners.end(), id) == 1;
      const bool lost =
          std::count(before.owners.begin(), before.owners.end(), "p1") == 1;
      CHECK((owned || id == "p1" || lost));
    }
  }
}

TEST_CASE("an instance that stands in uses those before it") {
  const auto plan = PlanWeightedOwners(Server("s", "z0"), kLimit, kReserved,
                                       Instances(87, 2));
  CHECK(OwnersBefore("other", plan).size() == 6);
  CHECK(OwnersBefore(plan.reserves[0], plan) == plan.owners);
  CHECK(OwnersBefore(plan.reserves[1], plan).back() == plan.reserves[0]);
}

TEST_CASE("instances of one size are not told apart") {
  CHECK_FALSE(session::InstancesDiffer({}));
  CHECK_FALSE(session::InstancesDiffer(Instances(40, 0)));
  CHECK(session::InstancesDiffer(Instances(40, 1)));
}

// Guards against a server that counts as failed because its owners start.
TEST_CASE("owners that start are searched for longer than owners that refuse") {
  const OwnerSearchOptions options;
  const TimePoint start{std::chrono::seconds(1)};
  using session::SearcherKind;
  const auto given_up_after = [&](OwnerLoss loss, SearcherKind searcher) {
    OwnerSearch search;
    TimePoint now = start;
    while (true) {
      const auto step = search.OnLost(now, loss, 4, searcher, options, 0.5);
      if (step.give_up) return now - start;
      now += std::max<Duration>(step.pause, Milliseconds(4));
    }
  };
  const auto unreachable = OwnerLoss::kUnreachable;
  const Duration stand_in =
      given_up_after(unreachable, SearcherKind::kStandsIn);
  const Duration forward = given_up_after(unreachable, SearcherKind::kForwards);
  CHECK(stand_in >= options.stand_in_search_time);
  CHECK(forward >= options.search_time);
  // It is up before the others try the server itself.
  CHECK(forward > stand_in + Milliseconds(100));
  CHECK(given_up_after(unreachable, SearcherKind::kStarts) >=
        options.start_search_time);
  CHECK(given_up_after(OwnerLoss::kRefused, SearcherKind::kStarts) <=
        Milliseconds(10));
}

}  // namespace corianderdock::test
