/// \file
/// Clients that write through all instances and check that each statement is
/// answered.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "soak/audit.h"
#include "soak/caller.h"
#include "soak/cluster.h"
#include "soak/ledger.h"

namespace soak {

/// A database and the service that serves it.
struct Database {
  std::string name;
  std::string service;
};

/// What clients do. Shares are from 0 to 1, `reads` and `transactions` of what
/// is left by those before.
struct Mix {
  double setups = 0;  ///< SET, PREPARE, EXEC, FORGET; only if audited
  double reads = 0.15;
  double transactions = 0.25;
  Ms min_pause{10};  ///< between operations
  Ms max_pause{90};
};

class Clients {
 public:
  /// `audit` may be null. All have to outlive the clients' coroutines.
  Clients(Cluster& cluster, Ledger& ledger, std::uint64_t seed,
          Audit* audit = nullptr, Mix mix = {})
      : cluster_(cluster),
        ledger_(ledger),
        seed_(seed),
        audit_(audit),
        mix_(mix) {}
  /// Starts a client of a database at an instance.
  void Start(Instance& instance, const Database& database);
  /// Reports statements that stay unanswered, until the run stops.
  Task Watch();
  [[nodiscard]] std::size_t statements() const { return statements_; }
  /// Statements answered with success.
  [[nodiscard]] std::size_t served() const { return served_; }
  /// Statements answered with an error or not at all.
  [[nodiscard]] std::size_t failed() const { return failed_; }

 private:
  /// A read or a write of one item.
  struct Access {
    std::string text;
    bool writes = false;
  };

  struct Session {
    Instance* instance = nullptr;
    Database database;
    std::string name;
    Random random;
    std::string statement;  ///< outstanding; empty if there is none
    Clock::time_point sent_at;
    bool reported = false;
  };

  /// Whether neither the session's instance nor this process was disturbed
  /// after `time`.
  [[nodiscard]] bool Undisturbed(const Session& session,
                                 Clock::time_point time) const {
    return session.instance->UndisturbedSince(time) &&
           cluster_.stalled_until < time;
  }
  Task Run(Session& session);
  Task WriteOnce(Session& session, Caller& caller);
  Task WriteTransaction(Session& session, Caller& caller);
  /// Changes what the session has set up, or uses it.
  Task UseSetup(Session& session, Caller& caller);
  Task Execute(Session& session, Caller& caller);
  asio::awaitable<lab::Reply> Ask(Session& session, Caller& caller,
                                  std::string text);
  Access NextWrite(Session& session);
  /// Draws an access by any means that the session has.
  Access NextAccess(Session& session, const Caller& caller);
  Access NextExecution(Session& session, const Caller& caller);

  Cluster& cluster_;
  Ledger& ledger_;
  std::uint64_t seed_;
  Audit* audit_;
  Mix mix_;
  std::deque<Session> sessions_;
  std::size_t statements_ = 0;
  std::size_t served_ = 0;
  std::size_t failed_ = 0;
  std::size_t values_ = 0;
};

}  // namespace soak
