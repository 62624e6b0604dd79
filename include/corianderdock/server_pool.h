/// \file
/// Backend connections of one server as seen by its scheduler.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "corianderdock/detail/context.h"
#include "corianderdock/topology.h"

namespace corianderdock {

/// Keeps connections of one server warm and within its budget.
///
/// Two schedulers may overlap while ownership moves, so each takes at most
/// half of what the server's limit leaves after the control connections.
/// Confined to the control thread.
class ServerPool {
 public:
  /// \pre `context` outlives this object.
  ServerPool(detail::Context& context, const Server& server);

  /// Takes over a changed slot count, limit or address.
  void Update(const Server& server);

  /// Opens connections until `wanted` exist, within the budget.
  void Keep(int wanted);

  /// Takes an idle connection for a statement.
  [[nodiscard]] std::optional<ConnectionId> Acquire();

  /// Returns a connection after a statement. A pinned one stays reserved.
  void Release(ConnectionId connection);

  /// Reserves a connection in use for a transaction.
  void Pin(ConnectionId connection);

  /// Closes a connection whatever its state.
  void Close(ConnectionId connection);

  /// Closes all idle connections, as after a time-out on one of them: others
  /// of the same age may have been forgotten by something on the way.
  void CloseIdle();

  /// Returns whether the connection is new and usable.
  bool OnConnect(const ConnectResult& result);

  /// Forgets a connection that ended. Returns whether it was known.
  bool OnClosed(ConnectionId connection);

  void OnConnectTimeout(ConnectionId connection);

  /// Takes idle connections that were not used for the ping interval.
  [[nodiscard]] std::vector<ConnectionId> TakeForPing();

  [[nodiscard]] int Budget() const;
  [[nodiscard]] int size() const { return static_cast<int>(entries_.size()); }
  [[nodiscard]] int pinned() const;
  /// Whether any connection is open or being opened.
  [[nodiscard]] bool Usable() const noexcept { return !entries_.empty(); }
  [[nodiscard]] const Server& server() const noexcept { return server_; }
  [[nodiscard]] bool Has(ConnectionId connection) const {
    return entries_.contains(connection);
  }

 private:
  enum class State { kOpening, kIdle, kBusy, kPinned };
  struct Entry {
    State state = State::kOpening;
    TimePoint used;
  };

  void Open();
  void Backoff();

  detail::Context& context_;
  Server server_;
  std::map<ConnectionId, Entry> entries_;
  Duration pause_{0};
  TimePoint not_before_;
};

}  // namespace corianderdock
