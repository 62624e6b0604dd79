/// Quotas of tenants over many instances, without a network.
#include <catch2/catch.hpp>
#include <iostream>

#include "support/quota_fleet.h"

namespace corianderdock::test {

namespace {

/// Goals of docs/design/demands.md, part C.
constexpr double kSteadyLoss = 0.005;
constexpr double kShiftLoss = 0.02;
/// Until no instance takes the short lists of the start into account.
constexpr Duration kSettleTime =
    session::QuotaOptions().member_retention + seconds(3);

FleetResult Print(const char* what, QuotaFleet& fleet) {
  const FleetResult result = fleet.Result();
  std::cout << what << ": windows above the bound " << result.windows_above
            << ", largest " << 100 * result.worst_window
            << "% of the bound, owed " << result.owed << ", lost "
            << 100 * result.LostShare() << "%, messages/s an instance "
            << result.messages_per_s << "\n";
  return result;
}

void CheckSteady(int instances, int tenants, double usual_per_s) {
  QuotaFleet fleet(
      {.instances = instances, .tenants = tenants, .usual_per_s = usual_per_s});
  fleet.Run(kSettleTime);
  fleet.SetDemand(2, 7);
  fleet.Run(seconds(2));
  fleet.ResetCounts();
  fleet.Run(seconds(10));
  const std::string name = "steady, one tenant at 7 times, " +
                           std::to_string(instances) + " instances, " +
                           std::to_string(tenants) + " tenants";
  const FleetResult result = Print(name.c_str(), fleet);
  CHECK(result.windows_above == 0);
  CHECK(result.LostShare() < kSteadyLoss);
}

}  // namespace

TEST_CASE("the quota serves what is owed in steady state") {
  const auto [instances, tenants, usual] =
      GENERATE(std::tuple(26, 75, 936.0), std::tuple(32, 82, 1123.0),
               std::tuple(87, 150, 1700.0));
  CheckSteady(instances, tenants, usual);
}

TEST_CASE("410 instances serve what is owed in steady state") {
  CheckSteady(410, 1000, 6000);
}

TEST_CASE("the quota serves what is owed while demand shifts") {
  QuotaFleet fleet({});
  fleet.Run(kSettleTime);
  fleet.ResetCounts();
  for (int n = 0; n < 10; ++n) {
    fleet.ShiftIngress();
    fleet.SetDemand(static_cast<std::size_t>(n), 7);
    fleet.Run(seconds(1));
    fleet.SetDemand(static_cast<std::size_t>(n), 1);
  }
  const FleetResult result = Print("shifts each second", fleet);
  CHECK(result.windows_above == 0);
  CHECK(result.LostShare() < kShiftLoss);
}

TEST_CASE("no fault lets a tenant exceed its bound") {
  // Every tenant asks for three times its limit.
  QuotaFleet fleet({.usual_per_s = 1500, .lost = 0.02, .repeated = 0.05});
  for (std::size_t n = 0; n < 75; ++n) fleet.SetDemand(n, 4.8);
  fleet.Run(seconds(8));
  const auto ids = fleet.Ids();
  const auto some = [&](std::size_t n) {
    return std::vector<InstanceId>(
        ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(n));
  };
  SECTION("messages are lost and repeated") { fleet.Run(seconds(15)); }
  SECTION("all instances restart at once") {
    for (int n = 0; n < 3; ++n) {
      for (const auto& it : ids) fleet.Kill(it);
      fleet.Run(milliseconds(1100));
      for (const auto& it : ids) fleet.Start(it);
      fleet.Run(seconds(6));
    }
  }
  SECTION("instances join and die") {
    for (int n = 0; n < 10; ++n) {
      fleet.AddInstance("new" + std::to_string(n));
      if (n % 2 == 0) fleet.Kill(ids[static_cast<std::size_t>(n)]);
      fleet.Run(seconds(2));
    }
    fleet.Run(seconds(25));
  }
  SECTION("half of the instances lose the store and their leases") {
    for (const auto& it : some(13)) fleet.CutFromStore(it, seconds(60));
    fleet.Run(seconds(10));
    for (int n = 0; n < 6; ++n) fleet.AddInstance("new" + std::to_string(n));
    fleet.Run(seconds(60));
  }
  SECTION("the store is away until all leases have ended") {
    fleet.StopStore(seconds(40));
    fleet.Run(seconds(70));
  }
  SECTION("two sides of the network have their own brokers") {
    for (const auto& it : some(13)) {
      fleet.CutFromPeers(it, seconds(30));
      fleet.CutFromStore(it, seconds(30));
    }
    fleet.Run(seconds(60));
  }
  SECTION("instances are suspended") {
    for (int n = 0; n < 8; ++n) {
      for (const auto& it : some(5)) {
        fleet.Suspend(it, seconds(n % 2 == 0 ? 4 : 30));
      }
      fleet.Run(seconds(n % 2 == 0 ? 8 : 34));
    }
  }
  SECTION("limits change") {
    for (int n = 0; n < 6; ++n) {
      fleet.SetTenantRate(0, n % 2 == 0 ? 40 : 600);
      fleet.SetTenantRate(5, n % 2 == 0 ? 200 : 5);
      fleet.Run(seconds(7));
    }
  }
  // What is lost isn't bounded: it includes the start, and every lost token.
  CHECK(Print("faults, all over their limits", fleet).windows_above == 0);
}

TEST_CASE("few owed operations are lost around faults") {
  QuotaFleet fleet({});
  fleet.Run(kSettleTime);
  fleet.ResetCounts();
  const auto ids = fleet.Ids();
  std::string what;
  SECTION("instances die and join") {
    what = "three instances die, three join";
    for (std::size_t n = 0; n < 3; ++n) {
      fleet.Kill(ids[n]);
      fleet.AddInstance("new" + std::to_string(n));
      fleet.Run(seconds(4));
    }
    fleet.Run(seconds(20));
  }
  SECTION("instances are cut off from all others") {
    what = "three instances cut off for 10 s";
    for (std::size_t n = 0; n < 3; ++n) {
      fleet.CutFromPeers(ids[n], seconds(10));
    }
    fleet.Run(seconds(20));
  }
  SECTION("the store is away") {
    what = "store away for 40 s";
    fleet.StopStore(seconds(40));
    fleet.Run(seconds(60));
  }
  SECTION("all instances restart") {
    // No tokens exist until all members of the list have agreed on it.
    what = "all restart";
    for (const auto& it : ids) fleet.Kill(it);
    fleet.Run(milliseconds(1100));
    for (const auto& it : ids) fleet.Start(it);
    fleet.Run(seconds(3));
    fleet.ResetCounts();
    fleet.Run(seconds(10));
  }
  const FleetResult result = Print(what.c_str(), fleet);
  CHECK(result.windows_above == 0);
  CHECK(result.LostShare() < kShiftLoss);
}

TEST_CASE("messages of quotas are decoded as they were sent") {
  const session::QuotaRequest request{
      1, 2, 3, true, ~0ULL, 26, {{"shop \"1\"", 1'500'000, 2}}};
  const session::QuotaAnswer answer{1, 2, 4, 5, 26, {{"shop", 7, 8}}, {"x"}};
  using session::DecodeQuotaMessage;
  using session::EncodeQuotaMessage;
  CHECK(DecodeQuotaMessage(EncodeQuotaMessage(request)) ==
        session::QuotaMessage(request));
  CHECK(DecodeQuotaMessage(EncodeQuotaMessage(answer)) ==
        session::QuotaMessage(answer));
  CHECK(EncodeQuotaMessage(answer).find('\n') == std::string::npos);
  for (const char* text :
       {"", "{}", "[]", "7", "{\"ask\":1}", "{\"ask\":-1}", "[[[[[[[[[[[[[[",
        "{\"answer\":1,\"items\":[[\"a\",-1,0]]}"}) {
    CHECK_FALSE(DecodeQuotaMessage(text));
  }
}

}  // namespace corianderdock::test
