/// \file
/// Session proxy: multiplexes client sessions over pooled server connections.
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
#include "corianderdock/session/acknowledged_commits.h"
#include "corianderdock/session/commit_quorum.h"
#include "corianderdock/session/config_freshness.h"
#include "corianderdock/session/connection_cache.h"
#include "corianderdock/session/connection_owners.h"
#include "corianderdock/session/connection_state.h"
#include "corianderdock/session/events.h"
#include "corianderdock/session/failover.h"
#include "corianderdock/session/freshness.h"
#include "corianderdock/session/leadership_proof.h"
#include "corianderdock/session/member_record.h"
#include "corianderdock/session/options.h"
#include "corianderdock/session/outcome.h"
#include "corianderdock/session/owner_search.h"
#include "corianderdock/session/quota_gate.h"
#include "corianderdock/session/read_cost.h"
#include "corianderdock/session/refusal_doubt.h"
#include "corianderdock/session/reply_match.h"
#include "corianderdock/session/server_pace.h"
#include "corianderdock/session/statement_queue.h"

namespace corianderdock::session {

/// Multiplexes client sessions over pooled server connections.
///
/// A session occupies a server connection while a statement runs, or from the
/// first statement of a transaction until the transaction ends. The proxy is a
/// reducer: it performs no I/O and reads no clock. Not thread-safe; the times
/// passed to `Reduce` must not decrease.
///
/// \code
/// Proxy proxy({"a", "zone-1"}, {});
/// auto effects = proxy.Reduce(now, SessionOpened{1, "stock"});
/// \endcode
class Proxy {
 public:
  Proxy(ProxyIdentity self, ProxyOptions options);

  /// Handles one event and every timer due at `now`. Returns the effects for
  /// the caller to carry out, in order.
  [[nodiscard]] Effects Reduce(TimePoint now, const Event& event);

  /// Time at which the next `TimerFired` event is due.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const {
    return timers_.Next();
  }

  /// Whether the load balancer should send new sessions to this instance.
  [[nodiscard]] bool Ready() const;

  [[nodiscard]] const std::map<std::string, std::uint64_t, std::less<>>&
  counters() const {
    return counters_;
  }

  [[nodiscard]] const std::map<std::string, double>& gauges() const {
    return gauges_;
  }

  /// Whether a server that is listed, or that may serve although it is not, has
  /// this address.
  [[nodiscard]] bool KnowsServerAt(std::string_view address) const;

  /// Returns the state as JSON text.
  [[nodiscard]] std::string DumpState() const;

 private:
  enum class TimerKind {
    kStatementDeadline,
    kAttemptTimeout,
    kRetryStatement,
    kQueueTimeout,
    kTransactionIdle,
    kConnectTimeout,
    kRefusalDoubt,
    kHeldCommit,
    kQuota,
    kCheck,
  };

  /// `id` identifies a session or a connection, and `statement_serial` a
  /// statement of that session. Either may have ended by the time it fires.
  struct Timer {
    TimerKind kind = TimerKind::kCheck;
    std::uint64_t id = 0;
    std::uint64_t statement_serial = 0;
  };

  /// What an outstanding command on a connection serves.
  enum class Step {
    kSetup,      ///< sets a session value or prepares a statement
    kBegin,      ///< begins a client's transaction, or the proxy's for a read
    kStatement,  ///< client statement
    kEnd,        ///< ends a transaction; the reply is ignored
    kProbe,      ///< BEGIN that only a primary accepts
    kContact,    ///< BEGIN READ that shows that a replica can be reached
    kInspect,    ///< queries whether a replica is fenced
    kWitness,    ///< queries role, term and fence of any server
    kFence,      ///< fences a replica and returns its log position
    kPeer,       ///< command of another instance
    kDemote,     ///< demotes a primary and returns the end of its log
    kResume,     ///< lifts a fence; reply ignored
  };

  /// A shared connection of another instance to one server.
  struct Peer {
    ServerId server;
    TenantId tenant;  ///< of the commands that follow; may be `kOwnCommands`
    SessionValues values;
    std::map<std::string, PreparedStatement> prepared;
    std::deque<ServerCommand> commands;  ///< not answered, oldest first
    bool running = false;                ///< the oldest was sent to the server
    bool awaits_setup = false;  ///< it is sent once its connection is set up
    bool drained = false;       ///< told to leave; later commands are not run
    ConnectionId bound_connection = 0;  ///< 0 while unbound
    TimePoint waiting_since;
  };

  struct ExpectedReply {
    Step step = Step::kSetup;
    CommandForm form;
    std::optional<Position> after;  ///< that the command requires
    Term term = 0;                  ///< of HOLD and DEMOTE
    TimePoint sent;
    bool uses_slot = false;
    bool proves_leadership = false;  ///< if the command succeeds
    bool begin_in_doubt = false;     ///< its transaction may not be open
    bool repeatable =
        false;              ///< a read, or BEGIN: running it again is harmless
    bool certain = true;    ///< the reply is the command's own
    bool own_read = false;  ///< BEGIN of the proxy for a single read
    bool commits_writes = false;  ///< single write or COMMIT after writes
    /// Log position of the server that was known then, if it commits writes.
    std::optional<Position> known_position;
  };

