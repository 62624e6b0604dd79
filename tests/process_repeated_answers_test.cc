/// Servers that send some answers twice, and texts of all kinds, on real
/// processes.
#include <signal.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <exception>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "soak/audit.h"
#include "soak/caller.h"
#include "soak/clients.h"
#include "soak/cluster.h"
#include "soak/ledger.h"
#include "soak/orders.h"
#include "soak/relays.h"

namespace {

namespace fs = std::filesystem;
using lab::Ms;
using lab::Task;

constexpr char kDatabase[] = "order";
constexpr char kService[] = "books";

soak::Mix ReadersAndWriters() {
  soak::Mix mix;
  mix.reads = 0.5;
  mix.transactions = 0;
  mix.min_pause = mix.max_pause = Ms(3);
  return mix;
}

/// One service behind three proxies and relays.
struct World {
  World(lab::asio::io_context& io, lab::Record& record)
      : cluster(io, record),
        ledger(cluster),
        orders(cluster, ledger, 1),
        relays(cluster, 1),
        audit(cluster, ledger, relays),
        clients(cluster, ledger, 1, &audit, ReadersAndWriters()) {
    cluster.AddGroup(kService, {"a", "b", "c"});
    lab::RouteSpec route;
    route.host = kDatabase;
    route.type = "primary";
    route.backend = kService;
    cluster.store.Put("op/config",
                      lab::ConfigText(1, {route}, {kService}, 60, 1));
    for (const char* zone : {"a", "b", "c"}) {
      const std::string name = std::string("proxy-") + zone;
      cluster.AddInstance(name, zone, orders.Listen(name));
    }
  }

