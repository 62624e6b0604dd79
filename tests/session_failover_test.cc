/// Promotion of a new primary: log positions of fenced replicas, fencing
/// tokens, delayed promotion orders, and unfencing.
#include <catch2/catch.hpp>
#include <set>

#include "corianderdock/session/failover.h"
#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

using session::ClaimAnswered;
using session::Failover;
using session::PromotionResult;
using session::ServerStatus;

/// A failover that has lost the primary "a" and has the replicas "b" and "c".
struct Fixture {
  Fixture() {
    situation.now = TimePoint{std::chrono::seconds(50)};
    situation.primary_lost = true;
    situation.newest_term = 3;
    situation.replicas = {{"b", false}, {"c", false}};
    situation.primary_lost = false;
    (void)Step();
    situation.primary_lost = true;
    situation.now += std::chrono::seconds(1);
  }

  /// Returns the actions that are due, except those that keep the claim, which
  /// are counted.
  Failover::Actions Step(Duration after = Duration(0)) {
    situation.now += after;
    Failover::Actions actions = failover.Step(situation);
    claims_kept += std::erase_if(actions, [](const Failover::Action& it) {
      return std::holds_alternative<Failover::KeepClaim>(it);
    });
    return Recorded(std::move(actions));
  }

  /// Records an order that is to be recorded; the actions that follow replace
  /// that one.
  Failover::Actions Recorded(Failover::Actions actions) {
    if (actions.empty()) return actions;
    const auto* record = std::get_if<Failover::Record>(&actions.back());
    if (record == nullptr) return actions;
    ++orders_recorded;
    situation.recorded_order = record->server;
    situation.recorded_token = record->token;
    situation.recorded_since = situation.now;
    actions.pop_back();
    for (auto& it : failover.OnRecorded(situation, true)) actions.push_back(it);
    return actions;
  }

  Failover::Actions AnswerClaim(std::uint64_t token,
                                bool store_unreachable = false) {
    return failover.OnClaim(situation,
                            ClaimAnswered{"s", token, store_unreachable});
  }

  /// Answers a fence that was requested `age` ago.
  Failover::Actions AnswerFence(const ServerId& id, std::uint64_t index,
                                Duration age = Duration(0)) {
    return Recorded(failover.OnFenced(situation, id, situation.now - age,
                                      ServerStatus{false, 3, {3, index}, 4}));
  }

  template <typename T>
  static const T& OnlyAction(const Failover::Actions& actions) {
    REQUIRE(actions.size() == 1);
    REQUIRE(std::holds_alternative<T>(actions.front()));
    return std::get<T>(actions.front());
  }

  Failover::Situation situation;
  Failover failover;
  std::size_t claims_kept = 0;
  int orders_recorded = 0;
};

}  // namespace

TEST_CASE("a promotion tells what it waits for") {
  using Wait = Failover::Wait;
  Fixture it;
  const auto waits = [&] { return it.failover.WaitsFor(it.situation); };
  it.situation.server_list_complete = false;
  CHECK(waits() == Wait::kServerList);
  it.situation.server_list_complete = true;
  it.situation.replicas_reachable = false;
  CHECK(waits() == Wait::kSilentServer);
  it.situation.replicas_reachable = true;
  it.situation.claim_delay = std::chrono::seconds(3);
  (void)it.Step();
  CHECK(waits() == Wait::kClaimTurn);
  (void)it.Step(std::chrono::seconds(4));
  CHECK(waits() == Wait::kClaim);
  (void)it.AnswerClaim(7);
  CHECK(waits() == Wait::kFences);
  it.situation.required = Position{3, 20};
  (void)it.AnswerFence("b", 10);
  (void)it.AnswerFence("c", 12);
  CHECK(waits() == Wait::kPosition);
  it.situation.required.reset();
  (void)it.AnswerFence("c", 12);
  CHECK(waits() == Wait::kOrder);
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kUnknown);
  it.situation.replicas = {{"b", false}};
  (void)it.Step(std::chrono::milliseconds(700));
  (void)it.AnswerFence("b", 10);
  CHECK(waits() == Wait::kUnansweredOrder);
  it.failover.OnPrimaryConfirmed("c");
  it.situation.primary_lost = false;
  CHECK(waits() == Wait::kNone);
}

TEST_CASE("the most advanced of all fenced replicas is promoted") {
  Fixture it;
  Fixture::OnlyAction<Failover::Claim>(it.Step());
  CHECK(it.AnswerClaim(7).size() == 2);
  CHECK(it.AnswerFence("b", 10).empty());
  const auto actions = it.AnswerFence("c", 12);
  CHECK(Fixture::OnlyAction<Failover::Order>(actions).server == "c");
  CHECK(Fixture::OnlyAction<Failover::Order>(actions).token == 7);
}

// Guards against the loss of commits that only the last primary still has, as
// another server that had them has lost its log.
TEST_CASE("no order is given without a log that is needed") {
  Fixture it;
  it.situation.last_primary = "a";
  it.situation.last_primary_term = 3;
  it.situation.needed_log = "a";
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 0);
  CHECK(it.AnswerFence("c", 12).empty());
  CHECK(it.failover.WaitsFor(it.situation) == Failover::Wait::kDemotion);
  it.situation.replicas["a"] = false;
  CHECK(Fixture::OnlyAction<Failover::Order>(it.AnswerFence("a", 14)).server ==
        "a");
}

