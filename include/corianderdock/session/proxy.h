/// \file
/// The reducer of sessions: statements in, commands to servers out.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "corianderdock/detail/timers.h"
#include "corianderdock/session/connection_state.h"
#include "corianderdock/session/events.h"
#include "corianderdock/session/failover.h"
#include "corianderdock/session/freshness.h"
#include "corianderdock/session/options.h"
#include "corianderdock/session/outcome.h"
#include "corianderdock/session/statement_queue.h"

namespace corianderdock::session {

/// Serves sessions over shared server connections.
///
/// A session holds a server connection only while a statement runs or from the
/// first statement of a transaction to its end. Performs no I/O and reads no
/// clock. Not thread-safe; times must not decrease.
///
/// \code
/// Proxy proxy({"a", "zone-1"}, {});
/// auto effects = proxy.Reduce(now, SessionOpened{1, "stock"});
/// \endcode
class Proxy {
 public:
  Proxy(ProxyIdentity self, ProxyOptions options);

  /// Handles one event and all timers due at `now`.
  [[nodiscard]] Effects Reduce(TimePoint now, const Event& event);

  /// When `TimerFired` is due next.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const {
    return timers_.Next();
  }

  /// Whether new sessions should come here.
  [[nodiscard]] bool Ready() const;

  [[nodiscard]] const std::map<std::string, std::uint64_t, std::less<>>&
  counters() const {
    return counters_;
  }

  /// Whether a server that is listed has this address.
  [[nodiscard]] bool KnowsServerAt(std::string_view address) const;

  /// Whole state as JSON text.
  [[nodiscard]] std::string DumpState() const;

 private:
  enum class TimerKind {
    kStatementDeadline,
    kAttemptLimit,
    kRetryStatement,
    kQueueLimit,
    kTransactionIdle,
    kConnectLimit,
    kCheck,
  };

  /// `id` names a session or connection, `statement` one of its statements;
  /// both may have ended since.
  struct Timer {
    TimerKind kind = TimerKind::kCheck;
    std::uint64_t id = 0;
    std::uint64_t statement = 0;
  };

  /// What the next answer on a connection belongs to.
  enum class Step {
    kSetup,      ///< value or prepared name
    kBegin,      ///< start of a client's transaction, or proof for one read
    kStatement,  ///< of a client
    kEnd,        ///< end of a transaction; its answer tells nothing
    kProbe,      ///< proof of leadership
    kInspect,    ///< whether a replica is held
    kHold,       ///< evidence for a promotion
    kResume,     ///< or demotion; its answer tells nothing
  };

  struct Expected {
    Step step = Step::kSetup;
    TimePoint sent;
    bool uses_slot = false;
    bool proves_lead = false;  ///< when it succeeds
    bool commits = false;      ///< writes become permanent by it
  };

  struct Connection {
    ServerId server;
    ServiceId service;
    InstanceId via;      ///< relays it; empty when it is direct
    bool aside = false;  ///< opened to try another way than its lane's
    ConnectionState state;
    std::deque<Expected> expected;
    SessionId bound = 0;  ///< 0 when no session uses it
    bool open = false;
    std::vector<std::pair<Step, ServerCommand>> on_open;
    TimePoint used;
  };

