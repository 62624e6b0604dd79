#include "support/session_world.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace corianderdock::test {

namespace {

using namespace session;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

constexpr Duration kHop = milliseconds(1);
constexpr char kService[] = "books";
constexpr char kPrimaryDb[] = "claims";
constexpr char kBoundedDb[] = "lookups";
constexpr char kOwnDb[] = "updates";
constexpr milliseconds kMaxAge{800};
constexpr int kNewestChecked = 8;

struct LogEntry {
  Position position;
  std::string write;  ///< statement id, or ids of a transaction
};

/// One server connection as the server sees it.
struct ServerSide {
  std::size_t instance = 0;
  std::map<std::string, std::string> values;
  std::map<std::string, std::string> prepared;
  TransactionState state = TransactionState::kIdle;
  bool plain = false;
  Term term = 0;  ///< of the transaction
  std::vector<std::string> writes;
  std::uint64_t owner = 0;  ///< client whose statements it runs
  std::size_t read_limit = 0;
};

struct Server {
  ServerId id;
  bool alive = true;
  bool primary = false;
  Term term = 1;
  Term held = 0;
  std::vector<LogEntry> log;
  std::map<std::pair<std::size_t, ConnectionId>, ServerSide> connections;
  Duration extra_lag{0};
  std::set<std::size_t> cut_from;  ///< instances

  [[nodiscard]] Position End() const {
    return log.empty() ? Position{1, 0} : log.back().position;
  }
};

/// One client session and what it knows.
struct Client {
  std::uint64_t id = 0;
  std::size_t instance = 0;
  std::string database;
  std::map<std::string, std::string> values;
  std::map<std::string, std::string> shapes;
  bool open = false;
  bool waiting = false;
  TransactionState state = TransactionState::kIdle;
  bool plain = false;
  int left = 0;  ///< statements until the transaction ends
  std::vector<std::string> writes;
  std::string sent;  ///< id of the outstanding statement
  Verb verb = Verb::kRead;
  TimePoint began;      ///< first byte of the transaction or read
  std::size_t own = 0;  ///< commits of its own
};

struct Acknowledged {
  TimePoint at;
  std::string write;
  std::uint64_t client = 0;
};

class World {
 public:
  explicit World(const WorldOptions& options)
      : options_(options), random_(options.seed) {
    auto config = std::make_shared<RoutingConfig>();
    config->version = 1;
    config->transaction_idle_timeout = std::chrono::seconds(2);
    config->services[kService] = {40, 1};
    AddRoute(*config, kPrimaryDb, Freshness::kPrimary);
    AddRoute(*config, kBoundedDb, Freshness::kBoundedStaleness);
    AddRoute(*config, kOwnDb, Freshness::kReadYourWrites);
    for (const char* id : {"s1", "s2", "s3"}) servers_[id].id = id;
    servers_["s1"].primary = true;
    for (int n = 0; n < options.instances; ++n) {
      proxies_.push_back(std::make_unique<Proxy>(
          ProxyIdentity{"p" + std::to_string(n), "z"}, options.proxy));
      frozen_until_.push_back(TimePoint{});
      timer_at_.push_back(TimePoint::max());
    }
    for (std::size_t n = 0; n < proxies_.size(); ++n) {
      Feed(n, ConfigRead{config});
      FeedServers(n);
      Feed(n, InstancesRead{
                  {{"p0", {"z", ""}}, {"p1", {"z", ""}}, {"p2", {"z", ""}}}});
      Feed(n, TokenObtained{++token_});
    }
  }

  WorldResult Play() {
    const TimePoint end = now_ + options_.length;
    for (std::size_t n = 0; n < proxies_.size(); ++n) {
      for (int c = 0; c < options_.clients; ++c) OpenClient(n);
    }
    if (options_.faults_per_second > 0) ScheduleFault();
    last_commit_ = now_;
    while (!queue_.empty() && queue_.top().at < end) {
      const Item item = queue_.top();
      queue_.pop();
      now_ = item.at;
      item.run();
    }
    return result_;
  }

