#include <algorithm>
#include <utility>

#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

/// Connections to one server that may be opening at once.
constexpr int kMostOpening = 2;
/// Pause between attempts to reach a failing server.
constexpr Duration kProbePause = std::chrono::milliseconds(200);
/// How long the limit learned from a full server holds.
constexpr Duration kFullPause = std::chrono::milliseconds(500);

bool UsesSlot(Verb verb) {
  return verb == Verb::kRead || verb == Verb::kWrite ||
         verb == Verb::kExecute || verb == Verb::kCommit ||
         verb == Verb::kStatus;
}

}  // namespace

void Proxy::On(const ServersRead& event) {
  for (auto& [id, lane] : lanes_) {
    if (event.servers.contains(id)) continue;
    if (!lane.listed) continue;
    Log("server unlisted id=" + id);
    lane.vanished = now_;
    lane.listed = false;
  }
  for (const auto& [id, entry] : event.servers) {
    Lane& lane = lanes_[id];
    const bool fresh = lane.entry.id.empty();
    const bool moved = !fresh && (lane.entry.address != entry.address ||
                                  lane.entry.born != entry.born);
    if (fresh || !(lane.entry == entry)) {
      Log("server listed id=" + id + " service=" + entry.service +
          " zone=" + entry.zone +
          " draining=" + std::to_string(static_cast<int>(entry.draining)) +
          " primary=" + std::to_string(static_cast<int>(entry.claims_primary)));
    }
    if (entry.draining && !lane.entry.draining) lane.draining_since = now_;
    lane.entry = entry;
    lane.listed = true;
    if (fresh) lane.window = entry.slots;
    if (moved) {
      const auto connections = lane.connections;
      for (const ConnectionId it : connections) Drop(it, true);
      lane.failing = false;
    }
    Service& service = ServiceOf(entry.service);
    service.servers.insert(id);
    if (service.leader.empty() && entry.claims_primary && !entry.draining) {
      service.leader = id;
      service.leader_since = now_;
    }
    to_pump_.insert(entry.service);
  }
  servers_known_ = servers_known_ || !event.servers.empty();
  servers_settled_ = event.settled;
}

int Proxy::ShareOf(const Lane& lane) const {
  const auto it = services_.find(lane.entry.service);
  const int limit =
      it == services_.end() ? 1 : it->second.limits.max_connections;
  const int instances = instances_.empty()
                            ? options_.assumed_instances
                            : static_cast<int>(instances_.size());
  const int share =
      std::max(1, (limit - options_.spare_connections) / instances);
  return lane.most_connections > 0 ? std::min(share, lane.most_connections)
                                   : share;
}

void Proxy::OpenIfUseful(Lane& lane, std::size_t wanted) {
  if (now_ < lane.connect_after || !InUse(lane)) return;
  const auto most = std::min<std::size_t>(wanted, kMostOpening);
  if (static_cast<std::size_t>(lane.opening) >= most) return;
  if (static_cast<int>(lane.connections.size()) >= ShareOf(lane)) return;
  Open(lane);
}

ConnectionId Proxy::Open(Lane& lane) { return OpenVia(lane, lane.via, false); }

ConnectionId Proxy::OpenVia(Lane& lane, const InstanceId& via, bool aside) {
  const ConnectionId id = next_connection_++;
  Connection& connection = connections_[id];
  connection.server = lane.entry.id;
  connection.service = lane.entry.service;
  connection.used = now_;
  connection.via = via;
  connection.aside = aside;
  lane.connections.insert(id);
  ++(aside ? lane.opening_aside : lane.opening);
  const auto relay = instances_.find(via);
  Count(via.empty() ? "connections_opened" : "connections_relayed");
  Emit(OpenServerConnection{
      id, lane.entry.id, lane.entry.service, lane.entry.address,
      relay == instances_.end() ? std::string() : relay->second.relay_address});
  After(aside ? options_.relay_limit : options_.connect_limit,
        {TimerKind::kConnectLimit, id, 0});
  return id;
}