  /// A command that awaits the reply to a ROLLBACK behind it.
  struct DoubtedCommand {
    RefusalDoubt doubt;
    ExpectedReply expected;
    Reply refusal;
    /// Until the next ROLLBACK, if the reply to one may be a repeat as well.
    Duration pause;
    std::size_t ends_sent = 1;
  };

  struct MatchedReply {
    ReplyOrigin origin = ReplyOrigin::kOwn;
    /// When the command was sent that the same reply first belonged to.
    TimePoint first_sent;
  };

  struct Connection {
    ServerId server;
    ServiceId service;
    InstanceId relay;  ///< empty for a direct connection
    /// To which the connection belongs; of a shared one, as last set at the
    /// owner. Empty: none.
    TenantId tenant;
    ConnectionState state;
    std::deque<ExpectedReply> expected;
    ReplyHistory replies;
    /// Log position with the last error; equal errors at it may be repeats.
    std::optional<Position> refused_at;
    /// Commands without result since the last new receipt whose own replies may
    /// not have come, as those that were taken for them may be repeats.
    std::size_t unsettled = 0;
    std::optional<DoubtedCommand> doubted;
    SessionId bound_session = 0;  ///< 0 while unbound
    PeerId bound_peer = 0;        ///< 0 while unbound
    bool path_probe = false;      ///< tests a path other than the pool's
    bool in_transaction = false;  ///< once all commands sent have run
    bool setup_in_doubt = false;  ///< its last setup may have failed
    bool retired = false;         ///< closed once it has no outstanding command
    bool shared = false;          ///< `relay` shares its own connections
    bool used = false;            ///< it has run a statement
    bool open = false;
    std::vector<std::pair<Step, ServerCommand>> commands_on_open;
    TimePoint opened_at;  ///< its server ran then, and runs while it is open
    TimePoint last_used;  ///< when it was created or last became idle
  };

  /// A server may have lost entries that its log had before `since`. The log
  /// has all of them again, or those that replaced them, once it reaches the
  /// end that the log of the primary had later.
  struct LogDoubt {
    TimePoint since;
    std::optional<Position> primary_end;
  };

  /// State of a server and this instance's connections to it.
  struct ServerPool {
    ServerEntry entry;
    std::set<ConnectionId> connections;
    std::vector<ConnectionId> idle;  ///< most recently used last
    int opening = 0;                 ///< excluding path probes
    int running = 0;                 ///< outstanding commands that use a slot
    /// Outstanding commands that this instance allows; adapts to refusals.
    double concurrency_limit = 0;
    ServerPace pace;
    ServerOutcomes outcomes;
    int reported_limit = 0;  ///< concurrency limit as the gauge shows it
    /// Limit learned when the server refused a connection; 0 when none applies.
    int connection_cap = 0;
    TimePoint connection_cap_until;
    /// Connection that last carried a command of the proxy itself.
    ConnectionId control_connection = 0;
    InstanceId relay;     ///< path to the server; empty when direct
    bool shared = false;  ///< `relay` shares its own connections
    ConnectionPlan plan;
    std::vector<InstanceId> owners;  ///< in the order in which to try them
    int owner_failures = 0;          ///< paths lost since the last reply
    OwnerSearch owner_search;
    int full_refusals = 0;      ///< connections refused as over the limit
    int forwarder_retries = 0;  ///< of a failing server, past its owners
    std::deque<PeerId> waiting_peers;
    std::set<PeerId> peers;
    ConnectionCache cache;        ///< decides which tenants have connections
    TimePoint last_refused_full;  ///< it refused a connection over its limit
    int opening_path_probes = 0;
    int path_probes = 0;  ///< started since a path probe last succeeded
    TimePoint last_path_probe;
    int connect_failures = 0;  ///< consecutive
    int lost_commits = 0;      ///< closed unanswered since the last success
    TimePoint last_heard;      ///< last reply or opened connection
    TimePoint connect_after;
    TimePoint avoid_reads_until;  ///< for reads that require a later position
    TimePoint busy_until;
    /// When a failure was noticed, or since when commands were unanswered.
    TimePoint failing_since;
    TimePoint last_probe;  ///< last leadership probe or reconnect
    bool failing = false;
    bool listed = true;
    bool renewed = false;   ///< its entry was written again since it is known
    TimePoint known_since;  ///< when this instance learned of it
    bool repeats_replies = false;  ///< it sent a reply more than once
    bool superseded = false;  ///< another one of its service has its address
    TimePoint draining_since;
    TimePoint unlisted_at;  ///< when it left the server list
    /// Log position that the primary reported after this server had fallen
    /// silent. A log that reaches it has every acknowledged commit of this one.
    std::optional<Position> covered_by;
    std::optional<Position> received;  ///< as its status last showed
    /// End of its log as a reply last showed, also before it restarted, and
    /// when that reply was read.
    std::optional<Position> newest_end;
    TimePoint newest_end_at;
    std::optional<LogDoubt> log_doubt;
    double latency_ms = 5;                 ///< moving average over statements
    std::optional<Position> log_position;  ///< highest position reported
    Duration behind_backoff{0};  ///< doubles with each read that it refuses
    std::optional<TimePoint> behind_since;  ///< first refusal since a success
    Term leader_term = 0;    ///< in which it leads; 0 while unknown
    TimePoint listed_since;  ///< the epoch if listed before this instance
    TimePoint last_query;    ///< last `kWitness` command
    int unmoved_statuses =
        0;                   ///< in a row, that showed the same end of the log
    TimePoint last_contact;  ///< last `kContact` command for held commits
    int queries = 0;         ///< unanswered `kWitness` commands
    TimePoint last_demote;   ///< when it was last told of a newer term
    TimePoint fence_query_sent;  ///< query of the last fence report
    TimePoint fence_reported;    ///< when that report was handled
    /// Log position and fence term as last logged.
    std::optional<std::pair<Position, Term>> logged_fence;
  };

