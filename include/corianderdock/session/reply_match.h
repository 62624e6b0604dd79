/// \file
/// Decides whether a reply belongs to the command that awaits one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "corianderdock/session/statement.h"

namespace corianderdock::session {

/// Where a reply on a server connection comes from.
///
/// Servers answer the commands of a connection in order, but may send a reply a
/// second time, at any later moment. What tells two replies apart is the
/// receipt, which no two have, and the form that the reply to each command has.
enum class ReplyOrigin {
  kOwn,             ///< of the command
  kPossibleRepeat,  ///< of the command, or the same as its repeated predecessor
  kRepeat,          ///< not of the command, whose own reply follows
  kForeign,         ///< can't be explained; nothing that follows can be matched
};

/// What determines the form of the reply to a command.
struct CommandForm {
  Verb verb = Verb::kStatus;
  bool in_transaction = false;  ///< before the command runs
};

/// What a connection has received before a reply.
struct SeenReply {
  bool reply = false;    ///< the same reply, to the letter
  bool receipt = false;  ///< its receipt, or an error of its code and text
  TimePoint sent;  ///< of the command that the same reply first belonged to
};

/// Whether the reply to a command that succeeds has a receipt.
[[nodiscard]] bool HasReceipt(Verb verb) noexcept;

/// Whether a reply has the form of the one to a command.
[[nodiscard]] bool HasReplyForm(const CommandForm& form, const Reply& reply);

/// Returns the origin of a reply. With `repeats_errors`, an error of a code and
/// text that came before may be its repeat even if its position differs.
[[nodiscard]] ReplyOrigin OriginOf(const CommandForm& form, const Reply& reply,
                                   const SeenReply& seen, bool repeats_errors);

/// Whether a reply that no command awaits leaves the connection usable: it is a
/// repeat, or has nothing that another command could return.
[[nodiscard]] bool IsHarmlessExtra(const Reply& reply, const SeenReply& seen);

/// Names for counters and log lines.
[[nodiscard]] const char* NameOf(ReplyOrigin origin) noexcept;
[[nodiscard]] const char* NameOf(Verb verb) noexcept;

/// The replies of one server connection. Not thread-safe.
class ReplyHistory {
 public:
  /// Replies with receipts, and errors, after which the history is full.
  static constexpr std::size_t kMaxReceipts = 4096;
  static constexpr std::size_t kMaxErrors = 256;
  /// Other replies remembered. One below the highest position counts as known
  /// even if it is forgotten.
  static constexpr std::size_t kMaxOthers = 256;

  /// Returns what came before a reply, and adds the reply if it is new. `sent`
  /// is the time of the command that awaits it.
  [[nodiscard]] SeenReply FindOrAdd(const Reply& reply, TimePoint sent);

  /// Whether the connection should carry no more commands: the history would
  /// outgrow its limits, and it forgets no receipt and no error.
  [[nodiscard]] bool full() const {
    return receipts_.size() >= kMaxReceipts || errors_.size() >= kMaxErrors;
  }

 private:
  struct Entry {
    std::uint64_t reply = 0;     ///< hash of all fields
    std::uint64_t identity = 0;  ///< hash of the receipt or the error
    TimePoint sent;
  };

  std::unordered_map<std::uint64_t, Entry> receipts_;  ///< by `identity`
  std::vector<Entry> errors_;
  std::vector<Entry> others_;
  std::size_t oldest_ = 0;           ///< of `others_`, replaced next
  std::optional<Position> highest_;  ///< position of any reply
};

}  // namespace corianderdock::session