TEST_CASE("nothing is claimed while a replica does not answer") {
  Fixture it;
  it.situation.replicas_reachable = false;
  CHECK(it.Step().empty());
}

TEST_CASE(
    "replicas that answer again are probed for a primary before a claim") {
  Fixture it;
  it.situation.replicas_reachable = false;
  (void)it.Step(std::chrono::seconds(5));
  it.situation.replicas_reachable = true;
  CHECK(it.Step().empty());
  CHECK(it.Step(std::chrono::milliseconds(300)).empty());
  CHECK(it.Step(std::chrono::milliseconds(300)).size() == 1);
}

TEST_CASE("a primary found while replicas are being fenced ends the claim") {
  Fixture it;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  it.situation.primary_lost = false;
  CHECK(it.Step(std::chrono::milliseconds(400)).empty());
  CHECK(it.failover.phase() == Failover::Phase::kIdle);
}

TEST_CASE("nothing is claimed while the server list may be incomplete") {
  Fixture it;
  it.situation.server_list_complete = false;
  CHECK(it.Step().empty());
}

TEST_CASE("of replicas with equal logs one that is not draining is promoted") {
  Fixture it;
  it.situation.replicas = {{"b", true}, {"c", false}};
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  CHECK(Fixture::OnlyAction<Failover::Order>(it.AnswerFence("c", 10)).server ==
        "c");
}

TEST_CASE("a primary that answers again is not replaced") {
  Fixture it;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  it.situation.primary_lost = false;
  CHECK(it.AnswerFence("c", 10).empty());
  CHECK(it.failover.phase() == Failover::Phase::kIdle);
}

TEST_CASE("the fallback token is used only while the store is unreachable") {
  Fixture it;
  it.situation.fallback_token = 5;
  (void)it.Step();
  CHECK(it.AnswerClaim(0, false).empty());
  CHECK(it.failover.PromotionInProgress(it.situation.now));
  (void)it.Step(std::chrono::seconds(2));
  CHECK(it.AnswerClaim(0, true).size() == 2);
  (void)it.AnswerFence("b", 1);
  CHECK(Fixture::OnlyAction<Failover::Order>(it.AnswerFence("c", 1)).token ==
        5);
}

TEST_CASE("an unanswered order is repeated after replicas are fenced again") {
  Fixture it;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  (void)it.AnswerFence("c", 12);
  CHECK(it.failover.OnOrdered(it.situation, PromotionResult::kUnknown).empty());
  it.situation.primary = "a";
  const auto again = it.Step(std::chrono::milliseconds(700));
  REQUIRE(again.size() == 3);
  CHECK(std::get<Failover::Demote>(again.back()).server == "a");
  (void)it.AnswerFence("b", 10);
  const auto order = it.AnswerFence("c", 12);
  REQUIRE(order.size() == 2);
  CHECK(std::get<Failover::Demote>(order.front()).server == "a");
  CHECK(std::get<Failover::Order>(order.back()).token == 7);
}

TEST_CASE(
    "a replica with an old fence report is fenced again before an order") {
  Fixture it;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  (void)it.Step(std::chrono::milliseconds(800));
  CHECK(Fixture::OnlyAction<Failover::Fence>(it.AnswerFence("c", 8)).server ==
        "b");
  // It had restarted, which lifted its fence, and received more.
  CHECK(Fixture::OnlyAction<Failover::Order>(it.AnswerFence("b", 14)).server ==
        "b");
}

// Guards against the loss of commits that a replica received after its fence
// was lifted, while the claimant was paused and its answers waited unread.
TEST_CASE("a fence report that was read late is not fresh") {
  Fixture it;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  it.situation.now += std::chrono::seconds(2);
  const Duration pause = std::chrono::seconds(2);
  CHECK(it.AnswerFence("b", 10, pause).empty());
  const auto fences = it.AnswerFence("c", 10, pause);
  REQUIRE(fences.size() == 2);
  CHECK(std::holds_alternative<Failover::Fence>(fences.front()));
  CHECK(std::holds_alternative<Failover::Fence>(fences.back()));
  // "c" had restarted, and received more from a primary that returned.
  (void)it.AnswerFence("b", 10);
  CHECK(Fixture::OnlyAction<Failover::Order>(it.AnswerFence("c", 14)).server ==
        "c");
}

TEST_CASE(
    "without the store, replicas fenced by another instance are not fenced") {
  Fixture it;
  it.situation.fallback_token = 5;
  (void)it.Step();
  const auto inspections = it.AnswerClaim(0, true);
  REQUIRE(inspections.size() == 2);
  CHECK(std::get<Failover::Inspect>(inspections.front()).server == "b");
  const ServerStatus fence_status{false, 3, {3, 10}, 4};
  CHECK(
      it.failover.OnInspected(it.situation, "b", it.situation.now, fence_status)
          .empty());
  CHECK(it.failover.phase() == Failover::Phase::kIdle);
  // Once no delayed order of the other instance can arrive, they are fenced.
  (void)it.Step(std::chrono::seconds(13));
  (void)it.AnswerClaim(0, true);
  CHECK(
      it.failover.OnInspected(it.situation, "b", it.situation.now, fence_status)
          .size() == 1);
}

