#include "backend_session.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cctype>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "pg_wire.h"
#include "replication.h"

namespace standin {

namespace asio = boost::asio;
using asio::use_awaitable;

namespace {

constexpr std::uint32_t kProtocolVersion = 196608;
constexpr std::uint32_t kSslRequestCode = 80877103;
constexpr Milliseconds kLockRetryInterval{1};
constexpr Milliseconds kLockTimeout{2000};
constexpr Milliseconds kFaultPollInterval{20};
// A server closes the connection of a peer that it cannot reach.
constexpr Milliseconds kKeepaliveTimeout{2000};
constexpr std::size_t kMaxMessageBytes = 4 << 20;

}  // namespace

BackendSession::BackendSession(asio::ip::tcp::socket socket,
                               BackendStore& store)
    : store_(store), socket_(std::move(socket)) {}

BackendSession::~BackendSession() {
  if (connection_counted_) --store_.connections;
}

asio::awaitable<void> BackendSession::Run() {
  if (!co_await Startup()) co_return;
  PutReady();
  co_await Flush();
  for (;;) {
    const Bytes head = co_await ReadExactly(5);
    const std::uint32_t length = DecodeInt32(head.substr(1));
    if (length < 4 || length > kMaxMessageBytes) co_return;
    Bytes body = co_await ReadExactly(length - 4);
    if (head[0] == 'X') co_return;
    co_await WaitWhileUnreachable();
    co_await HandleMessage(head[0], std::move(body));
  }
}

asio::awaitable<bool> BackendSession::Startup() {
  for (;;) {
    const Bytes head = co_await ReadExactly(8);
    const std::uint32_t length = DecodeInt32(head);
    const std::uint32_t code = DecodeInt32(head.substr(4));
    if (code == kReplicationRequestCode) {
      co_await ServeReplica(std::move(socket_), store_);
      co_return false;
    }
    if (code == kSslRequestCode) {
      output_ += 'N';
      co_await Flush();
      continue;
    }
    if (code != kProtocolVersion || length < 8 || length > 10000) {
      co_return false;
    }
    MessageReader reader(co_await ReadExactly(length - 8));
    for (std::string key = reader.ReadString(); !key.empty();
         key = reader.ReadString()) {
      const std::string value = reader.ReadString();
      if (key == "application_name")
        client_zone_ = value.substr(0, value.find('/'));
    }
    break;
  }
  id_ = store_.next_session_id++;
  co_await WaitWhileUnreachable();
  if (store_.connections >= store_.options.connection_limit) {
    ++store_.refused_connections;
    PutError({"53300", "too many connections"});
    co_await Flush();
    co_return false;
  }
  connection_counted_ = true;
  ++store_.connections;
  store_.peak_connections =
      std::max(store_.peak_connections, store_.connections);
  co_await SleepFor(store_.options.connect_delay);
  db_ = store_.OpenHandle();
  RegisterFunctions(*this);
  Put('R', EncodeInt32(0));
  using std::string_literals::operator""s;
  Put('S',
      "server_version\0"s
      "15.0\0"s);
  Put('S',
      "client_encoding\0"s
      "UTF8\0"s);
  Put('S',
      "standard_conforming_strings\0"s
      "on\0"s);
  Put('K', EncodeInt32(static_cast<std::uint32_t>(id_)) + EncodeInt32(0));
  co_return true;
}

asio::awaitable<BackendSession::Bytes> BackendSession::ReadExactly(
    std::size_t n) {
  Bytes bytes(n, '\0');
  co_await asio::async_read(socket_, asio::buffer(bytes), use_awaitable);
  co_return bytes;
}

asio::awaitable<void> BackendSession::Flush() {
  Bytes bytes = std::move(output_);
  output_.clear();
  co_await asio::async_write(socket_, asio::buffer(bytes), use_awaitable);
}

asio::awaitable<void> BackendSession::SleepFor(
    std::chrono::microseconds duration) {
  if (duration.count() <= 0) co_return;
  asio::steady_timer timer(store_.io, duration);
  co_await timer.async_wait(use_awaitable);
}

asio::awaitable<void> BackendSession::WaitWhileUnreachable() {
  const auto deadline = std::chrono::steady_clock::now() + kKeepaliveTimeout;
  while (store_.faults.cut_zones.contains(client_zone_) ||
         id_ < store_.faults.silence_before) {
    co_await SleepFor(kFaultPollInterval);
    if (std::chrono::steady_clock::now() > deadline) {
      throw std::runtime_error(
          "client unreachable for longer than the keepalive time-out");
    }
  }
}

asio::awaitable<void> BackendSession::HandleMessage(char type, Bytes body) {
  if (type == 'S') {
    if (!explicit_transaction_ && sqlite3_get_autocommit(db_.get()) == 0) {
      std::optional<SqlError> error;
      if (skip_to_sync_) {
        Rollback();
      } else {
        error = co_await CommitTransaction();
      }
      if (error) PutError(*error);
    }
    skip_to_sync_ = false;
    PutReady();
    if (client_zone_ != store_.options.zone) {
      co_await SleepFor(2 * store_.options.zone_delay);
    }
    co_await WaitWhileUnreachable();
    co_await Flush();
    co_return;
  }
  if (type == 'Q') {
    co_await SimpleQuery(MessageReader(body).ReadString());
    co_await WaitWhileUnreachable();
    co_await Flush();
    co_return;
  }
  if (type == 'H') co_await Flush();
  if (skip_to_sync_) co_return;
  if (type == 'P') Parse(body);
  if (type == 'B') Bind(body);
  if (type == 'D') Describe();
  if (type == 'E') co_await ExecutePortal();
  if (type == 'C') Put('3', "");
}

void BackendSession::Parse(std::string_view body) {
  MessageReader reader(body);
  const std::string name = reader.ReadString();
  prepared_[name] = reader.ReadString();
  Put('1', "");
}

void BackendSession::Bind(std::string_view body) {
  MessageReader reader(body);
  reader.ReadString();
  portal_sql_ = prepared_[reader.ReadString()];
  const std::uint16_t formats = reader.ReadUint16();
  for (int n = 0; n < formats; ++n) reader.ReadUint16();
  portal_params_.assign(reader.ReadUint16(), std::nullopt);
  for (auto& it : portal_params_) {
    const std::uint32_t length = reader.ReadUint32();
    if (length != 0xffffffff) it = reader.ReadBytes(length);
  }
  std::string tail;
  std::optional<SqlError> error = Prepare(portal_sql_, &tail);
  if (!error && !FirstWord(tail).empty()) {
    error = SqlError{"42601", "multiple commands in a prepared statement"};
  }
  if (error) {
    PutError(*error);
    skip_to_sync_ = true;
    return;
  }
  Put('2', "");
}

std::optional<SqlError> BackendSession::Prepare(std::string sql,
                                                std::string* tail) {
  // SQLite has no read-only transactions. A comment marks the statement, and
  // RunStatement finds the mark in its text.
  constexpr std::string_view kReadOnly = "BEGIN READ ONLY";
  if (sql.starts_with(kReadOnly)) {
    sql.replace(0, kReadOnly.size(), "BEGIN /* READ ONLY */");
  }
  sqlite3_stmt* statement = nullptr;
  const char* rest = nullptr;
  portal_.reset();
  const int code =
      sqlite3_prepare_v2(db_.get(), sql.c_str(), -1, &statement, &rest);
  portal_.reset(statement);
  if (rest != nullptr) *tail = rest;
  if (code != SQLITE_OK) return SqliteError(code);
  for (std::size_t n = 0; statement != nullptr && n < portal_params_.size();
       ++n) {
    const std::string name = "$" + std::to_string(n + 1);
    const int slot = sqlite3_bind_parameter_index(statement, name.c_str());
    const auto& value = portal_params_[n];
    if (slot == 0 || !value) continue;
    if (IsInteger(*value)) {
      sqlite3_bind_int64(statement, slot, std::stoll(*value));
    } else {
      sqlite3_bind_text(statement, slot, value->data(),
                        static_cast<int>(value->size()), SQLITE_TRANSIENT);
    }
  }
  return std::nullopt;
}

void BackendSession::Describe() {
  if (portal_ && sqlite3_column_count(portal_.get()) > 0) {
    PutRowDescription(portal_.get());
  } else {
    Put('n', "");
  }
}

asio::awaitable<void> BackendSession::ExecutePortal() {
  if (!portal_) {
    Put('I', "");
    co_return;
  }
  auto error = co_await RunStatement(portal_.get(), false);
  if (error) {
    PutError(*error);
    skip_to_sync_ = true;
    if (explicit_transaction_) transaction_failed_ = true;
  }
  portal_.reset();
}

asio::awaitable<void> BackendSession::SimpleQuery(const std::string& sql) {
  std::string rest = sql;
  portal_params_.clear();
  bool any_statement = false;
  while (!FirstWord(rest).empty()) {
    std::string tail;
    auto error = Prepare(rest, &tail);
    if (!error && portal_) error = co_await RunStatement(portal_.get(), true);
    portal_.reset();
    any_statement = true;
    if (error) {
      PutError(*error);
      if (explicit_transaction_) transaction_failed_ = true;
      break;
    }
    rest = tail;
  }
  if (!any_statement) Put('I', "");
  if (!explicit_transaction_ && sqlite3_get_autocommit(db_.get()) == 0) {
    if (auto error = co_await CommitTransaction()) PutError(*error);
  }
  PutReady();
}

asio::awaitable<std::optional<SqlError>> BackendSession::RunStatement(
    sqlite3_stmt* statement, bool describe) {
  const std::string sql = sqlite3_sql(statement);
  const std::string word = FirstWord(sql);
  if (word == "ROLLBACK") {
    Rollback();
    Put('C', std::string("ROLLBACK") + '\0');
    co_return std::nullopt;
  }
  if (transaction_failed_) {
    if (word == "COMMIT" || word == "END") {
      Rollback();
      Put('C', std::string("ROLLBACK") + '\0');
      co_return std::nullopt;
    }
    co_return SqlError{"25P02", "current transaction is aborted"};
  }
  if (word == "BEGIN") {
    explicit_transaction_ = true;
    read_only_ = sql.find("READ ONLY") != std::string::npos;
    Put('C', std::string("BEGIN") + '\0');
    co_return std::nullopt;
  }
  if (word == "COMMIT" || word == "END") {
    auto error = co_await CommitTransaction();
    if (!error) Put('C', std::string("COMMIT") + '\0');
    co_return error;
  }
  const bool is_write = sqlite3_stmt_readonly(statement) == 0;
  if (is_write && (read_only_ || store_.log.role() != Role::kPrimary)) {
    co_return SqlError{"25006", "cannot write in a read-only transaction"};
  }
  const bool takes_slot = !IsControlStatement(sql);
  if (takes_slot) {
    co_await store_.AcquireSlot();
    co_await SleepFor(store_.options.statement_time);
  }
  const auto deadline = std::chrono::steady_clock::now() + kLockTimeout;
  std::optional<SqlError> error;
  const std::size_t output_size = output_.size();
  for (;;) {
    error = BeginIfNeeded(is_write);
    if (!error) error = StepRows(statement, describe);
    if (!error || error->code != "55P03" ||
        std::chrono::steady_clock::now() > deadline) {
      break;
    }
    output_.resize(output_size);
    sqlite3_reset(statement);
    co_await SleepFor(kLockRetryInterval);
  }
  if (!error && is_write) {
    char* text = sqlite3_expanded_sql(statement);
    written_statements_.emplace_back(text);
    sqlite3_free(text);
  }
  if (!error && read_only_) {
    // In a multi-version database a reader does not block replication. SQLite's
    // read lock would, so it is released after each statement.
    sqlite3_reset(statement);
    sqlite3_exec(db_.get(), "COMMIT", nullptr, nullptr, nullptr);
  }
  if (takes_slot) {
    ++store_.statements_run;
    co_await SleepFor(std::exchange(pending_sleep_, Milliseconds(0)));
    store_.ReleaseSlot();
  }
  co_return error;
}

std::optional<SqlError> BackendSession::BeginIfNeeded(bool is_write) {
  if (sqlite3_get_autocommit(db_.get()) != 0) {
    // A deferred transaction takes its read snapshot at the first statement.
    const int code =
        sqlite3_exec(db_.get(), is_write ? "BEGIN IMMEDIATE" : "BEGIN", nullptr,
                     nullptr, nullptr);
    if (code != SQLITE_OK) return SqliteError(code);
  }
  if (is_write && write_term_ == 0) write_term_ = store_.log.term();
  return std::nullopt;
}

std::optional<SqlError> BackendSession::StepRows(sqlite3_stmt* statement,
                                                 bool describe) {
  std::uint64_t rows = 0;
  const bool has_rows = sqlite3_column_count(statement) > 0;
  if (describe && has_rows) PutRowDescription(statement);
  int code = sqlite3_step(statement);
  for (; code == SQLITE_ROW; code = sqlite3_step(statement)) {
    PutDataRow(statement);
    ++rows;
  }
  if (code != SQLITE_DONE) return SqliteError(code);
  PutComplete(statement, rows);
  return std::nullopt;
}

asio::awaitable<std::optional<SqlError>> BackendSession::CommitTransaction() {
  if (!written_statements_.empty() && (store_.log.role() != Role::kPrimary ||
                                       store_.log.term() != write_term_)) {
    Rollback();
    co_return SqlError{"CD001", "this server was replaced as primary"};
  }
  const auto deadline = std::chrono::steady_clock::now() + kLockTimeout;
  while (sqlite3_get_autocommit(db_.get()) == 0) {
    const int code =
        sqlite3_exec(db_.get(), "COMMIT", nullptr, nullptr, nullptr);
    if (code == SQLITE_OK) break;
    if (std::chrono::steady_clock::now() > deadline) {
      auto error = SqliteError(code);
      Rollback();
      co_return error;
    }
    co_await SleepFor(kLockRetryInterval);
    if (!written_statements_.empty() && store_.log.term() != write_term_) {
      Rollback();
      co_return SqlError{"CD001", "this server was replaced as primary"};
    }
  }
  if (!written_statements_.empty()) {
    last_commit_ = store_.log.Append(std::move(written_statements_));
    store_.applied_index = last_commit_.index;
    store_.NotifyLogChanged();
  }
  Rollback();
  co_return std::nullopt;
}

void BackendSession::Rollback() {
  if (sqlite3_get_autocommit(db_.get()) == 0) {
    sqlite3_exec(db_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
  }
  written_statements_.clear();
  write_term_ = 0;
  explicit_transaction_ = false;
  read_only_ = false;
  transaction_failed_ = false;
}

std::optional<SqlError> BackendSession::SqliteError(int code) const {
  const std::string message = sqlite3_errmsg(db_.get());
  const int extended = sqlite3_extended_errcode(db_.get());
  if (code == SQLITE_BUSY || code == SQLITE_LOCKED) {
    return SqlError{"55P03", message};
  }
  if (extended == SQLITE_CONSTRAINT_UNIQUE ||
      extended == SQLITE_CONSTRAINT_PRIMARYKEY) {
    return SqlError{"23505", message};
  }
  if (code == SQLITE_CONSTRAINT) return SqlError{"23000", message};
  if (message.starts_with("CD001")) return SqlError{"CD001", message};
  return SqlError{"42601", message};
}

}  // namespace standin
