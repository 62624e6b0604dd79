/// \file
/// Backend connections through libpq's asynchronous pipeline interface.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "corianderdock/effects.h"
#include "corianderdock/events.h"

namespace corianderdock::net {

/// Connection parameters for backend servers.
struct BackendOptions {
  std::string user = "corianderdock";
  std::string database = "postgres";
  std::string application_name;  ///< ZONE/INSTANCE
  Duration connect_timeout = std::chrono::seconds(2);
};

/// Runs statements and group operations for one I/O thread. Not thread-safe;
/// to be called from that thread, on which it also passes events to `sink`.
class BackendClient {
 public:
  using Sink = std::function<void(Event)>;

  /// \pre `io` outlives this object.
  BackendClient(boost::asio::io_context& io, BackendOptions options, Sink sink);
  ~BackendClient();

  /// Opens a connection; reports `ConnectResult`.
  void Open(const OpenConnection& effect);

  /// Closes a connection; a statement running on it is reported as lost, or as
  /// in doubt if its commit was sent.
  void Close(ConnectionId connection);

  /// Runs a statement; reports `StatementDone`.
  void Run(const RunStatement& effect);

  /// Runs a group operation on the server's control connection; reports
  /// `GroupOperationResult`. A time-out closes that connection.
  void RunOperation(const RunGroupOperation& effect);

  [[nodiscard]] std::size_t size() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace corianderdock::net
