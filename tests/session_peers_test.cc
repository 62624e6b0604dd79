/// Connections to a server that accepts fewer than there are instances: which
/// instances own them, and how the others' statements run over them.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "corianderdock/session/connection_owners.h"
#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

using session::InstanceList;
using session::OwnersInOrder;
using session::PeerClosed;
using session::PeerCommand;
using session::PeerOpened;
using session::PlanConnections;
using session::ServerCommand;
using session::ServerEntry;

constexpr int kReserved = 2;

InstanceList Instances(int count, int zones = 5) {
  InstanceList list;
  for (int n = 0; n < count; ++n) {
    list["p" + std::to_string(n)] = {"z" + std::to_string(n % zones), "relay",
                                     "share"};
  }
  return list;
}

ServerEntry Server(const ServerId& id, const ZoneId& zone, int slots = 4) {
  ServerEntry entry;
  entry.id = id;
  entry.zone = zone;
  entry.slots = slots;
  return entry;
}

}  // namespace

TEST_CASE("small fleet: every instance connects while the limit allows") {
  const ServerEntry server = Server("s", "z0");
  CHECK(PlanConnections(server, 16, kReserved, Instances(4)).owners.empty());
  CHECK(PlanConnections(server, 16, kReserved, Instances(4)).connections == 3);
  // The boundary: one connection each, then too few.
  CHECK(PlanConnections(server, 58, kReserved, Instances(56)).owners.empty());
  CHECK_FALSE(
      PlanConnections(server, 58, kReserved, Instances(57)).owners.empty());
}

TEST_CASE("more instances than connections: owners stay within the limit") {
  for (const int count : {57, 77, 300, 1000}) {
    for (const int limit : {1, 5, 58}) {
      const auto plan = PlanConnections(Server("s", "z0"), limit, kReserved,
                                        Instances(count));
      const int used = static_cast<int>(plan.owners.size()) * plan.connections;
      CHECK(!plan.owners.empty());
      CHECK(used <= std::max(1, limit));
    }
  }
}

TEST_CASE("owners are in the server's zone, and elsewhere if it has too few") {
  const auto list = Instances(80);
  const auto near = PlanConnections(Server("s", "z1"), 58, kReserved, list);
  for (const auto& id : near.owners) CHECK(list.at(id).zone == "z1");
  const auto none = PlanConnections(Server("s", "other"), 58, kReserved, list);
  CHECK(none.owners.size() == near.owners.size());
}

TEST_CASE("an owner that is lost moves only its own share") {
  auto list = Instances(80);
  const ServerEntry server = Server("s", "z1");
  const auto before = PlanConnections(server, 58, kReserved, list);
  list.erase(before.owners.front());
  const auto after = PlanConnections(server, 58, kReserved, list);
  std::vector<InstanceId> kept;
  std::set_intersection(before.owners.begin(), before.owners.end(),
                        after.owners.begin(), after.owners.end(),
                        std::back_inserter(kept));
  CHECK(kept.size() == before.owners.size() - 1);
}

TEST_CASE("one hot server of sixty: instances spread over its owners") {
  const auto list = Instances(300);
  const auto plan = PlanConnections(Server("s", "z1"), 58, kReserved, list);
  std::map<InstanceId, int> first;
  for (const auto& [id, entry] : list) {
    ++first[OwnersInOrder(id, "s", plan.owners).front()];
  }
  const int mean = static_cast<int>(list.size() / plan.owners.size());
  for (const auto& [id, count] : first) CHECK(count < 2 * mean);
}

TEST_CASE("instances of the version before own nothing") {
  auto list = Instances(80);
  for (auto& [id, entry] : list) {
    if (id != "p7") entry.share_address.clear();
  }
  const auto plan = PlanConnections(Server("s", "z1"), 58, kReserved, list);
  CHECK(plan.owners == std::vector<InstanceId>{"p7"});
}

