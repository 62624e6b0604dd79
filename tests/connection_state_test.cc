/// What a server connection is brought to: names of prepared statements, and
/// session values.
#include "corianderdock/session/connection_state.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace corianderdock::test {

namespace {

using session::ConnectionState;
using session::PreparedStatement;
using session::ServerCommand;
using session::SessionValues;
using session::Verb;

/// What a server knows of a connection after the commands of its state.
class FakeServerSession {
 public:
  void Run(const std::vector<ServerCommand>& commands) {
    for (const auto& it : commands) Run(it);
  }

  [[nodiscard]] const SessionValues& values() const { return values_; }
  [[nodiscard]] const auto& prepared() const { return prepared_; }
  [[nodiscard]] const auto& all_names() const { return all_names_; }
  [[nodiscard]] std::size_t most_prepared() const { return most_prepared_; }

 private:
  void Run(const ServerCommand& command) {
    const auto& [verb, name, text] = command.statement;
    switch (verb) {
      case Verb::kReset:
        values_.clear();
        prepared_.clear();
        break;
      case Verb::kSet:
        values_[name] = text;
        break;
      case Verb::kPrepareRead:
      case Verb::kPrepareWrite:
        REQUIRE(all_names_.insert(name).second);
        REQUIRE(name.find_first_of(" \r\n") == std::string::npos);
        prepared_[name] = {verb == Verb::kPrepareWrite, text};
        most_prepared_ = std::max(most_prepared_, prepared_.size());
        break;
      case Verb::kForget:
        REQUIRE(prepared_.erase(name) == 1);
        break;
      default:
        FAIL("not a command that sets up a connection");
    }
  }

  SessionValues values_;
  std::map<std::string, PreparedStatement> prepared_;
  std::set<std::string> all_names_;
  std::size_t most_prepared_ = 0;
};

struct ConnectionFixture {
  /// Brings the connection to a state; returns the name of the statement.
  std::string Use(const PreparedStatement& statement,
                  const SessionValues& values = {}) {
    const std::size_t expected =
        state.SynchronizeCommandCount(values, statement);
    const auto commands = state.Synchronize(values, statement);
    REQUIRE(commands.size() == expected);
    server.Run(commands);
    REQUIRE(server.values() == values);
    std::string name = state.ServerStatementName(statement);
    REQUIRE(server.prepared().contains(name));
    REQUIRE(server.prepared().at(name).writes == statement.writes);
    REQUIRE(server.prepared().at(name).shape == statement.shape);
    return name;
  }

  ConnectionState state;
  FakeServerSession server;
};

}  // namespace

// Guards against a shape that runs as another one, as the blanks of a shape in
// a name made its rest the next field.
TEST_CASE("shapes with blanks get names without blanks") {
  ConnectionFixture it;
  const std::string plain = it.Use({true, "q2a"});
  const std::string nested = it.Use({true, "q2a WRITE cn"});
  CHECK(plain != nested);
  CHECK(it.Use({false, "q2 READ item"}) != it.Use({false, "q2"}));
  CHECK(it.Use({true, "q2a"}) == plain);
}

TEST_CASE("a shape that reads and writes has two names") {
  ConnectionFixture it;
  CHECK(it.Use({true, "q1"}) != it.Use({false, "q1"}));
}

TEST_CASE("a name isn't reused after a reset") {
  ConnectionFixture it;
  const std::string before = it.Use({true, "q1"}, {{"a", "1"}});
  CHECK(it.Use({true, "q1"}) != before);
}

TEST_CASE("the least recently used statement is dropped at the limit") {
  ConnectionFixture it;
  constexpr auto kLimit = ConnectionState::kMaxPreparedStatements;
  const std::string first = it.Use({true, "q0"});
  const std::string second = it.Use({true, "q1"});
  for (std::size_t n = 2; n < kLimit; ++n) {
    (void)it.Use({true, "q" + std::to_string(n)});
  }
  CHECK(it.Use({true, "q0"}) == first);
  (void)it.Use({true, "one more"});
  CHECK(it.server.most_prepared() == kLimit);
  CHECK(it.Use({true, "q0"}) == first);
  CHECK_FALSE(it.server.prepared().contains(second));
  CHECK(it.Use({true, "q1"}) != second);
}

TEST_CASE("a connection that lacks a statement is set up anew") {
  ConnectionFixture it;
  const SessionValues values = {{"a", "1"}};
  const std::string before = it.Use({true, "q1"}, values);
  it.state.Invalidate();
  CHECK(it.Use({true, "q1"}, values) != before);
  CHECK(it.state.Synchronize(values, PreparedStatement{true, "q1"}).empty());
}

TEST_CASE("values of one session never remain for the next") {
  ConnectionFixture it;
  (void)it.Use({true, "q1"}, {{"a", "1"}, {"b", ""}, {"c", " 1 "}});
  (void)it.Use({true, "q1"}, {{"b", " "}});
  (void)it.Use({true, "q1"}, {{"b", ""}, {"d", "2"}});
  (void)it.Use({true, "q1"});
}

// Guards against names or values of one session that another one meets, for
// any bytes in them.
TEST_CASE("a connection serves any sequence of sessions") {
  CHECK(rc::check(
      [](const std::vector<std::tuple<
             bool, std::string, std::map<std::uint8_t, std::string>>>& uses) {
        ConnectionFixture it;
        for (const auto& [writes, shape, numbered] : uses) {
          SessionValues values;
          for (const auto& [name, value] : numbered) {
            values["v" + std::to_string(name % 4)] = value;
          }
          (void)it.Use({writes, shape}, values);
        }
        RC_ASSERT(it.server.all_names().size() >= it.server.prepared().size());
      }));
}

}  // namespace corianderdock::test
