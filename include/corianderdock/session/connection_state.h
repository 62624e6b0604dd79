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
struct PreparedShape {
  bool writes = false;
  std::string shape;

  bool operator<(const PreparedShape& other) const {
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
      const SessionValues& values, const std::optional<PreparedShape>& shape);

  /// Number of commands that `Synchronize` would return.
  [[nodiscard]] std::size_t Distance(
      const SessionValues& values,
      const std::optional<PreparedShape>& shape) const;

  /// Name under which servers know a shape.
  [[nodiscard]] static std::string ServerName(const PreparedShape& shape);

 private:
  [[nodiscard]] bool HoldsForeignValue(const SessionValues& values) const;

  SessionValues values_;
  std::set<PreparedShape> prepared_;
};

}  // namespace corianderdock::session
