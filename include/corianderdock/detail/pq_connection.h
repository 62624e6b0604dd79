/// \file
/// Asynchronous libpq connection on Asio.
#pragma once

#include <libpq-fe.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "corianderdock/request.h"

namespace corianderdock::detail {

/// One statement of a pipelined batch.
struct PqQuery {
  std::string sql;
  std::vector<std::optional<std::string>> params;
};

/// Result of one statement.
struct PqReply {
  enum class Status { kOk, kError, kSkipped } status = Status::kSkipped;
  std::string sqlstate;
  std::string message;
  ResultSet result;
};

/// A connection in pipeline mode. Confined to its io_context's thread. Must be
/// discarded after a `PqConnectionError`.
class PqConnection {
 public:
  explicit PqConnection(boost::asio::io_context& io);
  ~PqConnection();
  PqConnection(const PqConnection&) = delete;
  PqConnection& operator=(const PqConnection&) = delete;

  /// Connects; throws `PqConnectionError` on failure.
  boost::asio::awaitable<void> Connect(std::string conninfo);

  /// Sends a batch, ended by one sync, and returns a reply for each statement.
  /// Statements after a failed one are skipped. Throws `PqConnectionError` when
  /// the connection fails.
  boost::asio::awaitable<std::vector<PqReply>> Run(std::vector<PqQuery> batch);

  /// Cancels pending waits, so that a running batch throws.
  void Close();

  [[nodiscard]] bool closed() const noexcept { return closed_; }
  [[nodiscard]] bool connected() const noexcept { return connected_; }

 private:
  struct ConnectionDeleter {
    void operator()(PGconn* it) const { PQfinish(it); }
  };

  boost::asio::awaitable<void> WaitFor(
      boost::asio::posix::stream_descriptor::wait_type type);
  void AttachDescriptor();
  [[nodiscard]] std::string LastError() const;

  std::unique_ptr<PGconn, ConnectionDeleter> connection_;
  boost::asio::posix::stream_descriptor descriptor_;
  bool closed_ = false;
  bool connected_ = false;
};

/// Thrown when the connection has failed.
struct PqConnectionError {
  std::string message;
};

}  // namespace corianderdock::detail
