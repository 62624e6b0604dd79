/// \file
/// Stand-ins for the cases of the review: the platform's store, its promotion
/// call, database servers and clients, and the real proxy as separate
/// processes. Everything runs on loopback in one thread. They follow
/// PROTOCOL.md; where it is silent they behave like sound servers.
#pragma once

#include <json/json.h>
#include <sys/types.h>

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lab {

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using Task = asio::awaitable<void>;

/// `record.txt`: what was sent, answered and run, with times.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Line(const std::string& text);
  [[nodiscard]] Ms now() const;

 private:
  Clock::time_point start_ = Clock::now();
  std::ofstream out_;
};

/// Thrown when a case can't run; the exit code is 2.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Returns a loopback port that was free when checked.
int FreePort();

Task Sleep(Ms duration);

/// The platform's metadata store. Each instance has a port of its own, so that
/// the store can fail for single instances.
class Store {
 public:
  enum class Mode { kServing, kBusy, kSilent };

  Store(asio::io_context& io, Record& record) : io_(io), record_(record) {}
  /// Opens a port for one instance and returns it.
  int Listen(const std::string& instance);
  void SetMode(const std::string& instance, Mode mode) {
    modes_[instance] = mode;
  }
  /// Age of reads with `allow_stale`.
  void SetListAge(Ms age) { list_age_ = age; }
  void Put(const std::string& key, const std::string& value,
           std::uint64_t lease = 0);
  void Delete(const std::string& key);
  [[nodiscard]] bool Contains(const std::string& key) const {
    return Find(key, Clock::now()) != nullptr;
  }

 private:
  struct Version {
    Clock::time_point at;
    std::optional<std::string> value;
    std::uint64_t rev = 0;
    std::uint64_t create_rev = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Clock::time_point ends;
    Ms ttl{0};
  };
  struct Response {
    int status = 200;
    Json::Value body{Json::objectValue};
  };

  Task Accept(std::shared_ptr<tcp::acceptor> acceptor, std::string instance);
  Task Serve(tcp::socket socket, std::string instance);
  asio::awaitable<Response> Answer(std::string method, std::string target,
                                   Json::Value body);
  asio::awaitable<Response> Watch(std::map<std::string, std::string> query);
  Response Range(const std::map<std::string, std::string>& query);
  Response Txn(const Json::Value& body);
  void EndLeases();
  [[nodiscard]] const Version* Find(const std::string& key,
                                    Clock::time_point at) const;
  [[nodiscard]] Json::Value ItemOf(const std::string& key,
                                   const Version& version) const;

  asio::io_context& io_;
  Record& record_;
  std::map<std::string, std::vector<Version>> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::map<std::string, Mode> modes_;
  std::uint64_t rev_ = 1;
  std::uint64_t next_lease_ = 1;
  Ms list_age_{0};
};

struct Position {
  std::uint64_t term = 1;
  std::uint64_t number = 0;
  auto operator<=>(const Position&) const = default;
};

struct Write {
  std::string item;
  std::string data;
  std::string statement;  ///< id of the statement that wrote it
};

struct Entry {
  Position position;
  std::vector<Write> writes;
};

class Group;

