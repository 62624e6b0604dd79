/// Switchover of a primary that serves all reads alone because every replica
/// lags beyond the staleness bound.
#include <catch2/catch.hpp>
#include <set>

#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

/// More than the primary can run per tick.
constexpr int kArrivalsPerTick = 6;
constexpr Milliseconds kTick{25};

/// Load of bounded-staleness reads on "a", "b" and "c".
struct ReadLoad {
  explicit ReadLoad(std::set<ServerId> lagging_replicas)
      : lagging(std::move(lagging_replicas)) {}

  void AdvanceTime(Milliseconds duration) {
    for (Milliseconds passed{0}; passed < duration; passed += kTick) {
      driver.AdvanceTime(kTick);
      driver.CompleteConnects();
      for (int n = 0; n < kArrivalsPerTick; ++n) {
        driver.OpenSession(++last_session, "lookups");
        driver.Query(last_session, Verb::kRead, {}, "item");
      }
      AnswerUpToSlots();
    }
  }

  /// Answers two reads per server and tick, as many as it has slots. Reads on
  /// lagging replicas fail at once.
  void AnswerUpToSlots() {
    std::map<ServerId, int> free_slots = {{"a", 2}, {"b", 2}, {"c", 2}};
    std::vector<SendCommand> waiting;
    std::set<ConnectionId> blocked;
    for (const SendCommand& it : std::exchange(driver.sent, {})) {
      const ServerId server = driver.server_of[it.connection];
      const Verb verb = it.command.statement.verb;
      const bool runs = verb == Verb::kRead;
      const bool lags = lagging.contains(server);
      // A connection answers in order.
      if (blocked.contains(it.connection) ||
          (runs && !lags && free_slots[server]-- <= 0)) {
        blocked.insert(it.connection);
        waiting.push_back(it);
        continue;
      }
      const Position position{1, lags ? 1U : 10U + last_session};
      const Reply reply = runs && lags
                              ? driver.Run(it, position, ErrorCode::kBehind)
                              : driver.RunAt(it, server == "a", position);
      driver.Feed(session::ServerReplied{it.connection, reply});
    }
    driver.sent.insert(driver.sent.begin(), waiting.begin(), waiting.end());
  }

  std::set<ServerId> lagging;
  ProxyDriver driver;
  session::SessionId last_session = 0;
};

}  // namespace

TEST_CASE("an overloaded primary whose replicas all lag is switched over") {
  ReadLoad load({"b", "c"});
  load.AdvanceTime(Milliseconds(20'000));
  CHECK_FALSE(load.driver.claims.empty());
}

TEST_CASE("a primary is not switched over while a replica serves reads") {
  ReadLoad load({"b"});
  load.AdvanceTime(Milliseconds(20'000));
  CHECK(load.driver.claims.empty());
}

TEST_CASE(
    "a primary is not switched over within the first seconds of overload") {
  ReadLoad load({"b", "c"});
  load.AdvanceTime(Milliseconds(12'000));
  CHECK(load.driver.claims.empty());
}

}  // namespace corianderdock::test