void Proxy::On(const ServerConnected& event) {
  const auto it = connections_.find(event.connection);
  if (it == connections_.end()) return;
  Connection& connection = it->second;
  Lane& lane = lanes_.at(connection.server);
  if (event.error != ErrorCode::kNone) {
    return OnOpenFailed(event.connection, event.error);
  }
  connection.open = true;
  --(connection.aside ? lane.opening_aside : lane.opening);
  if (connection.aside) UseWay(lane, connection.via);
  NoteHeard(lane);
  auto commands = std::exchange(connection.on_open, {});
  for (auto& [step, command] : commands) {
    SendOne(event.connection, std::move(command), step, step == Step::kProbe);
  }
  MakeIdle(event.connection);
}

void Proxy::OnOpenFailed(ConnectionId id, ErrorCode error) {
  const Connection& connection = connections_.at(id);
  Lane& lane = lanes_.at(connection.server);
  LogRequest("connection refused server=" + connection.server +
             " code=" + NameOf(error) + " via=" + connection.via +
             " connections=" + std::to_string(lane.connections.size()));
  Count("connections_refused");
  const bool aside = connection.aside;
  Drop(id, false);
  if (aside) return;
  lane.connect_after = now_ + options_.connect_pause;
  if (error == ErrorCode::kTooMany) {
    lane.most_connections =
        std::max<int>(1, static_cast<int>(lane.connections.size()));
    lane.full_until = now_ + kFullPause;
  }
  if (error != ErrorCode::kOther) return;
  ++lane.refusals;
  NoteFailing(lane);
}

/// Whether a server that leaves must get no new work, although it leads.
bool Proxy::Leaving(const Lane& lane) const {
  return lane.entry.draining &&
         now_ - lane.draining_since >= options_.leaving_limit;
}

/// A primary is used until it is replaced, whatever the list says.
bool Proxy::InUse(const Lane& lane) const {
  if (lane.listed) return true;
  const auto it = services_.find(lane.entry.service);
  return it != services_.end() && it->second.leader == lane.entry.id;
}

/// Takes the idle connection that needs the fewest commands; 0 if none.
ConnectionId Proxy::TakeIdle(Lane& lane, const SessionValues& values,
                             const std::optional<PreparedStatement>& shape) {
  std::size_t best = 0;
  std::size_t best_distance = SIZE_MAX;
  for (std::size_t n = lane.idle.size(); n-- > 0;) {
    const auto& state = connections_.at(lane.idle[n]).state;
    const std::size_t distance = state.SynchronizeCommandCount(values, shape);
    if (distance >= best_distance) continue;
    best = n;
    best_distance = distance;
    if (distance == 0) break;
  }
  if (best_distance == SIZE_MAX) return 0;
  const ConnectionId id = lane.idle[best];
  lane.idle.erase(lane.idle.begin() + static_cast<std::ptrdiff_t>(best));
  return id;
}

/// Lets others use a connection once nothing on it is unanswered or bound.
void Proxy::MakeIdle(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  const Connection& connection = it->second;
  if (!connection.open || connection.bound != 0 ||
      !connection.expected.empty()) {
    return;
  }
  Lane& lane = lanes_.at(connection.server);
  if (std::find(lane.idle.begin(), lane.idle.end(), id) != lane.idle.end()) {
    return;
  }
  const bool over = static_cast<int>(lane.connections.size()) > ShareOf(lane);
  const bool other_way = connection.via != lane.via;
  if (over || other_way || !InUse(lane)) return Drop(id, false);
  it->second.used = now_;
  lane.idle.push_back(id);
  to_pump_.insert(connection.service);
}

/// Closes a connection; `tell` fails the statement that it carries.
void Proxy::Drop(ConnectionId id, bool tell) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  const Connection connection = std::move(it->second);
  connections_.erase(it);
  Lane& lane = lanes_.at(connection.server);
  lane.connections.erase(id);
  std::erase(lane.idle, id);
  if (!connection.open) {
    --(connection.aside ? lane.opening_aside : lane.opening);
  }
  for (const Expected& expected : connection.expected) {
    if (expected.uses_slot) --lane.running;
    if (expected.commits) ++lane.commits_lost;
  }
  Emit(CloseServerConnection{id});
  to_pump_.insert(connection.service);
  if (!tell || connection.bound == 0) return;
  const auto session = sessions_.find(connection.bound);
  if (session == sessions_.end()) return;
  LoseConnection(session->first, session->second, connection.server);
}