  /// A server and this instance's connections to it.
  struct Lane {
    ServerEntry entry;
    std::set<ConnectionId> connections;
    std::vector<ConnectionId> idle;  ///< last used last
    int opening = 0;
    int running = 0;           ///< statements that use a slot
    double window = 0;         ///< statements that it may run for us at once
    int most_connections = 0;  ///< while the server is full; 0: no limit
    TimePoint full_until;
    ConnectionId control = 0;  ///< last used for a command of the proxy
    InstanceId via;            ///< reached through it; empty when directly
    int opening_aside = 0;     ///< connections that try another way
    int ways_tried = 0;        ///< relays tried since the last answer
    TimePoint way_tried;
    int refusals = 0;      ///< of connections, in a row
    int commits_lost = 0;  ///< in a row
    TimePoint last_heard;
    TimePoint connect_after;
    TimePoint avoid_until;  ///< for reads
    TimePoint busy_until;
    TimePoint failing_since;  ///< first failure since the last answer
    TimePoint probed;
    bool failing = false;
    bool listed = true;
    TimePoint draining_since;
    TimePoint vanished;     ///< when it was last listed, if it is not
    double latency_ms = 5;  ///< moving average of statements
    std::optional<Position> position;       ///< last known end of its log
    Duration behind_pause{0};               ///< doubles while it stays behind
    std::optional<TimePoint> behind_since;  ///< no read succeeded after it
  };

  struct Service {
    explicit Service(const FailoverOptions& options) : failover(options) {}
    ServiceLimits limits;
    std::set<ServerId> servers;
    ServerId leader;       ///< empty when not known
    ServerId last_leader;  ///< the last one with proof
    Term last_leader_term = 0;
    Term newest_term = 0;
    TimePoint searched;
    TimePoint leaderless_since;
    TimePoint used;  ///< last statement
    TimePoint leader_since;
    TimePoint crowded_since;    ///< start of the refusals counted
    int crowded = 0;            ///< statements refused for want of room
    bool handing_over = false;  ///< from a primary that lacks fresh replicas
    bool wants_samples = false;
    FreshnessSamples samples;
    std::map<DatabaseName, Duration> run_time;  ///< moving averages
    StatementQueue primary_queue;
    StatementQueue read_queue;
    Failover failover;
  };

  /// The outstanding statement of a session.
  struct Pending {
    StatementId id;
    Statement statement;
    std::optional<PreparedStatement> shape;
    std::shared_ptr<const Route> route;
    bool writes = false;
    bool queued = false;
    bool sent = false;          ///< on the wire, and no answer yet
    bool wrapped = false;       ///< inside a transaction of the proxy
    bool first_inside = false;  ///< its transaction begins with it
    bool force_primary = false;
    std::set<ServerId> tried;
    int attempts = 0;
    std::uint64_t number = 0;  ///< its timers carry it
    TimePoint arrived;
    TimePoint deadline;
    TimePoint sent_at;
  };

  struct Session {
    DatabaseName database;
    SessionValues values;
    std::map<std::string, PreparedStatement> prepared;
    TransactionState state = TransactionState::kIdle;
    bool plain = false;                  ///< the open transaction may write
    bool wrote = false;                  ///< it sent a write
    std::shared_ptr<const Route> route;  ///< of the open transaction
    ConnectionId bound = 0;
    ServiceId own_service;              ///< to which `own` belongs
    std::optional<Position> own;        ///< its last acknowledged commit
    std::optional<TimePoint> in_doubt;  ///< when a write's answer was missing
    std::optional<Pending> pending;
    TimePoint active;
  };

  void On(const SessionOpened& event);
  void On(const StatementReceived& event);
  void On(const SessionClosed& event);
  void On(const ServerConnected& event);
  void On(const ServerReplied& event);
  void On(const ServerConnectionLost& event);
  void On(const ConfigRead& event);
  void On(const ServersRead& event);
  void On(const InstancesRead& event);
  void On(const ClaimAnswered& event);
  void On(const TokenObtained& event);
  void On(const PromotionAnswered& event);
  void On(const TimerFired& event);
  void On(const StopRequested& event);

