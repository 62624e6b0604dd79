/// \file
/// Connection pool of one backend server.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "corianderdock/detail/context.h"
#include "corianderdock/topology.h"

namespace corianderdock {

/// Keeps connections to one server open, within a budget.
///
/// Two instances may schedule a server at the same time while the assignment
/// changes, so each uses at most half of the server's connection limit less the
/// control connections. Confined to the control thread.
class ServerPool {
 public:
  /// \pre `context` outlives this object.
  ServerPool(detail::Context& context, const Server& server);

  /// Applies a changed slot count, connection limit or address.
  void Update(const Server& server);

  /// Opens connections until there are `wanted`, within the budget and unless
  /// the pool backs off after a failure.
  void EnsureOpen(int wanted);

  /// Takes an idle connection for a statement; empty when there is none.
  [[nodiscard]] std::optional<ConnectionId> Acquire();

  /// Returns a connection to the pool as idle, also one that was pinned.
  void Release(ConnectionId connection);

  /// Reserves a connection for an open transaction.
  void Pin(ConnectionId connection);

  /// Closes a connection in any state.
  void Close(ConnectionId connection);

  /// Closes all idle connections. After a time-out on one connection, a device
  /// on the network path may have silently dropped the others of its age too.
  void CloseIdle();

  /// Records the result of opening a connection. Returns whether it was added
  /// to the pool as idle.
  bool OnConnect(const ConnectResult& result);

  /// Removes a connection that has closed. Returns whether it was in the pool.
  bool OnClosed(ConnectionId connection);

  void OnConnectTimeout(ConnectionId connection);

  /// Takes the connections that have been idle for the ping interval, for a
  /// health check.
  [[nodiscard]] std::vector<ConnectionId> TakeIdleForPing();

  /// Largest number of connections this instance may open to the server.
  [[nodiscard]] int Budget() const;
  [[nodiscard]] int size() const { return static_cast<int>(entries_.size()); }
  /// Number of connections reserved for transactions.
  [[nodiscard]] int pinned() const;
  /// Whether any connection is open or being opened.
  [[nodiscard]] bool HasConnections() const noexcept {
    return !entries_.empty();
  }
  [[nodiscard]] const Server& server() const noexcept { return server_; }
  [[nodiscard]] bool Has(ConnectionId connection) const {
    return entries_.contains(connection);
  }

 private:
  enum class State { kOpening, kIdle, kBusy, kPinned };
  struct Entry {
    State state = State::kOpening;
    TimePoint last_used;
  };

  void Open();
  void BackOff();

  detail::Context& context_;
  Server server_;
  std::map<ConnectionId, Entry> entries_;
  Duration reconnect_pause_{0};  ///< grows with each failure in a row
  TimePoint next_connect_at_;    ///< no connection is opened before this time
};

}  // namespace corianderdock
