/// Promotion orders that are executed late, on real processes.
#include <signal.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <optional>

#include "soak/clients.h"
#include "soak/cluster.h"
#include "soak/ledger.h"
#include "soak/orders.h"

namespace {

using lab::Ms;
using lab::Task;

constexpr Ms kOrderDelay{4'000};

/// One service behind three proxies, with clients of each.
struct World {
  explicit World(lab::asio::io_context& io, lab::Record& record)
      : cluster(io, record),
        ledger(cluster),
        orders(cluster, ledger, 1),
        clients(cluster, ledger, 1),
        group(cluster.AddGroup("books", {"a", "b", "c"})) {
    lab::RouteSpec route;
    route.host = "orders";
    route.type = "primary";
    route.backend = "books";
    cluster.store.Put("op/config",
                      lab::ConfigText(1, {route}, {"books"}, 60, 1));
    for (const char* zone : {"a", "b", "c"}) {
      const std::string name = std::string("proxy-") + zone;
      cluster.AddInstance(name, zone, orders.Listen(name));
    }
  }

  Task Start() {
    constexpr Ms kWarmUp{6'000};
    co_await cluster.StartInstances();
    for (auto& it : cluster.instances) {
      clients.Start(it, {"orders", "books"});
      clients.Start(it, {"orders", "books"});
    }
    co_await lab::Sleep(kWarmUp);
  }

  void CutPrimary(bool cut) {
    for (const auto& it : cluster.instances) {
      group.servers()[0]->CutFromInstance(it.proxy->name(), cut);
    }
  }

  soak::Cluster cluster;
  soak::Ledger ledger;
  soak::Orders orders;
  soak::Clients clients;
  lab::Group& group;
};

/// A replica crashes, and the primary goes on without it. Then the primary is
/// cut off. Its promotion order is late, and both return meanwhile.
Task ReturnBeforeOrder(World& world) {
  constexpr Ms kUnlisted{8'000};
  constexpr Ms kOrderLimit{15'000};
  constexpr Ms kRegistered{100};
  co_await world.Start();
  lab::Server& replica = *world.group.servers()[1];
  replica.Crash();
  co_await lab::Sleep(kUnlisted);
  world.orders.SetLateShare(1);
  world.orders.SetLostAnswers(0);
  world.orders.SetDelays(kOrderDelay, kOrderDelay);
  soak::Instance* holder = nullptr;
  world.orders.on_order = [&](const soak::Order& order) {
    if (holder != nullptr) return;
    holder = world.cluster.FindInstance(order.holder);
    holder->faulty = true;
    holder->proxy->Kill();
  };
  world.CutPrimary(true);
  const auto limit = lab::Clock::now() + kOrderLimit;
  while (holder == nullptr && lab::Clock::now() < limit) {
    co_await lab::Sleep(Ms(5));
  }
  if (holder == nullptr) throw lab::CannotRun("no promotion was ordered");
  replica.Restart();
  world.CutPrimary(false);
  co_await lab::Sleep(kRegistered);
  holder->proxy->Start();
  while (world.orders.pending() > 0) co_await lab::Sleep(Ms(50));
  world.cluster.stopping = true;
  world.ledger.CheckPrimaries();
}

}  // namespace

// Guards against the loss of commits that the former primary acknowledged
// through a replica which was not fenced, as it was down, before a late order.
TEST_CASE("no commit is lost through a replica that returns before an order") {
  namespace fs = std::filesystem;
  ::signal(SIGPIPE, SIG_IGN);
  const fs::path folder =
      fs::temp_directory_path() / ("late-orders-" + std::to_string(::getpid()));
  soak::EnterFolder(folder, PROXY_PROGRAM);
  // Coroutines that never end refer to them.
  auto& record = *new lab::Record("record.txt");
  auto& io = *new lab::asio::io_context(1);
  auto& world = *new World(io, record);
  std::exception_ptr failure;
  lab::asio::co_spawn(io, ReturnBeforeOrder(world),
                      [&](const std::exception_ptr& error) {
                        failure = error;
                        io.stop();
                      });
  io.run();
  for (auto& it : world.cluster.instances) it.proxy.reset();
  if (failure) std::rethrow_exception(failure);
  INFO("record and logs: " << folder.string());
  REQUIRE(world.ledger.violations() == 0);
  fs::current_path(folder.parent_path());
  fs::remove_all(folder);
}
