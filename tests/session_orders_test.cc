/// Commits and promotions while an order of another instance may still be
/// executed.
#include <algorithm>
#include <catch2/catch.hpp>

#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

/// A driver whose servers have answered, with a session that writes. The logs
/// of the replicas end at `index`.
ProxyDriver WritingDriver(std::optional<std::uint64_t> index = {}) {
  ProxyDriver driver;
  driver.status_index = index;
  driver.OpenSession(1, "claims");
  for (int n = 0; n < 8; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnects();
    driver.AnswerAll({});
  }
  driver.answers_status.clear();
  return driver;
}

/// Lets another instance record the order of `server`, which has not been
/// executed.
void RecordOrder(ProxyDriver& driver, const ServerId& server) {
  session::MemberRecord& record = driver.stored_members["books"];
  record.revision = ++driver.member_revision;
  record.ordered = server;
  record.order_token = 50;
  record.order_end = Position{1, 10};
}

/// Sends a write that the primary acknowledges at `index` after 5 ms.
void Write(ProxyDriver& driver, std::uint64_t index) {
  driver.Query(1, Verb::kWrite, {}, "item data");
  const auto last = std::find_if(
      driver.sent.rbegin(), driver.sent.rend(),
      [](const SendCommand& it) { return !it.command.id.empty(); });
  REQUIRE(last != driver.sent.rend());
  const SendCommand write = *last;
  driver.sent.erase(std::next(last).base());
  driver.AdvanceTime(Milliseconds(5));
  driver.Answer(write.connection, driver.Run(write, {1, index}));
}

/// Lets all servers answer for 300 ms; the log of "c" ends at `index`.
void Answer(ProxyDriver& driver, std::uint64_t index) {
  driver.log_ends = {{"a", 11}, {"b", 11}, {"c", index}};
  for (int n = 0; n < 12; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnects();
    driver.AnswerAs("a", {"a", "b", "c"});
  }
}

}  // namespace

// Guards against the loss of commits that the former primary acknowledges
// through a replica that receives again, before a late order for another server
// is executed.
TEST_CASE("a commit waits until the server under another's order has it") {
  ProxyDriver driver = WritingDriver(10);
  driver.keeps_order = true;
  driver.answers_member_reads = false;
  RecordOrder(driver, "c");
  driver.Feed(session::MembersRead{driver.stored_members, true});
  const std::size_t answered = driver.answers.size();
  Write(driver, 11);
  Answer(driver, 10);
  CHECK(driver.answers.size() == answered);
  Answer(driver, 11);
  REQUIRE(driver.answers.size() == answered + 1);
  CHECK(driver.answers.back().reply.error == ErrorCode::kNone);
}

TEST_CASE("a commit needs no more than before if its primary is under order") {
  for (const bool ordered : {false, true}) {
    CAPTURE(ordered);
    ProxyDriver driver = WritingDriver();
    driver.keeps_order = true;
    if (ordered) RecordOrder(driver, "a");
    driver.Feed(session::MembersRead{driver.stored_members, true});
    const std::size_t answered = driver.answers.size();
    Write(driver, 11);
    Answer(driver, 11);
    REQUIRE(driver.answers.size() == answered + 1);
    CHECK(driver.answers.back().reply.error == ErrorCode::kNone);
  }
}

// Guards against an order that nobody completes, while commits wait for it: its
// claimant was killed, and the former primary is back.
TEST_CASE("an order whose claimant stopped is completed") {
  ProxyDriver driver = WritingDriver();
  driver.keeps_order = true;
  RecordOrder(driver, "c");
  Write(driver, 11);
  driver.Feed(session::MembersRead{driver.stored_members, true, driver.now});
  Write(driver, 12);
  driver.log_ends = {{"a", 12}, {"b", 10}, {"c", 10}};
  driver.claims_answered = 60;
  for (int n = 0; n < 80 && driver.promotions.empty(); ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnects();
    // "a" leads until the claim, when it is demoted.
    const bool claimed = driver.claims_answered > 60;
    driver.AnswerAs(claimed ? "" : "a", {"a", "b", "c"});
  }
  REQUIRE_FALSE(driver.promotions.empty());
  CHECK(driver.promotions.front().server == "c");
  CHECK(driver.promotions.front().token > 50);
}

}  // namespace corianderdock::test
