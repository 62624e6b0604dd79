/// Which answer of a server counts as that of a statement, on connections where
/// the server may send answers a second time, at any later moment.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

using session::InstanceList;
using session::PeerCommand;
using session::PeerOpened;
using session::ServerCommand;
using session::SessionId;

/// Answers that a session was given to statements.
std::vector<Reply> AnswersOf(const ProxyDriver& driver, SessionId session) {
  std::vector<Reply> replies;
  for (const AnswerSession& it : driver.answers) {
    if (it.session == session) replies.push_back(it.reply);
  }
  return replies;
}

/// The last answer of a session, which has `count` of them.
Reply AnswerOf(const ProxyDriver& driver, SessionId session,
               std::size_t count) {
  const std::vector<Reply> replies = AnswersOf(driver, session);
  CHECK(replies.size() == count);
  return replies.empty() ? Reply{} : replies.back();
}

/// Client statements sent to servers and not answered.
std::vector<SendCommand> Outstanding(const ProxyDriver& driver) {
  std::vector<SendCommand> commands;
  std::copy_if(driver.sent.begin(), driver.sent.end(),
               std::back_inserter(commands),
               [](const SendCommand& it) { return !it.command.id.empty(); });
  return commands;
}

/// The only one of them.
SendCommand OnlyOutstanding(const ProxyDriver& driver) {
  const std::vector<SendCommand> commands = Outstanding(driver);
  REQUIRE(commands.size() == 1);
  return commands.front();
}

/// Answers all commands of the proxy itself, and the client statements.
void AnswerEverything(ProxyDriver& driver) {
  for (int n = 0; n < 100 && !driver.sent.empty(); ++n) driver.AnswerFirst();
  REQUIRE(driver.sent.empty());
}

/// Runs statements of several sessions at the primary.
struct Fixture {
  Fixture() {
    for (const SessionId id : {1, 2, 3}) {
      driver.OpenSession(id, "claims");
      opened[id] = AnswersOf(driver, id).size();
    }
  }

  /// Sends a statement until it awaits the server's answer.
  SendCommand Start(SessionId session, Verb verb, const std::string& name,
                    const std::string& text) {
    driver.Query(session, verb, name, text);
    driver.AnswerSetup();
    return OnlyOutstanding(driver);
  }
  SendCommand StartWrite(SessionId session) {
    return Start(session, Verb::kWrite, {}, "item data");
  }
  SendCommand StartRead(SessionId session, const std::string& item) {
    return Start(session, Verb::kRead, {}, item);
  }

  /// Runs a write that succeeds. Returns its reply.
  Reply Write(SessionId session) {
    (void)StartWrite(session);
    return driver.AnswerFirst();
  }

  /// Runs a read that succeeds. Returns its reply.
  Reply Read(SessionId session, const std::string& item) {
    (void)StartRead(session, item);
    Reply reply = driver.AnswerFirst();
    AnswerEverything(driver);
    return reply;
  }

  /// Number of answers to statements of a session.
  std::size_t Answered(SessionId session) {
    return AnswersOf(driver, session).size() - opened[session];
  }
  /// The answer to the statement of a session that got one.
  Reply Only(SessionId session) {
    return AnswerOf(driver, session, opened[session] + 1);
  }

  ProxyDriver driver;
  std::map<SessionId, std::size_t> opened;
};

}  // namespace

// Guards against a client that gets the rows of another one's read.
TEST_CASE("a read's repeated answer doesn't reach the next client") {
  Fixture it;
  const Reply first = it.Read(1, "one");
  const SendCommand second = it.StartRead(2, "two");
  it.driver.Repeat(second.connection, first);
  CHECK(it.Answered(2) == 0);
  const Reply own = it.driver.AnswerFirst();
  REQUIRE(it.Answered(2) == 1);
  CHECK(it.Only(2).receipt == own.receipt);
  CHECK(it.Only(2).rows == own.rows);
  AnswerEverything(it.driver);
  CHECK_FALSE(it.driver.connections_closed.contains(second.connection));
}

// Guards against the same at a replica, where no transaction surrounds the
// read.
TEST_CASE("a replica's repeated answer doesn't reach the next client") {
  ProxyDriver driver;
  driver.OpenSession(99, "claims");
  driver.Query(99, Verb::kWrite, {}, "item data");
  driver.AnswerFirst();
  driver.AdvanceTime(Milliseconds(120));
  driver.OpenSession(1, "lookups");
  driver.Query(1, Verb::kRead, {}, "one");
  const ConnectionId connection = OnlyOutstanding(driver).connection;
  const Reply first = driver.AnswerFirst();
  // Reads alternate between replicas.
  SessionId next = 1;
  do {
    REQUIRE(next < 10);
    AnswerEverything(driver);
    driver.OpenSession(++next, "lookups");
    driver.Query(next, Verb::kRead, {}, "two");
  } while (OnlyOutstanding(driver).connection != connection);
  const std::size_t answered = AnswersOf(driver, next).size();
  driver.Repeat(connection, first);
  CHECK(AnswersOf(driver, next).size() == answered);
  const Reply own = driver.AnswerFirst();
  CHECK(AnswerOf(driver, next, answered + 1).receipt == own.receipt);
}

// Guards against the same when the repeat comes long after the answer.
TEST_CASE("an answer repeated after a thousand others reaches no client") {
  Fixture it;
  const Reply first = it.Read(1, "one");
  for (int n = 0; n < 1000; ++n) (void)it.Read(3, "other");
  const SendCommand second = it.StartRead(2, "two");
  it.driver.Repeat(second.connection, first);
  for (const Reply& reply : AnswersOf(it.driver, 2)) {
    CHECK(reply.receipt != first.receipt);
  }
}

// Guards against reads that end without a result, and all later ones of the
// connection with another one's.
TEST_CASE("repeated answers of commands without result reach no client") {
  const Verb repeated =
      GENERATE(Verb::kBegin, Verb::kRollback, Verb::kSet, Verb::kPrepareRead);
  INFO(session::NameOf(repeated));
  Fixture it;
  for (const SessionId id : {1, 2}) {
    it.driver.Query(id, Verb::kSet, "a", "1");
    it.driver.Query(id, Verb::kPrepareRead, "p", "q1");
    it.opened[id] += 2;
  }
  it.driver.Query(1, Verb::kExecute, "p", "one");
  std::map<Verb, Reply> replies;
  while (!it.driver.sent.empty()) {
    const Verb verb = it.driver.sent.front().command.statement.verb;
    replies[verb] = it.driver.AnswerFirst();
  }
  REQUIRE(it.Answered(1) == 1);
  REQUIRE(replies.contains(repeated));
  const SendCommand second = it.Start(2, Verb::kExecute, "p", "two");
  it.driver.Repeat(second.connection, replies[repeated]);
  CHECK(it.Answered(2) == 0);
  const Reply own = it.driver.AnswerFirst();
  REQUIRE(it.Answered(2) == 1);
  CHECK(it.Only(2).error == ErrorCode::kNone);
  CHECK(it.Only(2).receipt == own.receipt);
}

