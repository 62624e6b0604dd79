#include "soak/cluster.h"

#include <algorithm>
#include <cstdlib>

namespace soak {

Random::Random(std::uint64_t seed, std::uint64_t stream) {
  std::seed_seq sequence{seed, seed >> 32U, stream};
  engine_.seed(sequence);
}

Ms Random::Between(Ms least, Ms most) {
  return Ms(std::uniform_int_distribution<Ms::rep>(least.count(),
                                                   most.count())(engine_));
}

bool Random::Chance(double share) {
  return std::uniform_real_distribution<double>(0, 1)(engine_) < share;
}

std::size_t Random::Index(std::size_t size) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(engine_);
}

lab::Group& Cluster::AddGroup(const std::string& service,
                              const std::vector<std::string>& zones) {
  lab::Group& group = groups.emplace_back(io, record, *registry, service);
  for (std::size_t n = 0; n < zones.size(); ++n) {
    group.Add(service + "-i" + std::to_string(n), zones[n]);
  }
  asio::co_spawn(io, group.Pump(Ms(1)), asio::detached);
  return group;
}

Instance& Cluster::AddInstance(const std::string& name, const std::string& zone,
                               int orders_port) {
  Instance& instance = instances.emplace_back();
  instance.proxy = std::make_unique<lab::Proxy>(
      record, lab::Deployment(), name, zone, store.Listen(name), orders_port);
  for (lab::Group& it : groups) it.SetZone(name, zone);
  return instance;
}

Task Cluster::StartInstances() {
  constexpr Ms kReadyLimit{15'000};
  asio::co_spawn(io, WatchDelays(), asio::detached);
  for (const auto& it : instances) it.proxy->Start();
  for (auto& it : instances) {
    co_await it.proxy->AwaitReady(kReadyLimit);
    it.faulty_until = Clock::now();
  }
}

Task Cluster::WatchDelays() {
  constexpr Ms kInterval{20};
  constexpr Ms kDelay{300};
  for (;;) {
    const auto due = Clock::now() + kInterval;
    co_await lab::Sleep(kInterval);
    const auto late = std::chrono::duration_cast<Ms>(Clock::now() - due);
    if (late < kDelay) continue;
    stalled_until = Clock::now();
    record.Line("this process was delayed by " + std::to_string(late.count()) +
                " ms");
  }
}

Instance* Cluster::FindInstance(const std::string& name) {
  for (Instance& it : instances) {
    if (it.proxy->name() == name) return &it;
  }
  return nullptr;
}

lab::Group* Cluster::FindGroup(const std::string& service) {
  for (lab::Group& it : groups) {
    if (it.service() == service) return &it;
  }
  return nullptr;
}

const lab::Server* NewestPrimary(const lab::Group& group) {
  for (const auto& it : group.servers()) {
    if (it->primary() && it->term() == group.newest_term()) return it.get();
  }
  return nullptr;
}

bool HoldsRecent(const lab::Server& server, const std::string& write) {
  const auto& log = server.log();
  return std::any_of(log.rbegin(), log.rend(), [&](const lab::Entry& entry) {
    return std::any_of(
        entry.writes.begin(), entry.writes.end(),
        [&](const lab::Write& it) { return it.statement == write; });
  });
}

void EnterFolder(const std::filesystem::path& folder,
                 const std::filesystem::path& program) {
  namespace fs = std::filesystem;
  const fs::path absolute = fs::absolute(program);
  if (!fs::exists(absolute)) {
    throw lab::CannotRun(absolute.string() + " is not built");
  }
  fs::remove_all(folder);
  fs::create_directories(folder / "target");
  fs::create_symlink(absolute, folder / "target" / "corianderdock-proxy");
  ::setenv("KEEP_LOGS", fs::absolute(folder).c_str(), 1);
  fs::current_path(folder);
}

}  // namespace soak
