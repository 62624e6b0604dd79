/// Keys that were revoked: statements run only under a recent configuration.
#include "corianderdock/session/config_freshness.h"

#include <catch2/catch.hpp>

#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

using session::ConfigConfirmed;
using session::ConfigFreshness;
using session::DateAnswer;

constexpr Duration kBound = std::chrono::seconds(5);

TimePoint At(int ms) { return TimePoint(Milliseconds(ms)); }

/// A proxy whose route "claims" needs a key and whose route "open" doesn't.
struct Gate {
  explicit Gate(bool public_route = false) : driver(Options()) {
    auto config = std::make_shared<session::RoutingConfig>();
    config->version = 2;
    config->transaction_idle_timeout = std::chrono::seconds(10);
    config->services["books"] = {16, 1};
    auto directory = std::make_shared<session::TenantDirectory>();
    const session::Tenant& tenant = directory->tenants["shop"] = {"shop"};
    directory->holders[session::KeyDigest{}] = &tenant;
    config->tenants = directory;
    ProxyDriver::AddRoute(*config, "claims", Freshness::kPrimary);
    if (public_route) {
      ProxyDriver::AddRoute(*config, "open", Freshness::kPrimary);
      auto route = std::make_shared<session::Route>(*config->routes["open"]);
      route->open_access = true;
      config->routes["open"] = route;
    }
    driver.Feed(session::ConfigRead{config});
    Confirm(2);
    driver.OpenSession(1, "claims");
    driver.answers.clear();
  }

  static session::ProxyOptions Options() {
    session::ProxyOptions options;
    options.revoke_bound = kBound;
    return options;
  }

  void Confirm(std::uint64_t version) {
    driver.Feed(ConfigConfirmed{version, driver.now});
  }

  /// Passes time in which the servers answer everything.
  void Run(Duration duration) {
    for (Duration done{0}; done < duration; done += Milliseconds(25)) {
      driver.AdvanceTime(Milliseconds(25));
      driver.CompleteConnects();
      driver.AnswerAll({});
    }
  }

  [[nodiscard]] std::uint64_t Refused() const {
    const auto it = driver.proxy.counters().find("refused_config_age");
    return it == driver.proxy.counters().end() ? 0 : it->second;
  }

  ProxyDriver driver;
};

}  // namespace

TEST_CASE("evidence is dated by the question, and never by an older version") {
  ConfigFreshness freshness;
  CHECK_FALSE(freshness.IsYounger(At(0), kBound));
  freshness.Confirm(4, DateAnswer(At(2000), Milliseconds(700)));
  CHECK(freshness.AgeAt(At(2500)) == Milliseconds(1200));
  freshness.Confirm(4, At(1000));
  CHECK(freshness.AgeAt(At(2500)) == Milliseconds(1200));
  freshness.Confirm(3, At(2400));
  CHECK(freshness.AgeAt(At(2500)) == Milliseconds(1200));
  freshness.NoteVersion(5);
  freshness.Confirm(4, At(2450));
  CHECK(freshness.AgeAt(At(2500)) == Milliseconds(1200));
  freshness.Confirm(5, At(2450));
  CHECK(freshness.AgeAt(At(2500)) == Milliseconds(50));
}

TEST_CASE("a statement with a key is refused without recent evidence") {
  Gate gate;
  gate.driver.Query(1, Verb::kRead, {}, "a");
  gate.Run(Milliseconds(200));
  REQUIRE(gate.driver.answers.size() == 1);
  CHECK(gate.driver.answers.back().reply.error == ErrorCode::kNone);
  gate.Run(Milliseconds(4650));
  CHECK_FALSE(gate.driver.proxy.Ready());
  gate.driver.Query(1, Verb::kRead, {}, "b");
  REQUIRE(gate.driver.answers.size() == 2);
  CHECK(gate.driver.answers.back().reply.error == ErrorCode::kBusy);
  CHECK(gate.driver.answers.back().reply.detail.find("come back in 1000 ms") !=
        std::string::npos);
  CHECK(gate.Refused() == 1);
  // An older version of a restored store is no evidence.
  gate.Confirm(1);
  CHECK_FALSE(gate.driver.proxy.Ready());
  gate.Confirm(2);
  CHECK(gate.driver.proxy.Ready());
  gate.driver.Query(1, Verb::kRead, {}, "c");
  gate.Run(Milliseconds(200));
  REQUIRE(gate.driver.answers.size() == 3);
  CHECK(gate.driver.answers.back().reply.error == ErrorCode::kNone);
}

TEST_CASE("a statement that waited until the evidence ended isn't sent") {
  Gate gate;
  gate.Run(Milliseconds(4700));
  gate.driver.Query(1, Verb::kBegin);
  gate.driver.Query(1, Verb::kWrite, {}, "a");
  REQUIRE(gate.Refused() == 0);
  gate.driver.AdvanceTime(Milliseconds(110));
  gate.driver.CompleteConnects();
  gate.Run(Milliseconds(100));
  REQUIRE(gate.driver.answers.size() == 2);
  CHECK(gate.driver.answers.back().reply.error == ErrorCode::kBusy);
  CHECK(gate.driver.answers.back().reply.state == TransactionState::kFailed);
  CHECK(gate.Refused() == 1);
  // The transaction at the server has ended, and the connection is used again.
  gate.Confirm(2);
  gate.driver.Query(1, Verb::kRollback);
  gate.driver.Query(1, Verb::kRead, {}, "b");
  gate.Run(Milliseconds(200));
  CHECK(gate.driver.answers.back().reply.error == ErrorCode::kNone);
}

TEST_CASE("routes without keys need no evidence") {
  Gate gate(true);
  gate.Run(Milliseconds(5000));
  CHECK(gate.driver.proxy.Ready());
  gate.driver.OpenSession(2, "open");
  gate.driver.answers.clear();
  gate.driver.Query(2, Verb::kRead, {}, "a");
  gate.Run(Milliseconds(200));
  REQUIRE(gate.driver.answers.size() == 1);
  CHECK(gate.driver.answers.back().reply.error == ErrorCode::kNone);
}

}  // namespace corianderdock::test
