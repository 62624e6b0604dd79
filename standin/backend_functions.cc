/// \file
/// SQL functions of a stand-in server: group operations, `pg_sleep` and the
/// fault switches.
#include <json/json.h>

#include <sstream>

#include "backend_session.h"

namespace standin {

namespace {

/// Session on whose connection the SQL function runs.
BackendSession& SessionOf(sqlite3_context* context) {
  return *static_cast<BackendSession*>(sqlite3_user_data(context));
}

std::string TextOf(sqlite3_value* value) {
  const auto* text = reinterpret_cast<const char*>(sqlite3_value_text(value));
  return text == nullptr ? "" : text;
}

void ReturnText(sqlite3_context* context, const std::string& text) {
  sqlite3_result_text(context, text.data(), static_cast<int>(text.size()),
                      SQLITE_TRANSIENT);
}

}  // namespace

/// Gives the SQL functions access to private members of their session.
struct SessionAccess {
  static BackendStore& Store(BackendSession& session) { return session.store_; }
  static LogPosition LastCommit(BackendSession& session) {
    return session.last_commit_;
  }
  static void AddSleep(BackendSession& session, Milliseconds duration) {
    session.pending_sleep_ += duration;
  }
  static std::uint64_t Id(BackendSession& session) { return session.id_; }
  static sqlite3* Db(BackendSession& session) { return session.db_.get(); }
};

namespace {

BackendStore& StoreOf(sqlite3_context* context) {
  return SessionAccess::Store(SessionOf(context));
}

void Status(sqlite3_context* context, int, sqlite3_value**) {
  ReturnText(context, StoreOf(context).StatusJson());
}

void Fence(sqlite3_context* context, int, sqlite3_value** args) {
  StoreOf(context).log.Fence(
      static_cast<std::uint64_t>(sqlite3_value_int64(args[0])),
      TextOf(args[1]));
  StoreOf(context).NotifyLogChanged();
  ReturnText(context, StoreOf(context).StatusJson());
}

void Promote(sqlite3_context* context, int, sqlite3_value** args) {
  BackendStore& store = StoreOf(context);
  store.log.Promote(static_cast<std::uint64_t>(sqlite3_value_int64(args[0])),
                    TextOf(args[1]));
  store.applied_index = store.log.Last().index;
  store.NotifyLogChanged();
  ReturnText(context, store.StatusJson());
}

void Follow(sqlite3_context* context, int, sqlite3_value** args) {
  BackendStore& store = StoreOf(context);
  store.log.Follow(static_cast<std::uint64_t>(sqlite3_value_int64(args[0])),
                   TextOf(args[1]));
  store.NotifyLogChanged();
  ReturnText(context, store.StatusJson());
}

void Guard(sqlite3_context* context, int, sqlite3_value** args) {
  const GroupLog& log = StoreOf(context).log;
  const auto term = static_cast<std::uint64_t>(sqlite3_value_int64(args[0]));
  if (log.role() == Role::kPrimary && log.term() == term) {
    sqlite3_result_int64(context, static_cast<sqlite3_int64>(term));
    return;
  }
  sqlite3_result_error(context, "CD001 this server is not primary of the term",
                       -1);
}

std::string PositionText(LogPosition position) {
  return std::to_string(position.term) + "/" + std::to_string(position.index);
}

void CurrentPosition(sqlite3_context* context, int, sqlite3_value**) {
  const BackendStore& store = StoreOf(context);
  ReturnText(context, PositionText({store.log.TermAt(store.applied_index),
                                    store.applied_index}));
}

void CommitPosition(sqlite3_context* context, int, sqlite3_value**) {
  ReturnText(context,
             PositionText(SessionAccess::LastCommit(SessionOf(context))));
}

void Sleep(sqlite3_context* context, int, sqlite3_value** args) {
  const std::chrono::duration<double> seconds(sqlite3_value_double(args[0]));
  SessionAccess::AddSleep(SessionOf(context),
                          std::chrono::duration_cast<Milliseconds>(seconds));
  sqlite3_result_int(context, 0);
}

/// standin_fault(name, value); name is cut, heal, silence, lag or reset_counts.
void InjectFault(sqlite3_context* context, int, sqlite3_value** args) {
  BackendStore& store = StoreOf(context);
  const std::string name = TextOf(args[0]);
  const std::string value = TextOf(args[1]);
  if (name == "cut") store.faults.cut_zones.insert(value);
  if (name == "heal") store.faults.cut_zones.erase(value);
  if (name == "silence") {
    store.faults.silence_before = SessionAccess::Id(SessionOf(context));
  }
  if (name == "lag") {
    store.options.lag = Milliseconds(sqlite3_value_int64(args[1]));
  }
  if (name == "reset_counts") {
    store.peak_connections = store.connections;
    store.refused_connections = 0;
  }
  ReturnText(context, "ok");
}

struct Function {
  const char* name;
  int arguments;
  void (*call)(sqlite3_context*, int, sqlite3_value**);
};

constexpr Function kFunctions[] = {
    {"group_status", 0, Status},
    {"group_fence", 2, Fence},
    {"group_promote", 2, Promote},
    {"group_follow", 2, Follow},
    {"group_guard", 1, Guard},
    {"group_position", 0, CurrentPosition},
    {"group_commit_position", 0, CommitPosition},
    {"pg_sleep", 1, Sleep},
    {"standin_fault", 2, InjectFault},
};

}  // namespace

void RegisterFunctions(BackendSession& session) {
  for (const auto& it : kFunctions) {
    sqlite3_create_function_v2(SessionAccess::Db(session), it.name,
                               it.arguments, SQLITE_UTF8, &session, it.call,
                               nullptr, nullptr, nullptr);
  }
}

}  // namespace standin
