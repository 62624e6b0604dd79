/// A store that comes back from an older copy: revisions are given out again
/// under another era, and leases and later writes are gone.
#include <algorithm>
#include <catch2/catch.hpp>

#include "corianderdock/session/store_follower.h"

namespace corianderdock::test {

namespace {

using session::Event;
using session::StoreCall;
using session::StoreEra;
using session::StoreFollower;
using session::StoreRequest;
using session::StoreResult;
using session::StoreStatus;
using session::TokenObtained;

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
    for (auto it = events.rbegin(); it != events.rend(); ++it) {
      if (const auto* event = std::get_if<T>(&*it)) return *event;
    }
    return std::nullopt;
  }

  StoreEra era = 3;
  TimePoint now{std::chrono::seconds(10)};
  StoreFollower follower;
  std::vector<StoreCall> calls;
  std::vector<Event> events;
  int issued = 0;
};

}  // namespace

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

}  // namespace corianderdock::test