/// The connection that a session used is gone.
void Proxy::LoseConnection(SessionId id, Session& session,
                           const ServerId& server) {
  session.bound = 0;
  if (session.pending && session.pending->sent) {
    session.pending->tried.insert(server);
    Fail(id, session, AttemptEnd::kLost, ErrorCode::kOther, "connection lost");
    return;
  }
  if (session.state == TransactionState::kOpen) {
    EndTransaction(session);
    session.state = TransactionState::kFailed;
  }
}

void Proxy::On(const ServerConnectionLost& event) {
  const auto it = connections_.find(event.connection);
  if (it == connections_.end()) return;
  if (!it->second.open) {
    return On(ServerConnected{event.connection, ErrorCode::kOther, {}});
  }
  Lane& lane = lanes_.at(it->second.server);
  Count("connections_lost");
  Log("connection lost server=" + it->second.server);
  NoteFailing(lane);
  Drop(event.connection, true);
}

void Proxy::Send(ConnectionId id, std::vector<ServerCommand> commands,
                 Step step) {
  for (auto& it : commands) SendOne(id, std::move(it), step, false);
}

void Proxy::SendOne(ConnectionId id, ServerCommand command, Step step,
                    bool proves_lead) {
  Connection& connection = connections_.at(id);
  Expected expected;
  expected.step = step;
  expected.sent = now_;
  expected.uses_slot = UsesSlot(command.statement.verb);
  expected.proves_lead = proves_lead;
  expected.commits = step == Step::kStatement && proves_lead;
  if (expected.uses_slot) ++lanes_.at(connection.server).running;
  connection.expected.push_back(expected);
  Emit(SendCommand{id, std::move(command)});
}

void Proxy::On(const ServerReplied& event) {
  const auto it = connections_.find(event.connection);
  if (it == connections_.end()) return;
  Connection& connection = it->second;
  Lane& lane = lanes_.at(connection.server);
  if (connection.expected.empty()) {
    Log("connection closed server=" + connection.server +
        " reason=answer to nothing");
    return Drop(event.connection, true);
  }
  const Expected expected = connection.expected.front();
  connection.expected.pop_front();
  if (expected.uses_slot) --lane.running;
  NoteHeard(lane);
  to_pump_.insert(connection.service);
  const Reply& reply = event.reply;
  lane.position = LaterPosition(lane.position, reply.position);
  switch (expected.step) {
    case Step::kBegin:
      OnBeginDone(event.connection, expected, reply);
      break;
    case Step::kStatement:
      OnStatementDone(event.connection, expected, reply);
      break;
    case Step::kProbe:
      if (reply.error == ErrorCode::kNone) {
        NoteLeader(lane, reply.position, expected.sent);
      } else if (reply.error == ErrorCode::kReadOnly) {
        NoteNotLeader(lane);
      }
      break;
    case Step::kInspect:
    case Step::kHold:
      OnStatusAnswer(lane, expected.step, reply);
      break;
    case Step::kSetup:
      if (reply.error == ErrorCode::kNone) break;
      Log("connection closed server=" + connection.server +
          " reason=setup failed detail=" + reply.detail);
      return Drop(event.connection, true);
    case Step::kEnd:
    case Step::kResume:
      break;
  }
  MakeIdle(event.connection);
}

void Proxy::NoteHeard(Lane& lane) {
  lane.last_heard = now_;
  lane.refusals = 0;
  if (!lane.failing) return;
  lane.failing = false;
  Log("server answers again id=" + lane.entry.id);
  to_pump_.insert(lane.entry.service);
}

void Proxy::NoteFailing(Lane& lane) {
  if (lane.failing) return;
  lane.failing = true;
  lane.via.clear();
  lane.failing_since = now_;
  Log("server fails id=" + lane.entry.id);
}

