/// \file
/// What the result of an attempt at a server means for the client.
#pragma once

#include "corianderdock/session/statement.h"

namespace corianderdock::session {

/// How an attempt ended at the server.
enum class AttemptEnd {
  kNotRun,    ///< an answer that says so, or nothing was sent
  kFailed,    ///< it ran and failed
  kTimedOut,  ///< it ran into the server's limit
  kLost,      ///< sent, and no answer came
};

/// What the attempt asked of the server.
enum class AttemptKind {
  kRead,                ///< a read of its own
  kWrite,               ///< a write of its own
  kFirstInTransaction,  ///< the first statement of a transaction
  kLaterInTransaction,  ///< a later statement of a transaction
  kCommitReadOnly,      ///< the end of a transaction that sent no write
  kCommitWrites,        ///< the end of a transaction that sent a write
};

/// What to do next.
enum class Verdict {
  kRetry,    ///< run it again, here or elsewhere; nothing was kept
  kAbort,    ///< end the transaction and promise that nothing is kept
  kFailed,   ///< tell that it ran and failed
  kTimeout,  ///< tell that it ran out of time; nothing is promised
  kUnsure,   ///< tell that it may have run
};

/// The one table of outcomes. A write or commit whose answer is missing is
/// neither repeated nor promised.
[[nodiscard]] Verdict DecideVerdict(AttemptKind kind, AttemptEnd end) noexcept;

/// Words for logs and dumps.
[[nodiscard]] const char* NameOf(AttemptEnd end) noexcept;
[[nodiscard]] const char* NameOf(Verdict verdict) noexcept;
[[nodiscard]] const char* NameOf(ErrorCode code) noexcept;

/// How an answer with `code` ended the attempt.
[[nodiscard]] AttemptEnd AttemptEndOf(ErrorCode code) noexcept;

}  // namespace corianderdock::session
