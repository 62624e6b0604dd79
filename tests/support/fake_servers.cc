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
  Duration service = Milliseconds(1) * static_cast<int>(random_() % 5);
  if (options_.lossy && random_() % 20 == 0) {
    service += Milliseconds(20 + random_() % 200);
  }
  After(Latency(), [this, n, life, zone, name, effect, service] {
    if (!Linked(zone, servers_.at(name).listed.zone)) return;
    AtServer(name, [this, n, life, name, effect, service] {
      // A transaction notes its position before its statement runs.
      const auto last = servers_.at(name).log.Last();
      const Position noted{last.term, last.index};
      After(service, [this, n, life, name, effect, noted] {
        AtServer(name, [this, n, life, name, effect, noted] {
          RunNoted(n, life, name, effect, noted);
        });
      });
    });
  });
}

void FakeWorld::RunNoted(int n, std::uint64_t life, const std::string& name,
                         const RunStatement& effect, Position noted) {
  FakeServer& server = servers_.at(name);
  const auto it = connections_.find({n, effect.connection});
  if (it == connections_.end()) return;
  // A restarted instance numbers its connections anew.
  if (instances_[static_cast<std::size_t>(n)].life != life) return;
  if (it->second.session_id < server.silent_before) return;
  StatementDone done{effect.work, effect.connection,
                     RunAtServer(server, it->second, effect.statement)};
  auto* success = std::get_if<StatementSuccess>(&done.result);
  if (success != nullptr && effect.statement.type == StatementType::kRead) {
    success->position = noted;
  }
  const ZoneId zone = instances_[static_cast<std::size_t>(n)].identity.zone;
  After(Latency(), [this, n, life, done, name, zone] {
    if (!Linked(zone, servers_.at(name).listed.zone)) return;
    FinishStatement(n, life, done.connection, done);
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
  status.primary_heard =
      status.role == ServerRole::kPrimary ? Duration(0) : now_ - server.heard;
  status.primary_address = server.log.primary();
  status.claimant = server.log.claimant();
  for (const auto& it : server.log.TermStarts()) {
    status.starts[it.term] = it.index;
  }
  return status;
}

void FakeWorld::Handle(int n, RunGroupOperation effect) {
  const Instance& from = instances_[static_cast<std::size_t>(n)];
  const std::uint64_t life = from.life;
  const ZoneId zone = from.identity.zone;
  auto answered = std::make_shared<bool>(false);
  auto answer = [this, n, life, effect,
                 answered](std::optional<ServerStatus> status) {
    if (*answered && !options_.lossy) return;
    *answered = true;
    Deliver(n,
            GroupOperationResult{effect.server, effect.call, std::move(status)},
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
      if (const auto* it = std::get_if<FenceOperation>(&effect.operation)) {
        target.log.Fence(it->term, it->claimant);
      } else if (const auto* it =
                     std::get_if<PromoteOperation>(&effect.operation)) {
        target.log.Promote(it->term, it->claimant);
      } else if (const auto* it =
                     std::get_if<FollowOperation>(&effect.operation)) {
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

}  // namespace testing_support
