/// Proof by replicas that a primary was not replaced: positions in passing,
/// status reports, fences, and commits that an unlisted server acknowledged.
#include <algorithm>
#include <catch2/catch.hpp>

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
  driver.AdvanceTime(std::chrono::seconds(7));
  driver.sent.clear();
  driver.answers_status = {"a"};
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
  const ConnectionId connection = driver.ReplicaQuery();
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
  driver.answers_status = {"a"};
  driver.ListServers({"a", "b", "c"}, "zone", "a");
  const std::size_t answered = driver.answers.size();
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.AnswerFirst(ErrorCode::kNone, {1, 11});
  CHECK(driver.answers.size() == answered);
  PassTime(driver, {"b"});
  REQUIRE(driver.answers.size() == answered + 1);
  CHECK(driver.answers.back().reply.error == ErrorCode::kNone);
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
  const auto write = std::find_if(
      driver.sent.begin(), driver.sent.end(),
      [](const SendCommand& it) { return !it.command.id.empty(); });
  Reply done;
  done.position = Position{1, kCompleteLog + 1};
  const ConnectionId writer = write->connection;
  driver.sent.erase(write);
  driver.Answer(writer, done);
  const std::size_t answered = driver.answers.size();
  const ConnectionId connection = driver.ReplicaQuery();
  REQUIRE(connection != 0);
  Reply leads;
  leads.status = ServerStatus{true, 2, {2, 10}, 0};
  driver.Feed(session::ServerReplied{connection, leads});
  REQUIRE(driver.answers.size() > answered);
  CHECK(driver.answers.back().reply.error == ErrorCode::kUnsure);
}

}  // namespace corianderdock::test
