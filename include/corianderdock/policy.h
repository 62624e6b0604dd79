/// \file
/// The decisions that uphold the guarantees, replaceable one by one so that
/// tests can show what each of them prevents.
#pragma once

#include <cstddef>

#include "corianderdock/types.h"

namespace corianderdock {

/// Safety decisions of an instance. The defaults are the ones to use.
/// Thread-compatible: const methods without state.
class Policy {
 public:
  virtual ~Policy() = default;

  /// Whether a write held by `holders` servers of its term is acknowledged.
  [[nodiscard]] virtual bool Acknowledge(std::size_t holders,
                                         std::size_t majority) const {
    return holders >= majority;
  }

  /// Whether data held by `holders` servers is shown to a reader.
  [[nodiscard]] virtual bool ShowRead(std::size_t holders,
                                      std::size_t majority) const {
    return holders >= majority;
  }

  /// Whether `grants` servers suffice to promote.
  [[nodiscard]] virtual bool MayPromote(std::size_t grants,
                                        std::size_t majority) const {
    return grants >= majority;
  }

  /// Whether data at `at` satisfies a session that has seen `token`.
  [[nodiscard]] virtual bool TokenReached(Position at, Position token) const {
    return LogContains(at, token);
  }

  /// Whether an answer is checked against the promised age.
  [[nodiscard]] virtual bool VerifyAge() const { return true; }

  /// Whether request ids are recorded with the write.
  [[nodiscard]] virtual bool RecordRequestIds() const { return true; }

  /// Whether a write checks the term on the server.
  [[nodiscard]] virtual bool GuardTerm() const { return true; }

  /// Whether a lost answer counts as possibly run.
  [[nodiscard]] virtual bool LostAnswerInDoubt() const { return true; }

  /// Whether a connection is closed after a time-out or doubt.
  [[nodiscard]] virtual bool CloseInDoubt() const { return true; }

  /// Whether a transaction keeps one connection to itself.
  [[nodiscard]] virtual bool PinTransactions() const { return true; }

  /// Whether a sheet of version `offered` replaces version `current`.
  [[nodiscard]] virtual bool AcceptSheet(SheetVersion current,
                                         SheetVersion offered) const {
    return offered > current;
  }

  /// Whether new work avoids servers that are leaving.
  [[nodiscard]] virtual bool AvoidLeaving() const { return true; }

  /// Whether draining waits for requests in flight.
  [[nodiscard]] virtual bool FinishBeforeExit() const { return true; }
};

}  // namespace corianderdock
