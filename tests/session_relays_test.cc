/// Reaching servers through other instances.
#include <algorithm>
#include <catch2/catch.hpp>

#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

constexpr char kNearRelay[] = "10.0.0.2:7440";
constexpr char kFarRelay[] = "10.0.0.3:7440";

/// A proxy that a partition separates from "a", beside two other instances.
struct CutFromPrimary {
  CutFromPrimary() {
    driver.Feed(session::InstancesRead{{{"self", {"zone", ""}},
                                        {"far", {"elsewhere", kFarRelay}},
                                        {"near", {"zone", kNearRelay}}}});
    driver.Open(1, "claims");
    driver.Query(1, Verb::kWrite, {}, "item data");
  }

  /// Time passes; "a" is reached through `relay` only, if at all.
  void Pass(const std::string& relay, Milliseconds duration) {
    for (int n = 0; n < duration / Milliseconds(25); ++n) {
      driver.Pass(Milliseconds(25));
      for (const auto& [id, server] : std::exchange(driver.opening, {})) {
        const auto it = driver.relayed.find(id);
        const bool through = it != driver.relayed.end() && it->second == relay;
        if (server == "a" && !through && direct_cut) continue;
        driver.at[id] = server;
        driver.Feed(session::ServerConnected{id, ErrorCode::kNone, {}});
      }
      AnswerReached();
    }
  }

  void AnswerReached() {
    for (const SendCommand& it : std::exchange(driver.sent, {})) {
      const bool at_primary = driver.at[it.connection] == "a";
      const bool reached =
          !at_primary || driver.relayed.contains(it.connection) || !direct_cut;
      if (!reached) continue;
      Reply reply;
      reply.position = {1, 10};
      if (!at_primary) reply.error = ErrorCode::kReadOnly;
      if (at_primary) reply.receipt = "r";
      const bool begins = it.command.statement.verb == Verb::kBegin;
      if (at_primary && begins) reply.state = TransactionState::kOpen;
      driver.Feed(session::ServerReplied{it.connection, reply});
    }
  }

  [[nodiscard]] bool UsesRelay() const { return !driver.relayed.empty(); }

  ProxyDriver driver;
  bool direct_cut = true;
};

}  // namespace

TEST_CASE("a silent primary is reached through an instance in its zone") {
  CutFromPrimary it;
  it.Pass(kNearRelay, Milliseconds(800));
  REQUIRE(it.UsesRelay());
  CHECK(it.driver.relayed.begin()->second == kNearRelay);
  it.driver.answers.clear();
  it.driver.Open(2, "claims");
  it.driver.Query(2, Verb::kWrite, {}, "item data");
  it.Pass(kNearRelay, Milliseconds(100));
  REQUIRE_FALSE(it.driver.answers.empty());
  CHECK(it.driver.answers.back().reply.error == ErrorCode::kNone);
}

TEST_CASE("a primary that a relay reaches is not replaced") {
  CutFromPrimary it;
  it.Pass(kNearRelay, Milliseconds(4000));
  CHECK(it.driver.claims.size() <= 1);
  CHECK(it.driver.orders.empty());
}

TEST_CASE("another relay is tried when one does not reach the server") {
  CutFromPrimary it;
  it.Pass(kFarRelay, Milliseconds(2000));
  const bool tried_far =
      std::any_of(it.driver.relayed.begin(), it.driver.relayed.end(),
                  [](const auto& relay) { return relay.second == kFarRelay; });
  CHECK(tried_far);
}

TEST_CASE("the direct way is taken again once it works") {
  CutFromPrimary it;
  it.Pass(kNearRelay, Milliseconds(800));
  REQUIRE(it.UsesRelay());
  it.direct_cut = false;
  it.Pass(kNearRelay, Milliseconds(2500));
  it.driver.relayed.clear();
  for (session::SessionId id = 10; id < 16; ++id) {
    it.driver.Open(id, "claims");
    it.driver.Query(id, Verb::kWrite, {}, "item data");
  }
  it.Pass(kNearRelay, Milliseconds(300));
  CHECK_FALSE(it.UsesRelay());
}

TEST_CASE("an instance without others tries no relay") {
  ProxyDriver driver;
  driver.Open(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.Pass(Milliseconds(1500));
  CHECK(driver.relayed.empty());
}

}  // namespace corianderdock::test
