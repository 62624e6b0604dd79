#include "corianderdock/membership.h"

#include <algorithm>
#include <bit>

#include "corianderdock/detail/hash.h"

namespace corianderdock {

namespace {

constexpr std::size_t kIndirectProbers = 2;
constexpr std::uint64_t kDeadProbeInterval = 8;  // in probe rounds
constexpr int kTransmissionFactor = 3;  // times log2 of the number of members

/// Whether `next` overrides `current`, both of the same instance.
bool Overrides(const MemberUpdate& next, const MemberUpdate& current) {
  if (next.incarnation != current.incarnation) {
    return next.incarnation > current.incarnation;
  }
  return next.state > current.state;
}

}  // namespace

const char* Name(MemberState state) noexcept {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
  }
  return "dead";
}

Membership::Membership(detail::Context& context) : context_(context) {}

void Membership::Start(Piggyback piggyback) {
  piggyback_ = std::move(piggyback);
  Member& self = members_[context_.self.instance];
  self.update = {context_.self.instance, context_.self.zone,
                 context_.self.address, context_.self.incarnation,
                 MemberState::kAlive};
  self.changed = context_.now;
  next_full_exchange_ = context_.now;
  if (!context_.options.gossip_membership) return;
  for (const auto& it : context_.options.seeds) {
    if (it != context_.self.address) SendProbe(it, {}, true);
  }
  context_.After(context_.options.probe_interval,
                 {detail::TimerKind::kProbe, {}, 0});
}

MemberUpdate Membership::SelfUpdate() const {
  return members_.at(context_.self.instance).update;
}

void Membership::OnTopology(const Topology& topology) {
  for (const auto& [id, listed] : topology.instances) {
    if (id == context_.self.instance) {
      if (listed.leaving) Leave();
      continue;
    }
    auto it = members_.find(id);
    if (it == members_.end()) {
      MemberUpdate update{id, listed.zone, listed.address, 0,
                          MemberState::kAlive};
      if (listed.leaving) update.state = MemberState::kLeaving;
      Merge(update);
      continue;
    }
    if (listed.leaving && it->second.update.state < MemberState::kLeaving) {
      MemberUpdate update = it->second.update;
      update.state = MemberState::kLeaving;
      Merge(update);
    }
  }
  if (context_.options.gossip_membership) return;
  for (auto& [id, member] : members_) {
    const bool listed =
        id == context_.self.instance || topology.instances.contains(id);
    MemberUpdate update = member.update;
    update.state = listed ? update.state : MemberState::kDead;
    if (update.state != member.update.state) Apply(member, update);
  }
}

Gossip Membership::OnGossip(const Gossip& gossip) {
  heard_from_peer_ = true;
  Merge(gossip.sender);
  for (const auto& it : gossip.members) Merge(it);
  if (!gossip.probe_target.empty()) {
    const auto it = members_.find(gossip.probe_target);
    if (it != members_.end()) {
      SendProbe(it->second.update.address,
                {it->first, gossip.sender.address, false}, false);
    }
  }
  return Compose(gossip.sender.id, gossip.full);
}

void Membership::OnProbeResult(std::uint64_t probe_id, const Gossip* gossip) {
  const auto found = probes_.find(probe_id);
  if (found == probes_.end()) return;
  const Probe probe = found->second;
  probes_.erase(found);
  if (gossip == nullptr) {
    OnProbeFailed(probe);
    return;
  }
  heard_from_peer_ = true;
  Merge(gossip->sender);
  for (const auto& it : gossip->members) Merge(it);
  if (!probe.report_to.empty()) {
    Probe report;
    report.part_of_indirect_probe = true;
    SendProbe(probe.report_to, report, false);
  }
}

