/// \file
/// Session values and prepared statements that a server connection holds.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "corianderdock/session/statement.h"

namespace corianderdock::session {

/// Values of a session by name.
using SessionValues = std::map<std::string, std::string>;

/// What a client prepared under a name.
struct PreparedStatement {
  bool writes = false;
  std::string shape;

  bool operator<(const PreparedStatement& other) const {
    return std::tie(writes, shape) < std::tie(other.writes, other.shape);
  }
};

/// Knows what a connection holds, so that it can be brought to a session's
/// state with the fewest commands. Statements are prepared under a name
/// derived from their shape, so sessions share them. Not thread-safe.
class ConnectionState {
 public:
  /// Commands that give the connection exactly `values`, and `shape` when
  /// set. They are counted as done.
  [[nodiscard]] std::vector<ServerCommand> Synchronize(
      const SessionValues& values,
      const std::optional<PreparedStatement>& shape);

  /// Number of commands that `Synchronize` would return.
  [[nodiscard]] std::size_t SynchronizeCommandCount(
      const SessionValues& values,
      const std::optional<PreparedStatement>& shape) const;

  /// Name under which servers know a shape.
  [[nodiscard]] static std::string ServerName(const PreparedStatement& shape);

 private:
  [[nodiscard]] bool HasExtraValue(const SessionValues& values) const;

  SessionValues values_;
  std::set<PreparedStatement> prepared_;
};

}  // namespace corianderdock::session
