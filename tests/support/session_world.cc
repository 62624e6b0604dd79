#include "support/session_world.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <utility>

namespace corianderdock::test {

namespace {

using namespace session;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

constexpr Duration kNetworkDelay = milliseconds(1);
/// Time after a pause at which what arrived meanwhile is handled.
constexpr Duration kBacklogDelay = std::chrono::microseconds(1);
constexpr char kService[] = "books";
constexpr char kPrimaryDb[] = "claims";
constexpr char kBoundedStalenessDb[] = "lookups";
constexpr char kReadYourWritesDb[] = "updates";
constexpr milliseconds kMaxAge{800};
constexpr int kMaxCommitsChecked = 8;

struct LogEntry {
  Position position;
  std::string write_id;  ///< for a transaction, its first write
};

/// What a process received while it was paused, in order of arrival. Nothing
/// that arrives later is handled before it.
struct Backlog {
  std::deque<std::function<void()>> items;
  bool draining = false;
};

/// Session state that a server keeps for one connection.
struct ServerSession {
  std::size_t instance = 0;
  std::map<std::string, std::string> values;
  std::map<std::string, Statement> prepared;  ///< as the server received them
  TransactionState state = TransactionState::kIdle;
  bool read_write = false;
  Term term = 0;  ///< of the server when the transaction began
  std::vector<std::string> writes;
  std::uint64_t client_id = 0;  ///< client that uses the open transaction
  std::size_t read_limit = 0;
};

struct Server {
  ServerId id;
  bool alive = true;
  bool gone = false;  ///< left for good
  bool primary = false;
  Term term = 1;
  Term fence_term = 0;  ///< 0 when not fenced
  std::vector<LogEntry> log;
  std::map<std::pair<std::size_t, ConnectionId>, ServerSession> connections;
  Duration extra_lag{0};
  std::set<std::size_t> partitioned_from;  ///< indices of instances
  bool split = false;                      ///< cut off from all other servers
  TimePoint listed_from;   ///< when it appears in the server list
  TimePoint hidden_until;  ///< its reports don't reach the store
  TimePoint drains_from = TimePoint::max();  ///< as the list shows
  std::uint64_t process_start = 1;
  TimePoint paused_until;  ///< executes nothing, and keeps what it receives
  Backlog backlog;

  ServerId joined_at;  ///< the server that it replaces, on whose side it is

  [[nodiscard]] Position End() const {
    return log.empty() ? Position{1, 0} : log.back().position;
  }
};

/// A client session, with the state that the client expects it to have.
struct Client {
  std::uint64_t id = 0;
  std::size_t instance = 0;
  std::string database;
  std::map<std::string, std::string> values;
  std::map<std::string, std::string> shapes;
  bool open = false;
  bool waiting = false;  ///< for a reply
  TransactionState state = TransactionState::kIdle;
  bool read_write = false;
  int statements_left = 0;  ///< before the transaction ends
  std::vector<std::string> writes;
  std::string statement_id;  ///< of the outstanding or last statement
  Verb verb = Verb::kRead;
  TimePoint started_at;  ///< start of the transaction or read
  std::size_t own_commits = 0;
};

struct AcknowledgedWrite {
  TimePoint at;
  std::string write_id;
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
    AddRoute(*config, kBoundedStalenessDb, Freshness::kBoundedStaleness);
    AddRoute(*config, kReadYourWritesDb, Freshness::kReadYourWrites);
    for (const char* id : {"s1", "s2", "s3"}) servers_[id].id = id;
    servers_["s1"].primary = true;
    options_.proxy.replaced_primary_stops = options.fencing;
    options_.proxy.failover.tokens_checked = options.fencing;
    if (!options.fencing) {
      options_.proxy.failover.leadership_lease = milliseconds(600);
    }
    config_ = config;
    for (const auto& [id, server] : servers_) {
      members_.servers[id] = EntryOf(server);
    }
    members_.revision = ++token_;
    for (int n = 0; n < options.instances; ++n) {
      current_.push_back(AddInstance(static_cast<std::size_t>(n)));
    }
    for (const std::size_t n : current_) StartInstance(n);
  }

