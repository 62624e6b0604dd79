/// Which servers must be known to have a commit before its client is answered,
/// and which log a promotion may rely on.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

using session::ServerStatus;

/// Drives a proxy whose replicas answer with logs of their own.
class CommitDriver : public ProxyDriver {
 public:
  CommitDriver() {
    keeps_order = true;
    log_ends = {{"a", 10}, {"b", 10}, {"c", 10}};
    OpenSession(1, "claims");
  }

  /// Passes time while the servers but those in `silent` answer, and the list
  /// of servers is read.
  void Pass(Duration time, const std::set<ServerId>& silent = {}) {
    for (Duration passed{0}; passed < time; passed += Milliseconds(25)) {
      ListServers({"a", "b", "c"});
      AdvanceTime(Milliseconds(25));
      CompleteConnects();
      AnswerServers(silent);
    }
  }

  /// Has the proxy open a second connection to each replica.
  void ReadConcurrently() {
    for (session::SessionId id = 2; id <= 9; ++id) {
      OpenSession(id, "lookups");
      Query(id, Verb::kRead, {}, "item");
    }
    Pass(Milliseconds(200));
  }

  /// Sends a write, which the primary acknowledges at `index`. The replicas
  /// answer what they are asked meanwhile. Returns whether the client got
  /// success at once.
  bool Write(std::uint64_t index) {
    const std::size_t answered = answers.size();
    Query(1, Verb::kWrite, {}, "item data");
    log_ends["a"] = index;
    for (int n = 0; n < 4; ++n) AnswerServers({});
    return answers.size() > answered &&
           answers.back().reply.error == ErrorCode::kNone;
  }

  void Lose(const ServerId& server) {
    std::set<ConnectionId> lost;
    for (const auto& [id, name] : server_of) {
      if (name == server) lost.insert(id);
    }
    for (const ConnectionId id : lost) {
      server_of.erase(id);
      std::erase_if(sent, [id](const auto& it) { return it.connection == id; });
      Feed(session::ServerConnectionLost{id});
    }
  }

  std::set<ServerId> fenced;

 private:
  void AnswerServers(const std::set<ServerId>& silent) {
    for (const SendCommand& it : std::exchange(sent, {})) {
      const auto server = server_of.find(it.connection);
      if (server == server_of.end() || silent.contains(server->second)) {
        continue;
      }
      const ServerId& id = server->second;
      const Position end{1, log_ends[id]};
      Reply reply = RunAt(it, id == "a", end);
      const Verb verb = it.command.statement.verb;
      if (verb == Verb::kStatus) {
        const Term fence = fenced.contains(id) ? 2 : 0;
        reply.status = ServerStatus{id == "a", 1, end, fence};
        // The row has the lag, by which it differs from the one before.
        reply.rows = {"lag " + std::to_string(++statuses)};
      }
      Answer(it.connection, reply);
    }
  }
};

}  // namespace

// Guards against the loss of commits that only a server which joins has, while
// the claimant has fenced the replicas that are known.
TEST_CASE("a commit is answered once a known replica has it") {
  CommitDriver driver;
  driver.ReadConcurrently();
  driver.Pass(std::chrono::seconds(20));
  CHECK_FALSE(driver.Write(11));
  const std::size_t answered = driver.answers.size();
  driver.Pass(Milliseconds(300));
  CHECK(driver.answers.size() == answered);
  driver.log_ends["b"] = 11;
  driver.Pass(Milliseconds(300));
  REQUIRE(driver.answers.size() == answered + 1);
  CHECK(driver.answers.back().reply.error == ErrorCode::kNone);
}

// Guards against the loss of commits that a replica received after a restart
// had lifted the fence on which an order relies that is executed late.
TEST_CASE("a commit of a replica that just restarted is not answered") {
  CommitDriver driver;
  driver.Pass(std::chrono::seconds(20));
  driver.fenced = {"c"};
  driver.Lose("b");
  driver.Pass(Milliseconds(100));
  driver.log_ends["b"] = 11;
  CHECK_FALSE(driver.Write(11));
  const std::size_t answered = driver.answers.size();
  driver.Pass(Milliseconds(500));
  CHECK(driver.answers.size() == answered);
}

// Guards against the loss of commits of a replica that starts again without
// its log: the last primary, which is silent, has the only copy.
TEST_CASE("a log that was lost doesn't count among the fenced ones") {
  CommitDriver driver;
  driver.Pass(std::chrono::seconds(20));
  driver.log_ends["b"] = 11;
  driver.Write(11);
  driver.Pass(Milliseconds(300));
  driver.Lose("a");
  driver.Lose("b");
  driver.log_ends["b"] = 0;
  for (int n = 0; n < 120 && driver.promotions.empty(); ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnectsTo({"b", "c"});
    driver.AnswerAs("", {"b", "c"});
  }
  CHECK(driver.promotions.empty());
}