// Guards against the loss of commits of a server that joined after the list was
// read on which an instance without the store relies.
TEST_CASE("without the store nothing is ordered by an old list") {
  Fixture it;
  it.situation.fallback_token = 5;
  (void)it.Step();
  (void)it.AnswerClaim(0, true);
  (void)it.AnswerFence("b", 10);
  it.situation.fallback_token = 0;
  CHECK(it.AnswerFence("c", 12).empty());
  CHECK(it.failover.WaitsFor(it.situation) == Failover::Wait::kServerList);
}

TEST_CASE("without the store a server list is relied on for nine seconds") {
  const auto orders_after = [](Duration age) {
    ProxyDriver driver;
    driver.Feed(session::TokenObtained{3});
    driver.OpenSession(1, "claims");
    driver.OpenSession(2, "lookups");
    for (Duration passed{0}; passed < age; passed += Milliseconds(25)) {
      driver.AdvanceTime(Milliseconds(25));
      driver.CompleteConnects();
      driver.AnswerAll({});
    }
    driver.LoseAllConnections();
    driver.keeps_order = true;
    driver.log_ends = {{"b", 10}, {"c", 10}};
    driver.Query(2, Verb::kRead, {}, "item");
    for (int n = 0; n < 80 && driver.promotions.empty(); ++n) {
      driver.AdvanceTime(Milliseconds(25));
      driver.CompleteConnectsTo({"b", "c"});
      driver.FailClaims();
      driver.AnswerAs("", {"b", "c"});
    }
    return !driver.promotions.empty();
  };
  CHECK(orders_after(std::chrono::seconds(6)));
  CHECK_FALSE(orders_after(std::chrono::seconds(10)));
}

TEST_CASE("a primary that still answers is demoted with the order") {
  Fixture it;
  it.situation.primary = "a";
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  const auto actions = it.AnswerFence("c", 12);
  REQUIRE(actions.size() == 2);
  CHECK(std::get<Failover::Demote>(actions.front()).term == 4);
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kAccepted);
  CHECK(it.Step(std::chrono::milliseconds(100)).empty());
  CHECK(it.Step(std::chrono::milliseconds(300)).size() == 1);
}

namespace {

/// A planned switchover up to the demotion of the primary, whose log ends at
/// `end`.
void DemotePrimary(Fixture& it, std::uint64_t end) {
  it.situation.primary = "a";
  it.situation.primary_leaving = true;
  (void)it.Step();
  CHECK(Fixture::OnlyAction<Failover::Demote>(it.AnswerClaim(7)).server == "a");
  const ServerStatus demoted{false, 3, {3, end}, 0};
  const auto fences = it.failover.OnDemoted(it.situation, "a", demoted);
  REQUIRE(fences.size() == 2);
  CHECK(std::holds_alternative<Failover::Fence>(fences.front()));
  // The demoted server is no longer known as the primary.
  it.situation.primary.clear();
  it.situation.primary_leaving = false;
  it.situation.primary_lost = false;
}

}  // namespace

TEST_CASE(
    "a primary in a planned switchover is demoted before replicas are fenced") {
  Fixture it;
  DemotePrimary(it, 12);
  (void)it.AnswerFence("b", 10);
  CHECK(Fixture::OnlyAction<Failover::Order>(it.AnswerFence("c", 12)).server ==
        "c");
}

TEST_CASE(
    "a demoted primary leads again if a server that is not listed may have "
    "the only copy of a commit") {
  Fixture it;
  DemotePrimary(it, 14);
  (void)it.AnswerFence("b", 10);
  CHECK(Fixture::OnlyAction<Failover::Order>(it.AnswerFence("c", 12)).server ==
        "a");
}

TEST_CASE(
    "a lost primary that answers its demotion after all leads again if it has "
    "commits that no replica has") {
  Fixture it;
  it.situation.primary = "a";
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  const ServerStatus demoted{false, 3, {3, 14}, 0};
  CHECK(it.failover.OnDemoted(it.situation, "a", demoted).empty());
  const auto actions = it.AnswerFence("c", 12);
  CHECK(std::get<Failover::Order>(actions.back()).server == "a");
}

namespace {

/// How many of `count` instances claim within a second of a primary's loss.
int ClaimantsOf(int count) {
  int claimants = 0;
  for (int n = 0; n < count; ++n) {
    session::InstanceList list;
    for (int k = 0; k < count; ++k)
      list["p" + std::to_string(k)] = {"zone", ""};
    ProxyDriver member({}, "p" + std::to_string(n));
    member.Feed(session::InstancesRead{list});
    member.OpenSession(1, "claims");
    member.Query(1, Verb::kWrite, {}, "item data");
    for (int step = 0; step < 60; ++step) {
      member.AdvanceTime(Milliseconds(25));
      member.CompleteConnectsTo({"b", "c"});
      member.AnswerReplicas();
    }
    claimants += member.claims.empty() ? 0 : 1;
  }
  return claimants;
}

}  // namespace

TEST_CASE("in a large fleet few instances claim one promotion") {
  CHECK(ClaimantsOf(4) == 4);
  CHECK(ClaimantsOf(40) <= 4);
  CHECK(ClaimantsOf(40) >= 1);
}

TEST_CASE("an order waits for a server that joins to be listed and fenced") {
  Fixture it;
  it.situation.joiner_expected = true;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  CHECK(it.AnswerFence("c", 12).empty());
  it.situation.joiner_expected = false;
  it.situation.replicas["d"] = false;
  CHECK(it.Step(std::chrono::milliseconds(100)).empty());
  CHECK(Fixture::OnlyAction<Failover::Order>(it.AnswerFence("d", 13)).server ==
        "d");
}

