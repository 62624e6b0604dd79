#include "corianderdock/codec.h"

#include <memory>

#include "corianderdock/detail/fields.h"

namespace corianderdock {

namespace {

using detail::Fields;
using detail::ParseEnum;

constexpr std::uint64_t kMaxTimeoutMs = 60000;
constexpr std::size_t kMaxRequestIdLength = 128;
constexpr int kMaxJsonDepth = 64;

std::uint64_t ToMilliseconds(Duration duration) {
  const auto ms = std::chrono::duration_cast<Milliseconds>(duration).count();
  return ms < 0 ? 0 : static_cast<std::uint64_t>(ms);
}

std::uint64_t ToMicroseconds(Duration duration) {
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return us < 0 ? 0 : static_cast<std::uint64_t>(us);
}

Duration FromMicroseconds(std::uint64_t us) {
  return std::chrono::microseconds(us);
}

Json::Value ToJsonParams(const std::vector<std::optional<std::string>>& in) {
  Json::Value out(Json::arrayValue);
  for (const auto& it : in) {
    out.append(it ? Json::Value(*it) : Json::Value());
  }
  return out;
}

/// Converts the parameters to text, the form in which the database takes them.
std::vector<std::optional<std::string>> ParseParams(Fields& fields,
                                                    const char* name) {
  std::vector<std::optional<std::string>> params;
  const Json::Value& in = fields.Array(name);
  for (Json::ArrayIndex n = 0; n < in.size(); ++n) {
    const Json::Value& it = in[n];
    if (it.isNull()) {
      params.emplace_back(std::nullopt);
    } else if (it.isString() || it.isBool() || it.isNumeric()) {
      params.emplace_back(it.asString());
    } else {
      fields.Fail(fields.Path(name) + "[" + std::to_string(n) + "]",
                  "expected a string, number, true, false or null");
    }
  }
  return params;
}

SessionToken ParseToken(Fields& fields) {
  auto token = SessionToken::Decode(fields.Text("token"));
  if (token) return *token;
  fields.Fail(fields.Path("token"), token.error().reason);
  return {};
}

Json::Value ToJson(const ResultSet& result) {
  Json::Value out;
  out["columns"] = Json::arrayValue;
  for (const auto& it : result.columns) out["columns"].append(it);
  out["rows"] = Json::arrayValue;
  for (const auto& row : result.rows) {
    Json::Value values(Json::arrayValue);
    for (std::size_t n = 0; n < row.size(); ++n) {
      if (!row[n]) {
        values.append(Json::Value());
      } else if (n < result.numeric.size() && result.numeric[n]) {
        values.append(static_cast<std::int64_t>(
            std::strtoll(row[n]->c_str(), nullptr, 10)));
      } else {
        values.append(*row[n]);
      }
    }
    out["rows"].append(values);
  }
  out["affected"] = result.affected;
  return out;
}

ResultSet ParseResultSet(const Json::Value& in) {
  ResultSet result;
  if (!in.isObject()) return result;
  for (const auto& it : in["columns"]) result.columns.push_back(it.asString());
  result.numeric.assign(result.columns.size(), false);
  for (const auto& row : in["rows"]) {
    std::vector<std::optional<std::string>> values;
    for (Json::ArrayIndex n = 0; n < row.size(); ++n) {
      if (row[n].isNull()) {
        values.emplace_back(std::nullopt);
        continue;
      }
      if (row[n].isInt64() && n < result.numeric.size()) {
        result.numeric[n] = true;
      }
      values.emplace_back(row[n].asString());
    }
    result.rows.push_back(std::move(values));
  }
  if (in["affected"].isUInt64()) result.affected = in["affected"].asUInt64();
  return result;
}

constexpr const char* kMethods[] = {"execute", "begin", "commit", "rollback",
                                    "resolve"};
constexpr const char* kOutcomes[] = {"done", "not_run", "unknown", "failed"};
constexpr const char* kStatuses[] = {"final", "stale", "not_primary",
                                     "busy",  "retry", "in_doubt"};
constexpr const char* kRoles[] = {"primary", "replica", "fenced"};
constexpr int kReasonCount = static_cast<int>(Reason::kDraining) + 1;

Reason FindReason(const std::string& text) {
  for (int n = 0; n < kReasonCount; ++n) {
    if (text == Name(static_cast<Reason>(n))) return static_cast<Reason>(n);
  }
  return Reason::kNone;
}

Json::Value ToJson(const Request& request) {
  Json::Value out;
  out["method"] = Name(request.method);
  out["service"] = request.service;
  out["kind"] = request.kind;
  out["statement"] = request.sql;
  out["parameters"] = ToJsonParams(request.params);
  out["token"] = request.token.Encode();
  out["request_id"] = request.request_id;
  out["transaction"] = request.transaction;
  return out;
}

Request ParseForwardedRequest(Fields& fields) {
  Request request;
  request.method =
      ParseEnum<Method>(kMethods, fields.Text("method"), fields, "method");
  request.service = fields.Text("service");
  request.kind = fields.Text("kind");
  request.sql = fields.Text("statement");
  request.params = ParseParams(fields, "parameters");
  request.token = ParseToken(fields);
  request.request_id = fields.Text("request_id");
  request.transaction = fields.Text("transaction");
  return request;
}

}  // namespace

// Text -----------------------------------------------------------------------

std::string ToText(const Json::Value& value) {
  static const Json::StreamWriterBuilder kBuilder = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return builder;
  }();
  return Json::writeString(kBuilder, value);
}

