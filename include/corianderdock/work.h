/// \file
/// Execution of statements on the backend servers this instance schedules.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "corianderdock/configuration.h"
#include "corianderdock/detail/context.h"
#include "corianderdock/directory.h"
#include "corianderdock/forwarding.h"
#include "corianderdock/group_monitor.h"
#include "corianderdock/server_pool.h"
#include "corianderdock/server_queue.h"
#include "corianderdock/statement.h"

namespace corianderdock {

/// Schedules statements on backend servers and decides when their results may
/// be returned: a write once a majority of the group has replicated it in the
/// term it ran in, a read once its staleness bound and the session's log
/// position are verified. Confined to the control thread.
class WorkScheduler {
 public:
  /// Called with the answer to one request.
  using AnswerCallback = std::function<void(RoutedAnswer)>;

  /// \pre All references outlive this object.
  WorkScheduler(detail::Context& context, const Directory& directory,
                const Configuration& configuration, GroupMonitor& monitor);

  /// Runs a request. `on_answer` is called exactly once, possibly before this
  /// returns.
  void Execute(RoutedRequest routed, AnswerCallback on_answer);

  void OnConnect(const ConnectResult& result);
  void OnConnectionClosed(const ConnectionClosed& closed);
  void OnStatementDone(const StatementDone& done);
  void OnTimer(const detail::Timer& timer);

  /// Re-evaluates the statements that wait for replication or verification,
  /// after new server status or leadership was received for `group`.
  void OnGroupUpdated(const GroupId& group);

  /// Applies changes of the server list or of the scheduler assignment.
  void OnDirectoryChanged();

  /// Number of accepted requests that have not been answered.
  [[nodiscard]] std::size_t size() const noexcept { return work_items_.size(); }
  /// Number of open transactions.
  [[nodiscard]] std::size_t transactions() const noexcept {
    return transactions_.size();
  }

  /// Calls `visit` for each server with its id, queue length, running
  /// statements, running long statements and number of connections.
  template <typename Visitor>
  void ForEachServer(Visitor visit) const {
    for (const auto& [id, state] : server_states_) {
      visit(id, state->queue.size(), static_cast<int>(state->running.size()),
            RunningLong(*state), state->pool.size());
    }
  }

 private:
  enum class Phase { kQueued, kRunning, kAwaitingReplication, kVerifyingRead };

  /// An accepted request that has not been answered.
  struct WorkItem {
    RoutedRequest routed;
    AnswerCallback on_answer;
    Phase phase = Phase::kQueued;
    GroupId group;
    StatementType type = StatementType::kRead;
    ConnectionId connection = 0;
    TransactionId transaction;
    Term term = 0;         ///< term that the statement runs in
    bool is_long = false;  ///< classified as long when it was queued
    TimePoint accepted;
    TimePoint started;
    TimePoint deadline;
    TimePoint data_current_at;  ///< when a verified read's data was current
    Position position;  ///< of the commit, or lower bound of what was read
    StatementSuccess success;
  };

  /// Scheduling state of one server.
  struct ServerState {
    ServerState(detail::Context& context, const Server& server)
        : pool(context, server) {}
    ServerPool pool;
    ServerQueue queue;
    std::map<ConnectionId, WorkId> running;  ///< statements in progress
    std::map<ConnectionId, WorkId> pings_in_flight;
    double median_cost_ms = 1;  ///< running median of all statements
    bool median_cost_known = false;
  };

  struct Transaction {
    ServerId server;
    GroupId group;
    ServiceId service;
    ConnectionId connection = 0;
    Term term = 0;
    TimePoint last_used;
    bool busy = false;
  };

  /// Moving average of the run time of one kind of statement.
  struct CostEstimate {
    double milliseconds = 0;
    bool known = false;
  };

  ServerState& StateOf(const Server& server);
  [[nodiscard]] int RunningLong(const ServerState& state) const;
  [[nodiscard]] SlotState SlotsOf(const ServerState& state) const;
  [[nodiscard]] Duration ExpectedWait(const ServerId& server) const;
  [[nodiscard]] StatementType TypeOf(const Request& request, Mode mode) const;
  [[nodiscard]] std::optional<RoutedAnswer> CheckAdmission(
      const WorkItem& item, const Server& server) const;
  [[nodiscard]] std::optional<TimePoint> DataCurrentAt(
      const WorkItem& item) const;
  [[nodiscard]] bool ReadIsReplicated(const WorkItem& item) const;
  /// Time at which the data that a read returned was current; empty unless it
  /// is within the read's staleness bound.
  [[nodiscard]] std::optional<TimePoint> VerifiedCurrentAt(
      const WorkItem& item) const;
  [[nodiscard]] bool CanServeRead(const WorkItem& item) const;
  void Enqueue(WorkId id, WorkItem& item, const Server& server);
  void ExecuteInTransaction(WorkId id, WorkItem& item);
  void Dispatch(const ServerId& server);
  /// Answers everything queued with `status`, so that the entry instances can
  /// retry it elsewhere. None of it has run.
  void RejectQueued(ServerState& state, RoutedStatus status);
  void Start(WorkId id, WorkItem& item, ServerState& state,
             ConnectionId connection);
  void OnSuccess(WorkId id, WorkItem& item, const StatementSuccess& success);
  void OnFailure(WorkId id, WorkItem& item, const StatementFailure& failure);
  void OnReadDone(WorkId id, WorkItem& item);
  void AwaitReplication(WorkId id, WorkItem& item);
  bool TryFinishVerification(WorkId id, WorkItem& item);
  bool TryFinishRead(WorkId id, WorkItem& item);
  void LearnCost(WorkItem& item, ServerState& state);
  void ReleaseConnection(WorkItem& item, ServerState& state, bool reusable);
  void EndTransaction(const TransactionId& id, bool close);
  void OnDeadline(WorkId id, WorkItem& item);
  void OnPingDone(ServerState& state, const StatementDone& done);
  void PingIdle(const ServerId& server);
  void StopVerification(WorkId id, WorkItem& item);
  void Complete(WorkId id, RoutedStatus status, Outcome outcome, Reason reason,
                std::string detail = {});
  void Deliver(WorkId id, RoutedAnswer answer);
  [[nodiscard]] RoutedAnswer BaseAnswer(const WorkItem& item) const;
  [[nodiscard]] std::string CostKey(const Request& request) const;

  detail::Context& context_;
  const Directory& directory_;
  const Configuration& configuration_;
  GroupMonitor& monitor_;
  std::map<WorkId, WorkItem> work_items_;
  std::map<ServerId, std::unique_ptr<ServerState>> server_states_;
  std::map<TransactionId, Transaction> transactions_;
  std::map<std::string, CostEstimate> costs_;
  /// Statements that ran and wait for replication or verification.
  std::map<GroupId, std::set<WorkId>> waiting_by_group_;
  /// Highest term in which the queues of replicas were rejected.
  std::map<GroupId, Term> last_rejected_term_;
};

}  // namespace corianderdock
