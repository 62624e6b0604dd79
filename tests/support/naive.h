/// \file
/// Ways of leaving out one safety mechanism each.
#pragma once

#include "corianderdock/policy.h"

namespace testing_support {

using corianderdock::Policy;
using corianderdock::Position;
using corianderdock::SheetVersion;

/// Acknowledges a write as soon as the primary committed it.
struct AcknowledgeBeforeReplication : Policy {
  bool Acknowledge(std::size_t, std::size_t) const override { return true; }
};

/// Shows a reader what only one server holds.
struct ReturnUnreplicatedReads : Policy {
  bool MayReturnRead(std::size_t, std::size_t) const override { return true; }
};

/// Promotes as soon as any server grants the term.
struct PromoteWithoutMajority : Policy {
  bool MayPromote(std::size_t grants, std::size_t) const override {
    return grants >= 1;
  }
};

/// Serves sessions without looking at their tokens.
struct IgnoreSessionToken : Policy {
  bool TokenReached(Position, Position) const override { return true; }
};

/// Serves copies without checking their age.
struct SkipStalenessCheck : Policy {
  bool VerifyAge() const override { return false; }
};

/// Retries writes without recording request ids.
struct SkipRequestIdRecording : Policy {
  bool RecordRequestIds() const override { return false; }
};

/// Reports requests whose answer was lost as not run.
struct ReportLostAnswerAsNotRun : Policy {
  bool LostAnswerInDoubt() const override { return false; }
};

/// Returns connections to the pool after a time-out.
struct ReuseConnectionsInDoubt : Policy {
  bool CloseInDoubt() const override { return false; }
};

/// Lets other work use the connection of an open transaction.
struct ShareTransactionConnections : Policy {
  bool PinTransactions() const override { return false; }
};

/// Installs whatever sheet it is given.
struct AcceptAnySheet : Policy {
  bool AcceptSheet(SheetVersion, SheetVersion) const override { return true; }
};

/// Sends new work to servers that are leaving.
struct RouteToLeavingServers : Policy {
  bool AvoidLeaving() const override { return false; }
};

/// Ends at once when told to drain.
struct ExitWithoutDraining : Policy {
  bool FinishBeforeExit() const override { return false; }
};

}  // namespace testing_support
