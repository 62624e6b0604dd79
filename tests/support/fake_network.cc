#include <algorithm>

#include "fake_world.h"

namespace testing_support {

// Callers and peers ----------------------------------------------------------

void FakeWorld::Handle(int n, ReplyToClient effect) {
  instances_[static_cast<std::size_t>(n)].calls.erase(effect.call);
  const auto found = callers_.find(effect.call);
  if (found == callers_.end()) return;
  const auto on_answer = std::move(found->second);
  callers_.erase(found);
  CheckReadReplicated(effect.answer);
  After(Latency(), [on_answer, answer = std::move(effect.answer),
                    reply_sent = now_] { on_answer(answer, reply_sent); });
}

void FakeWorld::CheckReadReplicated(const Answer& answer) {
  if (answer.result.rows.empty() || answer.result.rows.front().empty()) return;
  // Rows are request ids in log order, so a server that has the last one has
  // them all.
  const std::string last = answer.result.rows.front().back().value_or("");
  std::size_t holders = 0;
  for (const auto& [id, server] : servers_) {
    const auto ids = IdsOf(server.log);
    if (std::find(ids.rbegin(), ids.rend(), last) != ids.rend()) ++holders;
  }
  if (holders < Majority(servers_.size())) {
    violations_.push_back("returned before a majority has it: " + last);
  }
}

void FakeWorld::Handle(int n, ForwardRequest effect) {
  const Instance& from = instances_[static_cast<std::size_t>(n)];
  const int to = InstanceAt(effect.address);
  const std::uint64_t generation = from.generation;
  const CallId call = effect.call;
  const std::uint64_t attempt = effect.attempt;
  const bool refused =
      to >= 0 && !instances_[static_cast<std::size_t>(to)].alive;
  if (to < 0 || refused) {
    After(Latency(), [this, n, generation, call, attempt] {
      Deliver(n, ForwardResult{call, attempt, false, std::nullopt}, generation);
    });
    return;
  }
  const Instance& target = instances_[static_cast<std::size_t>(to)];
  const std::uint64_t id = next_call_++;
  peer_calls_[id] = {n, generation, call, attempt};
  After(effect.timeout, [this, id] {
    const auto found = peer_calls_.find(id);
    if (found == peer_calls_.end()) return;
    const PeerCall peer = found->second;
    peer_calls_.erase(found);
    Deliver(peer.from, ForwardResult{peer.call, peer.attempt, true, {}},
            peer.generation);
  });
  if (!ZonesConnected(from.identity.zone, target.identity.zone)) return;
  After(Latency(), [this, to, id, target_life = target.generation,
                    routed = std::move(effect.routed)] {
    Deliver(to, PeerRequest{id, routed}, target_life);
  });
}

void FakeWorld::Handle(int n, ReplyToPeer effect) {
  const auto found = peer_calls_.find(effect.call);
  if (found == peer_calls_.end()) return;
  const PeerCall peer = found->second;
  const ZoneId zone = instances_[static_cast<std::size_t>(n)].identity.zone;
  const ZoneId to =
      instances_[static_cast<std::size_t>(peer.from)].identity.zone;
  if (!ZonesConnected(zone, to)) return;
  peer_calls_.erase(found);
  const Duration latency = Latency();
  ForwardResult result{peer.call, peer.attempt, true, std::move(effect.answer)};
  After(latency,
        [this, peer, result] { Deliver(peer.from, result, peer.generation); });
  if (options_.delay_and_duplicate && random_() % 50 == 0) {
    After(3 * latency, [this, peer, result] {
      Deliver(peer.from, result, peer.generation);
    });
  }
}

void FakeWorld::Handle(int n, SendGossip effect) {
  const Instance& from = instances_[static_cast<std::size_t>(n)];
  const int to = InstanceAt(effect.address);
  const std::uint64_t id = next_call_++;
  probe_calls_[id] = {n, from.generation, effect.probe};
  After(effect.timeout, [this, id] {
    const auto found = probe_calls_.find(id);
    if (found == probe_calls_.end()) return;
    const ProbeCall probe = found->second;
    probe_calls_.erase(found);
    Deliver(probe.from, GossipResult{probe.probe, std::nullopt},
            probe.generation);
  });
  if (to < 0) return;
  const Instance& target = instances_[static_cast<std::size_t>(to)];
  if (!target.alive ||
      !ZonesConnected(from.identity.zone, target.identity.zone)) {
    return;
  }
  After(Latency(), [this, to, id, generation = target.generation,
                    gossip = std::move(effect.gossip)] {
    Deliver(to, GossipRequest{id, gossip}, generation);
  });
}

void FakeWorld::Handle(int n, ReplyGossip effect) {
  const auto found = probe_calls_.find(effect.call);
  if (found == probe_calls_.end()) return;
  const ProbeCall probe = found->second;
  const ZoneId zone = instances_[static_cast<std::size_t>(n)].identity.zone;
  const ZoneId to =
      instances_[static_cast<std::size_t>(probe.from)].identity.zone;
  if (!ZonesConnected(zone, to)) return;
  probe_calls_.erase(found);
  After(Latency(), [this, probe, gossip = std::move(effect.gossip)] {
    Deliver(probe.from, GossipResult{probe.probe, gossip}, probe.generation);
  });
}

void FakeWorld::Handle(int n, const FetchFromPeer& effect) {
  const int to = InstanceAt(effect.address);
  if (to < 0) return;
  const Instance& from = instances_[static_cast<std::size_t>(n)];
  After(2 * Latency(), [this, n, to, effect, generation = from.generation] {
    const Instance& peer = instances_[static_cast<std::size_t>(to)];
    const Instance& self = instances_[static_cast<std::size_t>(n)];
    if (!peer.alive || peer.frozen ||
        !ZonesConnected(self.identity.zone, peer.identity.zone)) {
      return;
    }
    if (effect.topology) {
      const auto& directory = peer.reducer->directory();
      const auto change = directory.ChangesSince(effect.known_topology);
      if (change) {
        Deliver(n, TopologyChanged{effect.address, *change}, generation);
      } else {
        Deliver(n, TopologyRead{directory.topology()}, generation);
      }
    }
    if (effect.sheet) {
      Deliver(n, SheetRead{peer.reducer->configuration().accepted()},
              generation);
    }
  });
}

void FakeWorld::Handle(int n, LogLine effect) {
  instances_[static_cast<std::size_t>(n)].log.push_back(std::move(effect));
}

void FakeWorld::Handle(int n, Exit) {
  Instance& it = instances_[static_cast<std::size_t>(n)];
  if (!it.calls.empty()) {
    violations_.push_back("graceful shutdown cut off " +
                          std::to_string(it.calls.size()) + " requests");
  }
  it.exited = true;
  After(Duration(0), [this, n] { KillInstance(n); });
}

// Platform -------------------------------------------------------------------

Topology FakeWorld::CurrentTopology() const {
  Topology topology;
  topology.revision = topology_revision_;
  for (const auto& [id, server] : servers_) {
    topology.servers[id] = server.topology_entry;
  }
  for (const auto& it : instances_) {
    topology.instances[it.identity.instance] = {
        it.identity.instance, it.identity.zone, it.identity.address, false};
  }
  return topology;
}

void FakeWorld::Handle(int n, PollPlatform effect) {
  const Instance& from = instances_[static_cast<std::size_t>(n)];
  const std::uint64_t generation = from.generation;
  if (platform_mode_ == "down" ||
      zones_without_platform_.contains(from.identity.zone)) {
    After(Milliseconds(800), [this, n, generation] {
      Deliver(n, PlatformPolled{false}, generation);
    });
    return;
  }
  Duration delay = 2 * Latency();
  if (platform_mode_ == "slow") delay += std::chrono::seconds(2);
  const std::size_t versions =
      platform_mode_ == "stale" ? stale_sheets_ : sheets_.size();
  After(delay, [this, n, generation, effect, versions] {
    if (topology_revision_ > effect.known_topology) {
      Deliver(n, TopologyRead{CurrentTopology()}, generation);
    }
    // A stale platform offers its old sheet even to instances with a newer one.
    const bool offer = versions > effect.known_sheet ||
                       (platform_mode_ == "stale" && versions > 0);
    if (offer) {
      const std::string id = "load-" + std::to_string(versions);
      Deliver(n, SheetRead{{versions, id, "operator", sheets_[versions - 1]}},
              generation);
    }
    Deliver(n, PlatformPolled{true}, generation);
  });
}

}  // namespace testing_support