 private:
  struct Item {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Item& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  static void AddRoute(RoutingConfig& config, const char* name,
                       Freshness freshness) {
    auto route = std::make_shared<Route>();
    route->database = name;
    route->service = kService;
    route->freshness = freshness;
    route->timeout = milliseconds(800);
    route->latency_objective = milliseconds(200);
    route->max_age = kMaxAge;
    config.routes[name] = route;
  }

  void At(Duration delay, std::function<void()> run) {
    queue_.push({now_ + delay, order_++, std::move(run)});
  }

  [[nodiscard]] double Chance() {
    return std::uniform_real_distribution<>(0, 1)(random_);
  }
  [[nodiscard]] int Pick(int n) {
    return std::uniform_int_distribution<>(0, n - 1)(random_);
  }

  /// Shown with the variable TRACE set, to follow one seed.
  void Trace(const std::string& what) const {
    static const bool shown = std::getenv("TRACE") != nullptr;
    if (!shown) return;
    const auto ms =
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
    std::cout << ms.count() << " " << what << "\n";
  }

  void Break(const std::string& what) {
    Trace("BROKEN " + what);
    const auto ms =
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
    result_.broken.push_back(what + " at " + std::to_string(ms.count()) +
                             " ms, seed " + std::to_string(options_.seed));
  }

  // Instances.
  void Feed(std::size_t n, const Event& event) {
    if (now_ < frozen_until_[n]) {
      At(frozen_until_[n] - now_, [this, n, event] { Feed(n, event); });
      return;
    }
    for (auto& effect : proxies_[n]->Reduce(now_, event)) {
      std::visit([&](auto& it) { Do(n, it); }, effect);
    }
    const auto next = proxies_[n]->NextTimer();
    if (!next || *next >= timer_at_[n]) return;
    timer_at_[n] = *next;
    At(*next - now_, [this, n] {
      timer_at_[n] = TimePoint::max();
      Feed(n, TimerFired{});
    });
  }

  void FeedServers(std::size_t n) {
    ServersRead read;
    read.complete = true;
    for (const auto& [id, server] : servers_) {
      ServerEntry entry;
      entry.id = id;
      entry.service = kService;
      entry.address = id;
      entry.zone = "z";
      entry.slots = 4;
      entry.claims_primary = server.primary;
      read.servers[id] = entry;
    }
    Feed(n, read);
  }

  [[nodiscard]] bool Reachable(std::size_t n, const Server& server) const {
    return server.alive && !server.cut_from.contains(n);
  }

  void Do(std::size_t n, const OpenServerConnection& effect) {
    At(kHop * 2, [this, n, effect] {
      Server& server = servers_[effect.server];
      if (!Reachable(n, server)) {
        return Feed(n,
                    ServerConnected{effect.connection, ErrorCode::kOther, {}});
      }
      server.connections[{n, effect.connection}].instance = n;
      at_server_[{n, effect.connection}] = effect.server;
      Feed(n,
           ServerConnected{effect.connection, ErrorCode::kNone, server.End()});
    });
  }

  void Do(std::size_t n, const CloseServerConnection& effect) {
    const auto it = at_server_.find({n, effect.connection});
    if (it == at_server_.end()) return;
    const ServerId id = it->second;
    at_server_.erase(it);
    At(kHop, [this, n, id, connection = effect.connection] {
      servers_[id].connections.erase({n, connection});
    });
  }

  void Do(std::size_t n, const SendCommand& effect) {
    const auto it = at_server_.find({n, effect.connection});
    if (it == at_server_.end()) return;
    const ServerId id = it->second;
    TimePoint& free = busy_until_[{n, effect.connection}];
    const bool slow = effect.command.statement.verb == Verb::kRead ||
                      effect.command.statement.verb == Verb::kExecute ||
                      effect.command.statement.verb == Verb::kWrite;
    const Duration run = slow ? milliseconds(2 + Pick(6)) : kHop / 4;
    free = std::max(free, now_ + kHop) + run;
    At(free - now_, [this, n, id, effect] { RunAt(n, id, effect); });
  }

  void Do(std::size_t n, const AnswerSession& effect) {
    At(kHop, [this, n, effect] { OnAnswer(n, effect); });
  }

  void Do(std::size_t n, const CloseSession& effect) {
    clients_.erase(effect.session);
    At(milliseconds(50), [this, n] { OpenClient(n); });
  }

