/// A store that comes back from an older copy: revisions are given out again
/// under another era, and leases and later writes are gone.
#include <algorithm>
#include <catch2/catch.hpp>

#include "corianderdock/session/store_follower.h"
#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

using session::ClaimAnswered;
using session::ConfigRead;
using session::Event;
using session::MembersRead;
using session::OrderRecorded;
using session::StoreCall;
using session::StoreEra;
using session::StoreFollower;
using session::StoreRequest;
using session::StoreResult;
using session::StoreRevision;
using session::StoreStatus;

using Fill = std::function<void(StoreResult&)>;

/// A store follower whose calls the test answers, in the era `era`.
struct Fixture {
  explicit Fixture(const InstanceId& id = "self") : follower(id, {}) {
    Record(follower.Start(now));
  }

  void Record(StoreFollower::Outputs outputs) {
    for (auto& it : outputs) {
      if (auto* call = std::get_if<StoreCall>(&it)) {
        calls.push_back(*call);
        ++issued;
      }
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

  void AnswerCall(const StoreCall& call, StoreStatus status,
                  const Fill& fill = {}) {
    StoreResult result;
    result.number = call.number;
    result.status = status;
    if (status != StoreStatus::kNoAnswer) result.era = era;
    if (fill) fill(result);
    Record(follower.OnResult(now, result));
  }

  void Answer(StoreRequest request, StoreStatus status, const Fill& fill = {}) {
    AnswerCall(TakeCall(request), status, fill);
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

  void AdvanceTime(Duration duration) {
    now += duration;
    Record(follower.OnTimer(now));
  }

  /// Advances until the call is pending; returns the time that it took.
  Duration Await(StoreRequest request) {
    const TimePoint start = now;
    while (!IsPending(request)) {
      REQUIRE(now - start < std::chrono::seconds(10));
      AdvanceTime(std::chrono::milliseconds(10));
    }
    return now - start;
  }

  /// Answers what is issued at the start, in the first era.
  void StartUp() {
    AnswerConfig(StoreRequest::kReadConfig, 12, 60);
    Answer(StoreRequest::kReadMembers, StoreStatus::kOk, [](StoreResult& r) {
      r.members["books"] = {R"({"servers":[]})", 50};
    });
    Answer(StoreRequest::kGrantLease, StoreStatus::kOk,
           [](StoreResult& r) { r.lease = 5; });
    Answer(StoreRequest::kAnnounce, StoreStatus::kOk,
           [](StoreResult& r) { r.revision = 21; });
  }

  template <typename T>
  [[nodiscard]] std::optional<T> Last() const {
    std::optional<T> last;
    for (const Event& it : events) {
      if (const auto* event = std::get_if<T>(&it)) last = *event;
    }
    return last;
  }

  StoreEra era = 3;
  TimePoint now{std::chrono::seconds(10)};
  StoreFollower follower;
  std::vector<StoreCall> calls;
  std::vector<Event> events;
  int issued = 0;
};

}  // namespace

TEST_CASE("revisions of different eras are not ordered") {
  const StoreRevision before(60, 3);
  const StoreRevision after(41, 4);
  CHECK_FALSE(after < before);
  CHECK_FALSE(after >= before);
  CHECK_FALSE(StoreRevision(60, 4) == before);
  CHECK(StoreRevision(61, 3) > before);
  CHECK_FALSE(StoreRevision(61) > before);
}

// Guards against CONFIG: changes written at revisions that the restored store
// gave out again were never delivered.
TEST_CASE("a restored store is watched from the revision that it returns") {
  Fixture it;
  it.StartUp();
  it.era = 4;
  it.Answer(StoreRequest::kWatchConfig, StoreStatus::kCompacted);
  it.Await(StoreRequest::kReadConfig);
  it.AnswerConfig(StoreRequest::kReadConfig, 9, 41);
  CHECK(it.TakeCall(StoreRequest::kWatchConfig).revision == 41);
}

TEST_CASE("a list shows the new era to a watch that still waits") {
  Fixture it;
  it.StartUp();
  const StoreCall watch = it.TakeCall(StoreRequest::kWatchConfig);
  it.era = 4;
  it.Answer(StoreRequest::kListServers, StoreStatus::kOk,
            [](StoreResult& r) { r.servers["a"].id = "a"; });
  CHECK(it.Last<session::ServersRead>()->servers.contains("a"));
  it.Await(StoreRequest::kReadConfig);
  it.AnswerConfig(StoreRequest::kReadConfig, 9, 41);
  CHECK(it.TakeCall(StoreRequest::kWatchConfig).revision == 41);
  // What the old watch returns in the end starts no second one.
  it.AnswerCall(watch, StoreStatus::kOk,
                [](StoreResult& r) { r.revision = 70; });
  it.AdvanceTime(std::chrono::seconds(2));
  CHECK_FALSE(it.IsPending(StoreRequest::kWatchConfig));
}

// Guards against calls that were repeated without a pause.
TEST_CASE("no answer to a watch makes the calls repeat without a pause") {
  const auto calls_in_10_s = [](const Fill& fill, StoreStatus status,
                                const std::function<void(Fixture&)>& next) {
    Fixture it;
    it.StartUp();
    const int before = it.issued;
    for (int n = 0; n < 1000; ++n) {
      for (int m = 0; m < 3 && it.IsPending(StoreRequest::kWatchConfig); ++m) {
        next(it);
        it.Answer(StoreRequest::kWatchConfig, status, fill);
      }
      for (int m = 0; m < 3 && it.IsPending(StoreRequest::kReadConfig); ++m) {
        next(it);
        it.AnswerConfig(StoreRequest::kReadConfig, 9, 41);
      }
      it.AdvanceTime(std::chrono::milliseconds(10));
    }
    return it.issued - before;
  };
  const Fill none;
  const auto rejected = [](StoreResult& r) {
    r.rejection = session::ConfigRejection{13, "routes are not a list"};
  };
  const auto same = [](Fixture&) {};
  const auto rising = [](Fixture& it) { ++*it.era; };
  const auto falling = [n = 1000](Fixture& it) mutable { it.era = --n; };
  const auto alternating = [](Fixture& it) { it.era = *it.era == 3 ? 4 : 3; };
  const auto missing = [](Fixture& it) { it.era.reset(); };
  const auto at_times = [n = 0](Fixture& it) mutable {
    it.era = ++n % 2 == 0 ? StoreEra(3) : std::nullopt;
  };
  for (const std::function<void(Fixture&)>& next :
       std::vector<std::function<void(Fixture&)>>{
           same, rising, falling, alternating, missing, at_times}) {
    CHECK(calls_in_10_s(none, StoreStatus::kCompacted, next) <= 50);
    CHECK(calls_in_10_s(none, StoreStatus::kOk, next) <= 50);
    CHECK(calls_in_10_s(none, StoreStatus::kAbsent, next) <= 50);
    CHECK(calls_in_10_s(none, StoreStatus::kUnavailable, next) <= 50);
    CHECK(calls_in_10_s(rejected, StoreStatus::kOk, next) <= 50);
  }
}

TEST_CASE("a claim whose member record changes each time is given up") {
  Fixture it;
  it.StartUp();
  it.Record(it.follower.Claim(it.now, {"books", {50, 3}}));
  std::uint64_t revision = 50;
  for (int n = 0; n < 20 && it.IsPending(StoreRequest::kReadClaim); ++n) {
    it.Answer(StoreRequest::kReadClaim, StoreStatus::kAbsent);
    it.Answer(StoreRequest::kGrantClaimLease, StoreStatus::kOk);
    it.Answer(StoreRequest::kTakeClaim, StoreStatus::kConflict,
              [&](StoreResult& r) {
                r.members["books"] = {R"({"servers":[]})", ++revision};
              });
  }
  CHECK_FALSE(it.IsPending(StoreRequest::kReadClaim));
  REQUIRE(it.Last<ClaimAnswered>());
  CHECK(it.Last<ClaimAnswered>()->token == 0);
}

TEST_CASE("the lease and the announcement are renewed in a new era") {
  Fixture it;
  it.StartUp();
  it.era = 4;
  it.Answer(StoreRequest::kWatchConfig, StoreStatus::kCompacted);
  CHECK(it.Await(StoreRequest::kGrantLease) < std::chrono::seconds(1));
  it.Answer(StoreRequest::kGrantLease, StoreStatus::kOk,
            [](StoreResult& r) { r.lease = 7; });
  CHECK(it.TakeCall(StoreRequest::kAnnounce).lease == 7);
  // The lease of the old era may belong to another instance by now.
  it.AdvanceTime(std::chrono::seconds(4));
  CHECK_FALSE(it.IsPending(StoreRequest::kKeepLease));
}

TEST_CASE("a claim that spans two eras fails, and its lease is not kept") {
  for (const auto step :
       {StoreRequest::kReadClaim, StoreRequest::kGrantClaimLease,
        StoreRequest::kTakeClaim}) {
    Fixture it;
    it.StartUp();
    it.Record(it.follower.Claim(it.now, {"books", {50, 3}}));
    for (const auto request :
         {StoreRequest::kReadClaim, StoreRequest::kGrantClaimLease,
          StoreRequest::kTakeClaim}) {
      if (request == step) it.era = 4;
      it.Answer(request, StoreStatus::kOk, [](StoreResult& r) {
        r.value = "self";
        r.revision = 27;
      });
      if (request == step) break;
    }
    REQUIRE(it.Last<ClaimAnswered>());
    CHECK(it.Last<ClaimAnswered>()->token == 0);
    it.Record(it.follower.Keep(it.now, {"books"}));
    CHECK_FALSE(it.IsPending(StoreRequest::kKeepClaim));
  }
}

TEST_CASE("no write expects a revision of another era") {
  Fixture it;
  it.StartUp();
  it.Record(it.follower.Claim(it.now, {"books", {50, 3}}));
  it.Answer(StoreRequest::kReadClaim, StoreStatus::kAbsent);
  it.Answer(StoreRequest::kGrantClaimLease, StoreStatus::kOk);
  it.Answer(StoreRequest::kTakeClaim, StoreStatus::kOk,
            [](StoreResult& r) { r.revision = 55; });
  CHECK(it.Last<ClaimAnswered>()->token == 55);
  it.era = 4;
  it.Answer(StoreRequest::kWatchConfig, StoreStatus::kCompacted);
  // The claim has ended, so nothing may be ordered under it.
  it.Record(it.follower.Record(it.now, {"books", {{50, 3}, {}, "b", 55}, 55}));
  REQUIRE(it.Last<OrderRecorded>());
  CHECK_FALSE(it.Last<OrderRecorded>()->recorded);
  CHECK_FALSE(it.IsPending(StoreRequest::kRecordOrder));
  it.Record(
      it.follower.WriteMemberRecord(it.now, {"books", {{50, 3}, {}, {}, 0}}));
  CHECK(it.TakeCall(StoreRequest::kWriteMembers).revision == 0);
  it.Record(it.follower.Claim(it.now, {"books", {50, 3}}));
  it.Answer(StoreRequest::kReadClaim, StoreStatus::kAbsent);
  it.Answer(StoreRequest::kGrantClaimLease, StoreStatus::kOk);
  CHECK(it.calls.back().member_revision == 0);
  // The store tells the revision that the record has in this era.
  it.Answer(StoreRequest::kTakeClaim, StoreStatus::kConflict,
            [](StoreResult& r) {
              r.members["books"] = {R"({"servers":[]})", 30};
            });
  CHECK(it.Last<MembersRead>()->records.at("books").revision ==
        StoreRevision(30, 4));
  it.Answer(StoreRequest::kReadClaim, StoreStatus::kAbsent);
  it.Answer(StoreRequest::kGrantClaimLease, StoreStatus::kOk);
  CHECK(it.calls.back().member_revision == 30);
}

TEST_CASE("the member records are read again in a new era") {
  Fixture it;
  it.StartUp();
  it.era = 4;
  it.Answer(StoreRequest::kWatchConfig, StoreStatus::kCompacted);
  it.Await(StoreRequest::kReadMembers);
  it.Answer(StoreRequest::kReadMembers, StoreStatus::kOk);
  CHECK(it.Last<MembersRead>()->all);
  CHECK(it.Last<MembersRead>()->era == StoreEra(4));
}

TEST_CASE("a late answer of the old era changes nothing") {
  Fixture it;
  it.StartUp();
  const StoreCall list = it.TakeCall(StoreRequest::kListServers);
  it.era = 4;
  it.Answer(StoreRequest::kListInstances, StoreStatus::kOk);
  it.Await(StoreRequest::kReadConfig);
  it.AnswerConfig(StoreRequest::kReadConfig, 9, 41);
  it.era = 3;
  it.AnswerCall(list, StoreStatus::kOk,
                [](StoreResult& r) { r.servers["gone"].id = "gone"; });
  CHECK_FALSE(it.Last<session::ServersRead>());
  CHECK(it.IsPending(StoreRequest::kWatchConfig));
}

TEST_CASE("instances return to a restored store spread out") {
  const auto delay = [](int n) {
    Fixture it("front-" + std::to_string(n));
    it.StartUp();
    it.era = 4;
    it.Answer(StoreRequest::kWatchConfig, StoreStatus::kCompacted);
    return it.Await(StoreRequest::kReadConfig);
  };
  std::map<std::int64_t, int> calls;  ///< by tenth of a second
  for (int n = 0; n < 100; ++n) {
    CHECK(delay(n) == delay(n));
    ++calls[delay(n) / std::chrono::milliseconds(100)];
  }
  for (const auto& [tenth, count] : calls) CHECK(count <= 40);
}

// Guards against CONFIG: the older version that a restored store shows, until
// the operator has written the newer one again, must not come back.
TEST_CASE("a version in force stays until one at least as new appears") {
  ProxyDriver driver;
  const auto version = [&](std::uint64_t number) {
    auto config = std::make_shared<session::RoutingConfig>();
    config->version = number;
    driver.Feed(ConfigRead{config});
    return driver.proxy.gauges().at("config_version");
  };
  CHECK(version(12) == 12);
  CHECK(version(9) == 12);
  CHECK(version(12) == 12);
  CHECK(version(15) == 15);
}

TEST_CASE("an order that a restored record lacks stays known") {
  session::MemberRecorder recorder;
  const TimePoint now{std::chrono::seconds(10)};
  recorder.OnRecord({{50, 3}, {}, "b", 55}, now);
  recorder.OnRecord({{30, 4}, {}, {}, 0}, now);
  CHECK(recorder.record().revision == StoreRevision(30, 4));
  CHECK(recorder.record().ordered == "b");
  CHECK(recorder.record().order_token == 55);
  recorder.OnRecord({{31, 4}, {}, {}, 0}, now);
  CHECK(recorder.record().ordered.empty());
}

}  // namespace corianderdock::test
