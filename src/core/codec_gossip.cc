#include "corianderdock/codec.h"
#include "corianderdock/detail/fields.h"

namespace corianderdock {

namespace {

using detail::Fields;
using detail::ParseEnum;

constexpr const char* kMemberStates[] = {"alive", "suspect", "leaving", "dead"};

Json::Value ToJson(const MemberUpdate& update) {
  Json::Value out;
  out["id"] = update.id;
  out["zone"] = update.zone;
  out["address"] = update.address;
  out["incarnation"] = update.incarnation;
  out["state"] = Name(update.state);
  return out;
}

MemberUpdate ParseMember(Fields& fields) {
  MemberUpdate update;
  update.id = fields.Text("id", true);
  update.zone = fields.Text("zone", true);
  update.address = fields.Text("address", true);
  update.incarnation = fields.Number("incarnation", 0);
  update.state = ParseEnum<MemberState>(kMemberStates, fields.Text("state"),
                                        fields, "state");
  return update;
}

Json::Value ToJsonArray(const std::set<std::string>& names) {
  Json::Value out(Json::arrayValue);
  for (const auto& it : names) out.append(it);
  return out;
}

std::set<std::string> ParseNames(Fields& fields, const char* name) {
  std::set<std::string> names;
  for (const auto& it : fields.Array(name)) {
    if (!it.isString()) {
      fields.Fail(fields.Path(name), "expected strings");
      continue;
    }
    names.insert(it.asString());
  }
  return names;
}

}  // namespace

Json::Value ToJson(const Gossip& gossip) {
  Json::Value out;
  out["sender"] = ToJson(gossip.sender);
  out["members"] = Json::arrayValue;
  for (const auto& it : gossip.members) out["members"].append(ToJson(it));
  for (const auto& it : gossip.leaderships) {
    Json::Value update = ToJson(it.leadership);
    update["group"] = it.group;
    out["leaderships"].append(update);
  }
  out["sheet_version"] = gossip.sheet_version;
  out["topology_revision"] = gossip.topology_revision;
  if (!gossip.probe_target.empty()) out["probe_target"] = gossip.probe_target;
  if (gossip.full) out["full"] = true;
  return out;
}

Result<Gossip> ParseGossip(const Json::Value& in) {
  Fields fields(in, "gossip");
  Gossip gossip;
  Fields sender(fields.Object("sender"), "gossip.sender");
  gossip.sender = ParseMember(sender);
  if (sender.error()) return *sender.error();
  for (const auto& it : fields.Array("members")) {
    Fields member(it, "gossip.members");
    gossip.members.push_back(ParseMember(member));
    if (member.error()) return *member.error();
  }
  for (const auto& it : fields.Array("leaderships")) {
    Fields update(it, "gossip.leaderships");
    gossip.leaderships.push_back(
        {update.Text("group", true), ParseLeadership(it)});
    if (update.error()) return *update.error();
  }
  gossip.sheet_version = fields.Number("sheet_version", 0);
  gossip.topology_revision = fields.Number("topology_revision", 0);
  gossip.probe_target = fields.Text("probe_target");
  gossip.full = fields.Flag("full", false);
  if (fields.error()) return *fields.error();
  return gossip;
}

Json::Value ToJson(const Topology& topology) {
  Json::Value out;
  out["revision"] = topology.revision;
  out["servers"] = Json::objectValue;
  for (const auto& [id, server] : topology.servers) {
    Json::Value& it = out["servers"][id];
    it["group"] = server.group;
    it["zone"] = server.zone;
    it["address"] = server.address;
    it["slots"] = server.slots;
    it["connection_limit"] = server.connection_limit;
    it["leaving"] = server.leaving;
  }
  out["instances"] = Json::objectValue;
  for (const auto& [id, instance] : topology.instances) {
    Json::Value& it = out["instances"][id];
    it["zone"] = instance.zone;
    it["address"] = instance.address;
    it["leaving"] = instance.leaving;
  }
  return out;
}

Result<Topology> ParseTopology(const Json::Value& in) {
  constexpr std::uint64_t kMaxServerCapacity = 10000;
  Fields fields(in, "topology");
  Topology topology;
  topology.revision = fields.Number("revision", 0);
  const Json::Value& servers = fields.Object("servers");
  for (const auto& id : servers.getMemberNames()) {
    Fields it(servers[id], "servers." + id);
    Server server;
    server.id = id;
    server.group = it.Text("group", true);
    server.zone = it.Text("zone", true);
    server.address = it.Text("address", true);
    server.slots =
        static_cast<int>(it.Number("slots", 2, 1, kMaxServerCapacity));
    server.connection_limit = static_cast<int>(
        it.Number("connection_limit", 16, 1, kMaxServerCapacity));
    server.leaving = it.Flag("leaving", false);
    if (it.error()) return *it.error();
    topology.servers[id] = server;
  }
  const Json::Value& instances = fields.Object("instances");
  for (const auto& id : instances.getMemberNames()) {
    Fields it(instances[id], "instances." + id);
    ListedInstance instance{id, it.Text("zone", true), it.Text("address", true),
                            it.Flag("leaving", false)};
    if (it.error()) return *it.error();
    topology.instances[id] = instance;
  }
  if (fields.error()) return *fields.error();
  return topology;
}

Json::Value ToJson(const TopologyChange& change) {
  Json::Value out = ToJson(change.entries);
  out["digest"] = change.digest;
  out["removed_servers"] = ToJsonArray(change.removed_servers);
  out["removed_instances"] = ToJsonArray(change.removed_instances);
  return out;
}

Result<TopologyChange> ParseTopologyChange(const Json::Value& in) {
  auto entries = ParseTopology(in);
  if (!entries) return entries.error();
  Fields fields(in, "change");
  TopologyChange change;
  change.entries = std::move(*entries);
  change.digest = fields.Number("digest", 0);
  change.removed_servers = ParseNames(fields, "removed_servers");
  change.removed_instances = ParseNames(fields, "removed_instances");
  if (fields.error()) return *fields.error();
  return change;
}

Json::Value ToJson(const AcceptedSheet& sheet) {
  Json::Value out;
  out["version"] = sheet.version;
  out["load_id"] = sheet.load_id;
  out["author"] = sheet.author;
  out["text"] = sheet.text;
  return out;
}

Result<AcceptedSheet> ParseAcceptedSheet(const Json::Value& in) {
  Fields fields(in, "sheet");
  AcceptedSheet sheet;
  sheet.version = fields.Number("version", 0, 1);
  sheet.load_id = fields.Text("load_id", true);
  sheet.author = fields.Text("author");
  sheet.text = fields.Text("text", true);
  if (fields.error()) return *fields.error();
  return sheet;
}

}  // namespace corianderdock
