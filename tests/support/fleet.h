/// \file
/// Several session proxies and the servers of one service in virtual time,
/// without a network. Servers count the connections of an instance that lost
/// power for a time.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "corianderdock/session/proxy.h"

namespace corianderdock::test {

struct FleetOptions {
  int instances = 87;
  int zones = 4;                 ///< of instances
  int large = 2;                 ///< instances of half a core in each zone
  int servers = 3;               ///< in zones 0 to servers - 1
  int slots = 4;                 ///< of a server
  int connections = 46;          ///< that a server accepts
  Milliseconds dead_time{3000};  ///< for which connections of the dead count
  Milliseconds run_time{15};
  Milliseconds delay{2};       ///< of the network, one way
  Milliseconds interval{600};  ///< between statements of an instance
  std::optional<bool> adaptive;
};

class Fleet {
 public:
  struct Tally {
    int served = 0;
    int refused = 0;
  };

  explicit Fleet(FleetOptions options) : options_(options) {
    auto config = std::make_shared<session::RoutingConfig>();
    config->version = 1;
    config->transaction_idle_timeout = std::chrono::seconds(3);
    config->services["books"] = {options_.connections, 0};
    for (const bool primary : {true, false}) {
      auto route = std::make_shared<session::Route>();
      route->database = primary ? "claims" : "lookups";
      route->service = "books";
      route->freshness = primary ? session::Freshness::kPrimary
                                 : session::Freshness::kBoundedStaleness;
      route->timeout = Milliseconds(1500);
      route->latency_objective = Milliseconds(primary ? 250 : 500);
      route->max_age = Milliseconds(1500);
      config->routes[route->database] = route;
    }
    config_ = config;
    for (int n = 0; n < options_.servers; ++n) AddServer(n);
    for (int n = 0; n < options_.instances; ++n) {
      const int zone = n % options_.zones;
      const bool large = n / options_.zones < options_.large;
      const InstanceId id = "p" + std::to_string(n);
      list_[id] = {"z" + std::to_string(zone), "", id, large ? 0.5 : 0.12};
      nodes_[id];
    }
  }

  /// Starts an instance, which reads the lists after `delays`: of servers and
  /// of instances. A negative one: never.
  void Start(const InstanceId& id, Milliseconds servers,
             Milliseconds instances) {
    Node& node = nodes_[id];
    session::ProxyOptions options;
    options.adaptive_routing = options_.adaptive;
    node.proxy = std::make_unique<session::Proxy>(
        session::ProxyIdentity{id, list_[id].zone}, options);
    const int epoch = ++node.epoch;
    Feed(id, session::ConfigRead{config_});
    const auto later = [&](Milliseconds at, session::Event event) {
      if (at < Milliseconds(0)) return;
      FeedAfter(at, id, epoch, std::move(event));
    };
    session::ServersRead read{entries_, true, {}};
    for (const auto& [server, entry] : entries_) read.renewed.insert(server);
    later(servers, session::MembersRead{{}, true});
    later(servers, read);
    later(instances, session::InstancesRead{list_});
    node.session = ++sessions_;
    At(servers + Milliseconds(40), [this, id, epoch] { Connect(id, epoch); });
  }

  /// Stops an instance without closing its connections.
  void Kill(const InstanceId& id) {
    Node& node = nodes_[id];
    node.proxy.reset();
    ++node.epoch;
    for (auto& [name, server] : servers_) {
      for (const auto& [key, link] : std::map(server.links)) {
        if (key.first != id) continue;
        Remove(server, key);
        ++server.dead;
        At(options_.dead_time, [&server = server] { --server.dead; });
      }
    }
    // Established connections between instances are reset.
    for (const auto& [key, peer] : std::map(shared_)) {
      if (peer.first == id) {
        shared_.erase(key);
        FeedAfter(options_.delay, key.first, nodes_[key.first].epoch,
                  session::ServerConnectionLost{key.second});
      } else if (key.first == id) {
        shared_.erase(key);
        FeedAfter(options_.delay, peer.first, nodes_[peer.first].epoch,
                  session::PeerClosed{peer.second});
      }
    }
  }

