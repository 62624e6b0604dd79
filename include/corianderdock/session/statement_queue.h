/// \file
/// Queue of statements that wait for a server.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "corianderdock/session/events.h"
#include "corianderdock/session/model.h"

namespace corianderdock::session {

/// A queued statement.
struct WaitingStatement {
  SessionId session = 0;
  DatabaseName database;
  TimePoint arrived;
  TimePoint due;         ///< a start after this counts as late
  Duration cost{0};      ///< expected run time
  double weight = 1;     ///< > 0; larger for more important databases
  TenantId tenant = {};  ///< whose connection it needs; may be empty
};

/// Queue of one service's statements.
///
/// Statements that can still start by their due time go before late ones. Among
/// databases, the statement with the lowest ratio of expected run time to
/// weight goes first; at a fixed interval of starts the one with the earliest
/// due time does, so that no database starves. The average time between starts
/// predicts the wait of a new statement, so that one that would be late can be
/// refused on arrival. Not thread-safe; times must not decrease.
///
/// \code
/// StatementQueue queue;
/// queue.Push({.session = 1, .database = "claims", .due = now + 80ms});
/// auto next = queue.Pop(now);
/// \endcode
class StatementQueue {
 public:
  /// Adds a statement in order of arrival within its database.
  void Push(WaitingStatement statement);

  /// Whether a statement of the tenant can start.
  using Startable = std::function<bool(const TenantId&)>;

  /// Removes the statement to start next and returns its session, if any. With
  /// `startable`, passes over those that can't start.
  [[nodiscard]] std::optional<SessionId> Pop(TimePoint now,
                                             const Startable& startable = {});

  /// Removes a session's statement. Returns whether one was queued.
  bool Remove(SessionId session);

  /// Removes all statements and returns their sessions.
  [[nodiscard]] std::vector<SessionId> Clear();

  /// Returns the expected wait of a new statement of `database` with `weight`;
  /// zero until a time between starts has been observed.
  [[nodiscard]] Duration ExpectedWait(const DatabaseName& database,
                                      double weight) const;

  [[nodiscard]] std::size_t size() const noexcept { return size_; }

  /// Statements by tenant; each has at least one.
  [[nodiscard]] const std::map<TenantId, std::size_t>& tenants()
      const noexcept {
    return tenants_;
  }

 private:
  struct DatabaseQueue {
    std::deque<WaitingStatement> items;  ///< in order of arrival
  };

  /// Index of the first statement that can still start by its due time, or of
  /// the newest if none can; null if none is startable.
  [[nodiscard]] static std::optional<std::size_t> NextIndex(
      const DatabaseQueue& queue, TimePoint now, const Startable& startable);
  void Forget(const TenantId& tenant);
  void UpdateStartInterval(TimePoint now);

  std::map<DatabaseName, DatabaseQueue> queues_;
  std::map<TenantId, std::size_t> tenants_;
  int start_count_ = 0;
  std::size_t size_ = 0;
  /// The last start, if it left other statements queued.
  std::optional<TimePoint> last_contended_start_;
  /// Moving average of the time between starts while statements are queued.
  double start_interval_ms_ = 0;
};

}  // namespace corianderdock::session