namespace {

/// A fleet in which "self" owns no server: the shared addresses of the others
/// are their names.
InstanceList ForwardingFleet() {
  InstanceList list;
  list["self"] = {"other", "", ""};
  for (int n = 0; n < 40; ++n) {
    const InstanceId id = "o" + std::to_string(n);
    list[id] = {"zone", "", id};
  }
  return list;
}

/// A fleet in which "self" owns every server.
InstanceList OwningFleet() {
  InstanceList list;
  list["self"] = {"zone", "", "self"};
  for (int n = 0; n < 40; ++n) {
    list["o" + std::to_string(n)] = {"zone", "", ""};
  }
  return list;
}

ServerCommand Command(Verb verb, const std::string& id = {},
                      const std::string& name = {},
                      const std::string& text = {}) {
  ServerCommand command;
  command.id = id;
  command.statement = Statement{verb, name, text};
  return command;
}

struct OwnerFixture {
  OwnerFixture() {
    driver.Feed(session::InstancesRead{OwningFleet()});
    driver.AdvanceTime(session::ProxyOptions().stale_connection_time);
    driver.CompleteConnects();
    driver.AnswerAll({});
    driver.Feed(PeerOpened{1, "books", "b"});
  }
  ProxyDriver driver;
};

}  // namespace

TEST_CASE("statements of an instance without connections go to an owner") {
  ProxyDriver driver;
  driver.Feed(session::InstancesRead{ForwardingFleet()});
  driver.OpenSession(1, "claims");
  driver.LoseAllConnections();
  driver.share_addresses.clear();
  driver.Query(1, Verb::kWrite, {}, "item data");
  for (int n = 0; n < 20; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnects();
    driver.AnswerAll({});
  }
  CHECK_FALSE(driver.share_addresses.empty());
}

TEST_CASE("an owner is lost under load: the next one is used at once") {
  ProxyDriver driver;
  driver.Feed(session::InstancesRead{ForwardingFleet()});
  for (int n = 0; n < 10; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnects();
    driver.AnswerAll({});
  }
  const auto shared = std::find_if(
      driver.share_addresses.begin(), driver.share_addresses.end(),
      [&](const auto& it) { return driver.server_of[it.first] == "a"; });
  REQUIRE(shared != driver.share_addresses.end());
  const auto [connection, owner] = *shared;
  driver.share_addresses.clear();
  driver.Feed(session::ServerConnectionLost{connection});
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.AdvanceTime(Milliseconds(30));
  driver.CompleteConnects();
  REQUIRE_FALSE(driver.share_addresses.empty());
  CHECK(driver.share_addresses.begin()->second != owner);
  CHECK(driver.answers.back().reply.error == ErrorCode::kNone);
  CHECK(driver.claims.empty());
}

TEST_CASE("the silence of owners alone leads to no claim") {
  ProxyDriver driver;
  driver.Feed(session::InstancesRead{ForwardingFleet()});
  driver.OpenSession(1, "claims");
  for (int n = 0; n < 120; ++n) {
    if (n % 10 == 0) driver.Query(1, Verb::kWrite, {}, "item data");
    driver.AdvanceTime(Milliseconds(25));
    // Owners accept no connections; the servers themselves do.
    for (const auto& [id, server] : std::exchange(driver.opening, {})) {
      const bool shared = driver.share_addresses.contains(id);
      if (!shared) driver.server_of[id] = server;
      driver.Feed(session::ServerConnected{
          id, shared ? ErrorCode::kOther : ErrorCode::kNone, Position{1, 0}});
    }
    driver.AnswerAll({});
  }
  CHECK(driver.claims.empty());
}

