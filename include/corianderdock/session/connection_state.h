/// \file
/// Session values and prepared statements that exist on a server connection.
#pragma once

#include <map>
#include <optional>
#include <set>
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
/// it can be brought to a session's state with the fewest commands. Statements
/// are prepared under a name derived from their shape, so that sessions share
/// them. Not thread-safe.
class ConnectionState {
 public:
  /// Returns the commands after which the connection has exactly `values`, and
  /// `statement` if set, and assumes that they will succeed.
  [[nodiscard]] std::vector<ServerCommand> Synchronize(
      const SessionValues& values,
      const std::optional<PreparedStatement>& statement);

  /// Returns the number of commands that `Synchronize` would return.
  [[nodiscard]] std::size_t SynchronizeCommandCount(
      const SessionValues& values,
      const std::optional<PreparedStatement>& statement) const;

  /// Returns the name under which a statement is prepared on servers.
  [[nodiscard]] static std::string ServerStatementName(
      const PreparedStatement& statement);

 private:
  /// Whether the connection has a value that `values` lacks.
  [[nodiscard]] bool HasExtraValue(const SessionValues& values) const;

  SessionValues values_;
  std::set<PreparedStatement> prepared_;
};

}  // namespace corianderdock::session