/// One database server.
class Server {
 public:
  Server(asio::io_context& io, Record& record, Store& store, Group& group,
         std::string id, std::string zone, bool primary, bool cut_from_store);

  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] bool alive() const { return alive_; }
  [[nodiscard]] bool primary() const { return primary_; }
  [[nodiscard]] std::uint64_t term() const { return term_; }
  [[nodiscard]] Position end() const;
  [[nodiscard]] const std::vector<Entry>& log() const { return log_; }
  [[nodiscard]] bool Holds(const std::string& statement) const;

  /// The process ends; its connections are reset.
  void Crash();
  /// The process starts again with its log.
  void Restart();
  /// Whether it reaches the store.
  void CutFromStore(bool cut) { cut_from_store_ = cut; }
  /// When it last wrote to the store.
  [[nodiscard]] Clock::time_point last_beat() const { return last_beat_; }
  void SetDraining(bool draining);
  /// Whether it receives nothing from the primary.
  void SetDeaf(bool deaf) { deaf_ = deaf; }
  /// Time from receipt of a commit to its application.
  void SetApplyDelay(Ms delay) { apply_delay_ = delay; }
  void SetRunTime(Ms time) { run_time_ = time; }
  /// Whether answers to reads, writes and commits are withheld.
  void SetSilent(bool silent) { silent_ = silent; }
  /// Whether lines from `instance` are held up. They are lost if it closes its
  /// connection meanwhile.
  void CutFromInstance(const std::string& instance, bool cut);

 private:
  friend class Group;
  struct Connection {
    explicit Connection(tcp::socket it) : socket(std::move(it)) {}
    tcp::socket socket;
    std::string buf;
    std::string instance;
    bool in_transaction = false;
    bool failed = false;
    bool read_only = false;
    std::uint64_t began_in_term = 0;
    std::vector<Write> writes;
    std::map<std::string, std::pair<bool, std::string>> prepared;
    std::map<std::string, std::string> values;
  };
  struct Answer {
    std::vector<std::string> rows;
    std::string error;  ///< code and text; empty on success
    std::string receipt = "-";
  };

  void Listen();
  Task Accept(std::shared_ptr<tcp::acceptor> acceptor);
  Task Serve(std::shared_ptr<Connection> connection);
  /// Waits while the link to the connection's instance is cut. Returns whether
  /// the connection is still open.
  asio::awaitable<bool> AwaitLink(Connection& connection);
  Task Beat();
  asio::awaitable<Answer> Run(Connection& connection, std::string id,
                              std::string text);
  asio::awaitable<Answer> RunWrite(Connection& connection, std::string id,
                                   std::string item, std::string data);
  asio::awaitable<Answer> Commit(std::vector<Write> writes, std::string id);
  [[nodiscard]] std::string ReadItem(const Connection& connection,
                                     const std::string& item) const;
  [[nodiscard]] std::string StatusRow() const;
  [[nodiscard]] std::size_t AppliedCount() const;
  [[nodiscard]] Position AppliedPosition() const;
  void Register();
  std::string NextReceipt();

  asio::io_context& io_;
  Record& record_;
  Store& store_;
  Group& group_;
  std::string id_;
  std::string zone_;
  int port_;
  bool primary_;
  bool alive_ = true;
  bool draining_ = false;
  bool deaf_ = false;
  bool silent_ = false;
  bool cut_from_store_ = false;
  std::uint64_t term_ = 1;
  std::uint64_t held_term_ = 0;
  std::uint64_t born_;
  std::uint64_t seq_ = 0;
  Clock::time_point last_beat_;
  std::uint64_t receipts_ = 0;
  Ms apply_delay_{0};
  Ms run_time_{2};
  std::vector<Entry> log_;
  std::vector<Clock::time_point> received_at_;  ///< of each entry in `log_`
  std::set<std::string> cut_instances_;
  std::shared_ptr<tcp::acceptor> acceptor_;
  std::set<std::shared_ptr<Connection>> connections_;
};

/// The servers of one service.
class Group {
 public:
  Group(asio::io_context& io, Record& record, Store& store, std::string service)
      : io_(io), record_(record), store_(store), service_(std::move(service)) {}

  /// Adds a server; the first one leads term 1.
  Server& Add(const std::string& id, const std::string& zone);
  [[nodiscard]] Server* Find(const std::string& id);
  [[nodiscard]] Server* Primary();
  /// Waits until a server leads.
  Task AwaitPrimary();
  [[nodiscard]] const std::string& service() const { return service_; }
  [[nodiscard]] std::uint64_t newest_term() const { return newest_term_; }
  [[nodiscard]] const std::vector<std::unique_ptr<Server>>& servers() const {
    return servers_;
  }
  /// Makes a server the leader of the next term. With `stops_old`, the old
  /// primary loses the lead at the same moment.
  void Promote(const std::string& id, bool stops_old);
  /// Lets the replicas receive what the primaries have.
  void Replicate();
  /// Tells the zone of an instance; links between zones are slower.
  void SetZone(const std::string& instance, const std::string& zone) {
    zones_[instance] = zone;
  }
  [[nodiscard]] bool IsNear(const std::string& instance,
                            const std::string& zone) const {
    const auto it = zones_.find(instance);
    return it == zones_.end() || it->second == zone;
  }
  /// Whether a zone is cut off from the others.
  void CutZone(const std::string& zone, bool cut) { cut_zones_[zone] = cut; }
  /// Receives on a timer, in `delay` steps.
  Task Pump(Ms delay);

 private:
  asio::io_context& io_;
  Record& record_;
  Store& store_;
  std::string service_;
  [[nodiscard]] bool Connected(const Server& a, const Server& b);
  /// Ends the lead of a primary that has reached a newer one for a second.
  void EndStaleLead();

  std::uint64_t newest_term_ = 1;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<std::string, std::string> zones_;  ///< of instances
  std::map<std::string, bool> cut_zones_;
  std::map<std::string, Clock::time_point> reaches_newer_since_;
};

/// A call of `POST /promote` as the platform saw it.
struct PromoteCall {
  Ms at{0};
  std::string holder;
  std::uint64_t fence = 0;
  std::string service;
  std::string server;
  int status = 0;  ///< 0: no answer
};

/// The promotion call of the platform.
class Cloud {
 public:
  Cloud(asio::io_context& io, Record& record, bool checks_fences,
        Ms promote_time)
      : io_(io),
        record_(record),
        checks_fences_(checks_fences),
        promote_time_(promote_time) {}
  void AddGroup(Group& group) { groups_[group.service()] = &group; }
  /// Opens a port for one instance and returns it.
  int Listen(const std::string& instance);
  /// While down, calls are neither answered nor carried out.
  void SetDown(bool down) { down_ = down; }
  /// Whether an instance is cut off from it.
  void CutFromInstance(const std::string& instance, bool cut) {
    cut_instances_[instance] = cut;
  }
  [[nodiscard]] const std::vector<PromoteCall>& calls() const { return calls_; }
  /// Called for each call that the platform sees, after its decision.
  std::function<void(const PromoteCall&)> on_call;

