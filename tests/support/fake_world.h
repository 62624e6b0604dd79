/// \file
/// Several reducers, one database group and the platform in virtual time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "../../standin/group_log.h"
#include "corianderdock/corianderdock.h"
#include "history.h"

namespace testing_support {

using namespace corianderdock;  // NOLINT: tests use most names of the library

/// Size and behaviour of a fake world.
struct WorldOptions {
  int instances = 3;
  int connection_limit = 16;
  Duration lag = Milliseconds(3);
  const Policy* policy = nullptr;
  std::function<void(Options&)> tune;  ///< adjusts the options of all instances
  double drift = 0;  ///< largest clock rate error, as a fraction
  bool delay_and_duplicate = false;  ///< delays and repeats some deliveries
};

/// Simulates a deployment; deterministic for a seed. Zones are a, b and c;
/// server `g-1` is in zone a and is the first primary; instance n is in zone n
/// modulo 3. Not thread-safe.
class FakeWorld {
 public:
  FakeWorld(WorldOptions options, std::uint64_t seed);
  ~FakeWorld();
  FakeWorld(const FakeWorld&) = delete;
  FakeWorld& operator=(const FakeWorld&) = delete;

  // Time.
  [[nodiscard]] TimePoint now() const { return now_; }
  void RunUntil(TimePoint end);
  void RunFor(Duration duration) { RunUntil(now_ + duration); }
  void After(Duration delay, std::function<void()> action);

  // Faults. Servers are named g-1 to g-3; "primary" is the current primary.
  void KillServer(const std::string& name);
  void RestartServer(const std::string& name);
  void FreezeServer(const std::string& name, bool frozen);
  /// The server stops answering on its open connections; new ones work.
  void SilenceConnections(const std::string& name);
  void SetLag(const std::string& name, Duration lag);
  void MarkServerLeaving(const std::string& name);
  void KillInstance(int n);
  void RestartInstance(int n);
  void FreezeInstance(int n, bool frozen);
  void DrainInstance(int n);
  void PartitionZones(const ZoneId& a, const ZoneId& b);
  void PartitionPlatform(const ZoneId& zone);
  void HealAll();
  void SetPlatform(const std::string& mode);  ///< up, down, slow or stale
  void LoadSheet();                           ///< stores the next version

  // Callers.
  void Write(int session, int instance, const std::string& id = "");
  void Read(int session, int instance, const std::string& kind);
  void RunTransaction(int session, int instance, int other);
  void Resolve(int session, int instance, const std::string& id);

  /// Ends all faults, runs until the system has recovered and records the
  /// surviving log of the primary.
  void Settle();

  [[nodiscard]] History& history() { return history_; }
  [[nodiscard]] const Reducer* reducer(int n) const;
  [[nodiscard]] std::string PrimaryName() const;
  [[nodiscard]] bool Exited(int n) const;
  [[nodiscard]] SheetVersion accepted_version() const { return sheets_.size(); }
  /// Violations that the world itself observes, in addition to those of the
  /// history.
  [[nodiscard]] const std::vector<std::string>& violations() const {
    return violations_;
  }
  [[nodiscard]] int peak_connections() const { return peak_connections_; }
  [[nodiscard]] std::uint64_t work_on_leaving_servers() const {
    return work_on_leaving_servers_;
  }
  [[nodiscard]] int instances() const {
    return static_cast<int>(instances_.size());
  }
  [[nodiscard]] std::vector<LogLine> LogOf(int n) const;

 private:
  struct Connection {
    std::string server;
    int instance = 0;
    std::uint64_t session_id = 0;
    bool open = false;
    bool in_transaction = false;
    Term term = 0;
    std::vector<std::string> statements;
    std::optional<WorkId> running;
    bool commits = false;  ///< the running statement may commit
  };
  using ConnectionKey = std::pair<int, ConnectionId>;

  struct FakeServer {
    Server topology_entry;
    standin::GroupLog log;
    bool alive = true;
    bool frozen = false;
    Duration lag{0};
    TimePoint last_heartbeat;  ///< from the primary
    /// Connections with a lower `session_id` get no answers.
    std::uint64_t silenced_before_session = 0;
    int connections = 0;
    /// Actions to run when the server is unfrozen.
    std::vector<std::function<void()>> deferred;
  };

  struct Instance {
    std::unique_ptr<Reducer> reducer;
    Identity identity;
    bool alive = true;
    bool frozen = false;
    bool exited = false;
    double drift = 1;
    std::vector<Event> deferred;  ///< arrived while frozen
    SheetVersion highest_sheet_version = 0;
    std::uint64_t incarnation = 1;
    std::uint64_t generation = 0;  ///< incremented at each kill
    TimePoint next_tick;
    std::vector<LogLine> log;
    std::set<CallId> calls;
    std::map<std::string, TimePoint> leaving_seen_at;  ///< by server id
  };

