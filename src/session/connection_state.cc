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

const std::string& ConnectionState::ServerStatementName(
    const PreparedStatement& statement) const {
  return prepared_.at(statement).name;
}

bool ConnectionState::NeedsReset(const SessionValues& values) const {
  if (!valid_) return true;
  return std::any_of(values_.begin(), values_.end(), [&](const auto& it) {
    return !values.contains(it.first);
  });
}

void ConnectionState::Prepare(const PreparedStatement& statement,
                              std::vector<ServerCommand>& commands) {
  const auto known = prepared_.find(statement);
  if (known != prepared_.end()) {
    known->second.last_used = ++uses_;
    return;
  }
  if (prepared_.size() >= kMaxPreparedStatements) {
    const auto oldest = std::min_element(
        prepared_.begin(), prepared_.end(), [](const auto& a, const auto& b) {
          return a.second.last_used < b.second.last_used;
        });
    commands.push_back(Command(Verb::kForget, oldest->second.name, {}));
    prepared_.erase(oldest);
  }
  const std::string name = "p" + std::to_string(++names_given_);
  prepared_[statement] = {name, ++uses_};
  const Verb verb = statement.writes ? Verb::kPrepareWrite : Verb::kPrepareRead;
  commands.push_back(Command(verb, name, statement.shape));
}

std::vector<ServerCommand> ConnectionState::Synchronize(
    const SessionValues& values,
    const std::optional<PreparedStatement>& statement) {
  std::vector<ServerCommand> commands;
  if (NeedsReset(values)) {
    commands.push_back(Command(Verb::kReset, {}, {}));
    values_.clear();
    prepared_.clear();
    valid_ = true;
  }
  for (const auto& [name, value] : values) {
    const auto it = values_.find(name);
    if (it != values_.end() && it->second == value) continue;
    commands.push_back(Command(Verb::kSet, name, value));
    values_[name] = value;
  }
  if (statement) Prepare(*statement, commands);
  return commands;
}

std::size_t ConnectionState::SynchronizeCommandCount(
    const SessionValues& values,
    const std::optional<PreparedStatement>& statement) const {
  if (NeedsReset(values)) return 1 + values.size() + (statement ? 1 : 0);
  std::size_t n = 0;
  for (const auto& [name, value] : values) {
    const auto it = values_.find(name);
    if (it == values_.end() || it->second != value) ++n;
  }
  if (statement && !prepared_.contains(*statement)) {
    n += prepared_.size() < kMaxPreparedStatements ? 1 : 2;
  }
  return n;
}

}  // namespace corianderdock::session