  void RunFor(Milliseconds duration) {
    const TimePoint until = now + duration;
    while (!agenda_.empty() && agenda_.top().at <= until) {
      auto item = agenda_.top();
      agenda_.pop();
      now = item.at;
      item.action();
    }
    now = until;
  }

  /// Results of statements since the last call.
  Tally TakeTally() { return std::exchange(tally_, {}); }

  [[nodiscard]] const session::InstanceList& list() const { return list_; }
  [[nodiscard]] std::uint64_t Counted(const std::string& name) const {
    std::uint64_t sum = 0;
    for (const auto& [id, node] : nodes_) {
      if (!node.proxy) continue;
      const auto it = node.proxy->counters().find(name);
      if (it != node.proxy->counters().end()) sum += it->second;
    }
    return sum;
  }

  TimePoint now{std::chrono::seconds(100)};
  int over_limit = 0;    ///< connections refused as over the limit
  int most_linked = 0;   ///< connections that a server ever counted
  int most_running = 0;  ///< statements sent to a server at once

 private:
  using Key = std::pair<InstanceId, ConnectionId>;

  struct Node {
    std::unique_ptr<session::Proxy> proxy;
    int epoch = 0;
    session::SessionId session = 0;
    bool primary = false;  ///< its session's route
    TimePoint timer = TimePoint::max();
  };
  struct Link {
    session::TransactionState state = session::TransactionState::kIdle;
    std::deque<session::ServerCommand> commands;
    bool running = false;
  };
  struct Server {
    std::map<Key, Link> links;
    std::deque<Key> waiting;  ///< for a slot
    int running = 0;
    int dead = 0;  ///< connections of instances that lost power
    bool leads = false;
  };
  struct Item {
    TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Item& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  void Remove(Server& server, const Key& key) {
    const auto link = server.links.find(key);
    if (link == server.links.end()) return;
    if (link->second.running) --server.running;
    std::erase(server.waiting, key);
    server.links.erase(link);
    StartWaiting(server);
  }
  void AddServer(int n) {
    const ServerId id = "s" + std::to_string(n);
    session::ServerEntry entry;
    entry.id = id;
    entry.service = "books";
    entry.address = id;
    entry.zone = "z" + std::to_string(n);
    entry.slots = options_.slots;
    entry.claims_primary = n == 0;
    entries_[id] = entry;
    servers_[id].leads = n == 0;
  }

  void At(Duration delay, std::function<void()> action) {
    agenda_.push({now + delay, ++numbers_, std::move(action)});
  }
  void FeedAfter(Duration delay, const InstanceId& id, int epoch,
                 session::Event event) {
    At(delay, [this, id, epoch, event = std::move(event)] {
      if (nodes_[id].epoch == epoch) Feed(id, event);
    });
  }

  void Feed(const InstanceId& id, const session::Event& event) {
    Node& node = nodes_[id];
    if (!node.proxy) return;
    for (auto& effect : node.proxy->Reduce(now, event)) {
      std::visit([&](const auto& it) { Apply(id, it); }, effect);
    }
    const auto next = node.proxy->NextTimer();
    if (!next || *next == node.timer) return;
    node.timer = *next;
    At(*next - now, [this, id, at = *next, epoch = node.epoch] {
      Node& due = nodes_[id];
      if (due.epoch != epoch || due.timer != at) return;
      due.timer = TimePoint::max();
      Feed(id, session::TimerFired{});
    });
  }

  /// The client of an instance: alternates reads and writes.
  void Connect(const InstanceId& id, int epoch) {
    if (nodes_[id].epoch != epoch) return;
    const bool primary = ++clients_ % 3 == 0;
    nodes_[id].primary = primary;
    Feed(id, session::SessionOpened{nodes_[id].session,
                                    primary ? "claims" : "lookups"});
  }
  void Ask(const InstanceId& id, int epoch, bool primary) {
    if (nodes_[id].epoch != epoch) return;
    session::Statement statement;
    statement.verb = primary && ++asked_ % 3 == 0 ? session::Verb::kWrite
                                                  : session::Verb::kRead;
    statement.text = "item data";
    Feed(id, session::StatementReceived{nodes_[id].session,
                                        std::to_string(++asked_), statement});
  }

