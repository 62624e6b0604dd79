/// \file
/// Statements that wait for a server: what can still be on time goes first.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "corianderdock/session/events.h"
#include "corianderdock/session/model.h"

namespace corianderdock::session {

/// A statement that waits.
struct WaitingStatement {
  SessionId session = 0;
  DatabaseName database;
  TimePoint arrived;
  TimePoint due;      ///< started later, it is late
  Duration cost{0};   ///< expected run time
  double weight = 1;  ///< importance of its database, > 0
};

/// Queue of one service's statements.
///
/// Those that can still be on time go first; among databases, short and
/// important statements go before others, and now and then the one that is due
/// first does, so that none starves. The time between two starts tells how long
/// a new statement would wait; one that would be late can be refused before it
/// waits. Not thread-safe; times must not decrease.
///
/// \code
/// StatementQueue queue;
/// queue.Push({.session = 1, .database = "claims", .due = now + 80ms});
/// auto next = queue.Pop(now);
/// \endcode
class StatementQueue {
 public:
  /// Adds a statement, before those of its database that arrived later.
  void Push(WaitingStatement statement);

  /// Takes the statement to start next, if any.
  [[nodiscard]] std::optional<SessionId> Pop(TimePoint now);

  /// Removes a session's statement. Returns whether it was queued.
  bool Remove(SessionId session);

  /// Removes and returns everything queued.
  [[nodiscard]] std::vector<SessionId> Clear();

  /// Expected wait of a new statement of `database` with `weight`; zero while
  /// nothing is known of the pace.
  [[nodiscard]] Duration ExpectedWait(const DatabaseName& database,
                                      double weight) const;

  [[nodiscard]] std::size_t size() const noexcept { return size_; }

 private:
  struct DatabaseQueue {
    std::deque<WaitingStatement> items;  ///< by arrival
  };

  /// The first that can be on time, or the newest if none can.
  [[nodiscard]] static std::size_t NextIndex(const DatabaseQueue& queue,
                                             TimePoint now);
  void UpdateStartInterval(TimePoint now);

  std::map<DatabaseName, DatabaseQueue> queues_;
  int start_count_ = 0;
  std::size_t size_ = 0;
  std::optional<TimePoint>
      last_contended_start_;  ///< last start that left others
  double start_interval_ms_ =
      0;  ///< moving average between two starts, if others wait
};

}  // namespace corianderdock::session
