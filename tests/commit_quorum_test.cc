/// What replies of servers show about the loss of a commit.
#include "corianderdock/session/commit_quorum.h"

#include <catch2/catch.hpp>

namespace corianderdock::test {

namespace {

using session::CommitBasis;
using session::CommitQuorum;

TimePoint At(int ms) {
  return TimePoint{std::chrono::seconds(100)} + Milliseconds(ms);
}

constexpr Position kBefore{1, 10};
constexpr Position kEnd{1, 11};
constexpr int kSent = 20'000;
constexpr int kSettle = 12'500;
constexpr int kReportAge = 500;

/// The commit at `kEnd`, sent at `kSent`.
CommitQuorum::Commit Commit() { return {kEnd, At(kSent)}; }

/// A reply that doesn't tell of fences, received when its command was sent.
CommitQuorum::Report OfPosition(int running_since, int sent, Position end) {
  return {At(running_since), At(sent), At(sent), end.term, end, std::nullopt};
}

CommitQuorum::Report Status(int running_since, int sent, Position end,
                            bool fenced = false) {
  CommitQuorum::Report report = OfPosition(running_since, sent, end);
  report.fenced = fenced;
  return report;
}

/// A reply that may be of any process.
CommitQuorum::Report OfAnyProcess(int sent, Position end) {
  CommitQuorum::Report report = OfPosition(sent, sent, end);
  report.running_since.reset();
  return report;
}

CommitQuorum::Servers BothCount() {
  CommitQuorum::Servers servers;
  servers.counted = {{"b", {}}, {"c", {}}};
  servers.promotable = {"b", "c"};
  servers.all_known = true;
  return servers;
}

struct Fixture {
  /// Lets a server be seen as its process runs since `since`, in term 1.
  void Start(const ServerId& id, int since) {
    quorum.Add(id, Status(since, since, kBefore));
  }
  [[nodiscard]] CommitBasis Find() const {
    return quorum.Find(Commit(), BothCount());
  }
  CommitQuorum quorum{CommitQuorum::Options{}};
};

}  // namespace

// Guards against an order that was given before the holder was seen to run.
TEST_CASE("the holder alone suffices once it has run for the settle time") {
  for (const int late : {0, 1}) {
    Fixture it;
    it.Start("b", kSent - kSettle + late);
    it.quorum.Add("b", OfPosition(kSent - kSettle + late, kSent + 5, kEnd));
    const bool settled = late == 0;
    CHECK((it.Find() == CommitBasis::kQuorum) == settled);
    CHECK((it.Find() == CommitBasis::kNone) == !settled);
  }
}

// Guards against the loss of commits that only servers which don't count have.
TEST_CASE("replicas that answer without the commit show nothing") {
  Fixture it;
  for (const ServerId id : {"b", "c"}) {
    it.Start(id, 0);
    it.quorum.Add(id, Status(0, kSent + 100, kBefore));
  }
  CHECK(it.Find() == CommitBasis::kNone);
  // The entry of another term at this index is not the commit.
  it.quorum.Add("b", Status(0, kSent + 200, {2, 11}));
  CHECK(it.Find() == CommitBasis::kNone);
  it.quorum.Add("d", Status(0, kSent + 200, kEnd));
  CHECK(it.Find() == CommitBasis::kNone);
}

// Guards against commits that wait although a second replica, which is behind,
// shows that no order is under way.
TEST_CASE("another replica shows that no order is under way") {
  // The holder's process is seen since 18 s, the report is from then on.
  for (const int late : {kReportAge, kReportAge - 1}) {
    Fixture it;
    it.Start("b", 18'000);
    it.quorum.Add("b", OfPosition(18'000, kSent + 5, kEnd));
    it.Start("c", 0);
    CHECK(it.Find() == CommitBasis::kNone);
    it.quorum.Add("c", Status(0, 18'000 + late, kBefore));
    CHECK((it.Find() == CommitBasis::kQuorum) == (late == kReportAge));
  }
}

// Guards against the loss of commits of a replica whose restart lifted the
// fence on which an order relies that is executed late.
TEST_CASE("a holder that restarted shows nothing by itself") {
  Fixture it;
  it.Start("b", 0);
  it.quorum.Add("b", Status(0, 19'000, kBefore));
  it.quorum.Add("b", Status(19'500, kSent + 5, kEnd));
  CHECK(it.Find() == CommitBasis::kNone);
  it.quorum.Add("b", Status(19'500, kSent + 10'000, kEnd));
  CHECK(it.Find() == CommitBasis::kNone);
  it.quorum.Add("b", Status(19'500, kSent + 5 + kSettle, kEnd));
  CHECK(it.Find() == CommitBasis::kQuorum);
}

// Guards against an order that relies on a fence report of the holder from
// before its restart, after which it received the commit.
TEST_CASE("a witness must be seen unfenced after the holder's restart") {
  Fixture it;
  it.Start("c", 0);
  it.Start("b", 0);
  it.quorum.Add("b", Status(21'000, 21'500, kEnd));
  it.quorum.Add("c", Status(0, 21'499, kBefore));
  CHECK(it.Find() == CommitBasis::kNone);
  it.quorum.Add("c", Status(0, 21'500, kBefore));
  CHECK(it.Find() == CommitBasis::kQuorum);
}

// Guards against an order under way whose fence of the witness is gone.
TEST_CASE("a witness that restarted, was fenced or changed its term") {
  Fixture it;
  it.Start("b", 18'000);
  it.quorum.Add("b", Status(18'000, kSent + 5, kEnd));
  it.Start("c", 0);
  SECTION("restarted") {
    it.quorum.Add("c", Status(15'000, kSent + 5, kBefore));
    CHECK(it.Find() == CommitBasis::kNone);
    it.quorum.Add("c", Status(15'000, 15'000 + kSettle, kBefore));
    CHECK(it.Find() == CommitBasis::kNone);  // known to run since 18 s only
    it.quorum.Add("c", Status(15'000, kSent + 5 + kSettle, kBefore));
    CHECK(it.Find() == CommitBasis::kQuorum);
  }
  SECTION("is fenced") {
    it.quorum.Add("c", Status(0, kSent + 5, kBefore, true));
    CHECK(it.Find() == CommitBasis::kNone);
  }
  SECTION("was fenced") {
    it.quorum.Add("c", Status(0, 15'000, kBefore, true));
    it.quorum.Add("c", Status(0, 15'000 + kSettle - 1, kBefore));
    CHECK(it.Find() == CommitBasis::kNone);
    it.quorum.Add("c", Status(0, 15'000 + kSettle, kBefore));
    CHECK(it.Find() == CommitBasis::kQuorum);
  }
  SECTION("is in a later term") {
    it.quorum.Add("c", Status(0, kSent + 5, {2, 5}));
    CHECK(it.Find() == CommitBasis::kNone);
  }
  SECTION("never told whether it is fenced") {
    it.quorum.Add("c", OfPosition(0, kSent + 5, kBefore));
    CHECK(it.Find() == CommitBasis::kNone);
  }
}

// Guards against an order of this term that is taken for one of the term
// before, as the server joined the term late.
TEST_CASE("a server that has just entered the term") {
  Fixture it;
  it.quorum.Add("b", Status(0, 5'000, {0, 9}));
  it.quorum.Add("b", Status(0, 15'000, kBefore));
  it.quorum.Add("b", Status(0, kSent + 5, kEnd));
  CommitQuorum::Servers servers = BothCount();
  CHECK(it.quorum.Find(Commit(), servers) == CommitBasis::kNone);
  // Orders of the term before are excluded. It ran when the term began.
  servers.term_began_after = At(14'000);
  CHECK(it.quorum.Find(Commit(), servers) == CommitBasis::kQuorum);
  servers.term_began_after = At(0);
  CHECK(it.quorum.Find(Commit(), servers) == CommitBasis::kQuorum);
  servers.term_began_after = At(-1);
  CHECK(it.quorum.Find(Commit(), servers) == CommitBasis::kNone);
}

// Guards against an order of this term: a fence seen in it isn't lifted by the
// promotion before.
TEST_CASE("a fence of this term counts although the term before has ended") {
  Fixture it;
  it.quorum.Add("b", Status(0, 15'000, kBefore));
  it.quorum.Add("b", Status(0, 16'000, kBefore, true));
  it.quorum.Add("b", Status(0, kSent + 5, kEnd));
  CommitQuorum::Servers servers = BothCount();
  servers.term_began_after = At(14'000);
  CHECK(it.quorum.Find(Commit(), servers) == CommitBasis::kNone);
}

// Guards against a restart between two connections that no reply shows.
TEST_CASE("connections that were open at the same time are to one process") {
  Fixture it;
  it.Start("b", 0);
  it.quorum.Add("b", Status(0, 5'000, kBefore));
  SECTION("overlapping") {
    it.quorum.Add("b", Status(5'000, kSent + 5, kEnd));
    CHECK(it.quorum.RunningSince("b") == At(0));
    CHECK(it.Find() == CommitBasis::kQuorum);
  }
  SECTION("one after the other") {
    it.quorum.Add("b", Status(10'000, kSent + 5, kEnd));
    CHECK(it.quorum.RunningSince("b") == At(10'000));
    CHECK(it.Find() == CommitBasis::kNone);
    // A reply of a connection that was open at both times, added late.
    it.quorum.Add("b", Status(4'000, 11'000, kBefore));
    CHECK(it.quorum.RunningSince("b") == At(0));
    CHECK(it.Find() == CommitBasis::kQuorum);
  }
}

// Guards against a late reply of the process before, taken for one of this.
TEST_CASE("a late reply of an earlier process shows nothing of this one") {
  Fixture it;
  it.Start("b", 0);
  it.quorum.Add("b", Status(19'000, 19'100, kBefore));
  it.quorum.Add("b", Status(0, 18'000, kEnd));
  CHECK(it.quorum.RunningSince("b") == At(19'000));
  CHECK_FALSE(it.quorum.Holds("b", kEnd));
  CHECK(it.Find() == CommitBasis::kNone);
}

// Guards against evidence that is lost, as replies are added in another order.
TEST_CASE("replies of one process may be added late") {
  Fixture it;
  it.quorum.Add("b", Status(4'000, kSent + 5, kEnd));
  it.quorum.Add("b", Status(4'000, 4'001, kBefore));
  it.Start("b", 0);
  CHECK(it.quorum.RunningSince("b") == At(4'000));
  CHECK(it.quorum.Holds("b", kEnd));
  CHECK(it.Find() == CommitBasis::kQuorum);
}

// Guards against the reply of a process that started meanwhile.
TEST_CASE("a reply of an unknown process shows only what its log has") {
  Fixture it;
  it.Start("b", 0);
  it.quorum.Add("b", OfAnyProcess(kSent + 5, kEnd));
  CHECK(it.quorum.Holds("b", kEnd));
  CHECK(it.quorum.RunningSince("b") == At(0));
  CHECK(it.Find() == CommitBasis::kNone);
  it.quorum.Add("c", OfAnyProcess(kSent + 5, kBefore));
  CHECK_FALSE(it.quorum.RunningSince("c"));
  CHECK(it.Find() == CommitBasis::kNone);
}

// Guards against the promotion of a server that lacks the commit.
TEST_CASE("a commit that every promotable server has can't be lost") {
  Fixture it;
  it.quorum.Add("b", OfAnyProcess(kSent + 5, kEnd));
  CHECK(it.Find() == CommitBasis::kNone);
  it.quorum.Add("c", OfAnyProcess(kSent + 5, {2, 11}));
  CHECK(it.Find() == CommitBasis::kNone);
  Fixture all;
  for (const ServerId id : {"b", "c"}) {
    all.quorum.Add(id, OfAnyProcess(kSent + 5, kEnd));
  }
  CHECK(all.Find() == CommitBasis::kUnanimity);
  CommitQuorum::Servers servers = BothCount();
  servers.promotable.insert("d");
  CHECK(all.quorum.Find(Commit(), servers) == CommitBasis::kNone);
}

// Guards against the promotion of a server that this instance doesn't know of.
TEST_CASE("without all servers known there is no unanimity") {
  Fixture it;
  for (const ServerId id : {"b", "c"}) {
    it.quorum.Add(id, OfAnyProcess(kSent + 5, kEnd));
  }
  CommitQuorum::Servers servers = BothCount();
  servers.all_known = false;
  CHECK(it.quorum.Find(Commit(), servers) == CommitBasis::kNone);
}

// Guards against the loss of commits of a replica that started again without
// its log.
TEST_CASE("a log that a restart emptied has no commit") {
  Fixture it;
  it.quorum.Add("c", OfAnyProcess(kSent + 5, kEnd));
  it.Start("b", 0);
  it.quorum.Add("b", Status(0, kSent + 5, kEnd));
  REQUIRE(it.Find() == CommitBasis::kQuorum);
  it.quorum.Add("b", Status(21'000, 21'010, {1, 5}));
  CHECK_FALSE(it.quorum.Holds("b", kEnd));
  CHECK(it.Find() == CommitBasis::kNone);
  // Replies that are from before, or may be.
  it.quorum.Add("b", Status(0, kSent + 900, kEnd));
  CHECK_FALSE(it.quorum.Holds("b", kEnd));
  it.quorum.Add("b", OfAnyProcess(kSent + 950, kEnd));
  CHECK_FALSE(it.quorum.Holds("b", kEnd));
  CHECK(it.Find() == CommitBasis::kNone);
  it.quorum.Add("b", OfAnyProcess(21'020, kEnd));
  CHECK(it.Find() == CommitBasis::kUnanimity);
}

// Guards against commits that wait for a status that nobody asks for.
TEST_CASE("a status is needed until term and fence of a process are known") {
  CommitQuorum quorum{CommitQuorum::Options{}};
  CHECK(quorum.NeedsStatus("b", 1));
  quorum.Add("b", OfPosition(0, 10, kBefore));
  CHECK(quorum.NeedsStatus("b", 1));
  quorum.Add("b", Status(0, 20, kBefore));
  CHECK_FALSE(quorum.NeedsStatus("b", 1));
  CHECK(quorum.NeedsStatus("b", 2));
  quorum.Add("b", OfPosition(1'000, 1'010, kBefore));
  CHECK(quorum.NeedsStatus("b", 1));
}

}  // namespace corianderdock::test
