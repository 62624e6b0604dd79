/// Member records: servers that may hold acknowledged commits, kept in the
/// store for instances that start after a server left the list.
#include <catch2/catch.hpp>
#include <set>

#include "corianderdock/session/member_record.h"
#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

using session::DecodeMembers;
using session::EncodeMembers;
using session::MemberRecord;
using session::MemberRecorder;
using session::ServerEntry;
using session::ServerList;

ServerEntry Entry(const ServerId& id, const std::string& address) {
  ServerEntry entry;
  entry.id = id;
  entry.service = "books";
  entry.address = address;
  entry.zone = "z";
  entry.slots = 3;
  return entry;
}

ServerList Servers(const std::vector<ServerId>& ids) {
  ServerList servers;
  for (const auto& id : ids) servers[id] = Entry(id, id + ":1");
  return servers;
}

/// Calls to the store by a fleet after a server was added to a service.
struct Calls {
  int reads = 0;
  int writes = 0;
  std::uint64_t revision = 0;  ///< of the record in the end
};

/// Plays `instances` of which the first `silent` in rank reach no store. Stale
/// reads return the record as it was `stale` ago.
Calls PlayFleet(int instances, int silent, Duration stale) {
  std::vector<MemberRecorder> fleet(static_cast<std::size_t>(instances));
  MemberRecord stored{1, Servers({"a", "b"}), {}, 0};
  TimePoint stored_at;
  MemberRecord before = stored;
  for (auto& it : fleet) it.OnRecord(stored, {});
  Calls calls;
  MemberRecorder::Situation situation;
  situation.required = Servers({"a", "b", "c"});
  const TimePoint start{std::chrono::seconds(100)};
  for (Duration passed{0}; passed < std::chrono::seconds(20);
       passed += Milliseconds(100)) {
    situation.now = start + passed;
    for (int rank = 0; rank < instances; ++rank) {
      situation.rank = rank;
      MemberRecorder& it = fleet[static_cast<std::size_t>(rank)];
      const auto step = it.Next(situation);
      if (step == MemberRecorder::Step::kNone) continue;
      const bool write = step == MemberRecorder::Step::kWrite;
      ++(write ? calls.writes : calls.reads);
      if (rank < silent) continue;
      if (!write) {
        it.OnRecord(situation.now - stored_at >= stale ? stored : before,
                    situation.now);
        continue;
      }
      MemberRecord record = it.Replacement(situation);
      if (record.revision == stored.revision) {
        before = stored;
        stored = std::move(record);
        ++stored.revision.number;
        stored_at = situation.now;
      }
      it.OnRecord(stored, situation.now);
    }
  }
  calls.revision = stored.revision.number;
  return calls;
}

}  // namespace

TEST_CASE("a record is read back as it was written") {
  MemberRecord record{0, Servers({"a", "b"}), "b", 7};
  CHECK(DecodeMembers("books", EncodeMembers(record)) == record);
  record.order_end = Position{3, 12};
  record.superseded = {"c"};
  record.order_renewals = 2;
  CHECK(DecodeMembers("books", EncodeMembers(record)) == record);
  CHECK(DecodeMembers("books", EncodeMembers({})) == MemberRecord{});
}