namespace {

/// A service whose primary "a" is lost after a commit that only "b" has as
/// well, which starts again with its log up to `end`.
CommitDriver WithoutPrimary(std::uint64_t end) {
  CommitDriver driver;
  driver.Pass(std::chrono::seconds(20));
  driver.log_ends["b"] = 11;
  driver.Write(11);
  driver.Pass(Milliseconds(300));
  driver.Lose("a");
  driver.Lose("b");
  driver.log_ends["b"] = end;
  return driver;
}

/// Passes time until a server is ordered, for at most `limit`, while the
/// servers in `running` answer as replicas and clients read. Returns the
/// server.
ServerId OrderedWithin(CommitDriver& driver, Duration limit,
                       const std::set<ServerId>& running) {
  for (Duration passed{0}; passed < limit && driver.promotions.empty();
       passed += Milliseconds(25)) {
    const auto reader = static_cast<session::SessionId>(100) +
                        static_cast<session::SessionId>(driver.statements);
    driver.OpenSession(reader, "lookups");
    driver.Feed(session::StatementReceived{reader,
                                           std::to_string(++driver.statements),
                                           {Verb::kRead, {}, "item"}});
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnectsTo(running);
    driver.AnswerAs("", running);
  }
  return driver.promotions.empty() ? "" : driver.promotions.back().server;
}

}  // namespace

TEST_CASE("the last primary leads again if another log was lost") {
  CommitDriver driver = WithoutPrimary(0);
  REQUIRE(OrderedWithin(driver, std::chrono::seconds(3), {"b", "c"}).empty());
  CHECK(OrderedWithin(driver, std::chrono::seconds(5), {"a", "b", "c"}) == "a");
}

TEST_CASE("a last primary that is gone isn't awaited for ever") {
  CommitDriver driver = WithoutPrimary(0);
  driver.ListServers({"b", "c"});
  CHECK(OrderedWithin(driver, std::chrono::seconds(11), {"b", "c"}).empty());
  CHECK(OrderedWithin(driver, std::chrono::seconds(5), {"b", "c"}) == "c");
}

TEST_CASE("a restart with its log delays no promotion") {
  CommitDriver driver = WithoutPrimary(11);
  CHECK(OrderedWithin(driver, std::chrono::seconds(3), {"b", "c"}) == "b");
}

TEST_CASE("a log that was lost counts again once it has later entries") {
  CommitDriver driver;
  driver.Pass(std::chrono::seconds(20));
  driver.log_ends = {{"a", 11}, {"b", 11}, {"c", 10}};
  driver.Pass(Milliseconds(500));
  driver.Lose("b");
  driver.log_ends["b"] = 3;
  driver.Pass(std::chrono::seconds(1));
  driver.log_ends["b"] = 11;
  driver.Write(12);
  driver.Pass(std::chrono::seconds(1));
  driver.log_ends["b"] = 12;
  driver.Pass(std::chrono::seconds(1));
  driver.Lose("a");
  CHECK(OrderedWithin(driver, std::chrono::seconds(3), {"b", "c"}) == "b");
}

// Guards against replicas that stay fenced for ever: only a promotion or a
// restart lifts a fence.
TEST_CASE("fences that an abandoned claim left end with a promotion") {
  CommitDriver driver;
  driver.Pass(std::chrono::seconds(20));
  driver.Lose("a");
  for (int n = 0; n < 100 && driver.claims_answered == 0; ++n) {
    (void)OrderedWithin(driver, Milliseconds(25), {"b", "c"});
  }
  REQUIRE(driver.claims_answered == 1);
  REQUIRE(driver.promotions.empty());
  // The primary is back before its replicas answer.
  driver.fenced = {"b", "c"};
  for (int n = 0; n < 400 && driver.promotions.empty(); ++n) {
    driver.Pass(Milliseconds(25));
    for (const auto& it : std::exchange(driver.claims, {})) {
      driver.Feed(session::ClaimAnswered{it.service, 8, false});
    }
  }
  CHECK_FALSE(driver.promotions.empty());
  CHECK(std::none_of(driver.all_sent.begin(), driver.all_sent.end(),
                     [](const auto& it) {
                       return it.command.statement.verb == Verb::kResume;
                     }));
}

}  // namespace corianderdock::test
