/// Restarts of many instances at the same moment: how many connections they
/// open, and when statements are served again.
#include <catch2/catch.hpp>

#include "support/fleet.h"
#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

/// Powers `ids` off for 1.1 s. They start within a second of each other and
/// read the lists shortly after.
void Restart(Fleet& fleet, const std::vector<InstanceId>& ids) {
  for (const auto& id : ids) fleet.Kill(id);
  fleet.RunFor(Milliseconds(1100));
  fleet.TakeTally();
  int n = 0;
  for (const auto& id : ids) {
    fleet.RunFor(Milliseconds(static_cast<int>(900 / ids.size())));
    fleet.Start(id, Milliseconds(40), Milliseconds(60 + ++n * 37 % 200));
  }
}

std::vector<InstanceId> All(const Fleet& fleet) {
  std::vector<InstanceId> ids;
  for (const auto& [id, entry] : fleet.list()) ids.push_back(id);
  return ids;
}

void StartAll(Fleet& fleet) {
  for (const auto& id : All(fleet)) {
    fleet.Start(id, Milliseconds(40), Milliseconds(60));
  }
  fleet.RunFor(Milliseconds(6000));
}

double ServedShare(const Fleet::Tally& tally) {
  const int all = tally.served + tally.refused;
  return all == 0 ? 0 : static_cast<double>(tally.served) / all;
}

/// Runs two seconds and checks that statements are served in each.
void CheckServed(Fleet& fleet, double least) {
  for (int second = 2; second <= 3; ++second) {
    fleet.TakeTally();
    fleet.RunFor(Milliseconds(1000));
    const double share = ServedShare(fleet.TakeTally());
    INFO("second " << second);
    CHECK(share >= least);
  }
}

}  // namespace

// Guards against instances that each open a part of an assumed number of
// connections, of which a server then has more than its limit.
TEST_CASE("nothing is opened before the list of instances is read") {
  for (const bool listed : {true, false}) {
    session::Proxy proxy({"self", "zone"}, {});
    const TimePoint start{std::chrono::seconds(100)};
    auto config = std::make_shared<session::RoutingConfig>();
    config->version = 1;
    config->services["books"] = {46, 0};
    ProxyDriver::AddRoute(*config, "claims", Freshness::kPrimary);
    session::ServerEntry entry;
    entry.id = "a";
    entry.service = "books";
    entry.address = "a";
    entry.zone = "zone";
    entry.slots = 4;
    entry.claims_primary = true;
    int opened = 0;
    const auto feed = [&](Milliseconds at, const session::Event& event) {
      for (const auto& it : proxy.Reduce(start + at, event)) {
        if (std::holds_alternative<session::OpenServerConnection>(it)) ++opened;
      }
    };
    const auto pass = [&](Milliseconds until) {
      while (proxy.NextTimer() && *proxy.NextTimer() <= start + until) {
        feed(std::chrono::duration_cast<Milliseconds>(*proxy.NextTimer() -
                                                      start),
             session::TimerFired{});
      }
    };
    feed(Milliseconds(0), session::ConfigRead{config});
    feed(Milliseconds(0), session::ServersRead{{{"a", entry}}, true, {"a"}});
    pass(Milliseconds(290));
    CHECK(opened == 0);
    if (listed) {
      feed(Milliseconds(290), session::InstancesRead{{{"self", {"zone", ""}}}});
      pass(Milliseconds(330));
      CHECK(opened == 1);  // the first of its share, at once
      continue;
    }
    pass(Milliseconds(310));
    feed(Milliseconds(310), session::SessionOpened{1, "claims"});
    for (session::SessionId id = 1; id < 6; ++id) {
      feed(Milliseconds(310), session::SessionOpened{id, "claims"});
      feed(Milliseconds(310), session::StatementReceived{
                                  id, "1", {session::Verb::kRead, {}, "item"}});
    }
    pass(Milliseconds(900));
    CHECK(opened == 1);
  }
}

TEST_CASE("all instances lose power: no connection is over the limit") {
  for (const int instances : {20, 40, 87}) {
    FleetOptions options;
    options.instances = instances;
    options.connections = instances < 46 ? 16 : 46;
    Fleet fleet(options);
    StartAll(fleet);
    CHECK(fleet.over_limit == 0);
    Restart(fleet, All(fleet));
    INFO("instances " << instances);
    CheckServed(fleet, 0.9);
    CHECK(fleet.over_limit == 0);
    fleet.RunFor(Milliseconds(4000));
    CHECK(fleet.over_limit == 0);
  }
}

TEST_CASE("half of the instances are killed: no connection is over the limit") {
  Fleet fleet({});
  StartAll(fleet);
  std::vector<InstanceId> half;
  for (const auto& id : All(fleet)) {
    if (std::stoi(id.substr(1)) / 4 % 2 == 0) half.push_back(id);
  }
  Restart(fleet, half);
  CheckServed(fleet, 0.9);
  CHECK(fleet.over_limit == 0);
}

TEST_CASE("a zone's instances return: no connection is over the limit") {
  Fleet fleet({});
  StartAll(fleet);
  std::vector<InstanceId> zone;
  for (const auto& [id, entry] : fleet.list()) {
    if (entry.zone == "z0") zone.push_back(id);
  }
  Restart(fleet, zone);
  CheckServed(fleet, 0.9);
  CHECK(fleet.over_limit == 0);
}

// Guards against a fleet that is slow to serve because the list is late.
TEST_CASE("instances start without the list of instances: they serve") {
  FleetOptions options;
  options.instances = 20;
  Fleet fleet(options);
  for (const auto& id : All(fleet)) {
    fleet.Start(id, Milliseconds(40), Milliseconds(-1));
  }
  fleet.RunFor(Milliseconds(1000));
  CheckServed(fleet, 0.9);
}

}  // namespace corianderdock::test
