#include "corianderdock/detail/statement_runner.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "corianderdock/codec.h"

namespace corianderdock::detail {

namespace asio = boost::asio;

namespace {

constexpr char kWrongTermCode[] = "CD001";
constexpr char kUniqueViolationCode[] = "23505";
constexpr char kConnectionErrorClass[] = "08";  // connection exception
constexpr char kShutdownClass[] = "57P";        // operator intervention

Position ParsePosition(const PqReply& reply) {
  Position position;
  if (reply.result.rows.empty() || reply.result.rows[0].empty()) return {};
  const std::string text = reply.result.rows[0][0].value_or("");
  const auto slash = text.find('/');
  if (slash == std::string::npos) return {};
  const char* end = text.data() + text.size();
  std::from_chars(text.data(), text.data() + slash, position.term);
  std::from_chars(text.data() + slash + 1, end, position.index);
  return position;
}

const PqReply* FirstError(const std::vector<PqReply>& replies) {
  const auto it =
      std::find_if(replies.begin(), replies.end(), [](const PqReply& reply) {
        return reply.status == PqReply::Status::kError;
      });
  return it == replies.end() ? nullptr : &*it;
}

StatementFailure ToFailure(const PqReply& error) {
  StatementFailure failure;
  failure.fault = StatementFault::kSqlError;
  if (error.sqlstate == kWrongTermCode) {
    failure.fault = StatementFault::kWrongTerm;
  } else if (error.sqlstate.starts_with(kConnectionErrorClass) ||
             error.sqlstate.starts_with(kShutdownClass)) {
    failure.fault = StatementFault::kLost;
  }
  failure.sqlstate = error.sqlstate;
  failure.message = error.message;
  return failure;
}

}  // namespace

StatementRunner::StatementRunner(PqConnection& connection, Statement statement)
    : connection_(connection), statement_(std::move(statement)) {}

asio::awaitable<StatementResult> StatementRunner::Run() {
  static constexpr std::array<Handler, 8> kHandlers = {
      &StatementRunner::Read,    &StatementRunner::Write,
      &StatementRunner::Begin,   &StatementRunner::RunInTransaction,
      &StatementRunner::Commit,  &StatementRunner::Rollback,
      &StatementRunner::Resolve, &StatementRunner::Ping};
  const Handler handler = kHandlers[static_cast<std::size_t>(statement_.type)];
  try {
    co_return co_await (this->*handler)();
  } catch (const PqConnectionError& error) {
    const auto fault =
        commit_sent_ ? StatementFault::kInDoubt : StatementFault::kLost;
    co_return StatementFailure{fault, "", error.message};
  }
}

PqQuery StatementRunner::TermGuard() const {
  if (statement_.term == 0) return {"SELECT group_position()", {}};
  return {"SELECT group_guard($1)", {std::to_string(statement_.term)}};
}

asio::awaitable<void> StatementRunner::Abort() {
  std::vector<PqQuery> batch = {{"ROLLBACK", {}}};
  co_await connection_.Run(std::move(batch));
}

asio::awaitable<StatementResult> StatementRunner::Read() {
  std::vector<PqQuery> batch = {{"BEGIN READ ONLY", {}},
                                {"SELECT group_position()", {}},
                                {statement_.sql, statement_.params},
                                {"SELECT group_position()", {}},
                                {"COMMIT", {}}};
  auto replies = co_await connection_.Run(std::move(batch));
  if (const PqReply* error = FirstError(replies)) {
    const StatementFailure failure = ToFailure(*error);
    co_await Abort();
    co_return failure;
  }
  StatementSuccess success;
  success.position = ParsePosition(replies[1]);
  success.read_upper_bound = ParsePosition(replies[3]);
  success.result = std::move(replies[2].result);
  co_return success;
}

asio::awaitable<StatementResult> StatementRunner::Write() {
  std::vector<PqQuery> batch = {
      {"BEGIN", {}}, TermGuard(), {statement_.sql, statement_.params}};
  auto replies = co_await connection_.Run(std::move(batch));
  if (const PqReply* error = FirstError(replies)) {
    const StatementFailure failure = ToFailure(*error);
    co_await Abort();
    if (failure.fault != StatementFault::kSqlError ||
        statement_.request_id.empty()) {
      co_return failure;
    }
    // A retried request may fail because of the effect of its first attempt, so
    // look for a recorded outcome.
    StatementResult recorded = co_await ReadRecordedOutcome();
    const auto* success = std::get_if<StatementSuccess>(&recorded);
    if (success != nullptr && success->recorded) co_return recorded;
    co_return failure;
  }
  co_return co_await RecordAndCommit(std::move(replies[2].result), false);
}

asio::awaitable<StatementResult> StatementRunner::RecordAndCommit(
    ResultSet result, bool tombstone) {
  std::vector<PqQuery> batch;
  if (!statement_.request_id.empty()) {
    const std::string outcome = tombstone ? kTombstone : EncodeOutcome(result);
    batch.push_back(
        {"INSERT INTO corianderdock_request (id, outcome) VALUES ($1, $2)",
         {statement_.request_id, outcome}});
  }
  batch.push_back({"COMMIT", {}});
  batch.push_back({"SELECT group_commit_position()", {}});
  commit_sent_ = true;
  auto replies = co_await connection_.Run(std::move(batch));
  if (const PqReply* error = FirstError(replies)) {
    commit_sent_ = false;  // the server reported that it has not committed
    const StatementFailure failure = ToFailure(*error);
    co_await Abort();
    if (failure.sqlstate == kUniqueViolationCode)
      co_return co_await ReadRecordedOutcome();
    co_return failure;
  }
  StatementSuccess success;
  success.result = std::move(result);
  success.position = ParsePosition(replies.back());
  success.tombstone = tombstone;
  co_return success;
}

asio::awaitable<StatementResult> StatementRunner::ReadRecordedOutcome() {
  std::vector<PqQuery> batch = {
      {"BEGIN READ ONLY", {}},
      TermGuard(),
      {"SELECT outcome FROM corianderdock_request WHERE id = $1",
       {statement_.request_id}},
      {"SELECT group_position()", {}},
      {"COMMIT", {}}};
  auto replies = co_await connection_.Run(std::move(batch));
  if (const PqReply* error = FirstError(replies)) {
    const StatementFailure failure = ToFailure(*error);
    co_await Abort();
    co_return failure;
  }
  StatementSuccess success;
  success.position = ParsePosition(replies[3]);
  if (replies[2].result.rows.empty()) co_return success;
  const std::string outcome = replies[2].result.rows[0][0].value_or("");
  success.recorded = true;
  success.tombstone = outcome == kTombstone;
  if (!success.tombstone) success.result = DecodeOutcome(outcome);
  co_return success;
}

asio::awaitable<StatementResult> StatementRunner::Begin() {
  std::vector<PqQuery> batch = {{"BEGIN", {}}, TermGuard()};
  auto replies = co_await connection_.Run(std::move(batch));
  if (const PqReply* error = FirstError(replies)) {
    const StatementFailure failure = ToFailure(*error);
    co_await Abort();
    co_return failure;
  }
  co_return StatementSuccess{};
}

asio::awaitable<StatementResult> StatementRunner::RunInTransaction() {
  std::vector<PqQuery> batch = {{statement_.sql, statement_.params}};
  auto replies = co_await connection_.Run(std::move(batch));
  if (const PqReply* error = FirstError(replies)) co_return ToFailure(*error);
  StatementSuccess success;
  success.result = std::move(replies[0].result);
  co_return success;
}

asio::awaitable<StatementResult> StatementRunner::Commit() {
  co_return co_await RecordAndCommit({}, false);
}

asio::awaitable<StatementResult> StatementRunner::Rollback() {
  co_await Abort();
  co_return StatementSuccess{};
}

asio::awaitable<StatementResult> StatementRunner::Resolve() {
  StatementResult recorded = co_await ReadRecordedOutcome();
  const auto* found = std::get_if<StatementSuccess>(&recorded);
  if (found == nullptr || found->recorded) co_return recorded;
  StatementResult begun = co_await Begin();
  if (std::holds_alternative<StatementFailure>(begun)) co_return begun;
  co_return co_await RecordAndCommit({}, true);
}

asio::awaitable<StatementResult> StatementRunner::Ping() {
  std::vector<PqQuery> batch = {{"SELECT group_position()", {}}};
  auto replies = co_await connection_.Run(std::move(batch));
  if (const PqReply* error = FirstError(replies)) co_return ToFailure(*error);
  co_return StatementSuccess{};
}

}  // namespace corianderdock::detail