TEST_CASE("a server that refuses direct connections as full is not lost") {
  ProxyDriver driver;
  driver.Feed(session::InstancesRead{ForwardingFleet()});
  driver.OpenSession(1, "claims");
  for (int n = 0; n < 120; ++n) {
    if (n % 10 == 0) driver.Query(1, Verb::kWrite, {}, "item data");
    driver.AdvanceTime(Milliseconds(25));
    for (const auto& [id, server] : std::exchange(driver.opening, {})) {
      const bool shared = driver.share_addresses.contains(id);
      driver.Feed(session::ServerConnected{
          id, shared ? ErrorCode::kOther : ErrorCode::kTooMany, {}});
    }
  }
  CHECK(driver.claims.empty());
}

TEST_CASE("an owner runs another instance's command with its values") {
  OwnerFixture it;
  REQUIRE(it.driver.peer_answers.size() == 1);
  it.driver.sent.clear();
  it.driver.all_sent.clear();
  it.driver.Feed(PeerCommand{1, Command(Verb::kSet, {}, "a", "1")});
  it.driver.Feed(PeerCommand{1, Command(Verb::kPrepareRead, {}, "r_q1", "q1")});
  CHECK(it.driver.peer_answers.size() == 3);
  it.driver.Feed(PeerCommand{1, Command(Verb::kExecute, "x", "r_q1", "item")});
  it.driver.AnswerSetup();
  CHECK(it.driver.VerbsOn(it.driver.sent.front().connection) ==
        std::vector{Verb::kSet, Verb::kPrepareRead, Verb::kExecute});
  const Reply own = it.driver.AnswerFirst();
  REQUIRE(it.driver.peer_answers.size() == 4);
  CHECK(it.driver.peer_answers.back().reply.receipt == own.receipt);
}

// Guards against a server whose restart another instance doesn't learn of, and
// against a client's row that gets a field more.
TEST_CASE("an owner adds the running time to a status, and only there") {
  OwnerFixture it;
  const std::string row = "replica 1 1.10 0 0 1 3";
  it.driver.keeps_order = true;
  it.driver.sent.clear();
  const auto run = [&](Verb verb, const std::string& id) {
    it.driver.Feed(PeerCommand{1, Command(verb, id, {}, "item")});
    if (verb != Verb::kStatus) it.driver.AnswerSetup();
    REQUIRE(it.driver.sent.size() == 1);
    const SendCommand command = it.driver.sent.front();
    it.driver.sent.clear();
    Reply reply = it.driver.Run(command, {1, 10});
    reply.rows = {row};
    it.driver.Answer(command.connection, reply);
    REQUIRE(it.driver.peer_answers.back().reply.rows == reply.rows);
    return it.driver.peer_answers.back().reply.running_for;
  };
  CHECK_FALSE(run(Verb::kRead, "x"));
  const TimePoint connected{std::chrono::seconds(100)};
  const auto first = run(Verb::kStatus, {});
  REQUIRE(first);
  CHECK(*first > Duration(0));
  CHECK(*first <= it.driver.now - connected);
  CHECK_FALSE(run(Verb::kRead, "y"));
}

// Guards against the same after a restart, which the owner's connections show.
TEST_CASE("an owner tells a running time from after a server's restart") {
  OwnerFixture it;
  std::set<ConnectionId> lost;
  for (const auto& [id, server] : it.driver.server_of) {
    if (server == "b") lost.insert(id);
  }
  it.driver.AdvanceTime(std::chrono::seconds(1));
  const TimePoint restarted = it.driver.now;
  for (const ConnectionId id : lost) {
    it.driver.server_of.erase(id);
    it.driver.Feed(session::ServerConnectionLost{id});
  }
  for (int n = 0; n < 40; ++n) {
    it.driver.AdvanceTime(Milliseconds(25));
    it.driver.CompleteConnects();
    it.driver.AnswerAll({});
  }
  it.driver.Feed(PeerOpened{7, "books", "b"});
  it.driver.Feed(PeerCommand{7, Command(Verb::kStatus)});
  REQUIRE(it.driver.peer_answers.back().peer == 7);
  REQUIRE(it.driver.peer_answers.back().reply.status);
  const auto running_for = it.driver.peer_answers.back().reply.running_for;
  REQUIRE(running_for);
  CHECK(*running_for <= it.driver.now - restarted);
}