// Guards against a write that is acknowledged but never ran.
TEST_CASE("a write's repeated answer doesn't acknowledge the next write") {
  Fixture it;
  const Reply first = it.Write(1);
  const SendCommand second = it.StartWrite(2);
  it.driver.Repeat(second.connection, first);
  CHECK(it.Answered(2) == 0);
  const bool runs = GENERATE(true, false);
  if (!runs) {
    it.driver.AnswerFirst(ErrorCode::kFailed);
    CHECK(it.Only(2).error == ErrorCode::kFailed);
    return;
  }
  const Reply own = it.driver.AnswerFirst();
  CHECK(it.Only(2).receipt == own.receipt);
}

namespace {

/// A write that was sent again after a refusal, on the connection of a read
/// whose ROLLBACK was answered at the same log position.
struct RefusedFixture : Fixture {
  RefusedFixture() {
    driver.contact_index = 12;
    (void)Read(3, "item");
    const SendCommand write = StartWrite(1);
    busy = driver.AnswerFirst(ErrorCode::kBusy);
    driver.AdvanceTime(Milliseconds(12));
    connection = OnlyOutstanding(driver).connection;
    REQUIRE(connection == write.connection);
    driver.all_sent.clear();
  }

  /// Number of writes that were sent after the second one.
  std::size_t Retries() const {
    const std::vector<Verb> verbs = driver.VerbsOn(connection);
    return static_cast<std::size_t>(
        std::count(verbs.begin(), verbs.end(), Verb::kWrite));
  }

  bool Closed() const { return driver.connections_closed.contains(connection); }

  Reply busy;
  ConnectionId connection = 0;
};

}  // namespace

// Guards against a write that is refused but ran.
TEST_CASE("a repeated BUSY doesn't show that a write was not run") {
  RefusedFixture it;
  it.driver.Repeat(it.connection, it.busy);
  CHECK(it.Answered(1) == 0);
  const bool ends_repeated = GENERATE(false, true);
  if (ends_repeated) {
    Reply end;
    end.position = it.busy.position;
    it.driver.Repeat(it.connection, end);
    it.driver.AdvanceTime(Milliseconds(12));
    CHECK(it.Answered(1) == 0);
  }
  SECTION("and its own reply comes") {
    const Reply own = it.driver.AnswerFirst(ErrorCode::kNone, {1, 11});
    it.driver.AnswerFirst(ErrorCode::kNone, {1, 11});
    CHECK(it.Only(1).receipt == own.receipt);
  }
  SECTION("and its own error comes") {
    it.driver.AnswerFirst(ErrorCode::kFailed);
    CHECK(it.Only(1).error == ErrorCode::kFailed);
  }
  SECTION("and the same refusal comes again") {
    it.driver.Repeat(it.connection, it.busy);
    CHECK(it.Only(1).error == ErrorCode::kUnsure);
    CHECK(it.Closed());
  }
  SECTION("and no other reply comes in time") {
    it.driver.AdvanceTime(Milliseconds(800));
    CHECK(it.Only(1).error == ErrorCode::kUnsure);
    CHECK(it.Closed());
  }
  SECTION("and the connection ends") {
    it.driver.Feed(session::ServerConnectionLost{it.connection});
    CHECK(it.Only(1).error == ErrorCode::kUnsure);
  }
  SECTION("and its session ends") {
    it.driver.Feed(session::SessionClosed{1});
    CHECK(it.Closed());
  }
  it.driver.AdvanceTime(Milliseconds(50));
  CHECK(it.Retries() == 0);
  CHECK(Outstanding(it.driver).empty());
}

// Guards against writes in doubt, and connections lost, at servers that refuse
// twice in the same words and never repeat a reply.
TEST_CASE("a write that is refused twice at one position is retried") {
  RefusedFixture it;
  it.driver.AnswerFirst(ErrorCode::kBusy);
  CHECK(it.Answered(1) == 0);
  REQUIRE(it.driver.SentVerbs() == std::vector{Verb::kRollback});
  const bool log_grew = GENERATE(true, false);
  if (!log_grew) {
    // Its reply equals that to the read's.
    it.driver.AnswerFirst();
    it.driver.AdvanceTime(Milliseconds(25));
    CHECK(it.Retries() == 0);
    REQUIRE(it.driver.SentVerbs() == std::vector{Verb::kRollback});
  }
  it.driver.AnswerFirst(ErrorCode::kNone, {1, 11});
  it.driver.AdvanceTime(Milliseconds(12));
  CHECK_FALSE(it.Closed());
  (void)OnlyOutstanding(it.driver);
  const Reply own = it.driver.AnswerFirst(ErrorCode::kNone, {1, 12});
  CHECK(it.Only(1).receipt == own.receipt);
}

// Guards against transactions whose outcome is unknown, as above.
TEST_CASE("a COMMIT that is refused twice at one position is aborted") {
  Fixture it;
  ConnectionId connection = 0;
  const bool repeated = GENERATE(false, true);
  Reply busy;
  for (const SessionId id : {1, 2}) {
    it.driver.Query(id, Verb::kBegin);
    connection = it.StartWrite(id).connection;
    it.driver.AnswerFirst(ErrorCode::kNone, {1, 11});
    it.driver.Query(id, Verb::kCommit);
    if (id == 1) {
      busy = it.driver.AnswerFirst(ErrorCode::kBusy, {1, 11},
                                   TransactionState::kIdle);
      AnswerEverything(it.driver);
      // The refusal keeps the server from getting more for a moment.
      it.driver.AdvanceTime(Milliseconds(12));
    }
  }
  const std::size_t answered = it.Answered(2);
  it.driver.Repeat(connection, busy);
  REQUIRE(it.Answered(2) == answered);
  REQUIRE(it.driver.SentVerbs() == std::vector{Verb::kCommit, Verb::kRollback});
  it.driver.contact_index = 12;
  if (!repeated) it.driver.sent.erase(it.driver.sent.begin());
  const Reply own = it.driver.AnswerFirst(ErrorCode::kNone, {1, 12});
  REQUIRE(it.Answered(2) == answered + 1);
  const Reply answer = AnswerOf(it.driver, 2, it.opened[2] + answered + 1);
  if (repeated) {
    CHECK(answer.receipt == own.receipt);
  } else {
    CHECK(answer.error == ErrorCode::kAborted);
    CHECK_FALSE(it.driver.connections_closed.contains(connection));
  }
}

TEST_CASE("a first BUSY shows that a write was not run") {
  Fixture it;
  (void)it.StartWrite(1);
  it.driver.AnswerFirst(ErrorCode::kBusy);
  it.driver.AdvanceTime(Milliseconds(12));
  (void)OnlyOutstanding(it.driver);
  const Reply own = it.driver.AnswerFirst();
  CHECK(it.Only(1).receipt == own.receipt);
}

// Guards against a read that gets the answer of the one before it, as the
// answers that follow a repeated BUSY are off by one.
TEST_CASE("a read with a repeated BUSY is retried on another connection") {
  Fixture it;
  (void)it.StartRead(1, "one");
  const Reply busy = it.driver.AnswerFirst(ErrorCode::kBusy);
  AnswerEverything(it.driver);
  it.driver.AdvanceTime(Milliseconds(12));
  it.driver.AnswerSetup();
  AnswerEverything(it.driver);
  REQUIRE(it.Answered(1) == 1);
  const SendCommand second = it.StartRead(2, "two");
  it.driver.Repeat(second.connection, busy);
  // The read's own answer shows that the error was a repeat.
  const Reply late = it.driver.AnswerFirst();
  CHECK(it.Answered(2) == 0);
  CHECK(it.driver.connections_closed.contains(second.connection));
  it.driver.AdvanceTime(Milliseconds(12));
  it.driver.CompleteConnects();
  it.driver.AnswerSetup();
  const SendCommand retry = OnlyOutstanding(it.driver);
  CHECK(retry.connection != second.connection);
  const Reply own = it.driver.AnswerFirst();
  CHECK(own.receipt != late.receipt);
  CHECK(it.Only(2).receipt == own.receipt);
}

