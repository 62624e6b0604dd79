#include "fake_world.h"

#include <algorithm>

namespace testing_support {

namespace {

constexpr char kGroup[] = "g";
constexpr Duration kSettleTime = std::chrono::seconds(12);
const TimePoint kStart = TimePoint(std::chrono::hours(1));

bool IsTombstone(const standin::LogEntry& entry) {
  return entry.statements.size() == 2 && entry.statements[1] == "!tombstone";
}

std::string TagOf(const std::string& statement) {
  return statement.substr(0, statement.find('#'));
}

}  // namespace

std::string FakeSheet(int version) {
  const std::string demand = std::to_string(10 + version);
  return "service,group,zones,kind,mode,max_age,demand\n"
         "s,g,a;b;c,add,write,," +
         demand +
         "\n"
         "s,g,a;b;c,now,read,0,10\n"
         "s,g,a;b;c,soon,read,500ms,10\n";
}

// Building -------------------------------------------------------------------

FakeWorld::FakeWorld(WorldOptions options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed), now_(kStart) {
  sheets_.push_back(FakeSheet(1));
  const std::vector<ZoneId> zones = {"a", "b", "c"};
  for (int n = 0; n < 3; ++n) {
    FakeServer server;
    server.topology_entry = {"g-" + std::to_string(n + 1),
                             kGroup,
                             zones[static_cast<std::size_t>(n)],
                             "10.0.0." + std::to_string(n + 1) + ":5432",
                             2,
                             options_.connection_limit,
                             false};
    server.lag = options_.lag;
    server.last_heartbeat = now_;
    servers_[server.topology_entry.id] = std::move(server);
  }
  servers_["g-1"].log.Fence(1, "start");
  servers_["g-1"].log.Promote(1, "start");
  servers_["g-2"].log.Follow(1, servers_["g-1"].topology_entry.address);
  servers_["g-3"].log.Follow(1, servers_["g-1"].topology_entry.address);
  instances_.resize(static_cast<std::size_t>(options_.instances));
  for (int n = 0; n < options_.instances; ++n) {
    Instance& it = instances_[static_cast<std::size_t>(n)];
    it.identity = {"i" + std::to_string(n),
                   zones[static_cast<std::size_t>(n) % 3],
                   "10.1.0." + std::to_string(n) + ":1", 1};
    it.drift = 1 + options_.drift * (n % 3 - 1);
  }
  Heartbeat();
  for (int n = 0; n < options_.instances; ++n) StartInstance(n);
}

FakeWorld::~FakeWorld() = default;

void FakeWorld::StartInstance(int n) {
  Instance& it = instances_[static_cast<std::size_t>(n)];
  Options options;
  for (const auto& other : instances_) {
    options.seeds.push_back(other.identity.address);
  }
  if (options_.tune) options_.tune(options);
  it.identity.incarnation = it.incarnation++;
  it.alive = true;
  it.exited = false;
  it.highest_sheet_version = 0;
  it.leaving_seen_at.clear();
  it.next_tick = TimePoint::max();
  it.reducer = std::make_unique<Reducer>(it.identity, options, random_(),
                                         options_.policy);
  Dispatch(n, it.reducer->Start(LocalTime(it)));
  ArmTimer(n);
}

// Time -----------------------------------------------------------------------

void FakeWorld::At(TimePoint at, std::function<void()> action) {
  queue_.push({std::max(at, now_), order_++, std::move(action)});
}

void FakeWorld::After(Duration delay, std::function<void()> action) {
  At(now_ + delay, std::move(action));
}

void FakeWorld::RunUntil(TimePoint end) {
  while (!queue_.empty() && queue_.top().at <= end) {
    const Scheduled next = queue_.top();
    queue_.pop();
    now_ = next.at;
    next.action();
  }
  now_ = end;
}

TimePoint FakeWorld::LocalTime(const Instance& it) const {
  const auto elapsed = std::chrono::duration<double>(now_ - kStart) * it.drift;
  return kStart + std::chrono::duration_cast<Duration>(elapsed);
}

void FakeWorld::ArmTimer(int n) {
  Instance& it = instances_[static_cast<std::size_t>(n)];
  const auto next = it.reducer->NextTimer();
  if (!next) return;
  const auto wait = std::chrono::duration<double>(*next - LocalTime(it));
  const TimePoint at =
      now_ +
      std::max(Duration(0),
               std::chrono::duration_cast<Duration>(wait / it.drift)) +
      std::chrono::microseconds(1);
  if (at >= it.next_tick) return;
  it.next_tick = at;
  At(at, [this, n, generation = it.generation, at] {
    Instance& self = instances_[static_cast<std::size_t>(n)];
    if (self.generation != generation || self.next_tick != at) return;
    self.next_tick = TimePoint::max();
    Deliver(n, TimePassed{}, generation);
  });
}

Duration FakeWorld::Latency() {
  Duration latency = std::chrono::microseconds(300 + random_() % 1000);
  if (options_.delay_and_duplicate && random_() % 50 == 0) {
    latency += Milliseconds(5 + random_() % 60);
  }
  return latency;
}

// Delivering -----------------------------------------------------------------

void FakeWorld::Deliver(int n, Event event, std::uint64_t generation) {
  Instance& it = instances_[static_cast<std::size_t>(n)];
  if (!it.alive || it.generation != generation) return;
  if (it.frozen) {
    it.deferred.push_back(std::move(event));
    return;
  }
  const Topology* received = nullptr;
  if (const auto* read = std::get_if<TopologyRead>(&event)) {
    received = &read->topology;
  } else if (const auto* changed = std::get_if<TopologyChanged>(&event)) {
    received = &changed->change.entries;
  }
  if (received != nullptr) {
    for (const auto& [id, server] : received->servers) {
      if (server.leaving) it.leaving_seen_at.emplace(id, now_);
    }
  }
  Reduce(n, event);
}

void FakeWorld::Reduce(int n, const Event& event) {
  Instance& it = instances_[static_cast<std::size_t>(n)];
  Dispatch(n, it.reducer->Reduce(LocalTime(it), event));
  const SheetVersion version = it.reducer->configuration().accepted().version;
  if (version < it.highest_sheet_version) {
    violations_.push_back("sheet reverted at " + it.identity.instance);
  }
  it.highest_sheet_version = std::max(it.highest_sheet_version, version);
  if (it.alive) ArmTimer(n);
}

void FakeWorld::Dispatch(int n, Effects effects) {
  for (auto& it : effects) {
    std::visit(
        [this, n](auto&& effect) {
          Handle(n, std::forward<decltype(effect)>(effect));
        },
        std::move(it));
  }
}

bool FakeWorld::ZonesConnected(const ZoneId& a, const ZoneId& b) const {
  return !partitioned_zones_.contains({a, b}) &&
         !partitioned_zones_.contains({b, a});
}

int FakeWorld::InstanceAt(const std::string& address) const {
  for (std::size_t n = 0; n < instances_.size(); ++n) {
    if (instances_[n].identity.address == address) return static_cast<int>(n);
  }
  return -1;
}

std::string FakeWorld::ResolveServerName(const std::string& name) const {
  return name == "primary" ? PrimaryName() : name;
}

void FakeWorld::RunOnServer(const std::string& name,
                            std::function<void()> action) {
  FakeServer& server = servers_.at(name);
  if (!server.alive) return;
  if (server.frozen) {
    server.deferred.push_back(std::move(action));
    return;
  }
  action();
}

// Faults ---------------------------------------------------------------------

void FakeWorld::KillServer(const std::string& name) {
  const std::string id = ResolveServerName(name);
  if (id.empty() || !servers_.at(id).alive) return;
  servers_.at(id).alive = false;
  servers_.at(id).frozen = false;
  servers_.at(id).deferred.clear();
  BreakConnections(id);
}

void FakeWorld::RestartServer(const std::string& name) {
  FakeServer& server = servers_.at(name);
  server.alive = true;
  server.last_heartbeat = now_;
}

void FakeWorld::FreezeServer(const std::string& name, bool frozen) {
  const std::string id = ResolveServerName(name);
  if (id.empty() || !servers_.at(id).alive) return;
  FakeServer& server = servers_.at(id);
  server.frozen = frozen;
  if (frozen) return;
  const auto deferred = std::exchange(server.deferred, {});
  for (const auto& it : deferred) it();
}

void FakeWorld::SilenceConnections(const std::string& name) {
  const std::string id = ResolveServerName(name);
  if (!id.empty()) servers_.at(id).silenced_before_session = next_id_;
}

void FakeWorld::SetLag(const std::string& name, Duration lag) {
  const std::string id = ResolveServerName(name);
  if (!id.empty()) servers_.at(id).lag = lag;
}

void FakeWorld::MarkServerLeaving(const std::string& name) {
  const std::string id = ResolveServerName(name);
  if (id.empty()) return;
  servers_.at(id).topology_entry.leaving = true;
  ++topology_revision_;
}

void FakeWorld::KillInstance(int n) {
  Instance& it = instances_[static_cast<std::size_t>(n)];
  if (!it.alive) return;
  it.alive = false;
  it.frozen = false;
  it.deferred.clear();
  ++it.generation;
  for (const CallId call : it.calls) callers_.erase(call);
  it.calls.clear();
  std::erase_if(connections_, [&](const auto& entry) {
    if (entry.second.instance != n) return false;
    if (entry.second.open) --servers_.at(entry.second.server).connections;
    return true;
  });
}

void FakeWorld::RestartInstance(int n) {
  Instance& it = instances_[static_cast<std::size_t>(n)];
  if (it.alive) return;
  StartInstance(n);
}

void FakeWorld::FreezeInstance(int n, bool frozen) {
  Instance& it = instances_[static_cast<std::size_t>(n)];
  if (!it.alive) return;
  it.frozen = frozen;
  if (frozen) return;
  const auto deferred = std::exchange(it.deferred, {});
  for (const auto& event : deferred) Deliver(n, event, it.generation);
  Deliver(n, TimePassed{}, it.generation);
}

void FakeWorld::DrainInstance(int n) {
  Deliver(n, DrainRequested{},
          instances_[static_cast<std::size_t>(n)].generation);
}

void FakeWorld::PartitionZones(const ZoneId& a, const ZoneId& b) {
  partitioned_zones_.insert({a, b});
}

void FakeWorld::PartitionPlatform(const ZoneId& zone) {
  zones_without_platform_.insert(zone);
}

void FakeWorld::HealAll() {
  partitioned_zones_.clear();
  zones_without_platform_.clear();
  platform_mode_ = "up";
  for (auto& [id, server] : servers_) {
    if (server.frozen) FreezeServer(id, false);
    server.lag = options_.lag;
  }
  for (int n = 0; n < instances(); ++n) {
    if (instances_[static_cast<std::size_t>(n)].frozen) {
      FreezeInstance(n, false);
    }
  }
}

void FakeWorld::SetPlatform(const std::string& mode) {
  platform_mode_ = mode;
  if (mode == "stale") stale_sheets_ = 1;
}

void FakeWorld::LoadSheet() {
  sheets_.push_back(FakeSheet(static_cast<int>(sheets_.size()) + 1));
}

// Results --------------------------------------------------------------------

void FakeWorld::Settle() {
  HealAll();
  for (auto& [id, server] : servers_) {
    if (!server.alive) RestartServer(id);
  }
  RunFor(kSettleTime);
  std::vector<History::Entry> survived;
  const std::string primary = PrimaryName();
  if (primary.empty()) {
    violations_.emplace_back("no primary after settling");
    return;
  }
  for (const auto& it : servers_.at(primary).log.entries()) {
    if (it.statements.size() < 2 || IsTombstone(it)) continue;
    History::Entry entry;
    entry.id = TagOf(it.statements[1]);
    entry.statements.assign(it.statements.begin() + 1, it.statements.end());
    survived.push_back(std::move(entry));
  }
  history_.survived[kGroup] = std::move(survived);
  for (int n = 0; n < instances(); ++n) {
    const Instance& it = instances_[static_cast<std::size_t>(n)];
    if (!it.alive) continue;
    if (it.reducer->configuration().accepted().version != sheets_.size()) {
      violations_.push_back("newest sheet not in force at " +
                            it.identity.instance);
    }
  }
}

const Reducer* FakeWorld::reducer(int n) const {
  return instances_[static_cast<std::size_t>(n)].reducer.get();
}

std::string FakeWorld::PrimaryName() const {
  std::string best;
  Term term = 0;
  for (const auto& [id, server] : servers_) {
    if (!server.alive || server.log.role() != standin::Role::kPrimary) continue;
    if (server.log.term() > term) best = id;
    term = std::max(term, server.log.term());
  }
  return best;
}

bool FakeWorld::Exited(int n) const {
  return instances_[static_cast<std::size_t>(n)].exited;
}

std::vector<LogLine> FakeWorld::LogOf(int n) const {
  return instances_[static_cast<std::size_t>(n)].log;
}

}  // namespace testing_support
