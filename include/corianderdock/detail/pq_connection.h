/// \file
/// One libpq connection driven by Asio.
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

/// What one statement gave.
struct PqReply {
  enum class Status { kOk, kError, kSkipped } status = Status::kSkipped;
  std::string sqlstate;
  std::string message;
  ResultSet result;
};

/// A connection in pipeline mode. Confined to its context's thread. After a
/// `PqBroken` it must be discarded.
class PqConnection {
 public:
  explicit PqConnection(boost::asio::io_context& io);
  ~PqConnection();
  PqConnection(const PqConnection&) = delete;
  PqConnection& operator=(const PqConnection&) = delete;

  /// Connects; throws `PqBroken` on failure.
  boost::asio::awaitable<void> Connect(std::string conninfo);

  /// Sends a batch with one sync and returns a reply for each statement;
  /// throws `PqBroken` when the connection fails.
  boost::asio::awaitable<std::vector<PqReply>> Run(std::vector<PqQuery> batch);

  /// Cancels waits, so that a running batch throws.
  void Close();

  [[nodiscard]] bool closed() const noexcept { return closed_; }
  [[nodiscard]] bool connected() const noexcept { return connected_; }

 private:
  struct Finisher {
    void operator()(PGconn* it) const { PQfinish(it); }
  };

  boost::asio::awaitable<void> WaitFor(
      boost::asio::posix::stream_descriptor::wait_type type);
  void Adopt();
  [[nodiscard]] std::string LastError() const;

  std::unique_ptr<PGconn, Finisher> connection_;
  boost::asio::posix::stream_descriptor descriptor_;
  bool closed_ = false;
  bool connected_ = false;
};

/// The connection failed.
struct PqBroken {
  std::string message;
};

}  // namespace corianderdock::detail