TEST_CASE("an error with a new log position is the statement's own") {
  Fixture it;
  (void)it.StartWrite(1);
  it.driver.AnswerFirst(ErrorCode::kBusy, {1, 10});
  it.driver.AdvanceTime(Milliseconds(12));
  it.driver.AnswerFirst(ErrorCode::kBusy, {1, 11});
  CHECK(it.Answered(1) == 0);
  // The replicas have moved on too, so that their answers are new.
  it.driver.contact_index = 11;
  it.driver.AdvanceTime(Milliseconds(12));
  (void)OnlyOutstanding(it.driver);
  const Reply own = it.driver.AnswerFirst(ErrorCode::kNone, {1, 12});
  it.driver.contact_index = 12;
  for (int n = 0; n < 4; ++n) {
    it.driver.AdvanceTime(Milliseconds(25));
    it.driver.CompleteConnects();
  }
  CHECK(it.Only(1).receipt == own.receipt);
}

// Guards against a refusal that a server repeats under its present position.
TEST_CASE("a server that repeats answers may repeat errors anywhere") {
  Fixture it;
  const Reply first = it.Write(1);
  const SendCommand second = it.StartWrite(2);
  it.driver.Repeat(second.connection, first);
  it.driver.AnswerFirst();
  REQUIRE(it.Answered(2) == 1);
  (void)it.StartWrite(3);
  it.driver.AnswerFirst(ErrorCode::kBusy, {1, 10});
  CHECK(it.Answered(3) == 0);
  it.driver.AdvanceTime(Milliseconds(12));
  const SendCommand again = OnlyOutstanding(it.driver);
  REQUIRE(again.connection == second.connection);
  it.driver.AnswerFirst(ErrorCode::kBusy, {1, 11});
  CHECK(it.Only(3).error == ErrorCode::kUnsure);
  CHECK(it.driver.connections_closed.contains(again.connection));
}

// Guards against connections that are lost, with the statements that follow,
// whenever a server repeats an answer.
TEST_CASE("a repeat that no command awaits leaves the connection open") {
  Fixture it;
  const SendCommand write = it.StartWrite(1);
  const Reply first = it.driver.AnswerFirst();
  it.driver.Repeat(write.connection, first);
  CHECK_FALSE(it.driver.connections_closed.contains(write.connection));
  const SendCommand second = it.StartWrite(2);
  CHECK(second.connection == write.connection);
  const Reply own = it.driver.AnswerFirst();
  CHECK(it.Only(2).receipt == own.receipt);
}

TEST_CASE("a repeat between statements doesn't end a transaction") {
  Fixture it;
  it.driver.Query(1, Verb::kBegin);
  const SendCommand read = it.StartRead(1, "one");
  const Reply first = it.driver.AnswerFirst();
  it.driver.Repeat(read.connection, first);
  it.driver.Query(1, Verb::kRead, {}, "two");
  REQUIRE_FALSE(it.driver.sent.empty());
  CHECK(OnlyOutstanding(it.driver).connection == read.connection);
  const Reply own = it.driver.AnswerFirst();
  CHECK(it.driver.answers.back().reply.receipt == own.receipt);
}

TEST_CASE("a result that no command awaits closes the connection") {
  Fixture it;
  const SendCommand write = it.StartWrite(1);
  Reply other = it.driver.AnswerFirst();
  other.receipt = "other";
  it.driver.Repeat(write.connection, other);
  CHECK(it.driver.connections_closed.contains(write.connection));
}

// Guards against a statement that runs with the values of another session.
TEST_CASE("a statement isn't sent before its setup is answered") {
  Fixture it;
  it.driver.Query(1, Verb::kSet, "a", "1");
  it.driver.Query(1, Verb::kPrepareWrite, "p", "q1");
  it.driver.Query(1, Verb::kExecute, "p", "item data");
  while (!it.driver.sent.empty() && it.driver.sent.front().command.id.empty()) {
    CHECK(Outstanding(it.driver).empty());
    it.driver.AnswerFirst();
  }
  const SendCommand first = OnlyOutstanding(it.driver);
  CHECK(it.driver.VerbsOn(first.connection) ==
        std::vector{Verb::kSet, Verb::kPrepareWrite, Verb::kExecute});
  it.driver.AnswerFirst();
  // Another session needs a RESET.
  it.driver.Query(2, Verb::kWrite, {}, "item data");
  REQUIRE_FALSE(it.driver.sent.empty());
  CHECK(it.driver.SentVerbs() == std::vector{Verb::kReset});
}

TEST_CASE("a statement of a transaction isn't sent before its setup") {
  Fixture it;
  it.driver.Query(1, Verb::kPrepareRead, "p", "q1");
  it.driver.Query(1, Verb::kBegin);
  (void)it.StartRead(1, "one");
  it.driver.AnswerFirst();
  it.driver.Query(1, Verb::kExecute, "p", "two");
  CHECK(it.driver.SentVerbs() == std::vector{Verb::kPrepareRead});
}

// Guards against writes in doubt that no server got.
TEST_CASE("a write whose setup fails is sent on another connection") {
  Fixture it;
  it.driver.Query(1, Verb::kSet, "a", "1");
  const std::size_t answered = it.Answered(1);
  it.driver.Query(1, Verb::kWrite, {}, "item data");
  REQUIRE_FALSE(it.driver.sent.empty());
  const ConnectionId first = it.driver.sent.front().connection;
  REQUIRE(it.driver.sent.front().command.statement.verb == Verb::kSet);
  it.driver.AnswerFirst(ErrorCode::kBusy);
  CHECK(it.Answered(1) == answered);
  CHECK(it.driver.connections_closed.contains(first));
  it.driver.AdvanceTime(Milliseconds(12));
  it.driver.CompleteConnects();
  it.driver.AnswerSetup();
  const SendCommand write = OnlyOutstanding(it.driver);
  CHECK(write.connection != first);
  const Reply own = it.driver.AnswerFirst();
  CHECK(it.driver.answers.back().reply.receipt == own.receipt);
}

TEST_CASE("a write whose setup always fails was not run") {
  Fixture it;
  it.driver.Query(1, Verb::kSet, "a", "1");
  const std::size_t answered = it.Answered(1);
  it.driver.Query(1, Verb::kWrite, {}, "item data");
  for (int n = 0; n < 40 && it.Answered(1) == answered; ++n) {
    while (!it.driver.sent.empty()) it.driver.AnswerFirst(ErrorCode::kBusy);
    it.driver.AdvanceTime(Milliseconds(25));
    it.driver.CompleteConnects();
  }
  REQUIRE(it.Answered(1) == answered + 1);
  CHECK(it.driver.answers.back().reply.error == ErrorCode::kBusy);
}

