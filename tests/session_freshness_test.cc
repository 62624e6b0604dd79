/// Freshness of reads by log position, and outcomes of failed attempts.
#include <catch2/catch.hpp>

#include "corianderdock/session/freshness.h"
#include "corianderdock/session/outcome.h"
#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

/// Lets the proxy learn a log position of the primary.
void SamplePosition(ProxyDriver& driver) {
  driver.OpenSession(99, "claims");
  driver.Query(99, Verb::kWrite, {}, "item data");
  driver.AnswerFirst();
  driver.AdvanceTime(Milliseconds(120));
}

}  // namespace

TEST_CASE("the oldest sample that covers a time is used") {
  session::FreshnessSamples samples;
  const TimePoint start{std::chrono::seconds(10)};
  for (int n = 0; n < 5; ++n) {
    samples.Add({1, static_cast<std::uint64_t>(n)},
                start + std::chrono::milliseconds(100 * n));
  }
  const auto after = start + std::chrono::milliseconds(150);
  CHECK(samples.PositionCovering(after) == Position{1, 2});
  CHECK(samples.PositionCovering(start + std::chrono::seconds(1)) ==
        std::nullopt);
  samples.DiscardBefore(start + std::chrono::milliseconds(350));
  CHECK(samples.PositionCovering(start) == Position{1, 4});
}

TEST_CASE("a bounded read requires a position and goes to a replica") {
  ProxyDriver driver;
  SamplePosition(driver);
  driver.OpenSession(1, "lookups");
  driver.Query(1, Verb::kRead, {}, "item");
  REQUIRE(driver.SentVerbs() == std::vector{Verb::kRead});
  CHECK(driver.sent.front().command.after == Position{1, 10});
  CHECK(driver.server_of[driver.sent.front().connection] != "a");
}

TEST_CASE("without a sample a bounded read runs at the proven primary") {
  ProxyDriver driver;
  driver.OpenSession(1, "lookups");
  driver.Query(1, Verb::kRead, {}, "item");
  CHECK(driver.SentVerbs() == std::vector{Verb::kBegin});
  CHECK(driver.server_of[driver.sent.front().connection] == "a");
}

TEST_CASE("a sample older than the staleness bound is not used") {
  ProxyDriver driver;
  SamplePosition(driver);
  driver.now += kMaxAge;
  driver.OpenSession(1, "lookups");
  driver.Query(1, Verb::kRead, {}, "item");
  CHECK(driver.SentVerbs().back() == Verb::kBegin);
}

TEST_CASE("a read that finds its replica behind is retried on another server") {
  ProxyDriver driver;
  SamplePosition(driver);
  driver.OpenSession(1, "lookups");
  driver.Query(1, Verb::kRead, {}, "item");
  const ServerId first = driver.server_of[driver.sent.front().connection];
  driver.AnswerFirst(ErrorCode::kBehind, {1, 3});
  const ServerId second = driver.server_of[driver.sent.front().connection];
  CHECK(second != first);
}

TEST_CASE("a session's reads include its own commits") {
  ProxyDriver driver;
  SamplePosition(driver);
  driver.OpenSession(1, "updates");
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.AnswerFirst(ErrorCode::kNone, {1, 20});
  driver.Query(1, Verb::kRead, {}, "item");
  REQUIRE(!driver.sent.empty());
  const auto& command = driver.sent.front().command;
  CHECK(command.after == Position{1, 20});
}

TEST_CASE("after a write in doubt a session reads at the primary") {
  ProxyDriver driver;
  SamplePosition(driver);
  driver.OpenSession(1, "updates");
  driver.Query(1, Verb::kWrite, {}, "item data");
  const ConnectionId connection = driver.sent.front().connection;
  driver.sent.clear();
  driver.Feed(session::ServerConnectionLost{connection});
  CHECK(driver.answers.back().reply.error == ErrorCode::kUnsure);
  driver.AdvanceTime(Milliseconds(30));
  driver.CompleteConnects();
  driver.sent.clear();
  driver.Query(1, Verb::kRead, {}, "item");
  driver.CompleteConnects();
  CHECK(driver.SentVerbs().back() == Verb::kBegin);
}

TEST_CASE(
    "a read of the latest data runs in a transaction that proves the primary") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kRead, {}, "item");
  CHECK(driver.SentVerbs() == std::vector{Verb::kBegin});
  driver.AnswerFirst();
  CHECK(driver.SentVerbs() == std::vector{Verb::kRead, Verb::kRollback});
  driver.AnswerFirst();
  CHECK(driver.answers.back().reply.state == TransactionState::kIdle);
}

TEST_CASE("an unanswered read is retried; an unanswered write is not") {
  ProxyDriver driver;
  SamplePosition(driver);
  driver.OpenSession(1, "lookups");
  driver.Query(1, Verb::kRead, {}, "item");
  const ConnectionId read = driver.sent.front().connection;
  driver.sent.clear();
  driver.Feed(session::ServerConnectionLost{read});
  REQUIRE(!driver.sent.empty());
  CHECK(driver.SentVerbs().front() == Verb::kRead);
  driver.sent.clear();
  const auto answered = driver.answers.size();
  driver.OpenSession(2, "claims");
  driver.Query(2, Verb::kWrite, {}, "item data");
  REQUIRE(!driver.sent.empty());
  const ConnectionId write = driver.sent.back().connection;
  driver.sent.clear();
  driver.Feed(session::ServerConnectionLost{write});
  CHECK(driver.answers.size() == answered + 2);
  CHECK(driver.answers.back().reply.error == ErrorCode::kUnsure);
}

TEST_CASE("no verdict retries a write that may have been executed") {
  using session::AttemptEnd;
  using session::AttemptKind;
  using session::DecideVerdict;
  using session::Verdict;
  for (const auto kind : {AttemptKind::kWrite, AttemptKind::kCommitWrites}) {
    CHECK(DecideVerdict(kind, AttemptEnd::kLost) == Verdict::kUnsure);
    CHECK(DecideVerdict(kind, AttemptEnd::kTimedOut) == Verdict::kTimeout);
    CHECK(DecideVerdict(kind, AttemptEnd::kFailed) == Verdict::kFailed);
  }
  CHECK(DecideVerdict(AttemptKind::kWrite, AttemptEnd::kNotRun) ==
        Verdict::kRetry);
  CHECK(DecideVerdict(AttemptKind::kCommitWrites, AttemptEnd::kNotRun) ==
        Verdict::kAbort);
  CHECK(DecideVerdict(AttemptKind::kLaterInTransaction, AttemptEnd::kLost) ==
        Verdict::kAbort);
  CHECK(session::AttemptEndOf(ErrorCode::kOther) == AttemptEnd::kLost);
}

}  // namespace corianderdock::test