TEST_CASE("replicas are fenced if the primary does not answer its demotion") {
  Fixture it;
  it.situation.primary = "a";
  it.situation.primary_leaving = true;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  CHECK(it.Step(std::chrono::milliseconds(100)).empty());
  const auto fences = it.Step(std::chrono::milliseconds(400));
  REQUIRE(fences.size() == 3);
  CHECK(std::holds_alternative<Failover::Demote>(fences.front()));
  CHECK(std::holds_alternative<Failover::Fence>(fences.back()));
}

namespace {

/// Failover of a service whose instances rely on leases, on a platform that
/// checks no tokens.
Fixture UncheckedFixture() {
  Fixture it;
  session::FailoverOptions options;
  options.leadership_lease = std::chrono::milliseconds(600);
  options.tokens_checked = false;
  it.failover = Failover(options);
  it.situation.primary_lost = false;
  (void)it.Step();
  it.situation.primary_lost = true;
  it.situation.now += std::chrono::seconds(1);
  (void)it.Step();
  return it;
}

}  // namespace

TEST_CASE("an order waits until no instance relies on proof from before") {
  Fixture it = UncheckedFixture();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  CHECK(it.AnswerFence("c", 12).empty());
  const auto queries = it.Step(std::chrono::milliseconds(300));
  REQUIRE(queries.size() == 2);
  CHECK(std::holds_alternative<Failover::Inspect>(queries.front()));
  const ServerStatus held{false, 3, {3, 12}, 4};
  CHECK(it.failover.OnInspected(it.situation, "b", it.situation.now, held)
            .empty());
  CHECK(it.failover.OnInspected(it.situation, "c", it.situation.now, held)
            .empty());
  const auto order = it.Step(std::chrono::milliseconds(310));
  CHECK(std::holds_alternative<Failover::Order>(order.back()));
}

TEST_CASE("the wait starts again when a fenced replica has restarted") {
  Fixture it = UncheckedFixture();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  (void)it.AnswerFence("c", 12);
  (void)it.Step(std::chrono::milliseconds(300));
  const ServerStatus restarted{false, 3, {3, 12}, 0};
  const auto fence =
      it.failover.OnInspected(it.situation, "c", it.situation.now, restarted);
  CHECK(Fixture::OnlyAction<Failover::Fence>(fence).server == "c");
  (void)it.AnswerFence("c", 13);
  for (const auto& action : it.Step(std::chrono::milliseconds(310))) {
    CHECK_FALSE(std::holds_alternative<Failover::Order>(action));
  }
}

TEST_CASE("nothing is ordered without the store if no token is checked") {
  Fixture it = UncheckedFixture();
  it.situation.fallback_token = 9;
  CHECK(it.AnswerClaim(0, true).empty());
  CHECK(it.failover.phase() == Failover::Phase::kIdle);
}

TEST_CASE(
    "while an unchecked order may be executed no other server is ordered") {
  Fixture it = UncheckedFixture();
  std::vector<ServerId> ordered;
  const auto collect = [&](const Failover::Actions& actions) {
    for (const auto& action : actions) {
      const auto* order = std::get_if<Failover::Order>(&action);
      if (order != nullptr) ordered.push_back(order->server);
    }
  };
  const auto fence = [&](std::uint64_t b, std::uint64_t c) {
    ordered.clear();
    for (int n = 0; n < 6; ++n) {
      collect(it.Step(std::chrono::milliseconds(300)));
      const ServerStatus status_b{false, 3, {3, b}, 4};
      const ServerStatus status_c{false, 3, {3, c}, 4};
      collect(it.failover.OnInspected(it.situation, "b", it.situation.now,
                                      status_b));
      collect(it.failover.OnInspected(it.situation, "c", it.situation.now,
                                      status_c));
      collect(
          it.failover.OnFenced(it.situation, "b", it.situation.now, status_b));
      collect(
          it.failover.OnFenced(it.situation, "c", it.situation.now, status_c));
    }
  };
  (void)it.AnswerClaim(7);
  fence(10, 12);
  REQUIRE(!ordered.empty());
  CHECK(ordered.front() == "c");
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kUnknown);
  fence(20, 12);
  for (const ServerId& server : ordered) CHECK(server == "c");
}

// Guards against orders of two instances at a time: one repeats its order under
// a claim that has ended, after another instance has claimed and ordered.
TEST_CASE("an unchecked order isn't repeated under a claim that has ended") {
  Fixture it = UncheckedFixture();
  const auto fence_and_wait = [&] {
    Failover::Actions actions;
    for (int n = 0; n < 4; ++n) {
      const ServerStatus held{false, 3, {3, 12}, 4};
      for (const char* id : {"b", "c"}) {
        (void)it.failover.OnFenced(it.situation, id, it.situation.now, held);
        (void)it.failover.OnInspected(it.situation, id, it.situation.now, held);
      }
      actions = it.Step(std::chrono::milliseconds(210));
      if (it.failover.phase() != Failover::Phase::kFencing) return actions;
    }
    return actions;
  };
  (void)it.AnswerClaim(7);
  REQUIRE(std::holds_alternative<Failover::Order>(fence_and_wait().back()));
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kUnknown);
  (void)it.Step(std::chrono::milliseconds(1500));
  Fixture::OnlyAction<Failover::Claim>(fence_and_wait());
  // Another instance has the claim.
  CHECK(it.AnswerClaim(0).empty());
  Fixture::OnlyAction<Failover::Claim>(it.Step(std::chrono::seconds(1)));
  CHECK(it.AnswerClaim(0, true).empty());
  Fixture::OnlyAction<Failover::Claim>(it.Step(std::chrono::seconds(1)));
  (void)it.AnswerClaim(9);
  const auto order = fence_and_wait();
  REQUIRE(std::holds_alternative<Failover::Order>(order.back()));
  CHECK(std::get<Failover::Order>(order.back()).token == 9);
}

