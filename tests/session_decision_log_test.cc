/// Log lines about decisions: their severity and what they name.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

using session::LogDecision;
using session::Severity;

/// Returns the lines that start with `event`.
std::vector<LogDecision> LinesOf(const ProxyDriver& driver,
                                 const std::string& event) {
  std::vector<LogDecision> lines;
  std::copy_if(
      driver.log.begin(), driver.log.end(), std::back_inserter(lines),
      [&](const LogDecision& it) { return it.text.starts_with(event); });
  return lines;
}

/// The severity of the lines that start with `event`, of which there is one.
Severity SeverityOf(const ProxyDriver& driver, const std::string& event) {
  INFO(event);
  const auto lines = LinesOf(driver, event);
  REQUIRE_FALSE(lines.empty());
  return lines.front().severity;
}

/// Lets the primary "a" fall silent and "b" or "c" be promoted.
void FailOver(ProxyDriver& driver) {
  driver.log_ends = {{"a", 10}, {"b", 10}, {"c", 5}};
  driver.keeps_order = true;
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.LoseAllConnections();
  for (int n = 0; n < 80 && driver.promotions.empty(); ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnectsTo({"b", "c"});
    driver.AnswerAs("", {"b", "c"});
  }
  REQUIRE(driver.promotions.size() == 1);
  driver.Feed(session::PromotionAnswered{"books", "b",
                                         session::PromotionResult::kAccepted});
  for (int n = 0; n < 20; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnectsTo({"b", "c"});
    driver.AnswerAs("b", {"b", "c"});
  }
}

}  // namespace

// Guards against a failover that a filter for warnings leaves no trace of.
TEST_CASE("each step of a failover is a warning") {
  ProxyDriver driver;
  driver.Feed(session::TokenObtained{1});
  FailOver(driver);
  driver.ListServers({"b", "c"});
  for (const char* event :
       {"fallback token obtained", "server fails", "promotion waits",
        "promotion claim requested", "promotion claim answered",
        "replica fenced", "promotion order recorded", "promotion ordered",
        "promotion answered", "primary found", "server unlisted"}) {
    CHECK(SeverityOf(driver, event) == Severity::kWarning);
  }
}

TEST_CASE("lines about single statements are no warnings") {
  ProxyDriver driver;
  FailOver(driver);
  CHECK(SeverityOf(driver, "attempt failed") == Severity::kInfo);
  CHECK(SeverityOf(driver, "config installed") == Severity::kInfo);
}

TEST_CASE("warnings are bounded, and the lines beyond the bound are kept") {
  session::ProxyOptions options;
  options.warnings_per_second = 10;
  ProxyDriver driver(options);
  driver.AdvanceTime(std::chrono::seconds(1));
  std::vector<std::string> listed = {"a", "b", "c"};
  for (int n = 0; n < 30; ++n) listed.push_back("x" + std::to_string(n));
  driver.log.clear();
  driver.ListServers(listed);
  driver.ListServers({"a", "b", "c"});
  CHECK(LinesOf(driver, "server unlisted").size() == 30);
  const auto warnings = std::count_if(
      driver.log.begin(), driver.log.end(),
      [](const LogDecision& it) { return it.severity == Severity::kWarning; });
  CHECK(warnings == 10);
  CHECK(driver.proxy.counters().at("warnings_demoted") > 0);
}

}  // namespace corianderdock::test
