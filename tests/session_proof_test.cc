/// Proof by replicas that a primary was not replaced: positions in passing,
/// status reports, fences, and commits that an unlisted server acknowledged.
#include <algorithm>
#include <catch2/catch.hpp>

#include "corianderdock/session/commit_quorum.h"
#include "corianderdock/session/leadership_proof.h"
#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

using session::LeadershipProof;
using session::ServerStatus;

constexpr TimePoint kStart{std::chrono::seconds(10)};

TimePoint At(int ms) { return kStart + Milliseconds(ms); }

ServerStatus Unfenced(Term term, std::uint64_t index) {
  return {false, term, {term, index}, 0};
}

ServerStatus Fenced(Term term, std::uint64_t index) {
  return {false, term, {term, index}, term + 1};
}

}  // namespace

TEST_CASE("an unfenced replica of the term proves the primary") {
  LeadershipProof proof;
  CHECK_FALSE(proof.ProvenSince(At(0)));
  proof.Add("b", At(10), At(12), Unfenced(3, 5), 3);
  CHECK(proof.ProvenSince(At(10)));
  CHECK_FALSE(proof.ProvenSince(At(11)));
}

TEST_CASE("a fenced replica, a newer term and an unknown term prove nothing") {
  LeadershipProof proof;
  proof.Add("b", At(10), At(12), Fenced(3, 5), 3);
  CHECK_FALSE(proof.ProvenSince(At(0)));
  CHECK(proof.FenceReported(At(20)));
  CHECK_FALSE(proof.FenceReported(At(600)));
  proof.Add("b", At(20), At(22), Unfenced(4, 5), 3);
  CHECK_FALSE(proof.ProvenSince(At(0)));
  proof.Add("c", At(20), At(22), Unfenced(3, 5), 0);
  CHECK_FALSE(proof.ProvenSince(At(0)));
}

TEST_CASE("an entry created after an answer of the primary proves it") {
  LeadershipProof proof;
  proof.AddLeaderPosition(At(0), {3, 5});
  proof.AddLeaderPosition(At(50), {3, 8});
  proof.AddReplicaPosition("b", {3, 5}, 3);
  CHECK_FALSE(proof.ProvenSince(At(0)));
  proof.AddReplicaPosition("b", {3, 7}, 3);
  CHECK(proof.ProvenSince(At(0)));
  CHECK_FALSE(proof.ProvenSince(At(1)));
  proof.AddReplicaPosition("b", {3, 9}, 3);
  CHECK(proof.ProvenSince(At(50)));
}

TEST_CASE("entries of another term prove nothing about the primary") {
  LeadershipProof proof;
  proof.AddLeaderPosition(At(0), {3, 5});
  proof.AddReplicaPosition("b", {4, 6}, 3);
  CHECK_FALSE(proof.ProvenSince(At(0)));
}

TEST_CASE("an idle primary is proven by the entry that follows") {
  LeadershipProof proof;
  proof.AddLeaderPosition(At(0), {3, 5});
  proof.AddLeaderPosition(At(90), {3, 5});
  proof.AddReplicaPosition("b", {3, 6}, 3);
  CHECK(proof.ProvenSince(At(90)));
}

TEST_CASE("a commit is received when a replica has it and none is fenced") {
  LeadershipProof proof;
  CHECK_FALSE(proof.HasReceived({3, 5}, At(0)));
  proof.Add("b", At(0), At(1), Unfenced(3, 4), 3);
  CHECK_FALSE(proof.HasReceived({3, 5}, At(2)));
  proof.AddReplicaPosition("b", {3, 5}, 3);
  CHECK(proof.HasReceived({3, 5}, At(2)));
  proof.Add("c", At(2), At(3), Fenced(3, 4), 3);
  CHECK_FALSE(proof.HasReceived({3, 5}, At(4)));
  proof.Add("c", At(5), At(6), Fenced(3, 5), 3);
  CHECK(proof.HasReceived({3, 5}, At(7)));
  // The entry of another term at this index is not the commit.
  proof.Reset();
  proof.Add("b", At(8), At(9), Unfenced(4, 9), 4);
  CHECK_FALSE(proof.HasReceived({3, 5}, At(9)));
}