  /// A position sample that counts once the primary is proven to have led when
  /// its command was sent.
  struct UnprovenSample {
    TimePoint sent;
    Position position;
  };

  struct Service {
    Service(ServiceId service_id, const FailoverOptions& options)
        : id(std::move(service_id)),
          quorum(QuorumOptions(options)),
          failover(options) {}
    ServiceId id;
    ServiceLimits limits;
    std::set<ServerId> servers;
    ServerId primary;       ///< empty when unknown
    ServerId last_primary;  ///< last server that proved leadership
    Term last_primary_term = 0;
    Term newest_term = 0;  ///< highest term that any server reported
    TimePoint last_search;
    TimePoint no_primary_since;
    TimePoint last_used;  ///< arrival of the last statement
    TimePoint primary_since;
    /// When the known primary, or the last one, was last proven to lead.
    std::optional<TimePoint> led_at;
    ServerId previous_led_by;
    /// The present primary was promoted after this time, at which the one
    /// before still led; null if unknown.
    std::optional<TimePoint> term_began_after;
    TimePoint queue_refusals_since;  ///< start of the counting period
    int queue_refusals = 0;  ///< statements the queues refused since then
    /// A primary whose replicas all lag is to be replaced by a switchover.
    bool switching_over = false;
    bool needs_samples = false;  ///< a route allows stale reads
    FreshnessSamples samples;
    std::deque<UnprovenSample> unproven_samples;  ///< by arrival
    LeadershipProof proof;
    CommitQuorum quorum;
    AcknowledgedCommits acknowledged;
    MemberRecorder members;
    /// When to look for an order in the record that its instance did not
    /// remove.
    std::optional<TimePoint> order_check_at;
    /// The member record is known as it was at the store at this time or later.
    std::optional<TimePoint> members_current_at;
    TimePoint last_status_query;
    Duration status_backoff{0};
    int status_queries = 0;  ///< since one helped
    TimePoint last_position_query;
    std::set<SessionId> awaiting_proof;  ///< sessions whose reply is held
    Duration holder_pause{0};            ///< between queries for held commits
    TimePoint holder_query_at;
    std::size_t holder_queries = 0;
    /// A commit whose appearance in other replies is timed, and the moving
    /// average of these times.
    std::optional<std::pair<Position, TimePoint>> timed_commit;
    std::optional<Duration> apply_delay;
    TimePoint timed_at;
    std::map<DatabaseName, Duration> mean_run_time;
    StatementQueue primary_queue;
    StatementQueue read_queue;
    Failover failover;
    Failover::Wait wait = Failover::Wait::kNone;  ///< of a promotion
    TimePoint wait_since;
    TimePoint wait_counted_at;
  };

  /// The outstanding statement of a session.
  struct PendingStatement {
    StatementId id;
    Statement statement;
    std::optional<PreparedStatement> prepared;  ///< run by `kExecute`
    std::shared_ptr<const Route> route;
    bool writes = false;
    bool queued = false;
    bool has_token = false;     ///< it counts against its tenant's quota
    bool sent = false;          ///< an attempt is in flight
    bool awaits_setup = false;  ///< only commands before it were sent
    /// Log position that the server must have reached.
    std::optional<Position> required;
    /// The proxy runs it in a transaction of its own, as a successful BEGIN
    /// proves that the server is the primary.
    bool in_proxy_transaction = false;
    bool opens_transaction = false;  ///< first statement of its transaction
    bool begin_in_doubt = false;     ///< the reply to BEGIN may be a repeat
    bool force_primary = false;
    std::set<ServerId> tried_servers;  ///< not chosen again for the read
    /// The reply to a commit, held until a replica has received the commit at
    /// `held_commit`.
    std::optional<Reply> held_reply;
    CommitQuorum::Commit held_commit;
    TimePoint held_since;
    /// Log position that was known when the commit was sent.
    std::optional<Position> position_before;
    int attempts = 0;
    std::uint64_t statement_serial = 0;  ///< unique; carried by its timers
    TimePoint arrived;
    TimePoint deadline;
    TimePoint sent_at;
  };