void Membership::OnProbeFailed(const Probe& probe) {
  context_.Count("probe_failures");
  if (probe.target.empty() || probe.part_of_indirect_probe) return;
  if (!probe.report_to.empty()) return;
  const auto it = members_.find(probe.target);
  if (it == members_.end()) return;
  if (it->second.update.state == MemberState::kDead) return;
  for (const auto& peer : PickPeers(probe.target)) {
    Gossip gossip = Compose(peer, false);
    gossip.probe_target = probe.target;
    const std::uint64_t id = context_.NewId();
    probes_[id] = {peer, {}, true};
    context_.Emit(SendGossip{id, members_.at(peer).update.address,
                             std::move(gossip),
                             context_.options.probe_timeout});
  }
  MarkSuspect(probe.target);
}

void Membership::MarkSuspect(const InstanceId& id) {
  Member& member = members_.at(id);
  if (member.update.state != MemberState::kAlive) return;
  MemberUpdate update = member.update;
  update.state = MemberState::kSuspect;
  Apply(member, update);
}

void Membership::Merge(const MemberUpdate& update) {
  if (update.id.empty()) return;
  if (update.id == context_.self.instance) {
    RefuteIfNeeded(update);
    return;
  }
  auto it = members_.find(update.id);
  if (it == members_.end()) {
    it = members_.try_emplace(update.id).first;
    Apply(it->second, update);
    return;
  }
  if (Overrides(update, it->second.update)) Apply(it->second, update);
}

void Membership::Apply(Member& member, const MemberUpdate& update) {
  const bool was_known = !member.update.id.empty();
  const bool state_changed = !was_known || member.update.state != update.state;
  member.update = update;
  member.changed = context_.now;
  member.transmissions_left = TransmissionLimit();
  if (!state_changed) return;
  ++generation_;
  context_.Count(std::string("member_") + Name(update.state));
  context_.Log("member " + update.id + " is " + Name(update.state));
  if (update.state == MemberState::kSuspect) {
    context_.After(
        context_.options.suspicion_timeout,
        {detail::TimerKind::kSuspicion, update.id, update.incarnation});
  }
}

void Membership::RefuteIfNeeded(const MemberUpdate& update) {
  Member& self = members_.at(context_.self.instance);
  if (update.incarnation < self.update.incarnation) return;
  if (update.state == self.update.state) return;
  if (update.state == MemberState::kAlive) return;
  self.update.incarnation = update.incarnation + 1;
  self.transmissions_left = TransmissionLimit();
}

Gossip Membership::Compose(const InstanceId& receiver, bool full) {
  Gossip gossip;
  gossip.sender = SelfUpdate();
  if (full) {
    for (const auto& [id, member] : members_) {
      gossip.members.push_back(member.update);
    }
  } else {
    std::vector<Member*> pending;
    for (auto& [id, member] : members_) {
      // A receiver that this instance considers suspect, leaving or dead is
      // sent its own entry, so that it can refute it.
      const bool tell_receiver =
          id == receiver && member.update.state != MemberState::kAlive;
      if (tell_receiver) member.transmissions_left += 1;
      if (member.transmissions_left > 0) pending.push_back(&member);
    }
    std::sort(pending.begin(), pending.end(), [](const auto* a, const auto* b) {
      return a->transmissions_left > b->transmissions_left;
    });
    if (pending.size() > context_.options.updates_per_message) {
      pending.resize(context_.options.updates_per_message);
    }
    for (Member* it : pending) {
      --it->transmissions_left;
      gossip.members.push_back(it->update);
    }
    const auto it = members_.find(receiver);
    if (it != members_.end() &&
        it->second.update.state != MemberState::kAlive) {
      gossip.members.push_back(it->second.update);
    }
  }
  if (piggyback_) piggyback_(gossip);
  return gossip;
}

int Membership::TransmissionLimit() const {
  return kTransmissionFactor *
         static_cast<int>(std::bit_width(members_.size() + 1));
}

void Membership::SendProbe(const std::string& address, Probe probe, bool full) {
  const std::uint64_t id = context_.NewId();
  Gossip gossip = Compose(probe.target, full);
  gossip.full = full;
  probes_[id] = std::move(probe);
  context_.Emit(SendGossip{id, address, std::move(gossip),
                           context_.options.probe_timeout});
}

