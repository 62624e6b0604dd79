#include "soak/faults.h"

#include <signal.h>

#include <iterator>
#include <utility>

namespace soak {

namespace {

constexpr Ms kGrace{6'000};
/// Of the replacements, so that the other series draw what they drew without.
constexpr std::uint64_t kReplacementStreams = 10'000;

}  // namespace

Random& Faults::NewRandom() { return randoms_.emplace_back(seed_, streams_++); }

Ms Faults::Pause(Random& random, Ms least, Ms most) const {
  return Ms(static_cast<Ms::rep>(
      static_cast<double>(random.Between(least, most).count()) / rate_));
}

void Faults::Spawn(Task fault) {
  asio::co_spawn(cluster_.io, Track(std::move(fault)), asio::detached);
}

Task Faults::Track(Task fault) {
  ++active_;
  co_await std::move(fault);
  --active_;
}

void Faults::Start() {
  constexpr Series kSeries[] = {
      &Faults::InstanceSeries, &Faults::InstanceSeries,
      &Faults::StoreSeries,    &Faults::LateOrderSeries,
      &Faults::LinkSeries,     &Faults::ConfigurationSeries,
  };
  for (const Series it : kSeries) {
    asio::co_spawn(cluster_.io, (this->*it)(NewRandom()), asio::detached);
  }
  for (lab::Group& it : cluster_.groups) {
    asio::co_spawn(cluster_.io, GroupSeries(it, NewRandom()), asio::detached);
  }
  std::uint64_t stream = kReplacementStreams;
  for (lab::Group& it : cluster_.groups) {
    Random& random = randoms_.emplace_back(seed_, stream++);
    asio::co_spawn(cluster_.io, ReplacementSeries(it, random), asio::detached);
  }
  orders_.on_order = [this](const Order& order) { OnOrder(order); };
}

// --------------------------------------------------------------- series

Task Faults::InstanceSeries(Random& random) {
  constexpr InstanceFault kFaults[] = {
      &Faults::KillInstance, &Faults::KillInstance,   &Faults::FreezeInstance,
      &Faults::StopInstance, &Faults::FreezeInstance,
  };
  for (;;) {
    co_await lab::Sleep(Pause(random, Ms(1'000), Ms(5'000)));
    if (stopped_) co_return;
    Instance& instance =
        cluster_.instances[random.Index(cluster_.instances.size())];
    const InstanceFault fault = kFaults[random.Index(std::size(kFaults))];
    if (!instance.faulty) Spawn((this->*fault)(instance, NewRandom()));
  }
}

Task Faults::GroupSeries(lab::Group& group, Random& random) {
  constexpr GroupFault kFaults[] = {
      &Faults::CrashPrimary,    &Faults::CrashPrimary,
      &Faults::SilencePrimary,  &Faults::SilencePrimary,
      &Faults::FreezePrimary,   &Faults::FreezePrimary,
      &Faults::WithholdAnswers, &Faults::RestartReplica,
      &Faults::RestartReplica,  &Faults::StopReplication,
      &Faults::DelayApply,      &Faults::HideServer,
      &Faults::ReplaceServer,
  };
  for (;;) {
    co_await lab::Sleep(Pause(random, Ms(1'000), Ms(6'000)));
    if (stopped_) co_return;
    const GroupFault fault = kFaults[random.Index(std::size(kFaults))];
    Spawn((this->*fault)(group, NewRandom()));
  }
}

Task Faults::ReplacementSeries(lab::Group& group, Random& random) {
  for (;;) {
    co_await lab::Sleep(Pause(random, Ms(4'000), Ms(16'000)));
    if (stopped_) co_return;
    co_await Track(ReplaceBesideLoss(group, random));
  }
}

Task Faults::LateOrderSeries(Random& random) {
  constexpr double kShares[] = {0, 0.5, 0.8, 1};
  for (;;) {
    orders_.SetLateShare(kShares[random.Index(std::size(kShares))]);
    co_await lab::Sleep(random.Between(Ms(2'000), Ms(6'000)));
    if (stopped_) break;
  }
  orders_.SetLateShare(0);
}

Task Faults::StoreSeries(Random& random) {
  constexpr double kAllInstances = 0.2;
  constexpr double kBusy = 0.3;
  for (;;) {
    cluster_.store.SetListAge(random.Between(Ms(0), Ms(2'000)));
    co_await lab::Sleep(Pause(random, Ms(2'000), Ms(9'000)));
    if (stopped_) co_return;
    const bool all = random.Chance(kAllInstances);
    const std::size_t one = random.Index(cluster_.instances.size());
    const auto set = [&](lab::Store::Mode mode) {
      for (std::size_t n = 0; n < cluster_.instances.size(); ++n) {
        if (!all && n != one) continue;
        cluster_.store.SetMode(cluster_.instances[n].proxy->name(), mode);
      }
    };
    cluster_.record.Line("FAULT store fails for " +
                         (all ? "all" : cluster_.instances[one].proxy->name()));
    set(random.Chance(kBusy) ? lab::Store::Mode::kBusy
                             : lab::Store::Mode::kSilent);
    co_await lab::Sleep(random.Between(Ms(300), Ms(6'000)));
    set(lab::Store::Mode::kServing);
    cluster_.record.Line("FAULT store is back");
  }
}

Task Faults::LinkSeries(Random& random) {
  constexpr double kPlatform = 0.3;
  for (;;) {
    co_await lab::Sleep(Pause(random, Ms(1'000), Ms(6'000)));
    if (stopped_) co_return;
    lab::Group& group = cluster_.groups[random.Index(cluster_.groups.size())];
    const std::string instance =
        cluster_.instances[random.Index(cluster_.instances.size())]
            .proxy->name();
    lab::Server& server =
        *group.servers()[random.Index(group.servers().size())];
    const bool platform = random.Chance(kPlatform);
    cluster_.record.Line("FAULT " + instance + " is cut off from " +
                         (platform ? "the platform" : server.id()));
    const auto cut = [&](bool on) {
      if (platform) {
        orders_.Cut(instance, on);
      } else {
        server.CutFromInstance(instance, on);
      }
    };
    cut(true);
    co_await lab::Sleep(random.Between(Ms(300), Ms(4'000)));
    cut(false);
  }
}

Task Faults::ConfigurationSeries(Random& random) {
  for (;;) {
    co_await lab::Sleep(Pause(random, Ms(2'000), Ms(8'000)));
    if (stopped_) co_return;
    PutConfiguration(random);
  }
}

void Faults::PutConfiguration(Random& random) {
  constexpr double kSpareRoute = 0.5;
  std::vector<std::string> services;
  std::vector<lab::RouteSpec> routes;
  for (const lab::Group& it : cluster_.groups) {
    services.push_back(it.service());
    lab::RouteSpec route;
    route.host = "db-" + it.service();
    route.type = "primary";
    route.backend = it.service();
    route.timeout_ms =
        static_cast<int>(random.Between(Ms(600), Ms(1'200)).count());
    routes.push_back(route);
    if (!random.Chance(kSpareRoute)) continue;
    route.host = "spare-" + it.service();
    route.type = "bounded";
    routes.push_back(route);
  }
  version_ += 1 + static_cast<int>(random.Index(3));
  cluster_.store.Put("op/config", lab::ConfigText(version_, routes, services,
                                                  connections_, 1));
}

void Faults::OnOrder(const Order& order) {
  if (stopped_) return;
  constexpr double kKilled = 0.35;
  constexpr double kFrozen = 0.5;
  constexpr double kRestarted = 0.5;
  Random& random = NewRandom();
  Instance* holder = cluster_.FindInstance(order.holder);
  if (holder != nullptr && !holder->faulty) {
    if (random.Chance(kKilled)) {
      Spawn(KillInstance(*holder, random));
    } else if (random.Chance(kFrozen)) {
      Spawn(FreezeInstance(*holder, random));
    }
  }
  if (!random.Chance(kRestarted)) return;
  lab::Group& group = *cluster_.FindGroup(order.service);
  Spawn(RestartAfter(group, order.server, random.Between(Ms(50), Ms(5'000)),
                     random));
}

Task Faults::DisturbClaimants(lab::Group& group, Random& random) {
  constexpr double kDisturbed = 0.5;
  constexpr double kEach = 0.5;
  if (!random.Chance(kDisturbed)) co_return;
  Spawn(
      RestartAfter(group, "", random.Between(Ms(500), Ms(3'000)), NewRandom()));
  co_await lab::Sleep(random.Between(Ms(300), Ms(1'500)));
  for (Instance& it : cluster_.instances) {
    if (it.faulty || !random.Chance(kEach)) continue;
    Spawn(FreezeInstance(it, NewRandom()));
    co_await lab::Sleep(random.Between(Ms(0), Ms(150)));
  }
}

// ------------------------------------------------------ faults of proxies

Task Faults::KillInstance(Instance& instance, Random& random) {
  instance.faulty = true;
  cluster_.record.Line("FAULT " + instance.proxy->name() + " is killed");
  instance.proxy->Kill();
  co_await lab::Sleep(random.Between(Ms(50), Ms(3'000)));
  instance.proxy->Start();
  instance.faulty_until = Clock::now();
  instance.faulty = false;
}

Task Faults::FreezeInstance(Instance& instance, Random& random) {
  instance.faulty = true;
  instance.proxy->Signal(SIGSTOP);
  co_await lab::Sleep(random.Between(Ms(500), Ms(5'000)));
  instance.proxy->Signal(SIGCONT);
  instance.faulty_until = Clock::now();
  instance.faulty = false;
}

Task Faults::StopInstance(Instance& instance, Random& random) {
  instance.faulty = true;
  instance.proxy->Signal(SIGTERM);
  const auto until = Clock::now() + kGrace;
  while (instance.proxy->Running() && Clock::now() < until) {
    co_await lab::Sleep(Ms(20));
  }
  instance.proxy->Kill();
  co_await lab::Sleep(random.Between(Ms(50), Ms(1'000)));
  instance.proxy->Start();
  instance.faulty_until = Clock::now();
  instance.faulty = false;
}

// ------------------------------------------------------ faults of servers

lab::Server* Faults::Take(lab::Group& group, bool primary, Random& random,
                          const std::string& spared) {
  std::vector<lab::Server*> free;
  for (const auto& it : group.servers()) {
    const bool wanted = it->alive() && (it.get() == group.Primary()) == primary;
    if (!wanted || it->id() == spared || taken_.contains(it->id())) continue;
    free.push_back(it.get());
  }
  if (free.empty()) return nullptr;
  lab::Server* server = free[random.Index(free.size())];
  taken_.insert(server->id());
  return server;
}

void Faults::CutFromAll(lab::Server& server, bool cut) {
  for (const Instance& it : cluster_.instances) {
    server.CutFromInstance(it.proxy->name(), cut);
  }
}

Task Faults::CrashPrimary(lab::Group& group, Random& random) {
  lab::Server* server = Take(group, true, random);
  if (server == nullptr) co_return;
  cluster_.record.Line("FAULT " + server->id() + " crashes");
  server->Crash();
  Spawn(DisturbClaimants(group, NewRandom()));
  co_await lab::Sleep(random.Between(Ms(500), Ms(8'000)));
  server->Restart();
  taken_.erase(server->id());
}

Task Faults::SilencePrimary(lab::Group& group, Random& random) {
  lab::Server* server = Take(group, true, random);
  if (server == nullptr) co_return;
  cluster_.record.Line("FAULT " + server->id() + " is cut off");
  CutFromAll(*server, true);
  Spawn(DisturbClaimants(group, NewRandom()));
  co_await lab::Sleep(random.Between(Ms(500), Ms(8'000)));
  CutFromAll(*server, false);
  cluster_.record.Line("FAULT " + server->id() + " is reachable again");
  taken_.erase(server->id());
}

/// While frozen, it replicates nothing. The replicas receive again once
/// another server leads.
Task Faults::FreezePrimary(lab::Group& group, Random& random) {
  lab::Server* server = Take(group, true, random);
  if (server == nullptr) co_return;
  cluster_.record.Line("FAULT " + server->id() + " freezes");
  const auto set_frozen = [&](bool frozen) {
    CutFromAll(*server, frozen);
    server->CutFromStore(frozen);
  };
  const auto set_deaf = [&](bool deaf) {
    for (const auto& it : group.servers()) {
      if (it.get() != server) it->SetDeaf(deaf);
    }
  };
  set_frozen(true);
  set_deaf(true);
  Spawn(DisturbClaimants(group, NewRandom()));
  const auto until = Clock::now() + random.Between(Ms(500), Ms(8'000));
  while (Clock::now() < until) {
    if (group.Primary() != server) set_deaf(false);
    co_await lab::Sleep(Ms(2));
  }
  set_deaf(false);
  set_frozen(false);
  cluster_.record.Line("FAULT " + server->id() + " runs again");
  taken_.erase(server->id());
}

Task Faults::WithholdAnswers(lab::Group& group, Random& random) {
  lab::Server* server = Take(group, true, random);
  if (server == nullptr) co_return;
  cluster_.record.Line("FAULT " + server->id() + " withholds answers");
  server->SetSilent(true);
  co_await lab::Sleep(random.Between(Ms(500), Ms(5'000)));
  server->SetSilent(false);
  taken_.erase(server->id());
}

Task Faults::RestartReplica(lab::Group& group, Random& random) {
  return RestartAfter(group, "", Ms(0), random);
}

Task Faults::RestartAfter(lab::Group& group, std::string spared, Ms delay,
                          Random& random) {
  co_await lab::Sleep(delay);
  if (stopped_) co_return;
  lab::Server* server = Take(group, false, random, spared);
  if (server == nullptr) co_return;
  cluster_.record.Line("FAULT " + server->id() + " restarts");
  server->Crash();
  co_await lab::Sleep(random.Between(Ms(50), Ms(1'500)));
  server->Restart();
  taken_.erase(server->id());
}

Task Faults::StopReplication(lab::Group& group, Random& random) {
  lab::Server* server = Take(group, false, random);
  if (server == nullptr) co_return;
  cluster_.record.Line("FAULT " + server->id() + " receives nothing");
  server->SetDeaf(true);
  co_await lab::Sleep(random.Between(Ms(500), Ms(4'000)));
  server->SetDeaf(false);
  taken_.erase(server->id());
}

Task Faults::DelayApply(lab::Group& group, Random& random) {
  lab::Server* server = Take(group, false, random);
  if (server == nullptr) co_return;
  server->SetApplyDelay(random.Between(Ms(50), Ms(1'500)));
  co_await lab::Sleep(random.Between(Ms(500), Ms(4'000)));
  server->SetApplyDelay(Ms(0));
  taken_.erase(server->id());
}

Task Faults::HideServer(lab::Group& group, Random& random) {
  lab::Server* server = Take(group, random.Chance(0.3), random);
  if (server == nullptr) co_return;
  cluster_.record.Line("FAULT " + server->id() + " is cut off from the store");
  server->CutFromStore(true);
  co_await lab::Sleep(random.Between(Ms(1'000), Ms(7'000)));
  server->CutFromStore(false);
  taken_.erase(server->id());
}

/// A server that drains is replaced at another address, and ends.
Task Faults::ReplaceServer(lab::Group& group, Random& random) {
  if (!replacing_.insert(group.service()).second) co_return;
  lab::Server* server = Take(group, random.Chance(0.3), random);
  if (server != nullptr) {
    const std::string id =
        group.service() + "-n" + std::to_string(++servers_added_);
    cluster_.record.Line("FAULT " + server->id() + " drains, " + id +
                         " replaces it");
    server->SetDraining(true);
    co_await lab::Sleep(random.Between(Ms(0), Ms(3'000)));
    group.Add(id, server->zone());
    co_await lab::Sleep(random.Between(Ms(7'500), Ms(10'000)));
    server->Crash();  // stays taken, so that nothing restarts it
  }
  replacing_.erase(group.service());
}

Task Faults::ReplaceBesideLoss(lab::Group& group, Random& random) {
  constexpr double kLateOrders = 0.5;
  constexpr double kLossFirst = 0.5;
  if (!replacing_.insert(group.service()).second) co_return;
  lab::Server* server = Take(group, false, random);
  if (server != nullptr) {
    const std::string id =
        group.service() + "-n" + std::to_string(++servers_added_);
    cluster_.record.Line("FAULT " + server->id() + " drains, " + id +
                         " replaces it and isn't listed yet");
    if (random.Chance(kLateOrders)) orders_.SetLateShare(1);
    const bool loss_first = random.Chance(kLossFirst);
    if (loss_first) Spawn(LosePrimary(group, random));
    server->SetDraining(true);
    co_await lab::Sleep(random.Between(Ms(0), Ms(500)));
    lab::Server& joining = group.Add(id, server->zone());
    joining.CutFromStore(true);
    taken_.insert(id);
    Spawn(ListLater(joining, random.Between(Ms(200), Ms(3'000))));
    co_await lab::Sleep(random.Between(Ms(0), Ms(500)));
    if (!loss_first) Spawn(LosePrimary(group, random));
    co_await lab::Sleep(random.Between(Ms(7'500), Ms(10'000)));
    server->Crash();  // stays taken, so that nothing restarts it
  }
  replacing_.erase(group.service());
}

Task Faults::ListLater(lab::Server& server, Ms delay) {
  co_await lab::Sleep(delay);
  server.CutFromStore(false);
  taken_.erase(server.id());
}

Task Faults::LosePrimary(lab::Group& group, Random& random) {
  constexpr double kCrash = 0.3;
  constexpr double kCutShare = 0.65;
  lab::Server* server = Take(group, true, random);
  if (server == nullptr) co_return;
  if (random.Chance(kCrash)) {
    cluster_.record.Line("FAULT " + server->id() + " crashes");
    server->Crash();
    co_await lab::Sleep(random.Between(Ms(500), Ms(8'000)));
    server->Restart();
  } else {
    std::string cut;
    for (const Instance& it : cluster_.instances) {
      if (!random.Chance(kCutShare)) continue;
      cut += " " + it.proxy->name();
      server->CutFromInstance(it.proxy->name(), true);
    }
    cluster_.record.Line("FAULT " + server->id() + " is cut off from" + cut);
    co_await lab::Sleep(random.Between(Ms(500), Ms(8'000)));
    CutFromAll(*server, false);
    cluster_.record.Line("FAULT " + server->id() + " is reachable again");
  }
  taken_.erase(server->id());
}

}  // namespace soak
