/// \file
/// Replicated log of one stand-in server: term, role, entries and the fencing
/// and promotion rules of a database group.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace standin {

/// A point in a group's log: the term of the entry and its index from 1.
struct LogPosition {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  bool operator==(const LogPosition&) const = default;
  auto operator<=>(const LogPosition&) const = default;
};

/// One committed transaction.
struct LogEntry {
  std::uint64_t term = 0;
  std::vector<std::string> statements;
};

/// First index written in a term.
struct TermStart {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
};

enum class Role { kPrimary, kReplica, kFenced };

/// Log and leadership state of one server. Not thread-safe; performs no I/O.
class GroupLog {
 public:
  /// Grants `term` to `claimant` if it is higher than the current term or was
  /// already granted to the same claimant. A newly granted term fences the
  /// server: it accepts no writes and follows no primary. Returns whether the
  /// term is granted.
  bool Fence(std::uint64_t term, const std::string& claimant);

  /// Makes this server the primary of `term`. Requires that `term` was granted
  /// to `claimant` here. Appends an empty entry that opens the term.
  bool Promote(std::uint64_t term, const std::string& claimant);

  /// Becomes a replica of the primary at `address` in `term`. Returns false for
  /// an older term, and on the primary of the same term.
  bool Follow(std::uint64_t term, const std::string& address);

  /// Appends a transaction on the primary and returns its position.
  LogPosition Append(std::vector<std::string> statements);

  /// Appends an entry received from the primary this server follows.
  void AppendReceived(LogEntry entry);

  /// Removes all entries above `index`.
  void Truncate(std::uint64_t index);

  /// Highest index at which this log and the log described by `starts` and
  /// `last` have an entry of the same term.
  [[nodiscard]] std::uint64_t CommonIndex(const std::vector<TermStart>& starts,
                                          std::uint64_t last) const;

  [[nodiscard]] LogPosition Last() const;
  [[nodiscard]] std::vector<TermStart> TermStarts() const;
  [[nodiscard]] std::uint64_t TermAt(std::uint64_t index) const;
  [[nodiscard]] const std::vector<LogEntry>& entries() const {
    return entries_;
  }
  [[nodiscard]] std::uint64_t term() const { return term_; }
  [[nodiscard]] Role role() const { return role_; }
  [[nodiscard]] const std::string& primary() const { return primary_; }
  [[nodiscard]] const std::string& claimant() const { return claimant_; }

 private:
  std::uint64_t term_ = 0;
  Role role_ = Role::kReplica;
  std::string claimant_;
  std::string primary_;
  std::vector<LogEntry> entries_;
  std::vector<TermStart> term_starts_;
};

[[nodiscard]] const char* RoleName(Role role);

}  // namespace standin
