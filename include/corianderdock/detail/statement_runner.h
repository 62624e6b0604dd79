/// \file
/// Execution of statements: the SQL batches for each statement type.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "corianderdock/detail/pq_connection.h"
#include "corianderdock/statement.h"

namespace corianderdock::detail {

/// Runs one statement on a connection. Confined to the connection's thread.
class StatementRunner {
 public:
  /// \pre `connection` outlives this object.
  StatementRunner(PqConnection& connection, Statement statement);

  /// Runs the statement. Never throws: a failed connection is returned as a
  /// `StatementFailure`.
  boost::asio::awaitable<StatementResult> Run();

 private:
  using Handler =
      boost::asio::awaitable<StatementResult> (StatementRunner::*)();

  boost::asio::awaitable<StatementResult> Read();
  boost::asio::awaitable<StatementResult> Write();
  boost::asio::awaitable<StatementResult> Begin();
  boost::asio::awaitable<StatementResult> RunInTransaction();
  boost::asio::awaitable<StatementResult> Commit();
  boost::asio::awaitable<StatementResult> Rollback();
  boost::asio::awaitable<StatementResult> Resolve();
  boost::asio::awaitable<StatementResult> Ping();

  boost::asio::awaitable<StatementResult> RecordAndCommit(ResultSet result,
                                                          bool tombstone);
  boost::asio::awaitable<StatementResult> ReadRecordedOutcome();
  boost::asio::awaitable<void> Abort();
  [[nodiscard]] PqQuery TermGuard() const;

  PqConnection& connection_;
  Statement statement_;
  bool commit_sent_ = false;
};

}  // namespace corianderdock::detail
