#include "corianderdock/session/member_record.h"

#include <json/json.h>

#include <algorithm>
#include <memory>

namespace corianderdock::session {

namespace {

/// Pause before an instance that doesn't rank first reads the record, and
/// between its reads. A stale read may be seconds old.
constexpr Duration kFirstReadDelay = std::chrono::milliseconds(1000);
constexpr Duration kReadInterval = std::chrono::milliseconds(2000);
/// Time for which the record lacks a server before an instance that doesn't
/// rank first writes it, and the further delay for each rank.
constexpr Duration kWriteDelay = std::chrono::milliseconds(3000);
constexpr Duration kWriteTurn = std::chrono::milliseconds(250);
constexpr int kMaxWriteTurns = 20;
/// Time for which the result of a read or write is awaited.
constexpr Duration kResultTimeout = std::chrono::milliseconds(1500);
/// Time for which a server must have been obsolete before a write is made only
/// to remove it. A server that is cut off from this instance and the store may
/// still serve others.
constexpr Duration kRemovalDelay = std::chrono::seconds(60);

std::string StringOf(const Json::Value& value) {
  return value.isString() ? value.asString() : std::string();
}

}  // namespace

std::string EncodeMembers(const MemberRecord& record) {
  Json::Value root;
  if (!record.ordered.empty()) {
    root["ordered"] = record.ordered;
    root["token"] = static_cast<Json::UInt64>(record.order_token);
    if (record.order_end) {
      root["end"].append(static_cast<Json::UInt64>(record.order_end->term));
      root["end"].append(static_cast<Json::UInt64>(record.order_end->index));
    }
    root["renewals"] = static_cast<Json::UInt64>(record.order_renewals);
    for (const ServerId& id : record.superseded) root["superseded"].append(id);
  }
  if (!record.leader.empty()) {
    root["leader"] = record.leader;
    root["term"] = static_cast<Json::UInt64>(record.leader_term);
  }
  root["servers"] = Json::Value(Json::arrayValue);
  for (const auto& [id, entry] : record.servers) {
    Json::Value item;
    item["id"] = id;
    item["address"] = entry.address;
    item["zone"] = entry.zone;
    item["slots"] = entry.slots;
    root["servers"].append(std::move(item));
  }
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, root);
}

std::optional<MemberRecord> DecodeMembers(const ServiceId& service,
                                          std::string_view text) {
  Json::Value root;
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  try {
    const char* begin = text.data();
    if (!reader->parse(begin, begin + text.size(), &root, nullptr)) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {  // nested too deeply
    return std::nullopt;
  }
  if (!root.isObject() || !root["servers"].isArray()) return std::nullopt;
  MemberRecord record;
  record.ordered = StringOf(root["ordered"]);
  if (root["term"].isUInt64()) {
    record.leader = StringOf(root["leader"]);
    record.leader_term = root["term"].asUInt64();
  }
  if (root["token"].isUInt64()) record.order_token = root["token"].asUInt64();
  if (root["renewals"].isUInt64()) {
    record.order_renewals = root["renewals"].asUInt64();
  }
  const Json::Value& end = root["end"];
  if (end.isArray() && end.size() == 2 && end[0U].isUInt64() &&
      end[1U].isUInt64()) {
    record.order_end = Position{end[0U].asUInt64(), end[1U].asUInt64()};
  }
  if (root["superseded"].isArray()) {
    for (const Json::Value& it : root["superseded"]) {
      if (it.isString() && record.superseded.size() < kMaxMembers) {
        record.superseded.insert(it.asString());
      }
    }
  }
  for (const Json::Value& it : root["servers"]) {
    if (!it.isObject() || record.servers.size() == kMaxMembers) continue;
    ServerEntry entry;
    entry.id = StringOf(it["id"]);
    entry.service = service;
    entry.address = StringOf(it["address"]);
    entry.zone = StringOf(it["zone"]);
    entry.slots = it["slots"].isInt() ? std::max(1, it["slots"].asInt()) : 1;
    const bool usable = !entry.id.empty() && !entry.address.empty();
    if (usable) record.servers[entry.id] = std::move(entry);
  }
  return record;
}

bool MemberRecorder::Names(const ServerEntry& server) const {
  const auto it = record_.servers.find(server.id);
  return it != record_.servers.end() && it->second.address == server.address;
}

MemberRecorder::Step MemberRecorder::Next(const Situation& situation) {
  const TimePoint now = situation.now;
  const auto& required = situation.required;
  const bool lacks =
      !std::all_of(required.begin(), required.end(),
                   [this](const auto& it) { return Names(it.second); });
  if (!lacks) lacking_since_.reset();
  if (lacks && !lacking_since_) {
    lacking_since_ = now;
    next_attempt_ = situation.rank == 0 ? now : now + kFirstReadDelay;
  }
  if (situation.obsolete.empty()) obsolete_since_.reset();
  if (!situation.obsolete.empty() && !obsolete_since_) obsolete_since_ = now;
  const bool removes =
      situation.order_expired || (situation.rank == 0 && obsolete_since_ &&
                                  now - *obsolete_since_ >= kRemovalDelay);
  if ((!lacks && !removes) || now < next_attempt_) return Step::kNone;
  const Duration delay =
      kWriteDelay + kWriteTurn * std::min(situation.rank, kMaxWriteTurns);
  if (situation.rank == 0 || removes || now - *lacking_since_ >= delay) {
    next_attempt_ = now + kResultTimeout;
    return Step::kWrite;
  }
  next_attempt_ = now + kReadInterval;
  return Step::kRead;
}

void MemberRecorder::OnRecord(MemberRecord record, TimePoint now) {
  // Answers of a stale replica of the store may be older than what is known.
  if (record.revision < record_.revision) return;
  const bool restored = record.revision.era != record_.revision.era;
  if (restored && record.ordered.empty()) {
    record.ordered = record_.ordered;
    record.order_token = record_.order_token;
    record.order_end = record_.order_end;
    record.order_renewals = record_.order_renewals;
    record.superseded = record_.superseded;
  }
  const bool order_changed = record.ordered != record_.ordered ||
                             record.order_token != record_.order_token ||
                             record.order_renewals != record_.order_renewals;
  if (order_changed) order_known_since_ = now;
  record_ = std::move(record);
}

MemberRecord MemberRecorder::Replacement(const Situation& situation) const {
  MemberRecord replacement = record_;
  if (situation.order_expired) {
    replacement.ordered.clear();
    replacement.order_token = 0;
    replacement.order_end.reset();
    replacement.order_renewals = 0;
    replacement.superseded.clear();
    replacement.leader = situation.leader;
    replacement.leader_term = situation.leader_term;
  }
  for (const ServerId& id : situation.obsolete) replacement.servers.erase(id);
  for (const auto& [id, entry] : situation.required) {
    replacement.servers[id] = entry;
  }
  // Required servers stay, so that no more than what is surplus is dropped.
  auto it = replacement.servers.begin();
  while (replacement.servers.size() > kMaxMembers &&
         it != replacement.servers.end()) {
    it = situation.required.contains(it->first) ? std::next(it)
                                                : replacement.servers.erase(it);
  }
  return replacement;
}

}  // namespace corianderdock::session
