/// Quotas of tenants at the session proxy.
#include <catch2/catch.hpp>

#include "corianderdock/session/client_keys.h"
#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

session::ProxyOptions WithQuota(bool enabled) {
  session::ProxyOptions options;
  if (enabled) options.quota.bound = {std::chrono::seconds(5), 0.1, 20};
  return options;
}

/// A proxy with a tenant of 10 operations a second, and its session 1.
struct QuotaDriver : ProxyDriver {
  explicit QuotaDriver(
      bool enabled = true,
      const session::InstanceList& instances = {{"self", {"zone", ""}}})
      : ProxyDriver(WithQuota(enabled)) {
    auto directory = std::make_shared<session::TenantDirectory>();
    const session::Tenant& tenant =
        directory->tenants["shop"] = {"shop", 0, 10, 5};
    directory->holders[session::DigestOf("key")] = &tenant;
    auto config = std::make_shared<session::RoutingConfig>();
    config->version = 2;
    config->transaction_idle_timeout = std::chrono::seconds(3);
    config->services["books"] = {16, 1};
    AddRoute(*config, "claims", Freshness::kPrimary);
    AddRoute(*config, "lookups", Freshness::kBoundedStaleness);
    config->tenants = directory;
    Feed(session::ConfigRead{config});
    Feed(session::InstancesRead{instances});
    RunServers(std::chrono::seconds(2));
    Feed(session::SessionOpened{1, "claims", session::DigestOf("key")});
    answers.clear();
  }

  /// Lets time pass while all servers answer.
  void RunServers(Duration duration) {
    const TimePoint until = now + duration;
    while (now < until) {
      AdvanceTime(Milliseconds(50));
      CompleteConnects();
      AnswerAll({});
    }
  }

  void Send(Verb verb) {
    Statement statement;
    statement.verb = verb;
    statement.text = "x";
    Feed(session::StatementReceived{1, "s" + std::to_string(++serial),
                                    statement});
    for (int n = 0; n < 5; ++n) {
      CompleteConnects();
      AnswerAll({});
    }
  }

  [[nodiscard]] std::uint64_t CountOf(const char* name) const {
    const auto it = proxy.counters().find(name);
    return it == proxy.counters().end() ? 0 : it->second;
  }

  int serial = 0;
};

}  // namespace

TEST_CASE("operations beyond the quota are refused before a server runs them") {
  QuotaDriver driver;
  while (driver.CountOf("refused_quota") == 0 && driver.serial < 200) {
    driver.Send(Verb::kRead);
  }
  // 2 s have filled the stocks: not more than the bound allows at once.
  CHECK(driver.serial > 5);
  CHECK(driver.serial < 32);
  const Reply& reply = driver.answers.back().reply;
  CHECK(reply.error == ErrorCode::kBusy);
  CHECK(reply.detail.starts_with("over quota; come back in "));
  const auto is_line = [](const session::LogDecision& it) {
    return it.text.find("tenant=shop reason=quota retry_after_ms=") !=
           std::string::npos;
  };
  CHECK(std::any_of(driver.log.begin(), driver.log.end(), is_line));
  CHECK(driver.proxy.DumpState().find("\"refused\":1") != std::string::npos);
  driver.RunServers(std::chrono::seconds(1));
  driver.Send(Verb::kRead);
  CHECK(driver.answers.back().reply.error == ErrorCode::kNone);
}

TEST_CASE("a transaction takes one token, and fails without one") {
  QuotaDriver driver;
  for (int n = 0; n < 3; ++n) {
    driver.Send(Verb::kBegin);
    for (int k = 0; k < 10; ++k) driver.Send(Verb::kRead);
    driver.Send(Verb::kCommit);
  }
  CHECK(driver.CountOf("refused_quota") == 0);
  while (driver.CountOf("refused_quota") == 0 && driver.serial < 400) {
    driver.Send(Verb::kBegin);
    driver.Send(Verb::kRead);
    driver.Send(Verb::kCommit);
  }
  REQUIRE(driver.CountOf("refused_quota") == 1);
  CHECK(driver.answers.back().reply.error == ErrorCode::kAborted);
}

TEST_CASE("without a bound in the settings no operation is refused") {
  QuotaDriver driver(false);
  for (int n = 0; n < 200; ++n) driver.Send(Verb::kRead);
  CHECK(driver.CountOf("refused_quota") == 0);
  CHECK(driver.proxy.DumpState().find("quota") == std::string::npos);
}

TEST_CASE("a statement waits for a broker at most 100 ms") {
  session::InstanceList instances;
  for (const char* it : {"self", "b1", "b2"}) instances[it] = {"zone", ""};
  // The first broker of the tenant is another instance, or this one without
  // tokens; the others never answer.
  QuotaDriver driver(true, instances);
  driver.Send(Verb::kRead);
  driver.AdvanceTime(Milliseconds(100));
  REQUIRE(driver.answers.size() == 1);
  CHECK(driver.answers.back().reply.error == ErrorCode::kBusy);
}

}  // namespace corianderdock::test
