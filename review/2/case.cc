// Two servers of a service are down for a few seconds, and the third lacks what
// they acknowledged. It is promoted before the first of them is back, although
// a crashed server comes back with its log.
#include "../lab/lab.h"

namespace {

using lab::Ms;

// The primary crashes this long after its last report, shortly before the next.
constexpr Ms kSinceReport{1'000};
// From the moment when the replica stops receiving.
constexpr Ms kCrashAfter{1'500};
constexpr Ms kDeafLength{6'500};
constexpr Ms kCrashLength{7'000};

struct Writers {
  std::vector<std::string> acknowledged;
  bool stop = false;
};

lab::Task KeepWriting(lab::World& world, int port, Writers& writers) {
  for (int n = 0; !writers.stop;) {
    lab::Client client(world.io, world.record, "c1");
    (void)co_await client.Start(port, "order");
    while (!writers.stop && client.connected()) {
      const auto reply = co_await client.Query(
          "WRITE film" + std::to_string(n % 7) + " d" + std::to_string(n));
      ++n;
      if (reply.ok()) writers.acknowledged.push_back(client.last_id());
      co_await lab::Sleep(Ms(50));
    }
    co_await lab::Sleep(Ms(100));
  }
}

lab::Task CrashFor(lab::Server& server, Ms duration) {
  server.Crash();
  co_await lab::Sleep(duration);
  server.Restart();
}

lab::asio::awaitable<bool> Body(lab::asio::io_context& io,
                                lab::Record& record) {
  lab::Deployment deployment;
  deployment.fencing = false;
  auto& world = *new lab::World(io, record, deployment, Ms(1000));
  lab::Group& group = world.AddGroup("books");
  lab::Server& primary = group.Add("i-p1", "osijek");
  group.Add("i-r1", "zagreb");
  lab::Server& deaf = group.Add("i-r2", "varazdin");
  world.store.Put(
      "op/config",
      lab::ConfigText(3, {{"order", "primary", "books"}}, {"books"}, 34, 1));
  world.AddProxy("front-osijek-1", "osijek");
  world.AddProxy("front-osijek-2", "osijek");
  world.AddProxy("front-zagreb-1", "zagreb");
  world.AddProxy("front-varazdin-1", "varazdin");
  co_await world.StartAll();
  co_await lab::Sleep(Ms(5000));
  auto& writers = *new Writers;
  for (const auto& it : world.proxies) {
    lab::asio::co_spawn(io, KeepWriting(world, it->client_port(), writers),
                        lab::asio::detached);
  }
  co_await lab::Sleep(Ms(1500));

  const bool trouble = lab::Trouble();
  if (trouble) {
    record.Line("DISRUPTION: i-r2 receives nothing for a while");
    deaf.SetDeaf(true);
  }
  const auto deaf_since = lab::Clock::now();
  co_await lab::Sleep(kCrashAfter);
  while (lab::Clock::now() - primary.last_beat() < kSinceReport) {
    co_await lab::Sleep(Ms(5));
  }
  if (trouble) {
    record.Line("DISRUPTION: and the primary crashes meanwhile");
    lab::asio::co_spawn(io, CrashFor(primary, kCrashLength),
                        lab::asio::detached);
    while (group.Primary() == nullptr) co_await lab::Sleep(Ms(20));
    co_await lab::Sleep(Ms(700));
    lab::Server* leader = group.Primary();
    record.Line("DISRUPTION: the new primary crashes");
    lab::asio::co_spawn(io, CrashFor(*leader, kCrashLength),
                        lab::asio::detached);
  }
  const auto deaf_for = lab::Clock::now() - deaf_since;
  co_await lab::Sleep(std::chrono::duration_cast<Ms>(kDeafLength - deaf_for));
  deaf.SetDeaf(false);
  co_await lab::Sleep(Ms(12'000));
  writers.stop = true;
  co_await lab::Sleep(Ms(1500));
  co_await group.AwaitPrimary();
  world.Stop();

  const lab::Server* leader = group.Primary();
  std::size_t lost = 0;
  for (const auto& it : writers.acknowledged) {
    if (leader->Holds(it)) continue;
    ++lost;
    record.Line("LOST: " + it + " was acknowledged and is not in the log of " +
                leader->id());
  }
  record.Line(std::to_string(writers.acknowledged.size()) +
              " writes acknowledged, " + std::to_string(lost) + " lost; " +
              leader->id() + " leads term " + std::to_string(leader->term()));
  co_return lost == 0;
}

}  // namespace

int main() { return lab::RunCase(Body); }
