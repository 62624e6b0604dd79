/// \file
/// Decisions that uphold the guarantees. Tests override them one at a time to
/// show which fault each of them prevents.
#pragma once

#include <cstddef>

#include "corianderdock/types.h"

namespace corianderdock {

/// Safety decisions of an instance. Only tests override the defaults.
/// Thread-safe: all methods are const and there is no state.
class Policy {
 public:
  virtual ~Policy() = default;

  /// Whether a write is acknowledged after `replicated` servers, the primary
  /// included, have it in its term.
  [[nodiscard]] virtual bool Acknowledge(std::size_t replicated,
                                         std::size_t majority) const {
    return replicated >= majority;
  }

  /// Whether data that `replicated` servers have is returned to a client.
  [[nodiscard]] virtual bool MayReturnRead(std::size_t replicated,
                                           std::size_t majority) const {
    return replicated >= majority;
  }

  /// Whether a server may be promoted after `grants` servers granted the term.
  [[nodiscard]] virtual bool MayPromote(std::size_t grants,
                                        std::size_t majority) const {
    return grants >= majority;
  }

  /// Whether data at log position `at` is recent enough for a session that has
  /// seen `token`.
  [[nodiscard]] virtual bool TokenReached(Position at, Position token) const {
    return LogContains(at, token);
  }

  /// Whether a read is verified against its staleness bound.
  [[nodiscard]] virtual bool VerifyAge() const { return true; }

  /// Whether a write records its request id, which makes it idempotent.
  [[nodiscard]] virtual bool RecordRequestIds() const { return true; }

  /// Whether the server checks the term of a write before running it.
  [[nodiscard]] virtual bool GuardTerm() const { return true; }

  /// Whether a request whose answer was lost counts as possibly executed.
  [[nodiscard]] virtual bool LostAnswerInDoubt() const { return true; }

  /// Whether a connection in an unknown state, as after a time-out, is closed
  /// instead of reused.
  [[nodiscard]] virtual bool CloseInDoubt() const { return true; }

  /// Whether a transaction runs on a pinned connection.
  [[nodiscard]] virtual bool PinTransactions() const { return true; }

  /// Whether a sheet of version `offered` replaces version `current`.
  [[nodiscard]] virtual bool AcceptSheet(SheetVersion current,
                                         SheetVersion offered) const {
    return offered > current;
  }

  /// Whether new statements avoid servers that are leaving.
  [[nodiscard]] virtual bool AvoidLeaving() const { return true; }

  /// Whether draining waits for requests in flight.
  [[nodiscard]] virtual bool FinishBeforeExit() const { return true; }
};

}  // namespace corianderdock
