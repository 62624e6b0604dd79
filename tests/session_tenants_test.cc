/// Tenants: clients' keys, and the connections over which statements of a
/// tenant run, on every path.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "corianderdock/session/client_keys.h"
#include "corianderdock/session/connection_owners.h"
#include "platform/documents.h"
#include "support/proxy_driver.h"
#include "support/session_world.h"

namespace corianderdock::test {

namespace {

using session::DigestOf;
using session::InstanceList;
using session::PeerCommand;
using session::PeerOpened;
using session::PlanTenantConnections;
using session::ServerCommand;
using Keys = std::map<std::string, TenantId>;  ///< key to tenant

constexpr int kReserved = 2;
constexpr std::uint64_t kSchedules = 40;

void FeedTenants(ProxyDriver& driver, std::uint64_t version, const Keys& keys) {
  auto config = std::make_shared<session::RoutingConfig>();
  config->version = version;
  config->transaction_idle_timeout = std::chrono::seconds(3);
  config->services["books"] = {16, 1};
  ProxyDriver::AddRoute(*config, "claims", Freshness::kPrimary);
  ProxyDriver::AddRoute(*config, "lookups", Freshness::kBoundedStaleness);
  ProxyDriver::AddRoute(*config, "open", Freshness::kPrimary);
  auto open = std::make_shared<session::Route>(*config->routes["open"]);
  open->open_access = true;
  config->routes["open"] = open;
  auto directory = std::make_shared<session::TenantDirectory>();
  for (const auto& [key, name] : keys) {
    session::Tenant& tenant = directory->tenants[name];
    tenant.id = name;
    directory->holders[DigestOf(key)] = &tenant;
  }
  config->tenants = directory;
  driver.Feed(session::ConfigRead{config});
}

const Keys kKeys = {{"ka", "acme"}, {"kt", "tiny"}};

void Open(ProxyDriver& driver, session::SessionId id, const std::string& key,
          const std::string& database = "claims") {
  driver.Feed(session::SessionOpened{id, database, DigestOf(key),
                                     session::FingerprintOf(key)});
}

ServerCommand Command(Verb verb, const std::string& id = {},
                      const std::string& name = {},
                      const std::string& text = {}) {
  ServerCommand command;
  command.id = id;
  command.statement = Statement{verb, name, text};
  return command;
}

/// The connection over which a statement was sent; 0 if it was not.
ConnectionId SentOver(const ProxyDriver& driver, const std::string& id) {
  for (const auto& it : driver.all_sent) {
    if (it.command.id == id) return it.connection;
  }
  return 0;
}

void Settle(ProxyDriver& driver, int steps = 20) {
  for (int n = 0; n < steps; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnects();
    driver.AnswerAll({});
  }
}

InstanceList Fleet(int owners) {
  InstanceList list;
  list["self"] = {"zone", "", "self"};
  for (int n = 0; n < owners; ++n) {
    const InstanceId id = "o" + std::to_string(n);
    list[id] = {"zone", "", id};
  }
  return list;
}

/// The only instance that shares connections.
struct OwnerFixture {
  /// Adaptive routing would begin with one command at a time.
  static session::ProxyOptions FixedLimits() {
    session::ProxyOptions options;
    options.adaptive_routing = false;
    return options;
  }
  OwnerFixture() : driver(FixedLimits()) {
    FeedTenants(driver, 2, kKeys);
    driver.Feed(session::InstancesRead{Fleet(0)});
    driver.AdvanceTime(session::ProxyOptions().stale_connection_time);
    Settle(driver);
    Join(1, "acme");
    driver.sent.clear();
    driver.all_sent.clear();
  }
  void Join(session::PeerId id, const TenantId& tenant) {
    driver.Feed(PeerOpened{id, "books", "b"});
    driver.Feed(PeerCommand{id, Command(Verb::kTenant, {}, tenant)});
  }
  void Read(session::PeerId id, const std::string& statement) {
    driver.Feed(PeerCommand{id, Command(Verb::kRead, statement, {}, "item")});
  }
  ProxyDriver driver;
};

}  // namespace

TEST_CASE("a session needs a key that a tenant holds, if there are tenants") {
  ProxyDriver driver;
  Open(driver, 1, "any");
  CHECK(driver.closed.empty());
  FeedTenants(driver, 2, kKeys);
  Open(driver, 2, "unknown");
  REQUIRE(driver.closed.size() == 1);
  CHECK(driver.closed.back().session == 2);
  CHECK(driver.closed.back().error == ErrorCode::kNotAuthorized);
  Open(driver, 3, "ka");
  Open(driver, 4, "unknown", "open");
  CHECK(driver.closed.size() == 1);
  // The session that was opened before needs one as well.
  driver.Query(1, Verb::kRead, {}, "item");
  CHECK(driver.closed.size() == 2);
  CHECK(driver.closed.back().session == 1);
}

// Guards against a commit under a key that was revoked in its transaction.
TEST_CASE("a withdrawn key ends the session and rolls back its transaction") {
  ProxyDriver driver;
  FeedTenants(driver, 2, kKeys);
  Open(driver, 1, "ka");
  driver.Query(1, Verb::kBegin);
  driver.Query(1, Verb::kWrite, {}, "item data");
  Settle(driver);
  REQUIRE(driver.answers.back().reply.state == TransactionState::kOpen);
  const std::string write = std::to_string(driver.statements);
  const ConnectionId connection = SentOver(driver, write);
  REQUIRE(connection != 0);
  FeedTenants(driver, 3, {{"kt", "tiny"}});
  driver.Query(1, Verb::kCommit);
  REQUIRE(driver.closed.size() == 1);
  CHECK(driver.closed.back().error == ErrorCode::kNotAuthorized);
  CHECK(driver.VerbsOn(connection).back() == Verb::kRollback);
  CHECK(SentOver(driver, std::to_string(driver.statements)) == 0);
}

TEST_CASE("a transaction doesn't continue when its key changes the tenant") {
  ProxyDriver driver;
  FeedTenants(driver, 2, kKeys);
  Open(driver, 1, "ka");
  driver.Query(1, Verb::kBegin);
  driver.Query(1, Verb::kWrite, {}, "item data");
  Settle(driver);
  FeedTenants(driver, 3, {{"ka", "tiny"}});
  driver.Query(1, Verb::kWrite, {}, "item data");
  CHECK(driver.answers.back().reply.error == ErrorCode::kAborted);
  driver.Query(1, Verb::kCommit);
  CHECK(driver.answers.back().reply.error == ErrorCode::kAborted);
  driver.Query(1, Verb::kWrite, {}, "item data");
  Settle(driver);
  const auto connection = SentOver(driver, std::to_string(driver.statements));
  CHECK(driver.tenants[connection] == "tiny");
}

TEST_CASE("statements run over connections of their tenant only") {
  ProxyDriver driver;
  FeedTenants(driver, 2, kKeys);
  const std::vector<std::pair<std::string, std::string>> sessions = {
      {"ka", "claims"},
      {"kt", "claims"},
      {"ka", "lookups"},
      {"kt", "lookups"},
      {"none", "open"}};
  for (int round = 0; round < 3; ++round) {
    session::SessionId id = 0;
    for (const auto& [key, database] : sessions) {
      if (round == 0) Open(driver, id, key, database);
      driver.Query(id++, Verb::kRead, {}, "item");
      const std::string statement = std::to_string(driver.statements);
      Settle(driver);
      const ConnectionId connection = SentOver(driver, statement);
      REQUIRE(connection != 0);
      const TenantId tenant = kKeys.contains(key) ? kKeys.at(key) : TenantId();
      CHECK(driver.tenants[connection] == tenant);
    }
  }
}

TEST_CASE("without tenants, connections and commands are as before") {
  ProxyDriver driver;
  driver.Feed(session::InstancesRead{Fleet(40)});
  Settle(driver);
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  Settle(driver);
  CHECK(std::all_of(driver.tenants.begin(), driver.tenants.end(),
                    [](const auto& it) { return it.second.empty(); }));
  CHECK(std::none_of(driver.all_sent.begin(), driver.all_sent.end(),
                     [](const auto& it) {
                       return it.command.statement.verb == Verb::kTenant;
                     }));
}

TEST_CASE("the tenant is sent ahead of a statement when it differs") {
  ProxyDriver driver;
  FeedTenants(driver, 2, kKeys);
  InstanceList fleet = Fleet(40);
  fleet["self"] = {"other", "", ""};
  driver.Feed(session::InstancesRead{fleet});
  Settle(driver);
  std::map<ConnectionId, TenantId> current;
  const auto check = [&](session::SessionId id, const TenantId& tenant) {
    driver.all_sent.clear();
    driver.Query(id, Verb::kWrite, {}, "item data");
    const std::string statement = std::to_string(driver.statements);
    Settle(driver);
    bool found = false;
    for (const auto& it : driver.all_sent) {
      CHECK(driver.share_addresses.contains(it.connection));
      const Statement& sent = it.command.statement;
      if (sent.verb == Verb::kTenant) {
        CHECK(current[it.connection] != sent.name);
        current[it.connection] = sent.name;
      }
      if (it.command.id != statement) continue;
      found = true;
      CHECK(current[it.connection] == tenant);
    }
    CHECK(found);
  };
  // The connections exist and have carried commands of the proxy itself.
  for (const auto& it : driver.all_sent) {
    const Statement& sent = it.command.statement;
    if (sent.verb == Verb::kTenant) current[it.connection] = sent.name;
  }
  Open(driver, 1, "ka");
  Open(driver, 2, "kt");
  Open(driver, 3, "none", "open");
  for (int n = 0; n < 3; ++n) {
    check(1, "acme");
    check(2, "tiny");
    check(3, "");
    check(2, "tiny");
  }
}

TEST_CASE("an owner runs a command over a connection of its tenant") {
  OwnerFixture it;
  it.Read(1, "x");
  it.driver.CompleteConnects();
  it.Join(2, "tiny");
  it.Read(2, "y");
  it.driver.CompleteConnects();
  REQUIRE(SentOver(it.driver, "x") != 0);
  REQUIRE(SentOver(it.driver, "y") != 0);
  CHECK(it.driver.tenants[SentOver(it.driver, "x")] == "acme");
  CHECK(it.driver.tenants[SentOver(it.driver, "y")] == "tiny");
}

TEST_CASE("a command that waits for a connection doesn't hold up others") {
  OwnerFixture it;
  it.Read(1, "x");
  it.driver.CompleteConnects();
  it.driver.AnswerFirst();
  it.Join(2, "tiny");
  it.Read(2, "y");
  CHECK(SentOver(it.driver, "y") == 0);
  // The connection is being opened without any time passing.
  REQUIRE_FALSE(it.driver.opening.empty());
  CHECK(it.driver.tenants[it.driver.opening.back().first] == "tiny");
  it.Read(1, "z");
  CHECK(SentOver(it.driver, "z") == SentOver(it.driver, "x"));
}

// Guards against a statement under the tenant of the one before, or under none.
TEST_CASE("an owner runs nothing after a TENANT that can't take effect") {
  OwnerFixture it;
  SECTION("in a transaction") {
    it.driver.Feed(PeerCommand{1, Command(Verb::kBeginRead)});
    it.driver.CompleteConnects();
    it.driver.AnswerFirst();
    it.driver.Feed(PeerCommand{1, Command(Verb::kTenant, {}, "tiny")});
  }
  SECTION("for commands of the instance itself") {
    it.driver.Feed(PeerCommand{
        1, Command(Verb::kTenant, {}, std::string(session::kOwnCommands))});
    it.driver.Feed(PeerCommand{1, Command(Verb::kStatus)});
    CHECK(it.driver.peers_closed.empty());
    Settle(it.driver, 1);
  }
  it.Read(1, "x");
  it.driver.CompleteConnects();
  Settle(it.driver, 4);
  CHECK(it.driver.peers_closed.size() == 1);
  CHECK(SentOver(it.driver, "x") == 0);
}

TEST_CASE("all instances use one order of owners, within the limit") {
  session::ServerEntry server;
  server.id = "s";
  server.zone = "zone";
  server.slots = 4;
  for (const int limit : {1, 2, 46, 70, 78}) {
    const auto plan =
        PlanTenantConnections(server, limit, kReserved, Fleet(25));
    CHECK(plan.one_active);
    CHECK(static_cast<int>(plan.owners.size()) * plan.connections <= limit);
    CHECK(plan.starting_connections <= plan.connections);
  }
  const auto plan = PlanTenantConnections(server, 70, kReserved, Fleet(25));
  CHECK(plan.owners.size() == 2);
  CHECK(plan.connections == 28);
  CHECK(plan.starting_connections == 7);
  // The second owner becomes the first, and another one the second.
  InstanceList rest = Fleet(25);
  rest.erase(plan.owners.front());
  CHECK(PlanTenantConnections(server, 70, kReserved, rest).owners.front() ==
        plan.owners.back());
}

TEST_CASE("larger instances own more servers") {
  InstanceList fleet = Fleet(20);
  for (auto& [id, entry] : fleet) entry.processor_share = 0.1;
  fleet["o3"].processor_share = 0.5;
  int first = 0;
  constexpr int kServers = 2000;
  for (int n = 0; n < kServers; ++n) {
    session::ServerEntry server;
    server.id = "s" + std::to_string(n);
    server.zone = "zone";
    const auto plan = PlanTenantConnections(server, 70, kReserved, fleet);
    if (plan.owners.front() == "o3") ++first;
  }
  // Its weight is 5 of 25.
  CHECK(first > kServers / 5 - 100);
  CHECK(first < kServers / 5 + 100);
}

TEST_CASE("the second owner takes over and gives back") {
  session::ServerEntry server;
  server.zone = "zone";
  server.slots = 2;
  InstanceList fleet;
  ServerId stood_in;
  // A fleet in which this instance is the second owner of a server.
  for (int n = 1; n < 40 && stood_in.empty(); ++n) {
    fleet = Fleet(n);
    for (const char* id : {"a", "b", "c"}) {
      server.id = id;
      const auto plan = PlanTenantConnections(server, 16, kReserved, fleet);
      if (plan.owners.back() == "self") stood_in = id;
    }
  }
  REQUIRE_FALSE(stood_in.empty());
  ProxyDriver driver;
  FeedTenants(driver, 2, kKeys);
  driver.Feed(session::InstancesRead{fleet});
  driver.AdvanceTime(session::ProxyOptions().stale_connection_time);
  Settle(driver);
  driver.Feed(PeerOpened{1, "books", stood_in});
  CHECK(driver.peers_closed.empty());
  driver.Feed(PeerCommand{1, Command(Verb::kTenant, {}, "tiny")});
  driver.Feed(PeerCommand{1, Command(Verb::kRead, "x", {}, "item")});
  driver.CompleteConnects();
  const ConnectionId connection = SentOver(driver, "x");
  REQUIRE(connection != 0);
  CHECK_FALSE(driver.share_addresses.contains(connection));
  CHECK(driver.tenants[connection] == "tiny");
  Settle(driver, 200);
  CHECK(driver.peers_closed.empty());
  driver.Feed(session::PeerClosed{1});
  Settle(driver, 200);
  CHECK(driver.connections_closed.contains(connection));
}

TEST_CASE("instances that reach no owner use at most one connection each") {
  ProxyDriver driver;
  FeedTenants(driver, 2, kKeys);
  InstanceList fleet = Fleet(40);
  fleet["self"] = {"other", "", ""};
  driver.Feed(session::InstancesRead{fleet});
  driver.LoseAllConnections();
  Open(driver, 1, "ka");
  Open(driver, 2, "kt");
  int done = 0;
  for (int n = 0; n < 300; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    for (const auto& [id, server] : std::exchange(driver.opening, {})) {
      const bool shared = driver.share_addresses.contains(id);
      if (!shared) driver.server_of[id] = server;
      driver.Feed(session::ServerConnected{
          id, shared ? ErrorCode::kOther : ErrorCode::kNone, Position{1, 0}});
    }
    driver.AnswerAll({});
    if (n % 20 == 10)
      driver.Feed(session::StatementReceived{
          1 + static_cast<session::SessionId>(n / 20 % 2),
          std::to_string(1000 + n),
          {Verb::kWrite, {}, "item data"}});
    std::map<ServerId, int> direct;
    for (const auto& [id, server] : driver.server_of) {
      if (!driver.connections_closed.contains(id)) ++direct[server];
    }
    for (const auto& [server, count] : direct) CHECK(count <= 2);
  }
  for (const auto& it : driver.all_sent) {
    if (it.command.id.empty()) continue;
    const bool large = std::stoi(it.command.id) / 20 % 2 == 0;
    CHECK(driver.tenants[it.connection] == (large ? "acme" : "tiny"));
    ++done;
  }
  CHECK(done > 3);
}

TEST_CASE("no schedule with tenants violates a guarantee") {
  WorldResult total;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    WorldOptions options;
    options.seed = seed;
    options.tenants = 5;
    const WorldResult result = RunSessionSchedule(options);
    INFO("seed " << seed);
    if (!result.violations.empty()) FAIL_CHECK(result.violations.front());
    total.succeeded += result.succeeded;
    total.promotions += result.promotions;
  }
  CHECK(total.succeeded > 0);
  CHECK(total.promotions > 0);
}