TEST_CASE(
    "claimants choose the same server when the last primary has restarted") {
  Fixture it;
  it.situation.replicas = {{"a", false}, {"b", false}, {"c", false}};
  it.situation.last_primary = "a";
  it.situation.last_primary_term = 3;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("a", 13);
  (void)it.AnswerFence("b", 10);
  CHECK(Fixture::OnlyAction<Failover::Order>(it.AnswerFence("c", 12)).server ==
        "c");
}

TEST_CASE("the last primary is promoted if another was primary since") {
  Fixture it;
  it.situation.replicas = {{"a", false}, {"b", false}};
  it.situation.last_primary = "a";
  it.situation.last_primary_term = 2;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("a", 13);
  CHECK(Fixture::OnlyAction<Failover::Order>(it.AnswerFence("b", 10)).server ==
        "a");
}

TEST_CASE("another server needs a new token after an unanswered order") {
  Fixture it;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  (void)it.AnswerFence("c", 12);
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kUnknown);
  (void)it.Step(std::chrono::milliseconds(700));
  (void)it.AnswerFence("b", 15);
  Fixture::OnlyAction<Failover::Claim>(it.AnswerFence("c", 12));
}

// Guards against two orders under way: the one for the former primary would end
// the lead of the server that the first one promotes.
TEST_CASE("an unanswered order is repeated if the former primary returns") {
  Fixture it;
  it.situation.primary = "a";
  it.situation.primary_term = 3;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  (void)it.AnswerFence("c", 12);
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kUnknown);
  it.situation.primary_lost = false;
  Fixture::OnlyAction<Failover::Claim>(
      it.failover.OnOrdered(it.situation, PromotionResult::kRefused));
  // The replicas stay fenced, and the former primary is demoted.
  const auto fences = it.AnswerClaim(9);
  REQUIRE(fences.size() == 3);
  CHECK(std::holds_alternative<Failover::Fence>(fences.front()));
  CHECK(std::get<Failover::Demote>(fences.back()).server == "a");
  (void)it.AnswerFence("b", 10);
  const auto order = it.AnswerFence("c", 12);
  CHECK(std::get<Failover::Order>(order.back()).server == "c");
  CHECK(std::get<Failover::Order>(order.back()).token == 9);
}

TEST_CASE("replicas stay fenced while an abandoned order may be executed") {
  Fixture it;
  it.situation.primary = "a";
  it.situation.primary_term = 3;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  (void)it.AnswerFence("c", 12);
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kUnknown);
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kRefused);
  it.situation.primary_lost = false;
  // Another instance has the claim.
  for (int n = 0; n < 11; ++n) {
    CHECK(it.AnswerClaim(0).empty());
    Fixture::OnlyAction<Failover::Claim>(it.Step(std::chrono::seconds(1)));
  }
  it.situation.now += std::chrono::seconds(1);
  CHECK(it.AnswerClaim(0).empty());
  CHECK(it.failover.phase() == Failover::Phase::kIdle);
  for (int n = 0; n < 60; ++n) CHECK(it.Step(std::chrono::seconds(1)).empty());
}

// Guards against two servers under orders of two instances: the claim would end
// while the order of its holder may still be executed.
TEST_CASE("the claim is kept while an unanswered order may be executed") {
  Fixture it;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  (void)it.AnswerFence("c", 12);
  CHECK(it.claims_kept == 0);
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kUnknown);
  // It is executed, and may be once more.
  it.failover.OnPrimaryConfirmed("c");
  it.situation.primary_lost = false;
  for (int n = 0; n < 40; ++n) (void)it.Step(std::chrono::milliseconds(500));
  CHECK(it.claims_kept >= 11);
  CHECK(it.claims_kept <= 12);
}

TEST_CASE(
    "no other server is ordered while an executed order may be repeated") {
  Fixture it;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  (void)it.AnswerFence("c", 12);
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kUnknown);
  it.failover.OnPrimaryConfirmed("c");
  it.situation.primary_lost = false;
  (void)it.Step(std::chrono::seconds(1));
  // Its server is lost as well.
  it.situation.primary_lost = true;
  it.situation.replicas = {{"a", false}, {"b", false}};
  const TimePoint ordered_at = it.situation.now - std::chrono::seconds(1);
  std::uint64_t token = 8;
  std::set<ServerId> ordered;
  while (ordered.empty() && token < 100) {
    (void)it.Step(std::chrono::milliseconds(250));
    (void)it.AnswerClaim(token++);
    for (const char* id : {"a", "b"}) {
      for (const auto& action : it.AnswerFence(id, 12)) {
        const auto* order = std::get_if<Failover::Order>(&action);
        if (order != nullptr) ordered.insert(order->server);
      }
    }
  }
  CHECK(ordered.size() == 1);
  CHECK(it.situation.now - ordered_at >= std::chrono::seconds(12));
}

