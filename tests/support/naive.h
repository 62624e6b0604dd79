/// \file
/// Policies that each disable one safety mechanism.
#pragma once

#include "corianderdock/policy.h"

namespace testing_support {

using corianderdock::Policy;
using corianderdock::Position;
using corianderdock::SheetVersion;

/// Acknowledges a write as soon as the primary has committed it, before it is
/// replicated.
struct AcknowledgeBeforeReplication : Policy {
  bool Acknowledge(std::size_t, std::size_t) const override { return true; }
};

/// Returns data to a reader before a majority of servers has it.
struct ReturnUnreplicatedReads : Policy {
  bool MayReturnRead(std::size_t, std::size_t) const override { return true; }
};

/// Promotes as soon as any server grants the term.
struct PromoteWithoutMajority : Policy {
  bool MayPromote(std::size_t grants, std::size_t) const override {
    return grants >= 1;
  }
};

/// Serves sessions without waiting for the position in their token.
struct IgnoreSessionToken : Policy {
  bool TokenReached(Position, Position) const override { return true; }
};

/// Serves reads from replicas without checking their staleness.
struct SkipStalenessCheck : Policy {
  bool VerifyAge() const override { return false; }
};

/// Retries writes without recording request ids.
struct SkipRequestIdRecording : Policy {
  bool RecordRequestIds() const override { return false; }
};

/// Reports a request as not run if its answer was lost.
struct ReportLostAnswerAsNotRun : Policy {
  bool LostAnswerInDoubt() const override { return false; }
};

/// Returns a connection to the pool after a statement time-out, although the
/// statement may still be running.
struct ReuseConnectionsInDoubt : Policy {
  bool CloseInDoubt() const override { return false; }
};

/// Runs other work on the connection of an open transaction.
struct ShareTransactionConnections : Policy {
  bool PinTransactions() const override { return false; }
};

/// Installs any sheet it receives, including older versions.
struct AcceptAnySheet : Policy {
  bool AcceptSheet(SheetVersion, SheetVersion) const override { return true; }
};

/// Sends new work to servers that are leaving.
struct RouteToLeavingServers : Policy {
  bool AvoidLeaving() const override { return false; }
};

/// Exits as soon as a drain is requested, without finishing open requests.
struct ExitWithoutDraining : Policy {
  bool FinishBeforeExit() const override { return false; }
};

}  // namespace testing_support