namespace {

session::ProxyOptions PrimaryContinues() {
  session::ProxyOptions options;
  options.replaced_primary_stops = false;
  return options;
}

/// Passes 100 ms while the servers but those in `silent` answer.
void PassTime(ProxyDriver& driver, const std::set<ServerId>& silent) {
  for (int n = 0; n < 4; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.AnswerAll(silent);
  }
}

/// Passes the time after which the replicas' processes show that no order is
/// under way. Their logs end at 1.10.
void Settle(ProxyDriver& driver) {
  driver.status_index = 10;
  for (int n = 0; n < 140; ++n) {
    driver.ListServers({"a", "b", "c"});
    PassTime(driver, {});
  }
}

bool SentToServer(const ProxyDriver& driver) {
  return std::any_of(
      driver.sent.begin(), driver.sent.end(),
      [](const SendCommand& it) { return !it.command.id.empty(); });
}

}  // namespace

TEST_CASE("a statement for the primary is sent once a replica proves it") {
  ProxyDriver driver(PrimaryContinues());
  driver.answers_status = {"a"};
  driver.OpenSession(1, "claims");
  const std::size_t answered = driver.answers.size();
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.AnswerAll({"b", "c"});
  CHECK_FALSE(SentToServer(driver));
  PassTime(driver, {"c"});
  REQUIRE(driver.answers.size() == answered + 1);
  CHECK(driver.answers.back().reply.error == ErrorCode::kNone);
}

TEST_CASE("a statement for a primary that nothing proves is refused") {
  ProxyDriver driver(PrimaryContinues());
  driver.answers_status = {"a"};
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kRead, {}, "item");
  for (int n = 0; n < 8; ++n) PassTime(driver, {"b", "c"});
  CHECK(driver.answers.back().reply.error == ErrorCode::kBusy);
}

TEST_CASE("refused connections don't end the queries for proof") {
  ProxyDriver driver(PrimaryContinues());
  driver.OpenSession(1, "claims");
  driver.LoseAllConnections();
  for (int n = 0; n < 40; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    for (const auto& [id, server] : std::exchange(driver.opening, {})) {
      driver.Feed(session::ServerConnected{id, ErrorCode::kTooMany, {}});
    }
  }
  const std::size_t answered = driver.answers.size();
  for (int n = 0; n < 8; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnects();
    driver.AnswerAll({});
  }
  driver.Query(1, Verb::kWrite, {}, "item data");
  PassTime(driver, {});
  REQUIRE(driver.answers.size() == answered + 1);
  CHECK(driver.answers.back().reply.error == ErrorCode::kNone);
}

TEST_CASE("a primary without replicas needs no proof") {
  ProxyDriver driver(PrimaryContinues());
  driver.ListServers({"a"});
  for (int n = 0; n < 70; ++n) PassTime(driver, {"b", "c"});
  driver.sent.clear();
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.CompleteConnects();
  CHECK(SentToServer(driver));
}

TEST_CASE("fences that were released while a service was idle are no loss") {
  ProxyDriver driver(PrimaryContinues());
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  PassTime(driver, {});
  for (int n = 0; n < 8; ++n) PassTime(driver, {"b", "c"});
  driver.Query(1, Verb::kWrite, {}, "item data");
  const ConnectionId connection = driver.TakeReplicaQuery();
  REQUIRE(connection != 0);
  Reply fenced;
  fenced.status = Fenced(1, 10);
  driver.Feed(session::ServerReplied{connection, fenced});
  driver.answers_status = {"a", "b", "c"};
  for (int n = 0; n < 60; ++n) PassTime(driver, {});
  driver.Query(1, Verb::kWrite, {}, "item data");
  PassTime(driver, {});
  CHECK(driver.claims.empty());
}

TEST_CASE("a proof is valid for a bounded time") {
  ProxyDriver driver(PrimaryContinues());
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  PassTime(driver, {});
  driver.Query(1, Verb::kWrite, {}, "item data");
  CHECK(SentToServer(driver));
  for (int n = 0; n < 8; ++n) PassTime(driver, {"b", "c"});
  driver.Query(1, Verb::kWrite, {}, "item data");
  CHECK_FALSE(SentToServer(driver));
}

TEST_CASE("while a server is replaced a commit waits until a replica has it") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  Settle(driver);
  driver.answers_status = {"a"};
  driver.ListServers({"a", "b", "c"}, "zone", "a");
  const std::size_t answered = driver.answers.size();
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.AnswerFirst(ErrorCode::kNone, {1, 11});
  CHECK(driver.answers.size() == answered);
  driver.status_index = 11;
  PassTime(driver, {"b"});
  REQUIRE(driver.answers.size() == answered + 1);
  CHECK(driver.answers.back().reply.error == ErrorCode::kNone);
}