InstanceId Membership::NextTarget() {
  ++probe_rounds_;
  const bool probe_dead = probe_rounds_ % kDeadProbeInterval == 0;
  if (probe_dead) {
    std::vector<InstanceId> dead;
    for (const auto& [id, member] : members_) {
      if (member.update.state == MemberState::kDead) dead.push_back(id);
    }
    if (!dead.empty()) return dead[context_.random() % dead.size()];
  }
  while (!probe_order_.empty()) {
    InstanceId id = probe_order_.back();
    probe_order_.pop_back();
    const auto it = members_.find(id);
    if (it != members_.end() && it->second.update.state != MemberState::kDead) {
      return id;
    }
  }
  for (const auto& [id, member] : members_) {
    if (id == context_.self.instance) continue;
    if (member.update.state != MemberState::kDead) probe_order_.push_back(id);
  }
  std::shuffle(probe_order_.begin(), probe_order_.end(), context_.random);
  if (probe_order_.empty()) return {};
  InstanceId id = probe_order_.back();
  probe_order_.pop_back();
  return id;
}

std::vector<InstanceId> Membership::PickPeers(const InstanceId& excluded) {
  std::vector<InstanceId> peers;
  for (const auto& [id, member] : members_) {
    if (id == excluded || id == context_.self.instance) continue;
    if (member.update.state == MemberState::kAlive) peers.push_back(id);
  }
  std::shuffle(peers.begin(), peers.end(), context_.random);
  if (peers.size() > kIndirectProbers) peers.resize(kIndirectProbers);
  return peers;
}

void Membership::ProbeNext() {
  const InstanceId target = NextTarget();
  if (target.empty()) {
    for (const auto& it : context_.options.seeds) {
      if (it != context_.self.address) SendProbe(it, {}, true);
    }
    return;
  }
  bool full = false;
  if (context_.now >= next_full_exchange_) {
    full = true;
    next_full_exchange_ =
        context_.now + context_.options.full_exchange_interval;
  }
  SendProbe(members_.at(target).update.address, {target, {}, false}, full);
}

void Membership::OnTimer(const detail::Timer& timer) {
  if (timer.kind == detail::TimerKind::kProbe) {
    ProbeNext();
    context_.After(context_.options.probe_interval,
                   {detail::TimerKind::kProbe, {}, 0});
    std::erase_if(members_, [&](const auto& it) {
      return it.second.update.state == MemberState::kDead &&
             context_.now - it.second.changed >
                 context_.options.forget_dead_after;
    });
    return;
  }
  const auto it = members_.find(timer.key);
  if (it == members_.end()) return;
  Member& member = it->second;
  if (member.update.state != MemberState::kSuspect) return;
  if (member.update.incarnation != timer.id) return;
  MemberUpdate update = member.update;
  update.state = MemberState::kDead;
  Apply(member, update);
}

void Membership::Leave() {
  Member& self = members_.at(context_.self.instance);
  if (self.update.state == MemberState::kLeaving) return;
  self.update.state = MemberState::kLeaving;
  ++self.update.incarnation;
  self.transmissions_left = TransmissionLimit();
  ++generation_;
  if (!context_.options.gossip_membership) return;
  for (const auto& peer : PickPeers(context_.self.instance)) {
    SendProbe(members_.at(peer).update.address, {peer, {}, false}, false);
  }
}

std::vector<const MemberUpdate*> Membership::Eligible() const {
  std::vector<const MemberUpdate*> eligible;
  for (const auto& [id, member] : members_) {
    if (member.update.state == MemberState::kAlive) {
      eligible.push_back(&member.update);
    }
  }
  return eligible;
}

bool Membership::RanksWithin(const ZoneId& zone, const InstanceId& id,
                             std::size_t count) const {
  std::size_t ranked_before = 0;
  const std::uint64_t own_rank = detail::HashPair(zone, id);
  for (const MemberUpdate* it : Eligible()) {
    if (it->zone == zone && it->id != id &&
        detail::HashPair(zone, it->id) < own_rank) {
      ++ranked_before;
    }
  }
  return ranked_before < count;
}

}  // namespace corianderdock