TEST_CASE("a transaction with a failed setup is aborted") {
  Fixture it;
  it.driver.Query(1, Verb::kPrepareWrite, "p", "q1");
  it.driver.Query(1, Verb::kBegin);
  (void)it.StartRead(1, "one");
  it.driver.AnswerFirst();
  it.driver.Query(1, Verb::kExecute, "p", "item data");
  REQUIRE(it.driver.sent.front().command.statement.verb == Verb::kPrepareWrite);
  const ConnectionId connection = it.driver.sent.front().connection;
  it.driver.AnswerFirst(ErrorCode::kBusy);
  CHECK(it.driver.answers.back().session == 1);
  CHECK(it.driver.answers.back().reply.error == ErrorCode::kAborted);
  CHECK(it.driver.connections_closed.contains(connection));
}

// Guards against a success that no server gave to the statement.
TEST_CASE("a success without a receipt is never passed to a client") {
  const bool rows = GENERATE(false, true);
  const Verb verb = GENERATE(Verb::kRead, Verb::kWrite);
  Fixture it;
  const SendCommand command = it.Start(1, verb, {}, "item data");
  Reply bare;
  bare.position = Position{1, 10};
  if (rows) bare.rows = {"row"};
  if (verb == Verb::kRead) bare.state = TransactionState::kOpen;
  it.driver.Repeat(command.connection, bare);
  it.driver.AdvanceTime(std::chrono::seconds(2));
  for (std::size_t n = it.opened[1]; n < AnswersOf(it.driver, 1).size(); ++n) {
    CHECK(AnswersOf(it.driver, 1)[n].error != ErrorCode::kNone);
  }
  if (verb == Verb::kWrite) CHECK(it.Only(1).error == ErrorCode::kUnsure);
}

// Guards against an answer from outside the transaction of its client.
TEST_CASE("an answer in the wrong transaction state is not taken") {
  Fixture it;
  it.driver.Query(1, Verb::kBegin);
  const SendCommand read = it.StartRead(1, "one");
  it.driver.AnswerFirst();
  it.driver.Query(1, Verb::kRead, {}, "two");
  it.driver.AnswerFirst(ErrorCode::kNone, {1, 10}, TransactionState::kIdle);
  CHECK(it.driver.answers.back().session == 1);
  CHECK(it.driver.answers.back().reply.error == ErrorCode::kAborted);
  CHECK(it.driver.connections_closed.contains(read.connection));
}

TEST_CASE("a COMMIT that leaves its transaction open is in doubt") {
  Fixture it;
  it.driver.Query(1, Verb::kBegin);
  const SendCommand write = it.StartWrite(1);
  it.driver.AnswerFirst();
  it.driver.Query(1, Verb::kCommit);
  it.driver.AnswerFirst(ErrorCode::kNone, {1, 11}, TransactionState::kOpen);
  CHECK(it.driver.answers.back().reply.error == ErrorCode::kUnsure);
  CHECK(it.driver.connections_closed.contains(write.connection));
}

TEST_CASE("a read that shows no open transaction is not taken") {
  Fixture it;
  const SendCommand read = it.StartRead(1, "one");
  it.driver.AnswerFirst(ErrorCode::kNone, {1, 10}, TransactionState::kIdle);
  CHECK(it.Answered(1) == 0);
  CHECK(it.driver.connections_closed.contains(read.connection));
}

// Guards against a COMMIT that is acknowledged but never ran.
TEST_CASE("a repeated answer doesn't acknowledge a COMMIT") {
  const bool of_commit = GENERATE(true, false);
  Fixture it;
  std::map<Verb, Reply> replies;
  for (const SessionId id : {1, 2}) {
    it.driver.Query(id, Verb::kBegin);
    (void)it.StartWrite(id);
    replies[Verb::kWrite] = it.driver.AnswerFirst();
    it.driver.Query(id, Verb::kCommit);
    if (id == 1) replies[Verb::kCommit] = it.driver.AnswerFirst();
  }
  const SendCommand commit = OnlyOutstanding(it.driver);
  const std::size_t answered = it.Answered(2);
  it.driver.Repeat(commit.connection,
                   replies[of_commit ? Verb::kCommit : Verb::kWrite]);
  CHECK(it.Answered(2) == answered);
  const Reply own = it.driver.AnswerFirst();
  CHECK(it.Answered(2) == answered + 1);
  CHECK(it.driver.answers.back().reply.receipt == own.receipt);
}

namespace {

/// Clients that keep writing while replicas refuse all status queries but
/// those that a test answers. The replicas' log positions prove nothing.
struct ProofFixture {
  ProofFixture() : driver(PrimaryContinues()) {
    driver.answers_status = {"a"};
    driver.contact_index = 1;
  }

  static session::ProxyOptions PrimaryContinues() {
    session::ProxyOptions options;
    options.replaced_primary_stops = false;
    return options;
  }

  /// Sends a write of a new session.
  void Write() {
    driver.OpenSession(++sessions, "claims");
    driver.Query(sessions, Verb::kWrite, {}, "item data");
  }

  /// Passes time, answers all commands but status queries, and refuses the
  /// queries to other servers than `server`.
  void Step(const ServerId& server) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnects();
    Write();
    for (const SendCommand& it : std::exchange(driver.sent, {})) {
      const bool leads = driver.server_of[it.connection] == "a";
      const Position end{1, leads ? 10U : 1U};
      driver.Answer(it.connection, driver.RunAt(it, leads, end));
    }
    for (const SendCommand& it : std::exchange(driver.status_queries, {})) {
      if (driver.server_of[it.connection] == server) {
        driver.status_queries.push_back(it);
      } else {
        Refuse(it, {1, 1});
      }
    }
  }

  /// Passes time until there is a status query to `server`, and takes it.
  SendCommand TakeQuery(const ServerId& server) {
    for (int n = 0; n < 200; ++n) {
      Step(server);
      if (driver.status_queries.empty()) continue;
      SendCommand query = driver.status_queries.front();
      driver.status_queries.erase(driver.status_queries.begin());
      return query;
    }
    FAIL("no status query");
    return {};
  }

  /// The same until the last proof has expired and nothing is outstanding at
  /// the primary.
  SendCommand TakeQueryAfterProof(const ServerId& server) {
    const TimePoint expired = driver.now + PrimaryContinues().proof_validity;
    SendCommand query = TakeQuery(server);
    while (driver.now <= expired) {
      Refuse(query, {1, 1});
      query = TakeQuery(server);
    }
    Write();
    REQUIRE(Outstanding(driver).empty());
    return query;
  }

  /// Refuses a query in words that come only once.
  void Refuse(const SendCommand& query, Position position) {
    Reply busy = driver.Run(query, position, ErrorCode::kBusy);
    busy.detail = "refusal " + std::to_string(++refusals);
    driver.Feed(session::ServerReplied{query.connection, busy});
  }

  ProxyDriver driver;
  SessionId sessions = 0;
  int refusals = 0;
};

}  // namespace

// Guards against an outdated proof that the primary was not replaced.
TEST_CASE("a repeated status dates from its first command") {
  ProofFixture it;
  const SendCommand first = it.TakeQuery("b");
  const Reply status = it.driver.Run(first, {1, 5});
  it.driver.Feed(session::ServerReplied{first.connection, status});
  REQUIRE_FALSE(Outstanding(it.driver).empty());
  const SendCommand second = it.TakeQueryAfterProof("b");
  REQUIRE(second.connection == first.connection);
  it.driver.Repeat(second.connection, status);
  CHECK(Outstanding(it.driver).empty());
  CHECK(it.driver.connections_closed.contains(second.connection));
  const SendCommand third = it.TakeQuery("b");
  CHECK(third.connection != second.connection);
  it.driver.Feed(session::ServerReplied{third.connection, status});
  CHECK_FALSE(Outstanding(it.driver).empty());
}

