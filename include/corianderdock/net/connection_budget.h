/// \file
/// Accounts of the connections of a process in its memory budget.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "corianderdock/memory_budget.h"
#include "corianderdock/types.h"

namespace corianderdock::net {

/// Why a connection was refused or closed; the order of `kLimitNames`.
enum class Limit {
  kConnections,      ///< refused: too many connections
  kNotStarted,       ///< closed: made way before its first message
  kMemory,           ///< closed: one of the largest when memory ran short
  kStartTimeout,     ///< closed: no first message in time
  kLineTimeout,      ///< closed: a line was not finished in time
  kLineTooLong,      ///< closed: a line is over the limit
  kSlowReader,       ///< closed: does not read what it asked for
  kHttpTimeout,      ///< closed: header, body or response not done in time
  kHttpTooLarge,     ///< refused: header or body over the limit
  kAnswerTooLarge,   ///< closed: a server's answer is over the limit
  kDescriptorTable,  ///< accepting paused: no free descriptor
};
inline constexpr std::size_t kLimits = 11;

class ConnectionBudget;

/// The account of one connection, closed with this object. Confined to the
/// connection's thread.
class BudgetAccount {
 public:
  ~BudgetAccount();
  BudgetAccount(const BudgetAccount&) = delete;
  BudgetAccount& operator=(const BudgetAccount&) = delete;

  /// Bytes received in part or not sent yet. The connection may be closed by
  /// way of its callback.
  void SetIdle(std::size_t bytes);
  /// Bytes of statements in process.
  void SetWork(std::size_t bytes);
  /// See `MemoryBudget::SetStarted`.
  void SetStarted(bool started);
  /// Whether the connection is to be read no further for now.
  [[nodiscard]] bool paused() const;
  /// Decides anew whether reading is to pause.
  void Refresh();
  [[nodiscard]] std::uint64_t id() const noexcept { return id_; }
  /// Counts, and logs, that the connection met a limit.
  void Note(Limit limit);
  [[nodiscard]] ConnectionBudget& budget() const noexcept { return *budget_; }

 private:
  friend class ConnectionBudget;
  BudgetAccount(std::shared_ptr<ConnectionBudget> budget, std::uint64_t id)
      : budget_(std::move(budget)), id_(id) {}

  std::shared_ptr<ConnectionBudget> budget_;
  std::uint64_t id_;
  std::size_t idle_ = 0;
  std::size_t work_ = 0;
  bool paused_ = false;
};

/// The budget of a process. Thread-safe.
///
/// \code
/// auto budget = std::make_shared<ConnectionBudget>(limits, log);
/// auto account = budget->Open(PeerKind::kClient);
/// if (!account) return;  // refused
/// account->...
/// \endcode
class ConnectionBudget : public std::enable_shared_from_this<ConnectionBudget> {
 public:
  /// Receives log lines, at most one every 10 s for each limit, on any thread.
  using Log = std::function<void(const std::string&)>;
  /// Closes a connection. Must not call the budget before it returns.
  using CloseConnection = std::function<void()>;
  using ResumeReading = std::function<void()>;

  ConnectionBudget(const BudgetLimits& limits, Log log)
      : budget_(limits), log_(std::move(log)) {}

  void SetLimits(const BudgetLimits& limits);
  [[nodiscard]] BudgetLimits limits() const;

  /// Opens the account of a connection; null if it is refused, which is
  /// counted.
  [[nodiscard]] std::shared_ptr<BudgetAccount> Open(
      PeerKind kind, std::size_t descriptors = 1);

  /// Sets how the connection of an account is closed, and how it is read again
  /// after a pause that others caused; that may be empty.
  void OnClose(const BudgetAccount& account, CloseConnection close,
               ResumeReading resume = {});

  /// Counts that a limit was met and logs it, unless it was logged recently.
  void Note(Limit limit);

  /// Counts by limit, `connections_limited_...`.
  [[nodiscard]] std::map<std::string, std::uint64_t> Counters() const;
  /// Bytes and connections by kind of peer.
  [[nodiscard]] std::map<std::string, double> Gauges() const;
  /// The budget and its largest users, as JSON text.
  [[nodiscard]] std::string DumpState() const;

 private:
  friend class BudgetAccount;

  struct Noted {
    std::uint64_t count = 0;
    std::uint64_t logged_count = 0;
    std::optional<TimePoint> logged_at;
  };

  /// Returns whether reading is to pause.
  bool Set(std::uint64_t id, std::size_t idle, std::size_t work);
  void Close(std::uint64_t id);
  /// Calls the callbacks of closed accounts. \pre `mutex_` is not held.
  void CloseAll(const std::vector<std::uint64_t>& ids, Limit limit);

  void ResumeAll(const std::vector<std::uint64_t>& ids);

  mutable std::mutex mutex_;
  MemoryBudget budget_;
  std::map<std::uint64_t, CloseConnection> close_;
  std::map<std::uint64_t, ResumeReading> resume_;
  std::array<Noted, kLimits> noted_;
  Log log_;
};

}  // namespace corianderdock::net
