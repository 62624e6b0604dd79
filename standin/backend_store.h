/// \file
/// Database, replicated log, execution slots and injected faults of one
/// stand-in server.
#pragma once

#include <sqlite3.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "group_log.h"

namespace standin {

using Milliseconds = std::chrono::milliseconds;

struct StoreOptions {
  std::string server;
  std::string zone;
  std::string address;
  int slots = 2;  ///< concurrent statements
  int connection_limit = 16;
  Milliseconds connect_delay{12};
  std::chrono::microseconds statement_time{1000};
  std::chrono::microseconds zone_delay{0};  ///< one way, between zones
  Milliseconds lag{3};                      ///< replication lag
};

struct Faults {
  std::set<std::string> cut_zones;  ///< zones cut off from this server
  /// Sessions with a lower id get no answers.
  std::uint64_t silence_before = 0;
};

/// A replication message to be applied at `due`.
struct DelayedMessage {
  std::chrono::steady_clock::time_point due;
  std::uint64_t stream_id = 0;
  std::uint64_t term = 0;
  std::vector<LogEntry> entries;
};

struct SqliteCloser {
  void operator()(sqlite3* db) const { sqlite3_close_v2(db); }
};
using SqliteHandle = std::unique_ptr<sqlite3, SqliteCloser>;

/// State shared by all sessions of a server. Confined to one thread.
class BackendStore {
 public:
  BackendStore(boost::asio::io_context& io, StoreOptions options);

  /// Opens another handle to the in-memory database.
  [[nodiscard]] SqliteHandle OpenHandle() const;

  /// Waits for an execution slot; each call must be paired with `ReleaseSlot`.
  boost::asio::awaitable<void> AcquireSlot();
  void ReleaseSlot();

  /// Applies the next replicated entry. Returns false if the database is
  /// locked; the call can then be repeated.
  bool ApplyNext();

  /// Drops entries above `index` and rebuilds the database from the log.
  void TruncateTo(std::uint64_t index);

  [[nodiscard]] std::string StatusJson() const;
  [[nodiscard]] Milliseconds TimeSincePrimaryContact() const;
  void RecordPrimaryContact();

  /// Wakes the streams to replicas after a change of the log, term or role.
  void NotifyLogChanged();

  boost::asio::io_context& io;
  StoreOptions options;
  GroupLog log;
  Faults faults;
  int connections = 0;
  int peak_connections = 0;
  std::uint64_t refused_connections = 0;
  std::uint64_t next_session_id = 1;
  std::uint64_t applied_index = 0;  ///< last log entry in the database
  std::uint64_t statements_run = 0;
  std::uint64_t stream_id = 0;  ///< number of the current replication stream
  std::deque<DelayedMessage> delayed_messages;
  boost::asio::steady_timer log_changed;      ///< cancelled to wake waiters
  boost::asio::steady_timer message_arrived;  ///< cancelled to wake the applier

 private:
  SqliteHandle applier_;
  int slots_in_use_ = 0;
  boost::asio::steady_timer slot_released_;
  std::chrono::steady_clock::time_point last_primary_contact_;
};

}  // namespace standin