namespace {

/// Takes the client's statement that was sent last and is not answered.
SendCommand TakeStatement(ProxyDriver& driver) {
  const auto last = std::find_if(
      driver.sent.rbegin(), driver.sent.rend(),
      [](const SendCommand& it) { return !it.command.id.empty(); });
  REQUIRE(last != driver.sent.rend());
  SendCommand statement = *last;
  driver.sent.erase(std::next(last).base());
  return statement;
}

/// Sends a write of a session and takes it.
SendCommand SendWrite(ProxyDriver& driver, session::SessionId session) {
  driver.Query(session, Verb::kWrite, {}, "item data");
  return TakeStatement(driver);
}

/// Lets the primary acknowledge a write at `index`. Returns whether its client
/// has an answer then.
bool AnswersWrite(ProxyDriver& driver, const SendCommand& write,
                  std::uint64_t index) {
  const std::size_t answered = driver.answers.size();
  driver.Answer(write.connection, driver.Run(write, {1, index}));
  return driver.answers.size() > answered;
}

/// The same for a write that is sent now and acknowledged after `latency`.
bool AnswersWrite(ProxyDriver& driver, Duration latency, std::uint64_t index,
                  session::SessionId session = 1) {
  const SendCommand write = SendWrite(driver, session);
  driver.AdvanceTime(latency);
  return AnswersWrite(driver, write, index);
}

/// A driver whose replicas have run for long, with sessions that write. Status
/// queries have no reply.
ProxyDriver WritingDriver() {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.OpenSession(2, "claims");
  Settle(driver);
  driver.answers_status.clear();
  return driver;
}

}  // namespace

// Guards against the loss of commits that only a server which no list shows yet
// has received, in a zone that is cut off.
TEST_CASE("a commit is not answered while no known replica shows it") {
  ProxyDriver driver = WritingDriver();
  driver.answers_contacts.clear();
  CHECK_FALSE(AnswersWrite(driver, Milliseconds(5), 11));
  const std::size_t answered = driver.answers.size();
  // Nor by the answers of replicas that lack it.
  driver.answers_contacts = {"b", "c"};
  driver.answers_status = {"b", "c"};
  driver.AdvanceTime(Milliseconds(25));
  CHECK(driver.answers.size() == answered);
  driver.contact_index = 11;
  driver.status_index = 11;
  driver.AdvanceTime(Milliseconds(25));
  REQUIRE(driver.answers.size() == answered + 1);
  CHECK(driver.answers.back().reply.error == ErrorCode::kNone);
}

// Guards against the loss of commits that waited at the primary, cut off from
// its replicas, until a server that no list shows yet received them.
TEST_CASE("a commit that stalled waits until a known replica has it") {
  ProxyDriver driver = WritingDriver();
  CHECK_FALSE(AnswersWrite(driver, Milliseconds(150), 11));
  // Nor is a commit answered that follows it without a delay.
  CHECK_FALSE(AnswersWrite(driver, Milliseconds(5), 12, 2));
  const std::size_t answered = driver.answers.size();
  const ConnectionId query = driver.TakeReplicaQuery();
  REQUIRE(query != 0);
  Reply received;
  received.status = Unfenced(1, 12);
  driver.Feed(session::ServerReplied{query, received});
  REQUIRE(driver.answers.size() == answered + 2);
  CHECK(driver.answers.back().reply.error == ErrorCode::kNone);
}

// Guards against stale reads on a former primary that accepts work again, as a
// cut ends, while its successor is silent.
TEST_CASE("a former primary isn't the primary by an outdated log position") {
  ProxyDriver driver(PrimaryContinues());
  driver.OpenSession(2, "claims");
  driver.answers_status.clear();
  // Passes time while the servers in `running` answer. Those in `leading`
  // accept work as the primary; "a" answers no status query.
  const auto pass = [&](Duration time, const std::set<ServerId>& leading,
                        const std::set<ServerId>& running) {
    for (Duration passed{0}; passed < time; passed += Milliseconds(25)) {
      driver.AdvanceTime(Milliseconds(25));
      driver.CompleteConnectsTo(running);
      for (const SendCommand& it : std::exchange(driver.sent, {})) {
        const ServerId id = driver.server_of[it.connection];
        if (!running.contains(id)) continue;
        const Position end = id == "a" ? Position{1, 10} : Position{2, 12};
        driver.Answer(it.connection,
                      driver.RunAt(it, leading.contains(id), end));
      }
      for (const auto& it : std::exchange(driver.status_queries, {})) {
        const ServerId id = driver.server_of[it.connection];
        if (id == "a" || !running.contains(id)) continue;
        Reply reply;
        reply.status = ServerStatus{leading.contains(id), 2, {2, 12}, 0};
        driver.Feed(session::ServerReplied{it.connection, reply});
      }
    }
  };
  driver.Query(2, Verb::kWrite, {}, "item data");
  driver.LoseAllConnections();
  pass(Milliseconds(1500), {"b"}, {"b", "c"});
  REQUIRE(driver.proxy.DumpState().find(R"("primary":"b")") !=
          std::string::npos);
  driver.LoseAllConnections();
  driver.answers_contacts.clear();
  for (int n = 0; n < 3; ++n) {
    driver.Query(2, Verb::kRead, {}, "item");
    pass(Milliseconds(500), {"a"}, {"a", "c"});
  }
  CHECK(driver.proxy.DumpState().find(R"("primary":"a")") == std::string::npos);
}

