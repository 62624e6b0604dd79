/// \file
/// Decides how the proxy continues after an attempt to run a statement on a
/// server.
#pragma once

#include "corianderdock/session/statement.h"

namespace corianderdock::session {

/// How an attempt ended.
enum class AttemptEnd {
  kNotRun,    ///< the server says so, or nothing was sent
  kFailed,    ///< the statement ran and failed
  kTimedOut,  ///< the server's time limit expired
  kLost,      ///< sent, but not answered
};

/// What was attempted.
enum class AttemptKind {
  kRead,                ///< a read outside a transaction
  kWrite,               ///< a write outside a transaction
  kFirstInTransaction,  ///< the first statement of a transaction
  kLaterInTransaction,  ///< a later statement of a transaction
  kCommitReadOnly,      ///< commit of a transaction that sent no write
  kCommitWrites,        ///< commit of a transaction that sent a write
};

/// What to do next.
enum class Verdict {
  kRetry,    ///< retry on any server; nothing was committed
  kAbort,    ///< end the transaction; guarantee that nothing is committed
  kFailed,   ///< report that it ran and failed
  kTimeout,  ///< report a time-out; the effect is unspecified
  kUnsure,   ///< report that it may have run
};

/// Decides what to do after an attempt. An unanswered write or commit is not
/// retried, as it may have run, and not reported as aborted.
[[nodiscard]] Verdict DecideVerdict(AttemptKind kind, AttemptEnd end) noexcept;

/// Names for log lines.
[[nodiscard]] const char* NameOf(AttemptEnd end) noexcept;
[[nodiscard]] const char* NameOf(Verdict verdict) noexcept;
[[nodiscard]] const char* NameOf(ErrorCode code) noexcept;

/// Returns how an attempt ended that was answered with `code`.
[[nodiscard]] AttemptEnd AttemptEndOf(ErrorCode code) noexcept;

}  // namespace corianderdock::session