  struct Scheduled {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Scheduled& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void At(TimePoint at, std::function<void()> action);
  void StartInstance(int n);
  void Deliver(int n, Event event, std::uint64_t generation);
  void Reduce(int n, const Event& event);
  void Dispatch(int n, Effects effects);
  void ArmTimer(int n);
  [[nodiscard]] TimePoint LocalTime(const Instance& it) const;
  [[nodiscard]] bool ZonesConnected(const ZoneId& a, const ZoneId& b) const;
  [[nodiscard]] Duration Latency();
  [[nodiscard]] int InstanceAt(const std::string& address) const;
  [[nodiscard]] std::string ResolveServerName(const std::string& name) const;
  /// Runs `action` now or when the server is unfrozen; drops it if it is dead.
  void RunOnServer(const std::string& name, std::function<void()> action);

  void Handle(int n, ReplyToClient effect);
  void Handle(int n, ReplyToPeer effect);
  void Handle(int n, ForwardRequest effect);
  void Handle(int n, const OpenConnection& effect);
  void Handle(int n, CloseConnection effect);
  void Handle(int n, RunStatement effect);
  /// Records a violation if a read returns data that no majority has.
  void CheckReadReplicated(const Answer& answer);
  /// Runs a statement; a read reports `snapshot_position` as its position.
  void RunStatementAt(int n, std::uint64_t generation, const std::string& name,
                      const RunStatement& effect, Position snapshot_position);
  void Handle(int n, RunGroupOperation effect);
  void Handle(int n, SendGossip effect);
  void Handle(int n, ReplyGossip effect);
  void Handle(int n, const FetchFromPeer& effect);
  void Handle(int n, PollPlatform effect);
  void Handle(int n, LogLine effect);
  void Handle(int n, Exit effect);

  StatementResult ExecuteStatement(FakeServer& server, Connection& connection,
                                   const Statement& statement);
  StatementResult Append(FakeServer& server, const Statement& statement,
                         std::vector<std::string> statements);
  ServerStatus StatusOf(const FakeServer& server) const;
  void Heartbeat();
  void ScheduleReplication(const std::string& follower);
  void ReplicateUpTo(const std::string& follower, const std::string& primary,
                     Term term, std::uint64_t upto);
  void BreakConnections(const std::string& server);
  void FinishStatement(int n, std::uint64_t generation, ConnectionId id,
                       StatementDone done);
  [[nodiscard]] std::vector<std::string> IdsOf(
      const standin::GroupLog& log) const;
  [[nodiscard]] Topology CurrentTopology() const;

  struct PeerCall {
    int from = 0;
    std::uint64_t generation = 0;
    CallId call = 0;
    std::uint64_t attempt = 0;
  };
  struct ProbeCall {
    int from = 0;
    std::uint64_t generation = 0;
    std::uint64_t probe = 0;
  };

  void Submit(Operation operation, int instance, const Request& request,
              const std::function<void(const Answer&)>& on_done = nullptr);
  [[nodiscard]] Request MakeRequest(Method method, int session) const;

  WorldOptions options_;
  std::mt19937_64 random_;
  TimePoint now_;
  std::uint64_t order_ = 0;
  std::priority_queue<Scheduled> queue_;
  std::map<std::string, FakeServer> servers_;
  std::vector<Instance> instances_;
  std::map<ConnectionKey, Connection> connections_;
  std::set<std::pair<ZoneId, ZoneId>> partitioned_zones_;
  std::set<ZoneId> zones_without_platform_;
  std::string platform_mode_ = "up";
  std::vector<std::string> sheets_;
  std::size_t stale_sheets_ = 0;
  std::uint64_t topology_revision_ = 1;
  std::map<int, SessionToken> tokens_;
  std::map<std::uint64_t, PeerCall> peer_calls_;
  std::map<std::uint64_t, ProbeCall> probe_calls_;
  /// Called with an answer and the time at which it left the system.
  using OnAnswer = std::function<void(const Answer&, TimePoint reply_sent)>;
  std::map<CallId, OnAnswer> callers_;
  CallId next_call_ = 1;
  std::uint64_t next_id_ = 1;
  History history_;
  std::vector<std::string> violations_;
  int peak_connections_ = 0;
  std::uint64_t work_on_leaving_servers_ = 0;
};

/// Sheet of the fake world: kinds add (write), now (read, staleness bound 0)
/// and soon (read, staleness bound 500 ms) of service s in group g.
[[nodiscard]] std::string FakeSheet(int version);

}  // namespace testing_support
