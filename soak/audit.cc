#include "soak/audit.h"

#include <algorithm>

namespace soak {

namespace {

constexpr char kOwnId[] = "-";

/// Returns a text without the position that a proxy may add.
std::string WithoutPosition(const std::string& text) {
  const auto fields = SplitFields(text, 3);
  return fields[0] == "AFTER" && fields.size() > 2 ? fields[2] : text;
}

std::string VerbOf(const std::string& text) { return SplitFields(text, 2)[0]; }

bool NeedsReceipt(const std::string& verb) {
  return verb == "READ" || verb == "WRITE" || verb == "EXEC" ||
         verb == "COMMIT";
}

/// Whether a reply says that nothing of the attempt is kept.
bool IsPromise(const std::string& error) {
  static const std::set<std::string> codes = {
      "BUSY", "ABORTED", "BEHIND", "READONLY", "MISROUTED", "TOOMANY"};
  return codes.contains(error);
}

bool HasRun(const ServerReply& reply) {
  return reply.error.empty() || reply.error == "FAILED" ||
         reply.error == "TIMEOUT";
}

std::string Join(const std::vector<std::string>& rows) {
  std::string text;
  for (const auto& it : rows) text += "[" + it + "]";
  return text;
}

std::string Join(const Texts& texts) {
  std::string text;
  for (const auto& [name, value] : texts) {
    text += "[" + name;
    text += "=" + value + "]";
  }
  return text;
}

}  // namespace

Audit::Audit(Cluster& cluster, Ledger& ledger, Relays& relays)
    : cluster_(cluster), ledger_(ledger) {
  relays.observer.on_command = [this](const Command& it) { OnCommand(it); };
  relays.observer.on_reply = [this](const Command& command,
                                    const ServerReply& reply) {
    OnReply(command, reply);
  };
  relays.observer.on_close = [this](std::uint64_t connection) {
    connections_.erase(connection);
  };
}

// --------------------------------------------------------------- clients

void Audit::OnSent(const std::string& id, Statement statement) {
  statement.acknowledged = acknowledged_[statement.service].size();
  if (statement.transaction != 0) {
    statement.acknowledged =
        acknowledged_before_
            .try_emplace(statement.transaction, statement.acknowledged)
            .first->second;
  }
  sent_[id] = std::move(statement);
}

void Audit::OnReceived(const std::string& id, const lab::Reply& reply) {
  const Statement& statement = sent_.at(id);
  const std::string verb = VerbOf(statement.text);
  const std::string what = id + " " + statement.text;
  if (verb == "WRITE" || verb == "EXEC") {
    if (statement.transaction != 0) {
      writes_[statement.transaction].push_back(id);
    } else if (IsPromise(reply.error)) {
      refused_[id] = reply.error;
    }
  }
  if (statement.transaction != 0 && IsPromise(reply.error)) {
    for (const auto& it : writes_[statement.transaction]) {
      refused_[it] = reply.error;
    }
  }
  if (verb == "EXEC" && reply.error == "NOSTMT" &&
      statement.prepared.contains(SplitFields(statement.text, 3).at(1))) {
    ledger_.Violate("PINNED", what + " got NOSTMT, but it was prepared");
  }
  if (!reply.ok() || !NeedsReceipt(verb)) return;
  const auto result = results_.find(reply.receipt);
  if (result == results_.end()) {
    ledger_.Violate("MIXED", what + " got receipt " + reply.receipt +
                                 ", which no server gave");
  } else if (result->second.id != id) {
    ledger_.Violate("MIXED", what + " got receipt " + reply.receipt + " of " +
                                 result->second.id);
  } else if (result->second.rows != reply.rows) {
    ledger_.Violate("MIXED", what + " got rows " + Join(reply.rows) +
                                 ", the server sent " +
                                 Join(result->second.rows));
  } else if (!result->second.missing.empty()) {
    ledger_.Violate("STALE", what + " receipt " + reply.receipt +
                                 " ran without " + result->second.missing);
  }
  auto& acknowledged = acknowledged_[statement.service];
  if (verb == "COMMIT") {
    const auto& writes = writes_[statement.transaction];
    acknowledged.insert(acknowledged.end(), writes.begin(), writes.end());
  } else if (statement.transaction == 0 && reply.rows.empty()) {
    acknowledged.push_back(id);
  }
}

// --------------------------------------------------------------- servers

void Audit::OnCommand(const Command& command) {
  const std::string text = WithoutPosition(command.text);
  const std::string verb = VerbOf(text);
  const std::string what = command.server + " got " + command.id + " " + text;
  if (command.id == kOwnId) {
    const bool owned = !connections_[command.connection].owner.empty();
    if (verb == "WRITE" || verb == "EXEC" || (verb == "COMMIT" && owned)) {
      ledger_.Violate("UNASKED", what);
    }
    return;
  }
  const auto sent = sent_.find(command.id);
  if (sent == sent_.end()) {
    ledger_.Violate("UNASKED", what + ", an id that no client sent");
    return;
  }
  // The name of a prepared statement is the proxy's.
  const bool renamed = verb == "EXEC";
  const std::string& asked = sent->second.text;
  const std::size_t compared = renamed ? 3 : 1;
  const auto of_server = SplitFields(text, compared);
  const auto of_client = SplitFields(asked, compared);
  if (of_server[0] == of_client[0] && of_server.back() == of_client.back() &&
      of_server.size() == of_client.size()) {
    return;
  }
  ledger_.Violate("UNASKED", what + ", the client sent " + asked);
}

void Audit::OnReply(const Command& command, const ServerReply& reply) {
  Connection& connection = connections_[command.connection];
  const std::string text = WithoutPosition(command.text);
  const std::string verb = VerbOf(text);
  const auto sent = sent_.find(command.id);
  if (sent != sent_.end() && NeedsReceipt(verb) && HasRun(reply)) {
    CheckSetup(command, sent->second, connection);
    CheckPlace(command, sent->second, connection);
  }
  if (reply.error.empty()) {
    if (reply.receipt != "-") {
      Result& result = results_[reply.receipt];
      result = {command.id, reply.rows, ""};
      if (sent != sent_.end() && !reply.rows.empty()) {
        result.missing = FindMissing(command.server, sent->second);
      }
    }
    const auto fields = SplitFields(text, 3);
    if (verb == "SET") {
      connection.values[fields.at(1)] = fields.at(2);
    } else if (verb == "PREPARE") {
      connection.prepared[fields.at(1)] = fields.at(2);
    } else if (verb == "FORGET") {
      connection.prepared.erase(fields.at(1));
    } else if (verb == "RESET") {
      connection.values.clear();
      connection.prepared.clear();
    }
  }
  const bool open = reply.state != "I";
  if (open && !connection.in_transaction) ++connection.transactions;
  if (!open) connection.owner.clear();
  connection.in_transaction = open;
}

void Audit::CheckSetup(const Command& command, const Statement& statement,
                       const Connection& connection) {
  const std::string what = command.server + " ran " + command.id + " " +
                           command.text + " of " + statement.session;
  if (connection.values != statement.values) {
    ledger_.Violate("PINNED", what + " with values " + Join(connection.values) +
                                  ", the client set " + Join(statement.values));
  }
  const std::string text = WithoutPosition(command.text);
  if (VerbOf(text) != "EXEC" || VerbOf(statement.text) != "EXEC") return;
  const auto shape_of = [](const Texts& prepared, const std::string& exec) {
    const auto it = prepared.find(SplitFields(exec, 3).at(1));
    return it == prepared.end() ? "nothing" : "[" + it->second + "]";
  };
  const std::string shape = shape_of(connection.prepared, text);
  const std::string wanted = shape_of(statement.prepared, statement.text);
  if (shape == wanted) return;
  ledger_.Violate("PINNED",
                  what + " as " + shape + ", the client prepared " + wanted);
}

std::string Audit::FindMissing(const std::string& server,
                               const Statement& statement) {
  constexpr std::size_t kRecent = 8;
  lab::Group& group = *cluster_.FindGroup(statement.service);
  const lab::Server* primary = NewestPrimary(group);
  const lab::Server* reader = group.Find(server);
  if (primary == nullptr || reader == nullptr) return "";
  const auto& writes = acknowledged_[statement.service];
  const std::size_t first =
      statement.acknowledged - std::min(statement.acknowledged, kRecent);
  for (std::size_t n = first; n < statement.acknowledged; ++n) {
    if (!HoldsRecent(*reader, writes[n]) && HoldsRecent(*primary, writes[n])) {
      return writes[n];
    }
  }
  return "";
}

void Audit::CheckPlace(const Command& command, const Statement& statement,
                       Connection& connection) {
  const std::string what = command.server + " ran " + command.id + " " +
                           command.text + " of " + statement.session;
  const bool open = connection.in_transaction;
  const std::string owner =
      statement.transaction == 0
          ? command.id
          : "transaction " + std::to_string(statement.transaction);
  if (open && connection.owner.empty()) connection.owner = owner;
  if (open && connection.owner != owner) {
    ledger_.Violate("PINNED", what + " within " + connection.owner);
  }
  if (statement.transaction == 0) return;
  if (!open) {
    ledger_.Violate("PINNED", what + " outside of " + owner);
    return;
  }
  const Place place{command.connection, connection.transactions};
  const auto [it, first] = places_.try_emplace(statement.transaction, place);
  if (first || it->second == place) return;
  ledger_.Violate("PINNED",
                  what + " on another connection than the first of " + owner);
}

void Audit::CheckLogs() {
  for (const lab::Group& group : cluster_.groups) {
    const lab::Server* primary = NewestPrimary(group);
    if (primary == nullptr) continue;
    std::set<std::string> seen;
    for (const auto& entry : primary->log()) {
      for (const auto& it : entry.writes) {
        const std::string what = primary->id() + " holds " + it.statement;
        if (!seen.insert(it.statement).second) {
          ledger_.Violate("TWICE", what + " twice");
        }
        const auto refused = refused_.find(it.statement);
        if (refused == refused_.end()) continue;
        ledger_.Violate("REFUSED", what + " " + it.item + " " + it.data +
                                       ", answered " + refused->second);
      }
    }
  }
}

}  // namespace soak