Result<Json::Value> ParseJson(std::string_view text) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["strictRoot"] = false;
  builder["stackLimit"] = kMaxJsonDepth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &value,
                      &errors)) {
      return value;
    }
  } catch (const Json::Exception& error) {
    errors = error.what();
  }
  return Error{"json", errors};
}

std::string EncodeOutcome(const ResultSet& result) {
  return ToText(ToJson(result));
}

ResultSet DecodeOutcome(const std::string& text) {
  const auto value = ParseJson(text);
  return value ? ParseResultSet(*value) : ResultSet{};
}

// Clients --------------------------------------------------------------------

Result<Request> ParseRequest(Method method, const Json::Value& params) {
  Fields fields(params, "params");
  Request request;
  request.method = method;
  request.service = fields.Text("service", true);
  request.timeout =
      Milliseconds(fields.Number("timeout_ms", 0, 0, kMaxTimeoutMs));
  request.token = ParseToken(fields);
  request.request_id = fields.Text("request_id", method == Method::kResolve);
  request.repeat = fields.Flag("repeat", false);
  if (request.request_id.size() > kMaxRequestIdLength) {
    fields.Fail(fields.Path("request_id"), "is longer than 128 characters");
  }
  const bool needs_transaction =
      method == Method::kCommit || method == Method::kRollback;
  request.transaction = fields.Text("transaction", needs_transaction);
  if (method == Method::kExecute) {
    request.kind = fields.Text("kind", true);
    request.sql = fields.Text("statement", true);
    request.params = ParseParams(fields, "parameters");
    fields.RejectUnknown({"service", "kind", "statement", "parameters", "token",
                          "request_id", "transaction", "timeout_ms", "repeat"});
  } else {
    fields.RejectUnknown({"service", "token", "request_id", "transaction",
                          "timeout_ms", "repeat"});
  }
  if (fields.error()) return *fields.error();
  return request;
}

Json::Value ToJson(const Answer& answer) {
  Json::Value out;
  out["outcome"] = Name(answer.outcome);
  if (answer.reason != Reason::kNone) out["reason"] = Name(answer.reason);
  if (!answer.detail.empty()) out["detail"] = answer.detail;
  if (!answer.sqlstate.empty()) out["sqlstate"] = answer.sqlstate;
  if (answer.retry_after) {
    out["retry_after_ms"] = ToMilliseconds(*answer.retry_after);
  }
  out["token"] = answer.token.Encode();
  if (!answer.request_id.empty()) out["request_id"] = answer.request_id;
  if (!answer.transaction.empty()) out["transaction"] = answer.transaction;
  if (answer.outcome != Outcome::kDone) return out;
  out["server"] = answer.server;
  out["from_replica"] = answer.from_replica;
  out["result"] = ToJson(answer.result);
  return out;
}

// Forwarding -----------------------------------------------------------------

Json::Value ToJson(const RoutedRequest& routed) {
  Json::Value out;
  out["server"] = routed.server;
  out["mode"] = routed.mode == Mode::kRead ? "read" : "write";
  out["max_age_us"] = ToMicroseconds(routed.max_age);
  out["remaining_us"] = ToMicroseconds(routed.remaining);
  out["request"] = ToJson(routed.request);
  return out;
}

