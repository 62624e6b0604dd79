/// Log lines about decisions: their severity and what they name.
#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <iterator>
#include <set>
#include <string>
#include <vector>

#include "corianderdock/session/safety.h"
#include "support/proxy_driver.h"
#include "support/session_world.h"

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

/// Lets the primary acknowledge a write with the log position `reported`, after
/// it had answered with `before`.
void Acknowledge(ProxyDriver& driver, Position before, Position reported) {
  driver.OpenSession(2, "claims");
  for (const Position position : {before, reported}) {
    const std::size_t answered = driver.answers.size();
    driver.Query(2, Verb::kWrite, {}, "item data");
    driver.AnswerFirst(ErrorCode::kNone, position);
    for (int n = 0; n < 16; ++n) {  // servers are asked at 300 ms
      driver.AdvanceTime(Milliseconds(25));
      driver.CompleteConnects();
      driver.AnswerAll({});
    }
    REQUIRE(driver.answers.size() > answered);
    REQUIRE(driver.answers.back().reply.error == ErrorCode::kNone);
  }
}

/// Lets the primary "a" fall silent and "b" of the `replicas` be promoted.
void FailOver(ProxyDriver& driver,
              const std::set<ServerId>& replicas = {"b", "c"}) {
  // No log ends before what a reply has shown of it.
  const std::uint64_t shown = driver.statuses > 0 ? driver.complete_log : 5;
  driver.log_ends = {{"a", 10}, {"b", 10}, {"c", shown}, {"d", shown}};
  driver.keeps_order = true;
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.LoseAllConnections();
  for (int n = 0; n < 80 && driver.promotions.empty(); ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnectsTo(replicas);
    driver.AnswerAs("", replicas);
  }
  REQUIRE(driver.promotions.size() == 1);
  driver.Feed(session::PromotionAnswered{"books", "b",
                                         session::PromotionResult::kAccepted});
  for (int n = 0; n < 20; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnectsTo(replicas);
    driver.AnswerAs("b", replicas);
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

// Guards against an order whose line doesn't tell which reports it relied on.
TEST_CASE("the line of an order names all that decided it") {
  ProxyDriver driver;
  Acknowledge(driver, {1, 9}, {1, 10});
  FailOver(driver);
  const auto orders = LinesOf(driver, "promotion ordered");
  REQUIRE(orders.size() == 1);
  const std::string& line = orders.front().text;
  for (const char* field :
       {" service=books ", " id=b ", " token=1 ", " fallback=0 ",
        " fence_term=2 ", " primary=a ", " last_primary=a ",
        " last_primary_end=1.10 ", " required=- ", " acknowledged=1.10 ",
        " recorded_order=b ", " recorded_token=1 ",
        " fences=b:1.10:", ",c:1.10:", " left_out=-"}) {
    INFO(line << " lacks" << field);
    CHECK(line.find(field) != std::string::npos);
  }
}

// Guards against a fence report that waited in a socket buffer and looks new.
TEST_CASE("the line of an order has the age of each fence query and report") {
  ProxyDriver driver;
  driver.keeps_order = true;
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.LoseAllConnections();
  // Answers to fences arrive after 200 ms.
  for (int n = 0; n < 200 && driver.promotions.empty(); ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnectsTo({"b", "c"});
    const bool fences = std::any_of(
        driver.sent.begin(), driver.sent.end(), [](const SendCommand& it) {
          return it.command.statement.verb == Verb::kHold;
        });
    if (fences) driver.AdvanceTime(Milliseconds(200));
    driver.AnswerAs("", {"b", "c"});
  }
  const auto orders = LinesOf(driver, "promotion ordered");
  REQUIRE_FALSE(orders.empty());
  const std::string& line = orders.front().text;
  INFO(line);
  const std::string field = " fences=b:1.0:";
  const auto begin = line.find(field);
  REQUIRE(begin != std::string::npos);
  const int age_ms = std::stoi(line.substr(begin + field.size()));
  CHECK(age_ms >= 200);
  CHECK(age_ms < 225);
  CHECK(line.find(std::to_string(age_ms) + ":0,c:1.0:") != std::string::npos);
}

TEST_CASE("the line of an order names the servers that it leaves out") {
  ProxyDriver driver;
  driver.addresses["d"] = "c";
  driver.ListServers({"a", "b", "d"});
  FailOver(driver, {"b", "d"});
  const auto orders = LinesOf(driver, "promotion ordered");
  REQUIRE(orders.size() == 1);
  INFO(orders.front().text);
  CHECK(orders.front().text.find(" left_out=c:superseded:") !=
        std::string::npos);
}

namespace {

/// Lets a server that leads in term 2 answer with `position`.
void AnswerInTerm2(ProxyDriver& driver, Position position) {
  driver.Query(2, Verb::kWrite, {}, "item data");
  driver.AnswerFirst(ErrorCode::kNone, position);
}

constexpr char kMissing[] = "acknowledged commit missing";

}  // namespace

// Guards against a promotion that loses an acknowledged commit unnoticed.
TEST_CASE("a commit in whose place a later term has another one is missing") {
  ProxyDriver driver;
  Acknowledge(driver, {1, 11}, {1, 12});
  AnswerInTerm2(driver, {2, 12});
  CHECK(SeverityOf(driver, kMissing) == Severity::kError);
  const std::string line = LinesOf(driver, kMissing).front().text;
  INFO(line);
  CHECK(line.find("earliest=1.12 latest=1.12 term=2 position=2.12") !=
        std::string::npos);
  CHECK(line.find(" basis=unanimity holders=b:") != std::string::npos);
  CHECK(line.find(",c:") != std::string::npos);
  CHECK(driver.proxy.counters().at("acknowledged_commits_missing") == 1);
}

// Guards against a log that a restart emptied and that no line tells of.
TEST_CASE("a log that ends earlier than before in its term is reported") {
  ProxyDriver driver;
  driver.log_ends = {{"a", 10}, {"b", 10}, {"c", 5}};
  driver.keeps_order = true;
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.LoseAllConnections();
  const auto let_replicas_answer = [&driver] {
    for (int n = 0; n < 40; ++n) {
      driver.AdvanceTime(Milliseconds(25));
      driver.CompleteConnectsTo({"b", "c"});
      driver.AnswerAs("", {"b", "c"});
    }
  };
  let_replicas_answer();
  CHECK(LinesOf(driver, "server log went back").empty());
  driver.log_ends["b"] = 0;
  let_replicas_answer();
  const auto lines = LinesOf(driver, "server log went back");
  REQUIRE_FALSE(lines.empty());
  INFO(lines.front().text);
  CHECK(lines.front().severity == Severity::kWarning);
  CHECK(lines.front().text.find(" id=b from=1.10 to=1.0 ") !=
        std::string::npos);
}

TEST_CASE("a commit that a later term may have kept is not reported missing") {
  ProxyDriver driver;
  Acknowledge(driver, {1, 11}, {1, 12});
  AnswerInTerm2(driver, {2, 13});
  CHECK(LinesOf(driver, kMissing).empty());
}

TEST_CASE("a commit is missing only if it can't be earlier in the log") {
  using session::AcknowledgedCommits;
  AcknowledgedCommits commits;
  commits.Add("w1", {1, 20}, Position{1, 10});
  CHECK(commits.position() == Position{1, 20});
  CHECK_FALSE(commits.TakeMissing({1, 5}));   // another server of its term
  CHECK_FALSE(commits.TakeMissing({2, 12}));  // the commit may be 1.11
  CHECK_FALSE(commits.TakeMissing(2, {1, 11}));
  CHECK(commits.TakeMissing(2, {1, 10}));
  CHECK_FALSE(commits.TakeMissing(2, {1, 10}));  // reported once
  commits.Add("w2", {2, 20}, std::nullopt);
  commits.Add("w3", {3, 21}, Position{2, 20});
  CHECK_FALSE(
      commits.position());  // their first possible positions are unknown
  commits.Add("w4", {3, 23}, Position{3, 22});
  commits.Add("w5", {3, 22}, Position{3, 21});
  const auto missing = commits.TakeMissing({4, 23});
  REQUIRE(missing);
  CHECK(missing->id == "w4");
}

namespace {

struct OneFencedReplicaSuffices : session::Safety {
  [[nodiscard]] bool FencedReplicasSuffice(
      std::size_t fenced, std::size_t /*replicas*/) const override {
    return fenced >= 1;
  }
  [[nodiscard]] bool RequireReplicaProof() const override { return false; }
};

}  // namespace

// The simulation checks that no report is false.
TEST_CASE("commits that a promotion loses are reported, and only those") {
  const OneFencedReplicaSuffices unsafe;
  int reported = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    WorldOptions options;
    options.seed = seed;
    // Commits that not all servers have are answered after the settle time.
    options.duration = std::chrono::seconds(30);
    CHECK(RunSessionSchedule(options).losses_reported == 0);
    options.proxy.safety = &unsafe;
    const WorldResult result = RunSessionSchedule(options);
    reported += result.losses_reported;
    for (const auto& it : result.violations) {
      INFO(it);
      CHECK_FALSE(it.starts_with("FALSE REPORT"));
    }
  }
  std::cout << "losses reported " << reported << "\n";
  CHECK(reported > 0);
}

// Guards against the uptime of the machine as the duration of a wait.
TEST_CASE("a wait that had no beginning has no duration") {
  ProxyDriver driver;
  FailOver(driver);
  const auto waits = LinesOf(driver, "promotion waits");
  REQUIRE(waits.size() > 2);
  for (const auto& it : waits) {
    INFO(it.text);
    const bool began = it.text.find(" before=none") == std::string::npos;
    const bool timed = it.text.find(" waited_ms=") != std::string::npos;
    CHECK(began == timed);
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