// Guards against two servers under orders of two instances: the one that gave
// the first order was killed or lost the store.
TEST_CASE("the server under another instance's order is ordered again") {
  Fixture it;
  it.situation.recorded_order = "b";
  it.situation.recorded_token = 5;
  it.situation.recorded_since = it.situation.now;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  // "c" has more, which no order can save.
  const auto order = it.AnswerFence("c", 12);
  CHECK(Fixture::OnlyAction<Failover::Order>(order).server == "b");
  CHECK(it.orders_recorded == 1);
}

// Guards against the loss of commits that a replica received after another
// instance had ordered one that lacks them.
TEST_CASE("a replica that has grown since another's order is ordered instead") {
  Fixture it;
  it.situation.recorded_order = "b";
  it.situation.recorded_token = 5;
  it.situation.recorded_since = it.situation.now;
  it.situation.recorded_end = Position{3, 10};
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  const auto order = it.AnswerFence("c", 12);
  CHECK(Fixture::OnlyAction<Failover::Order>(order).server == "c");
  CHECK(Fixture::OnlyAction<Failover::Order>(order).token == 7);
}

TEST_CASE("the server under another's order is ordered if no log has grown") {
  Fixture it;
  it.situation.recorded_order = "b";
  it.situation.recorded_token = 5;
  it.situation.recorded_since = it.situation.now;
  it.situation.recorded_end = Position{3, 12};
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  const auto order = it.AnswerFence("c", 12);
  CHECK(Fixture::OnlyAction<Failover::Order>(order).server == "b");
}

TEST_CASE(
    "another's order is awaited if its server is gone, for a bounded time") {
  Fixture it;
  it.situation.replicas = {{"c", false}};
  it.situation.recorded_order = "b";
  it.situation.recorded_token = 5;
  it.situation.recorded_since = it.situation.now;
  const TimePoint since = it.situation.now;
  std::uint64_t token = 7;
  bool ordered = false;
  while (!ordered && token < 100) {
    (void)it.Step(std::chrono::milliseconds(250));
    (void)it.AnswerClaim(token++);
    for (const auto& action : it.AnswerFence("c", 12)) {
      ordered = ordered || std::holds_alternative<Failover::Order>(action);
    }
  }
  CHECK(ordered);
  CHECK(it.situation.now - since >= std::chrono::seconds(12));
  CHECK(it.situation.now - since < std::chrono::seconds(16));
}

TEST_CASE("nothing is ordered that could not be recorded") {
  Fixture it;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  const ServerStatus fenced{false, 3, {3, 12}, 4};
  const auto record =
      it.failover.OnFenced(it.situation, "c", it.situation.now, fenced);
  CHECK(Fixture::OnlyAction<Failover::Record>(record).server == "c");
  Fixture::OnlyAction<Failover::Claim>(
      it.failover.OnRecorded(it.situation, false));
}

TEST_CASE("another server is ordered once an unanswered order has expired") {
  Fixture it;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 12);
  (void)it.AnswerFence("c", 10);
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kUnknown);
  // "b" doesn't run any more.
  it.situation.replicas = {{"c", false}};
  for (int n = 0; n < 22; ++n) {
    for (const auto& action : it.Step(std::chrono::milliseconds(500))) {
      CHECK_FALSE(std::holds_alternative<Failover::Order>(action));
    }
    CHECK(it.AnswerFence("c", 10).empty());
  }
  (void)it.Step(std::chrono::seconds(2));
  Fixture::OnlyAction<Failover::Claim>(it.Step(std::chrono::seconds(1)));
  (void)it.AnswerClaim(9);
  const auto order = it.AnswerFence("c", 10);
  CHECK(Fixture::OnlyAction<Failover::Order>(order).server == "c");
  CHECK(Fixture::OnlyAction<Failover::Order>(order).token == 9);
}

TEST_CASE("a token not above that of an unanswered order is rejected") {
  Fixture it;
  it.situation.fallback_token = 7;
  (void)it.Step();
  (void)it.AnswerClaim(0, true);
  (void)it.AnswerFence("b", 10);
  (void)it.AnswerFence("c", 12);
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kUnknown);
  (void)it.Step(std::chrono::milliseconds(700));
  (void)it.AnswerFence("b", 15);
  Fixture::OnlyAction<Failover::Claim>(it.AnswerFence("c", 12));
  CHECK(it.AnswerClaim(0, true).empty());
  CHECK(it.AnswerClaim(8).size() == 2);
}

TEST_CASE(
    "a primary of a newer term is promoted to fence off an unanswered order") {
  Fixture it;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  (void)it.AnswerFence("c", 12);
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kUnknown);
  (void)it.Step(std::chrono::milliseconds(700));
  it.situation.primary_lost = false;
  it.situation.primary = "b";
  // Its term shows whether it is the former primary.
  const auto query = it.Step(std::chrono::milliseconds(300));
  CHECK(Fixture::OnlyAction<Failover::Inspect>(query).server == "b");
  it.situation.primary_term = 4;
  Fixture::OnlyAction<Failover::Claim>(it.Step());
  CHECK(Fixture::OnlyAction<Failover::Order>(it.AnswerClaim(8)).server == "b");
}