Result<RoutedRequest> ParseRoutedRequest(const Json::Value& in) {
  Fields fields(in, "params");
  RoutedRequest routed;
  routed.server = fields.Text("server");
  routed.mode = fields.Text("mode") == "read" ? Mode::kRead : Mode::kWrite;
  routed.max_age = FromMicroseconds(fields.Number("max_age_us", 0));
  routed.remaining = FromMicroseconds(fields.Number("remaining_us", 0));
  Fields request(fields.Object("request"), "params.request");
  routed.request = ParseForwardedRequest(request);
  if (fields.error()) return *fields.error();
  if (request.error()) return *request.error();
  return routed;
}

Json::Value ToJson(const RoutedAnswer& answer) {
  Json::Value out;
  out["status"] = kStatuses[static_cast<std::size_t>(answer.status)];
  out["answer"] = ToJson(answer.answer);
  out["leadership"] = ToJson(answer.leadership);
  out["wait_us"] = ToMicroseconds(answer.expected_wait);
  out["handling_us"] = ToMicroseconds(answer.handling);
  out["data_age_us"] = ToMicroseconds(answer.data_age);
  return out;
}

Result<RoutedAnswer> ParseRoutedAnswer(const Json::Value& in) {
  Fields fields(in, "result");
  RoutedAnswer routed;
  routed.status = ParseEnum<RoutedStatus>(kStatuses, fields.Text("status"),
                                          fields, "status");
  routed.leadership = ParseLeadership(fields.Object("leadership"));
  routed.expected_wait = FromMicroseconds(fields.Number("wait_us", 0));
  routed.handling = FromMicroseconds(fields.Number("handling_us", 0));
  routed.data_age = FromMicroseconds(fields.Number("data_age_us", 0));
  Fields answer(fields.Object("answer"), "result.answer");
  Answer& out = routed.answer;
  out.outcome =
      ParseEnum<Outcome>(kOutcomes, answer.Text("outcome"), answer, "outcome");
  out.reason = FindReason(answer.Text("reason"));
  out.detail = answer.Text("detail");
  out.sqlstate = answer.Text("sqlstate");
  out.token = ParseToken(answer);
  out.request_id = answer.Text("request_id");
  out.transaction = answer.Text("transaction");
  out.server = answer.Text("server");
  out.from_replica = answer.Flag("from_replica", false);
  const std::uint64_t retry = answer.Number("retry_after_ms", UINT64_MAX);
  if (retry != UINT64_MAX) out.retry_after = Milliseconds(retry);
  out.result = ParseResultSet(answer.Object("result"));
  if (fields.error()) return *fields.error();
  if (answer.error()) return *answer.error();
  return routed;
}

Json::Value ToJson(const Leadership& leadership) {
  Json::Value out;
  out["term"] = leadership.term;
  out["primary"] = leadership.primary;
  out["starts"] = Json::arrayValue;
  for (const auto& [term, index] : leadership.starts) {
    Json::Value start;
    start["term"] = term;
    start["index"] = index;
    out["starts"].append(start);
  }
  return out;
}

Leadership ParseLeadership(const Json::Value& in) {
  Leadership leadership;
  Fields fields(in, "leadership");
  leadership.term = fields.Number("term", 0);
  leadership.primary = fields.Text("primary");
  for (const auto& it : fields.Array("starts")) {
    Fields start(it, "starts");
    const Term term = start.Number("term", 0);
    leadership.starts[term] = start.Number("index", 0);
  }
  if (fields.error()) return {};
  return leadership;
}

Result<ServerStatus> ParseServerStatus(std::string_view text) {
  const auto value = ParseJson(text);
  if (!value) return value.error();
  Fields fields(*value, "status");
  ServerStatus status;
  status.term = fields.Number("term", 0);
  status.role =
      ParseEnum<ServerRole>(kRoles, fields.Text("role"), fields, "role");
  status.last.term = fields.Number("last_term", 0);
  status.last.index = fields.Number("last_index", 0);
  status.primary_heard = Milliseconds(fields.Number("primary_heard_ms", 0));
  status.primary_address = fields.Text("primary");
  status.claimant = fields.Text("claimant");
  status.connections = static_cast<int>(fields.Number("connections", 0));
  for (const auto& it : fields.Array("term_starts")) {
    Fields start(it, "status.term_starts");
    const Term term = start.Number("term", 0);
    status.starts[term] = start.Number("index", 0);
  }
  if (fields.error()) return *fields.error();
  return status;
}

}  // namespace corianderdock
