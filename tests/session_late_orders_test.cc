/// Promotion orders that are unanswered and may be executed later.
#include <catch2/catch.hpp>
#include <set>
#include <variant>

#include "corianderdock/session/failover.h"

namespace corianderdock::test {

namespace {

using session::ClaimAnswered;
using session::Failover;
using session::PromotionResult;
using session::ServerStatus;

}  // namespace

// Guards against the loss of commits that a promoted server acknowledged, as a
// second order, for the former primary, is executed after the first one.
TEST_CASE("no two servers are under orders that may still be executed") {
  Failover failover;
  Failover::Situation situation;
  situation.now = TimePoint{std::chrono::seconds(50)};
  situation.newest_term = 3;
  situation.replicas = {{"b", false}, {"c", false}};
  (void)failover.Step(situation);
  situation.primary_lost = true;
  situation.now += std::chrono::seconds(1);
  std::set<ServerId> ordered;
  int orders = 0;
  std::uint64_t token = 7;
  const auto perform = [&](const Failover::Actions& actions) {
    Failover::Actions recorded;
    for (const auto& it : actions) {
      const auto* record = std::get_if<Failover::Record>(&it);
      if (record == nullptr) continue;
      situation.recorded_order = record->server;
      situation.recorded_token = record->token;
      recorded = failover.OnRecorded(situation, true);
    }
    for (const auto& it : recorded.empty() ? actions : recorded) {
      const auto* order = std::get_if<Failover::Order>(&it);
      if (order == nullptr) continue;
      ordered.insert(order->server);
      ++orders;
      (void)failover.OnOrdered(situation, PromotionResult::kUnknown);
    }
  };
  // Replicas answer within 500 ms.
  int ticks = 0;
  const auto pass = [&](Duration time) {
    for (Duration passed{0}; passed < time;
         passed += std::chrono::milliseconds(100)) {
      situation.now += std::chrono::milliseconds(100);
      perform(failover.Step(situation));
      if (failover.phase() == Failover::Phase::kClaiming) {
        perform(
            failover.OnClaim(situation, ClaimAnswered{"s", token++, false}));
      }
      if (++ticks % 5 != 0) continue;
      for (const char* id : {"b", "c"}) {
        const ServerStatus fenced{false, 3, {3, 12}, 4};
        perform(failover.OnFenced(situation, id, situation.now, fenced));
      }
    }
  };
  pass(std::chrono::seconds(2));
  REQUIRE(ordered.size() == 1);
  // The former primary is back.
  situation.primary_lost = false;
  situation.primary = "a";
  pass(std::chrono::seconds(2));
  CHECK(ordered.size() == 1);
  situation.primary_term = 3;
  orders = 0;
  pass(std::chrono::seconds(4));
  CHECK(ordered.size() == 1);
  CHECK(orders > 0);
}

}  // namespace corianderdock::test
