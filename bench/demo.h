/// \file
/// The demonstration that the README begins with: claims, reads, a failover and
/// a short load.
#pragma once

namespace bench {

/// Starts a deployment, runs each step and prints its result. Returns 0 when
/// all checks pass, otherwise 1.
int RunDemo();

}  // namespace bench