TEST_CASE("an unanswered order is not fenced off while no primary is known") {
  Fixture it;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  (void)it.AnswerFence("c", 12);
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kUnknown);
  it.situation.primary_lost = false;
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kRefused);
  CHECK(it.AnswerClaim(9).size() == 2);
}

// Guards against the loss of commits that a replica receives after its fence
// was lifted: nothing shows the orders of instances without the store, which
// may rely on it.
TEST_CASE("an abandoned claim never unfences replicas") {
  Fixture it;
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  (void)it.AnswerFence("c", 12);
  CHECK(it.failover.OnOrdered(it.situation, PromotionResult::kRefused).empty());
  it.situation.primary_lost = false;
  for (int n = 0; n < 60; ++n) CHECK(it.Step(std::chrono::seconds(1)).empty());
  CHECK(it.failover.fences_left() == std::set<ServerId>{"b", "c"});
  // Another instance promoted a server, or it restarted.
  it.failover.OnUnfenced("b");
  CHECK(it.failover.fences_left() == std::set<ServerId>{"c"});
}

TEST_CASE("without the store instances claim after staggered delays") {
  Fixture it;
  it.situation.fallback_token = 5;
  it.situation.fallback_token_delay = std::chrono::seconds(3);
  (void)it.Step();
  CHECK(it.AnswerClaim(0, true).empty());
  CHECK(it.Step(std::chrono::seconds(2)).empty());
  Fixture::OnlyAction<Failover::Claim>(it.Step(std::chrono::seconds(2)));
  CHECK(it.AnswerClaim(0, true).size() == 2);
}

TEST_CASE("a fallback token whose order was unanswered is not used again") {
  Fixture it;
  it.situation.fallback_token = 5;
  (void)it.Step();
  (void)it.AnswerClaim(0, true);
  for (const char* id : {"b", "c"}) {
    (void)it.failover.OnInspected(it.situation, id, it.situation.now,
                                  {false, 3, {3, 9}, 0});
    (void)it.AnswerFence(id, 10);
  }
  (void)it.failover.OnOrdered(it.situation, PromotionResult::kUnknown);
  it.failover.OnPrimaryConfirmed("b");
  it.situation.primary_lost = false;
  (void)it.Step(std::chrono::seconds(1));
  it.situation.primary_lost = true;
  (void)it.Step(std::chrono::seconds(1));
  (void)it.Step(std::chrono::seconds(1));
  CHECK(it.AnswerClaim(0, true).empty());
  CHECK(it.failover.phase() == Failover::Phase::kIdle);
}

TEST_CASE("instances in the zone of the lost primary have the longest delays") {
  const auto time_to_order = [](const ZoneId& zone_of_other) {
    ProxyDriver driver;
    driver.Feed(session::InstancesRead{
        {{"self", {"zone", ""}}, {"other", {zone_of_other, ""}}}});
    driver.Feed(session::TokenObtained{3});
    driver.OpenSession(1, "claims");
    driver.Query(1, Verb::kWrite, {}, "item data");
    const TimePoint lost = driver.now;
    for (int n = 0; n < 200 && driver.promotions.empty(); ++n) {
      driver.AdvanceTime(std::chrono::milliseconds(25));
      driver.CompleteConnectsTo({"b", "c"});
      driver.AnswerReplicas();
      driver.FailClaims();
    }
    return driver.now - lost;
  };
  const Duration delay_in_primary_zone = time_to_order("elsewhere");
  CHECK(delay_in_primary_zone >= std::chrono::milliseconds(1000));
  CHECK(delay_in_primary_zone < std::chrono::milliseconds(2000));
}

namespace {

/// Whether a promotion is claimed within 1.5 s after the primary fell silent,
/// if replica "c" is no longer listed and was already silent for
/// `silent_before`.
bool ClaimsWithoutReplica(Duration silent_before) {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  const auto advance = [&](Duration time, const std::set<ServerId>& silent) {
    for (Duration passed{0}; passed < time; passed += Milliseconds(25)) {
      driver.AdvanceTime(Milliseconds(25));
      std::set<ServerId> replicas_reachable = {"a", "b", "c"};
      for (const auto& it : silent) replicas_reachable.erase(it);
      driver.CompleteConnectsTo(replicas_reachable);
      driver.AnswerAll(silent);
    }
  };
  driver.LoseAllConnections();
  for (Duration passed{0}; passed < silent_before;
       passed += Milliseconds(500)) {
    driver.Query(1, Verb::kRead, {}, "item");
    advance(Milliseconds(500), {"c"});
  }
  driver.ListServers({"a", "b"});
  driver.Query(1, Verb::kWrite, {}, "item data");
  advance(Milliseconds(1500), {"a", "c"});
  return !driver.claims.empty();
}

}  // namespace

TEST_CASE("a replica that was silent long before its primary is not awaited") {
  CHECK(ClaimsWithoutReplica(Milliseconds(4000)));
}

TEST_CASE("a replica that fell silent with its primary may have commits") {
  CHECK_FALSE(ClaimsWithoutReplica(Milliseconds(0)));
}