// Guards against commits that are acknowledged although the last known state of
// a replica is that it is fenced.
TEST_CASE("a repeated status doesn't end a fence that was reported since") {
  ProofFixture it;
  const SendCommand first = it.TakeQuery("b");
  const Reply unfenced = it.driver.Run(first, {1, 5});
  it.driver.Feed(session::ServerReplied{first.connection, unfenced});
  const SendCommand second = it.TakeQueryAfterProof("b");
  REQUIRE(second.connection == first.connection);
  Reply fenced = it.driver.Run(second, {1, 6});
  fenced.status->fence_term = 2;
  it.driver.Feed(session::ServerReplied{second.connection, fenced});
  const SendCommand third = it.TakeQuery("b");
  REQUIRE(third.connection == first.connection);
  it.driver.log.clear();
  it.driver.Repeat(third.connection, unfenced);
  for (const session::LogDecision& line : it.driver.log) {
    CHECK(line.text.find("replica fence changed") == std::string::npos);
  }
}

// Guards against the loss of commits that a replica received after its restart
// had lifted a fence on which an order relies: the other replica, still fenced,
// seems to show that there is none.
TEST_CASE("a replica's repeated answer doesn't show that it isn't fenced") {
  const bool repeats = GENERATE(true, false);
  Fixture it;
  ProxyDriver& driver = it.driver;
  driver.status_index = 10;
  const auto pass = [&](Duration time, const std::set<ServerId>& silent) {
    for (Duration passed{0}; passed < time; passed += Milliseconds(25)) {
      driver.ListServers({"a", "b", "c"});
      driver.AdvanceTime(Milliseconds(25));
      driver.CompleteConnects();
      driver.AnswerAll(silent);
    }
  };
  driver.answers_status = {"a", "b"};
  pass(Milliseconds(50), {"c"});
  REQUIRE(driver.status_queries.size() == 1);
  const ConnectionId asked = driver.status_queries.front().connection;
  REQUIRE(driver.server_of[asked] == "c");
  driver.status_queries.clear();
  Reply unfenced;
  unfenced.position = Position{1, 10};
  unfenced.status = session::ServerStatus{false, 1, {1, 10}, 0};
  driver.Feed(session::ServerReplied{asked, unfenced});
  pass(std::chrono::seconds(14), {});
  REQUIRE_FALSE(driver.connections_closed.contains(asked));
  std::set<ConnectionId> lost;
  for (const auto& [id, server] : driver.server_of) {
    if (server == "b") lost.insert(id);
  }
  for (const ConnectionId id : lost) {
    driver.server_of.erase(id);
    driver.Feed(session::ServerConnectionLost{id});
  }
  pass(std::chrono::seconds(2), {});
  driver.answers_status.clear();
  (void)it.StartWrite(1);
  driver.AnswerFirst(ErrorCode::kNone, {1, 11});
  REQUIRE(it.Answered(1) == 0);
  bool shown = false;
  for (int n = 0; n < 20; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnects();
    for (const auto& query : std::exchange(driver.status_queries, {})) {
      const ServerId server = driver.server_of[query.connection];
      Reply reply = unfenced;
      if (server == "b") {
        reply.position = Position{1, 11};
        reply.status->received = {1, 11};
      } else if (query.connection != asked) {
        continue;  // it answers nothing else
      } else if (!repeats) {
        // Its own answer differs from all before.
        reply.rows = {"replica 1 1.10 0 3 1 7"};
      }
      shown = shown || server == "c";
      driver.Feed(session::ServerReplied{query.connection, reply});
    }
  }
  REQUIRE(shown);
  CHECK(it.Answered(1) == (repeats ? 0 : 1));
}

// Guards against reads that lack commits of the last `max_age`.
TEST_CASE("a repeated BEGIN gives no newer log position") {
  ProxyDriver driver;
  driver.OpenSession(1, "lookups");
  driver.OpenSession(99, "claims");
  driver.Query(99, Verb::kWrite, {}, "item data");
  driver.AnswerFirst();
  // Reads at replicas, which give no positions of the primary, until it is
  // probed for one.
  const auto next_probe = [&] {
    for (int n = 0; n < 100; ++n) {
      driver.AdvanceTime(Milliseconds(25));
      const bool probes =
          driver.SentVerbs() == std::vector{Verb::kBegin, Verb::kRollback};
      if (probes) return driver.sent.front();
      AnswerEverything(driver);
      driver.Query(1, Verb::kRead, {}, "item");
      REQUIRE(driver.SentVerbs() == std::vector{Verb::kRead});
      driver.AnswerFirst(ErrorCode::kNone, {1, 30});
    }
    FAIL("no probe");
    return SendCommand{};
  };
  const SendCommand first = next_probe();
  const TimePoint sampled = driver.now;
  const Reply begin = driver.AnswerFirst(ErrorCode::kNone, {1, 11});
  driver.AnswerFirst(ErrorCode::kNone, {1, 11});
  const SendCommand second = next_probe();
  REQUIRE(second.connection == first.connection);
  driver.Repeat(second.connection, begin);
  // The probe's own answer shows that there are later commits.
  AnswerEverything(driver);
  driver.now = std::max(driver.now, sampled + kMaxAge);
  driver.all_sent.clear();
  driver.Query(1, Verb::kRead, {}, "item");
  REQUIRE_FALSE(driver.all_sent.empty());
  for (const SendCommand& it : driver.all_sent) {
    CHECK(it.command.after != Position{1, 11});
  }
}

namespace {

/// A planned switchover of "a", which leads in `term` again if no replica has
/// its whole log.
struct Switchover {
  Switchover() {
    driver.keeps_order = true;
    driver.claims_answered = 60;
    driver.ListServers({"a", "b", "c"}, "zone", "a");
  }

  /// Answers the oldest commands up to a DEMOTE, which is returned, for at most
  /// 5 s.
  std::optional<SendCommand> NextDemote() {
    for (int n = 0; n < 200; ++n) {
      while (!driver.sent.empty()) {
        const SendCommand it = driver.sent.front();
        if (it.command.statement.verb == Verb::kDemote) return it;
        AnswerOldest();
        if (!driver.promotions.empty()) return std::nullopt;
      }
      for (const auto& it : std::exchange(driver.claims, {})) {
        driver.Feed(session::ClaimAnswered{it.service, ++driver.claims_answered,
                                           false});
      }
      driver.AdvanceTime(Milliseconds(25));
      driver.CompleteConnects();
      if (!driver.promotions.empty()) return std::nullopt;
      driver.OpenSession(++sessions, "claims");
      driver.Query(sessions, Verb::kRead, {}, "item");
    }
    return std::nullopt;
  }

  Reply AnswerOldest() {
    const SendCommand it = driver.sent.front();
    driver.sent.erase(driver.sent.begin());
    const ServerId server = driver.server_of[it.connection];
    Reply reply = driver.RunAt(it, server == leader, ends[server]);
    if (reply.status) {
      reply.status->term = term;
      reply.status->primary = server == leader;
    }
    driver.Answer(it.connection, reply);
    return reply;
  }