  template <typename Other>
  void Apply(const InstanceId& /*id*/, const Other& /*effect*/) {}
  void Apply(const InstanceId& id, const session::AnswerSession& it) {
    const bool primary = nodes_[id].primary;
    At(options_.interval,
       [=, this, epoch = nodes_[id].epoch] { Ask(id, epoch, primary); });
    if (it.latency == Duration(0) &&
        it.reply.error == session::ErrorCode::kNone) {
      return;  // the session was accepted
    }
    ++(it.reply.error == session::ErrorCode::kNone ? tally_.served
                                                   : tally_.refused);
  }
  void Apply(const InstanceId& id, const session::OpenServerConnection& it) {
    const int epoch = nodes_[id].epoch;
    const Key key{id, it.connection};
    At(options_.delay, [=, this, server = it.server, share = it.share_address] {
      if (nodes_[id].epoch != epoch) return;
      if (share.empty()) return Accept(key, server);
      Node& owner = nodes_[share];
      if (!owner.proxy) {
        return FeedAfter(options_.delay, id, epoch,
                         session::ServerConnected{
                             key.second, session::ErrorCode::kOther, {}});
      }
      const session::PeerId peer = ++peers_;
      shared_[key] = {share, peer};
      opening_.insert(key);
      Feed(share, session::PeerOpened{peer, "books", server});
    });
  }
  void Accept(const Key& key, const ServerId& id) {
    Server& server = servers_[id];
    const int linked = static_cast<int>(server.links.size()) + server.dead;
    const bool full = linked >= options_.connections;
    if (full) ++over_limit;
    if (!full) server.links[key];
    if (!full) most_linked = std::max(most_linked, linked + 1);
    server_of_[key] = id;
    FeedAfter(options_.delay, key.first, nodes_[key.first].epoch,
              // A server over its limit resets the connection.
              session::ServerConnected{
                  key.second,
                  full ? session::ErrorCode::kOther : session::ErrorCode::kNone,
                  Position{1, index_}});
  }
  void Apply(const InstanceId& id, const session::CloseServerConnection& it) {
    const Key key{id, it.connection};
    const auto peer = shared_.find(key);
    if (peer != shared_.end()) {
      const auto [owner, number] = peer->second;
      shared_.erase(peer);
      return FeedAfter(options_.delay, owner, nodes_[owner].epoch,
                       session::PeerClosed{number});
    }
    if (!server_of_.contains(key)) return;
    Server& server = servers_[server_of_[key]];
    Remove(server, key);
  }
  void Apply(const InstanceId& id, const session::SendCommand& it) {
    const Key key{id, it.connection};
    At(options_.delay, [=, this, command = it.command] {
      const auto peer = shared_.find(key);
      if (peer != shared_.end()) {
        const auto [owner, number] = peer->second;
        return Feed(owner, session::PeerCommand{number, command});
      }
      if (!server_of_.contains(key)) return;
      Server& server = servers_[server_of_[key]];
      const auto link = server.links.find(key);
      if (link == server.links.end()) return;
      link->second.commands.push_back(command);
      if (link->second.commands.size() == 1) Begin(server, key);
    });
  }
  void Apply(const InstanceId& id, const session::AnswerPeer& it) {
    const auto key = PeerKey(id, it.peer);
    if (!key) return;
    const bool accepts = opening_.erase(*key) > 0;
    const int epoch = nodes_[key->first].epoch;
    if (accepts) {
      return FeedAfter(options_.delay, key->first, epoch,
                       session::ServerConnected{key->second, it.reply.error,
                                                it.reply.position});
    }
    FeedAfter(options_.delay, key->first, epoch,
              session::ServerReplied{key->second, it.reply});
  }
  void Apply(const InstanceId& id, const session::ClosePeer& it) {
    const auto key = PeerKey(id, it.peer);
    if (!key) return;
    shared_.erase(*key);
    const int epoch = nodes_[key->first].epoch;
    if (opening_.erase(*key) > 0) {
      return FeedAfter(options_.delay, key->first, epoch,
                       session::ServerConnected{key->second, it.error, {}});
    }
    FeedAfter(options_.delay, key->first, epoch,
              session::ServerConnectionLost{key->second});
  }
  std::optional<Key> PeerKey(const InstanceId& owner, session::PeerId peer) {
    for (const auto& [key, it] : shared_) {
      if (it == std::pair(owner, peer)) return key;
    }
    return std::nullopt;
  }