// Guards against another instance's names at the server: it would drop a name
// that this connection doesn't have, and run unknown ones.
TEST_CASE("an owner maps another instance's names to its connection's") {
  OwnerFixture it;
  it.driver.sent.clear();
  it.driver.Feed(PeerOpened{2, "books", "b"});
  for (const session::PeerId peer : {1, 2}) {
    const std::string shape = peer == 1 ? "q1" : "q1 READ cn";
    it.driver.Feed(
        PeerCommand{peer, Command(Verb::kPrepareRead, {}, "p1", shape)});
    it.driver.Feed(PeerCommand{
        peer,
        Command(Verb::kExecute, "x" + std::to_string(peer), "p1", "item")});
    REQUIRE(it.driver.SentVerbs() == std::vector{Verb::kPrepareRead});
    const Statement prepare = it.driver.sent.front().command.statement;
    CHECK(prepare.text == shape);
    it.driver.AnswerSetup();
    REQUIRE(it.driver.SentVerbs() == std::vector{Verb::kExecute});
    CHECK(prepare.name == it.driver.sent.back().command.statement.name);
    it.driver.AnswerFirst();
  }
  // Dropped names are the forwarding instance's.
  it.driver.Feed(PeerCommand{1, Command(Verb::kForget, {}, "p1")});
  CHECK(it.driver.peer_answers.back().reply.error == ErrorCode::kNone);
  it.driver.Feed(PeerCommand{1, Command(Verb::kForget, {}, "p1")});
  CHECK(it.driver.peer_answers.back().reply.error == ErrorCode::kNoStatement);
  it.driver.Feed(PeerCommand{1, Command(Verb::kExecute, "y", "p1", "item")});
  CHECK(it.driver.peer_answers.back().reply.error == ErrorCode::kNoStatement);
  CHECK(it.driver.sent.empty());
}

TEST_CASE("an owner bounds what another instance sets up") {
  OwnerFixture it;
  it.driver.sent.clear();
  const auto refused_at = [&](Verb verb) {
    std::size_t n = 0;
    while (n < 10'000) {
      it.driver.Feed(
          PeerCommand{1, Command(verb, {}, "n" + std::to_string(n), "text")});
      if (it.driver.peer_answers.back().reply.error != ErrorCode::kNone) break;
      ++n;
    }
    return n;
  };
  CHECK(refused_at(Verb::kPrepareRead) ==
        session::ConnectionState::kMaxPreparedStatements);
  CHECK(refused_at(Verb::kSet) == session::ProxyOptions().max_session_values);
  CHECK(it.driver.sent.empty());
}

TEST_CASE("a forwarded transaction keeps its connection until it ends") {
  OwnerFixture it;
  it.driver.sent.clear();
  it.driver.Feed(PeerCommand{1, Command(Verb::kBeginRead)});
  REQUIRE(it.driver.sent.size() == 1);
  const ConnectionId connection = it.driver.sent.front().connection;
  it.driver.AnswerFirst();
  it.driver.Feed(PeerOpened{2, "books", "b"});
  it.driver.Feed(PeerCommand{2, Command(Verb::kRead, "y", {}, "item")});
  it.driver.CompleteConnects();
  for (const auto& command : it.driver.sent) {
    CHECK(command.connection != connection);
  }
  it.driver.Feed(PeerCommand{1, Command(Verb::kRead, "x", {}, "item")});
  CHECK(it.driver.sent.back().connection == connection);
}