  void Do(std::size_t n, const ClaimPromotion& effect) {
    At(milliseconds(8), [this, n, effect] {
      if (store_away_) {
        return Feed(n, ClaimAnswered{effect.service, 0, true});
      }
      const bool taken = now_ < claimed_until_ && claimant_ != n;
      if (!taken) {
        claimant_ = n;
        claimed_until_ = now_ + std::chrono::seconds(3);
      }
      Feed(n, ClaimAnswered{effect.service, taken ? 0 : ++token_, false});
    });
  }

  void Do(std::size_t n, const RenewToken& /*effect*/) {
    At(milliseconds(8), [this, n] {
      if (!store_away_) Feed(n, TokenObtained{++token_});
    });
  }

  void Do(std::size_t n, const PromoteServer& effect) {
    const bool late = Chance() < 0.2;
    At(late ? milliseconds(1500 + Pick(2500)) : milliseconds(4),
       [this, n, effect, late] {
         const auto result = Promote(effect);
         if (!late) {
           Feed(n, PromotionAnswered{effect.service, effect.server, result});
         }
       });
    if (!late) return;
    At(milliseconds(600), [this, n, effect] {
      Feed(n, PromotionAnswered{effect.service, effect.server,
                                PromotionResult::kUnknown});
    });
  }

  void Do(std::size_t n, const LogDecision& effect) {
    Trace("p" + std::to_string(n) + " " + effect.text);
  }
  void Do(std::size_t /*n*/, const StopFinished& /*effect*/) {}

  PromotionResult Promote(const PromoteServer& effect) {
    if (!servers_.contains(effect.server)) {
      Break("order of no server");
      return PromotionResult::kRefused;
    }
    Server& target = servers_[effect.server];
    if (effect.token < highest_token_ || !target.alive) {
      return PromotionResult::kRefused;
    }
    highest_token_ = effect.token;
    if (target.primary || promoting_ == effect.server) {
      return PromotionResult::kAccepted;
    }
    promoting_ = effect.server;
    At(options_.promote_time, [this, id = effect.server] { Lead(id); });
    return PromotionResult::kAccepted;
  }

  void Lead(const ServerId& id) {
    promoting_.clear();
    Server& target = servers_[id];
    if (!target.alive) return;
    ++result_.promotions;
    Trace("leads " + id + " log " + std::to_string(target.log.size()));
    Term newest = 0;
    for (const auto& [other, server] : servers_) {
      newest = std::max(newest, server.term);
    }
    for (const Acknowledged& it : acknowledged_) {
      if (!Holds(target, it.write)) Break("LOST " + it.write);
    }
    for (auto& [other, server] : servers_) {
      server.held = 0;
      server.primary = other == id;
      if (other == id || server.log.size() <= target.log.size()) continue;
      server.log.resize(target.log.size());
    }
    for (auto& [other, server] : servers_) {
      if (server.alive) server.log = target.log;
    }
    target.term = newest + 1;
  }

  [[nodiscard]] static bool Holds(const Server& server,
                                  const std::string& write) {
    return std::any_of(server.log.rbegin(), server.log.rend(),
                       [&](const LogEntry& it) { return it.write == write; });
  }

  // Servers.
  void RunAt(std::size_t n, const ServerId& id, const SendCommand& effect) {
    Server& server = servers_[id];
    const auto it = server.connections.find({n, effect.connection});
    if (!Reachable(n, server)) muted_.insert({n, effect.connection});
    if (it == server.connections.end()) return;
    if (muted_.contains({n, effect.connection})) return;
    Reply reply = RunCommand(server, it->second, effect.command);
    reply.state = it->second.state;
    reply.position = server.End();
    const bool commits =
        reply.error == ErrorCode::kNone && !committing_.empty();
    if (commits) return Replicate(n, id, effect, std::move(reply));
    Deliver(n, id, effect.connection, reply);
  }

  void Deliver(std::size_t n, const ServerId& id, ConnectionId connection,
               const Reply& reply) {
    if (Chance() < options_.lost_answers) {
      muted_.insert({n, connection});
    }
    if (muted_.contains({n, connection})) return;
    At(kHop, [this, n, id, connection, reply] {
      // A connection that lost a message delivers nothing more.
      if (!Reachable(n, servers_[id])) muted_.insert({n, connection});
      if (muted_.contains({n, connection})) return;
      Feed(n, ServerReplied{connection, reply});
    });
  }