namespace {

/// A primary "a" falls silent, its successor "b" as well, and the replica "c"
/// lacks their last commits.
class SilentSuccessor {
 public:
  SilentSuccessor() {
    driver.log_ends = {{"a", 10}, {"b", 10}, {"c", 5}};
    driver.keeps_order = true;
    driver.OpenSession(1, "claims");
    Write();
    driver.LoseAllConnections();
    PassTime(Milliseconds(1500), "", {"b", "c"});
    REQUIRE(driver.promotions.size() == 1);
    CHECK(driver.promotions.front().server == "b");
    PassTime(Milliseconds(700), "b", {"b", "c"});
    driver.LoseAllConnections();
    PassTime(Milliseconds(1000), "", {"c"});
    driver.ListServers({"b", "c"});
    PassTime(Milliseconds(4000), "", {"c"});
    driver.ListServers({"c"});
  }

  /// Lets the servers in `running` answer, of which `primary` leads, while a
  /// client writes.
  void PassTime(Duration time, const ServerId& primary,
                const std::set<ServerId>& running) {
    for (Duration passed{0}; passed < time; passed += Milliseconds(25)) {
      if (passed % std::chrono::seconds(1) == Duration(0)) Write();
      driver.AdvanceTime(Milliseconds(25));
      driver.CompleteConnectsTo(running);
      const std::size_t ordered = driver.promotions.size();
      driver.AnswerAs(primary, running);
      if (driver.promotions.size() == ordered) continue;
      driver.Feed(
          session::PromotionAnswered{"books", driver.promotions.back().server,
                                     session::PromotionResult::kAccepted});
    }
  }

  ProxyDriver driver;

 private:
  void Write() { driver.Query(1, Verb::kWrite, {}, "item data"); }
};

}  // namespace

// Guards against the promotion of a replica that lacks commits which two other
// servers have, both down at once, and which return with their logs.
TEST_CASE("a replica that lacks commits of two silent servers isn't promoted") {
  SilentSuccessor it;
  it.PassTime(Milliseconds(2500), "", {"c"});
  CHECK(it.driver.promotions.size() == 1);
  // The former primary returns with its log.
  it.driver.ListServers({"a", "c"});
  it.PassTime(Milliseconds(4000), "", {"a", "c"});
  REQUIRE(it.driver.promotions.size() == 2);
  CHECK(it.driver.promotions.back().server == "a");
}

// Guards against a service without a primary if two servers are lost for good.
TEST_CASE("servers that don't return hold up a promotion for a bounded time") {
  SilentSuccessor it;
  it.PassTime(std::chrono::seconds(15), "", {"c"});
  REQUIRE(it.driver.promotions.size() >= 2);
  CHECK(it.driver.promotions.back().server == "c");
}

// Guards against a wait for a server that returned under another id.
TEST_CASE("a silent server is awaited until another one has its address") {
  ProxyDriver driver;
  driver.addresses["d"] = "c";
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.LoseAllConnections();
  const auto pass = [&](const std::set<ServerId>& running) {
    driver.Query(1, Verb::kWrite, {}, "item data");
    driver.AdvanceTimeWithReachable(running, std::chrono::milliseconds(1500));
  };
  pass({"b"});
  driver.ListServers({"b"});
  pass({"b"});
  CHECK(driver.claims.empty());
  driver.ListServers({"b", "d"});
  pass({"b", "d"});
  CHECK_FALSE(driver.claims.empty());
}

// Guards against the promotion of a replica that lacks commits of another one
// which serves but has left the list.
TEST_CASE("a replica that left the list but answers is fenced") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.ListServers({"a", "b"});
  for (int n = 0; n < 300; ++n) {
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

TEST_CASE("a server is promoted only if its log has what others may have") {
  Fixture it;
  it.situation.required = Position{3, 12};
  (void)it.Step();
  (void)it.AnswerClaim(7);
  (void)it.AnswerFence("b", 10);
  CHECK(it.AnswerFence("c", 11).empty());
  // The server that was left out has returned.
  it.situation.required.reset();
  it.situation.replicas["d"] = false;
  (void)it.Step(std::chrono::milliseconds(300));
  CHECK(Fixture::OnlyAction<Failover::Order>(it.AnswerFence("d", 12)).server ==
        "d");
}

TEST_CASE(
    "an isolated instance refuses statements at once and claims nothing") {
  ProxyDriver driver;
  driver.ListServers({"a", "b", "c"}, "elsewhere");
  driver.OpenSession(1, "claims");
  driver.LoseAllConnections();
  driver.AdvanceTimeWithReachable({}, std::chrono::milliseconds(200));
  CHECK_FALSE(driver.proxy.Ready());
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.AdvanceTimeWithReachable({}, std::chrono::milliseconds(50));
  CHECK(driver.answers.back().reply.error == ErrorCode::kBusy);
  driver.AdvanceTimeWithReachable({}, std::chrono::seconds(4));
  CHECK(driver.claims.empty());
}

TEST_CASE("an instance probes for a primary after isolation before it claims") {
  ProxyDriver driver;
  driver.ListServers({"a", "b", "c"}, "elsewhere");
  driver.OpenSession(1, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.LoseAllConnections();
  driver.AdvanceTimeWithReachable({}, std::chrono::seconds(1));
  driver.AdvanceTimeWithReachable({"b", "c"}, std::chrono::milliseconds(1300));
  CHECK(driver.claims.empty());
  driver.AdvanceTimeWithReachable({"b", "c"}, std::chrono::milliseconds(600));
  CHECK(driver.claims.size() == 1);
}

}  // namespace corianderdock::test
