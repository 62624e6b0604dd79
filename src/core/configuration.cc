#include "corianderdock/configuration.h"

#include <algorithm>

namespace corianderdock {

namespace {

constexpr Duration kFetchTimeout = std::chrono::seconds(1);

}  // namespace

Configuration::Configuration(detail::Context& context) : context_(context) {}

bool Configuration::Install(const AcceptedSheet& accepted) {
  if (!context_.policy->AcceptSheet(accepted_.version, accepted.version)) {
    return false;
  }
  auto sheet = ParseSheet(accepted.text);
  if (!sheet) {
    context_.Count("sheets_rejected");
    context_.Log("sheet version " + std::to_string(accepted.version) +
                 " rejected: " + ToText(sheet.error().front()));
    return false;
  }
  accepted_ = accepted;
  sheet_ = std::move(*sheet);
  shortest_staleness_bound_.clear();
  for (const auto& [id, service] : sheet_.services) {
    for (const auto& [name, kind] : service.kinds) {
      if (kind.mode != Mode::kRead || kind.max_age.count() == 0) continue;
      auto [it, inserted] =
          shortest_staleness_bound_.try_emplace(service.group, kind.max_age);
      if (!inserted) it->second = std::min(it->second, kind.max_age);
    }
  }
  context_.Count("sheets_installed");
  context_.Log("sheet version " + std::to_string(accepted_.version) +
               " in force, loaded by " + accepted_.author);
  return true;
}

void Configuration::OnPeerVersions(const Gossip& gossip,
                                   std::uint64_t known_topology) {
  FetchFromPeer fetch;
  fetch.address = gossip.sender.address;
  fetch.sheet = gossip.sheet_version > accepted_.version;
  fetch.topology = gossip.topology_revision > known_topology;
  fetch.known_topology = known_topology;
  if (!fetch.sheet && !fetch.topology) return;
  if (fetch_expires_ && context_.now < *fetch_expires_) return;
  fetch_expires_ = context_.now + kFetchTimeout;
  context_.Emit(std::move(fetch));
}

const Service* Configuration::Find(const ServiceId& id) const {
  const auto it = sheet_.services.find(id);
  return it == sheet_.services.end() ? nullptr : &it->second;
}

std::optional<Duration> Configuration::ShortestStalenessBound(
    const GroupId& group) const {
  const auto it = shortest_staleness_bound_.find(group);
  if (it == shortest_staleness_bound_.end()) return std::nullopt;
  return it->second;
}

}  // namespace corianderdock
