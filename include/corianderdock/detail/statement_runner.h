/// \file
/// The batches that make up each type of statement.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "corianderdock/detail/pq_connection.h"
#include "corianderdock/statement.h"

namespace corianderdock::detail {

/// Runs one statement on a connection. Confined to the connection's thread.
class StatementRunner {
 public:
  /// \pre `connection` outlives the run.
  StatementRunner(PqConnection& connection, Statement statement);

  /// Never throws; a broken connection becomes a failure.
  boost::asio::awaitable<StatementResult> Run();

 private:
  using Step = boost::asio::awaitable<StatementResult> (StatementRunner::*)();

  boost::asio::awaitable<StatementResult> Read();
  boost::asio::awaitable<StatementResult> Write();
  boost::asio::awaitable<StatementResult> Begin();
  boost::asio::awaitable<StatementResult> Inside();
  boost::asio::awaitable<StatementResult> Commit();
  boost::asio::awaitable<StatementResult> Rollback();
  boost::asio::awaitable<StatementResult> Resolve();
  boost::asio::awaitable<StatementResult> Ping();

  boost::asio::awaitable<StatementResult> RecordAndCommit(ResultSet result,
                                                          bool tombstone);
  boost::asio::awaitable<StatementResult> LookUp();
  boost::asio::awaitable<void> Abort();
  [[nodiscard]] PqQuery Guard() const;

  PqConnection& connection_;
  Statement statement_;
  bool commit_sent_ = false;
};

}  // namespace corianderdock::detail
