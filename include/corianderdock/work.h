/// \file
/// Execution of requests on the servers this instance schedules.
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

/// Schedules statements on backend servers and decides what their results
/// prove: a write is done once a majority holds it in the term it ran in, a
/// read once its age and session position are verified. Confined to the
/// control thread.
class Work {
 public:
  /// Receives the answer of one accepted request.
  using Finish = std::function<void(RoutedAnswer)>;

  /// \pre All references outlive this object.
  Work(detail::Context& context, const Directory& directory,
       const Configuration& configuration, GroupMonitor& monitor);

  /// Accepts a request; `finish` is called exactly once, maybe at once.
  void Execute(RoutedRequest routed, Finish finish);

  void OnConnect(const ConnectResult& result);
  void OnConnectionClosed(const ConnectionClosed& closed);
  void OnStatementDone(const StatementDone& done);
  void OnTimer(const detail::Timer& timer);

  /// New evidence or samples arrived for a group.
  void OnGroupAdvanced(const GroupId& group);

  /// Ownership or the servers changed.
  void OnDirectoryChanged();

  /// Number of requests accepted and not finished.
  [[nodiscard]] std::size_t size() const noexcept { return items_.size(); }
  [[nodiscard]] std::size_t transactions() const noexcept {
    return transactions_.size();
  }

  /// One line for each server: queue length, running, connections.
  template <typename Visitor>
  void ForEachServer(Visitor visit) const {
    for (const auto& [id, lane] : lanes_) {
      visit(id, lane->queue.size(), static_cast<int>(lane->busy.size()),
            RunningLong(*lane), lane->pool.size());
    }
  }

 private:
  enum class Phase { kQueued, kRunning, kEvidence, kConfirm };

  struct Item {
    RoutedRequest routed;
    Finish finish;
    Phase phase = Phase::kQueued;
    GroupId group;
    StatementType type = StatementType::kRead;
    ConnectionId connection = 0;
    TransactionId transaction;
    Term term = 0;
    bool is_long = false;
    TimePoint accepted;
    TimePoint started;
    TimePoint deadline;
    TimePoint current_at;  ///< a verified read's data was current then
    Position position;     ///< of a commit, or lower bound of what was read
    StatementSuccess success;
  };

  /// Scheduling state of one server.
  struct Lane {
    Lane(detail::Context& context, const Server& server)
        : pool(context, server) {}
    ServerPool pool;
    ServerQueue queue;
    std::map<ConnectionId, WorkId> busy;
    std::map<ConnectionId, WorkId> pings;
    double short_cost_ms = 1;  ///< running median of all work
    bool short_cost_known = false;
  };

  struct Transaction {
    ServerId server;
    GroupId group;
    ServiceId service;
    ConnectionId connection = 0;
    Term term = 0;
    TimePoint used;
    bool busy = false;
  };

  /// Learned cost of a kind of statement.
  struct Cost {
    double milliseconds = 0;
    bool known = false;
  };

  Lane& LaneOf(const Server& server);
  [[nodiscard]] int RunningLong(const Lane& lane) const;
  [[nodiscard]] SlotState Slots(const Lane& lane) const;
  [[nodiscard]] Duration ExpectedWait(const ServerId& server) const;
  [[nodiscard]] StatementType TypeOf(const Request& request, Mode mode) const;
  [[nodiscard]] std::optional<RoutedAnswer> Refusal(const Item& item,
                                                    const Server& server) const;
  [[nodiscard]] std::optional<TimePoint> CurrentAt(const Item& item) const;
  [[nodiscard]] bool ReadIsHeld(const Item& item) const;
  /// Time at which what a read returned was current, when that is within the
  /// age it was promised.
  [[nodiscard]] std::optional<TimePoint> VerifiedAge(const Item& item) const;
  [[nodiscard]] bool ReadMayServe(const Item& item) const;
  void Enqueue(WorkId id, Item& item, const Server& server);
  void ExecuteInTransaction(WorkId id, Item& item);
  void Pump(const ServerId& server);
  /// Hands everything queued back to the entry instances; nothing of it ran.
  void BounceQueue(Lane& lane, RoutedStatus status);
  void Start(WorkId id, Item& item, Lane& lane, ConnectionId connection);
  void OnSuccess(WorkId id, Item& item, const StatementSuccess& success);
  void OnFailure(WorkId id, Item& item, const StatementFailure& failure);
  void OnReadDone(WorkId id, Item& item);
  void AwaitEvidence(WorkId id, Item& item);
  bool TryFinishWaiting(WorkId id, Item& item);
  bool TryFinishRead(WorkId id, Item& item);
  void LearnCost(Item& item, Lane& lane);
  void ReleaseConnection(Item& item, Lane& lane, bool reusable);
  void EndTransaction(const TransactionId& id, bool close);
  void OnDeadline(WorkId id, Item& item);
  void OnPingDone(Lane& lane, const StatementDone& done);
  void PingIdle(const ServerId& server);
  void StopWaiting(WorkId id, Item& item);
  void Complete(WorkId id, RoutedStatus status, Outcome outcome, Reason reason,
                std::string detail = {});
  void Deliver(WorkId id, RoutedAnswer answer);
  [[nodiscard]] RoutedAnswer BaseAnswer(const Item& item) const;
  [[nodiscard]] std::string CostKey(const Request& request) const;

  detail::Context& context_;
  const Directory& directory_;
  const Configuration& configuration_;
  GroupMonitor& monitor_;
  std::map<WorkId, Item> items_;
  std::map<ServerId, std::unique_ptr<Lane>> lanes_;
  std::map<TransactionId, Transaction> transactions_;
  std::map<std::string, Cost> costs_;
  std::map<GroupId, std::set<WorkId>> waiting_;
  std::map<GroupId, Term> bounced_term_;
};

}  // namespace corianderdock
