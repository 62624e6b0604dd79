#include "fake_world.h"

#include <algorithm>

namespace testing_support {

namespace {

constexpr char kGroup[] = "g";
constexpr Duration kHeartbeatInterval = Milliseconds(50);
constexpr Duration kCallerTimeout = std::chrono::seconds(3);
constexpr Duration kSettleTime = std::chrono::seconds(12);
constexpr Duration kLeavingGrace = std::chrono::seconds(2);
const TimePoint kStart = TimePoint(std::chrono::hours(1));

bool Commits(StatementType type) {
  return type == StatementType::kWrite || type == StatementType::kCommit ||
         type == StatementType::kResolve;
}

std::string KeyOf(const standin::LogEntry& entry) {
  return entry.statements.empty() ? "" : entry.statements[0];
}

bool IsTombstone(const standin::LogEntry& entry) {
  return entry.statements.size() == 2 && entry.statements[1] == "!tombstone";
}

std::string TagOf(const std::string& statement) {
  return statement.substr(0, statement.find('#'));
}

ServerRole RoleOf(standin::Role role) {
  if (role == standin::Role::kPrimary) return ServerRole::kPrimary;
  if (role == standin::Role::kReplica) return ServerRole::kReplica;
  return ServerRole::kFenced;
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
    server.listed = {"g-" + std::to_string(n + 1),
                     kGroup,
                     zones[static_cast<std::size_t>(n)],
                     "10.0.0." + std::to_string(n + 1) + ":5432",
                     2,
                     options_.connection_limit,
                     false};
    server.lag = options_.lag;
    server.heard = now_;
    servers_[server.listed.id] = std::move(server);
  }
  servers_["g-1"].log.Fence(1, "start");
  servers_["g-1"].log.Promote(1, "start");
  servers_["g-2"].log.Follow(1, servers_["g-1"].listed.address);
  servers_["g-3"].log.Follow(1, servers_["g-1"].listed.address);
  instances_.resize(static_cast<std::size_t>(options_.instances));
  for (int n = 0; n < options_.instances; ++n) {
    Instance& it = instances_[static_cast<std::size_t>(n)];
    it.identity = {"i" + std::to_string(n),
                   zones[static_cast<std::size_t>(n) % 3],
                   "10.1.0." + std::to_string(n) + ":1", 1};
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
  it.highest_sheet = 0;
  it.told_leaving.clear();
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
  At(at, [this, n, life = it.life, at] {
    Instance& self = instances_[static_cast<std::size_t>(n)];
    if (self.life != life || self.next_tick != at) return;
    self.next_tick = TimePoint::max();
    Deliver(n, TimePassed{}, life);
  });
}

Duration FakeWorld::Latency() {
  Duration latency = std::chrono::microseconds(300 + random_() % 1000);
  if (options_.lossy && random_() % 50 == 0) {
    latency += Milliseconds(5 + random_() % 60);
  }
  return latency;
}

// Delivering -----------------------------------------------------------------

void FakeWorld::Deliver(int n, Event event, std::uint64_t life) {
  Instance& it = instances_[static_cast<std::size_t>(n)];
  if (!it.alive || it.life != life) return;
  if (it.frozen) {
    it.held.push_back(std::move(event));
    return;
  }
  if (const auto* lists = std::get_if<TopologyRead>(&event)) {
    for (const auto& [id, server] : lists->topology.servers) {
      if (server.leaving) it.told_leaving.emplace(id, now_);
    }
  }
  Reduce(n, event);
}

void FakeWorld::Reduce(int n, const Event& event) {
  Instance& it = instances_[static_cast<std::size_t>(n)];
  Dispatch(n, it.reducer->Reduce(LocalTime(it), event));
  const SheetVersion version = it.reducer->configuration().accepted().version;
  if (version < it.highest_sheet) {
    violations_.push_back("sheet reverted at " + it.identity.instance);
  }
  it.highest_sheet = std::max(it.highest_sheet, version);
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

bool FakeWorld::Linked(const ZoneId& a, const ZoneId& b) const {
  return !cuts_.contains({a, b}) && !cuts_.contains({b, a});
}

int FakeWorld::InstanceAt(const std::string& address) const {
  for (std::size_t n = 0; n < instances_.size(); ++n) {
    if (instances_[n].identity.address == address) return static_cast<int>(n);
  }
  return -1;
}

std::string FakeWorld::NameOf(const std::string& name) const {
  return name == "primary" ? PrimaryName() : name;
}

void FakeWorld::AtServer(const std::string& name,
                         std::function<void()> action) {
  FakeServer& server = servers_.at(name);
  if (!server.alive) return;
  if (server.frozen) {
    server.held.push_back(std::move(action));
    return;
  }
  action();
}

// Callers and peers ----------------------------------------------------------

void FakeWorld::Handle(int n, ReplyToCaller effect) {
  instances_[static_cast<std::size_t>(n)].calls.erase(effect.call);
  const auto found = callers_.find(effect.call);
  if (found == callers_.end()) return;
  const auto on_answer = std::move(found->second);
  callers_.erase(found);
  After(Latency(),
        [on_answer, answer = std::move(effect.answer)] { on_answer(answer); });
}

void FakeWorld::Handle(int n, ForwardRequest effect) {
  const Instance& from = instances_[static_cast<std::size_t>(n)];
  const int to = InstanceAt(effect.address);
  const std::uint64_t life = from.life;
  const CallId call = effect.call;
  const std::uint64_t attempt = effect.attempt;
  const bool refused =
      to >= 0 && !instances_[static_cast<std::size_t>(to)].alive;
  if (to < 0 || refused) {
    After(Latency(), [this, n, life, call, attempt] {
      Deliver(n, ForwardResult{call, attempt, false, std::nullopt}, life);
    });
    return;
  }
  const Instance& target = instances_[static_cast<std::size_t>(to)];
  const std::uint64_t id = next_call_++;
  peer_calls_[id] = {n, life, call, attempt};
  After(effect.timeout, [this, id] {
    const auto found = peer_calls_.find(id);
    if (found == peer_calls_.end()) return;
    const PeerCall peer = found->second;
    peer_calls_.erase(found);
    Deliver(peer.from, ForwardResult{peer.call, peer.attempt, true, {}},
            peer.life);
  });
  if (!Linked(from.identity.zone, target.identity.zone)) return;
  After(Latency(), [this, to, id, target_life = target.life,
                    routed = std::move(effect.routed)] {
    Deliver(to, PeerRequest{id, routed}, target_life);
  });
}

void FakeWorld::Handle(int n, ReplyToPeer effect) {
  const auto found = peer_calls_.find(effect.call);
  if (found == peer_calls_.end()) return;
  const PeerCall peer = found->second;
  const ZoneId zone = instances_[static_cast<std::size_t>(n)].identity.zone;
  const ZoneId to =
      instances_[static_cast<std::size_t>(peer.from)].identity.zone;
  if (!Linked(zone, to)) return;
  peer_calls_.erase(found);
  const Duration latency = Latency();
  ForwardResult result{peer.call, peer.attempt, true, std::move(effect.answer)};
  After(latency,
        [this, peer, result] { Deliver(peer.from, result, peer.life); });
  if (options_.lossy && random_() % 50 == 0) {
    After(3 * latency,
          [this, peer, result] { Deliver(peer.from, result, peer.life); });
  }
}

void FakeWorld::Handle(int n, SendGossip effect) {
  const Instance& from = instances_[static_cast<std::size_t>(n)];
  const int to = InstanceAt(effect.address);
  const std::uint64_t id = next_call_++;
  probe_calls_[id] = {n, from.life, effect.probe};
  After(effect.timeout, [this, id] {
    const auto found = probe_calls_.find(id);
    if (found == probe_calls_.end()) return;
    const ProbeCall probe = found->second;
    probe_calls_.erase(found);
    Deliver(probe.from, GossipResult{probe.probe, std::nullopt}, probe.life);
  });
  if (to < 0) return;
  const Instance& target = instances_[static_cast<std::size_t>(to)];
  if (!target.alive || !Linked(from.identity.zone, target.identity.zone)) {
    return;
  }
  After(Latency(),
        [this, to, id, life = target.life, gossip = std::move(effect.gossip)] {
          Deliver(to, GossipRequest{id, gossip}, life);
        });
}

void FakeWorld::Handle(int n, ReplyGossip effect) {
  const auto found = probe_calls_.find(effect.call);
  if (found == probe_calls_.end()) return;
  const ProbeCall probe = found->second;
  const ZoneId zone = instances_[static_cast<std::size_t>(n)].identity.zone;
  const ZoneId to =
      instances_[static_cast<std::size_t>(probe.from)].identity.zone;
  if (!Linked(zone, to)) return;
  probe_calls_.erase(found);
  After(Latency(), [this, probe, gossip = std::move(effect.gossip)] {
    Deliver(probe.from, GossipResult{probe.probe, gossip}, probe.life);
  });
}

void FakeWorld::Handle(int n, FetchFromPeer effect) {
  const int to = InstanceAt(effect.address);
  if (to < 0) return;
  const Instance& from = instances_[static_cast<std::size_t>(n)];
  After(2 * Latency(), [this, n, to, effect, life = from.life] {
    const Instance& peer = instances_[static_cast<std::size_t>(to)];
    const Instance& self = instances_[static_cast<std::size_t>(n)];
    if (!peer.alive || peer.frozen ||
        !Linked(self.identity.zone, peer.identity.zone)) {
      return;
    }
    if (effect.topology) {
      Deliver(n, TopologyRead{peer.reducer->directory().topology()}, life);
    }
    if (effect.sheet) {
      Deliver(n, SheetRead{peer.reducer->configuration().accepted()}, life);
    }
  });
}

void FakeWorld::Handle(int n, LogLine effect) {
  instances_[static_cast<std::size_t>(n)].log.push_back(std::move(effect));
}

void FakeWorld::Handle(int n, Exit) {
  Instance& it = instances_[static_cast<std::size_t>(n)];
  if (!it.calls.empty()) {
    violations_.push_back("graceful shutdown cut off " +
                          std::to_string(it.calls.size()) + " requests");
  }
  it.exited = true;
  After(Duration(0), [this, n] { KillInstance(n); });
}

// Platform -------------------------------------------------------------------

Topology FakeWorld::Lists() const {
  Topology lists;
  lists.revision = list_revision_;
  for (const auto& [id, server] : servers_) lists.servers[id] = server.listed;
  for (const auto& it : instances_) {
    lists.instances[it.identity.instance] = {
        it.identity.instance, it.identity.zone, it.identity.address, false};
  }
  return lists;
}

void FakeWorld::Handle(int n, PollPlatform effect) {
  const Instance& from = instances_[static_cast<std::size_t>(n)];
  const std::uint64_t life = from.life;
  if (platform_mode_ == "down" || platform_cuts_.contains(from.identity.zone)) {
    After(Milliseconds(800),
          [this, n, life] { Deliver(n, PlatformPolled{false}, life); });
    return;
  }
  Duration delay = 2 * Latency();
  if (platform_mode_ == "slow") delay += std::chrono::seconds(2);
  const std::size_t versions =
      platform_mode_ == "stale" ? stale_sheets_ : sheets_.size();
  After(delay, [this, n, life, effect, versions] {
    if (list_revision_ > effect.known_topology) {
      Deliver(n, TopologyRead{Lists()}, life);
    }
    // A platform that answers with old data offers an old sheet to everyone.
    const bool offer = versions > effect.known_sheet ||
                       (platform_mode_ == "stale" && versions > 0);
    if (offer) {
      const std::string id = "load-" + std::to_string(versions);
      Deliver(n, SheetRead{{versions, id, "operator", sheets_[versions - 1]}},
              life);
    }
    Deliver(n, PlatformPolled{true}, life);
  });
}

// Backend connections --------------------------------------------------------

void FakeWorld::Handle(int n, OpenConnection effect) {
  const Instance& it = instances_[static_cast<std::size_t>(n)];
  const std::uint64_t life = it.life;
  const ZoneId zone = it.identity.zone;
  connections_[{n, effect.connection}] = {
      effect.server, n, 0, false, false, 0, {}, {}, false};
  After(Latency(), [this, n, life, zone, effect] {
    const FakeServer& server = servers_.at(effect.server);
    if (!Linked(zone, server.listed.zone)) return;
    if (!server.alive) {
      connections_.erase({n, effect.connection});
      Deliver(n, ConnectResult{effect.server, effect.connection, false}, life);
      return;
    }
    AtServer(effect.server, [this, n, life, effect] {
      FakeServer& target = servers_.at(effect.server);
      const auto found = connections_.find({n, effect.connection});
      if (found == connections_.end()) return;
      const bool accepted = target.connections < target.listed.connection_limit;
      if (accepted) {
        ++target.connections;
        most_connections_ = std::max(most_connections_, target.connections);
        found->second.open = true;
        found->second.session_id = next_id_++;
      } else {
        connections_.erase(found);
      }
      After(Milliseconds(12), [this, n, life, effect, accepted] {
        Deliver(n, ConnectResult{effect.server, effect.connection, accepted},
                life);
      });
    });
  });
}

void FakeWorld::Handle(int n, CloseConnection effect) {
  const auto found = connections_.find({n, effect.connection});
  if (found == connections_.end()) return;
  if (found->second.open) --servers_.at(found->second.server).connections;
  connections_.erase(found);
}

void FakeWorld::BreakConnections(const std::string& name) {
  std::vector<std::pair<ConnectionKey, Connection>> broken;
  for (const auto& [key, it] : connections_) {
    if (it.server == name) broken.emplace_back(key, it);
  }
  for (auto& [key, it] : broken) {
    connections_.erase(key);
    const Instance& owner = instances_[static_cast<std::size_t>(it.instance)];
    if (!Linked(owner.identity.zone, servers_.at(name).listed.zone)) continue;
    if (it.running) {
      const auto fault =
          it.commits ? StatementFault::kInDoubt : StatementFault::kLost;
      Deliver(it.instance,
              StatementDone{*it.running, key.second,
                            StatementFailure{fault, "", "server ended"}},
              owner.life);
    } else if (it.open) {
      Deliver(it.instance, ConnectionClosed{name, key.second}, owner.life);
    } else {
      Deliver(it.instance, ConnectResult{name, key.second, false}, owner.life);
    }
  }
  servers_.at(name).connections = 0;
}

void FakeWorld::Handle(int n, RunStatement effect) {
  const auto found = connections_.find({n, effect.connection});
  const std::uint64_t life = instances_[static_cast<std::size_t>(n)].life;
  if (found == connections_.end()) {
    After(Duration(0), [this, n, life, effect] {
      Deliver(n,
              StatementDone{effect.work, effect.connection,
                            StatementFailure{StatementFault::kLost, "", ""}},
              life);
    });
    return;
  }
  found->second.running = effect.work;
  found->second.commits = Commits(effect.statement.type);
  const std::string name = found->second.server;
  const ZoneId zone = instances_[static_cast<std::size_t>(n)].identity.zone;
  const Duration service = Milliseconds(1) * static_cast<int>(random_() % 5);
  After(Latency() + service, [this, n, life, zone, name, effect] {
    if (!Linked(zone, servers_.at(name).listed.zone)) return;
    AtServer(name, [this, n, life, zone, name, effect] {
      FakeServer& server = servers_.at(name);
      const auto it = connections_.find({n, effect.connection});
      if (it == connections_.end()) return;
      if (it->second.session_id < server.silent_before) return;
      StatementDone done{effect.work, effect.connection,
                         RunAtServer(server, it->second, effect.statement)};
      const Duration latency = Latency();
      After(latency, [this, n, life, done, name, zone] {
        if (!Linked(zone, servers_.at(name).listed.zone)) return;
        FinishStatement(n, life, done.connection, done);
      });
    });
  });
}

void FakeWorld::FinishStatement(int n, std::uint64_t life, ConnectionId id,
                                StatementDone done) {
  const auto found = connections_.find({n, id});
  if (found != connections_.end() && found->second.running) {
    // Answers on a connection carry no id: the next one counts for whatever
    // runs there now.
    done.work = *found->second.running;
    found->second.running.reset();
  }
  if (options_.lossy && random_() % 60 == 0) {
    After(Milliseconds(7), [this, n, life, done] { Deliver(n, done, life); });
  }
  Deliver(n, std::move(done), life);
}

// Backend servers ------------------------------------------------------------

StatementResult FakeWorld::Append(FakeServer& server,
                                  const Statement& statement,
                                  std::vector<std::string> statements) {
  const std::string key =
      statement.request_id.empty() ? "" : "key:" + statement.request_id;
  StatementSuccess success;
  if (!key.empty()) {
    for (const auto& it : server.log.entries()) {
      if (KeyOf(it) != key) continue;
      success.recorded = true;
      success.tombstone = IsTombstone(it);
      success.position = {server.log.Last().term, server.log.Last().index};
      return success;
    }
  }
  success.tombstone =
      statements.size() == 1 && statements.front() == "!tombstone";
  statements.insert(statements.begin(), key.empty() ? "key:" : key);
  const auto at = server.log.Append(std::move(statements));
  success.position = {at.term, at.index};
  for (auto& [id, follower] : servers_) {
    if (&follower != &server) Ship(id);
  }
  return success;
}

StatementResult FakeWorld::RunAtServer(FakeServer& server,
                                       Connection& connection,
                                       const Statement& statement) {
  const bool starts = statement.type == StatementType::kRead ||
                      statement.type == StatementType::kWrite ||
                      statement.type == StatementType::kBegin;
  const auto& told =
      instances_[static_cast<std::size_t>(connection.instance)].told_leaving;
  const auto since = told.find(server.listed.id);
  if (starts && since != told.end() && now_ - since->second > kLeavingGrace) {
    ++work_on_leaving_;
  }
  const bool primary = server.log.role() == standin::Role::kPrimary;
  if (statement.term != 0 &&
      (!primary || server.log.term() != statement.term)) {
    return StatementFailure{StatementFault::kWrongTerm, "CD001", ""};
  }
  const std::string tag =
      statement.params.empty() ? "" : statement.params[0].value_or("");
  std::vector<std::string> statements = connection.statements;
  switch (statement.type) {
    case StatementType::kRead: {
      StatementSuccess success;
      success.position = {server.log.Last().term, server.log.Last().index};
      auto& row = success.result.rows.emplace_back();
      for (auto& it : IdsOf(server.log)) row.emplace_back(std::move(it));
      return success;
    }
    case StatementType::kPing:
      return StatementSuccess{};
    case StatementType::kRollback:
      connection.statements.clear();
      return StatementSuccess{};
    case StatementType::kBegin:
      connection.statements.clear();
      return StatementSuccess{};
    case StatementType::kInside:
      connection.statements.push_back(tag + "#" + statement.sql);
      return StatementSuccess{};
    case StatementType::kWrite:
      statements.push_back(tag + "#" + statement.sql);
      break;
    case StatementType::kCommit:
      break;
    case StatementType::kResolve:
      statements = {"!tombstone"};
      break;
  }
  if (!primary) {
    return StatementFailure{StatementFault::kSqlError, "25006", "read-only"};
  }
  connection.statements.clear();
  return Append(server, statement, std::move(statements));
}

ServerStatus FakeWorld::StatusOf(const FakeServer& server) const {
  ServerStatus status;
  status.term = server.log.term();
  status.role = RoleOf(server.log.role());
  status.last = {server.log.Last().term, server.log.Last().index};
  status.primary_heard =
      status.role == ServerRole::kPrimary ? Duration(0) : now_ - server.heard;
  status.primary_address = server.log.primary();
  status.claimant = server.log.claimant();
  for (const auto& it : server.log.TermStarts()) {
    status.starts[it.term] = it.index;
  }
  return status;
}

void FakeWorld::Handle(int n, CallGroup effect) {
  const Instance& from = instances_[static_cast<std::size_t>(n)];
  const std::uint64_t life = from.life;
  const ZoneId zone = from.identity.zone;
  auto answered = std::make_shared<bool>(false);
  auto answer = [this, n, life, effect,
                 answered](std::optional<ServerStatus> status) {
    if (*answered && !options_.lossy) return;
    *answered = true;
    Deliver(n, GroupResult{effect.server, effect.call, std::move(status)},
            life);
  };
  const FakeServer& server = servers_.at(effect.server);
  if (!server.alive && Linked(zone, server.listed.zone)) {
    After(Latency(), [answer] { answer(std::nullopt); });
    return;
  }
  After(effect.timeout, [answered, answer] {
    if (!*answered) answer(std::nullopt);
  });
  After(Latency(), [this, zone, effect, answer] {
    if (!Linked(zone, servers_.at(effect.server).listed.zone)) return;
    AtServer(effect.server, [this, zone, effect, answer] {
      FakeServer& target = servers_.at(effect.server);
      if (const auto* it = std::get_if<FenceCall>(&effect.operation)) {
        target.log.Fence(it->term, it->claimant);
      } else if (const auto* it = std::get_if<PromoteCall>(&effect.operation)) {
        target.log.Promote(it->term, it->claimant);
      } else if (const auto* it = std::get_if<FollowCall>(&effect.operation)) {
        if (target.log.Follow(it->term, it->address)) target.heard = now_;
      }
      const ServerStatus status = StatusOf(target);
      After(Latency(), [this, zone, effect, answer, status] {
        if (!Linked(zone, servers_.at(effect.server).listed.zone)) return;
        answer(status);
      });
    });
  });
}

void FakeWorld::Heartbeat() {
  for (auto& [id, server] : servers_) Ship(id);
  After(kHeartbeatInterval, [this] { Heartbeat(); });
}

void FakeWorld::Ship(const std::string& name) {
  FakeServer& follower = servers_.at(name);
  if (!follower.alive || follower.frozen) return;
  if (follower.log.role() != standin::Role::kReplica) return;
  for (auto& [id, primary] : servers_) {
    if (primary.listed.address != follower.log.primary()) continue;
    if (!primary.alive || primary.frozen) return;
    if (primary.log.role() != standin::Role::kPrimary) return;
    if (primary.log.term() != follower.log.term()) return;
    if (!Linked(primary.listed.zone, follower.listed.zone)) return;
    follower.heard = now_;
    const Term term = primary.log.term();
    const std::uint64_t upto = primary.log.Last().index;
    After(follower.lag,
          [this, name, id = id, term, upto] { Sync(name, id, term, upto); });
  }
}

void FakeWorld::Sync(const std::string& name, const std::string& primary_name,
                     Term term, std::uint64_t upto) {
  FakeServer& follower = servers_.at(name);
  const FakeServer& primary = servers_.at(primary_name);
  const bool current = follower.alive && !follower.frozen && primary.alive &&
                       follower.log.role() == standin::Role::kReplica &&
                       primary.log.role() == standin::Role::kPrimary &&
                       follower.log.term() == term &&
                       primary.log.term() == term;
  if (!current) return;
  const std::uint64_t common = primary.log.CommonIndex(
      follower.log.TermStarts(), follower.log.Last().index);
  follower.log.Truncate(common);
  for (std::uint64_t n = common;
       n < std::min<std::uint64_t>(upto, primary.log.entries().size()); ++n) {
    follower.log.AppendReceived(primary.log.entries()[n]);
  }
}

std::vector<std::string> FakeWorld::IdsOf(const standin::GroupLog& log) const {
  std::vector<std::string> ids;
  for (const auto& it : log.entries()) {
    if (it.statements.size() < 2 || IsTombstone(it)) continue;
    ids.push_back(TagOf(it.statements[1]));
  }
  return ids;
}

// Faults ---------------------------------------------------------------------

void FakeWorld::KillServer(const std::string& name) {
  const std::string id = NameOf(name);
  if (id.empty() || !servers_.at(id).alive) return;
  servers_.at(id).alive = false;
  servers_.at(id).frozen = false;
  servers_.at(id).held.clear();
  BreakConnections(id);
}

void FakeWorld::RestartServer(const std::string& name) {
  FakeServer& server = servers_.at(name);
  server.alive = true;
  server.heard = now_;
}

void FakeWorld::FreezeServer(const std::string& name, bool frozen) {
  const std::string id = NameOf(name);
  if (id.empty() || !servers_.at(id).alive) return;
  FakeServer& server = servers_.at(id);
  server.frozen = frozen;
  if (frozen) return;
  const auto held = std::exchange(server.held, {});
  for (const auto& it : held) it();
}

void FakeWorld::SilenceServer(const std::string& name) {
  const std::string id = NameOf(name);
  if (!id.empty()) servers_.at(id).silent_before = next_id_;
}

void FakeWorld::SetLag(const std::string& name, Duration lag) {
  const std::string id = NameOf(name);
  if (!id.empty()) servers_.at(id).lag = lag;
}

void FakeWorld::LeaveServer(const std::string& name) {
  const std::string id = NameOf(name);
  if (id.empty()) return;
  servers_.at(id).listed.leaving = true;
  ++list_revision_;
}

void FakeWorld::KillInstance(int n) {
  Instance& it = instances_[static_cast<std::size_t>(n)];
  if (!it.alive) return;
  it.alive = false;
  it.frozen = false;
  it.held.clear();
  ++it.life;
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
  const auto held = std::exchange(it.held, {});
  for (const auto& event : held) Deliver(n, event, it.life);
  Deliver(n, TimePassed{}, it.life);
}

void FakeWorld::DrainInstance(int n) {
  Deliver(n, DrainRequested{}, instances_[static_cast<std::size_t>(n)].life);
}

void FakeWorld::SetDrift(int n, double rate) {
  // Only before the instance acts: its clock must not step back.
  instances_[static_cast<std::size_t>(n)].drift = rate;
}

void FakeWorld::Cut(const ZoneId& a, const ZoneId& b) { cuts_.insert({a, b}); }

void FakeWorld::CutPlatform(const ZoneId& zone) { platform_cuts_.insert(zone); }

void FakeWorld::HealAll() {
  cuts_.clear();
  platform_cuts_.clear();
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

// Callers --------------------------------------------------------------------

Request FakeWorld::MakeRequest(Method method, int session) const {
  Request request;
  request.method = method;
  request.service = "s";
  request.timeout = kCallerTimeout;
  const auto token = tokens_.find(session);
  if (token != tokens_.end()) request.token = token->second;
  return request;
}

void FakeWorld::Submit(Operation operation, int n, Request request,
                       std::function<void(const Answer&)> on_done) {
  Instance& it = instances_[static_cast<std::size_t>(n)];
  if (!it.alive) return;
  operation.invoked = now_;
  operation.group = kGroup;
  const std::size_t index = history_.operations.size();
  history_.operations.push_back(std::move(operation));
  const CallId call = next_call_++;
  const int session = history_.operations[index].session;
  callers_[call] = [this, index, session, on_done](const Answer& answer) {
    Operation& record = history_.operations[index];
    record.answered = now_;
    record.has_answer = true;
    record.outcome = answer.outcome;
    record.reason = answer.reason;
    record.from_replica = answer.from_replica;
    if (answer.outcome == Outcome::kDone) {
      tokens_[session].Merge(kGroup, answer.token.At(kGroup));
      for (const auto& row : answer.result.rows) {
        for (const auto& value : row) record.seen.insert(value.value_or(""));
      }
    }
    if (on_done) on_done(answer);
  };
  After(Latency(), [this, n, call, life = it.life, request] {
    Instance& target = instances_[static_cast<std::size_t>(n)];
    if (!target.alive || target.life != life) return;
    target.calls.insert(call);
    Deliver(n, CallerRequest{call, request}, life);
  });
}

void FakeWorld::Write(int session, int instance, const std::string& id) {
  Operation operation;
  operation.type = OperationType::kWrite;
  operation.id = id.empty() ? "w" + std::to_string(next_id_++) : id;
  operation.session = session;
  Request request = MakeRequest(Method::kExecute, session);
  request.kind = "add";
  request.sql = "INSERT INTO t VALUES ($1)";
  request.params = {operation.id};
  request.request_id = operation.id;
  Submit(std::move(operation), instance, std::move(request));
}

void FakeWorld::Read(int session, int instance, const std::string& kind) {
  Operation operation;
  operation.type = OperationType::kRead;
  operation.session = session;
  operation.strict = kind == "now";
  operation.max_age = operation.strict ? Duration(0) : Milliseconds(500);
  Request request = MakeRequest(Method::kExecute, session);
  request.kind = kind;
  request.sql = "SELECT * FROM t";
  Submit(std::move(operation), instance, std::move(request));
}

void FakeWorld::Transact(int session, int instance, int other) {
  const std::string id = "t" + std::to_string(next_id_++);
  Instance& it = instances_[static_cast<std::size_t>(instance)];
  if (!it.alive) return;
  const CallId call = next_call_++;
  it.calls.insert(call);
  callers_[call] = [this, session, other, id](const Answer& begun) {
    if (begun.outcome != Outcome::kDone) return;
    Request insert = MakeRequest(Method::kExecute, session);
    insert.kind = "add";
    insert.sql = "INSERT INTO t VALUES ($1)";
    insert.params = {id};
    insert.transaction = begun.transaction;
    Instance& next = instances_[static_cast<std::size_t>(other)];
    if (!next.alive) return;
    const CallId second = next_call_++;
    next.calls.insert(second);
    callers_[second] = [this, session, other, id, begun](const Answer& done) {
      if (done.outcome != Outcome::kDone) return;
      Operation operation;
      operation.type = OperationType::kTransaction;
      operation.id = id;
      operation.session = session;
      Request commit = MakeRequest(Method::kCommit, session);
      commit.transaction = begun.transaction;
      commit.request_id = id;
      Submit(std::move(operation), other, std::move(commit));
    };
    Deliver(other, CallerRequest{second, insert}, next.life);
  };
  Deliver(instance, CallerRequest{call, MakeRequest(Method::kBegin, session)},
          it.life);
}

void FakeWorld::Resolve(int session, int instance, const std::string& id) {
  Operation operation;
  operation.type = OperationType::kWrite;
  operation.id = id;
  operation.session = session;
  Request request = MakeRequest(Method::kResolve, session);
  request.request_id = id;
  Submit(std::move(operation), instance, std::move(request));
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