  /// A commit is acknowledged once one replica has received it.
  void Replicate(std::size_t n, const ServerId& id, const SendCommand& effect,
                 Reply reply) {
    Server& server = servers_[id];
    const std::string write = std::exchange(committing_, {});
    const std::uint64_t index = server.End().index + 1;
    const Position position{server.term, index};
    const LogEntry entry{position, write};
    server.log.push_back(entry);
    Trace("logged " + write + " at " + id + " index " + std::to_string(index));
    reply.position = position;
    auto acked = std::make_shared<bool>(false);
    for (const auto& it : servers_) {
      const ServerId other = it.first;
      if (other == id) continue;
      const Duration delay = kHop + it.second.extra_lag;
      At(delay, [this, n, id, other, entry, acked, effect, reply, write] {
        Server& to = servers_[other];
        if (!to.alive || to.held != 0 || deaf_.contains(other)) return;
        if (!Leads(id, entry.position.term)) return;
        if (!CatchUp(servers_[id], to, entry.position)) return;
        if (std::exchange(*acked, true)) return;
        At(kHop, [this, n, id, entry, effect, reply, write] {
          if (!Leads(id, entry.position.term)) return;
          acknowledged_.push_back({now_, write, ClientOf(effect.command.id)});
          Trace(std::string("acknowledged ")
                    .append(write)
                    .append(" by ")
                    .append(id));
          NoteCommit();
          Deliver(n, id, effect.connection, reply);
        });
      });
    }
  }

  [[nodiscard]] bool Leads(const ServerId& id, Term term) const {
    const Server& server = servers_.at(id);
    return server.alive && server.primary && server.term == term;
  }

  static bool CatchUp(const Server& from, Server& to, Position until) {
    for (std::size_t n = to.log.size(); n < from.log.size(); ++n) {
      if (from.log[n].position.index > until.index) break;
      to.log.push_back(from.log[n]);
    }
    return true;
  }

  void NoteCommit() {
    result_.longest_gap = std::max(result_.longest_gap, now_ - last_commit_);
    last_commit_ = now_;
  }

  [[nodiscard]] static std::uint64_t ClientOf(const std::string& id) {
    return std::stoull(id.substr(0, id.find('-')));
  }

  Reply RunCommand(Server& server, ServerSide& side,
                   const ServerCommand& command) {
    Reply reply;
    committing_.clear();
    const auto fail = [&](ErrorCode code) {
      reply.error = code;
      if (side.state == TransactionState::kOpen) {
        side.state = TransactionState::kFailed;
      }
      return reply;
    };
    const Statement& statement = command.statement;
    if (command.after && !HasPosition(server, *command.after)) {
      return fail(ErrorCode::kBehind);
    }
    switch (statement.verb) {
      case Verb::kSet:
        side.values[statement.name] = statement.text;
        return reply;
      case Verb::kReset:
        side.values.clear();
        side.prepared.clear();
        return reply;
      case Verb::kPrepareRead:
      case Verb::kPrepareWrite:
        side.prepared[statement.name] = statement.text;
        return reply;
      case Verb::kBegin:
      case Verb::kBeginRead:
        if (statement.verb == Verb::kBegin && !server.primary) {
          return fail(ErrorCode::kReadOnly);
        }
        side.state = TransactionState::kOpen;
        side.plain = statement.verb == Verb::kBegin;
        side.term = server.term;
        side.writes.clear();
        side.owner = 0;
        return reply;
      case Verb::kRollback:
        side.state = TransactionState::kIdle;
        side.writes.clear();
        return reply;
      case Verb::kStatus:
      case Verb::kHold:
        if (command.term > server.term) server.held = command.term;
        reply.status = ServerStatus{server.primary, server.term, server.End(),
                                    server.held};
        return reply;
      case Verb::kDemote:
        if (command.term > server.term) server.primary = false;
        return reply;
      case Verb::kResume:
        Trace("released " + server.id);
        server.held = 0;
        return reply;
      case Verb::kCommit:
      case Verb::kRead:
      case Verb::kWrite:
      case Verb::kExecute:
        return RunStatement(server, side, command);
      default:
        return fail(ErrorCode::kBad);
    }
  }