TEST_CASE("text that is no record is not taken for an empty one") {
  for (const char* text : {"", "7", "[]", "{}", R"({"servers":{}})", "{\"serv"})
    CHECK_FALSE(DecodeMembers("books", text));
  CHECK_FALSE(DecodeMembers("books", std::string(200'000, '[')));
  const auto partly = DecodeMembers(
      "books", R"({"servers":[7,{"id":3},{"id":"a","address":"a:1"},null]})");
  REQUIRE(partly);
  CHECK(partly->servers.size() == 1);
}

TEST_CASE("a server that joins: one instance of hundreds writes the record") {
  const Calls calls = PlayFleet(410, 0, Duration(0));
  CHECK(calls.writes == 1);
  CHECK(calls.reads <= 410);
  CHECK(calls.revision == 2);
}

TEST_CASE("a server that joins: reads may be stale for two seconds") {
  const Calls calls = PlayFleet(410, 0, std::chrono::seconds(2));
  CHECK(calls.writes == 1);
  CHECK(calls.reads <= 2 * 410);
}

TEST_CASE("a server that joins: the next rank writes if the first can't") {
  const Calls calls = PlayFleet(410, 3, Duration(0));
  CHECK(calls.revision == 2);
  CHECK(calls.writes < 100);
}

TEST_CASE("nothing is read or written while the members stay the same") {
  MemberRecorder recorder;
  recorder.OnRecord({3, Servers({"a", "b"}), {}, 0}, {});
  MemberRecorder::Situation situation;
  situation.required = Servers({"a", "b"});
  for (int n = 0; n < 1000; ++n) {
    situation.now += std::chrono::milliseconds(100);
    CHECK(recorder.Next(situation) == MemberRecorder::Step::kNone);
  }
}

TEST_CASE("an obsolete server leaves with the next change, or after a minute") {
  MemberRecorder recorder;
  recorder.OnRecord({3, Servers({"a", "b", "gone"}), {}, 0}, {});
  MemberRecorder::Situation situation;
  situation.now = TimePoint{std::chrono::seconds(100)};
  situation.required = Servers({"a", "b"});
  situation.obsolete = {"gone"};
  CHECK(recorder.Next(situation) == MemberRecorder::Step::kNone);
  CHECK(recorder.Replacement(situation).servers == Servers({"a", "b"}));
  situation.now += std::chrono::seconds(61);
  CHECK(recorder.Next(situation) == MemberRecorder::Step::kWrite);
}

TEST_CASE("a record is bounded and keeps the servers that it must name") {
  std::vector<ServerId> many;
  for (std::size_t n = 0; n < 2 * session::kMaxMembers; ++n) {
    many.push_back("x" + std::to_string(n));
  }
  MemberRecorder recorder;
  recorder.OnRecord({3, Servers(many), {}, 0}, {});
  MemberRecorder::Situation situation;
  situation.required = Servers({"a", "z"});
  const auto servers = recorder.Replacement(situation).servers;
  CHECK(servers.size() == session::kMaxMembers);
  CHECK(servers.contains("a"));
  CHECK(servers.contains("z"));
}

TEST_CASE("an order is removed from the record once it can't be executed") {
  MemberRecorder recorder;
  const TimePoint read{std::chrono::seconds(50)};
  recorder.OnRecord({3, Servers({"a", "b"}), "b", 7}, read);
  CHECK(recorder.order_known_since() == read);
  MemberRecorder::Situation situation;
  situation.now = TimePoint{std::chrono::seconds(100)};
  situation.required = Servers({"a", "b"});
  situation.rank = 5;
  CHECK(recorder.Next(situation) == MemberRecorder::Step::kNone);
  situation.order_expired = true;
  CHECK(recorder.Next(situation) == MemberRecorder::Step::kWrite);
  CHECK(recorder.Replacement(situation).ordered.empty());
  // Another record of the same order doesn't make it a later one.
  recorder.OnRecord({4, Servers({"a", "b"}), "b", 7}, situation.now);
  CHECK(recorder.order_known_since() == read);
  // A repeated order is recorded again.
  MemberRecord repeated{5, Servers({"a", "b"}), "b", 7};
  repeated.order_renewals = 1;
  recorder.OnRecord(repeated, situation.now);
  CHECK(recorder.order_known_since() == situation.now);
}

TEST_CASE("an older answer of the store doesn't replace a newer record") {
  MemberRecorder recorder;
  recorder.OnRecord({5, Servers({"a", "b"}), {}, 0}, {});
  recorder.OnRecord({4, Servers({"a"}), {}, 0}, {});
  CHECK(recorder.record().revision == 5);
}

// Guards against the promotion of a replica that lacks commits of another one
// which serves but had left the list before this instance started.
TEST_CASE("a replica that only the member record names is fenced") {
  ProxyDriver driver({}, "self", false, {"a", "b"});
  driver.Feed(session::MembersRead{{}, true});
  driver.RecordMembers({"a", "b", "c"});
  driver.OpenSession(1, "claims");
  for (int n = 0; n < 100; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnects();
    driver.AnswerAll({});
  }
  driver.Query(1, Verb::kWrite, {}, "item data");
  std::set<ServerId> fenced;
  for (int n = 0; n < 60; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnectsTo({"b", "c"});
    for (const auto& it : std::exchange(driver.claims, {})) {
      CHECK(it.member_revision == driver.member_revision);
      driver.Feed(session::ClaimAnswered{it.service, 7, false});
    }
    for (const SendCommand& it : driver.sent) {
      if (it.command.statement.verb != Verb::kHold) continue;
      fenced.insert(driver.server_of[it.connection]);
    }
    driver.AnswerReplicas();
  }
  CHECK(fenced == std::set<ServerId>{"b", "c"});
}

TEST_CASE("nothing is promoted before the member records were read") {
  ProxyDriver driver({}, "self", false);
  const auto lose_primary = [&] {
    driver.OpenSession(1, "claims");
    driver.Query(1, Verb::kWrite, {}, "item data");
    driver.LoseAllConnections();
    for (int n = 0; n < 120; ++n) {
      driver.AdvanceTime(Milliseconds(25));
      driver.CompleteConnectsTo({"b", "c"});
      driver.AnswerReplicas();
    }
  };
  lose_primary();
  CHECK(driver.claims.empty());
  driver.Feed(session::MembersRead{{}, true});
  lose_primary();
  CHECK_FALSE(driver.claims.empty());
}

TEST_CASE("the record of a service is written when a server joins") {
  ProxyDriver driver;
  driver.AdvanceTime(std::chrono::seconds(4));
  CHECK(driver.member_writes.empty());
  driver.ListServers({"a", "b", "c", "d"});
  driver.AdvanceTime(Milliseconds(200));
  REQUIRE(driver.member_writes.size() == 1);
  CHECK(driver.member_writes.front().record.servers.contains("d"));
  CHECK(driver.member_writes.front().record.revision == 1);
}

// Guards against a service without a primary for as long as an odd entry stands
// in the list.
TEST_CASE("a listed server that nothing shows to exist holds up no promotion") {
  for (const bool renewed : {false, true}) {
    ProxyDriver driver;
    if (!renewed) driver.not_renewed = {"x"};
    for (int n = 0; n < 300; ++n) {
      if (n % 40 == 0) driver.ListServers({"a", "b", "c", "x"});
      driver.AdvanceTime(Milliseconds(25));
      driver.CompleteConnectsTo({"a", "b", "c"});
      driver.AnswerAll({"x"});
    }
    driver.OpenSession(1, "claims");
    driver.Query(1, Verb::kWrite, {}, "item data");
    driver.LoseAllConnections();
    for (int n = 0; n < 80; ++n) {
      driver.AdvanceTime(Milliseconds(25));
      driver.CompleteConnectsTo({"b", "c"});
      driver.AnswerReplicas();
    }
    CHECK(driver.claims.empty() == renewed);
  }
}

// Guards against the loss of commits of a server that joined shortly before the
// list could not be read any more.
TEST_CASE("an entry is not taken for unrenewed if the list isn't read") {
  ProxyDriver driver;
  driver.not_renewed = {"x"};
  driver.ListServers({"a", "b", "c", "x"});
  for (int n = 0; n < 300; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnectsTo({"a", "b", "c"});
    driver.AnswerAll({"x"});
  }
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.LoseAllConnections();
  for (int n = 0; n < 80; ++n) {
    driver.AdvanceTime(Milliseconds(25));
    driver.CompleteConnectsTo({"b", "c"});
    driver.AnswerReplicas();
  }
  CHECK(driver.claims.empty());
}

}  // namespace corianderdock::test
