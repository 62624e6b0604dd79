/// Sessions on shared connections: statements answered by the proxy, late
/// binding to connections, prepared statements and session values.
#include <catch2/catch.hpp>

#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

/// Session 1 in a transaction that has run one read.
void OpenTransaction(ProxyDriver& driver) {
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kBegin);
  driver.Query(1, Verb::kRead, {}, "item");
  driver.AnswerSetup();
  driver.AnswerFirst();
}

}  // namespace

TEST_CASE("statements that need no server are answered by the proxy") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kSet, "a", "1");
  driver.Query(1, Verb::kPrepareRead, "p", "q1");
  driver.Query(1, Verb::kForget, "p");
  driver.Query(1, Verb::kBegin);
  CHECK(driver.answers.back().reply.state == TransactionState::kOpen);
  driver.Query(1, Verb::kRollback);
  CHECK(driver.answers.back().reply.state == TransactionState::kIdle);
  CHECK(driver.answers.size() == 6);
  CHECK(driver.sent.empty());
  for (const auto& it : driver.answers) {
    CHECK(it.reply.error == ErrorCode::kNone);
  }
}

TEST_CASE("no statement is sent before BEGIN is answered") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kBegin);
  driver.Query(1, Verb::kWrite, {}, "item data");
  REQUIRE(driver.SentVerbs() == std::vector{Verb::kBegin});
  driver.AnswerFirst();
  CHECK(driver.SentVerbs() == std::vector{Verb::kWrite});
}

TEST_CASE("a transaction keeps one connection until it ends") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kBegin);
  driver.Query(1, Verb::kRead, {}, "item");
  driver.AnswerSetup();
  const ConnectionId first = driver.sent.front().connection;
  driver.AnswerFirst();
  driver.AdvanceTime(Milliseconds(100));
  driver.OpenSession(2, "claims");
  driver.Query(2, Verb::kWrite, {}, "other data");
  driver.CompleteConnects();
  REQUIRE(!driver.sent.empty());
  CHECK(driver.sent.front().connection != first);
  driver.AnswerFirst();
  driver.Query(1, Verb::kCommit);
  REQUIRE(driver.SentVerbs() == std::vector{Verb::kCommit});
  CHECK(driver.sent.front().connection == first);
}

TEST_CASE("sessions that prepare the same name use separate statements") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.OpenSession(2, "claims");
  driver.Query(1, Verb::kPrepareWrite, "p", "q1");
  driver.Query(2, Verb::kPrepareWrite, "p", "q2");
  driver.Query(1, Verb::kExecute, "p", "item data");
  driver.AnswerSetup();
  const std::string first = driver.sent.back().command.statement.name;
  driver.AnswerFirst();
  driver.all_sent.clear();
  driver.Query(2, Verb::kExecute, "p", "item data");
  driver.AnswerSetup();
  const std::string second = driver.sent.back().command.statement.name;
  CHECK(first != second);
  CHECK(driver.VerbsOn(driver.sent.front().connection) ==
        std::vector{Verb::kPrepareWrite, Verb::kExecute});
}

// Guards against a statement that runs with another item or another client's
// shape, as a blank in a shape ended the name that was made of it.
TEST_CASE("shapes with blanks of two clients run as they were prepared") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.OpenSession(2, "claims");
  driver.Query(1, Verb::kPrepareWrite, "p", "q2a");
  driver.Query(2, Verb::kPrepareWrite, "p", "q2a WRITE cn");
  std::map<std::string, std::string> prepared;
  for (const session::SessionId id : {1, 2, 1, 2}) {
    driver.sent.clear();
    driver.Query(id, Verb::kExecute, "p", "item data");
    for (const auto& it : driver.sent) {
      const Statement& statement = it.command.statement;
      CHECK(statement.name.find(' ') == std::string::npos);
      if (statement.verb == Verb::kPrepareWrite) {
        CHECK(prepared.emplace(statement.name, statement.text).second);
      }
    }
    driver.AnswerSetup();
    REQUIRE(!driver.sent.empty());
    const Statement& run = driver.sent.back().command.statement;
    REQUIRE(run.verb == Verb::kExecute);
    CHECK(run.text == "item data");
    CHECK(prepared[run.name] == (id == 1 ? "q2a" : "q2a WRITE cn"));
    driver.AnswerFirst();
  }
}

// Guards against a statement that stays unknown at a server: the connection
// counted as having it.
TEST_CASE("a statement that the server doesn't know is prepared anew") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kPrepareWrite, "p", "q1");
  driver.Query(1, Verb::kExecute, "p", "item data");
  driver.AnswerSetup();
  driver.AnswerFirst();
  driver.Query(1, Verb::kExecute, "p", "item data");
  REQUIRE(driver.SentVerbs() == std::vector{Verb::kExecute});
  driver.AnswerFirst(ErrorCode::kNoStatement);
  CHECK(driver.SentVerbs() == std::vector{Verb::kReset, Verb::kPrepareWrite});
  driver.AnswerSetup();
  CHECK(driver.SentVerbs() == std::vector{Verb::kExecute});
}

TEST_CASE("a shape is prepared once per connection") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kPrepareWrite, "p", "q1");
  driver.Query(1, Verb::kExecute, "p", "item data");
  driver.AnswerSetup();
  driver.AnswerFirst();
  driver.Query(1, Verb::kExecute, "p", "item data");
  CHECK(driver.SentVerbs() == std::vector{Verb::kExecute});
}

TEST_CASE("a connection with another session's values is reset") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kSet, "a", "1");
  driver.all_sent.clear();
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.AnswerSetup();
  CHECK(driver.VerbsOn(driver.sent.front().connection) ==
        std::vector{Verb::kSet, Verb::kWrite});
  driver.AnswerFirst();
  driver.OpenSession(2, "claims");
  driver.all_sent.clear();
  driver.Query(2, Verb::kWrite, {}, "item data");
  driver.AnswerSetup();
  CHECK(driver.VerbsOn(driver.sent.front().connection) ==
        std::vector{Verb::kReset, Verb::kWrite});
}

