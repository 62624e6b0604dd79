/// \file
/// Checks what servers run and what clients receive against what clients sent.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "soak/cluster.h"
#include "soak/ledger.h"
#include "soak/relays.h"

namespace soak {

using Texts = std::map<std::string, std::string>;

/// A client's statement, and what its session had set up when it was sent.
struct Statement {
  std::string session;
  std::string service;
  std::string text;
  Texts values;
  Texts prepared;  ///< mode and shape by name
  /// Number of the transaction, unique among all clients; 0: none.
  std::uint64_t transaction = 0;
  /// Writes of the service acknowledged before the statement was sent, or its
  /// transaction began. Set by the audit.
  std::size_t acknowledged = 0;
};

class Audit {
 public:
  /// Observes all servers. Has to outlive the relays' coroutines.
  Audit(Cluster& cluster, Ledger& ledger, Relays& relays);

  /// Returns a new number for a transaction.
  [[nodiscard]] std::uint64_t NewTransaction() { return ++transactions_; }
  /// Called before a server can receive the statement.
  void OnSent(const std::string& id, Statement statement);
  /// Checks what a client received.
  void OnReceived(const std::string& id, const lab::Reply& reply);
  /// Checks the logs of the primaries at the end of a run.
  void CheckLogs();

 private:
  /// A server's transaction, by connection and number on it.
  using Place = std::pair<std::uint64_t, std::uint64_t>;

  struct Connection {
    Texts values;
    Texts prepared;
    bool in_transaction = false;
    std::uint64_t transactions = 0;
    std::string owner;  ///< of the open transaction
  };
  struct Result {
    std::string id;
    std::vector<std::string> rows;
    std::string missing;  ///< acknowledged write that a read didn't see
  };

  void OnCommand(const Command& command);
  void OnReply(const Command& command, const ServerReply& reply);
  void CheckSetup(const Command& command, const Statement& statement,
                  const Connection& connection);
  /// Returns a write that had been acknowledged before a statement was sent
  /// and that the server's log lacks, unless the newest primary lacks it too.
  [[nodiscard]] std::string FindMissing(const std::string& server,
                                        const Statement& statement);
  void CheckPlace(const Command& command, const Statement& statement,
                  Connection& connection);

  Cluster& cluster_;
  Ledger& ledger_;
  std::uint64_t transactions_ = 0;
  std::map<std::string, Statement> sent_;  ///< by id
  std::map<std::uint64_t, Connection> connections_;
  std::map<std::string, Result> results_;  ///< by receipt
  std::map<std::uint64_t, Place> places_;  ///< by transaction
  std::map<std::uint64_t, std::vector<std::string>> writes_;  ///< likewise
  /// Writes in the order in which they were acknowledged, by service.
  std::map<std::string, std::vector<std::string>> acknowledged_;
  /// Writes acknowledged before a transaction began.
  std::map<std::uint64_t, std::size_t> acknowledged_before_;
  std::map<std::string, std::string> refused_;  ///< reply by id of the write
};

}  // namespace soak