  WorldResult Run() {
    const TimePoint end = now_ + options_.duration;
    for (const std::size_t n : current_) {
      for (int c = 0; c < options_.clients_per_instance; ++c) OpenClient(n);
    }
    if (options_.faults_per_second > 0) ScheduleFault();
    ScheduleLists();
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
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Item& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
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

  void Schedule(Duration delay, std::function<void()> run) {
    queue_.push({now_ + delay, next_sequence_++, std::move(run)});
  }

  [[nodiscard]] double RandomFraction() {
    return std::uniform_real_distribution<>(0, 1)(random_);
  }
  [[nodiscard]] int RandomBelow(int n) {
    return std::uniform_int_distribution<>(0, n - 1)(random_);
  }

  /// Prints an event if the environment variable TRACE is set.
  void Trace(const std::string& what) const {
    static const bool enabled = std::getenv("TRACE") != nullptr;
    if (!enabled) return;
    const auto ms =
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
    std::cout << ms.count() << " " << what << "\n";
  }

  void ReportViolation(const std::string& what) {
    Trace("BROKEN " + what);
    const auto ms =
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
    result_.violations.push_back(what + " at " + std::to_string(ms.count()) +
                                 " ms, seed " + std::to_string(options_.seed));
  }

  // Instances.

  /// Adds the process of the instance `slot`; returns its number.
  std::size_t AddInstance(std::size_t slot) {
    proxies_.push_back(std::make_unique<Proxy>(
        ProxyIdentity{"p" + std::to_string(slot), "z"}, options_.proxy));
    slots_.push_back(slot);
    ended_.push_back(false);
    frozen_until_.push_back(TimePoint{});
    backlogs_.emplace_back();
    timer_at_.push_back(TimePoint::max());
    return proxies_.size() - 1;
  }

  /// Feeds a process what it reads at its start, once the store is reachable.
  void StartInstance(std::size_t n) {
    if (store_unreachable_) {
      Schedule(milliseconds(100), [this, n] { StartInstance(n); });
      return;
    }
    Feed(n, ConfigRead{config_});
    FeedServers(n);
    FeedMembers(n);
    Feed(n, InstancesRead{
                {{"p0", {"z", ""}}, {"p1", {"z", ""}}, {"p2", {"z", ""}}}});
    Feed(n, TokenObtained{++token_});
  }

  /// Kills the process of an instance and starts another one.
  void RestartInstance(std::size_t slot) {
    const std::size_t old = current_[slot];
    Trace("restarts p" + std::to_string(slot));
    ended_[old] = true;
    for (auto& [id, server] : servers_) {
      std::erase_if(server.connections,
                    [old](const auto& it) { return it.first.first == old; });
    }
    std::erase_if(server_of_connection_,
                  [old](const auto& it) { return it.first.first == old; });
    const std::size_t n = AddInstance(slot);
    current_[slot] = n;
    StartInstance(n);
    const std::size_t closed = std::erase_if(
        clients_, [old](const auto& it) { return it.second.instance == old; });
    for (std::size_t c = 0; c < closed; ++c) OpenClient(n);
  }

  void Feed(std::size_t n, const Event& event) {
    if (ended_[n]) return;
    Backlog& backlog = backlogs_[n];
    if (Defers(backlog, now_ < ThawsAt(n))) {
      backlog.items.emplace_back([this, n, event] { Feed(n, event); });
      return;
    }
    for (auto& effect : proxies_[n]->Reduce(now_, event)) {
      std::visit([&](auto& it) { Apply(n, it); }, effect);
    }
    const auto next = proxies_[n]->NextTimer();
    if (!next || *next >= timer_at_[n]) return;
    timer_at_[n] = *next;
    Schedule(*next - now_, [this, n] {
      timer_at_[n] = TimePoint::max();
      Feed(n, TimerFired{});
    });
  }

  [[nodiscard]] TimePoint ThawsAt(std::size_t n) const {
    return frozen_until_[n] + (options_.overlap ? kBacklogDelay : Duration(0));
  }

  /// Whether what arrives now must wait behind the backlog or the pause's end.
  [[nodiscard]] static bool Defers(const Backlog& backlog, bool paused) {
    return paused || (!backlog.items.empty() && !backlog.draining);
  }

  /// Handles a backlog once the process isn't paused any more.
  static void Drain(Backlog& backlog) {
    backlog.draining = true;
    while (!backlog.items.empty()) {
      const auto run = std::move(backlog.items.front());
      backlog.items.pop_front();
      run();
    }
    backlog.draining = false;
  }

  /// Instances read the list each second while the store is reachable.
  void ScheduleLists() {
    Schedule(std::chrono::seconds(1), [this] {
      for (const std::size_t n : current_) {
        if (!store_unreachable_) FeedServers(n);
      }
      ScheduleLists();
    });
  }

  [[nodiscard]] ServerEntry EntryOf(const Server& server) const {
    ServerEntry entry;
    entry.draining = now_ >= server.drains_from;
    entry.process_start = server.process_start;
    entry.id = server.id;
    entry.service = kService;
    entry.address = server.id;
    entry.zone = "z";
    entry.slots = 4;
    entry.claims_primary = server.primary;
    return entry;
  }

  void FeedServers(std::size_t n) {
    ServersRead read;
    read.complete = true;
    for (const auto& [id, server] : servers_) {
      if (server.gone || now_ < server.listed_from) continue;
      if (now_ < server.hidden_until) continue;
      read.servers[id] = EntryOf(server);
      read.renewed.insert(id);
    }
    Feed(n, read);
  }

  [[nodiscard]] bool Reachable(std::size_t n, const Server& server) const {
    return server.alive && !server.partitioned_from.contains(n);
  }

  void Apply(std::size_t n, const OpenServerConnection& effect) {
    Schedule(kNetworkDelay * 2, [this, n, effect] {
      Server& server = servers_[effect.server];
      if (!Reachable(n, server)) {
        return Feed(n,
                    ServerConnected{effect.connection, ErrorCode::kOther, {}});
      }
      server.connections[{n, effect.connection}].instance = n;
      server_of_connection_[{n, effect.connection}] = effect.server;
      Feed(n,
           ServerConnected{effect.connection, ErrorCode::kNone, server.End()});
    });
  }

  void Apply(std::size_t n, const CloseServerConnection& effect) {
    const auto it = server_of_connection_.find({n, effect.connection});
    if (it == server_of_connection_.end()) return;
    const ServerId id = it->second;
    server_of_connection_.erase(it);
    Schedule(kNetworkDelay, [this, n, id, connection = effect.connection] {
      EndConnection(n, id, connection);
    });
  }

  /// A server that is paused executes what it has received before it learns
  /// that the connection was closed.
  void EndConnection(std::size_t n, const ServerId& id,
                     ConnectionId connection) {
    Server& server = servers_[id];
    if (Defers(server.backlog, Paused(server))) {
      server.backlog.items.emplace_back(
          [this, n, id, connection] { EndConnection(n, id, connection); });
      return;
    }
    server.connections.erase({n, connection});
  }

  [[nodiscard]] bool Paused(const Server& server) const {
    return now_ < server.paused_until + kBacklogDelay;
  }

  void Apply(std::size_t n, const SendCommand& effect) {
    const auto it = server_of_connection_.find({n, effect.connection});
    if (it == server_of_connection_.end()) return;
    const ServerId id = it->second;
    TimePoint& idle_at = busy_until_[{n, effect.connection}];
    const bool accesses_data =
        effect.command.statement.verb == Verb::kRead ||
        effect.command.statement.verb == Verb::kExecute ||
        effect.command.statement.verb == Verb::kWrite;
    const Duration run =
        accesses_data ? milliseconds(2 + RandomBelow(6)) : kNetworkDelay / 4;
    idle_at = std::max(idle_at, now_ + kNetworkDelay) + run;
    const std::uint64_t number = ++commands_sent_[{n, effect.connection}];
    Schedule(idle_at - now_,
             [this, n, id, effect, number] { RunAt(n, id, effect, number); });
    if (options_.overlap && effect.command.statement.verb == Verb::kHold) {
      DisturbFencing(n, id);
    }
  }

  void Apply(std::size_t n, const AnswerSession& effect) {
    Schedule(kNetworkDelay, [this, n, effect] { OnAnswer(n, effect); });
  }

  void Apply(std::size_t n, const CloseSession& effect) {
    clients_.erase(effect.session);
    Schedule(milliseconds(50), [this, n] { OpenClient(n); });
  }

  // No instance announces a share address, so none opens shared connections.
  void Apply(std::size_t /*n*/, const AnswerPeer& /*effect*/) {}
  void Apply(std::size_t /*n*/, const ClosePeer& /*effect*/) {}

  void Apply(std::size_t n, const ClaimPromotion& effect) {
    Schedule(milliseconds(8), [this, n, effect] {
      if (store_unreachable_) {
        return Feed(n, ClaimAnswered{effect.service, 0, true});
      }
      FeedMembers(n);  // as the claim requires the newest record
      const bool taken = now_ < claimed_until_ && claim_holder_ != slots_[n];
      if (!taken) {
        claim_holder_ = slots_[n];
        claimed_until_ = now_ + std::chrono::seconds(3);
      }
      if (!taken) claim_token_ = ++token_;
      Feed(n, ClaimAnswered{effect.service, taken ? 0 : claim_token_, false});
    });
  }

  void Apply(std::size_t n, const KeepClaim& /*effect*/) {
    Schedule(milliseconds(8), [this, n] {
      const bool holds = now_ < claimed_until_ && claim_holder_ == slots_[n];
      if (store_unreachable_ || !holds) return;
      claimed_until_ = now_ + std::chrono::seconds(3);
    });
  }

  void Apply(std::size_t n, const ReadMembers& effect) {
    const TimePoint sent = now_;
    const auto current_at =
        effect.linearizable ? std::optional<TimePoint>(sent) : std::nullopt;
    Schedule(milliseconds(8),
             [this, n, current_at] { FeedMembers(n, current_at); });
  }

  void Apply(std::size_t n, const WriteMembers& effect) {
    Schedule(milliseconds(8), [this, n, effect] {
      if (store_unreachable_) return;
      if (effect.record.revision == members_.revision) {
        members_ = effect.record;
        members_.revision = ++token_;
      }
      FeedMembers(n);
    });
  }

  void Apply(std::size_t n, const RecordOrder& effect) {
    Schedule(milliseconds(8), [this, n, effect] {
      const bool holds = now_ < claimed_until_ && claim_holder_ == slots_[n] &&
                         claim_token_ == effect.token;
      const bool recorded = !store_unreachable_ && holds &&
                            effect.record.revision == members_.revision;
      if (recorded) {
        members_ = effect.record;
        members_.revision = ++token_;
      }
      FeedMembers(n);
      Feed(n, OrderRecorded{effect.service, recorded});
    });
  }

  void FeedMembers(std::size_t n, std::optional<TimePoint> current_at = {}) {
    if (store_unreachable_) return;
    MembersRead read;
    read.all = true;
    read.current_at = current_at;
    if (members_.revision != 0) read.records[kService] = members_;
    Feed(n, read);
  }

  void Apply(std::size_t n, const RenewToken& /*effect*/) {
    Schedule(milliseconds(8), [this, n] {
      if (!store_unreachable_) Feed(n, TokenObtained{++token_});
    });
  }

  void Apply(std::size_t n, const PromoteServer& effect) {
    const bool delayed = RandomFraction() < (options_.late_orders ? 0.8 : 0.2);
    Schedule(
        !delayed               ? milliseconds(4)
        : options_.late_orders ? milliseconds(2000 + RandomBelow(9900))
                               : milliseconds(1500 + RandomBelow(2500)),
        [this, n, effect, delayed] {
          const auto result = Promote(effect);
          if (!delayed) {
            Feed(n, PromotionAnswered{effect.service, effect.server, result});
          }
        });
    if (options_.overlap) DisturbOrder(n, effect.server);
    if (!delayed) return;
    Schedule(milliseconds(600), [this, n, effect] {
      Feed(n, PromotionAnswered{effect.service, effect.server,
                                PromotionResult::kUnknown});
    });
  }

  void Apply(std::size_t n, const LogDecision& effect) {
    Trace("p" + std::to_string(n) + " " + effect.text);
    if (effect.severity == Severity::kError) CheckLossReport(effect.text);
  }

  /// Checks that no primary of the newest term has the commit reported missing.
  void CheckLossReport(const std::string& line) {
    ++result_.losses_reported;
    const std::string key = " id=";
    const auto begin = line.find(key) + key.size();
    const auto write =
        write_ids_.find(line.substr(begin, line.find(' ', begin) - begin));
    const Term newest_term = NewestTerm();
    for (const auto& [id, server] : servers_) {
      if (!server.primary || server.term != newest_term) continue;
      if (write != write_ids_.end() && !LogContains(server, write->second)) {
        continue;
      }
      ReportViolation("FALSE REPORT " + line);
    }
  }

  void Apply(std::size_t /*n*/, const StopFinished& /*effect*/) {}

  PromotionResult Promote(const PromoteServer& effect) {
    if (!servers_.contains(effect.server)) {
      ReportViolation("promotion ordered for an unknown server");
      return PromotionResult::kRefused;
    }
    Server& target = servers_[effect.server];
    const bool refused = options_.fencing && effect.token < highest_token_;
    if (refused || !target.alive) {
      return PromotionResult::kRefused;
    }
    Trace("executed order id=" + effect.server +
          " token=" + std::to_string(effect.token));
    highest_token_ = effect.token;
    const bool leads = target.primary && target.term == NewestTerm();
    if (leads || promotion_target_ == effect.server) {
      return PromotionResult::kAccepted;
    }
    promotion_target_ = effect.server;
    Schedule(options_.promotion_time,
             [this, id = effect.server] { CompletePromotion(id); });
    return PromotionResult::kAccepted;
  }

  void CompletePromotion(const ServerId& id) {
    promotion_target_.clear();
    Server& target = servers_[id];
    if (!target.alive) return;
    ++result_.promotions;
    Trace("promoted " + id + " log " + std::to_string(target.log.size()));
    const Term newest_term = NewestTerm();
    for (const AcknowledgedWrite& it : acknowledged_) {
      if (!LogContains(target, it.write_id)) {
        ReportViolation("LOST " + it.write_id);
      }
    }
    target.term = newest_term + 1;
    target.primary = true;
    target.fence_term = 0;
    for (auto& [other, server] : servers_) {
      if (other == id) continue;
      if (!options_.fencing && server.alive && server.primary) {
        ScheduleContact(other);
        continue;
      }
      server.primary = false;
      if (!options_.fencing && (server.split || target.split)) continue;
      Follow(server, target);
    }
  }

  [[nodiscard]] Term NewestTerm() const {
    Term newest = 0;
    for (const auto& [id, server] : servers_) {
      newest = std::max(newest, server.term);
    }
    return newest;
  }

  /// A server learns of a promotion: rolls back what the new primary lacks.
  static void Follow(Server& server, const Server& primary) {
    server.primary = false;
    server.fence_term = 0;
    server.term = primary.term;
    if (server.alive) {
      server.log = primary.log;
    } else if (server.log.size() > primary.log.size()) {
      server.log.resize(primary.log.size());
    }
  }

  /// Deposes a replaced primary a second after it can reach the new one.
  void ScheduleContact(const ServerId& id) {
    Schedule(std::chrono::seconds(1), [this, id] {
      Server& server = servers_[id];
      const Server* leader = NewestLeader();
      const bool replaced =
          server.primary && leader != nullptr && leader->term > server.term;
      if (!replaced) return;
      if (!server.alive || server.split || leader->split) {
        return ScheduleContact(id);
      }
      Follow(server, *leader);
    });
  }

  [[nodiscard]] const Server* NewestLeader() const {
    const Server* leader = nullptr;
    for (const auto& [id, server] : servers_) {
      const bool newer = leader == nullptr || server.term > leader->term;
      if (server.primary && newer) leader = &server;
    }
    return leader;
  }

  [[nodiscard]] static bool LogContains(const Server& server,
                                        const std::string& write_id) {
    return std::any_of(
        server.log.rbegin(), server.log.rend(),
        [&](const LogEntry& it) { return it.write_id == write_id; });
  }

  // Servers.
  void RunAt(std::size_t n, const ServerId& id, const SendCommand& effect,
             std::uint64_t number) {
    Server& server = servers_[id];
    if (Defers(server.backlog, Paused(server))) {
      server.backlog.items.emplace_back(
          [this, n, id, effect, number] { RunAt(n, id, effect, number); });
      return;
    }
    if (number != ++commands_run_[{n, effect.connection}]) {
      ReportViolation("commands out of order on a connection");
    }
    const auto it = server.connections.find({n, effect.connection});
    if (!Reachable(n, server)) {
      silent_connections_.insert({n, effect.connection});
    }
    if (it == server.connections.end()) return;
    if (silent_connections_.contains({n, effect.connection})) return;
    Reply reply = RunCommand(server, it->second, effect.command);
    reply.state = it->second.state;
    reply.position = server.End();
    const bool commits =
        reply.error == ErrorCode::kNone && !committed_write_id_.empty();
    if (commits) return Replicate(n, id, effect, std::move(reply));
    Deliver(n, id, effect.connection, reply);
  }

  void Deliver(std::size_t n, const ServerId& id, ConnectionId connection,
               const Reply& reply) {
    if (RandomFraction() < options_.lost_reply_rate) {
      silent_connections_.insert({n, connection});
    }
    if (silent_connections_.contains({n, connection})) return;
    Schedule(kNetworkDelay, [this, n, id, connection, reply] {
      // A connection is an ordered stream: nothing follows a lost message.
      if (!Reachable(n, servers_[id])) {
        silent_connections_.insert({n, connection});
      }
      if (silent_connections_.contains({n, connection})) return;
      Feed(n, ServerReplied{connection, reply});
    });
  }

  /// Replicates a commit. It is acknowledged once one replica has received it.
  void Replicate(std::size_t n, const ServerId& id, const SendCommand& effect,
                 Reply reply) {
    Server& server = servers_[id];
    const std::string write_id = std::exchange(committed_write_id_, {});
    write_ids_[effect.command.id] = write_id;
    const std::uint64_t index = server.End().index + 1;
    const Position position{server.term, index};
    const LogEntry entry{position, write_id};
    server.log.push_back(entry);
    Trace("logged " + write_id + " at " + id + " index " +
          std::to_string(index));
    reply.position = position;
    auto acked = std::make_shared<bool>(false);
    for (const auto& it : servers_) {
      const ServerId other = it.first;
      if (other == id) continue;
      const Duration delay = kNetworkDelay + it.second.extra_lag;
      Schedule(delay, [this, n, id, other, entry, acked, effect, reply] {
        ReceiveEntry(n, id, other, entry, acked, effect, reply);
      });
    }
  }

  /// Stores an entry at the server `other`, and lets the primary acknowledge it
  /// if no other server has done so.
  void ReceiveEntry(std::size_t n, const ServerId& id, const ServerId& other,
                    const LogEntry& entry, const std::shared_ptr<bool>& acked,
                    const SendCommand& effect, const Reply& reply) {
    Server& to = servers_[other];
    for (Server* server : {&to, &servers_[id]}) {
      if (!Defers(server->backlog, Paused(*server))) continue;
      server->backlog.items.emplace_back(
          [this, n, id, other, entry, acked, effect, reply] {
            ReceiveEntry(n, id, other, entry, acked, effect, reply);
          });
      return;
    }
    if (!to.alive || to.fence_term != 0 || !CanReplicate(id, to) ||
        replication_stopped_.contains(other)) {
      return;
    }
    if (to.term > entry.position.term) return;
    if (!IsPrimaryInTerm(id, entry.position.term)) return;
    if (!CatchUp(servers_[id], to, entry.position)) return;
    if (std::exchange(*acked, true)) return;
    Schedule(kNetworkDelay, [this, n, id, entry, effect, reply] {
      if (!IsPrimaryInTerm(id, entry.position.term)) return;
      if (!ClientsJudge()) {
        acknowledged_.push_back(
            {now_, entry.write_id, ClientOf(effect.command.id)});
      }
      Trace(std::string("acknowledged ")
                .append(entry.write_id)
                .append(" by ")
                .append(id));
      RecordCommit();
      Deliver(n, id, effect.connection, reply);
    });
  }

  /// A server that replaces another is on the same side of a cut as that one.
  [[nodiscard]] bool CanReplicate(const ServerId& from,
                                  const Server& to) const {
    const Server& source = servers_.at(from);
    if (to.joined_at == from) return true;
    return !source.split && !to.split;
  }

  [[nodiscard]] bool IsPrimaryInTerm(const ServerId& id, Term term) const {
    const Server& server = servers_.at(id);
    return server.alive && server.primary && server.term == term;
  }

  /// Copies the log up to `until`, after rolling back what `from` lacks.
  static bool CatchUp(const Server& from, Server& to, Position until) {
    const auto diverged =
        std::mismatch(to.log.begin(), to.log.end(), from.log.begin(),
                      from.log.end(), [](const LogEntry& a, const LogEntry& b) {
                        return a.position == b.position;
                      });
    const bool rolls_back =
        diverged.first != to.log.end() && diverged.second != from.log.end();
    if (rolls_back) to.log.erase(diverged.first, to.log.end());
    for (std::size_t n = to.log.size(); n < from.log.size(); ++n) {
      if (from.log[n].position.index > until.index) break;
      to.log.push_back(from.log[n]);
    }
    return true;
  }

  /// Whether a commit counts as acknowledged when its client has the answer. A
  /// primary may acknowledge a commit to an instance through a server that
  /// nobody knows of, or that was left out of a promotion and has returned
  /// unlisted; the instance must not pass that on. Otherwise it counts
  /// when the primary acknowledges it.
  [[nodiscard]] bool ClientsJudge() const {
    return options_.joiners || options_.restarts || options_.overlap ||
           !options_.fencing;
  }

  void RecordCommit() {
    result_.longest_commit_gap =
        std::max(result_.longest_commit_gap, now_ - last_commit_);
    last_commit_ = now_;
  }

  [[nodiscard]] static std::uint64_t ClientOf(const std::string& id) {
    return std::stoull(id.substr(0, id.find('-')));
  }

  Reply RunCommand(Server& server, ServerSession& server_session,
                   const ServerCommand& command) {
    Reply reply;
    committed_write_id_.clear();
    const auto fail = [&](ErrorCode code) {
      reply.error = code;
      if (server_session.state == TransactionState::kOpen) {
        server_session.state = TransactionState::kFailed;
      }
      return reply;
    };
    const Statement& statement = command.statement;
    if (command.after && !HasPosition(server, *command.after)) {
      return fail(ErrorCode::kBehind);
    }
    switch (statement.verb) {
      case Verb::kSet:
        server_session.values[statement.name] = statement.text;
        return reply;
      case Verb::kReset:
        server_session.values.clear();
        server_session.prepared.clear();
        return reply;
      case Verb::kPrepareRead:
      case Verb::kPrepareWrite:
        server_session.prepared[statement.name] = statement;
        return reply;
      case Verb::kForget:
        if (server_session.prepared.erase(statement.name) == 0) {
          return fail(ErrorCode::kNoStatement);
        }
        return reply;
      case Verb::kBegin:
      case Verb::kBeginRead:
        if (statement.verb == Verb::kBegin && !server.primary) {
          return fail(ErrorCode::kReadOnly);
        }
        server_session.state = TransactionState::kOpen;
        server_session.read_write = statement.verb == Verb::kBegin;
        server_session.term = server.term;
        server_session.writes.clear();
        server_session.client_id = 0;
        return reply;
      case Verb::kRollback:
        server_session.state = TransactionState::kIdle;
        server_session.writes.clear();
        return reply;
      case Verb::kStatus:
      case Verb::kHold:
        if (command.term > server.term) server.fence_term = command.term;
        reply.status = ServerStatus{server.primary, server.term, server.End(),
                                    server.fence_term};
        return reply;
      case Verb::kDemote:
        if (command.term > server.term) {
          server.primary = false;
          const Server* leader = NewestLeader();
          const bool reachable = leader != nullptr &&
                                 leader->term > server.term && !server.split &&
                                 !leader->split;
          if (reachable) Follow(server, *leader);
        }
        reply.status = ServerStatus{server.primary, server.term, server.End(),
                                    server.fence_term};
        return reply;
      case Verb::kResume:
        Trace("unfenced " + server.id);
        server.fence_term = 0;
        return reply;
      case Verb::kCommit:
      case Verb::kRead:
      case Verb::kWrite:
      case Verb::kExecute:
        return RunStatement(server, server_session, command);
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

  Reply RunStatement(Server& server, ServerSession& server_session,
                     const ServerCommand& command) {
    Reply reply;
    const std::uint64_t client_id = ClientOf(command.id);
    const bool in_transaction = server_session.state != TransactionState::kIdle;
    const bool deposed =
        in_transaction && server_session.read_write &&
        (!server.primary || server_session.term != server.term);
    const bool commit = command.statement.verb == Verb::kCommit;
    if (server_session.state == TransactionState::kFailed ||
        (deposed && !(commit && server_session.writes.empty()))) {
      server_session.state =
          in_transaction ? TransactionState::kFailed : server_session.state;
      reply.error = ErrorCode::kReadOnly;
      return reply;
    }
    const bool writes = IsWrite(server_session, command.statement);
    if (!in_transaction && writes && !server.primary) {
      reply.error = ErrorCode::kReadOnly;
      return reply;
    }
    CheckPinned(server_session, command, client_id);
    if (!writes && !commit) CheckFresh(server, command, client_id);
    reply.receipt = server.id + "/" + command.id;
    receipts_[command.id].insert(reply.receipt);
    if (commit) {
      server_session.state = TransactionState::kIdle;
      for (const auto& it : server_session.writes) CountExecution(it);
      if (!server_session.writes.empty()) {
        committed_write_id_ = server_session.writes.front();
      }
      server_session.writes.clear();
    } else if (writes && in_transaction) {
      server_session.writes.push_back(command.id);
    } else if (writes) {
      CountExecution(command.id);
      committed_write_id_ = command.id;
    }
    return reply;
  }

  [[nodiscard]] static bool IsWrite(const ServerSession& server_session,
                                    const Statement& statement) {
    if (statement.verb != Verb::kExecute) {
      return statement.verb == Verb::kWrite;
    }
    const auto it = server_session.prepared.find(statement.name);
    return it != server_session.prepared.end() &&
           it->second.verb == Verb::kPrepareWrite;
  }

  void CountExecution(const std::string& write_id) {
    if (++execution_counts_[write_id] > 1) ReportViolation("TWICE " + write_id);
    if (refused_writes_.contains(write_id)) {
      ReportViolation("REFUSED " + write_id);
    }
  }

  void CheckPinned(ServerSession& server_session, const ServerCommand& command,
                   std::uint64_t client_id) {
    const auto it = clients_.find(client_id);
    if (it == clients_.end()) return;
    const Client& client = it->second;
    if (client.statement_id != command.id) return;
    if (server_session.state == TransactionState::kOpen) {
      if (server_session.client_id != 0 &&
          server_session.client_id != client_id) {
        ReportViolation("PINNED transaction");
      }
      server_session.client_id = client_id;
    } else if (client.state == TransactionState::kOpen) {
      ReportViolation("PINNED outside its transaction " + command.id);
    }
    if (server_session.values != client.values) {
      ReportViolation("PINNED values " + command.id);
    }
    if (command.statement.verb != Verb::kExecute) return;
    const auto shape = server_session.prepared.find(command.statement.name);
    const std::string expected_shape = client.shapes.at("p");
    if (shape == server_session.prepared.end() ||
        shape->second.text != expected_shape ||
        (shape->second.verb == Verb::kPrepareWrite) !=
            (client.shapes.at("mode") == "w")) {
      ReportViolation("PINNED shape " + command.id);
    }
  }

  void CheckFresh(const Server& server, const ServerCommand& command,
                  std::uint64_t client_id) {
    const auto it = clients_.find(client_id);
    if (it == clients_.end() || it->second.statement_id != command.id) return;
    const Client& client = it->second;
    if (!server.primary) ++result_.replica_reads;
    // Checks only the most recent commits: logs are prefixes of one history, so
    // a server that has a commit also has all earlier ones.
    int commits_left = kMaxCommitsChecked;
    for (auto ack = acknowledged_.rbegin();
         ack != acknowledged_.rend() && commits_left > 0; ++ack) {
      const bool primary = client.database == kPrimaryDb;
      const Duration age = primary ? Duration(0) : Duration(kMaxAge);
      const bool own_commit =
          client.database == kReadYourWritesDb && ack->client == client_id;
      const bool covered =
          ack->at < client.started_at - (own_commit ? Duration(0) : age);
      if (!covered) continue;
      --commits_left;
      if (!LogContains(server, ack->write_id)) {
        return ReportViolation("STALE " + client.database + " read " +
                               command.id + " lacks " + ack->write_id);
      }
    }
  }

  // Clients.
  void OpenClient(std::size_t process) {
    const std::size_t n = current_[slots_[process]];
    const std::uint64_t id = next_client_++;
    Client& client = clients_[id];
    client.id = id;
    client.instance = n;
    const char* databases[] = {kPrimaryDb, kBoundedStalenessDb,
                               kReadYourWritesDb};
    client.database = databases[RandomBelow(3)];
    client.waiting = true;
    Schedule(milliseconds(RandomBelow(100)), [this, n, id] {
      if (!clients_.contains(id)) return;
      Feed(n, SessionOpened{id, clients_.at(id).database});
    });
  }

  void OnAnswer(std::size_t /*n*/, const AnswerSession& effect) {
    const auto it = clients_.find(effect.session);
    if (it == clients_.end()) return;
    Client& client = it->second;
    if (!client.waiting) {
      return ReportViolation("reply without an outstanding request");
    }
    client.waiting = false;
    if (client.open) {
      RecordReply(client, effect.reply);
    } else {
      client.open = true;
    }
    Schedule(milliseconds(1 + RandomBelow(40)),
             [this, id = client.id] { SendNextStatement(id); });
  }

  void RecordReply(Client& client, const Reply& reply) {
    const bool statement =
        client.verb == Verb::kRead || client.verb == Verb::kWrite ||
        client.verb == Verb::kExecute || client.verb == Verb::kCommit;
    const bool ok = reply.error == ErrorCode::kNone;
    if (statement && ok) {
      ++result_.succeeded;
      if (!receipts_[client.statement_id].contains(reply.receipt)) {
        ReportViolation("MIXED receipt " + client.statement_id);
      }
      const auto write = write_ids_.find(client.statement_id);
      if (ClientsJudge() && write != write_ids_.end()) {
        acknowledged_.push_back({now_, write->second, client.id});
      }
    }
    const bool not_executed = reply.error == ErrorCode::kBusy ||
                              reply.error == ErrorCode::kAborted ||
                              reply.error == ErrorCode::kReadOnly ||
                              reply.error == ErrorCode::kBehind;
    if (not_executed) {
      ++result_.refused;
      for (const auto& it : client.writes) RecordRefusal(it);
      RecordRefusal(client.statement_id);
    }
    if (reply.error == ErrorCode::kUnsure) ++result_.unsure;
    client.state = reply.state;
    if (client.state == TransactionState::kIdle) client.writes.clear();
  }

  void RecordRefusal(const std::string& write_id) {
    refused_writes_.insert(write_id);
    if (execution_counts_[write_id] > 0) ReportViolation("REFUSED " + write_id);
  }

  void SendNextStatement(std::uint64_t id) {
    const auto it = clients_.find(id);
    if (it == clients_.end()) return;
    Client& client = it->second;
    if (RandomFraction() < 0.003) return Disconnect(client);
    Statement statement = Compose(client);
    client.verb = statement.verb;
    client.statement_id =
        std::to_string(id) + "-" + std::to_string(next_sequence_++);
    client.waiting = true;
    if (client.state == TransactionState::kIdle) client.started_at = now_;
    Feed(client.instance,
         StatementReceived{id, client.statement_id, statement});
  }

  void Disconnect(const Client& client) {
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
      if (client.statements_left-- <= 0) {
        const bool commits = RandomFraction() < 0.8;
        return {commits ? Verb::kCommit : Verb::kRollback, {}, {}};
      }
      return ComposeData(client, client.read_write);
    }
    const double fraction = RandomFraction();
    if (fraction < 0.08) {
      const std::string value = std::to_string(RandomBelow(3));
      const std::string name = RandomBelow(2) == 0 ? "a" : "b";
      client.values[name] = value;
      return {Verb::kSet, name, value};
    }
    if (fraction < 0.14) {
      const bool writes = RandomBelow(2) == 0;
      client.shapes["p"] = "q" + std::to_string(RandomBelow(3));
      client.shapes["mode"] = writes ? "w" : "r";
      return {writes ? Verb::kPrepareWrite : Verb::kPrepareRead, "p",
              client.shapes["p"]};
    }
    if (fraction < 0.34) {
      client.read_write = RandomBelow(2) == 0;
      client.statements_left = 1 + RandomBelow(4);
      client.started_at = now_;
      return {client.read_write ? Verb::kBegin : Verb::kBeginRead, {}, {}};
    }
    return ComposeData(client, true);
  }

  Statement ComposeData(Client& client, bool read_write) {
    const bool prepared = client.shapes.contains("p") && RandomBelow(3) == 0;
    if (prepared && (read_write || client.shapes["mode"] == "r")) {
      return {Verb::kExecute, "p", "item"};
    }
    if (read_write && RandomBelow(3) == 0) {
      return {Verb::kWrite, {}, "item data"};
    }
    return {Verb::kRead, {}, "item"};
  }

  // Faults.
  void ScheduleFault() {
    const auto pause = milliseconds(static_cast<int>(
        1000 / options_.faults_per_second * (0.3 + RandomFraction() * 1.4)));
    Schedule(pause, [this] {
      InjectFault();
      ScheduleFault();
    });
  }

  void InjectFault() {
    auto it = servers_.begin();
    std::advance(it, RandomBelow(static_cast<int>(servers_.size())));
    const ServerId id = it->first;
    const std::size_t n =
        current_[static_cast<std::size_t>(RandomBelow(options_.instances))];
    const Duration time = milliseconds(200 + RandomBelow(1800));
    constexpr int kCommonKinds = 7;
    constexpr int kJoinerKinds = 2;
    constexpr int kRestartKinds = 2;
    constexpr int kOverlapKinds = 4;
    int kind =
        RandomBelow(kCommonKinds + (options_.joiners ? kJoinerKinds : 0) +
                    (options_.restarts ? kRestartKinds : 0) +
                    (options_.overlap ? kOverlapKinds : 0));
    if (!options_.joiners && kind >= kCommonKinds) kind += kJoinerKinds;
    if (!options_.restarts && kind >= kCommonKinds + kJoinerKinds) {
      kind += kRestartKinds;
    }
    Trace("fault " + std::to_string(kind) + " " + id + " p" +
          std::to_string(n));
    switch (kind) {
      case 0:
        return Crash(id, time);
      case 1:
        servers_[id].extra_lag = milliseconds(RandomBelow(1500));
        return Schedule(time,
                        [this, id] { servers_[id].extra_lag = Duration(0); });
      case 2:
        servers_[id].partitioned_from.insert(n);
        return Schedule(
            time, [this, id, n] { servers_[id].partitioned_from.erase(n); });
      case 3:
        store_unreachable_ = true;
        return Schedule(time, [this] { store_unreachable_ = false; });
      case 4:
        return Freeze(n, time);
      case 5:
        replication_stopped_.insert(id);
        return Schedule(time, [this, id] { replication_stopped_.erase(id); });
      case 7:
        servers_[id].split = true;
        return Schedule(time, [this, id] { servers_[id].split = false; });
      case 8:
        return ReplacePrimary();
      case 9:
        servers_[id].hidden_until = now_ + 2 * time;
        return;
      case 10:
        return RestartAll();
      case 11:
        return Pause(id, 2 * time);
      case 12:
        return CutOffPrimary(n, 4 * time);
      case 13:
        return LosePrimary(time);
      case 14:
        store_unreachable_ = true;
        return Schedule(4 * time, [this] { store_unreachable_ = false; });
      default:
        return ResetConnections(n);
    }
  }

  /// Replaces the newest primary as planned: a new server joins and receives
  /// from it, is listed after it drains, and the primary leaves.
  void ReplacePrimary() {
    const Server* leader = NewestLeader();
    if (leader == nullptr || !leader->alive || replacing_) return;
    replacing_ = true;
    const ServerId old_id = leader->id;
    const ServerId id = "s" + std::to_string(servers_.size() + 1);
    Server& joiner = servers_[id];
    joiner.id = id;
    joiner.term = leader->term;
    joiner.log = leader->log;
    joiner.split = leader->split;
    joiner.joined_at = old_id;
    joiner.process_start = servers_.size();
    joiner.listed_from = now_ + milliseconds(1200 + RandomBelow(1200));
    servers_[old_id].drains_from = now_ + milliseconds(RandomBelow(800));
    Trace("joins " + id + " at " + old_id);
    Schedule(milliseconds(3500), [this, old_id, id] {
      replacing_ = false;
      Server& old = servers_[old_id];
      old.gone = true;
      servers_[id].split = old.split;
      Crash(old_id, std::chrono::hours(1));
    });
  }

  /// Restarts all instances in turn while the reports of a replica don't reach
  /// the store. Afterwards, the other replicas receive nothing for some time,
  /// within which the primary crashes.
  void RestartAll() {
    const Server* leader = NewestLeader();
    if (leader == nullptr) return;
    const ServerId primary = leader->id;
    bool hidden = false;
    const Duration gap = milliseconds(100 + RandomBelow(200));
    const Duration end = gap * static_cast<int>(current_.size());
    const Duration deaf = milliseconds(300 + RandomBelow(900));
    for (auto& [id, server] : servers_) {
      if (id == primary || server.gone) continue;
      if (!std::exchange(hidden, true)) {
        server.hidden_until = now_ + end + std::chrono::seconds(3);
        continue;
      }
      Schedule(end + milliseconds(200), [this, other = id, deaf] {
        replication_stopped_.insert(other);
        Schedule(deaf * 2,
                 [this, other] { replication_stopped_.erase(other); });
      });
    }
    for (std::size_t slot = 0; slot < current_.size(); ++slot) {
      Schedule(gap * static_cast<int>(slot),
               [this, slot] { RestartInstance(slot); });
    }
    Schedule(end + milliseconds(200) + deaf,
             [this, primary] { Crash(primary, milliseconds(3000)); });
  }

  /// Lets a server do nothing for `time`. Its connections stay open.
  void Pause(const ServerId& id, Duration time) {
    Server& server = servers_[id];
    Trace("paused " + id);
    server.paused_until = std::max(server.paused_until, now_ + time);
    Schedule(time + kBacklogDelay, [this, id] {
      Server& resumed = servers_[id];
      if (!Paused(resumed)) Drain(resumed.backlog);
    });
  }

  /// Lets the instance `n` do nothing for `time`.
  void Freeze(std::size_t n, Duration time) {
    frozen_until_[n] = std::max(frozen_until_[n], now_ + time);
    Schedule(ThawsAt(n) - now_, [this, n] {
      if (now_ >= ThawsAt(n)) Drain(backlogs_[n]);
    });
  }

  /// Cuts the newest primary off from all instances but `n`.
  void CutOffPrimary(std::size_t n, Duration time) {
    const Server* leader = NewestLeader();
    if (leader == nullptr) return;
    for (const std::size_t other : current_) {
      if (other == n) continue;
      servers_[leader->id].partitioned_from.insert(other);
      Schedule(time, [this, id = leader->id, other] {
        servers_[id].partitioned_from.erase(other);
      });
    }
  }

  /// Pauses or restarts the newest primary.
  void LosePrimary(Duration time) {
    const Server* leader = NewestLeader();
    if (leader == nullptr) return;
    if (RandomBelow(2) == 0) return Pause(leader->id, time);
    Crash(leader->id, time);
  }

  /// Injects faults while the instance `n` fences `id`.
  void DisturbFencing(std::size_t n, const ServerId& id) {
    if (RandomBelow(8) != 0) return;
    Trace("disturbs p" + std::to_string(n) + " fencing " + id);
    const Duration time = milliseconds(200 + RandomBelow(5000));
    if (RandomBelow(2) == 0) {
      Schedule(milliseconds(RandomBelow(4)),
               [this, n, time] { Freeze(n, time); });
    }
    if (RandomBelow(2) == 0) CrashBriefly(id, milliseconds(1500));
  }

  /// Injects faults while an order of the instance `n` for `id` may be
  /// executed.
  void DisturbOrder(std::size_t n, const ServerId& id) {
    if (RandomBelow(3) != 0) return;
    Trace("disturbs p" + std::to_string(n) + " ordering " + id);
    const Duration time = milliseconds(200 + RandomBelow(5000));
    switch (RandomBelow(3)) {
      case 0:
        Schedule(milliseconds(RandomBelow(1000)), [this, n] {
          if (!ended_[n]) RestartInstance(slots_[n]);
        });
        break;
      case 1:
        Schedule(milliseconds(RandomBelow(1000)),
                 [this, n, time] { Freeze(n, time); });
        break;
      default:
        break;
    }
    for (const auto& [other, server] : servers_) {
      if (RandomBelow(3) == 0) CrashBriefly(other, milliseconds(4000));
    }
  }

  /// Restarts a server within `limit`.
  void CrashBriefly(const ServerId& id, Duration limit) {
    const auto limit_ms = std::chrono::duration_cast<milliseconds>(limit);
    const Duration delay =
        milliseconds(RandomBelow(static_cast<int>(limit_ms.count())));
    Schedule(delay, [this, id, time = milliseconds(50 + RandomBelow(500))] {
      Trace("restarts " + id);
      Crash(id, time);
    });
  }

  /// Stops the server for `time`; it keeps its log.
  void Crash(const ServerId& id, Duration time) {
    Server& server = servers_[id];
    if (!server.alive) return;
    server.alive = false;
    server.fence_term = 0;
    for (const auto& [key, server_session] : server.connections) {
      LoseConnection(key);
    }
    server.connections.clear();
    Schedule(time, [this, id] { Restart(id); });
  }

  /// Starts the server again and truncates its log where it diverges from the
  /// primary's: a promotion rolled back those entries.
  void Restart(const ServerId& id) {
    Server& server = servers_[id];
    server.alive = true;
    ++server.process_start;
    const Server* newest = NewestLeader();
    if (newest != nullptr && newest->term > server.term) {
      server.primary = false;
      server.term = newest->term;
    }
    for (const auto& [other, leader] : servers_) {
      if (&leader != newest || other == id) continue;
      std::size_t n = 0;
      while (n < server.log.size() && n < leader.log.size() &&
             server.log[n].position == leader.log[n].position) {
        ++n;
      }
      server.log.resize(n);
    }
  }

  void LoseConnection(const std::pair<std::size_t, ConnectionId>& key) {
    server_of_connection_.erase(key);
    Schedule(kNetworkDelay, [this, key] {
      Feed(key.first, ServerConnectionLost{key.second});
    });
  }

  void ResetConnections(std::size_t n) {
    for (auto& [id, server] : servers_) {
      std::erase_if(server.connections, [&](const auto& it) {
        if (it.first.first != n || RandomBelow(2) == 0) return false;
        LoseConnection(it.first);
        return true;
      });
    }
  }

  WorldOptions options_;
  std::mt19937_64 random_;
  WorldResult result_;
  TimePoint now_{std::chrono::seconds(100)};
  std::priority_queue<Item> queue_;
  std::uint64_t next_sequence_ = 0;
  std::shared_ptr<const RoutingConfig> config_;
  MemberRecord members_;                         ///< as the store has it
  std::vector<std::unique_ptr<Proxy>> proxies_;  ///< one for each process
  std::vector<std::size_t> slots_;               ///< instance of each process
  std::vector<bool> ended_;                      ///< of each process
  std::vector<std::size_t> current_;             ///< process of each instance
  std::vector<TimePoint> frozen_until_;
  std::deque<Backlog> backlogs_;  ///< of each process
  std::vector<TimePoint> timer_at_;
  std::map<ServerId, Server> servers_;
  std::map<std::pair<std::size_t, ConnectionId>, ServerId>
      server_of_connection_;
  std::map<std::pair<std::size_t, ConnectionId>, TimePoint> busy_until_;
  /// Commands of each connection that were sent, and that reached their turn.
  std::map<std::pair<std::size_t, ConnectionId>, std::uint64_t> commands_sent_;
  std::map<std::pair<std::size_t, ConnectionId>, std::uint64_t> commands_run_;
  std::set<std::pair<std::size_t, ConnectionId>> silent_connections_;
  std::set<ServerId> replication_stopped_;
  std::map<std::uint64_t, Client> clients_;
  std::uint64_t next_client_ = 1;
  std::vector<AcknowledgedWrite> acknowledged_;
  std::map<std::string, std::set<std::string>> receipts_;
  std::map<std::string, int> execution_counts_;
  std::set<std::string> refused_writes_;
  std::string committed_write_id_;
  /// By the statement that committed them.
  std::map<std::string, std::string> write_ids_;
  ServerId promotion_target_;
  bool replacing_ = false;  ///< a planned replacement is under way
  std::uint64_t token_ = 0;
  std::uint64_t highest_token_ = 0;
  std::size_t claim_holder_ = 0;
  std::uint64_t claim_token_ = 0;
  TimePoint claimed_until_;
  bool store_unreachable_ = false;
  TimePoint last_commit_;
};

}  // namespace

WorldResult RunSessionSchedule(const WorldOptions& options) {
  return World(options).Run();
}

}  // namespace corianderdock::test