  // Sessions (proxy_sessions.cc).
  void Begin(SessionId id, Session& session, bool plain);
  void EndLocally(SessionId id, Session& session, bool commit);
  void KeepValue(SessionId id, Session& session, const Statement& statement);
  void KeepPrepared(SessionId id, Session& session, const Statement& statement);
  void ForgetPrepared(SessionId id, Session& session,
                      const Statement& statement);
  void Accept(SessionId id, Session& session, const StatementReceived& event);
  [[nodiscard]] std::shared_ptr<const Route> RouteOf(
      const Session& session) const;
  void Answer(SessionId id, Session& session, Reply reply);
  void AnswerOk(SessionId id, Session& session);
  void AnswerError(SessionId id, Session& session, ErrorCode code,
                   std::string detail);
  void EndTransaction(Session& session);
  void Unbind(Session& session);
  void CloseAllIdle(const std::string& reason);
  void CheckStopped();

  // Queues (proxy_queue.cc).
  void Enqueue(SessionId id, Session& session);
  void Pump(const ServiceId& service);
  bool PumpQueue(Service& service, StatementQueue& queue, bool primary);
  [[nodiscard]] bool NeedsPrimary(const Session& session) const;
  [[nodiscard]] std::optional<Position> RequiredPosition(
      const Session& session, const Service& service) const;
  [[nodiscard]] Lane* ChooseForRead(const Service& service,
                                    const Session* session);
  [[nodiscard]] bool PrimaryUsable(const Service& service) const;
  void RefuseWaiting(Service& service);
  [[nodiscard]] bool HasRoom(const Lane& lane) const;
  void OnQueueLimit(SessionId id, std::uint64_t statement);
  void RefuseQueued(SessionId id, Session& session, Duration come_back);
  [[nodiscard]] bool Admit(SessionId id, Session& session,
                           const StatementQueue& queue);

  // Statements (proxy_statements.cc).
  bool Start(SessionId id, Session& session, Lane& lane);
  void SendStatement(SessionId id, Session& session, ConnectionId connection);
  void OnBeginDone(ConnectionId id, const Expected& expected,
                   const Reply& reply);
  void OnStatementDone(ConnectionId id, const Expected& expected, Reply reply);
  void NoteRunTime(const Session& session, Duration took);
  void Succeed(SessionId id, Session& session, ConnectionId connection,
               const Expected& expected, Reply reply);
  void Fail(SessionId id, Session& session, AttemptEnd end, ErrorCode code,
            const std::string& detail);
  void Retry(SessionId id, Session& session, Duration pause);
  void OnDeadline(SessionId id, std::uint64_t statement);
  void OnAttemptLimit(SessionId id, std::uint64_t statement);
  void OnTransactionIdle(SessionId id);
  void NoteBehind(Lane& lane);
  void NoteRefusal(Lane& lane, ErrorCode code);
  static void WidenWindow(Lane& lane);
  void Free(ConnectionId id, Session& session, TransactionState state);
  [[nodiscard]] AttemptKind KindOf(const Session& session) const;
  [[nodiscard]] std::vector<ServerCommand> Setup(const Session& session,
                                                 Connection& connection) const;
  [[nodiscard]] ServerCommand CommandFor(const Session& session) const;

  // Servers (proxy_servers.cc).
  void OpenIfUseful(Lane& lane, std::size_t wanted);
  ConnectionId Open(Lane& lane);
  ConnectionId OpenVia(Lane& lane, const InstanceId& via, bool aside);
  void OnOpenFailed(ConnectionId id, ErrorCode error);
  [[nodiscard]] ConnectionId TakeIdle(
      Lane& lane, const SessionValues& values,
      const std::optional<PreparedStatement>& shape);
  void MakeIdle(ConnectionId id);
  void Drop(ConnectionId id, bool tell);
  void LoseConnection(SessionId id, Session& session, const ServerId& server);
  void Send(ConnectionId id, std::vector<ServerCommand> commands, Step step);
  void SendOne(ConnectionId id, ServerCommand command, Step step,
               bool proves_lead);
  void NoteHeard(Lane& lane);
  void NoteFailing(Lane& lane);
  void CheckSilence(Lane& lane);
  void ProbeAll();
  void DropStuck(Lane& lane);
  void TrimIdle(Lane& lane);
  void CheckIsolation();
  [[nodiscard]] std::optional<TimePoint> OldestUnanswered(
      const Lane& lane) const;
  [[nodiscard]] bool InUse(const Lane& lane) const;
  [[nodiscard]] bool Leaving(const Lane& lane) const;
  [[nodiscard]] Duration StandingTurn(const Service& service) const;
  [[nodiscard]] ServerId ServiceLeader(const Lane& lane) const;
  [[nodiscard]] bool MayHoldCommits(const Lane& lane) const;
  [[nodiscard]] int ShareOf(const Lane& lane) const;
  void CheckLanes();

