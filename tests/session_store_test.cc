/// Reading the store through its failures: configuration, server list, claims.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "corianderdock/session/store_follower.h"

namespace corianderdock::test {

namespace {

using session::ClaimAnswered;
using session::ConfigRead;
using session::Event;
using session::MembersRead;
using session::ServersRead;
using session::StoreCall;
using session::StoreFollower;
using session::StoreRequest;
using session::StoreResult;
using session::StoreStatus;
using session::TokenObtained;

/// A store follower whose calls the test answers.
struct Fixture {
  Fixture() { Record(follower.Start(now)); }

  void Record(StoreFollower::Outputs outputs) {
    for (auto& it : outputs) {
      if (auto* call = std::get_if<StoreCall>(&it)) calls.push_back(*call);
      if (auto* event = std::get_if<Event>(&it)) events.push_back(*event);
    }
  }

  [[nodiscard]] bool IsPending(StoreRequest request) const {
    return std::any_of(calls.begin(), calls.end(),
                       [&](const auto& it) { return it.request == request; });
  }

  StoreCall TakeCall(StoreRequest request) {
    const auto it =
        std::find_if(calls.begin(), calls.end(),
                     [&](const auto& call) { return call.request == request; });
    REQUIRE(it != calls.end());
    StoreCall call = *it;
    calls.erase(it);
    return call;
  }

  void Answer(StoreRequest request, StoreStatus status,
              const std::function<void(StoreResult&)>& fill = {}) {
    StoreResult result;
    result.number = TakeCall(request).number;
    result.status = status;
    if (fill) fill(result);
    Record(follower.OnResult(now, result));
  }

  void AnswerConfig(StoreRequest request, std::uint64_t version,
                    std::uint64_t revision) {
    Answer(request, StoreStatus::kOk, [&](StoreResult& result) {
      auto config = std::make_shared<session::RoutingConfig>();
      config->version = version;
      result.config = config;
      result.revision = revision;
    });
  }

  void AnswerServers(const std::vector<ServerId>& ids) {
    Answer(StoreRequest::kListServers, StoreStatus::kOk,
           [&](StoreResult& result) {
             for (const auto& id : ids) result.servers[id].id = id;
           });
  }

  void AdvanceTime(Duration duration) {
    now += duration;
    Record(follower.OnTimer(now));
  }

  template <typename T>
  [[nodiscard]] T Last() const {
    const auto it = std::find_if(
        events.rbegin(), events.rend(),
        [](const Event& event) { return std::holds_alternative<T>(event); });
    REQUIRE(it != events.rend());
    return std::get<T>(*it);
  }