  Task Start() {
    constexpr Ms kWarmUp{5'000};
    co_await cluster.StartInstances();
    co_await lab::Sleep(kWarmUp);
  }
  Task Finish() {
    constexpr Ms kSettled{1'500};
    cluster.stopping = true;
    co_await lab::Sleep(kSettled);
    ledger.CheckPrimaries();
    audit.CheckLogs();
  }

  soak::Cluster cluster;
  soak::Ledger ledger;
  soak::Orders orders;
  soak::Relays relays;
  soak::Audit audit;
  soak::Clients clients;
};

/// Runs a case in a folder of its own, which is kept if a check fails.
void RunCase(const std::string& name, const std::function<Task(World&)>& body,
             const std::function<void(World&)>& check) {
  ::signal(SIGPIPE, SIG_IGN);
  const fs::path folder =
      fs::temp_directory_path() / (name + "-" + std::to_string(::getpid()));
  soak::EnterFolder(folder, PROXY_PROGRAM);
  // Coroutines that never end refer to them.
  auto& record = *new lab::Record("record.txt");
  auto& io = *new lab::asio::io_context(1);
  auto& world = *new World(io, record);
  std::exception_ptr failure;
  lab::asio::co_spawn(io, body(world), [&](const std::exception_ptr& error) {
    failure = error;
    io.stop();
  });
  io.run();
  for (auto& it : world.cluster.instances) it.proxy.reset();
  if (failure) std::rethrow_exception(failure);
  INFO("record and logs: " << folder.string());
  check(world);
  fs::current_path(folder.parent_path());
  fs::remove_all(folder);
}

void RequireHeld(const soak::Ledger& ledger) {
  // MIXED: answers of other statements. LOST: acknowledged, but not run.
  // REFUSED: run, but answered with a promise that it isn't.
  for (const char* rule : {"MIXED", "LOST", "REFUSED", "TWICE", "PINNED",
                           "UNASKED", "STALE", "ANSWER", "ONE"}) {
    CAPTURE(rule);
    CHECK(ledger.violations(rule) == 0);
  }
}

/// What clients got in some phases of a run.
struct Served {
  std::size_t served = 0;
  std::size_t failed = 0;
};

/// Lets clients run for a while, and adds what they got to `sum`.
Task Measure(World& world, const soak::Disturbance& disturbance, Served& sum) {
  constexpr Ms kSettled{200};
  constexpr Ms kMeasured{4'000};
  world.relays.DisturbAll(disturbance);
  co_await lab::Sleep(kSettled);
  const std::size_t served = world.clients.served();
  const std::size_t failed = world.clients.failed();
  co_await lab::Sleep(kMeasured);
  sum.served += world.clients.served() - served;
  sum.failed += world.clients.failed() - failed;
}

/// Opens a session and sends statements, one after the other. Adds those that
/// are not answered with success to `failed`, and returns the last reply.
lab::asio::awaitable<lab::Reply> Ask(World& world, soak::Caller& caller,
                                     std::vector<std::string> texts,
                                     std::vector<std::string>& failed) {
  const int port = world.cluster.instances[0].proxy->client_port();
  if (!caller.connected()) (void)co_await caller.Start(port, kDatabase);
  lab::Reply reply;
  for (const auto& it : texts) {
    reply = co_await caller.Ask(it);
    if (!reply.ok()) failed.push_back(it + ": " + reply.error);
  }
  co_return reply;
}

}  // namespace

// Guards against answers of other statements, and commits acknowledged but not
// run, where an answer that was sent twice is taken for that of a later one.
TEST_CASE("statements are served by servers that repeat answers") {
  constexpr int kRounds = 2;
  constexpr int kSessionsOfInstance = 4;
  soak::Disturbance repeats;
  repeats.repeats = 0.05;
  Served without;
  Served with;
  const auto body = [&](World& world) -> Task {
    co_await world.Start();
    for (int n = 0; n < kSessionsOfInstance; ++n) {
      for (auto& it : world.cluster.instances) {
        world.clients.Start(it, {kDatabase, kService});
      }
    }
    // In turn, as reads take longer the longer the log is.
    for (int n = 0; n < kRounds; ++n) {
      co_await Measure(world, {}, without);
      co_await Measure(world, repeats, with);
    }
    co_await world.Finish();
  };
  RunCase("repeated-answers", body, [&](World& world) {
    CAPTURE(world.relays.repeats(), without.served, without.failed, with.served,
            with.failed);
    CHECK(world.relays.repeats() > 0);
    RequireHeld(world.ledger);
    CHECK(without.failed == 0);
    CHECK(with.served * 10 >= without.served * 9);
  });
}

// Guards against texts that servers read differently than their clients meant
// them: blanks in shapes, and line feeds.
TEST_CASE("servers run the statements that clients sent") {
  std::vector<std::string> failed;
  std::vector<std::string> rows;
  const auto body = [&](World& world) -> Task {
    co_await world.Start();
    const std::vector<std::string> reads = {
        "WRITE 1b4 sound", "PREPARE s1 READ q2 READ oggophn", "EXEC s1 1b4"};
    const std::vector<std::string> writes = {"PREPARE t WRITE q2a",
                                             "EXEC t 3b6 first"};
    const std::vector<std::string> likewise = {"PREPARE s1 WRITE q2a WRITE cn",
                                               "EXEC s1 2b5 crafted"};
    const std::vector<std::string> again = {"EXEC t 3b6 second"};
    const std::vector<std::string> feeds = {
        "SET v 1\nQUERY zz3 WRITE 4b7 smuggled", "READ 1b4"};
    soak::Caller reader(world.cluster, &world.audit, "reader", kService);
    soak::Caller writer(world.cluster, &world.audit, "writer", kService);
    soak::Caller other(world.cluster, &world.audit, "other", kService);
    soak::Caller feeder(world.cluster, &world.audit, "feeder", kService);
    rows = (co_await Ask(world, reader, reads, failed)).rows;
    (void)co_await Ask(world, writer, writes, failed);
    (void)co_await Ask(world, other, likewise, failed);
    (void)co_await Ask(world, writer, again, failed);
    std::vector<std::string> refused;  // as the line may be
    (void)co_await Ask(world, feeder, feeds, refused);
    co_await world.Finish();
  };
  RunCase("texts", body, [&](World& world) {
    CAPTURE(failed);
    RequireHeld(world.ledger);
    CHECK(failed.empty());
    CHECK(rows == std::vector<std::string>{"sound"});
  });
}
