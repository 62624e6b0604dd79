#include "corianderdock/reducer.h"

#include <utility>

namespace corianderdock {

namespace {

constexpr Duration kDrainCheckInterval = Milliseconds(50);

const Policy& DefaultPolicy() {
  static const Policy kPolicy;
  return kPolicy;
}

}  // namespace

Reducer::Reducer(Identity identity, Options options, std::uint64_t seed,
                 const Policy* policy)
    : context_{.self = std::move(identity),
               .options = std::move(options),
               .policy = policy == nullptr ? &DefaultPolicy() : policy,
               .random = std::mt19937_64(seed),
               .now = {},
               .timers = {},
               .effects = {},
               .counters = {}},
      membership_(context_),
      directory_(context_, membership_),
      configuration_(context_),
      monitor_(context_, directory_, configuration_),
      scheduler_(context_, directory_, configuration_, monitor_),
      calls_(context_, directory_, configuration_, monitor_, scheduler_) {}

Reducer::~Reducer() = default;

Effects Reducer::Start(TimePoint now) {
  context_.now = now;
  started_ = now;
  membership_.Start([this](Gossip& gossip) { AddLocalState(gossip); });
  membership_generation_ = membership_.generation();
  PollPlatformIfSelected();
  return std::exchange(context_.effects, {});
}

Effects Reducer::Reduce(TimePoint now, const Event& event) {
  context_.now = std::max(context_.now, now);
  FireTimers();
  std::visit([this](const auto& it) { On(it); }, event);
  ApplyMembershipChanges();
  UpdateReadiness();
  return std::exchange(context_.effects, {});
}

std::optional<TimePoint> Reducer::NextTimer() const {
  return context_.timers.Next();
}

bool Reducer::Ready() const {
  if (draining_ || !configuration_.loaded()) return false;
  if (directory_.topology().revision == 0) return false;
  const bool newest =
      configuration_.accepted().version >= newest_announced_sheet_;
  return startup_wait_elapsed_ || (membership_.heard_from_peer() && newest);
}

void Reducer::UpdateReadiness() {
  if (!startup_wait_elapsed_ &&
      context_.now - started_ >= context_.options.startup_wait) {
    startup_wait_elapsed_ = true;
  }
  // A draining instance serves the requests that still reach it until it exits.
  calls_.SetReady(Ready() || (draining_ && configuration_.loaded()));
}

// Events ---------------------------------------------------------------------

void Reducer::On(const ClientRequest& event) {
  last_request_ = context_.now;
  calls_.OnRequest(event);
}

void Reducer::On(const ClientDisconnected& event) {
  calls_.OnClientDisconnected(event.call);
}

void Reducer::On(const PeerRequest& event) {
  context_.Count("peer_requests");
  last_request_ = context_.now;
  const CallId call = event.call;
  scheduler_.Execute(event.routed, [this, call](RoutedAnswer answer) {
    context_.Emit(ReplyToPeer{call, std::move(answer)});
  });
}

void Reducer::On(const ForwardResult& event) { calls_.OnForwardResult(event); }

void Reducer::On(const ConnectResult& event) { scheduler_.OnConnect(event); }

void Reducer::On(const ConnectionClosed& event) {
  scheduler_.OnConnectionClosed(event);
}

void Reducer::On(const StatementDone& event) {
  scheduler_.OnStatementDone(event);
}

void Reducer::On(const GroupOperationResult& event) {
  if (const auto group = monitor_.OnResult(event)) {
    scheduler_.OnGroupUpdated(*group);
  }
}

void Reducer::On(const GossipRequest& event) {
  MergeGossip(event.gossip);
  context_.Emit(ReplyGossip{event.call, membership_.OnGossip(event.gossip)});
}

void Reducer::On(const GossipResult& event) {
  membership_.OnProbeResult(event.probe,
                            event.gossip ? &*event.gossip : nullptr);
  if (event.gossip) MergeGossip(*event.gossip);
}

void Reducer::On(const TopologyRead& event) {
  configuration_.OnFetched();
  InstallTopology(event.topology);
}

void Reducer::On(const TopologyChanged& event) {
  configuration_.OnFetched();
  const Topology& known = directory_.topology();
  if (event.change.entries.revision <= known.revision) return;
  context_.Count("topology_changes");
  const auto topology = Apply(known, event.change);
  if (topology) {
    InstallTopology(*topology);
    return;
  }
  // The change does not lead to the peer's topology, as when an entry was
  // changed and reverted between two revisions that the peer has seen.
  context_.Count("topology_mismatches");
  context_.Emit(FetchFromPeer{event.address, false, true, 0});
}

void Reducer::InstallTopology(const Topology& topology) {
  if (!directory_.Install(topology)) return;
  context_.Count("topologies_installed");
  membership_.OnTopology(topology);
  monitor_.OnDirectoryChanged();
  scheduler_.OnDirectoryChanged();
  membership_generation_ = membership_.generation();
}

void Reducer::On(const SheetRead& event) {
  configuration_.OnFetched();
  configuration_.Install(event.sheet);
}

void Reducer::On(const PlatformPolled& event) {
  platform_poll_in_flight_ = false;
  context_.Count(event.answered ? "platform_polls" : "platform_failures");
}

void Reducer::On(const TimePassed&) {}

void Reducer::On(const DrainRequested&) {
  if (draining_) return;
  draining_ = true;
  last_request_ = context_.now;
  last_drain_check_ = context_.now;
  drain_deadline_ = context_.now + context_.options.drain_limit;
  context_.Log("draining");
  membership_.Leave();
  context_.After(kDrainCheckInterval, {detail::TimerKind::kDrainCheck, {}, 0});
}

// Timers ---------------------------------------------------------------------

void Reducer::FireTimers() {
  while (const auto timer = context_.timers.TakeDue(context_.now)) {
    OnTimer(*timer);
  }
}

void Reducer::OnTimer(const detail::Timer& timer) {
  using detail::TimerKind;
  switch (timer.kind) {
    case TimerKind::kCallDeadline:
    case TimerKind::kCallRetry:
      calls_.OnTimer(timer);
      return;
    case TimerKind::kWorkDeadline:
    case TimerKind::kTransactionIdle:
    case TimerKind::kConnect:
    case TimerKind::kPing:
      scheduler_.OnTimer(timer);
      return;
    case TimerKind::kGroupPoll:
    case TimerKind::kClaim:
      monitor_.OnTimer(timer);
      return;
    case TimerKind::kProbe:
    case TimerKind::kSuspicion:
      membership_.OnTimer(timer);
      return;
    case TimerKind::kPlatformPoll:
      PollPlatformIfSelected();
      return;
    case TimerKind::kDrainCheck:
      CheckDrained();
      return;
  }
}

void Reducer::PollPlatformIfSelected() {
  const auto& options = context_.options;
  const bool selected =
      membership_.RanksWithin(context_.self.zone, context_.self.instance,
                              options.platform_pollers_per_zone);
  const bool needs_first = directory_.topology().revision == 0 ||
                           !configuration_.loaded() ||
                           !options.gossip_membership;
  if ((selected || needs_first) && !platform_poll_in_flight_) {
    platform_poll_in_flight_ = true;
    context_.Emit(PollPlatform{configuration_.accepted().version,
                               directory_.topology().revision});
  }
  context_.After(options.platform_poll_interval,
                 {detail::TimerKind::kPlatformPoll, {}, 0});
}

void Reducer::CheckDrained() {
  if (exit_requested_) return;
  // After a pause of the process, requests may be waiting that were not read
  // before this timer fired.
  if (context_.now - last_drain_check_ > 2 * kDrainCheckInterval) {
    last_request_ = context_.now;
  }
  last_drain_check_ = context_.now;
  const bool busy = calls_.size() > 0 || scheduler_.size() > 0 ||
                    scheduler_.transactions() > 0;
  // Load balancers and peers take a moment to stop sending requests here.
  const bool quiet =
      context_.now - last_request_ >= context_.options.drain_quiet;
  const bool finished =
      (!busy && quiet) || !context_.policy->FinishBeforeExit();
  if (finished || context_.now >= drain_deadline_) {
    exit_requested_ = true;
    context_.Log(
        busy
            ? "drain time limit reached with requests or transactions in flight"
            : "drained");
    context_.Emit(Exit{});
    return;
  }
  context_.After(kDrainCheckInterval, {detail::TimerKind::kDrainCheck, {}, 0});
}

// Gossip ---------------------------------------------------------------------

void Reducer::AddLocalState(Gossip& gossip) {
  gossip.sheet_version = configuration_.accepted().version;
  gossip.topology_revision = directory_.topology().revision;
  monitor_.AddLeadershipUpdates(gossip);
}

void Reducer::MergeGossip(const Gossip& gossip) {
  newest_announced_sheet_ =
      std::max(newest_announced_sheet_, gossip.sheet_version);
  for (const auto& it : gossip.leaderships) {
    if (monitor_.AdoptLeadership(it.group, it.leadership)) {
      scheduler_.OnGroupUpdated(it.group);
    }
  }
  configuration_.OnPeerVersions(gossip, directory_.topology().revision);
}

void Reducer::ApplyMembershipChanges() {
  if (membership_generation_ == membership_.generation()) return;
  membership_generation_ = membership_.generation();
  monitor_.OnDirectoryChanged();
  scheduler_.OnDirectoryChanged();
}

}  // namespace corianderdock