TEST_CASE("the connection of an instance lost in a command is not reused") {
  OwnerFixture it;
  it.driver.sent.clear();
  it.driver.Feed(PeerCommand{1, Command(Verb::kRead, "x", {}, "item")});
  REQUIRE(it.driver.sent.size() == 1);
  const ConnectionId connection = it.driver.sent.front().connection;
  it.driver.Feed(PeerClosed{1});
  it.driver.AdvanceTime(Milliseconds(100));
  it.driver.CompleteConnects();
  it.driver.Feed(PeerOpened{2, "books", "b"});
  it.driver.Feed(PeerCommand{2, Command(Verb::kRead, "y", {}, "item")});
  for (const auto& command : it.driver.sent) {
    CHECK(command.connection != connection);
  }
}

TEST_CASE("a command whose server connection is lost is not answered") {
  OwnerFixture it;
  it.driver.sent.clear();
  it.driver.Feed(PeerCommand{1, Command(Verb::kWrite, "x", {}, "item data")});
  REQUIRE(it.driver.sent.size() == 1);
  const std::size_t answered = it.driver.peer_answers.size();
  it.driver.Feed(
      session::ServerConnectionLost{it.driver.sent.front().connection});
  CHECK(it.driver.peer_answers.size() == answered);
  REQUIRE(it.driver.peers_closed.size() == 1);
  CHECK(it.driver.peers_closed.front().peer == 1);
}

TEST_CASE("an owner without room refuses at once or after a bounded wait") {
  OwnerFixture it;
  session::ProxyOptions options;
  for (session::PeerId id = 10; id < 60; ++id) {
    it.driver.Feed(PeerOpened{id, "books", "b"});
    it.driver.Feed(
        PeerCommand{id, Command(Verb::kRead, std::to_string(id), {}, "item")});
  }
  const auto refused = [&] {
    return std::count_if(it.driver.peer_answers.begin(),
                         it.driver.peer_answers.end(), [](const auto& answer) {
                           return answer.reply.error == ErrorCode::kBusy;
                         });
  };
  CHECK(refused() > 0);
  it.driver.AdvanceTime(options.peer_wait + Milliseconds(50));
  CHECK(refused() >= 40);
}

TEST_CASE("planned stop under load: instances are told before anything runs") {
  OwnerFixture it;
  it.driver.Feed(PeerOpened{2, "books", "b"});
  it.driver.sent.clear();
  it.driver.Feed(PeerCommand{2, Command(Verb::kRead, "y", {}, "item")});
  it.driver.Feed(session::StopRequested{std::chrono::seconds(6)});
  it.driver.AdvanceTime(Milliseconds(50));
  REQUIRE(it.driver.peer_answers.back().reply.error == ErrorCode::kTooMany);
  CHECK(it.driver.peer_answers.back().peer == 1);
  // What arrives after the notice is not run.
  const std::size_t sent = it.driver.sent.size();
  it.driver.Feed(PeerCommand{1, Command(Verb::kWrite, "x", {}, "item data")});
  CHECK(it.driver.sent.size() == sent);
  // What ran is answered before its instance is told.
  it.driver.AnswerFirst();
  CHECK(it.driver.peer_answers.back().peer == 2);
  CHECK(it.driver.peer_answers.back().reply.error == ErrorCode::kNone);
  it.driver.AdvanceTime(Milliseconds(50));
  CHECK(it.driver.peer_answers.back().reply.error == ErrorCode::kTooMany);
}

TEST_CASE("a statement that an owner did not run before it left is repeated") {
  ProxyDriver driver;
  driver.Feed(session::InstancesRead{ForwardingFleet()});
  for (int n = 0; n < 10; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnects();
    driver.AnswerAll({});
  }
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  const auto write = std::find_if(
      driver.sent.begin(), driver.sent.end(),
      [](const SendCommand& it) { return !it.command.id.empty(); });
  REQUIRE(write != driver.sent.end());
  const ConnectionId connection = write->connection;
  Reply notice;
  notice.error = ErrorCode::kTooMany;
  driver.sent.erase(write);
  driver.Feed(session::ServerReplied{connection, notice});
  driver.CompleteConnects();
  driver.AdvanceTime(Milliseconds(30));
  driver.CompleteConnects();
  const auto again = std::find_if(
      driver.sent.begin(), driver.sent.end(),
      [](const SendCommand& it) { return !it.command.id.empty(); });
  REQUIRE(again != driver.sent.end());
  CHECK(again->connection != connection);
}

