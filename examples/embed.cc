/// \file
/// Uses parts of the library without the daemon: the fair statement queue of a
/// server and a session token.
#include <iostream>

#include "corianderdock/corianderdock.h"

int main() {
  using namespace corianderdock;  // NOLINT: a short example

  // Long statements may use all slots but one; short statements run first.
  ServerQueue queue;
  QueueItem report;
  report.work = 1;
  report.service = "reports";
  report.is_long = true;
  report.cost = Milliseconds(400);
  QueueItem claim;
  claim.work = 2;
  claim.service = "claims";
  claim.cost = Milliseconds(5);
  queue.Push(report, 1.0);
  queue.Push(claim, 1.0);
  const auto first = queue.Pop({.slots = 2});
  if (!first || first->work != claim.work) return 1;

  // The token carries the log positions that the session has seen. A replica
  // may serve the session only if its log contains them.
  SessionToken token;
  token.Merge("ledger-1", {3, 120});
  const auto decoded = SessionToken::Decode(token.Encode());
  if (!decoded) return 1;
  const Position replica{3, 119};
  const bool reached = LogContains(replica, decoded->At("ledger-1"));
  std::cout << "claim first, replica " << (reached ? "ready" : "behind")
            << "\n";
  return reached ? 1 : 0;
}