  ProxyDriver driver;
  std::map<ServerId, Position> ends;
  ServerId leader = "a";
  Term term = 1;
  SessionId sessions = 0;
};

}  // namespace

// Guards against the loss of commits that only the old primary and a server
// which no list shows yet have.
TEST_CASE("a repeated reply to DEMOTE doesn't tell where the log ends") {
  Switchover it;
  it.ends = {{"a", {1, 12}}, {"b", {1, 10}}, {"c", {1, 10}}};
  const auto first = it.NextDemote();
  REQUIRE(first);
  it.leader.clear();
  const Reply demoted = it.AnswerOldest();
  REQUIRE_FALSE(it.NextDemote());
  REQUIRE_FALSE(it.driver.promotions.empty());
  REQUIRE(it.driver.promotions.front().server == "a");
  it.driver.promotions.clear();
  it.driver.Feed(session::PromotionAnswered{
      "books", "a", session::PromotionResult::kAccepted});
  it.leader = "a";
  it.term = 2;
  it.ends = {{"a", {2, 20}}, {"b", {2, 15}}, {"c", {2, 14}}};
  const auto second = it.NextDemote();
  REQUIRE(second);
  REQUIRE(second->connection == first->connection);
  it.leader.clear();
  it.driver.Repeat(second->connection, demoted);
  // The server's own reply, unless its connection was closed.
  const auto own = it.NextDemote();
  if (own) (void)it.AnswerOldest();
  (void)it.NextDemote();
  REQUIRE_FALSE(it.driver.promotions.empty());
  CHECK(it.driver.promotions.front().server == "a");
}

namespace {

/// A fleet in which "self" owns every server, and another instance that
/// forwards to it over the shared connection 1 to the primary.
struct OwnerFixture {
  OwnerFixture() {
    InstanceList fleet;
    fleet["self"] = {"zone", "", "self"};
    for (int n = 0; n < 40; ++n) {
      fleet["o" + std::to_string(n)] = {"zone", "", ""};
    }
    driver.Feed(session::InstancesRead{fleet});
    driver.AdvanceTime(session::ProxyOptions().stale_connection_time);
    driver.CompleteConnects();
    driver.AnswerAll({});
    driver.Feed(PeerOpened{1, "books", "a"});
    driver.sent.clear();
    driver.all_sent.clear();
    opened = driver.peer_answers.size();
  }

  /// Forwards a command.
  void Forward(Verb verb, const std::string& name = {},
               const std::string& text = {}) {
    ServerCommand command;
    const bool own = verb != Verb::kRead && verb != Verb::kWrite &&
                     verb != Verb::kExecute && verb != Verb::kCommit;
    if (!own) command.id = "x" + std::to_string(++forwarded);
    command.statement = Statement{verb, name, text};
    driver.Feed(PeerCommand{1, command});
    driver.CompleteConnects();
  }

  /// Answers that the other instance got to its commands.
  std::size_t Answered() const { return driver.peer_answers.size() - opened; }

  bool PeerClosed() const { return !driver.peers_closed.empty(); }

  ProxyDriver driver;
  std::size_t opened = 0;
  int forwarded = 0;
};

}  // namespace

// Guards against a client of another instance that gets another one's rows.
TEST_CASE("an owner passes no repeated answer to another instance") {
  const Verb verb = GENERATE(Verb::kRead, Verb::kWrite);
  OwnerFixture it;
  it.Forward(verb, {}, "one");
  const Reply first = it.driver.AnswerFirst();
  it.Forward(verb, {}, "two");
  const SendCommand second = OnlyOutstanding(it.driver);
  it.driver.Repeat(second.connection, first);
  CHECK(it.Answered() == 1);
  const Reply own = it.driver.AnswerFirst();
  CHECK(it.Answered() == 2);
  CHECK(it.driver.peer_answers.back().reply.receipt == own.receipt);
  CHECK_FALSE(it.PeerClosed());
}

// Guards against the same in transactions of other instances.
TEST_CASE("an owner drops repeats in another instance's transaction") {
  OwnerFixture it;
  it.Forward(Verb::kBegin);
  const Reply begin = it.driver.AnswerFirst();
  it.Forward(Verb::kWrite, {}, "item data");
  const SendCommand write = OnlyOutstanding(it.driver);
  it.driver.Repeat(write.connection, begin);
  CHECK(it.Answered() == 1);
  const Reply written = it.driver.AnswerFirst();
  it.Forward(Verb::kCommit);
  it.driver.Repeat(write.connection, written);
  CHECK(it.Answered() == 2);
  const Reply own = it.driver.AnswerFirst();
  CHECK(it.Answered() == 3);
  CHECK(it.driver.peer_answers.back().reply.receipt == own.receipt);
}

// Guards against a forwarded write that is refused but ran.
TEST_CASE("an owner answers nothing when a write's error may be a repeat") {
  OwnerFixture it;
  it.Forward(Verb::kWrite, {}, "item data");
  const Reply busy = it.driver.AnswerFirst(ErrorCode::kBusy);
  REQUIRE(it.Answered() == 1);
  CHECK(it.driver.peer_answers.back().reply.error == ErrorCode::kBusy);
  // The refusal keeps the server from getting more for a moment.
  it.driver.AdvanceTime(Milliseconds(12));
  it.Forward(Verb::kWrite, {}, "item data");
  const SendCommand second = OnlyOutstanding(it.driver);
  it.driver.Repeat(second.connection, busy);
  CHECK(it.Answered() == 1);
  SECTION("and it was a repeat") {
    const Reply own = it.driver.AnswerFirst(ErrorCode::kNone, {1, 11});
    REQUIRE(it.Answered() == 2);
    CHECK(it.driver.peer_answers.back().reply.receipt == own.receipt);
  }
  SECTION("and that can't be told") {
    it.driver.Repeat(second.connection, busy);
    CHECK(it.Answered() == 1);
    CHECK(it.PeerClosed());
    CHECK(it.driver.connections_closed.contains(second.connection));
  }
  SECTION("and the other instance leaves") {
    it.driver.Feed(session::PeerClosed{1});
    CHECK(it.driver.connections_closed.contains(second.connection));
  }
  SECTION("and it was the write's own") {
    it.driver.sent.erase(it.driver.sent.begin());
    it.driver.AnswerFirst(ErrorCode::kNone, {1, 11});
    REQUIRE(it.Answered() == 2);
    CHECK(it.driver.peer_answers.back().reply.error == ErrorCode::kBusy);
    CHECK_FALSE(it.driver.connections_closed.contains(second.connection));
    CHECK_FALSE(it.PeerClosed());
  }
}

TEST_CASE("an owner answers nothing when an answer can't be explained") {
  OwnerFixture it;
  it.Forward(Verb::kBegin);
  it.driver.AnswerFirst();
  it.Forward(Verb::kRead, {}, "item");
  const SendCommand read = OnlyOutstanding(it.driver);
  it.driver.AnswerFirst(ErrorCode::kNone, {1, 10}, TransactionState::kIdle);
  CHECK(it.Answered() == 1);
  CHECK(it.PeerClosed());
  CHECK(it.driver.connections_closed.contains(read.connection));
}

