// A zone is cut off just before a server joins in it. The primary in the zone
// acknowledges commits that only the joining server has, while the other zones
// promote a replica.
#include "../lab/lab.h"

namespace {

using lab::Ms;

constexpr Ms kCutLength{5'500};
constexpr Ms kJoinAfter{200};

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
      co_await lab::Sleep(Ms(40));
    }
    co_await lab::Sleep(Ms(100));
  }
}

lab::asio::awaitable<bool> Body(lab::asio::io_context& io,
                                lab::Record& record) {
  lab::Deployment deployment;
  deployment.fencing = false;
  auto& world = *new lab::World(io, record, deployment, Ms(1000));
  lab::Group& group = world.AddGroup("books");
  group.Add("i-p1", "osijek");
  group.Add("i-r1", "zagreb");
  group.Add("i-r2", "varazdin");
  world.store.Put(
      "op/config",
      lab::ConfigText(3, {{"order", "primary", "books"}}, {"books"}, 34, 1));
  world.AddProxy("front-osijek-1", "osijek");
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
    record.Line("DISRUPTION: zone osijek is cut off");
    world.CutZone("osijek", true);
  }
  co_await lab::Sleep(kJoinAfter);
  record.Line("PLANNED: i-n1 starts in zone osijek, to replace i-r2");
  group.Add("i-n1", "osijek");
  if (trouble) world.CutZone("osijek", true);
  co_await lab::Sleep(kCutLength - kJoinAfter);
  world.CutZone("osijek", false);
  record.Line("the zone is connected again");
  co_await lab::Sleep(Ms(4000));
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
