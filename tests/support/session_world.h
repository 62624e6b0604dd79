/// \file
/// Simulates session proxies, servers, clients and the store in virtual time,
/// and checks each guarantee from the statements that servers ran and the
/// replies that clients received.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "corianderdock/session/proxy.h"

namespace corianderdock::test {

/// Replies that servers send a second time, later.
struct RepeatOptions {
  enum class Kind { kStatements, kOwnCommands, kErrors, kAll };
  double rate = 0;         ///< fraction of the replies of `kind`
  Kind kind = Kind::kAll;  ///< `kOwnCommands`: to commands of the proxy itself
  Duration max_delay = std::chrono::milliseconds(200);
  int copies = 1;  ///< repeats of a reply
  /// Half of the repeats are sent only after at most so many other replies of
  /// the connection. 0: none.
  int max_replies = 0;
  /// Only in random periods, by one server or by all.
  bool in_periods = false;
};

/// Parameters of a simulation run.
struct WorldOptions {
  int instances = 3;
  int clients_per_instance = 12;
  Duration duration = std::chrono::seconds(6);
  Duration lag = std::chrono::milliseconds(20);
  Duration promotion_time = std::chrono::milliseconds(300);
  double faults_per_second = 1.5;
  double lost_reply_rate = 0.01;  ///< fraction of server replies
  std::uint64_t seed = 1;
  /// The platform checks fencing tokens, and a replaced primary stops at once.
  /// Otherwise every order is executed, however late, and a replaced primary
  /// goes on until it is demoted or has reached the new one for a second.
  bool fencing = true;
  /// Faults also cut a server off from the others, and replace primaries by
  /// servers that join before they are listed.
  bool joiners = false;
  /// Faults also restart all instances in turn, and keep the reports of a
  /// server that goes on serving from the store.
  bool restarts = false;
  /// Most orders get no answer and are executed up to 12 s later.
  bool late_orders = false;
  /// Faults also pause servers, cut the primary off from most instances, keep
  /// the store away for seconds, and strike while replicas are fenced or an
  /// order may be executed.
  bool overlap = false;
  /// Faults also start a replica again under its id without its log. None does
  /// so while an order may be executed, as nobody can take that back.
  bool reborn = false;
  /// Faults also replace a replica by a server that receives from the primary
  /// before it is listed, while some instances can't reach the primary.
  bool cut_joiners = false;
  RepeatOptions repeats;
  double busy_rate = 0;           ///< fraction of statements refused as busy
  double setup_failure_rate = 0;  ///< fraction of `SET`, `PREPARE`, `RESET`
  /// Fraction of server replies that are cut off; the connection ends.
  double cut_reply_rate = 0;
  /// Clients use names, values and shapes that other texts contain.
  bool varied_texts = false;
  /// Tenants that clients belong to; their keys are withdrawn and given back
  /// in turn. 0: clients have no keys.
  int tenants = 0;
  session::ProxyOptions proxy;
};

/// Outcome of a simulation run.
struct WorldResult {
  std::vector<std::string> violations;  ///< rule and details
  int succeeded = 0;                    ///< statements
  int refused = 0;  ///< replied that the statement was not executed
  int unsure = 0;   ///< replied that the outcome is unknown
  int promotions = 0;
  int replica_reads = 0;
  int repeats = 0;                 ///< server replies sent a second time
  int connections_opened = 0;      ///< to servers
  int losses_reported = 0;         ///< acknowledged commits that instances miss
  Duration longest_commit_gap{0};  ///< longest time without a commit
};

/// Runs one random schedule; the seed determines it.
[[nodiscard]] WorldResult RunSessionSchedule(const WorldOptions& options);

}  // namespace corianderdock::test
