#include <algorithm>

#include "fake_world.h"

namespace testing_support {

namespace {

constexpr Duration kHeartbeatInterval = Milliseconds(50);
constexpr Duration kLeavingGrace = std::chrono::seconds(2);

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

// Backend connections --------------------------------------------------------

void FakeWorld::Handle(int n, const OpenConnection& effect) {
  const Instance& it = instances_[static_cast<std::size_t>(n)];
  const std::uint64_t generation = it.generation;
  const ZoneId zone = it.identity.zone;
  connections_[{n, effect.connection}] = {
      effect.server, n, 0, false, false, 0, {}, {}, false};
  After(Latency(), [this, n, generation, zone, effect] {
    const FakeServer& server = servers_.at(effect.server);
    if (!ZonesConnected(zone, server.topology_entry.zone)) return;
    if (!server.alive) {
      connections_.erase({n, effect.connection});
      Deliver(n, ConnectResult{effect.server, effect.connection, false},
              generation);
      return;
    }
    RunOnServer(effect.server, [this, n, generation, effect] {
      FakeServer& target = servers_.at(effect.server);
      const auto found = connections_.find({n, effect.connection});
      if (found == connections_.end()) return;
      const bool accepted =
          target.connections < target.topology_entry.connection_limit;
      if (accepted) {
        ++target.connections;
        peak_connections_ = std::max(peak_connections_, target.connections);
        found->second.open = true;
        found->second.session_id = next_id_++;
      } else {
        connections_.erase(found);
      }
      After(Milliseconds(12), [this, n, generation, effect, accepted] {
        Deliver(n, ConnectResult{effect.server, effect.connection, accepted},
                generation);
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
    if (!ZonesConnected(owner.identity.zone,
                        servers_.at(name).topology_entry.zone))
      continue;
    if (it.running) {
      const auto fault =
          it.commits ? StatementFault::kInDoubt : StatementFault::kLost;
      Deliver(it.instance,
              StatementDone{*it.running, key.second,
                            StatementFailure{fault, "", "server ended"}},
              owner.generation);
    } else if (it.open) {
      Deliver(it.instance, ConnectionClosed{name, key.second},
              owner.generation);
    } else {
      Deliver(it.instance, ConnectResult{name, key.second, false},
              owner.generation);
    }
  }
  servers_.at(name).connections = 0;
}

void FakeWorld::Handle(int n, RunStatement effect) {
  const auto found = connections_.find({n, effect.connection});
  const std::uint64_t generation =
      instances_[static_cast<std::size_t>(n)].generation;
  if (found == connections_.end()) {
    After(Duration(0), [this, n, generation, effect] {
      Deliver(n,
              StatementDone{effect.work, effect.connection,
                            StatementFailure{StatementFault::kLost, "", ""}},
              generation);
    });
    return;
  }
  found->second.running = effect.work;
  found->second.commits = Commits(effect.statement.type);
  const std::string name = found->second.server;
  const ZoneId zone = instances_[static_cast<std::size_t>(n)].identity.zone;
  Duration service = Milliseconds(1) * static_cast<int>(random_() % 5);
  if (options_.delay_and_duplicate && random_() % 20 == 0) {
    service += Milliseconds(20 + random_() % 200);
  }
  After(Latency(), [this, n, generation, zone, name, effect, service] {
    if (!ZonesConnected(zone, servers_.at(name).topology_entry.zone)) return;
    RunOnServer(name, [this, n, generation, name, effect, service] {
      // The position is read before the statement runs, as a transaction on a
      // real server does.
      const auto last = servers_.at(name).log.Last();
      const Position snapshot_position{last.term, last.index};
      After(service, [this, n, generation, name, effect, snapshot_position] {
        RunOnServer(
            name, [this, n, generation, name, effect, snapshot_position] {
              RunStatementAt(n, generation, name, effect, snapshot_position);
            });
      });
    });
  });
}

void FakeWorld::RunStatementAt(int n, std::uint64_t generation,
                               const std::string& name,
                               const RunStatement& effect,
                               Position snapshot_position) {
  FakeServer& server = servers_.at(name);
  const auto it = connections_.find({n, effect.connection});
  if (it == connections_.end()) return;
  // A restarted instance reuses connection ids.
  if (instances_[static_cast<std::size_t>(n)].generation != generation) return;
  if (it->second.session_id < server.silenced_before_session) return;
  StatementDone done{effect.work, effect.connection,
                     ExecuteStatement(server, it->second, effect.statement)};
  auto* success = std::get_if<StatementSuccess>(&done.result);
  if (success != nullptr && effect.statement.type == StatementType::kRead) {
    success->position = snapshot_position;
  }
  const ZoneId zone = instances_[static_cast<std::size_t>(n)].identity.zone;
  After(Latency(), [this, n, generation, done, name, zone] {
    if (!ZonesConnected(zone, servers_.at(name).topology_entry.zone)) return;
    FinishStatement(n, generation, done.connection, done);
  });
}

void FakeWorld::FinishStatement(int n, std::uint64_t generation,
                                ConnectionId id, StatementDone done) {
  const auto found = connections_.find({n, id});
  if (found != connections_.end() && found->second.running) {
    // Answers on a connection carry no id: an answer is taken for the statement
    // that is running on the connection now.
    done.work = *found->second.running;
    found->second.running.reset();
  }
  if (options_.delay_and_duplicate && random_() % 60 == 0) {
    After(Milliseconds(7),
          [this, n, generation, done] { Deliver(n, done, generation); });
  }
  Deliver(n, std::move(done), generation);
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
    if (&follower != &server) ScheduleReplication(id);
  }
  return success;
}

StatementResult FakeWorld::ExecuteStatement(FakeServer& server,
                                            Connection& connection,
                                            const Statement& statement) {
  const bool starts = statement.type == StatementType::kRead ||
                      statement.type == StatementType::kWrite ||
                      statement.type == StatementType::kBegin;
  const auto& leaving_servers =
      instances_[static_cast<std::size_t>(connection.instance)].leaving_seen_at;
  const auto leaving_entry = leaving_servers.find(server.topology_entry.id);
  if (starts && leaving_entry != leaving_servers.end() &&
      now_ - leaving_entry->second > kLeavingGrace) {
    ++work_on_leaving_servers_;
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
      success.read_upper_bound = {server.log.Last().term,
                                  server.log.Last().index};
      auto& row = success.result.rows.emplace_back();
      for (auto& it : IdsOf(server.log)) row.emplace_back(std::move(it));
      return success;
    }
    case StatementType::kPing:
      return StatementSuccess{};
    case StatementType::kRollback:
    case StatementType::kBegin:
      connection.statements.clear();
      return StatementSuccess{};
    case StatementType::kInTransaction:
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
  status.primary_heard = status.role == ServerRole::kPrimary
                             ? Duration(0)
                             : now_ - server.last_heartbeat;
  status.primary_address = server.log.primary();
  status.claimant = server.log.claimant();
  for (const auto& it : server.log.TermStarts()) {
    status.starts[it.term] = it.index;
  }
  return status;
}

void FakeWorld::Handle(int n, RunGroupOperation effect) {
  const Instance& from = instances_[static_cast<std::size_t>(n)];
  const std::uint64_t generation = from.generation;
  const ZoneId zone = from.identity.zone;
  auto answered = std::make_shared<bool>(false);
  auto answer = [this, n, generation, effect,
                 answered](std::optional<ServerStatus> status) {
    if (*answered && !options_.delay_and_duplicate) return;
    *answered = true;
    Deliver(n,
            GroupOperationResult{effect.server, effect.call, std::move(status)},
            generation);
  };
  const FakeServer& server = servers_.at(effect.server);
  if (!server.alive && ZonesConnected(zone, server.topology_entry.zone)) {
    After(Latency(), [answer] { answer(std::nullopt); });
    return;
  }
  After(effect.timeout, [answered, answer] {
    if (!*answered) answer(std::nullopt);
  });
  After(Latency(), [this, zone, effect, answer] {
    if (!ZonesConnected(zone, servers_.at(effect.server).topology_entry.zone)) {
      return;
    }
    RunOnServer(effect.server, [this, zone, effect, answer] {
      FakeServer& target = servers_.at(effect.server);
      if (const auto* it = std::get_if<FenceOperation>(&effect.operation)) {
        target.log.Fence(it->term, it->claimant);
      } else if (const auto* it =
                     std::get_if<PromoteOperation>(&effect.operation)) {
        target.log.Promote(it->term, it->claimant);
      } else if (const auto* it =
                     std::get_if<FollowOperation>(&effect.operation)) {
        if (target.log.Follow(it->term, it->address)) {
          target.last_heartbeat = now_;
        }
      }
      const ServerStatus status = StatusOf(target);
      After(Latency(), [this, zone, effect, answer, status] {
        if (!ZonesConnected(zone,
                            servers_.at(effect.server).topology_entry.zone))
          return;
        answer(status);
      });
    });
  });
}

void FakeWorld::Heartbeat() {
  for (auto& [id, server] : servers_) ScheduleReplication(id);
  After(kHeartbeatInterval, [this] { Heartbeat(); });
}

void FakeWorld::ScheduleReplication(const std::string& name) {
  FakeServer& follower = servers_.at(name);
  if (!follower.alive || follower.frozen) return;
  if (follower.log.role() != standin::Role::kReplica) return;
  for (auto& [id, primary] : servers_) {
    if (primary.topology_entry.address != follower.log.primary()) continue;
    if (!primary.alive || primary.frozen) return;
    if (primary.log.role() != standin::Role::kPrimary) return;
    if (primary.log.term() != follower.log.term()) return;
    if (!ZonesConnected(primary.topology_entry.zone,
                        follower.topology_entry.zone))
      return;
    follower.last_heartbeat = now_;
    const Term term = primary.log.term();
    const std::uint64_t upto = primary.log.Last().index;
    After(follower.lag, [this, name, id = id, term, upto] {
      ReplicateUpTo(name, id, term, upto);
    });
  }
}

void FakeWorld::ReplicateUpTo(const std::string& name,
                              const std::string& primary_name, Term term,
                              std::uint64_t upto) {
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

}  // namespace testing_support
