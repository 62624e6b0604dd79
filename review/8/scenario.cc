/// \file
/// A primary drains before its planned shutdown while a replica is dark, and
/// reads of the store that may be stale are 2.5 s old.
#include "../standins-2/world.h"

namespace {

using review::NowMs;

constexpr int kStaleMs = 2500;
constexpr int kDrainMs = 7000;
/// From the confirmation of `draining` until the replica is dark, and how long.
constexpr int kDarkAfterMs = 1900;
constexpr int kDarkForMs = 5790;
constexpr int kRunMs = 12'000;
constexpr int kConsumers = 8;

}  // namespace

int main(int, char** argv) {
  review::World world(std::string(argv[1]) + "/record.txt");
  world.store.stale_ms = kStaleMs;
  world.PutManifest(7, "own_writes", 800, 200);
  std::mutex mutex;
  std::atomic<std::int64_t> confirmed{0};
  std::map<std::string, std::int64_t> sent;
  int late = 0;
  std::int64_t last = 0;
  world.group.work = [](const std::string&) { return review::Group::Work{3}; };
  world.group.on_run = [&](const review::ServerState& server,
                           const std::string& id, const std::string& text) {
    if (!server.draining || confirmed == 0) return;
    const std::lock_guard lock(mutex);
    const std::int64_t age = NowMs() - confirmed;
    if (!sent.contains(id)) return;
    last = age;
    if (age <= kDrainMs) return;
    ++late;
    if (late > 20) return;
    world.record.Line("DRAIN %s runs %s %s, %lld ms after the confirmation",
                      server.id.c_str(), id.c_str(), text.c_str(),
                      static_cast<long long>(age));
  };
  world.AddServers();
  world.AddProcess("west");
  world.AddProcess("west");
  if (!world.AwaitServing()) world.Finish(2);
  review::SleepMs(5000);
  const std::int64_t begun = NowMs();
  const std::int64_t until = begun + kRunMs;
  std::atomic<int> done{0};
  std::vector<std::thread> threads;
  for (int n = 0; n < kConsumers; ++n) {
    threads.emplace_back([&, n] {
      review::Process& process =
          *world.processes[static_cast<std::size_t>(n) % 2];
      std::unique_ptr<review::Session> session;
      for (int k = 0; NowMs() < until; ++k) {
        if (!session || !session->ok) {
          session = std::make_unique<review::Session>(process, "db");
          if (!session->ok) {
            review::SleepMs(50);
            continue;
          }
        }
        const std::string id =
            "w-" + std::to_string(n) + "-" + std::to_string(k);
        {
          const std::lock_guard lock(mutex);
          sent[id] = NowMs();
        }
        const std::string text = n % 4 < 2 ? "READ stock-" + std::to_string(k)
                                           : "WRITE hide-" + id + " claimed";
        const auto answer = session->Ask(id, text);
        if (answer.Done()) ++done;
        if (!answer.complete) session.reset();
        review::SleepMs(40);
      }
    });
  }
  review::SleepMs(1000);
  const std::string leaving = world.group.primary();
  world.group.Drain(leaving);
  confirmed = NowMs();
  world.record.Line("the store has confirmed that %s is draining",
                    leaving.c_str());
  review::SleepMs(kDarkAfterMs);
  if (review::Trouble()) {
    world.group.SetDark("i-3", true);
    world.record.Line("i-3 is dark");
  }
  review::SleepMs(kDarkForMs);
  if (review::Trouble()) {
    world.group.SetDark("i-3", false);
    world.record.Line("i-3 is back");
  }
  for (std::thread& it : threads) it.join();
  world.record.Line(
      "DRAIN: %d statements later than %d ms, the last one that %s ran after "
      "%lld ms; %d done in all, the primary is %s",
      late, kDrainMs, leaving.c_str(), static_cast<long long>(last),
      done.load(), world.group.primary().c_str());
  std::printf("DRAIN: %d late, the last after %lld ms, %d done\n", late,
              static_cast<long long>(last), done.load());
  world.Finish(late > 0 ? 1 : 0);
}