TEST_CASE("an owner sends no command before its setup is answered") {
  OwnerFixture it;
  it.Forward(Verb::kSet, "a", "1");
  it.Forward(Verb::kPrepareWrite, "w_q1", "q1");
  it.Forward(Verb::kExecute, "w_q1", "item data");
  const std::size_t answered = it.Answered();
  CHECK(answered == 2);
  while (!it.driver.sent.empty() && it.driver.sent.front().command.id.empty()) {
    CHECK(Outstanding(it.driver).empty());
    it.driver.AnswerFirst();
  }
  const SendCommand execute = OnlyOutstanding(it.driver);
  CHECK(it.driver.VerbsOn(execute.connection) ==
        std::vector{Verb::kSet, Verb::kPrepareWrite, Verb::kExecute});
  const Reply own = it.driver.AnswerFirst();
  CHECK(it.Answered() == answered + 1);
  CHECK(it.driver.peer_answers.back().reply.receipt == own.receipt);
}

namespace {

/// An instance that forwards to owners, with a session that has values.
struct ForwarderFixture {
  ForwarderFixture() {
    InstanceList fleet;
    fleet["self"] = {"other", "", ""};
    for (int n = 0; n < 40; ++n) {
      const InstanceId id = "o" + std::to_string(n);
      fleet[id] = {"zone", "", id};
    }
    driver.Feed(session::InstancesRead{fleet});
    for (int n = 0; n < 10; ++n) {
      driver.AdvanceTime(Milliseconds(25));
      driver.CompleteConnects();
      driver.AnswerAll({});
    }
    driver.OpenSession(1, "claims");
    driver.OpenSession(2, "claims");
  }
  ProxyDriver driver;
};

}  // namespace

TEST_CASE("an instance takes the same answers of an owner again and again") {
  ForwarderFixture it;
  for (int n = 0; n < 4; ++n) {
    for (const SessionId id : {1, 2}) {
      it.driver.Query(id, Verb::kSet, "a", std::to_string(id));
      it.driver.Query(id, Verb::kPrepareWrite, "p", "q" + std::to_string(id));
      it.driver.Query(id, Verb::kExecute, "p", "item data");
      it.driver.AnswerSetup();
      const SendCommand write = OnlyOutstanding(it.driver);
      REQUIRE(it.driver.share_addresses.contains(write.connection));
      const Reply own = it.driver.AnswerFirst();
      CHECK(it.driver.answers.back().session == id);
      CHECK(it.driver.answers.back().reply.receipt == own.receipt);
      CHECK_FALSE(it.driver.connections_closed.contains(write.connection));
    }
  }
}

// Guards against writes in doubt that an owner without room refused.
TEST_CASE("an owner's refusals are taken however often they come") {
  ForwarderFixture it;
  const std::size_t answered = AnswersOf(it.driver, 1).size();
  it.driver.Query(1, Verb::kWrite, {}, "item data");
  for (int n = 0; n < 3; ++n) {
    const SendCommand write = OnlyOutstanding(it.driver);
    REQUIRE(it.driver.share_addresses.contains(write.connection));
    it.driver.AnswerFirst(ErrorCode::kBusy);
    CHECK(AnswersOf(it.driver, 1).size() == answered);
    it.driver.AdvanceTime(Milliseconds(12));
  }
  (void)OnlyOutstanding(it.driver);
  const Reply own = it.driver.AnswerFirst();
  CHECK(AnswerOf(it.driver, 1, answered + 1).receipt == own.receipt);
}

// Guards against a write that counts as not run, and runs twice, as the answer
// to the command before it had come twice.
TEST_CASE("an error that may be of the setup before isn't the write's") {
  Fixture it;
  it.driver.Query(1, Verb::kSet, "a", "1");
  it.driver.Query(2, Verb::kSet, "a", "2");
  it.driver.Query(1, Verb::kWrite, {}, "item data");
  REQUIRE(it.driver.sent.front().command.statement.verb == Verb::kSet);
  const Reply set = it.driver.AnswerFirst();
  it.driver.AnswerFirst();
  it.driver.Query(2, Verb::kWrite, {}, "item data");
  REQUIRE(it.driver.sent.front().command.statement.verb == Verb::kSet);
  const std::size_t answered = it.Answered(2);
  it.driver.Repeat(it.driver.sent.front().connection, set);
  // The answer of the second SET itself. Its write may run after that.
  it.driver.AnswerFirst(ErrorCode::kBusy);
  const bool sent = !Outstanding(it.driver).empty();
  it.driver.AdvanceTime(Milliseconds(50));
  it.driver.CompleteConnects();
  it.driver.AnswerSetup();
  const auto writes = std::count_if(
      it.driver.all_sent.begin(), it.driver.all_sent.end(),
      [](const auto& command) { return !command.command.id.empty(); });
  CHECK(writes <= 2);
  if (sent) CHECK(it.Answered(2) == answered);
  if (it.Answered(2) == answered) return;
  CHECK(it.driver.answers.back().reply.error == ErrorCode::kUnsure);
}

// Guards against answers that belong to other statements, whatever commands a
// server repeats the answers of, and when.
TEST_CASE("every statement gets its own answer among any repeats") {
  const auto seed = GENERATE(range(1U, 21U));
  INFO("seed " << seed);
  std::mt19937 random(seed);
  const auto choose = [&](std::size_t count) { return random() % count; };
  Fixture it;
  std::map<ConnectionId, std::vector<Reply>> replies;
  std::uint64_t end = 10;
  for (int n = 0; n < 40; ++n) {
    const SessionId session = 1 + choose(3);
    if (choose(4) == 0) {
      it.driver.Query(session, Verb::kSet, "a", std::to_string(choose(2)));
    }
    const bool prepared = choose(3) == 0;
    const bool writes = choose(2) == 0;
    if (prepared) {
      it.driver.Query(session,
                      writes ? Verb::kPrepareWrite : Verb::kPrepareRead, "p",
                      "q" + std::to_string(choose(2)));
      it.driver.Query(session, Verb::kExecute, "p", "item data");
    } else {
      it.driver.Query(session, writes ? Verb::kWrite : Verb::kRead, {},
                      "item data");
    }
    if (writes) ++end;
    // Replicas move on too.
    it.driver.contact_index = end;
    it.driver.status_index = end;
    Reply own;
    for (int k = 0; k < 100 && !it.driver.sent.empty(); ++k) {
      const SendCommand command = it.driver.sent.front();
      std::vector<Reply>& earlier = replies[command.connection];
      if (!earlier.empty() && choose(2) == 0) {
        it.driver.Repeat(command.connection, earlier[choose(earlier.size())]);
        if (it.driver.connections_closed.contains(command.connection)) break;
      }
      earlier.push_back(it.driver.AnswerFirst(ErrorCode::kNone, {1, end}));
      if (!command.command.id.empty()) own = earlier.back();
    }
    REQUIRE(it.driver.connections_closed.empty());
    REQUIRE(it.driver.sent.empty());
    // A commit may wait until the replicas have shown that they have it.
    if (writes) it.driver.AdvanceTime(Milliseconds(30));
    REQUIRE(it.driver.answers.back().session == session);
    REQUIRE(it.driver.answers.back().reply.receipt == own.receipt);
    it.driver.AdvanceTime(Milliseconds(5));
  }
}