std::optional<TimePoint> Proxy::OldestUnanswered(const Lane& lane) const {
  std::optional<TimePoint> oldest;
  for (const ConnectionId id : lane.connections) {
    const Connection& connection = connections_.at(id);
    if (connection.expected.empty()) continue;
    const TimePoint sent = connection.expected.front().sent;
    if (!oldest || sent < *oldest) oldest = sent;
  }
  return oldest;
}

/// Finds servers that fell silent and tries failing ones again.
void Proxy::CheckLanes() {
  for (auto& [id, lane] : lanes_) {
    if (lane.most_connections > 0 && now_ >= lane.full_until) {
      lane.most_connections = 0;
    }
    DropStuck(lane);
    CheckSilence(lane);
    FindWay(lane);
    TrimIdle(lane);
    if (!InUse(lane) || now_ < lane.connect_after || lane.opening > 0) continue;
    const bool warm = lane.connections.empty() && ShareOf(lane) > 1;
    const bool retry = lane.failing && now_ - lane.probed >= kProbePause;
    if (!warm && !retry) continue;
    lane.probed = now_;
    Open(lane);
  }
  CheckIsolation();
}

/// A server that runs a long statement still answers a probe, which needs no
/// slot; one that answers nothing has failed.
void Proxy::CheckSilence(Lane& lane) {
  if (lane.failing) return;
  const auto oldest = OldestUnanswered(lane);
  if (!oldest) return;
  const TimePoint since = std::max(*oldest, lane.last_heard);
  if (now_ - since < options_.probe_after) return;
  if (now_ - since < options_.suspect_after) {
    if (now_ - lane.probed < options_.probe_after) return;
    lane.probed = now_;
    return ProbeLead(lane);
  }
  NoteFailing(lane);
  lane.failing_since = since;
  ProbeAll();
  const auto idle = lane.idle;
  for (const ConnectionId it : idle) Drop(it, false);
}

/// Finds out how far a failure reaches.
void Proxy::ProbeAll() {
  for (auto& [id, lane] : lanes_) {
    if (!lane.listed || lane.failing || lane.opening > 0) continue;
    if (now_ - lane.last_heard < options_.probe_after) continue;
    if (now_ - lane.probed < options_.probe_after) continue;
    lane.probed = now_;
    ProbeLead(lane);
  }
}

/// Closes connections on which a command of the proxy has no answer: nobody
/// waits for it, and the connection may have fallen silent for good.
void Proxy::DropStuck(Lane& lane) {
  std::vector<ConnectionId> stuck;
  for (const ConnectionId id : lane.connections) {
    const Connection& connection = connections_.at(id);
    if (connection.bound != 0 || connection.expected.empty()) continue;
    const TimePoint sent = connection.expected.front().sent;
    if (now_ - sent >= options_.attempt_limit) stuck.push_back(id);
  }
  for (const ConnectionId id : stuck) {
    Count("connections_stuck");
    Drop(id, false);
  }
}

/// Gives back idle connections but for half the share: those of an instance
/// that restarts linger at the server and count beside its new ones.
void Proxy::TrimIdle(Lane& lane) {
  const auto kept = static_cast<std::size_t>(std::max(ShareOf(lane) / 2, 1));
  while (!lane.idle.empty() && lane.connections.size() > kept) {
    const ConnectionId oldest = lane.idle.front();
    const TimePoint used = connections_.at(oldest).used;
    if (now_ - used < options_.connection_idle) return;
    Drop(oldest, false);
  }
}

/// Whether a partition separates this instance from all other zones.
void Proxy::CheckIsolation() {
  bool any = false;
  bool all = true;
  for (const auto& [id, lane] : lanes_) {
    if (!lane.listed || lane.entry.zone == self_.zone) continue;
    any = true;
    all = all && lane.failing;
  }
  const bool isolated = any && all;
  if (isolated == isolated_since_.has_value()) return;
  Log(isolated ? "other zones lost" : "other zones regained");
  if (!isolated) isolated_until_ = now_;
  isolated_since_ = isolated ? std::optional(now_) : std::nullopt;
}

}  // namespace corianderdock::session
