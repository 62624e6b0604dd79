/// \file
/// The README's first command: one pass over what the system does.
#pragma once

namespace bench {

/// Starts a deployment, checks each step and prints it. Returns 0 only when
/// every step held.
int RunDemo();

}  // namespace bench