TEST_CASE("a held commit whose primary is replaced is in doubt") {
  ProxyDriver driver(PrimaryContinues());
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  PassTime(driver, {});
  driver.Query(1, Verb::kWrite, {}, "item data");
  REQUIRE(SentToServer(driver));
  driver.answers_status = {"a"};
  driver.ListServers({"a", "b", "c"}, "zone", "a");
  const SendCommand write = TakeStatement(driver);
  driver.Answer(write.connection, driver.Run(write, {1, kCompleteLog + 1}));
  const std::size_t answered = driver.answers.size();
  const ConnectionId connection = driver.TakeReplicaQuery();
  REQUIRE(connection != 0);
  Reply leads;
  leads.status = ServerStatus{true, 2, {2, 10}, 0};
  driver.Feed(session::ServerReplied{connection, leads});
  REQUIRE(driver.answers.size() > answered);
  CHECK(driver.answers.back().reply.error == ErrorCode::kUnsure);
}

// Guards against the loss of commits that follow, without a delay, others that
// the primary, cut off from its replicas, never acknowledged.
TEST_CASE("a commit acknowledged before older ones waits for a known replica") {
  ProxyDriver driver = WritingDriver();
  (void)SendWrite(driver, 1);
  for (int n = 0; n < 4; ++n) {
    driver.CompleteConnects();
    driver.AnswerAll({});
    driver.AdvanceTime(Milliseconds(15));
  }
  driver.answers_status.clear();
  const SendCommand second = SendWrite(driver, 2);
  driver.AdvanceTime(Milliseconds(60));
  CHECK_FALSE(AnswersWrite(driver, second, 12));
}

// Guards against the loss of commits that an unlisted server acknowledges while
// a claimant has fenced the known replicas.
TEST_CASE("a commit after a reported fence waits for a known replica") {
  ProxyDriver driver = WritingDriver();
  CHECK_FALSE(AnswersWrite(driver, Milliseconds(150), 11));
  const SendCommand second = SendWrite(driver, 2);
  const ConnectionId query = driver.TakeReplicaQuery();
  REQUIRE(query != 0);
  const std::size_t answered = driver.answers.size();
  Reply fenced;
  fenced.status = Fenced(1, 11);
  driver.Feed(session::ServerReplied{query, fenced});
  CHECK_FALSE(AnswersWrite(driver, second, 12));
  // Nor later, by an unfenced replica that lacks the second one.
  driver.contact_index = 11;
  driver.AdvanceTime(Milliseconds(100));
  CHECK(driver.answers.size() <= answered + 1);
}

// Guards against commits that are answered one after the other, on the word of
// replicas that answer but receive none of them.
TEST_CASE("a commit must be seen at a known replica, however recent its word") {
  using session::CommitBasis;
  session::CommitQuorum quorum{session::CommitQuorum::Options{}};
  const session::CommitQuorum::Servers servers{{{"b", {}}}, {"b"}, true, {}};
  const session::CommitQuorum::Commit commit{{1, 5}, At(20'000)};
  const auto add = [&](int sent_ms, Position end) {
    quorum.Add("b", {At(0), At(sent_ms), At(sent_ms + 2), 1, end, false});
  };
  for (const int ms : {0, 19'990, 20'000, 20'005, 21'000}) add(ms, {1, 4});
  CHECK(quorum.Find(commit, servers) == CommitBasis::kNone);
  add(21'100, {1, 5});
  CHECK(quorum.Find(commit, servers) == CommitBasis::kQuorum);
  const session::CommitQuorum::Commit next{{1, 6}, At(21'200)};
  add(21'300, {1, 5});
  CHECK(quorum.Find(next, servers) == CommitBasis::kNone);
  add(21'400, {2, 9});
  CHECK(quorum.Find(next, servers) == CommitBasis::kNone);
}

}  // namespace corianderdock::test