// Guards against a write that runs twice, as it ran outside the transaction
// whose BEGIN failed behind the repeat of another one.
TEST_CASE("a write behind a BEGIN that failed isn't sent again") {
  const ErrorCode error = GENERATE(ErrorCode::kBusy, ErrorCode::kFailed);
  Fixture it;
  it.driver.Query(1, Verb::kBegin);
  it.driver.Query(1, Verb::kWrite, {}, "item data");
  const Reply begin = it.driver.AnswerFirst();
  it.driver.AnswerFirst();
  it.driver.Query(1, Verb::kRollback);
  AnswerEverything(it.driver);
  it.driver.Query(2, Verb::kBegin);
  it.driver.all_sent.clear();
  it.driver.Query(2, Verb::kWrite, {}, "item data");
  REQUIRE(it.driver.SentVerbs() == std::vector{Verb::kBegin});
  const std::size_t answered = it.Answered(2);
  it.driver.Repeat(it.driver.sent.front().connection, begin);
  const bool sent = !Outstanding(it.driver).empty();
  // The reply of the second BEGIN itself. The write runs after that.
  it.driver.AnswerFirst(error);
  if (!sent) return;
  for (int n = 0; n < 10; ++n) {
    AnswerEverything(it.driver);
    it.driver.AdvanceTime(Milliseconds(5));
    it.driver.CompleteConnects();
  }
  const auto writes = std::count_if(
      it.driver.all_sent.begin(), it.driver.all_sent.end(),
      [](const auto& command) { return !command.command.id.empty(); });
  CHECK(writes == 1);
  if (it.Answered(2) == answered) return;
  CHECK(it.driver.answers.back().reply.error == ErrorCode::kUnsure);
}

// Guards against another instance that takes an old reply for fresh evidence of
// a fence, a log position or the primary.
TEST_CASE("an owner passes no evidence on that may be a repeat") {
  const Verb verb = GENERATE(Verb::kStatus, Verb::kHold, Verb::kBegin);
  INFO(session::NameOf(verb));
  OwnerFixture it;
  it.driver.keeps_order = true;
  it.Forward(verb);
  REQUIRE(it.driver.sent.size() == 1);
  const Reply first = it.driver.AnswerFirst();
  if (verb == Verb::kBegin) {
    it.Forward(Verb::kRollback);
    it.driver.AnswerFirst();
  }
  const std::size_t answered = it.Answered();
  it.Forward(verb);
  REQUIRE_FALSE(it.driver.sent.empty());
  it.driver.Repeat(it.driver.sent.front().connection, first);
  if (it.Answered() == answered) return;
  const Reply& passed = it.driver.peer_answers.back().reply;
  CHECK_FALSE(passed.status);
  CHECK_FALSE(passed.position);
}

// Guards against reads that lack commits of the last `max_age`, when the repeat
// comes after more replies than the history of a connection keeps.
TEST_CASE("a BEGIN repeated after hundreds of others gives no position") {
  ProxyDriver driver;
  driver.OpenSession(1, "lookups");
  driver.OpenSession(99, "claims");
  driver.Query(99, Verb::kWrite, {}, "item data");
  driver.AnswerFirst();
  const auto next_probe = [&](std::uint64_t end) {
    for (int n = 0; n < 100; ++n) {
      driver.AdvanceTime(Milliseconds(25));
      const bool probes =
          driver.SentVerbs() == std::vector{Verb::kBegin, Verb::kRollback};
      if (probes) return driver.sent.front();
      AnswerEverything(driver);
      driver.Query(1, Verb::kRead, {}, "item");
      driver.AnswerFirst(ErrorCode::kNone, {1, end});
    }
    FAIL("no probe");
    return SendCommand{};
  };
  const SendCommand first = next_probe(30);
  const Reply begin = driver.AnswerFirst(ErrorCode::kNone, {1, 11});
  driver.AnswerFirst(ErrorCode::kNone, {1, 11});
  std::uint64_t end = 20;
  std::size_t others = 0;
  while (others < 2 * session::ReplyHistory::kMaxOthers) {
    ++end;
    driver.Query(99, Verb::kRead, {}, "item");
    while (!driver.sent.empty()) {
      if (driver.sent.front().connection == first.connection) ++others;
      driver.AnswerFirst(ErrorCode::kNone, {1, end});
    }
    REQUIRE(end < 2000);
  }
  const SendCommand second = next_probe(end);
  REQUIRE(second.connection == first.connection);
  const TimePoint sampled = driver.now;
  driver.Repeat(second.connection, begin);
  while (!driver.sent.empty()) {
    driver.AnswerFirst(ErrorCode::kNone, {1, end + 1});
  }
  // The samples before that of the probe are too old.
  driver.now = sampled + kMaxAge - Milliseconds(250);
  driver.all_sent.clear();
  driver.Query(1, Verb::kRead, {}, "item");
  REQUIRE_FALSE(driver.all_sent.empty());
  for (const SendCommand& it : driver.all_sent) {
    CHECK(it.command.after != Position{1, 11});
  }
}

// Guards against a transaction whose second half commits without the first.
TEST_CASE("a reply of an owner that no command awaits ends a transaction") {
  ForwarderFixture it;
  it.driver.Query(1, Verb::kBegin);
  it.driver.Query(1, Verb::kWrite, {}, "one data");
  it.driver.AnswerSetup();
  const SendCommand write = OnlyOutstanding(it.driver);
  REQUIRE(it.driver.share_addresses.contains(write.connection));
  const Reply written = it.driver.AnswerFirst();
  it.driver.Repeat(write.connection, written);
  it.driver.all_sent.clear();
  it.driver.Query(1, Verb::kWrite, {}, "two data");
  it.driver.AdvanceTime(Milliseconds(30));
  it.driver.CompleteConnects();
  it.driver.AnswerSetup();
  for (const SendCommand& command : it.driver.all_sent) {
    CHECK(
        (command.command.id.empty() || command.connection == write.connection));
  }
}

// Guards against a server that once repeated a reply and can't be reached
// through others from then on.
TEST_CASE("an owner keeps the connections to a server that repeated a reply") {
  OwnerFixture it;
  it.Forward(Verb::kRead, {}, "one");
  const ConnectionId connection = it.driver.sent.front().connection;
  it.driver.Repeat(connection, it.driver.AnswerFirst());
  for (int n = 0; n < 3; ++n) {
    it.Forward(Verb::kBegin);
    it.driver.AnswerFirst();
    it.Forward(Verb::kRead, {}, "item");
    it.Forward(Verb::kRollback);
    while (!it.driver.sent.empty()) it.driver.AnswerFirst();
    REQUIRE_FALSE(it.PeerClosed());
  }
}

// Guards against the same: a transaction of which no statement was sent yet can
// be opened anew.
TEST_CASE("a transaction whose BEGIN is in doubt is opened again") {
  Fixture it;
  const SendCommand read = it.StartWrite(3);
  it.driver.Repeat(read.connection, it.driver.AnswerFirst());
  for (const SessionId id : {1, 2}) {
    it.driver.Query(id, Verb::kBegin);
    it.driver.Query(id, Verb::kRead, {}, "item");
    for (int n = 0; n < 10 && it.Answered(id) < 2; ++n) {
      if (!it.driver.sent.empty()) it.driver.AnswerFirst();
      it.driver.AdvanceTime(Milliseconds(2));
      it.driver.CompleteConnects();
    }
    REQUIRE(it.Answered(id) == 2);
    CHECK(it.driver.answers.back().reply.error == ErrorCode::kNone);
    it.driver.Query(id, Verb::kRollback);
    AnswerEverything(it.driver);
  }
}

}  // namespace corianderdock::test