  [[nodiscard]] static bool HasPosition(const Server& server, Position after) {
    if (after.index == 0) return true;
    return std::any_of(
        server.log.rbegin(), server.log.rend(),
        [&](const LogEntry& it) { return it.position == after; });
  }

  Reply RunStatement(Server& server, ServerSide& side,
                     const ServerCommand& command) {
    Reply reply;
    const std::uint64_t owner = ClientOf(command.id);
    const bool inside = side.state != TransactionState::kIdle;
    const bool deposed =
        inside && side.plain && (!server.primary || side.term != server.term);
    const bool commit = command.statement.verb == Verb::kCommit;
    if (side.state == TransactionState::kFailed ||
        (deposed && !(commit && side.writes.empty()))) {
      side.state = inside ? TransactionState::kFailed : side.state;
      reply.error = ErrorCode::kReadOnly;
      return reply;
    }
    const bool writes = IsWrite(command.statement);
    if (!inside && writes && !server.primary) {
      reply.error = ErrorCode::kReadOnly;
      return reply;
    }
    CheckPinned(side, command, owner);
    if (!writes && !commit) CheckFresh(server, command, owner);
    reply.receipt = server.id + "/" + command.id;
    receipts_[command.id].insert(reply.receipt);
    if (commit) {
      side.state = TransactionState::kIdle;
      for (const auto& it : side.writes) CountEffect(it);
      if (!side.writes.empty()) committing_ = side.writes.front();
      side.writes.clear();
    } else if (writes && inside) {
      side.writes.push_back(command.id);
    } else if (writes) {
      CountEffect(command.id);
      committing_ = command.id;
    }
    return reply;
  }

  [[nodiscard]] static bool IsWrite(const Statement& statement) {
    return statement.verb == Verb::kWrite ||
           (statement.verb == Verb::kExecute && statement.name[0] == 'w');
  }

  void CountEffect(const std::string& write) {
    if (++effects_[write] > 1) Break("TWICE " + write);
    if (refused_.contains(write)) Break("REFUSED " + write);
  }

  void CheckPinned(ServerSide& side, const ServerCommand& command,
                   std::uint64_t owner) {
    const auto it = clients_.find(owner);
    if (it == clients_.end()) return;
    const Client& client = it->second;
    if (client.sent != command.id) return;
    if (side.state == TransactionState::kOpen) {
      if (side.owner != 0 && side.owner != owner) Break("PINNED transaction");
      side.owner = owner;
    } else if (client.state == TransactionState::kOpen) {
      Break("PINNED outside its transaction " + command.id);
    }
    if (side.values != client.values) Break("PINNED values " + command.id);
    if (command.statement.verb != Verb::kExecute) return;
    const auto shape = side.prepared.find(command.statement.name);
    const std::string wanted = client.shapes.at("p");
    if (shape == side.prepared.end() || shape->second != wanted) {
      Break("PINNED shape " + command.id);
    }
  }

  void CheckFresh(const Server& server, const ServerCommand& command,
                  std::uint64_t owner) {
    const auto it = clients_.find(owner);
    if (it == clients_.end() || it->second.sent != command.id) return;
    const Client& client = it->second;
    if (!server.primary) ++result_.replica_reads;
    // Logs are prefixes of one history: who has the newest has all.
    int left = kNewestChecked;
    for (auto ack = acknowledged_.rbegin();
         ack != acknowledged_.rend() && left > 0; ++ack) {
      const bool primary = client.database == kPrimaryDb;
      const Duration age = primary ? Duration(0) : Duration(kMaxAge);
      const bool own = client.database == kOwnDb && ack->client == owner;
      const bool covered = ack->at < client.began - (own ? Duration(0) : age);
      if (!covered) continue;
      --left;
      if (!Holds(server, ack->write)) {
        return Break("STALE " + client.database + " read " + command.id +
                     " lacks " + ack->write);
      }
    }
  }

