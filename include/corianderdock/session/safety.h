/// \file
/// Decisions that the guarantees of the session proxy depend on. Each can be
/// overridden on its own, so that tests can show which failure it prevents.
#pragma once

#include <cstddef>

namespace corianderdock::session {

/// Safety decisions. Only tests override the defaults. Thread-compatible:
/// const methods without state.
class Safety {
 public:
  virtual ~Safety() = default;

  /// Whether `fenced` of a service's `replicas` are enough to choose the one to
  /// promote.
  [[nodiscard]] virtual bool FencedReplicasSuffice(std::size_t fenced,
                                                   std::size_t replicas) const {
    return fenced >= replicas;
  }

  /// Whether an abandoned claim leaves its replicas fenced until no promotion
  /// can rely on the fences.
  [[nodiscard]] virtual bool KeepFencesOnAbandon() const { return true; }

  /// Whether a read of the latest data requires proof that its server is the
  /// primary.
  [[nodiscard]] virtual bool RequirePrimaryProof() const { return true; }

  /// Whether reads of the latest data and acknowledged commits require proof by
  /// a replica that the primary was not replaced.
  [[nodiscard]] virtual bool RequireReplicaProof() const { return true; }

  /// Whether servers that may hold acknowledged commits are recorded in the
  /// store, for instances that start after these left the list.
  [[nodiscard]] virtual bool RememberMembers() const { return true; }

  /// Whether an acknowledged commit counts only once no order of a promotion
  /// that may still be executed can lose it.
  [[nodiscard]] virtual bool ExcludeLateOrders() const { return true; }

  /// Whether a server must have reached the log position that the staleness
  /// bound of a read requires.
  [[nodiscard]] virtual bool RequireFreshPosition() const { return true; }

  /// Whether a server must have the session's own commits (read-your-writes).
  [[nodiscard]] virtual bool RequireOwnCommits() const { return true; }

  /// Whether an unanswered write is reported as possibly executed.
  [[nodiscard]] virtual bool UnansweredWriteInDoubt() const { return true; }

  /// Whether a connection is set to the session's values before it runs a
  /// statement of the session.
  [[nodiscard]] virtual bool SynchronizeValues() const { return true; }

  /// Whether a statement runs only over a connection of its tenant.
  [[nodiscard]] virtual bool SeparateTenants() const { return true; }
};

/// The decisions used outside tests.
[[nodiscard]] inline const Safety& DefaultSafety() {
  static const Safety kSafety;
  return kSafety;
}

}  // namespace corianderdock::session
