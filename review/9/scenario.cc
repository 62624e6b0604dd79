/// \file
/// The store turns a process away, which orders a promotion under its fallback
/// token. The order is executed late, after that process was killed and the
/// primary is back.
#include "../standins-2/world.h"

namespace {

using review::NowMs;

/// From the store's first refusal until the primary is dark.
constexpr int kRefusedMs = 1500;
constexpr int kDarkMs = 2000;
constexpr int kLateMs = 4000;
/// From the order until the process that gave it is killed, and how long it is
/// down.
constexpr int kKillAfterMs = 50;
constexpr int kDownMs = 3500;
constexpr int kReplicaDownMs = 1000;
constexpr int kConsumers = 6;

}  // namespace

int main(int, char** argv) {
  review::World world(std::string(argv[1]) + "/record.txt");
  world.PutManifest(7, "primary", 800, 100);
  std::mutex mutex;
  std::map<std::string, std::uint64_t> numbers;       ///< of commits
  std::map<std::uint64_t, std::string> acknowledged;  ///< to consumers
  std::vector<std::string> lost;
  world.group.on_commit = [&](const std::string& id, std::uint64_t number) {
    const std::lock_guard lock(mutex);
    numbers[id] = number;
  };
  world.group.on_promoted = [&](const review::ServerState& server) {
    const std::lock_guard lock(mutex);
    for (const auto& [number, id] : acknowledged) {
      if (number > server.log_end) lost.push_back(id);
    }
    if (lost.empty()) return;
    world.record.Line(
        "LOST: %zu acknowledged commits, %s to %s, are not in the log of %s",
        lost.size(), lost.front().c_str(), lost.back().c_str(),
        server.id.c_str());
  };
  world.AddServers();
  world.AddProcess("east");
  std::atomic<bool> refuses{false};
  world.store.AddDoor("127.0.2.5", world.store_port, refuses);
  world.deployment.fields["platform.addr"] =
      "127.0.2.5:" + std::to_string(world.store_port);
  world.AddProcess("west");
  if (!world.AwaitServing()) world.Finish(2);
  review::SleepMs(6000);
  std::atomic<bool> over{false};
  std::atomic<std::size_t> at{1};  ///< the process that consumers come to
  std::vector<std::thread> threads;
  for (int n = 0; n < kConsumers; ++n) {
    threads.emplace_back([&, n] {
      std::unique_ptr<review::Session> session;
      std::size_t used = 0;
      for (int k = 0; !over; ++k) {
        if (!session || !session->ok || used != at) {
          used = at;
          session =
              std::make_unique<review::Session>(*world.processes[used], "db");
        }
        if (!session->ok) {
          review::SleepMs(50);
          continue;
        }
        const std::string id =
            "w-" + std::to_string(n) + "-" + std::to_string(k);
        const auto answer = session->Ask(id, "WRITE hide-" + id + " claimed");
        if (answer.Done()) {
          const std::lock_guard lock(mutex);
          acknowledged[numbers[id]] = id;
        }
        world.record.Line("%s by %s: %s", id.c_str(),
                          world.processes[used]->name.c_str(),
                          answer.Done() ? "DONE" : answer.Error().c_str());
        if (!answer.complete) session.reset();
        review::SleepMs(50);
      }
    });
  }
  review::SleepMs(1500);
  if (review::Trouble()) {
    refuses = true;
    world.record.Line("the store turns front-2 away");
    review::SleepMs(kRefusedMs);
    world.late_ms = kLateMs;
    world.record.Line("the primary i-1 is dark");
    const std::int64_t dark = NowMs();
    world.group.SetDark("i-1", true);
    while (!world.given && NowMs() - dark < kDarkMs) review::SleepMs(1);
    if (!world.given) world.record.Line("no order was given in time");
    review::SleepMs(kKillAfterMs);
    for (std::size_t n = 0; n < world.processes.size(); ++n) {
      review::Process& it = *world.processes[n];
      if (it.name != world.giver) continue;
      it.End();
      world.record.Line("%s, which gave the order, is killed", it.name.c_str());
      std::thread([&world, &it] {
        review::SleepMs(kDownMs);
        it.Start(world.deployment, world.folder);
        world.record.Line("%s is started again", it.name.c_str());
      }).detach();
      // Two misses of GET /ready take it out of rotation.
      std::thread([&, n] {
        review::SleepMs(1500);
        at = 1 - n;
      }).detach();
    }
    std::thread([&] {
      review::SleepMs(300);
      world.record.Line("the replica i-3 crashes");
      world.group.Crash("i-3", kReplicaDownMs);
      world.record.Line(
          "i-3 is back with its log, which ends at %llu",
          static_cast<unsigned long long>(world.group.LogEnd("i-3")));
    }).detach();
    review::SleepMs(dark + kDarkMs - NowMs());
    world.group.SetDark("i-1", false);
    world.record.Line("i-1 is back, nobody was promoted");
    review::SleepMs(3000);
    refuses = false;
    world.record.Line("the store serves front-2 again");
    review::SleepMs(5000);
  } else {
    review::SleepMs(10'000);
  }
  over = true;
  for (std::thread& it : threads) it.join();
  const std::lock_guard lock(mutex);
  world.record.Line("LOST: %zu of %zu acknowledged commits", lost.size(),
                    acknowledged.size());
  std::printf("LOST: %zu of %zu acknowledged commits\n", lost.size(),
              acknowledged.size());
  world.Finish(lost.empty() ? 0 : 1);
}