TEST_CASE("an unknown prepared name is refused without a server") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kExecute, "nothing", "item");
  CHECK(driver.answers.back().reply.error == ErrorCode::kNoStatement);
  CHECK(driver.sent.empty());
}

TEST_CASE("a failed transaction accepts only its end") {
  ProxyDriver driver;
  OpenTransaction(driver);
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.AnswerFirst(ErrorCode::kReadOnly);
  CHECK(driver.answers.back().reply.error == ErrorCode::kAborted);
  CHECK(driver.answers.back().reply.state == TransactionState::kFailed);
  driver.Query(1, Verb::kRead, {}, "item");
  CHECK(driver.answers.back().reply.error == ErrorCode::kBad);
  driver.Query(1, Verb::kRollback);
  CHECK(driver.answers.back().reply.state == TransactionState::kIdle);
}

TEST_CASE("an idle transaction is rolled back to free its connection") {
  ProxyDriver driver;
  OpenTransaction(driver);
  driver.sent.clear();
  const auto answered = driver.answers.size();
  driver.AdvanceTime(Milliseconds(3100));
  CHECK(driver.answers.size() == answered);
  bool rolled_back = false;
  for (const auto& it : driver.sent) {
    rolled_back |= it.command.statement.verb == Verb::kRollback;
  }
  CHECK(rolled_back);
  driver.Query(1, Verb::kCommit);
  CHECK(driver.answers.back().reply.error == ErrorCode::kAborted);
}

TEST_CASE("a connection whose rollback is unanswered is replaced") {
  ProxyDriver driver;
  OpenTransaction(driver);
  driver.Query(1, Verb::kRollback);
  REQUIRE(driver.SentVerbs() == std::vector{Verb::kRollback});
  const ConnectionId stuck = driver.sent.front().connection;
  driver.AdvanceTime(Milliseconds(500));
  for (const auto& it : driver.sent) CHECK(it.connection != stuck);
  driver.CompleteConnects();
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.CompleteConnects();
  CHECK(driver.SentVerbs().back() == Verb::kWrite);
}

TEST_CASE("the transaction of a client that disconnects is rolled back") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kBegin);
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.AnswerSetup();
  driver.AnswerFirst();
  driver.Feed(session::SessionClosed{1});
  CHECK(driver.SentVerbs() == std::vector{Verb::kRollback});
}

TEST_CASE("a database without a route is refused") {
  ProxyDriver driver;
  driver.OpenSession(1, "nowhere");
  REQUIRE(driver.closed.size() == 1);
  CHECK(driver.closed.front().error == ErrorCode::kNoDatabase);
}

TEST_CASE("a changed route applies from the next transaction on") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kBegin);
  auto config = std::make_shared<session::RoutingConfig>();
  config->version = 2;
  config->services["books"] = {16, 1};
  driver.Feed(session::ConfigRead{config});
  driver.Query(1, Verb::kRead, {}, "item");
  CHECK(driver.SentVerbs() == std::vector{Verb::kBegin});
  driver.AnswerSetup();
  driver.AnswerFirst();
  driver.Query(1, Verb::kRollback);
  driver.Query(1, Verb::kRead, {}, "item");
  CHECK(driver.answers.back().reply.error == ErrorCode::kNoDatabase);
}

TEST_CASE("a draining primary gets no new statements after the time limit") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  session::ServersRead read;
  read.complete = false;
  for (const char* id : {"a", "b", "c"}) {
    session::ServerEntry entry;
    entry.id = id;
    entry.service = "books";
    entry.address = id;
    entry.zone = "zone";
    entry.slots = 2;
    entry.claims_primary = entry.id == "a";
    entry.draining = entry.id == "a";
    read.servers[id] = entry;
  }
  driver.Feed(read);
  driver.Query(1, Verb::kWrite, {}, "item data");
  CHECK(driver.SentVerbs() == std::vector{Verb::kWrite});
  driver.AnswerFirst();
  driver.AdvanceTime(std::chrono::milliseconds(5100));
  driver.sent.clear();
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.AdvanceTime(std::chrono::milliseconds(100));
  CHECK(driver.answers.back().reply.error == ErrorCode::kBusy);
}

TEST_CASE("an older configuration never replaces a newer one") {
  ProxyDriver driver;
  auto newer = std::make_shared<session::RoutingConfig>();
  newer->version = 9;
  driver.Feed(session::ConfigRead{newer});
  auto older = std::make_shared<session::RoutingConfig>();
  older->version = 5;
  ProxyDriver::AddRoute(*older, "claims", Freshness::kPrimary);
  driver.Feed(session::ConfigRead{older});
  driver.OpenSession(1, "claims");
  CHECK(driver.closed.back().error == ErrorCode::kNoDatabase);
}

TEST_CASE("a stopping instance is not ready, closes idle sessions and exits") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  CHECK(driver.proxy.Ready());
  driver.Feed(session::StopRequested{std::chrono::seconds(6)});
  CHECK_FALSE(driver.proxy.Ready());
  driver.OpenSession(2, "claims");
  driver.Query(2, Verb::kWrite, {}, "item data");
  driver.AdvanceTime(Milliseconds(200));
  CHECK(driver.closed.empty());
  driver.AnswerFirst();
  CHECK(driver.answers.back().reply.error == ErrorCode::kNone);
  driver.AdvanceTime(Milliseconds(2500));
  CHECK(driver.closed.size() == 2);
  CHECK(driver.stop_finished);
}

}  // namespace corianderdock::test