  struct Session {
    DatabaseName database;
    KeyDigest key;
    std::uint32_t key_fingerprint = 0;
    TenantId tenant;  ///< whose connections serve its statements; may be empty
    SessionValues values;
    std::map<std::string, PreparedStatement> prepared;
    TransactionState state = TransactionState::kIdle;
    bool read_write = false;              ///< the open transaction may write
    bool sent_write = false;              ///< the open transaction has written
    std::shared_ptr<const Route> route;   ///< of the open transaction
    ConnectionId bound_connection = 0;    ///< 0 while unbound
    ServiceId last_commit_service;        ///< service of `last_commit`
    std::optional<Position> last_commit;  ///< of the last acknowledged write
    /// Last time that a write or commit ended as failed, timed out or unsure;
    /// it may have been committed at an unknown position.
    std::optional<TimePoint> in_doubt_since;
    std::optional<PendingStatement> pending;
    TimePoint last_active;
  };

  void On(const MessageReceived& event);
  void On(const SessionOpened& event);
  void On(const StatementReceived& event);
  void On(const SessionClosed& event);
  void On(const ServerConnected& event);
  void On(const ServerReplied& event);
  void On(const ServerConnectionLost& event);
  void On(const PeerOpened& event);
  void On(const PeerCommand& event);
  void On(const PeerClosed& event);
  void On(const ConfigRead& event);
  void On(const ConfigConfirmed& event);
  void On(const ConfigRejected& event);
  void On(const ServersRead& event);
  void On(const MembersRead& event);
  void On(const InstancesRead& event);
  void On(const ClaimAnswered& event);
  void On(const OrderRecorded& event);
  void On(const TokenObtained& event);
  void On(const PromotionAnswered& event);
  void On(const TimerFired& event);
  void On(const StopRequested& event);

  // Sessions (proxy_sessions.cc).
  void BeginTransaction(SessionId id, Session& session, bool read_write);
  void EndLocally(SessionId id, Session& session, bool commit);
  void StoreValue(SessionId id, Session& session, const Statement& statement);
  void StorePrepared(SessionId id, Session& session,
                     const Statement& statement);
  void ForgetPrepared(SessionId id, Session& session,
                      const Statement& statement);
  void AcceptStatement(SessionId id, Session& session,
                       const StatementReceived& event);
  [[nodiscard]] bool CheckKey(SessionId id, Session& session,
                              const Statement& statement);
  void RefuseKey(SessionId id, const Session& session);
  [[nodiscard]] std::shared_ptr<const Route> RouteOf(
      const Session& session) const;
  void Answer(SessionId id, Session& session, Reply reply);
  void AnswerOk(SessionId id, Session& session);
  void AnswerError(SessionId id, Session& session, ErrorCode code,
                   std::string detail);
  void EndTransaction(Session& session);
  void RollBackAndUnbind(Session& session);
  void CloseIdleSessions(const std::string& reason);
  void CheckShutdown();

  // Queues (proxy_queue.cc).
  void Enqueue(SessionId id, Session& session);
  void DispatchService(const ServiceId& service);
  bool DispatchNext(Service& service, StatementQueue& queue, bool primary);
  [[nodiscard]] bool NeedsPrimary(const Session& session) const;
  [[nodiscard]] std::optional<Position> RequiredPosition(
      const Session& session, const Service& service) const;
  [[nodiscard]] ServerPool* ChooseForRead(const Service& service,
                                          const Session* session,
                                          const TenantId& tenant = {});
  [[nodiscard]] bool PrimaryUsable(const Service& service) const;
  void RefuseWithoutPrimary(Service& service);
  [[nodiscard]] bool HasCapacity(const ServerPool& pool) const;
  void OnQueueTimeout(SessionId id, std::uint64_t statement_serial);
  void RefuseQueued(SessionId id, Session& session, Duration retry_after);
  [[nodiscard]] bool Admit(SessionId id, Session& session,
                           const StatementQueue& queue);

  // Pace and cost of servers (proxy_pace.cc).
  void RestartPace(ServerPool& pool);
  void NoteAnswer(ServerPool& pool, const ExpectedReply& expected,
                  ErrorCode error);
  [[nodiscard]] double PaceOfOthers(const ServerPool& pool) const;
  [[nodiscard]] bool HasSlot(const ServerPool& pool) const;
  void ReportLimit(ServerPool& pool);
  [[nodiscard]] Duration PeerWait(const ServerPool& pool) const;
  [[nodiscard]] ServerPool* ChooseByTime(const Service& service,
                                         const Session* session,
                                         const TenantId& tenant);
  [[nodiscard]] bool MayRead(const ServerPool& pool, const Session* session,
                             const std::optional<Position>& position) const;
  [[nodiscard]] double ReadMs(const Service& service, const ServerPool& pool,
                              const Session& session,
                              const std::optional<Position>& position) const;
  [[nodiscard]] bool LacksPosition(
      const ServerPool& pool, const std::optional<Position>& position) const;

