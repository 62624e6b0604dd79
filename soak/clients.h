/// \file
/// Clients that write through all instances and check that each statement is
/// answered.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "soak/cluster.h"
#include "soak/ledger.h"

namespace soak {

/// A database and the service that serves it.
struct Database {
  std::string name;
  std::string service;
};

class Clients {
 public:
  Clients(Cluster& cluster, Ledger& ledger, std::uint64_t seed)
      : cluster_(cluster), ledger_(ledger), seed_(seed) {}
  /// Starts a client of a database at an instance.
  void Start(Instance& instance, const Database& database);
  /// Reports statements that stay unanswered, until the run stops.
  Task Watch();
  [[nodiscard]] std::size_t statements() const { return statements_; }

 private:
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
  Task WriteOnce(Session& session, lab::Client& client);
  Task WriteTransaction(Session& session, lab::Client& client);
  asio::awaitable<lab::Reply> Ask(Session& session, lab::Client& client,
                                  std::string text);

  Cluster& cluster_;
  Ledger& ledger_;
  std::uint64_t seed_;
  std::deque<Session> sessions_;
  std::size_t statements_ = 0;
  std::size_t values_ = 0;
};

}  // namespace soak
