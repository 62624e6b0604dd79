#include "corianderdock/session/instance_messages.h"

#include <json/json.h>

#include <memory>

namespace corianderdock::session {

namespace {

Json::Int64 ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

/// Ages are rounded up, so that they are never understated.
Json::Int64 ToAge(Duration duration) {
  return std::chrono::ceil<std::chrono::microseconds>(duration).count();
}

std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  writer["emitUTF8"] = true;
  return Json::writeString(writer, value);
}

std::uint64_t UnsignedOf(const Json::Value& value) {
  return value.isUInt64() ? value.asUInt64() : 0;
}

std::optional<Duration> DurationOf(const Json::Value& value) {
  if (!value.isInt64()) return std::nullopt;
  return std::chrono::microseconds(value.asInt64());
}

std::string TextOf(const Json::Value& value) {
  return value.isString() ? value.asString() : std::string();
}

Json::Value ToJson(const ListedState& lists) {
  Json::Value root;
  root["complete"] = lists.complete;
  root["servers"] = Json::Value(Json::objectValue);
  for (const auto& [id, entry] : lists.servers) {
    Json::Value& out = root["servers"][id];
    out["service"] = entry.service;
    out["address"] = entry.address;
    out["zone"] = entry.zone;
    out["slots"] = entry.slots;
    out["draining"] = entry.draining;
    out["claims_primary"] = entry.claims_primary;
    out["process_start"] = static_cast<Json::UInt64>(entry.process_start);
    out["renewed"] = lists.renewed.contains(id);
  }
  root["instances"] = Json::Value(Json::objectValue);
  for (const auto& [id, entry] : lists.instances) {
    Json::Value& out = root["instances"][id];
    out["zone"] = entry.zone;
    out["relay"] = entry.relay_address;
    out["share"] = entry.share_address;
    out["cores"] = entry.processor_share;
  }
  return root;
}

std::optional<ListedState> ListsOf(const Json::Value& root) {
  if (!root.isObject() || !root["servers"].isObject() ||
      !root["instances"].isObject()) {
    return std::nullopt;
  }
  ListedState lists;
  lists.complete = root["complete"].isBool() && root["complete"].asBool();
  for (const std::string& id : root["servers"].getMemberNames()) {
    const Json::Value& in = root["servers"][id];
    if (!in.isObject() || !in["slots"].isInt()) return std::nullopt;
    ServerEntry& entry = lists.servers[id];
    entry.id = id;
    entry.service = TextOf(in["service"]);
    entry.address = TextOf(in["address"]);
    entry.zone = TextOf(in["zone"]);
    entry.slots = in["slots"].asInt();
    entry.draining = in["draining"].isBool() && in["draining"].asBool();
    entry.claims_primary =
        in["claims_primary"].isBool() && in["claims_primary"].asBool();
    entry.process_start = UnsignedOf(in["process_start"]);
    const Json::Value& renewed = in["renewed"];
    if (renewed.isBool() && renewed.asBool()) lists.renewed.insert(id);
  }
  for (const std::string& id : root["instances"].getMemberNames()) {
    const Json::Value& in = root["instances"][id];
    if (!in.isObject() || !in["cores"].isNumeric()) return std::nullopt;
    lists.instances[id] = {TextOf(in["zone"]), TextOf(in["relay"]),
                           TextOf(in["share"]), in["cores"].asDouble()};
  }
  return lists;
}

}  // namespace

std::string Encode(const FreshnessQuestion& question) {
  Json::Value root;
  root["ask"] = static_cast<Json::UInt64>(question.number);
  root["version"] = static_cast<Json::UInt64>(question.version);
  if (question.lists) root["lists"] = *question.lists;
  return ToText(root);
}

std::string Encode(const FreshnessAnswer& answer) {
  Json::Value root;
  root["answer"] = static_cast<Json::UInt64>(answer.number);
  root["version"] = static_cast<Json::UInt64>(answer.version);
  root["clock_us"] = ToMicroseconds(answer.clock);
  if (answer.age) root["age_us"] = ToAge(*answer.age);
  if (answer.contact_age) root["contact_us"] = ToAge(*answer.contact_age);
  if (answer.document) root["document"] = *answer.document;
  if (!answer.lists_stamp.empty()) root["stamp"] = answer.lists_stamp;
  if (answer.lists) root["lists"] = ToJson(*answer.lists);
  return ToText(root);
}

std::variant<std::monostate, FreshnessQuestion, FreshnessAnswer>
DecodeFreshnessMessage(std::string_view text) {
  Json::Value root;
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  try {
    const char* begin = text.data();
    const bool parsed =
        reader->parse(begin, begin + text.size(), &root, nullptr);
    if (!parsed || !root.isObject()) return {};
  } catch (const Json::Exception&) {  // nested too deeply
    return {};
  }
  if (root["ask"].isUInt64()) {
    FreshnessQuestion question;
    question.number = root["ask"].asUInt64();
    question.version = UnsignedOf(root["version"]);
    if (root["lists"].isString()) question.lists = root["lists"].asString();
    return question;
  }
  const auto clock = DurationOf(root["clock_us"]);
  if (!root["answer"].isUInt64() || !clock) return {};
  FreshnessAnswer answer;
  answer.number = root["answer"].asUInt64();
  answer.version = UnsignedOf(root["version"]);
  answer.clock = *clock;
  answer.age = DurationOf(root["age_us"]);
  answer.contact_age = DurationOf(root["contact_us"]);
  if (root["document"].isString())
    answer.document = root["document"].asString();
  answer.lists_stamp = TextOf(root["stamp"]);
  answer.lists = ListsOf(root["lists"]);
  return answer;
}

}  // namespace corianderdock::session