  // Statements (proxy_statements.cc).
  bool StartAttempt(SessionId id, Session& session, ServerPool& pool);
  void SendStatement(SessionId id, Session& session, ConnectionId connection);
  bool SetUp(Session& session, ConnectionId connection);
  void SendPending(SessionId id, Session& session, ConnectionId connection);
  [[nodiscard]] static AttemptEnd EndWithoutReply(
      const PendingStatement& pending);
  void OnBeginReply(ConnectionId id, const ExpectedReply& expected,
                    const Reply& reply, bool certain);
  void OnStatementReply(ConnectionId id, const ExpectedReply& expected,
                        Reply reply);
  void NoteRunTime(const Session& session, Duration run_time);
  void CompleteStatement(SessionId id, Session& session,
                         ConnectionId connection, const ExpectedReply& expected,
                         Reply reply);
  void FailAttempt(SessionId id, Session& session, AttemptEnd end,
                   ErrorCode code, const std::string& detail);
  void Retry(SessionId id, Session& session, Duration pause);
  void OnDeadline(SessionId id, std::uint64_t statement_serial);
  void OnAttemptTimeout(SessionId id, std::uint64_t statement_serial);
  void OnTransactionIdle(SessionId id);
  void NoteBehind(ServerPool& pool);
  void NoteRefusal(ServerPool& pool, ErrorCode code);
  static void RaiseConcurrencyLimit(ServerPool& pool);
  void ReleaseConnection(ConnectionId id, Session& session,
                         TransactionState state);
  [[nodiscard]] AttemptKind AttemptKindOf(const Session& session) const;
  [[nodiscard]] std::vector<ServerCommand> SetupCommands(
      const Session& session, Connection& connection) const;
  [[nodiscard]] static ServerCommand CommandFor(const Session& session,
                                                const Connection& connection);

  // Logs that servers lost (proxy_lost_logs.cc).
  void NoteLogEnd(ServerPool& pool, TimePoint sent, const ServerStatus& status);
  static void NoteLogPosition(ServerPool& pool, Position position,
                              TimePoint now);
  void NotePrimaryEnd(const Service& service, Position position,
                      TimePoint sent);
  void NoteLogReached(ServerPool& pool, Position end, TimePoint sent);
  void CheckLogs(Service& service);
  [[nodiscard]] bool LogsMayLack(
      const Service& service, const std::map<ServerId, bool>& replicas) const;
  [[nodiscard]] static ServerId LastPrimaryOf(const Service& service);
  void AwaitLastPrimary(const Service& service,
                        Failover::Situation& situation) const;

  // Servers (proxy_servers.cc).
  void OpenIfNeeded(ServerPool& pool, std::size_t wanted);
  ConnectionId OpenConnection(ServerPool& pool);
  ConnectionId OpenOnPath(ServerPool& pool, const InstanceId& relay,
                          bool shared, bool path_probe,
                          const TenantId& tenant = {});
  void OnConnectFailed(ConnectionId id, ErrorCode error);
  [[nodiscard]] ConnectionId TakeIdle(
      ServerPool& pool, const TenantId& tenant, const SessionValues& values,
      const std::optional<PreparedStatement>& statement);
  void ReturnToPool(ConnectionId id);
  void CloseConnection(ConnectionId id, bool fail_statement);
  void FailLostConnection(SessionId id, Session& session,
                          const ServerId& server);
  void Send(ConnectionId id, std::vector<ServerCommand> commands, Step step);
  void SendOne(ConnectionId id, ServerCommand command, Step step,
               bool proves_leadership, bool commits_writes = false);
  void NoteHeard(ServerPool& pool);
  void NoteFailing(ServerPool& pool);
  void ProbeUnlisted(ServerPool& pool);
  void CheckUnresponsive(ServerPool& pool);
  void ProbeAll();
  void CloseStuckConnections(ServerPool& pool);
  void TrimIdle(ServerPool& pool);
  void CheckIsolation();
  [[nodiscard]] std::optional<TimePoint> OldestUnanswered(
      const ServerPool& pool) const;
  [[nodiscard]] bool InUse(const ServerPool& pool) const;
  [[nodiscard]] bool DrainLimitReached(const ServerPool& pool) const;
  [[nodiscard]] int PromotionRank(const Service& service) const;
  [[nodiscard]] Duration FallbackTokenDelay(const Service& service) const;
  [[nodiscard]] Duration ClaimDelay(const Service& service) const;
  [[nodiscard]] ServerId PrimaryOfService(const ServerPool& pool) const;
  [[nodiscard]] static bool HasOtherServers(const Service& service) {
    return service.servers.size() > 1;
  }
  void NoteSuperseded();
  [[nodiscard]] bool IsAwaited(const ServerPool& pool) const;
  /// Whether a server is listed, or may serve although it is not.
  [[nodiscard]] bool MayServe(const ServerPool& pool) const {
    return pool.listed || IsAwaited(pool);
  }
  [[nodiscard]] bool MayReturn(const ServerPool& pool) const;
  [[nodiscard]] static bool Reaches(const ServerPool& pool, Position required);
  void QueryReceived(Service& service);
  void NoteCovered(const Service& service, Position position, TimePoint sent);
  [[nodiscard]] int ConnectionShare(const ServerPool& pool) const;
  [[nodiscard]] bool MayBeFull(const ServerPool& pool) const;
  void PauseConnecting(ServerPool& pool);
  [[nodiscard]] Duration ReconnectInterval(const ServerPool& pool) const;
  [[nodiscard]] Duration ConnectionHint(const Service& service) const;
  void CheckServers();

