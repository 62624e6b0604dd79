#include "corianderdock/group_monitor.h"

#include <algorithm>

namespace corianderdock {

namespace {

constexpr std::size_t kMaxSamples = 64;
constexpr std::size_t kLeadershipsPerMessage = 4;
constexpr int kLeadershipTransmissions = 12;
constexpr Duration kShortestPollInterval = Milliseconds(20);
constexpr Duration kFailedPollDelay = Milliseconds(100);
constexpr int kPollsPerStalenessBound = 4;

}  // namespace

GroupMonitor::GroupMonitor(detail::Context& context, const Directory& directory,
                           const Configuration& configuration)
    : context_(context), directory_(directory), configuration_(configuration) {}

void GroupMonitor::OnDirectoryChanged() {
  for (const auto& [id, listed] : directory_.groups()) {
    const std::vector<ServerId>& servers = listed;
    const bool watches = directory_.Watches(id);
    if (!watches && !groups_.contains(id)) continue;
    Group& group = groups_[id];
    const bool started = watches && !group.watched;
    group.watched = watches;
    if (started) group.primary_last_seen = context_.now;
    std::erase_if(group.servers, [&](const auto& it) {
      return std::find(servers.begin(), servers.end(), it.first) ==
             servers.end();
    });
    for (const auto& server : servers) {
      const bool added = group.servers.try_emplace(server).second;
      if (group.watched && (started || added)) Poll(id, group, server);
    }
    if (watches) ScheduleClaimIfNeeded(id, group);
  }
}

Duration GroupMonitor::PollInterval(const GroupId& id) const {
  Duration interval = context_.options.poll_interval;
  if (const auto age = configuration_.ShortestStalenessBound(id)) {
    interval = std::min(interval, *age / kPollsPerStalenessBound);
  }
  return std::max(interval, kShortestPollInterval);
}

std::uint64_t GroupMonitor::SendOperation(const GroupId& id,
                                          const ServerId& server,
                                          GroupOperation operation,
                                          PendingOperation::Type type,
                                          Term term) {
  const Server* listed = directory_.Find(server);
  if (listed == nullptr) return 0;
  const std::uint64_t call = context_.NewId();
  pending_operations_[call] = {id, server, type, term, context_.now};
  context_.Emit(RunGroupOperation{server, listed->address, call,
                                  std::move(operation),
                                  context_.options.poll_timeout});
  return call;
}

void GroupMonitor::Poll(const GroupId& id, Group& group,
                        const ServerId& server) {
  ServerView& view = group.servers[server];
  if (view.poll_started) return;
  view.poll_started = context_.now;
  context_.Count("group_polls");
  view.poll_call = SendOperation(id, server, StatusOperation{},
                                 PendingOperation::Type::kStatus, 0);
}

void GroupMonitor::SchedulePoll(const GroupId& id, const ServerId& server,
                                Duration delay) {
  ServerView& view = groups_[id].servers[server];
  view.next_poll = context_.now + delay;
  context_.After(delay, {detail::TimerKind::kGroupPoll, server, 0});
}

void GroupMonitor::OnTimer(const detail::Timer& timer) {
  if (timer.kind == detail::TimerKind::kGroupPoll) {
    const Server* server = directory_.Find(timer.key);
    if (server == nullptr) return;
    const auto it = groups_.find(server->group);
    if (it == groups_.end()) return;
    Group& group = it->second;
    const auto view = group.servers.find(timer.key);
    if (view == group.servers.end()) return;
    if (!group.watched && group.fast_polling_depth == 0) return;
    if (context_.now < view->second.next_poll) return;
    Poll(it->first, group, timer.key);
    return;
  }
  const auto it = groups_.find(timer.key);
  if (it == groups_.end()) return;
  Group& group = it->second;
  if (group.claim && context_.now >= group.claim->deadline) {
    context_.Count("claims_abandoned");
    group.claim.reset();
    group.claim_due.reset();
  }
  if (group.claim) return;
  if (group.claim_due && context_.now >= *group.claim_due) {
    group.claim_due.reset();
    if (PrimaryLost(it->first, group) || PrimaryLeaving(group)) {
      StartClaim(it->first, group);
    }
    return;
  }
  ScheduleClaimIfNeeded(it->first, group);
}

void GroupMonitor::BeginFastPolling(const GroupId& id) {
  Group& group = groups_[id];
  ++group.fast_polling_depth;
  if (group.fast_polling_depth > 1) return;
  for (const auto& server : directory_.Servers(id)) {
    ServerView& view = group.servers[server];
    if (!view.poll_started) Poll(id, group, server);
  }
}

void GroupMonitor::EndFastPolling(const GroupId& id) {
  Group& group = groups_[id];
  if (group.fast_polling_depth > 0) --group.fast_polling_depth;
}

const Leadership& GroupMonitor::LeadershipOf(const GroupId& id) const {
  static const Leadership kUnknown;
  const auto it = groups_.find(id);
  return it == groups_.end() ? kUnknown : it->second.leadership;
}

bool GroupMonitor::AdoptLeadership(const GroupId& id,
                                   const Leadership& leadership) {
  if (leadership.term == 0) return false;
  Group& group = groups_[id];
  if (leadership.term <= group.leadership.term) return false;
  group.leadership = leadership;
  group.highest_term = std::max(group.highest_term, leadership.term);
  group.primary_last_seen = context_.now;
  group.unconfirmed_samples.clear();
  group.claim_due.reset();
  if (group.claim && group.claim->term <= leadership.term) group.claim.reset();
  context_.Count("leaderships_learned");
  context_.Log("new leadership: group " + id + " term " +
               std::to_string(leadership.term) + " primary " +
               leadership.primary);
  StartDissemination(group);
  disseminating_.insert(id);
  return true;
}

void GroupMonitor::StartDissemination(Group& group) {
  group.transmissions_left = kLeadershipTransmissions;
}

void GroupMonitor::AddLeadershipUpdates(Gossip& gossip) {
  if (gossip.full) {
    for (const auto& [id, group] : groups_) {
      if (group.leadership.term > 1) {
        gossip.leaderships.push_back({id, group.leadership});
      }
    }
    return;
  }
  for (auto it = disseminating_.begin(); it != disseminating_.end();) {
    if (gossip.leaderships.size() >= kLeadershipsPerMessage) return;
    Group& group = groups_[*it];
    gossip.leaderships.push_back({*it, group.leadership});
    it = --group.transmissions_left <= 0 ? disseminating_.erase(it)
                                         : std::next(it);
  }
}

std::optional<GroupId> GroupMonitor::OnResult(
    const GroupOperationResult& result) {
  const auto found = pending_operations_.find(result.call);
  if (found == pending_operations_.end()) return std::nullopt;
  const PendingOperation call = found->second;
  pending_operations_.erase(found);
  const auto it = groups_.find(call.group);
  if (it == groups_.end()) return std::nullopt;
  Group& group = it->second;
  if (!group.servers.contains(call.server)) return std::nullopt;
  if (call.type == PendingOperation::Type::kStatus) {
    OnStatus(call.group, group, call, result.status);
    return call.group;
  }
  if (!result.status) return std::nullopt;
  if (call.type == PendingOperation::Type::kFence) {
    OnGrant(call.group, group, call, *result.status);
  } else if (call.type == PendingOperation::Type::kPromote) {
    OnPromoted(call.group, group, call, *result.status);
  }
  return call.group;
}

void GroupMonitor::OnStatus(const GroupId& id, Group& group,
                            const PendingOperation& call,
                            const std::optional<ServerStatus>& status) {
  ServerView& view = group.servers[call.server];
  view.poll_started.reset();
  view.last_poll_failed = !status.has_value();
  if (!status) {
    context_.Count("group_poll_failures");
    SchedulePoll(id, call.server, kFailedPollDelay);
    ScheduleClaimIfNeeded(id, group);
    return;
  }
  SchedulePoll(id, call.server,
               group.fast_polling_depth > 0 ? context_.options.fast_poll_pause
                                            : PollInterval(id));
  view.status = status;
  view.status_requested = call.sent;
  group.highest_term = std::max(group.highest_term, status->term);
  if (status->role == ServerRole::kPrimary) {
    AdoptLeadership(id, {status->term, call.server, status->starts});
    if (status->term == group.leadership.term &&
        call.server == group.leadership.primary) {
      group.primary_last_seen = context_.now;
      group.leadership.starts = status->starts;
      AddSample(group, *status, call.sent);
    }
  }
  ConfirmSamples(group);
  RedirectToPrimary(id, group, call.server, *status);
  ScheduleClaimIfNeeded(id, group);
}

void GroupMonitor::AddSample(Group& group, const ServerStatus& status,
                             TimePoint sent) {
  group.unconfirmed_samples.push_back({sent, status.last});
  if (group.unconfirmed_samples.size() > kMaxSamples)
    group.unconfirmed_samples.pop_front();
}

std::size_t GroupMonitor::ConfirmationCount(const Group& group, Term term,
                                            TimePoint since) const {
  return static_cast<std::size_t>(std::count_if(
      group.servers.begin(), group.servers.end(), [&](const auto& it) {
        const ServerView& view = it.second;
        return view.status && view.status->term == term &&
               view.status_requested >= since;
      }));
}

void GroupMonitor::ConfirmSamples(Group& group) {
  const std::size_t majority = Majority(group.servers.size());
  std::size_t confirmed = group.unconfirmed_samples.size();
  while (confirmed > 0) {
    const Sample& sample = group.unconfirmed_samples[confirmed - 1];
    if (ConfirmationCount(group, group.leadership.term, sample.sent) >=
        majority) {
      break;
    }
    --confirmed;
  }
  for (; confirmed > 0; --confirmed) {
    group.confirmed_samples.push_back(group.unconfirmed_samples.front());
    group.unconfirmed_samples.pop_front();
  }
  while (group.confirmed_samples.size() > kMaxSamples)
    group.confirmed_samples.pop_front();
}

std::optional<TimePoint> GroupMonitor::ConfirmedCurrentAt(const GroupId& id,
                                                          Position read) const {
  const auto it = groups_.find(id);
  if (it == groups_.end()) return std::nullopt;
  const auto& samples = it->second.confirmed_samples;
  const auto found = std::find_if(
      samples.rbegin(), samples.rend(),
      [&](const Sample& at) { return LogContains(read, at.position); });
  if (found == samples.rend()) return std::nullopt;
  return found->sent;
}

bool GroupMonitor::ConfirmedSince(const GroupId& id, Term term,
                                  TimePoint since) const {
  const auto it = groups_.find(id);
  if (it == groups_.end()) return false;
  const Group& group = it->second;
  if (group.leadership.term != term) return false;
  const auto primary = group.servers.find(group.leadership.primary);
  if (primary == group.servers.end() || !primary->second.status) return false;
  const ServerView& view = primary->second;
  return view.status->role == ServerRole::kPrimary &&
         view.status->term == term && view.status_requested >= since &&
         ConfirmationCount(group, term, since) >=
             Majority(group.servers.size());
}

bool GroupMonitor::HasReplicated(const ServerView& view, Position position) {
  if (!view.status || view.status->term != position.term) return false;
  const Position last = view.status->last;
  return last.term == position.term && last.index >= position.index;
}

std::size_t GroupMonitor::ReplicationCount(const GroupId& id,
                                           Position position) const {
  const auto it = groups_.find(id);
  if (it == groups_.end()) return 0;
  const Group& group = it->second;
  std::size_t replicated = 0;
  for (const auto& [server, view] : group.servers) {
    if (server == group.leadership.primary) {
      // The primary has everything it committed, unless it was replaced.
      replicated += group.leadership.term == position.term ? 1 : 0;
      continue;
    }
    if (HasReplicated(view, position)) ++replicated;
  }
  return replicated;
}

std::size_t GroupMonitor::ReadReplicationCount(const GroupId& id,
                                               Position position,
                                               const ServerId& reader) const {
  const Leadership& lead = LeadershipOf(id);
  if (position.term > lead.term) return 0;
  if (position.term < lead.term) {
    // A server that has the first entry of the term has everything the term
    // inherited.
    const auto term_start = lead.starts.find(lead.term);
    if (term_start == lead.starts.end()) return 0;
    if (ClampToHistory(position, lead.starts) != position) return 0;
    return ReplicationCount(id, {lead.term, term_start->second});
  }
  const std::size_t replicated = ReplicationCount(id, position);
  if (reader == lead.primary) return replicated;
  const auto group = groups_.find(id);
  if (group == groups_.end()) return 0;
  const auto view = group->second.servers.find(reader);
  const bool counted = view != group->second.servers.end() &&
                       HasReplicated(view->second, position);
  return counted ? replicated : replicated + 1;
}

bool GroupMonitor::CanConfirmReplication(const GroupId& id) const {
  const auto it = groups_.find(id);
  if (it == groups_.end()) return false;
  const Group& group = it->second;
  const Duration window =
      2 * context_.options.poll_interval + context_.options.poll_timeout;
  return ConfirmationCount(group, group.leadership.term,
                           context_.now - window) >=
         Majority(group.servers.size());
}

std::optional<Position> GroupMonitor::LogEndOf(const ServerId& id) const {
  const Server* server = directory_.Find(id);
  if (server == nullptr) return std::nullopt;
  const auto group = groups_.find(server->group);
  if (group == groups_.end()) return std::nullopt;
  const auto view = group->second.servers.find(id);
  if (view == group->second.servers.end() || !view->second.status) {
    return std::nullopt;
  }
  return view->second.status->last;
}

void GroupMonitor::RedirectToPrimary(const GroupId& id, Group& group,
                                     const ServerId& server,
                                     const ServerStatus& status) {
  const Leadership& lead = group.leadership;
  if (lead.term == 0 || group.claim || server == lead.primary) return;
  if (status.term > lead.term) return;
  const Server* primary = directory_.Find(lead.primary);
  if (primary == nullptr) return;
  const bool follows = status.term == lead.term &&
                       status.role == ServerRole::kReplica &&
                       status.primary_address == primary->address;
  if (follows) return;
  context_.Count("servers_redirected");
  SendOperation(id, server, FollowOperation{lead.term, primary->address},
                PendingOperation::Type::kFollow, lead.term);
}

bool GroupMonitor::PrimaryLeaving(const Group& group) const {
  const Server* primary = directory_.Find(group.leadership.primary);
  if (primary == nullptr || !primary->leaving) return false;
  std::size_t not_leaving = 0;
  for (const auto& [id, view] : group.servers) {
    const Server* server = directory_.Find(id);
    if (server != nullptr && !server->leaving && !view.last_poll_failed) {
      ++not_leaving;
    }
  }
  return not_leaving >= Majority(group.servers.size());
}

bool GroupMonitor::PrimaryLost(const GroupId&, const Group& group) const {
  const Options& options = context_.options;
  const Duration window = 2 * options.poll_interval + options.poll_timeout;
  std::size_t silent = 0;
  std::size_t long_silent = 0;
  for (const auto& [id, view] : group.servers) {
    if (!view.status || context_.now - view.status_requested > window) continue;
    if (view.status->role == ServerRole::kPrimary) continue;
    const Duration heard = view.status->primary_heard;
    if (heard >= options.replica_silence) ++silent;
    if (heard >= options.replication_silence) ++long_silent;
  }
  const std::size_t majority = Majority(group.servers.size());
  if (long_silent >= majority) return true;
  return silent >= majority &&
         context_.now - group.primary_last_seen >= options.primary_silence;
}

void GroupMonitor::ScheduleClaimIfNeeded(const GroupId& id, Group& group) {
  if (!group.watched || group.claim) return;
  if (!PrimaryLost(id, group) && !PrimaryLeaving(group)) {
    group.claim_due.reset();
    return;
  }
  if (group.claim_due) return;
  const std::size_t rank = directory_.ClaimRank(id, group.highest_term);
  const Duration delay =
      context_.options.claim_rank_delay * static_cast<int>(rank);
  group.claim_due = context_.now + delay;
  context_.After(delay, {detail::TimerKind::kClaim, id, 0});
}

void GroupMonitor::StartClaim(const GroupId& id, Group& group) {
  Claim claim;
  claim.term = std::max(group.highest_term, group.leadership.term) + 1;
  claim.deadline = context_.now + context_.options.claim_timeout;
  group.highest_term = claim.term;
  group.claim = claim;
  context_.Count("claims_started");
  context_.Log("claiming leadership: group " + id + " term " +
               std::to_string(claim.term));
  for (const auto& [server, view] : group.servers) {
    SendOperation(id, server,
                  FenceOperation{claim.term, context_.self.instance},
                  PendingOperation::Type::kFence, claim.term);
  }
  context_.After(context_.options.claim_timeout,
                 {detail::TimerKind::kClaim, id, 0});
}

void GroupMonitor::OnGrant(const GroupId& id, Group& group,
                           const PendingOperation& call,
                           const ServerStatus& status) {
  group.highest_term = std::max(group.highest_term, status.term);
  if (!group.claim || group.claim->term != call.term) return;
  Claim& claim = *group.claim;
  const bool granted =
      status.term == claim.term && status.claimant == context_.self.instance;
  if (!granted || !claim.candidate.empty()) return;
  claim.grants[call.server] = status.last;
  const std::size_t majority = Majority(group.servers.size());
  if (!context_.policy->MayPromote(claim.grants.size(), majority)) return;
  std::size_t not_leaving = 0;
  for (const auto& [server, last] : claim.grants) {
    if (!directory_.Find(server)->leaving) ++not_leaving;
  }
  // Leaving servers are skipped only when the others alone form a majority: the
  // most advanced of them then has every acknowledged entry.
  const bool skip_leaving = not_leaving >= majority;
  if (PrimaryLeaving(group) && !skip_leaving) return;
  Position best;
  for (const auto& [server, last] : claim.grants) {
    if (skip_leaving && directory_.Find(server)->leaving) continue;
    const bool better =
        std::pair(last.term, last.index) >= std::pair(best.term, best.index);
    if (!better) continue;
    best = last;
    claim.candidate = server;
  }
  SendOperation(id, claim.candidate,
                PromoteOperation{claim.term, context_.self.instance},
                PendingOperation::Type::kPromote, claim.term);
}

void GroupMonitor::OnPromoted(const GroupId& id, Group& group,
                              const PendingOperation& call,
                              const ServerStatus& status) {
  if (status.role != ServerRole::kPrimary || status.term != call.term) return;
  group.claim.reset();
  AdoptLeadership(id, {status.term, call.server, status.starts});
  context_.Count("promotions");
  const Server* primary = directory_.Find(call.server);
  for (const auto& [server, view] : group.servers) {
    if (server == call.server || primary == nullptr) continue;
    SendOperation(id, server, FollowOperation{status.term, primary->address},
                  PendingOperation::Type::kFollow, status.term);
  }
  for (const auto& [server, view] : group.servers) Poll(id, group, server);
}

}  // namespace corianderdock