TEST_CASE("all instances start at once: an owner opens one connection first") {
  ProxyDriver driver;
  driver.Feed(session::InstancesRead{OwningFleet()});
  driver.LoseAllConnections();
  driver.Feed(PeerOpened{1, "books", "b"});
  const auto opened = [&] {
    return std::count_if(driver.opening.begin(), driver.opening.end(),
                         [](const auto& it) { return it.second == "b"; });
  };
  for (session::PeerId id = 1; id < 9; ++id) {
    driver.Feed(PeerOpened{id, "books", "b"});
    driver.Feed(
        PeerCommand{id, Command(Verb::kRead, std::to_string(id), {}, "item")});
    driver.AdvanceTime(Milliseconds(25));
  }
  CHECK(opened() <= 1);
}

TEST_CASE("all instances start at once: owners are tried until one is up") {
  ProxyDriver driver;
  driver.Feed(session::InstancesRead{ForwardingFleet()});
  driver.OpenSession(1, "claims");
  const auto pass = [&](Duration time, bool owners_up) {
    for (Duration passed{0}; passed < time; passed += Milliseconds(25)) {
      driver.AdvanceTime(Milliseconds(25));
      for (const auto& [id, server] : std::exchange(driver.opening, {})) {
        const bool up = owners_up && driver.share_addresses.contains(id);
        if (up) driver.server_of[id] = server;
        const auto error = driver.share_addresses.contains(id)
                               ? ErrorCode::kOther
                               : ErrorCode::kTooMany;
        driver.Feed(session::ServerConnected{id, up ? ErrorCode::kNone : error,
                                             Position{1, 0}});
      }
      driver.AnswerAll({});
    }
  };
  driver.LoseAllConnections();
  pass(std::chrono::seconds(4), false);
  pass(Milliseconds(500), true);
  driver.Query(1, Verb::kWrite, {}, "item data");
  pass(Milliseconds(100), true);
  CHECK(driver.answers.back().reply.error == ErrorCode::kNone);
}

TEST_CASE("a command is forwarded at most once") {
  ProxyDriver driver;
  driver.Feed(session::InstancesRead{ForwardingFleet()});
  driver.Feed(PeerOpened{1, "books", "b"});
  REQUIRE(driver.peers_closed.size() == 1);
  CHECK(driver.peers_closed.front().error == ErrorCode::kTooMany);
}

TEST_CASE("a shared connection to an unknown server is refused") {
  OwnerFixture it;
  it.driver.Feed(PeerOpened{3, "books", "gone"});
  REQUIRE(it.driver.peers_closed.size() == 1);
  CHECK(it.driver.peers_closed.front().error == ErrorCode::kMisrouted);
}

// Guards against a promotion without a replica that serves but is not listed:
// instances that reach it only through others must not take it for silent.
TEST_CASE("a server that left the list but answers is reached through others") {
  ProxyDriver driver;
  driver.addresses = {{"c", "c:1"}};
  driver.ListServers({"a", "b", "c"});
  driver.CompleteConnects();
  driver.ListServers({"a", "b"});
  CHECK(driver.proxy.KnowsServerAt("c:1"));
  driver.Feed(PeerOpened{1, "books", "c"});
  CHECK(driver.peers_closed.empty());
  // One that neither answers nor returns is given up.
  for (int n = 0; n < 600; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnectsTo({"a", "b"});
    driver.AnswerAll({"c"});
  }
  CHECK_FALSE(driver.proxy.KnowsServerAt("c:1"));
  driver.Feed(PeerOpened{2, "books", "c"});
  CHECK_FALSE(driver.peers_closed.empty());
}

}  // namespace corianderdock::test