  // Replies of servers (proxy_replies.cc).
  [[nodiscard]] static MatchedReply Match(const ServerPool& pool,
                                          Connection& connection,
                                          const ExpectedReply& expected,
                                          const Reply& reply);
  [[nodiscard]] static bool Suffices(const ServerPool& pool,
                                     const Connection& connection,
                                     const ExpectedReply& expected,
                                     const Reply& reply, bool certain);
  void CloseInDoubt(ConnectionId id, const Reply& reply);
  [[nodiscard]] static bool CanAwaitEnd(const ServerPool& pool,
                                        const Connection& connection,
                                        const ExpectedReply& expected,
                                        const Reply& reply);
  void HoldInDoubt(ConnectionId id, const ExpectedReply& expected,
                   const Reply& reply);
  void OnReplyInDoubt(ConnectionId id, const Reply& reply);
  void EndDoubt(ConnectionId id, bool refused, const Reply& reply);
  void OnRefusalDoubt(ConnectionId id);
  void AwaitEnd(ConnectionId id);
  void RepeatQuery(ServerPool& pool, const ExpectedReply& expected);
  [[nodiscard]] static Reply WithoutEvidence(const ExpectedReply& expected,
                                             const Reply& reply);
  [[nodiscard]] static std::string DescribeReply(const Reply& reply);
  void NoteUncertain(ServerPool& pool, const ExpectedReply& expected,
                     ReplyOrigin origin, const Reply& reply);
  void NoteRepeats(ServerPool& pool);
  void OnExtraReply(ConnectionId id, const Reply& reply);
  void OnSetupReply(ConnectionId id);

  // Members of services (proxy_members.cc).
  void AddRecordedServers(Service& service);
  [[nodiscard]] MemberRecorder::Situation MembersOf(
      const Service& service) const;
  [[nodiscard]] bool IsConfirmed(const ServerPool& pool) const;
  [[nodiscard]] bool IsPhantom(const ServerPool& pool) const;
  [[nodiscard]] bool MembersRecorded(const Service& service) const;
  void CheckMembers();
  [[nodiscard]] bool OrderEnded(const Service& service) const;
  [[nodiscard]] bool LeaderTermKnown(const Service& service) const;
  void RecordMembers(Service& service);

  // Shared connections (proxy_peers.cc).
  void PlanPaths();
  void PlanPath(ServerPool& pool);
  [[nodiscard]] bool ForwardsTo(const ServerPool& pool) const;
  bool TryNextOwner(ServerPool& pool, OwnerLoss loss = OwnerLoss::kUnreachable);
  [[nodiscard]] bool SearchOwner(ServerPool& pool, OwnerLoss loss);
  [[nodiscard]] bool IsReserve(const ServerPool& pool) const;
  /// Whether owners are searched at the pace of `OwnerSearch`.
  [[nodiscard]] bool SearchesOwners(const ServerPool& pool) const {
    return adaptive_ && !pool.plan.one_active;
  }
  [[nodiscard]] bool PathLost(const ServerPool& pool,
                              const Connection& connection) const;
  void UpdateAdaptive();
  void RunNextCommand(PeerId id, Peer& peer);
  void AnswerPeerLocally(PeerId id, Peer& peer,
                         ErrorCode error = ErrorCode::kNone);
  [[nodiscard]] ErrorCode StoreValue(Peer& peer,
                                     const Statement& statement) const;
  [[nodiscard]] static ErrorCode StorePrepared(Peer& peer,
                                               const Statement& statement);
  [[nodiscard]] std::optional<PreparedStatement> PreparedOf(
      const Peer& peer, const ServerCommand& command) const;
  bool StartPeerCommand(PeerId id, Peer& peer, ServerPool& pool);
  void SendPeerCommand(PeerId id, Peer& peer);
  void OnPeerReply(ConnectionId id, Reply reply);
  void ServeWaitingPeers(ServerPool& pool);
  void RefuseLatePeers(ServerPool& pool);
  void ClosePeerOf(PeerId id);
  void ClosePeersOf(ServerPool& pool);
  void DrainPeers(ServerPool& pool);
  void OnOwnerDraining(ConnectionId id);
  [[nodiscard]] bool PeersBound() const;
  void ReleasePeerConnection(Peer& peer);

  // Connections of tenants (proxy_tenants.cc).
  [[nodiscard]] bool HasTenants() const { return config_ && config_->tenants; }
  [[nodiscard]] bool Serves(const Connection& connection,
                            const TenantId& tenant) const;
  [[nodiscard]] bool HasIdle(const ServerPool& pool,
                             const TenantId& tenant) const;
  [[nodiscard]] bool HasCapacity(const ServerPool& pool,
                                 const TenantId& tenant) const;
  [[nodiscard]] std::optional<SessionId> PopStartable(StatementQueue& queue,
                                                      Service& service,
                                                      const ServerPool* pool);
  [[nodiscard]] std::map<TenantId, std::size_t> WaitingTenants(
      const ServerPool& pool);
  [[nodiscard]] CacheView ViewOf(const ServerPool& pool);
  void OpenForTenant(ServerPool& pool, const TenantId& tenant);
  void OpenForTenants(ServerPool& pool, const StatementQueue& queue);
  [[nodiscard]] ServerPool* NearerOf(ServerPool* a, ServerPool* b) const;
  /// Whether connections to a server may belong to tenants.
  [[nodiscard]] bool HasConnectionsOfTenants(const ServerPool& pool) const {
    return tenants_seen_ && !pool.shared;
  }
  void SetTenant(ConnectionId id, const TenantId& tenant);
  void SetTenantForOwn(ConnectionId id, Step step);
  [[nodiscard]] static bool MayRun(const Peer& peer, Verb verb);
  void ServeTenantPeers(ServerPool& pool);
  [[nodiscard]] bool IsOwner(const ServerPool& pool) const;
  [[nodiscard]] bool StandsIn(const ServerPool& pool) const;
  [[nodiscard]] bool AvoidsActiveOwner(const ServerPool& pool) const;
  void ProbeOwnerPath(ServerPool& pool);
  // Evidence that the configuration is recent (proxy_evidence.cc).
  [[nodiscard]] bool EvidenceNeeded() const;
  [[nodiscard]] bool ConfigIsRecent() const;
  [[nodiscard]] bool MayServe(const Route& route) const;
  [[nodiscard]] bool LacksEvidence(const Session& session, Verb verb) const;
  [[nodiscard]] bool ServesSomeRoute() const;
  void RefuseWithoutEvidence(SessionId id, Session& session,
                             const StatementId& statement);
  void RefusePeerWithoutEvidence(PeerId id, Peer& peer);

