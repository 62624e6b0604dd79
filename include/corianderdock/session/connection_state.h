/// \file
/// Session values and prepared statements that exist on a server connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "corianderdock/session/statement.h"

namespace corianderdock::session {

/// Values that a session has set, by name.
using SessionValues = std::map<std::string, std::string>;

/// A statement that a client prepared.
struct PreparedStatement {
  bool writes = false;
  std::string shape;  ///< the `shape` argument of `PREPARE`

  bool operator<(const PreparedStatement& other) const {
    return std::tie(writes, shape) < std::tie(other.writes, other.shape);
  }
};

/// Tracks the values and prepared statements of one server connection, so that
/// it can be brought to a session's state with the fewest commands. Sessions
/// share the statements of a connection. It names them by a counter and never
/// reuses a name, so that no text of a client is part of one. Not thread-safe.
class ConnectionState {
 public:
  /// Statements that are prepared on a connection at once. Before one more is
  /// prepared, the least recently used one is dropped.
  static constexpr std::size_t kMaxPreparedStatements = 256;

  /// Returns the commands after which the connection has exactly `values`, and
  /// `statement` if set, and assumes that they will succeed. Until the next
  /// call, `statement` isn't dropped.
  [[nodiscard]] std::vector<ServerCommand> Synchronize(
      const SessionValues& values,
      const std::optional<PreparedStatement>& statement);

  /// Returns the number of commands that `Synchronize` would return.
  [[nodiscard]] std::size_t SynchronizeCommandCount(
      const SessionValues& values,
      const std::optional<PreparedStatement>& statement) const;

  /// Returns the name under which a statement is prepared on this connection.
  /// \pre It was passed to the last call of `Synchronize`.
  [[nodiscard]] const std::string& ServerStatementName(
      const PreparedStatement& statement) const;

  /// Notes that the server lacks something that it was assumed to have. The
  /// next `Synchronize` sets up the connection anew.
  void Invalidate() noexcept { valid_ = false; }

 private:
  struct Prepared {
    std::string name;
    std::uint64_t last_used = 0;  ///< count of uses at that time
  };

  /// Whether the connection must be reset to have no value that `values` lacks.
  [[nodiscard]] bool NeedsReset(const SessionValues& values) const;
  /// Appends the commands that prepare a statement unless it is prepared.
  void Prepare(const PreparedStatement& statement,
               std::vector<ServerCommand>& commands);

  SessionValues values_;
  std::map<PreparedStatement, Prepared> prepared_;
  std::uint64_t names_given_ = 0;
  std::uint64_t uses_ = 0;
  bool valid_ = true;
};

}  // namespace corianderdock::session
