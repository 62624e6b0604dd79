/// \file
/// One client connection of the stand-in server: PostgreSQL's frontend/backend
/// protocol version 3, simple and extended query.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "backend_store.h"

namespace standin {

struct SqlError {
  std::string code;
  std::string message;
};

struct StatementFinalizer {
  void operator()(sqlite3_stmt* it) const { sqlite3_finalize(it); }
};
using StatementHandle = std::unique_ptr<sqlite3_stmt, StatementFinalizer>;

/// Serves one connection until it closes. Confined to the store's thread.
class BackendSession {
 public:
  BackendSession(boost::asio::ip::tcp::socket socket, BackendStore& store);
  ~BackendSession();
  BackendSession(const BackendSession&) = delete;
  BackendSession& operator=(const BackendSession&) = delete;

  boost::asio::awaitable<void> Run();

 private:
  friend struct SessionAccess;
  using Bytes = std::string;

  boost::asio::awaitable<bool> Startup();
  boost::asio::awaitable<Bytes> ReadExactly(std::size_t n);
  boost::asio::awaitable<void> Flush();
  boost::asio::awaitable<void> SleepFor(std::chrono::microseconds duration);
  /// Waits while a fault cuts the client off; throws after the keepalive
  /// time-out.
  boost::asio::awaitable<void> WaitWhileUnreachable();
  boost::asio::awaitable<void> HandleMessage(char type, Bytes body);
  boost::asio::awaitable<void> SimpleQuery(const std::string& sql);
  boost::asio::awaitable<void> ExecutePortal();
  boost::asio::awaitable<std::optional<SqlError>> RunStatement(
      sqlite3_stmt* statement, bool describe);
  boost::asio::awaitable<std::optional<SqlError>> CommitTransaction();

  void Parse(std::string_view body);
  void Bind(std::string_view body);
  void Describe();
  std::optional<SqlError> Prepare(std::string sql, std::string* tail);
  std::optional<SqlError> BeginIfNeeded(bool is_write);
  std::optional<SqlError> StepRows(sqlite3_stmt* statement, bool describe);
  void Rollback();
  std::optional<SqlError> SqliteError(int code) const;

  void Put(char type, const Bytes& body);
  void PutError(const SqlError& error);
  void PutRowDescription(sqlite3_stmt* statement);
  void PutDataRow(sqlite3_stmt* statement);
  void PutComplete(sqlite3_stmt* statement, std::uint64_t rows);
  void PutReady();

  BackendStore& store_;
  boost::asio::ip::tcp::socket socket_;
  SqliteHandle db_;
  std::uint64_t id_ = 0;
  std::string client_zone_;  ///< application_name up to '/'
  bool connection_counted_ = false;
  bool explicit_transaction_ = false;
  bool read_only_ = false;
  bool transaction_failed_ = false;  ///< in a failed transaction block
  bool skip_to_sync_ = false;  ///< discard messages until Sync after an error
  std::uint64_t write_term_ = 0;  ///< term of the first write; 0 without one
  std::vector<std::string> written_statements_;
  LogPosition last_commit_;
  Milliseconds pending_sleep_{0};
  std::map<std::string, std::string, std::less<>> prepared_;
  std::string portal_sql_;
  std::vector<std::optional<std::string>> portal_params_;
  StatementHandle portal_;
  Bytes output_;
};

/// Registers the SQL functions of `session` on its database handle.
void RegisterFunctions(BackendSession& session);

}  // namespace standin