  // Relays (proxy_relays.cc).
  void ProbePaths(ServerPool& pool);
  [[nodiscard]] bool ProbeEarlierOwner(ServerPool& pool);
  [[nodiscard]] InstanceId NextRelay(const ServerPool& pool) const;
  void SwitchPath(ServerPool& pool, const InstanceId& relay, bool shared);

  // Proof of leadership (proxy_proof.cc).
  [[nodiscard]] bool IsWitness(const ServerPool& pool) const;
  void NoteWitness(ServerPool& pool, bool added, bool restarted);
  void QueryServer(ServerPool& pool);
  void QueryNextReplica(Service& service);
  static void ResetStatusBackoff(Service& service);
  void QueryPositions(Service& service);
  [[nodiscard]] bool NeedsProof() const;
  void ContactReplica(ServerPool& pool);
  [[nodiscard]] std::set<ServerId> ServersUnderOrders(
      const Service& service) const;
  [[nodiscard]] bool OrderedElsewhere(const Service& service) const;
  [[nodiscard]] bool OrphanedOrder(const Service& service) const;
  void CheckForOrders();
  void NotePosition(ServerPool& pool, TimePoint sent,
                    const std::optional<Position>& position);
  void OnServerStatus(ServerPool& pool, TimePoint sent,
                      const ServerStatus& status);
  void NoteNewerTerm(Service& service, Term term);
  void DemoteStaleLeader(ServerPool& pool);
  void AddSample(Service& service, Position position, TimePoint sent);
  void AdoptSample(Service& service, Position position, TimePoint sent);
  [[nodiscard]] bool MayRun(const ServerPool& pool) const;
  [[nodiscard]] bool LeadershipProven(const Service& service) const;
  [[nodiscard]] std::string ProofAge(const Service& service) const;
  void ReleaseProven(Service& service);
  void ResetProof(Service& service);
  void CheckProofs(Service& service);

  // Answers of commits (proxy_commits.cc).
  [[nodiscard]] static CommitQuorum::Options QuorumOptions(
      const FailoverOptions& options) {
    if (!options.safety->ExcludeLateOrders()) return {Duration(0), Duration(0)};
    return {options.max_order_delay, options.fence_report_max_age};
  }
  [[nodiscard]] bool IsCounted(const Service& service,
                               const ServerPool& pool) const;
  [[nodiscard]] bool IsPromotable(const Service& service,
                                  const ServerPool& pool) const;
  [[nodiscard]] CommitQuorum::Servers ServersForCommits(const Service& service,
                                                        Term term) const;
  [[nodiscard]] bool OrdersEnded(const Service& service, Term term) const;
  [[nodiscard]] TimePoint KnownSince(const ServerPool& pool) const;
  void NoteApplied(Service& service, const ServerPool& pool, Position end);
  [[nodiscard]] bool MustAsk(const Service& service,
                             const PendingStatement& pending) const;
  void TimeApplied(Service& service);
  void QueryUnknown(Service& service);
  void QueryFencesLeft(Service& service);
  void NoteReport(ServerPool& pool, const Connection& connection,
                  const ExpectedReply& expected, const Reply& reply);
  [[nodiscard]] CommitBasis BasisOf(const Service& service,
                                    const CommitQuorum::Commit& commit) const;
  void AnswerCommit(SessionId id, Session& session, const ServerId& server,
                    TimePoint sent, Reply reply);
  void ReleaseCommits(Service& service);
  void OnHeldCommit(SessionId id, std::uint64_t statement_serial);
  void QueryHolders(Service& service);
  [[nodiscard]] std::vector<ServerPool*> ServersWithout(const Service& service,
                                                        Position position);
  void FailHeld(SessionId id, Session& session, const std::string& detail);