  // Relays (proxy_relays.cc).
  void FindWay(Lane& lane);
  [[nodiscard]] InstanceId NextRelay(const Lane& lane) const;
  void UseWay(Lane& lane, const InstanceId& via);

  // Leadership (proxy_leadership.cc).
  void NoteLeader(Lane& lane, std::optional<Position> position, TimePoint sent);
  void NoteNotLeader(Lane& lane);
  void ProbeLead(Lane& lane);
  void CheckServices();
  void SearchLeader(Service& service);
  [[nodiscard]] bool CommitsStall(const Lane& lane) const;
  [[nodiscard]] bool PrimaryLost(const Service& service) const;
  [[nodiscard]] bool HandOverHelps(const Service& service) const;
  void ConsiderHandOver(const ServiceId& id, Service& service);
  void NoteCrowded(Service& service);
  [[nodiscard]] Failover::Situation SituationOf(const Service& service) const;
  void Perform(const ServiceId& id, const Failover::Actions& actions);
  void Do(const ServiceId& id, const Failover::Claim& claim);
  void Do(const ServiceId& id, const Failover::Inspect& inspect);
  void Do(const ServiceId& id, const Failover::Fence& hold);
  void Do(const ServiceId& id, const Failover::Demote& demote);
  void Do(const ServiceId& id, const Failover::Resume& resume);
  void Do(const ServiceId& id, const Failover::Order& order);
  void SendControl(const ServerId& server, ServerCommand command, Step step);
  void OnStatusAnswer(Lane& lane, Step step, const Reply& reply);

  void FireTimers();
  void Emit(Effect effect) { effects_.push_back(std::move(effect)); }
  /// Logs a change of what the instance believes.
  void Log(std::string text) { Emit(LogDecision{std::move(text)}); }
  /// Logs a decision about one request, within the budget.
  void LogRequest(const std::string& text);
  void Count(std::string_view name);
  Service& ServiceOf(const ServiceId& id) {
    return services_.try_emplace(id, options_.failover).first->second;
  }
  void After(Duration delay, Timer timer) {
    timers_.Schedule(now_ + delay, timer);
  }

  ProxyIdentity self_;
  ProxyOptions options_;
  TimePoint now_;
  detail::TimerHeap<Timer> timers_;
  Effects effects_;
  std::shared_ptr<const RoutingConfig> config_;
  std::unordered_map<SessionId, Session> sessions_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::map<ServerId, Lane> lanes_;
  std::map<ServiceId, Service> services_;
  std::set<ServiceId> to_pump_;
  std::map<std::string, std::uint64_t, std::less<>> counters_;
  ConnectionId next_connection_ = 1;
  std::uint64_t next_statement_ = 1;
  TimePoint log_second_;
  int log_lines_ = 0;
  std::uint64_t log_dropped_ = 0;
  InstanceList instances_;
  std::uint64_t standing_token_ = 0;
  bool servers_known_ = false;
  bool servers_settled_ = false;
  std::optional<TimePoint> isolated_since_;
  std::optional<TimePoint> isolated_until_;
  bool ticking_ = false;
  bool finished_ = false;
  std::optional<TimePoint> stop_at_;  ///< told to leave
  Duration stop_grace_{0};
};

}  // namespace corianderdock::session
