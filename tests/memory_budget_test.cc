/// Who is admitted, paused and closed by the budget of a process.
#include "corianderdock/memory_budget.h"

#include <catch2/catch.hpp>
#include <tuple>
#include <vector>

namespace corianderdock::test {

namespace {

constexpr std::size_t kMegabyte = 1 << 20;

BudgetLimits SmallLimits() {
  BudgetLimits it;
  it.total_bytes = 8 * kMegabyte;
  it.reserved_bytes = 2 * kMegabyte;
  it.connection_bytes = 4 * kMegabyte;
  it.max_descriptors = 60;
  it.reserved_descriptors = 40;
  it.max_connections = 100;
  return it;
}

}  // namespace

// Guards against closing a client that just sent its statement instead of the
// ones that stopped in the middle of theirs.
TEST_CASE("the largest connections that made no progress are closed first") {
  MemoryBudget budget(SmallLimits());
  std::vector<MemoryBudget::AccountId> stalled;
  for (int n = 0; n < 6; ++n) {
    stalled.push_back(*budget.Open(PeerKind::kClient, 1).id);
    CHECK(budget.Set(stalled.back(), kMegabyte, 0).close.empty());
  }
  const auto small = *budget.Open(PeerKind::kClient, 1).id;
  const auto active = *budget.Open(PeerKind::kClient, 1).id;
  CHECK(budget.Set(small, 1000, 0).close ==
        std::vector<MemoryBudget::AccountId>{stalled[0]});
  CHECK(budget.Set(active, kMegabyte, 0).close ==
        std::vector<MemoryBudget::AccountId>{stalled[1]});
  CHECK(budget.Set(active, 0, 3 * kMegabyte).close ==
        std::vector<MemoryBudget::AccountId>{stalled[2], stalled[3]});
  CHECK(budget.bytes() <= 6 * kMegabyte);
}

TEST_CASE("clients can't use the reserved part") {
  MemoryBudget budget(SmallLimits());
  const auto client = *budget.Open(PeerKind::kClient, 1).id;
  const auto instance = *budget.Open(PeerKind::kInstance, 1).id;
  CHECK(budget.Set(client, 6 * kMegabyte, 0).close.empty());
  CHECK(budget.Set(instance, 2 * kMegabyte, 0).close.empty());
  CHECK(budget.Set(client, 6 * kMegabyte + 1, 0).close ==
        std::vector<MemoryBudget::AccountId>{client});
}

TEST_CASE("a connection over its share is not read") {
  MemoryBudget budget(SmallLimits());
  const auto id = *budget.Open(PeerKind::kClient, 1).id;
  CHECK_FALSE(budget.Set(id, 4 * kMegabyte, 0).pause);
  CHECK(budget.Set(id, 4 * kMegabyte, 1).pause);
}

// Guards against as many large answers at a time as there are connections.
TEST_CASE("large answers of servers are read in turns") {
  MemoryBudget budget(SmallLimits());
  const auto client = *budget.Open(PeerKind::kClient, 1).id;
  CHECK(budget.Set(client, 5 * kMegabyte + kMegabyte / 2, 0).close.empty());
  const auto first = *budget.Open(PeerKind::kServer, 1).id;
  const auto second = *budget.Open(PeerKind::kServer, 1).id;
  CHECK_FALSE(budget.Set(first, kMegabyte, 0).pause);
  CHECK_FALSE(budget.Set(second, 1000, 0).pause);
  CHECK(budget.Set(second, 100'000, 0).pause);
  CHECK_FALSE(budget.Set(first, kMegabyte, kMegabyte).pause);
  const std::vector<MemoryBudget::AccountId> resumed{second};
  CHECK(budget.Set(first, 0, 0).resume == resumed);
  CHECK_FALSE(budget.Set(second, 2 * kMegabyte, 0).pause);
  CHECK(budget.Set(first, kMegabyte / 4, 0).pause);
  const std::vector<MemoryBudget::AccountId> next{first};
  CHECK(budget.Close(second) == next);
}

// Guards against silent connections that keep all others out.
TEST_CASE("a connection without a message makes way for a new one") {
  MemoryBudget budget(SmallLimits());
  std::vector<MemoryBudget::AccountId> ids;
  for (int n = 0; n < 20; ++n) {
    ids.push_back(*budget.Open(PeerKind::kClient, 1).id);
    if (n != 7) budget.SetStarted(ids.back(), true);
  }
  CHECK(*budget.Open(PeerKind::kServer, 1).id > ids.back());
  const auto made_way = budget.Open(PeerKind::kClient, 1);
  REQUIRE(made_way.id);
  CHECK(made_way.close == ids[7]);
  budget.SetStarted(*made_way.id, true);
  CHECK_FALSE(budget.Open(PeerKind::kClient, 1).id);
  budget.Close(ids[0]);
  CHECK(budget.Open(PeerKind::kClient, 1).id);
}

// The largest deployments must not meet the limits: 4,000 sessions with 391 MB,
// and hundreds of them with 160 MB.
TEST_CASE("idle sessions inside the limits are all admitted") {
  for (const auto& [megabytes, descriptors, sessions] :
       {std::tuple{391U, 4608U, 4000}, std::tuple{160U, 1024U, 900}}) {
    MemoryBudget budget(DeriveLimits(megabytes * kMegabyte, descriptors));
    for (int n = 0; n < sessions; ++n) {
      const auto admission = budget.Open(PeerKind::kClient, 1);
      REQUIRE(admission.id);
      REQUIRE_FALSE(admission.close);
      budget.SetStarted(*admission.id, true);
      REQUIRE(budget.Set(*admission.id, 4096, 0).close.empty());
    }
  }
}

}  // namespace corianderdock::test
