/// \file
/// Decides whether a refusal that may be a repeat was the command's own.
#pragma once

#include <cstddef>

#include "corianderdock/session/reply_match.h"

namespace corianderdock::session {

/// A command whose refusal equals an earlier one of its connection, so that it
/// may be a repeat of that one.
///
/// A ROLLBACK is sent behind the command. A server replies in order: once its
/// reply has come, so has that of the command. The refusal was then the
/// command's own, unless another reply came between that could be. Not
/// thread-safe.
class RefusalDoubt {
 public:
  enum class State {
    kOpen,      ///< more replies are needed
    kRefused,   ///< the refusal was the command's own
    kAnswered,  ///< this is the command's own reply; the refusal was a repeat
    kUnknown,   ///< can't be decided any more
  };

  /// `unsettled` is the number of commands without result before this one whose
  /// own replies may not have come yet. With `errors_decide`, none of them can
  /// be an error.
  /// \pre `CanDecide(command)`
  RefusalDoubt(const CommandForm& command, std::size_t unsettled,
               bool errors_decide)
      : command_(command),
        errors_decide_(errors_decide),
        new_ends_needed_(unsettled + 1) {}

  /// Whether the command's own reply differs from that of a ROLLBACK.
  [[nodiscard]] static bool CanDecide(const CommandForm& command) {
    return HasReceipt(command.verb);
  }

  /// Whether a reply has the form of that to a ROLLBACK.
  [[nodiscard]] static bool IsEnd(const Reply& reply);

  /// Adds the next reply of the connection.
  /// \pre The state was `kOpen` so far.
  [[nodiscard]] State Add(const Reply& reply, const SeenReply& seen);

 private:
  CommandForm command_;
  bool errors_decide_;
  /// Replies of the form of that to a ROLLBACK, none seen before, until one of
  /// them must be that to a ROLLBACK.
  std::size_t new_ends_needed_;
};

}  // namespace corianderdock::session
