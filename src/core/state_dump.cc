#include <json/json.h>

#include "corianderdock/codec.h"
#include "corianderdock/reducer.h"

namespace corianderdock {

namespace {

Json::Value DumpMembers(const Membership& membership) {
  Json::Value out(Json::objectValue);
  for (const auto& [id, member] : membership.members()) {
    Json::Value& it = out[id];
    it["zone"] = member.update.zone;
    it["address"] = member.update.address;
    it["state"] = Name(member.update.state);
    it["incarnation"] = member.update.incarnation;
  }
  return out;
}

Json::Value DumpGroups(const GroupMonitor& monitor) {
  Json::Value out(Json::objectValue);
  monitor.ForEach([&](const GroupId& id, const Leadership& leadership,
                      bool watched, bool claiming) {
    Json::Value& it = out[id];
    it = ToJson(leadership);
    it["watched"] = watched;
    it["claiming"] = claiming;
  });
  return out;
}

Json::Value DumpServers(const Reducer& reducer) {
  Json::Value out(Json::objectValue);
  for (const auto& [id, server] : reducer.directory().topology().servers) {
    Json::Value& it = out[id];
    it["group"] = server.group;
    it["zone"] = server.zone;
    it["leaving"] = server.leaving;
    it["scheduler"] = reducer.directory().SchedulerOf(id);
  }
  reducer.scheduler().ForEachServer([&](const ServerId& id, std::size_t queued,
                                        int running, int running_long,
                                        int connections) {
    Json::Value& it = out[id];
    it["queued"] = queued;
    it["running"] = running;
    it["running_long"] = running_long;
    it["connections"] = connections;
  });
  return out;
}

}  // namespace

std::string DumpState(const Reducer& reducer) {
  Json::Value out;
  out["instance"] = reducer.identity().instance;
  out["zone"] = reducer.identity().zone;
  out["ready"] = reducer.Ready();
  out["draining"] = reducer.Draining();
  const AcceptedSheet& sheet = reducer.configuration().accepted();
  out["sheet"]["version"] = sheet.version;
  out["sheet"]["load_id"] = sheet.load_id;
  out["sheet"]["author"] = sheet.author;
  out["sheet"]["services"] = reducer.configuration().sheet().services.size();
  out["topology_revision"] = reducer.directory().topology().revision;
  out["calls"] = reducer.calls().size();
  out["work"] = reducer.scheduler().size();
  out["transactions"] = reducer.scheduler().transactions();
  out["timers"] = reducer.timers();
  out["members"] = DumpMembers(reducer.membership());
  out["groups"] = DumpGroups(reducer.groups());
  out["servers"] = DumpServers(reducer);
  for (const auto& [name, value] : reducer.counters()) {
    out["counters"][name] = value;
  }
  return ToText(out);
}

}  // namespace corianderdock
