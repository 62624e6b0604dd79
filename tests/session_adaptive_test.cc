/// When adaptive routing is on, and that decisions without it don't change.
#include <catch2/catch.hpp>
#include <sstream>

#include "support/fleet.h"
#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

session::InstanceList Pair(double smaller, double larger) {
  return {{"self", {"zone", "", "", smaller}},
          {"other", {"zone", "", "", larger}}};
}

bool IsOn(const ProxyDriver& driver) {
  bool on = false;
  for (const auto& it : driver.log) {
    const std::string prefix = "adaptive routing changed on=";
    if (it.text.starts_with(prefix)) on = it.text.back() == '1';
  }
  return on;
}

}  // namespace

TEST_CASE("adaptive routing is on by setting or where instances differ") {
  const auto on = [](std::optional<bool> setting, double larger) {
    session::ProxyOptions options;
    options.adaptive_routing = setting;
    ProxyDriver driver(options);
    driver.Feed(session::InstancesRead{Pair(0.1, larger)});
    return IsOn(driver);
  };
  CHECK_FALSE(on(std::nullopt, 0.29));
  CHECK(on(std::nullopt, 0.3));
  CHECK_FALSE(on(false, 1));
  CHECK(on(true, 0.1));
}

TEST_CASE("adaptive routing is on where there are tenants") {
  ProxyDriver driver;
  auto config = std::make_shared<session::RoutingConfig>();
  config->version = 2;
  config->services["books"] = {16, 1};
  ProxyDriver::AddRoute(*config, "claims", Freshness::kPrimary);
  config->tenants = std::make_shared<session::TenantDirectory>();
  driver.Feed(session::ConfigRead{config});
  CHECK(IsOn(driver));
}

// Guards against a pace that limits statements, or costs that choose servers,
// where adaptive routing is off.
TEST_CASE("without adaptive routing answers change no decision") {
  const auto decisions = [](bool adaptive, Milliseconds run_time) {
    session::ProxyOptions options;
    options.adaptive_routing = adaptive;
    ProxyDriver driver(options);
    driver.AdvanceTime(Milliseconds(500));
    driver.AnswerAll({});
    std::ostringstream text;
    for (session::SessionId id = 1; id <= 12; ++id) {
      driver.OpenSession(id, "lookups");
    }
    for (int round = 0; round < 10; ++round) {
      driver.all_sent.clear();
      for (session::SessionId id = 1; id <= 12; ++id) {
        driver.Query(id, Verb::kRead, {}, "item");
      }
      for (const auto& it : driver.all_sent) {
        if (it.command.id.empty()) continue;
        text << driver.server_of[it.connection] << " ";
      }
      driver.AdvanceTime(run_time);
      for (int n = 0; n < 8; ++n) driver.AnswerAll({});
      driver.AdvanceTime(Milliseconds(200) - run_time);
    }
    return text.str();
  };
  const std::string off = decisions(false, Milliseconds(10));
  CHECK_FALSE(off.empty());
  // Two statements at each server from the start, as it has two slots.
  for (const char* id : {"a", "b", "c"}) {
    CHECK(std::count(off.begin(), off.begin() + 12, *id) == 2);
  }
  const std::string on = decisions(true, Milliseconds(10));
  CHECK(on != off);
}

TEST_CASE("a change of the time for which a server is slow is no change") {
  ProxyDriver driver;
  session::ServersRead read{{}, true, {}};
  for (const char* id : {"a", "b", "c"}) {
    read.servers[id] = driver.EntryOf(id);
    read.servers[id].claims_primary = *id == 'a';
  }
  driver.log.clear();
  driver.connections_closed.clear();
  read.servers["b"].cold_left = Milliseconds(1500);
  driver.Feed(read);
  CHECK(driver.log.empty());
  CHECK(driver.connections_closed.empty());
}

TEST_CASE("adaptive routing serves as many statements of an equal fleet") {
  const auto served = [](bool adaptive) {
    FleetOptions options;
    options.adaptive = adaptive;
    options.instances = 40;
    options.interval = Milliseconds(150);
    Fleet fleet(options);
    for (const auto& [id, entry] : fleet.list()) {
      fleet.Start(id, Milliseconds(40), Milliseconds(60));
    }
    fleet.RunFor(Milliseconds(3000));
    fleet.TakeTally();
    fleet.RunFor(Milliseconds(5000));
    return fleet.TakeTally();
  };
  const auto off = served(false);
  const auto on = served(true);
  CHECK(on.served >= 0.98 * off.served);
  CHECK(on.refused <= off.refused + 0.01 * off.served);
}

}  // namespace corianderdock::test