TEST_CASE("unusable tenants, and keys of several, are left out and named") {
  const auto decode = [](const std::string& tenants) {
    return std::get<0>(platform::DecodeConfig(
        R"({"version":3,"routes":[],"backends":[])" + tenants + "}"));
  };
  CHECK(decode("")->tenants == nullptr);
  CHECK(decode(R"(,"tenants":[])")->tenants == nullptr);
  const auto config = decode(
      R"(,"tenants":[{"name":"a","api_keys":["k1","k2","both"],)"
      R"("rate_per_s":9.5,"burst":20,"priority":1},)"
      R"({"name":"b","api_keys":["both","k3"]},{"name":"b","api_keys":["k4"]},)"
      R"({"name":"c d","api_keys":["k5"]},{"name":"-","api_keys":["k6"]},)"
      R"({"name":"e","api_keys":[7]},{"name":"f"},7,)"
      R"({"name":"g","api_keys":["k7"],"burst":-1}])");
  REQUIRE(config->tenants);
  const auto holder = [&](const std::string& key) {
    return session::TenantOf(*config, nullptr, DigestOf(key));
  };
  CHECK(holder("k1") == "a");
  CHECK(holder("k2") == "a");
  CHECK(holder("k3") == "b");
  for (const char* key : {"both", "k4", "k5", "k6", "k7", "7", ""}) {
    CHECK_FALSE(holder(key));
  }
  const session::Tenant& a = config->tenants->tenants.at("a");
  CHECK(a.rate_per_s == 9.5);
  CHECK(a.burst == 20);
  CHECK(a.priority == 1);
  CHECK(config->tenants->tenants.size() == 2);
  CHECK(config->tenants->rejected.size() == 8);
  // Only unusable ones: no key is accepted. Not a list: the last one stays.
  CHECK(decode(R"(,"tenants":[7])")->tenants != nullptr);
  CHECK(std::holds_alternative<session::ConfigRejection>(platform::DecodeConfig(
      R"({"version":3,"routes":[],"backends":[],"tenants":{}})")));
}

TEST_CASE("a malformed document shows none of its text") {
  const auto decoded = platform::DecodeConfig(
      R"({"version":3,"tenants":[{"api_keys":[12e-secret,"x]}]})");
  const auto& rejection = std::get<session::ConfigRejection>(decoded);
  CHECK(rejection.reason.find("secret") == std::string::npos);
  CHECK(rejection.reason.find("12e") == std::string::npos);
}

}  // namespace corianderdock::test
