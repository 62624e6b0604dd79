/// \file
/// One running instance: its threads, its network adapters and the reducer that
/// connects them.
#pragma once

#include <memory>

#include "corianderdock/settings.h"

namespace corianderdock {

/// Runs an instance. The control thread owns the reducer and its state; traffic
/// threads perform the network I/O.
///
/// \code
/// Node node(settings);
/// node.Run();  // until drained or stopped
/// \endcode
class Node {
 public:
  /// Binds the listeners; throws `boost::system::system_error` when an
  /// address cannot be bound.
  explicit Node(Settings settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Serves until the instance has drained. The calling thread becomes the
  /// control thread. SIGTERM and SIGINT begin draining.
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace corianderdock
