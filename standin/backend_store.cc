#include "backend_store.h"

#include <json/json.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "corianderdock/codec.h"

namespace standin {

namespace {

constexpr char kDatabaseUri[] = "file:/standin?vfs=memdb";

std::string DropAllSql(sqlite3* db) {
  std::string sql;
  auto collect = [](void* out, int, char** values, char**) {
    *static_cast<std::string*>(out) +=
        std::string("DROP TABLE IF EXISTS \"") + values[0] + "\";";
    return 0;
  };
  sqlite3_exec(db,
               "SELECT name FROM sqlite_master WHERE type='table' AND name NOT "
               "LIKE 'sqlite_%'",
               collect, &sql, nullptr);
  return sql;
}

}  // namespace

BackendStore::BackendStore(boost::asio::io_context& io, StoreOptions options)
    : io(io),
      options(std::move(options)),
      log_changed(io),
      message_arrived(io),
      applier_(OpenHandle()),
      slot_released_(io),
      last_primary_contact_(std::chrono::steady_clock::now()) {
  log_changed.expires_at(std::chrono::steady_clock::time_point::max());
  slot_released_.expires_at(std::chrono::steady_clock::time_point::max());
}

SqliteHandle BackendStore::OpenHandle() const {
  sqlite3* db = nullptr;
  sqlite3_open_v2(kDatabaseUri, &db,
                  SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_URI,
                  nullptr);
  return SqliteHandle(db);
}

boost::asio::awaitable<void> BackendStore::AcquireSlot() {
  while (slots_in_use_ >= options.slots) {
    boost::system::error_code ec;
    co_await slot_released_.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  }
  ++slots_in_use_;
}

void BackendStore::ReleaseSlot() {
  --slots_in_use_;
  slot_released_.cancel_one();
}

bool BackendStore::ApplyNext() {
  sqlite3* db = applier_.get();
  if (sqlite3_exec(db, "BEGIN IMMEDIATE", nullptr, nullptr, nullptr) !=
      SQLITE_OK) {
    return false;
  }
  for (const auto& it : log.entries()[applied_index].statements) {
    sqlite3_exec(db, it.c_str(), nullptr, nullptr, nullptr);
  }
  if (sqlite3_exec(db, "COMMIT", nullptr, nullptr, nullptr) != SQLITE_OK) {
    sqlite3_exec(db, "ROLLBACK", nullptr, nullptr, nullptr);
    return false;
  }
  ++applied_index;
  return true;
}

void BackendStore::TruncateTo(std::uint64_t index) {
  const bool rebuild = applied_index > index;
  log.Truncate(index);
  if (!rebuild) return;
  const std::string sql = DropAllSql(applier_.get());
  sqlite3_exec(applier_.get(), sql.c_str(), nullptr, nullptr, nullptr);
  applied_index = 0;
  while (applied_index < index && ApplyNext()) {
  }
}

std::string BackendStore::StatusJson() const {
  Json::Value out;
  out["server"] = options.server;
  out["term"] = log.term();
  out["role"] = RoleName(log.role());
  const std::uint64_t index =
      std::min<std::uint64_t>(applied_index, log.Last().index);
  out["last_term"] = log.TermAt(index);
  out["last_index"] = index;
  out["primary_heard_ms"] =
      log.role() == Role::kPrimary ? 0 : TimeSincePrimaryContact().count();
  out["primary"] = log.primary();
  out["claimant"] = log.claimant();
  out["connections"] = connections;
  out["most_connections"] = peak_connections;
  out["refused_connections"] = refused_connections;
  out["statements_run"] = statements_run;
  for (const auto& it : log.TermStarts()) {
    Json::Value start;
    start["term"] = it.term;
    start["index"] = it.index;
    out["term_starts"].append(start);
  }
  return corianderdock::ToText(out);
}

Milliseconds BackendStore::TimeSincePrimaryContact() const {
  return std::chrono::duration_cast<Milliseconds>(
      std::chrono::steady_clock::now() - last_primary_contact_);
}

void BackendStore::RecordPrimaryContact() {
  last_primary_contact_ = std::chrono::steady_clock::now();
}

void BackendStore::NotifyLogChanged() { log_changed.cancel(); }

}  // namespace standin
