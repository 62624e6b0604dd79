#include "corianderdock/session/quota_messages.h"

#include <json/json.h>

#include <cmath>
#include <memory>

namespace corianderdock::session {

namespace {

constexpr double kPerToken = 1e6;
/// More than any tenant's tokens; larger numbers in a message are invalid.
constexpr MicroTokens kMaxAmount = MicroTokens{1} << 53U;
/// Nesting of a message is three levels.
constexpr int kMaxDepth = 8;

std::string Write(const Json::Value& root) {
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, root);
}

Json::Value ToJson(const QuotaRequest& request) {
  Json::Value root;
  root["ask"] = static_cast<Json::UInt64>(request.number);
  root["boot"] = static_cast<Json::UInt64>(request.boot);
  root["ticket"] = static_cast<Json::UInt64>(request.ticket);
  root["urgent"] = request.urgent;
  root["list"] = static_cast<Json::UInt64>(request.list_digest);
  root["members"] = static_cast<Json::UInt64>(request.members);
  root["items"] = Json::Value(Json::arrayValue);
  for (const QuotaRequestItem& it : request.items) {
    Json::Value& item = root["items"].append(Json::arrayValue);
    item.append(it.tenant);
    item.append(static_cast<Json::Int64>(it.give));
    item.append(static_cast<Json::Int64>(it.need));
  }
  return root;
}

Json::Value ToJson(const QuotaAnswer& answer) {
  Json::Value root;
  root["answer"] = static_cast<Json::UInt64>(answer.number);
  root["boot"] = static_cast<Json::UInt64>(answer.boot);
  root["ticket"] = static_cast<Json::UInt64>(answer.ticket);
  root["list"] = static_cast<Json::UInt64>(answer.agreed_digest);
  root["members"] = static_cast<Json::UInt64>(answer.agreed_members);
  root["items"] = Json::Value(Json::arrayValue);
  for (const QuotaAnswerItem& it : answer.items) {
    Json::Value& item = root["items"].append(Json::arrayValue);
    item.append(it.tenant);
    item.append(static_cast<Json::Int64>(it.taken));
    item.append(static_cast<Json::Int64>(it.granted));
  }
  root["wanted"] = Json::Value(Json::arrayValue);
  for (const TenantId& it : answer.wanted) root["wanted"].append(it);
  return root;
}

/// Reads fields of a message; any invalid one makes the message invalid.
class Reader {
 public:
  std::uint64_t Number(const Json::Value& value) {
    if (value.isUInt64()) return value.asUInt64();
    valid_ = false;
    return 0;
  }

  MicroTokens Amount(const Json::Value& value) {
    if (value.isInt64() && value.asInt64() >= 0 &&
        value.asInt64() <= kMaxAmount) {
      return value.asInt64();
    }
    valid_ = false;
    return 0;
  }

  std::string Text(const Json::Value& value) {
    if (value.isString()) return value.asString();
    valid_ = false;
    return {};
  }

  bool Flag(const Json::Value& value) {
    if (value.isBool()) return value.asBool();
    valid_ = false;
    return false;
  }

  /// Calls `add` with each element of an array of triples.
  template <typename Add>
  void Triples(const Json::Value& value, const Add& add) {
    if (!value.isArray()) valid_ = false;
    if (!valid_) return;
    for (const Json::Value& it : value) {
      if (!it.isArray() || it.size() != 3) {
        valid_ = false;
        return;
      }
      add(Text(it[0]), Amount(it[1]), Amount(it[2]));
    }
  }

  [[nodiscard]] bool valid() const { return valid_; }
  void Reject() { valid_ = false; }

 private:
  bool valid_ = true;
};

QuotaRequest ReadRequest(Reader& reader, const Json::Value& root) {
  QuotaRequest request;
  request.number = reader.Number(root["ask"]);
  request.boot = reader.Number(root["boot"]);
  request.ticket = reader.Number(root["ticket"]);
  request.urgent = reader.Flag(root["urgent"]);
  request.list_digest = reader.Number(root["list"]);
  request.members = reader.Number(root["members"]);
  reader.Triples(root["items"],
                 [&](TenantId tenant, MicroTokens give, MicroTokens need) {
                   request.items.push_back({std::move(tenant), give, need});
                 });
  return request;
}

QuotaAnswer ReadAnswer(Reader& reader, const Json::Value& root) {
  QuotaAnswer answer;
  answer.number = reader.Number(root["answer"]);
  answer.boot = reader.Number(root["boot"]);
  answer.ticket = reader.Number(root["ticket"]);
  answer.agreed_digest = reader.Number(root["list"]);
  answer.agreed_members = reader.Number(root["members"]);
  reader.Triples(root["items"],
                 [&](TenantId tenant, MicroTokens taken, MicroTokens granted) {
                   answer.items.push_back({std::move(tenant), taken, granted});
                 });
  if (!root["wanted"].isArray()) {
    reader.Reject();
    return answer;
  }
  for (const Json::Value& it : root["wanted"]) {
    answer.wanted.push_back(reader.Text(it));
  }
  return answer;
}

}  // namespace

MicroTokens ToMicroTokens(double tokens) noexcept {
  if (!std::isfinite(tokens) || tokens <= 0) return 0;
  const double amount = std::floor(tokens * kPerToken);
  return amount >= static_cast<double>(kMaxAmount)
             ? kMaxAmount
             : static_cast<MicroTokens>(amount);
}

double FromMicroTokens(MicroTokens amount) noexcept {
  return static_cast<double>(amount) / kPerToken;
}

std::string EncodeQuotaMessage(const QuotaMessage& message) {
  return std::visit([](const auto& it) { return Write(ToJson(it)); }, message);
}

std::optional<QuotaMessage> DecodeQuotaMessage(std::string_view text) {
  Json::CharReaderBuilder builder;
  builder["stackLimit"] = kMaxDepth;
  builder["failIfExtra"] = true;
  const std::unique_ptr<Json::CharReader> parser(builder.newCharReader());
  Json::Value root;
  std::string errors;
  try {
    if (!parser->parse(text.data(), text.data() + text.size(), &root,
                       &errors)) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {  // nested too deeply
    return std::nullopt;
  }
  if (!root.isObject()) return std::nullopt;
  Reader reader;
  QuotaMessage message;
  if (root.isMember("ask")) {
    message = ReadRequest(reader, root);
  } else {
    message = ReadAnswer(reader, root);
  }
  if (!reader.valid()) return std::nullopt;
  return message;
}

}  // namespace corianderdock::session