 private:
  Task Accept(std::shared_ptr<tcp::acceptor> acceptor, std::string instance);
  Task Serve(tcp::socket socket, std::string instance);
  Task CarryOut(Group& group, std::string server);

  asio::io_context& io_;
  Record& record_;
  bool checks_fences_;
  Ms promote_time_;
  bool down_ = false;
  std::map<std::string, bool> cut_instances_;
  std::map<std::string, Group*> groups_;
  std::map<std::string, std::uint64_t> highest_fence_;
  std::vector<PromoteCall> calls_;
};

/// Values of the settings file that differ between cases.
struct Deployment {
  bool fencing = true;
  int grace_s = 6;
  int contact_ms = 4000;
  int drain_ms = 7000;
};

/// One instance of the real proxy, started as the deploy file says.
class Proxy {
 public:
  Proxy(Record& record, const Deployment& deployment, std::string name,
        std::string zone, int store_port, int cloud_port);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  void Start();
  void Signal(int signal);
  /// Kills the process and waits for its end.
  void Kill();
  /// Whether the process still runs.
  [[nodiscard]] bool Running();
  /// How it ended: an exit code, or minus the signal.
  [[nodiscard]] int ended() const { return ended_; }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] int client_port() const { return client_port_; }
  [[nodiscard]] int ready_port() const { return ready_port_; }
  [[nodiscard]] int relay_port() const { return relay_port_; }
  [[nodiscard]] int share_port() const { return share_port_; }
  /// Waits until the readiness probe gets 200.
  Task AwaitReady(Ms limit);

 private:
  Record& record_;
  std::string name_;
  std::string zone_;
  std::string folder_;
  int client_port_;
  int ready_port_;
  int relay_port_;
  int share_port_;
  pid_t process_ = 0;
  int ended_ = 0;
};

struct Reply {
  bool closed = false;  ///< the connection ended first
  std::vector<std::string> rows;
  std::string receipt;
  std::string error;  ///< code; empty on success
  std::string text;   ///< of the error
  std::string state;
  std::string position;
  [[nodiscard]] bool ok() const { return !closed && error.empty(); }
};

/// A session of a client.
class Client {
 public:
  Client(asio::io_context& io, Record& record, std::string name)
      : io_(io), record_(record), name_(std::move(name)), socket_(io) {}
  /// Connects and opens a session.
  asio::awaitable<Reply> Start(int port, std::string database);
  /// Sends a statement with a new id and awaits its reply.
  asio::awaitable<Reply> Query(std::string text);
  /// Id of the last statement.
  [[nodiscard]] const std::string& last_id() const { return last_id_; }
  [[nodiscard]] bool connected() const { return connected_; }
  void Close();

 private:
  asio::awaitable<Reply> ReadReply(bool handshake);

  asio::io_context& io_;
  Record& record_;
  std::string name_;
  tcp::socket socket_;
  std::string buf_;
  std::string last_id_;
  bool connected_ = false;
};

/// GET of a path; returns the status, or 0 without an answer within 1 s.
asio::awaitable<int> HttpGet(int port, std::string target);

/// A route for `ConfigText`.
struct RouteSpec {
  std::string host;
  std::string type;
  std::string backend;
  int timeout_ms = 800;
  int goal_ms = 200;
  int max_stale_ms = 2500;
};
std::string ConfigText(int version, const std::vector<RouteSpec>& routes,
                       const std::vector<std::string>& services, int max_conns,
                       int sync_replicas);

/// The stand-ins and instances of one case. A case never destroys it, as
/// connections may still refer to it; `Stop` ends the processes.
struct World {
  World(asio::io_context& the_io, Record& the_record, Deployment settings,
        Ms promote_time)
      : io(the_io),
        record(the_record),
        deployment(settings),
        store(the_io, the_record),
        cloud(the_io, the_record, settings.fencing, promote_time) {}
  Group& AddGroup(const std::string& service);
  Proxy& AddProxy(const std::string& name, const std::string& zone);
  /// Starts all instances and waits until they are ready.
  Task StartAll();
  /// Cuts a zone off from the others, the store and the platform.
  void CutZone(const std::string& zone, bool cut);
  void Stop() { proxies.clear(); }

  asio::io_context& io;
  Record& record;
  Deployment deployment;
  Store store;
  Cloud cloud;
  std::deque<Group> groups;
  std::vector<std::unique_ptr<Proxy>> proxies;
};

/// Whether the disruption of the case is to happen (`TROUBLE` is not 0).
bool Trouble();

/// Runs a case: `body` returns whether the rule held. Returns the exit code.
int RunCase(const std::function<asio::awaitable<bool>(asio::io_context&,
                                                      Record&)>& body);

}  // namespace lab
