#include "corianderdock/session/connection_state.h"

#include <algorithm>

namespace corianderdock::session {

namespace {

ServerCommand Command(Verb verb, std::string name, std::string text) {
  ServerCommand command;
  command.statement = {verb, std::move(name), std::move(text)};
  return command;
}

}  // namespace

std::string ConnectionState::ServerStatementName(
    const PreparedStatement& statement) {
  return (statement.writes ? "w_" : "r_") + statement.shape;
}

bool ConnectionState::HasExtraValue(const SessionValues& values) const {
  return std::any_of(values_.begin(), values_.end(), [&](const auto& it) {
    return !values.contains(it.first);
  });
}

std::vector<ServerCommand> ConnectionState::Synchronize(
    const SessionValues& values,
    const std::optional<PreparedStatement>& statement) {
  std::vector<ServerCommand> commands;
  if (HasExtraValue(values)) {
    commands.push_back(Command(Verb::kReset, {}, {}));
    values_.clear();
    prepared_.clear();
  }
  for (const auto& [name, value] : values) {
    const auto it = values_.find(name);
    if (it != values_.end() && it->second == value) continue;
    commands.push_back(Command(Verb::kSet, name, value));
    values_[name] = value;
  }
  if (statement && prepared_.insert(*statement).second) {
    const Verb verb =
        statement->writes ? Verb::kPrepareWrite : Verb::kPrepareRead;
    commands.push_back(
        Command(verb, ServerStatementName(*statement), statement->shape));
  }
  return commands;
}

std::size_t ConnectionState::SynchronizeCommandCount(
    const SessionValues& values,
    const std::optional<PreparedStatement>& statement) const {
  if (HasExtraValue(values)) return 1 + values.size() + (statement ? 1 : 0);
  std::size_t n = 0;
  for (const auto& [name, value] : values) {
    const auto it = values_.find(name);
    if (it == values_.end() || it->second != value) ++n;
  }
  if (statement && !prepared_.contains(*statement)) ++n;
  return n;
}

}  // namespace corianderdock::session
