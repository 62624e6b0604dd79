/// Connections to servers through relays on other instances.
#include <algorithm>
#include <catch2/catch.hpp>

#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

constexpr char kSameZoneRelay[] = "10.0.0.2:7440";
constexpr char kOtherZoneRelay[] = "10.0.0.3:7440";

/// A proxy that a partition separates from the primary "a". Two other instances
/// offer relays.
struct PartitionedFromPrimary {
  PartitionedFromPrimary() {
    driver.Feed(session::InstancesRead{{{"self", {"zone", ""}},
                                        {"far", {"elsewhere", kOtherZoneRelay}},
                                        {"near", {"zone", kSameZoneRelay}}}});
    driver.OpenSession(1, "claims");
    driver.Query(1, Verb::kWrite, {}, "item data");
  }

  /// Advances the time. While the direct path fails, "a" is reachable only
  /// through `relay`.
  void AdvanceTime(const std::string& relay, Milliseconds duration) {
    for (int n = 0; n < duration / Milliseconds(25); ++n) {
      driver.AdvanceTime(Milliseconds(25));
      for (const auto& [id, server] : std::exchange(driver.opening, {})) {
        const auto it = driver.relay_addresses.find(id);
        const bool via_relay =
            it != driver.relay_addresses.end() && it->second == relay;
        if (server == "a" && !via_relay && direct_path_fails) continue;
        driver.server_of[id] = server;
        driver.Feed(session::ServerConnected{id, ErrorCode::kNone, {}});
      }
      AnswerReachable();
    }
  }

  void AnswerReachable() {
    for (const SendCommand& it : std::exchange(driver.sent, {})) {
      const bool at_primary = driver.server_of[it.connection] == "a";
      const bool reached = !at_primary ||
                           driver.relay_addresses.contains(it.connection) ||
                           !direct_path_fails;
      if (!reached) continue;
      const Reply reply = driver.RunAt(it, at_primary, {1, 10});
      driver.Feed(session::ServerReplied{it.connection, reply});
    }
  }

  [[nodiscard]] bool UsesRelay() const {
    return !driver.relay_addresses.empty();
  }

  ProxyDriver driver;
  bool direct_path_fails = true;
};

}  // namespace

TEST_CASE("a silent primary is reached through a relay in its zone") {
  PartitionedFromPrimary it;
  it.AdvanceTime(kSameZoneRelay, Milliseconds(800));
  REQUIRE(it.UsesRelay());
  CHECK(it.driver.relay_addresses.begin()->second == kSameZoneRelay);
  it.driver.answers.clear();
  it.driver.OpenSession(2, "claims");
  it.driver.Query(2, Verb::kWrite, {}, "item data");
  it.AdvanceTime(kSameZoneRelay, Milliseconds(100));
  REQUIRE_FALSE(it.driver.answers.empty());
  CHECK(it.driver.answers.back().reply.error == ErrorCode::kNone);
}

TEST_CASE("a primary that a relay reaches is not replaced") {
  PartitionedFromPrimary it;
  it.AdvanceTime(kSameZoneRelay, Milliseconds(4000));
  CHECK(it.driver.claims.size() <= 1);
  CHECK(it.driver.promotions.empty());
}

TEST_CASE("another relay is tried when the first cannot reach the server") {
  PartitionedFromPrimary it;
  it.AdvanceTime(kOtherZoneRelay, Milliseconds(2000));
  const bool tried_other_zone = std::any_of(
      it.driver.relay_addresses.begin(), it.driver.relay_addresses.end(),
      [](const auto& relay) { return relay.second == kOtherZoneRelay; });
  CHECK(tried_other_zone);
}

TEST_CASE("the direct path is used again once it works") {
  PartitionedFromPrimary it;
  it.AdvanceTime(kSameZoneRelay, Milliseconds(800));
  REQUIRE(it.UsesRelay());
  it.direct_path_fails = false;
  it.AdvanceTime(kSameZoneRelay, Milliseconds(2500));
  it.driver.relay_addresses.clear();
  for (session::SessionId id = 10; id < 16; ++id) {
    it.driver.OpenSession(id, "claims");
    it.driver.Query(id, Verb::kWrite, {}, "item data");
  }
  it.AdvanceTime(kSameZoneRelay, Milliseconds(300));
  CHECK_FALSE(it.UsesRelay());
}

TEST_CASE("an instance without others tries no relay") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.AdvanceTime(Milliseconds(1500));
  CHECK(driver.relay_addresses.empty());
}

}  // namespace corianderdock::test