  TimePoint now{std::chrono::seconds(10)};
  StoreFollower follower{"self", {}};
  std::vector<StoreCall> calls;
  std::vector<Event> events;
};

}  // namespace

TEST_CASE("the configuration is read, then watched from that revision") {
  Fixture it;
  it.AnswerConfig(StoreRequest::kReadConfig, 3, 40);
  CHECK(it.Last<ConfigRead>().config->version == 3);
  CHECK(it.TakeCall(StoreRequest::kWatchConfig).revision == 40);
}

TEST_CASE(
    "a watch of a lagging store node never goes back to an old revision") {
  Fixture it;
  it.AnswerConfig(StoreRequest::kReadConfig, 3, 40);
  it.AnswerConfig(StoreRequest::kWatchConfig, 4, 35);
  CHECK(it.TakeCall(StoreRequest::kWatchConfig).revision == 40);
}

TEST_CASE("after each failure of a watch the configuration is read again") {
  for (const auto status : {StoreStatus::kCompacted, StoreStatus::kUnavailable,
                            StoreStatus::kNoAnswer}) {
    Fixture it;
    it.AnswerConfig(StoreRequest::kReadConfig, 3, 40);
    it.Answer(StoreRequest::kWatchConfig, status);
    it.AdvanceTime(std::chrono::milliseconds(300));
    CHECK(it.IsPending(StoreRequest::kReadConfig));
    CHECK_FALSE(it.IsPending(StoreRequest::kWatchConfig));
  }
}

// Guards against a store that counts as unreachable, so that no promotion is
// claimed there, because its configuration can't be used.
TEST_CASE("an unusable configuration is reported, and the next one awaited") {
  Fixture it;
  const auto reject = [](StoreResult& r) {
    r.rejection = session::ConfigRejection{4, "routes are not a list"};
    r.revision = 41;
  };
  it.AnswerConfig(StoreRequest::kReadConfig, 3, 40);
  it.Answer(StoreRequest::kWatchConfig, StoreStatus::kOk, reject);
  // An event may be damaged, so the key is read.
  it.AdvanceTime(std::chrono::milliseconds(300));
  it.Answer(StoreRequest::kReadConfig, StoreStatus::kOk, reject);
  CHECK(it.Last<session::ConfigRejected>().rejection.version == 4);
  CHECK(it.TakeCall(StoreRequest::kWatchConfig).revision == 41);
  it.Record(it.follower.Claim(it.now, {"books", 0}));
  CHECK(it.IsPending(StoreRequest::kReadClaim));
}

TEST_CASE("a server list is complete only after several seconds of answers") {
  Fixture it;
  it.AnswerServers({"a", "b"});
  CHECK_FALSE(it.Last<ServersRead>().complete);
  for (int n = 0; n < 4; ++n) {
    it.AdvanceTime(std::chrono::milliseconds(1000));
    it.AnswerServers({"a", "b"});
  }
  CHECK(it.Last<ServersRead>().complete);
  it.AdvanceTime(std::chrono::milliseconds(1000));
  it.Answer(StoreRequest::kListServers, StoreStatus::kUnavailable);
  it.AdvanceTime(std::chrono::milliseconds(1000));
  it.AnswerServers({"a"});
  CHECK_FALSE(it.Last<ServersRead>().complete);
}

TEST_CASE("servers that expired during a store outage are kept for a time") {
  Fixture it;
  it.AnswerServers({"a", "b"});
  it.AdvanceTime(std::chrono::milliseconds(1000));
  it.Answer(StoreRequest::kListServers, StoreStatus::kNoAnswer);
  it.AdvanceTime(std::chrono::milliseconds(5000));
  it.AnswerServers({"a"});
  CHECK(it.Last<ServersRead>().servers.size() == 2);
  for (int n = 0; n < 4; ++n) {
    it.AdvanceTime(std::chrono::milliseconds(1000));
    it.AnswerServers({"a"});
  }
  CHECK(it.Last<ServersRead>().servers.size() == 1);
}

TEST_CASE("requests to a failing store back off") {
  Fixture it;
  it.AnswerConfig(StoreRequest::kReadConfig, 3, 40);
  it.Answer(StoreRequest::kWatchConfig, StoreStatus::kUnavailable);
  int reads = 0;
  for (int n = 0; n < 100; ++n) {
    it.AdvanceTime(std::chrono::milliseconds(50));
    if (!it.IsPending(StoreRequest::kReadConfig)) continue;
    it.Answer(StoreRequest::kReadConfig, StoreStatus::kUnavailable);
    ++reads;
  }
  CHECK(reads >= 4);  // at least once per second
  CHECK(reads <= 8);
}

TEST_CASE("a list with all known servers is complete at once after an outage") {
  Fixture it;
  it.AnswerServers({"a", "b"});
  for (int n = 0; n < 4; ++n) {
    it.AdvanceTime(std::chrono::milliseconds(1000));
    it.AnswerServers({"a", "b"});
  }
  it.AdvanceTime(std::chrono::milliseconds(1000));
  it.Answer(StoreRequest::kListServers, StoreStatus::kUnavailable);
  it.AdvanceTime(std::chrono::milliseconds(1000));
  it.AnswerServers({"a", "b"});
  CHECK(it.Last<ServersRead>().complete);
}

TEST_CASE("a claim is taken under a lease at the revision that was read") {
  Fixture it;
  it.Record(it.follower.Claim(it.now, {"books"}));
  it.Answer(StoreRequest::kReadClaim, StoreStatus::kOk, [](StoreResult& r) {
    r.value = "self";
    r.key_revision = 8;
  });
  it.Answer(StoreRequest::kGrantClaimLease, StoreStatus::kOk,
            [](StoreResult& r) { r.lease = 77; });
  const auto& call = it.calls.back();
  CHECK(call.request == StoreRequest::kTakeClaim);
  CHECK(call.revision == 8);
  CHECK(call.lease == 77);
  it.Answer(StoreRequest::kTakeClaim, StoreStatus::kOk,
            [](StoreResult& r) { r.revision = 12; });
  CHECK(it.Last<ClaimAnswered>().token == 12);
}

TEST_CASE("another's claim, a conflict and a time-out give no token") {
  Fixture it;
  it.Record(it.follower.Claim(it.now, {"books"}));
  it.Answer(StoreRequest::kReadClaim, StoreStatus::kOk,
            [](StoreResult& r) { r.value = "other"; });
  CHECK(it.Last<ClaimAnswered>().token == 0);
  CHECK_FALSE(it.Last<ClaimAnswered>().store_unreachable);
  it.Record(it.follower.Claim(it.now, {"books"}));
  it.Answer(StoreRequest::kReadClaim, StoreStatus::kAbsent);
  it.Answer(StoreRequest::kGrantClaimLease, StoreStatus::kOk);
  it.Answer(StoreRequest::kTakeClaim, StoreStatus::kConflict);
  CHECK(it.Last<ClaimAnswered>().token == 0);
  CHECK_FALSE(it.Last<ClaimAnswered>().store_unreachable);
  it.Record(it.follower.Claim(it.now, {"books"}));
  it.Answer(StoreRequest::kReadClaim, StoreStatus::kNoAnswer);
  CHECK(it.Last<ClaimAnswered>().store_unreachable);
}

TEST_CASE("a claim is made again if the member record has changed") {
  Fixture it;
  it.Record(it.follower.Claim(it.now, {"books", 3}));
  it.Answer(StoreRequest::kReadClaim, StoreStatus::kAbsent);
  it.Answer(StoreRequest::kGrantClaimLease, StoreStatus::kOk);
  CHECK(it.calls.back().member_revision == 3);
  it.Answer(
      StoreRequest::kTakeClaim, StoreStatus::kConflict, [](StoreResult& r) {
        r.members["books"] = {R"({"servers":[{"id":"c","address":"c:1"}]})", 9};
      });
  const auto read = it.Last<MembersRead>();
  CHECK_FALSE(read.all);
  CHECK(read.records.at("books").revision == 9);
  CHECK(read.records.at("books").servers.contains("c"));
  it.Answer(StoreRequest::kReadClaim, StoreStatus::kAbsent);
  it.Answer(StoreRequest::kGrantClaimLease, StoreStatus::kOk);
  CHECK(it.calls.back().member_revision == 9);
  it.Answer(StoreRequest::kTakeClaim, StoreStatus::kOk,
            [](StoreResult& r) { r.revision = 12; });
  CHECK(it.Last<ClaimAnswered>().token == 12);
}

TEST_CASE("member records are read at the start until an answer comes") {
  Fixture it;
  for (const auto status :
       {StoreStatus::kNoAnswer, StoreStatus::kUnavailable}) {
    it.Answer(StoreRequest::kReadMembers, status);
    it.AdvanceTime(std::chrono::milliseconds(200));
  }
  it.Answer(StoreRequest::kReadMembers, StoreStatus::kOk);
  CHECK(it.Last<MembersRead>().all);
  it.AdvanceTime(std::chrono::seconds(10));
  CHECK_FALSE(it.IsPending(StoreRequest::kReadMembers));
}

TEST_CASE("a member record that another instance wrote first is reported") {
  Fixture it;
  it.Record(it.follower.WriteMemberRecord(it.now, {"books", {3, {}, {}, 0}}));
  CHECK(it.calls.back().revision == 3);
  it.Answer(StoreRequest::kWriteMembers, StoreStatus::kConflict,
            [](StoreResult& r) {
              r.members["books"] = {R"({"servers":[]})", 8};
            });
  CHECK(it.Last<MembersRead>().records.at("books").revision == 8);
  it.Record(it.follower.WriteMemberRecord(it.now, {"books", {8, {}, {}, 0}}));
  it.Answer(StoreRequest::kWriteMembers, StoreStatus::kOk,
            [](StoreResult& r) { r.revision = 11; });
  CHECK(it.Last<MembersRead>().records.at("books").revision == 11);
}

TEST_CASE("an order is recorded only under the claim and the newest record") {
  Fixture it;
  const session::RecordOrder order{"books", {3, {}, "b", 12}, 12};
  const auto record = [&](StoreStatus status) {
    it.Record(it.follower.Record(it.now, order));
    CHECK(it.calls.back().revision == 3);
    CHECK(it.calls.back().claim_revision == 12);
    it.Answer(StoreRequest::kRecordOrder, status,
              [](StoreResult& r) { r.revision = 14; });
    return it.Last<session::OrderRecorded>().recorded;
  };
  CHECK_FALSE(record(StoreStatus::kConflict));
  CHECK_FALSE(record(StoreStatus::kNoAnswer));
  CHECK(record(StoreStatus::kOk));
  const auto read = it.Last<MembersRead>().records.at("books");
  CHECK(read.ordered == "b");
  CHECK(read.revision == 14);
}

TEST_CASE("an unreadable member record is one without servers") {
  Fixture it;
  it.Answer(StoreRequest::kReadMembers, StoreStatus::kOk, [](StoreResult& r) {
    r.members["books"] = {"not a record", 4};
  });
  const auto read = it.Last<MembersRead>();
  CHECK(read.records.at("books").revision == 4);
  CHECK(read.records.at("books").servers.empty());
}

TEST_CASE("a server counts as renewed once its heartbeat number changes") {
  Fixture it;
  const auto list = [&](std::uint64_t a, std::uint64_t b) {
    it.Answer(StoreRequest::kListServers, StoreStatus::kOk,
              [&](StoreResult& r) {
                r.servers["a"].id = "a";
                r.servers["b"].id = "b";
                r.heartbeats = {{"a", a}, {"b", b}};
              });
    it.AdvanceTime(std::chrono::milliseconds(1000));
  };
  list(5, 7);
  CHECK(it.Last<ServersRead>().renewed.empty());
  list(6, 7);
  list(6, 7);
  CHECK(it.Last<ServersRead>().renewed == std::set<ServerId>{"a"});
}

TEST_CASE("a claim is kept under the lease under which it was taken") {
  Fixture it;
  it.Record(it.follower.Keep(it.now, {"books"}));
  CHECK_FALSE(it.IsPending(StoreRequest::kKeepClaim));
  it.Record(it.follower.Claim(it.now, {"books", 0}));
  it.Answer(StoreRequest::kReadClaim, StoreStatus::kAbsent);
  it.Answer(StoreRequest::kGrantClaimLease, StoreStatus::kOk,
            [](StoreResult& r) { r.lease = 77; });
  it.Answer(StoreRequest::kTakeClaim, StoreStatus::kOk,
            [](StoreResult& r) { r.revision = 12; });
  it.Record(it.follower.Keep(it.now, {"books"}));
  CHECK(it.calls.back().lease == 77);
  it.Answer(StoreRequest::kKeepClaim, StoreStatus::kAbsent);
  it.Record(it.follower.Keep(it.now, {"books"}));
  CHECK_FALSE(it.IsPending(StoreRequest::kKeepClaim));
}

TEST_CASE("an expired lease is replaced and the instance announced again") {
  Fixture it;
  it.Answer(StoreRequest::kGrantLease, StoreStatus::kOk,
            [](StoreResult& r) { r.lease = 5; });
  it.Answer(StoreRequest::kAnnounce, StoreStatus::kOk,
            [](StoreResult& r) { r.revision = 21; });
  CHECK(it.Last<TokenObtained>().token == 21);
  it.AdvanceTime(std::chrono::milliseconds(3100));
  it.Answer(StoreRequest::kKeepLease, StoreStatus::kAbsent);
  it.AdvanceTime(std::chrono::milliseconds(1100));
  CHECK(it.IsPending(StoreRequest::kGrantLease));
}

}  // namespace corianderdock::test