  // Clients.
  void OpenClient(std::size_t n) {
    const std::uint64_t id = next_client_++;
    Client& client = clients_[id];
    client.id = id;
    client.instance = n;
    const char* databases[] = {kPrimaryDb, kBoundedDb, kOwnDb};
    client.database = databases[Pick(3)];
    client.waiting = true;
    At(milliseconds(Pick(100)), [this, n, id] {
      if (!clients_.contains(id)) return;
      Feed(n, SessionOpened{id, clients_.at(id).database});
    });
  }

  void OnAnswer(std::size_t /*n*/, const AnswerSession& effect) {
    const auto it = clients_.find(effect.session);
    if (it == clients_.end()) return;
    Client& client = it->second;
    if (!client.waiting) return Break("answer to nothing");
    client.waiting = false;
    if (client.open) {
      Settle(client, effect.reply);
    } else {
      client.open = true;
    }
    At(milliseconds(1 + Pick(40)), [this, id = client.id] { Next(id); });
  }

  void Settle(Client& client, const Reply& reply) {
    const bool statement =
        client.verb == Verb::kRead || client.verb == Verb::kWrite ||
        client.verb == Verb::kExecute || client.verb == Verb::kCommit;
    const bool ok = reply.error == ErrorCode::kNone;
    if (statement && ok) {
      ++result_.done;
      if (!receipts_[client.sent].contains(reply.receipt)) {
        Break("MIXED receipt " + client.sent);
      }
    }
    const bool promise = reply.error == ErrorCode::kBusy ||
                         reply.error == ErrorCode::kAborted ||
                         reply.error == ErrorCode::kReadOnly ||
                         reply.error == ErrorCode::kBehind;
    if (promise) {
      ++result_.refused;
      for (const auto& it : client.writes) Refuse(it);
      Refuse(client.sent);
    }
    if (reply.error == ErrorCode::kUnsure) ++result_.unsure;
    client.state = reply.state;
    if (client.state == TransactionState::kIdle) client.writes.clear();
  }

  void Refuse(const std::string& write) {
    refused_.insert(write);
    if (effects_[write] > 0) Break("REFUSED " + write);
  }

  void Next(std::uint64_t id) {
    const auto it = clients_.find(id);
    if (it == clients_.end()) return;
    Client& client = it->second;
    if (Chance() < 0.003) return Leave(client);
    Statement statement = Compose(client);
    client.verb = statement.verb;
    client.sent = std::to_string(id) + "-" + std::to_string(order_++);
    client.waiting = true;
    if (client.state == TransactionState::kIdle) client.began = now_;
    Feed(client.instance, StatementReceived{id, client.sent, statement});
  }

  void Leave(const Client& client) {
    const std::size_t n = client.instance;
    const std::uint64_t id = client.id;
    clients_.erase(id);
    Feed(n, SessionClosed{id});
    OpenClient(n);
  }

  Statement Compose(Client& client) {
    if (client.state == TransactionState::kFailed) {
      return {Verb::kRollback, {}, {}};
    }
    if (client.state == TransactionState::kOpen) {
      if (client.left-- <= 0) {
        const bool commits = Chance() < 0.8;
        return {commits ? Verb::kCommit : Verb::kRollback, {}, {}};
      }
      return ComposeData(client, client.plain);
    }
    const double chance = Chance();
    if (chance < 0.08) {
      const std::string value = std::to_string(Pick(3));
      const std::string name = Pick(2) == 0 ? "a" : "b";
      client.values[name] = value;
      return {Verb::kSet, name, value};
    }
    if (chance < 0.14) {
      const bool writes = Pick(2) == 0;
      client.shapes["p"] = "q" + std::to_string(Pick(3));
      client.shapes["mode"] = writes ? "w" : "r";
      return {writes ? Verb::kPrepareWrite : Verb::kPrepareRead, "p",
              client.shapes["p"]};
    }
    if (chance < 0.34) {
      client.plain = Pick(2) == 0;
      client.left = 1 + Pick(4);
      client.began = now_;
      return {client.plain ? Verb::kBegin : Verb::kBeginRead, {}, {}};
    }
    return ComposeData(client, true);
  }

  Statement ComposeData(Client& client, bool may_write) {
    const bool prepared = client.shapes.contains("p") && Pick(3) == 0;
    if (prepared && (may_write || client.shapes["mode"] == "r")) {
      return {Verb::kExecute, "p", "item"};
    }
    if (may_write && Pick(3) == 0) return {Verb::kWrite, {}, "item data"};
    return {Verb::kRead, {}, "item"};
  }

