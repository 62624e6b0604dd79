/// \file
/// The decisions of the session proxy that uphold its promises, replaceable
/// one by one so that tests can show what each of them prevents.
#pragma once

#include <cstddef>

namespace corianderdock::session {

/// Safety decisions. The defaults are the ones to use. Thread-compatible:
/// const methods without state.
class Safety {
 public:
  virtual ~Safety() = default;

  /// Whether `held` of a service's `replicas` suffice to choose one to promote.
  [[nodiscard]] virtual bool FencedReplicasSuffice(std::size_t held,
                                                   std::size_t replicas) const {
    return held >= replicas;
  }

  /// Whether an abandoned claim leaves its replicas held until no promotion
  /// can rely on them.
  [[nodiscard]] virtual bool KeepFencesOnAbandon() const { return true; }

  /// Whether a read of the latest data needs proof that its server leads.
  [[nodiscard]] virtual bool RequirePrimaryProof() const { return true; }

  /// Whether a copy must hold the position that a read's age asks for.
  [[nodiscard]] virtual bool RequireFreshPosition() const { return true; }

  /// Whether a copy must hold the session's own commits.
  [[nodiscard]] virtual bool RequireOwnCommits() const { return true; }

  /// Whether a write without an answer counts as possibly run.
  [[nodiscard]] virtual bool UnansweredWriteInDoubt() const { return true; }

  /// Whether a connection gets a session's values before its statement.
  [[nodiscard]] virtual bool SynchronizeValues() const { return true; }
};

/// The decisions to use.
[[nodiscard]] inline const Safety& DefaultSafety() {
  static const Safety kSafety;
  return kSafety;
}

}  // namespace corianderdock::session