  /// Runs the oldest command of a connection, in a slot if it needs one.
  void Begin(Server& server, const Key& key) {
    using session::Verb;
    Link& link = server.links.at(key);
    const Verb verb = link.commands.front().statement.verb;
    const bool slot = verb == Verb::kRead || verb == Verb::kWrite ||
                      verb == Verb::kExecute || verb == Verb::kCommit;
    if (!slot) return End(server, key);
    server.waiting.push_back(key);
    most_running = std::max(
        most_running, server.running + static_cast<int>(server.waiting.size()));
    StartWaiting(server);
  }
  void StartWaiting(Server& server) {
    while (server.running < options_.slots && !server.waiting.empty()) {
      const Key key = server.waiting.front();
      server.waiting.pop_front();
      Link& link = server.links.at(key);
      link.running = true;
      ++server.running;
      At(options_.run_time, [this, &server, key] {
        const auto it = server.links.find(key);
        if (it == server.links.end() || !it->second.running) return;
        it->second.running = false;
        --server.running;
        End(server, key);
        StartWaiting(server);
      });
    }
  }
  void End(Server& server, const Key& key) {
    using session::TransactionState;
    using session::Verb;
    Link& link = server.links.at(key);
    const Verb verb = link.commands.front().statement.verb;
    link.commands.pop_front();
    session::Reply reply;
    if (!server.leads && (verb == Verb::kWrite || verb == Verb::kBegin)) {
      reply.error = session::ErrorCode::kReadOnly;
    } else if (verb == Verb::kBegin || verb == Verb::kBeginRead) {
      link.state = TransactionState::kOpen;
    } else if (verb == Verb::kCommit || verb == Verb::kRollback) {
      link.state = TransactionState::kIdle;
    }
    if (verb == Verb::kWrite && server.leads) ++index_;
    reply.state = link.state;
    reply.position = Position{1, index_};
    const bool result = verb == Verb::kRead || verb == Verb::kWrite;
    if (result) reply.receipt = "r" + std::to_string(++receipts_);
    if (verb == Verb::kStatus) {
      reply.status = session::ServerStatus{server.leads, 1, {1, index_}, 0};
    }
    FeedAfter(options_.delay, key.first, nodes_[key.first].epoch,
              session::ServerReplied{key.second, reply});
    if (!link.commands.empty()) Begin(server, key);
  }

  FleetOptions options_;
  std::shared_ptr<const session::RoutingConfig> config_;
  session::InstanceList list_;
  session::ServerList entries_;
  std::map<InstanceId, Node> nodes_;
  std::map<ServerId, Server> servers_;
  std::map<Key, ServerId> server_of_;  ///< of direct connections
  std::map<Key, std::pair<InstanceId, session::PeerId>> shared_;
  std::set<Key> opening_;  ///< shared connections not accepted yet
  std::priority_queue<Item> agenda_;
  Tally tally_;
  std::uint64_t numbers_ = 0;
  std::uint64_t index_ = 10;
  std::uint64_t receipts_ = 0;
  session::PeerId peers_ = 0;
  session::SessionId sessions_ = 0;
  int clients_ = 0;
  int asked_ = 0;
};

}  // namespace corianderdock::test