  // Leadership (proxy_leadership.cc).
  void NotePrimary(ServerPool& pool, std::optional<Position> position,
                   TimePoint sent);
  void NoteNotPrimary(ServerPool& pool);
  void ProbeLeadership(ServerPool& pool);
  void CheckServices();
  void NotePromotionWait(Service& service,
                         const Failover::Situation& situation);
  void SearchPrimary(Service& service);
  [[nodiscard]] bool CommitsStall(const ServerPool& pool) const;
  [[nodiscard]] bool PrimaryLost(const Service& service) const;
  [[nodiscard]] bool SwitchoverHelps(const Service& service) const;
  void ConsiderSwitchover(const ServiceId& id, Service& service);
  void NoteQueueRefusal(Service& service);
  [[nodiscard]] Failover::Situation SituationOf(const Service& service) const;
  void Perform(const ServiceId& id, const Failover::Actions& actions);
  void Do(const ServiceId& id, const Failover::Claim& claim);
  void Do(const ServiceId& id, const Failover::KeepClaim& keep);
  void Do(const ServiceId& id, const Failover::Inspect& inspect);
  void Do(const ServiceId& id, const Failover::Fence& fence);
  void Do(const ServiceId& id, const Failover::Demote& demote);
  void Do(const ServiceId& id, const Failover::Resume& resume);
  void Do(const ServiceId& id, const Failover::Record& record);
  void Do(const ServiceId& id, const Failover::Order& order);
  void SendControl(const ServerId& server, ServerCommand command, Step step);
  void OnStatusAnswer(ServerPool& pool, const ExpectedReply& expected,
                      const Reply& reply);

  // Log lines (proxy_decision_log.cc).
  void NoteAcknowledged(Service& service, const PendingStatement& pending,
                        Position position, CommitBasis basis);
  void CheckAcknowledged(const ServerPool& pool, Position entry);
  void ReportMissing(const ServerPool& pool,
                     const AcknowledgedCommits::Commit& commit, Term term,
                     Position position);
  [[nodiscard]] std::string DescribeHolders(const Service& service,
                                            Position position) const;
  void LogFence(ServerPool& pool, const ServerStatus& status, std::string text);
  [[nodiscard]] std::string DescribeOrder(const Service& service,
                                          const Failover::Order& order) const;
  [[nodiscard]] std::string DescribeFences(
      const Service& service, const Failover::Situation& situation) const;
  [[nodiscard]] std::string DescribeLeftOut(
      const Service& service, const Failover::Situation& situation) const;

  // Quotas of tenants (proxy_quota.cc).
  void ConfigureQuota();
  bool TakeToken(SessionId id, Session& session);
  void ReturnToken(Session& session);
  void RefuseOverQuota(SessionId id, Session& session);
  void FinishQuota();

  void FireTimers();
  void Emit(Effect effect) { effects_.push_back(std::move(effect)); }
  /// Logs a change of state, without a rate limit.
  void Log(std::string text) { Emit(LogDecision{std::move(text)}); }
  /// Logs a change of state that puts requests at risk. Beyond the rate limit,
  /// the line has the severity of other changes.
  void Warn(std::string text);
  /// Logs a decision about a single request, within the rate limit.
  void LogRequest(const std::string& text);
  void Count(std::string_view name);
  Service& ServiceOf(const ServiceId& id) {
    return services_.try_emplace(id, id, options_.failover).first->second;
  }
  void ScheduleAfter(Duration delay, Timer timer) {
    timers_.Schedule(now_ + delay, timer);
  }

  ProxyIdentity self_;
  ProxyOptions options_;
  TimePoint now_;
  detail::TimerHeap<Timer> timers_;
  Effects effects_;
  std::shared_ptr<const RoutingConfig> config_;
  ConfigFreshness config_freshness_;
  std::unordered_map<SessionId, Session> sessions_;
  std::optional<QuotaGate> quota_;  ///< absent without limits of tenants
  std::unordered_map<ConnectionId, Connection> connections_;
  std::unordered_map<PeerId, Peer> peers_;
  std::map<ServerId, ServerPool> pools_;
  std::map<ServiceId, Service> services_;
  std::set<ServiceId> services_to_dispatch_;
  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::map<std::string, double> gauges_;
  ConnectionId next_connection_ = 1;
  std::uint64_t next_statement_serial_ = 1;
  TimePoint log_window_start_;
  int log_lines_ = 0;
  TimePoint warning_window_start_;
  int warnings_ = 0;
  std::uint64_t log_dropped_ = 0;
  InstanceList instances_;
  std::uint64_t fallback_token_ = 0;  ///< fencing token; 0 when there is none
  TimePoint servers_read_at_;
  TimePoint started_at_;  ///< first event
  /// A configuration had tenants, so that connections may belong to some.
  bool tenants_seen_ = false;
  bool self_listed_ = false;  ///< in the list of instances last read
  bool adaptive_ = false;     ///< adaptive routing is on
  bool servers_known_ = false;
  bool server_list_complete_ = false;
  std::optional<TimePoint> list_complete_since_;  ///< first complete list
  bool members_known_ = false;  ///< the records were read once
  TimePoint members_read_at_;   ///< last `ReadMembers` effect
  TimePoint orders_read_at_;    ///< the last one that is linearizable
  TimePoint members_checked_at_;
  std::optional<TimePoint> isolated_since_;   ///< all other zones are failing
  std::optional<TimePoint> isolation_ended_;  ///< end of the last isolation
  bool check_scheduled_ = false;
  bool stop_finished_ = false;
  std::optional<TimePoint> stop_requested_at_;
  Duration stop_grace_{0};
};

}  // namespace corianderdock::session
