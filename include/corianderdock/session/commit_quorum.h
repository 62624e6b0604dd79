/// \file
/// Decides from the replies of servers whether a commit can still be lost.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "corianderdock/types.h"

namespace corianderdock::session {

/// Why no promotion can lose a commit.
enum class CommitBasis {
  kNone,       ///< one might
  kQuorum,     ///< a replica has it that every order made from now on fences
  kUnanimity,  ///< every server that could be promoted has it
};

/// Returns the name of a basis as log lines and counters show it.
[[nodiscard]] const char* NameOf(CommitBasis basis);

/// What the servers of one service are known to hold, and since when each is
/// known to run without having been fenced.
///
/// An order to promote a server relies on the fences of all servers that count,
/// and on where their logs ended then. It may be executed up to
/// `max_order_delay` after it was given. A fence ends only with a restart of
/// its server, or with a promotion. So a server that
///
/// - has run without interruption and in one term since time s, and
/// - is not fenced at time u, at least `max_order_delay` and the age of a fence
///   report after s,
///
/// shows that no order which was given before u can be executed any more. An
/// order given later finds the commit in the log of any server that counts and
/// had it by then. Nothing is concluded from what was not seen: a server that
/// has not replied shows nothing, and neither does one whose process is not
/// known to be the same.
///
/// Not thread-safe.
class CommitQuorum {
 public:
  struct Options {
    /// Longest time between an order and its execution, and between the query
    /// of a fence report and the order that relies on it.
    Duration max_order_delay = std::chrono::milliseconds(12'000);
    Duration fence_report_max_age = std::chrono::milliseconds(500);
  };

  /// A reply of a server.
  struct Report {
    /// The process that replied ran at `running_since`, and when the command
    /// was sent; null if it may be another one than those known to run.
    std::optional<TimePoint> running_since;
    TimePoint sent;
    TimePoint received_at;
    Term term = 0;               ///< that it shows the server to have reached
    Position end;                ///< the log has this entry
    std::optional<bool> fenced;  ///< if it tells
  };

  struct Commit {
    Position position;
    TimePoint sent;
  };

  /// Servers as they matter for a commit.
  struct Servers {
    /// Replicas that every claimant knows, and fences before each order that it
    /// gives after the time.
    std::map<ServerId, TimePoint> counted;
    /// Servers that an order may promote, without the primary.
    std::set<ServerId> promotable;
    /// Whether `promotable` lacks none.
    bool all_known = false;
    /// If set, no order that was given before the present term can be executed,
    /// and the term began after this time.
    std::optional<TimePoint> term_began_after;
  };

  explicit CommitQuorum(Options options) : options_(options) {}

  /// Adds a reply. Replies may be added late and in any order.
  void Add(const ServerId& server, const Report& report);

  /// Returns what excludes the loss of `commit`.
  [[nodiscard]] CommitBasis Find(const Commit& commit,
                                 const Servers& servers) const;

  /// Whether the log of `server` is known to have the entry at `position`.
  [[nodiscard]] bool Holds(const ServerId& server, Position position) const;

  /// Time since which the process of `server` is known to run; null if unknown.
  [[nodiscard]] std::optional<TimePoint> RunningSince(
      const ServerId& server) const;

  /// Whether a status of `server` would show more than is known: since when it
  /// runs in `term`, and that it isn't fenced.
  [[nodiscard]] bool NeedsStatus(const ServerId& server, Term term) const;

  /// Time for which a server must have run, and been listed, to count.
  [[nodiscard]] Duration settle_time() const {
    return options_.max_order_delay + options_.fence_report_max_age;
  }

 private:
  /// One process of a server.
  struct Process {
    TimePoint running_since;
    TimePoint alive_until;  ///< it still ran then
    Term term = 0;
    TimePoint in_term_since;
    std::optional<TimePoint> fenced_at;    ///< last seen
    std::optional<TimePoint> unfenced_at;  ///< last shown
    Position end;
  };

  struct Server {
    std::optional<Process> current;
    /// The one seen before, until it is known whether it is the same.
    std::optional<Process> earlier;
    Position end;  ///< from any reply
  };

  static void Apply(Process& process, const Report& report);
  static void Merge(Process& into, const Process& other);
  [[nodiscard]] const Process* ProcessOf(const ServerId& server) const;
  [[nodiscard]] bool ExcludesOrders(const ServerId& witness,
                                    const Commit& commit, TimePoint not_before,
                                    const Servers& servers) const;

  Options options_;
  std::map<ServerId, Server> servers_;
};

}  // namespace corianderdock::session