  // Faults.
  void ScheduleFault() {
    const auto pause = milliseconds(static_cast<int>(
        1000 / options_.faults_per_second * (0.3 + Chance() * 1.4)));
    At(pause, [this] {
      Fault();
      ScheduleFault();
    });
  }

  void Fault() {
    auto it = servers_.begin();
    std::advance(it, Pick(static_cast<int>(servers_.size())));
    const ServerId id = it->first;
    const auto n = static_cast<std::size_t>(Pick(options_.instances));
    const Duration time = milliseconds(200 + Pick(1800));
    const int kind = Pick(7);
    Trace("fault " + std::to_string(kind) + " " + id + " p" +
          std::to_string(n));
    switch (kind) {
      case 0:
        return Crash(id, time);
      case 1:
        servers_[id].extra_lag = milliseconds(Pick(1500));
        return At(time, [this, id] { servers_[id].extra_lag = Duration(0); });
      case 2:
        servers_[id].cut_from.insert(n);
        return At(time, [this, id, n] { servers_[id].cut_from.erase(n); });
      case 3:
        store_away_ = true;
        return At(time, [this] { store_away_ = false; });
      case 4:
        frozen_until_[n] = now_ + time;
        return;
      case 5:
        deaf_.insert(id);
        return At(time, [this, id] { deaf_.erase(id); });
      default:
        return ResetConnections(n);
    }
  }

  /// The server keeps its log and comes back.
  void Crash(const ServerId& id, Duration time) {
    Server& server = servers_[id];
    if (!server.alive) return;
    server.alive = false;
    server.held = 0;
    for (const auto& [key, side] : server.connections) LoseAt(key);
    server.connections.clear();
    At(time, [this, id] { Return(id); });
  }

  /// What a promotion rolled back is gone when the server is back.
  void Return(const ServerId& id) {
    Server& server = servers_[id];
    server.alive = true;
    for (const auto& [other, leader] : servers_) {
      if (!leader.primary || other == id) continue;
      std::size_t n = 0;
      while (n < server.log.size() && n < leader.log.size() &&
             server.log[n].position == leader.log[n].position) {
        ++n;
      }
      server.log.resize(n);
    }
  }

  void LoseAt(const std::pair<std::size_t, ConnectionId>& key) {
    at_server_.erase(key);
    At(kHop,
       [this, key] { Feed(key.first, ServerConnectionLost{key.second}); });
  }

  void ResetConnections(std::size_t n) {
    for (auto& [id, server] : servers_) {
      std::erase_if(server.connections, [&](const auto& it) {
        if (it.first.first != n || Pick(2) == 0) return false;
        LoseAt(it.first);
        return true;
      });
    }
  }

  WorldOptions options_;
  std::mt19937_64 random_;
  WorldResult result_;
  TimePoint now_{std::chrono::seconds(100)};
  std::priority_queue<Item> queue_;
  std::uint64_t order_ = 0;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  std::vector<TimePoint> frozen_until_;
  std::vector<TimePoint> timer_at_;
  std::map<ServerId, Server> servers_;
  std::map<std::pair<std::size_t, ConnectionId>, ServerId> at_server_;
  std::map<std::pair<std::size_t, ConnectionId>, TimePoint> busy_until_;
  std::set<std::pair<std::size_t, ConnectionId>> muted_;
  std::set<ServerId> deaf_;
  std::map<std::uint64_t, Client> clients_;
  std::uint64_t next_client_ = 1;
  std::vector<Acknowledged> acknowledged_;
  std::map<std::string, std::set<std::string>> receipts_;
  std::map<std::string, int> effects_;
  std::set<std::string> refused_;
  std::string committing_;
  ServerId promoting_;
  std::uint64_t token_ = 0;
  std::uint64_t highest_token_ = 0;
  std::size_t claimant_ = 0;
  TimePoint claimed_until_;
  bool store_away_ = false;
  TimePoint last_commit_;
};

}  // namespace

WorldResult PlaySessions(const WorldOptions& options) {
  return World(options).Play();
}

}  // namespace corianderdock::test
