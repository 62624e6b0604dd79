#include <algorithm>
#include <array>
#include <utility>

#include "corianderdock/detail/log_text.h"
#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

using detail::FormatPosition;
using detail::WholeMs;

namespace {

/// Time after a service's last statement during which its log position samples
/// are refreshed.
constexpr Duration kSampleIdleTimeout = std::chrono::seconds(3);
/// Stalled or lost commits, without a success in between, after which a primary
/// counts as cut off from its replicas.
constexpr int kStalledCommits = 3;
/// Time reserved for each instance to fence the replicas under its fallback
/// token. The next instance then finds the fences and does not promote.
constexpr Duration kFallbackTokenTurn = std::chrono::milliseconds(600);
/// Age of the server list up to which an instance without the store may order a
/// promotion. With the age of a stale read, 3 s, it has every server that has
/// been listed for as long as one must be to count for commits.
constexpr Duration kMaxListAge = std::chrono::milliseconds(9000);
/// Instances that claim a promotion as soon as the primary is lost, and the
/// time between their claims.
constexpr int kEarlyClaimants = 4;
constexpr Duration kEarlyClaimTurn = std::chrono::milliseconds(40);
/// Delays of the others, which exceed the usual time of a promotion.
constexpr Duration kLateClaimDelay = std::chrono::milliseconds(1200);
constexpr Duration kLateClaimTurn = std::chrono::milliseconds(20);
constexpr Duration kMaxClaimDelay = std::chrono::milliseconds(2000);
/// A primary that still answers this long after another server fell silent is
/// not behind the same partition as that one.
constexpr Duration kSeparationEvidence = std::chrono::milliseconds(1000);
/// Time after which fences that no promotion followed are taken to be those of
/// a claimant that stopped. Longer than a promotion takes.
constexpr Duration kForeignFenceLimit = std::chrono::milliseconds(2500);
/// Time from the listing of a server as draining until the server that replaces
/// it is listed as well.
constexpr Duration kJoinerListedTime = std::chrono::milliseconds(2500);
/// Interval of queries for the end of a log that a promotion waits for.
constexpr Duration kReceivedQueryInterval = std::chrono::milliseconds(100);
/// Time from the appearance of a new primary to the check whether its order was
/// removed from the record. Longer than the instance that gave it needs.
constexpr Duration kOrderCheckDelay = std::chrono::milliseconds(3000);
/// Age at which an unanswered commit counts as stalled.
constexpr Duration kCommitStall = std::chrono::milliseconds(400);

const char* NameOfWait(Failover::Wait wait) {
  constexpr std::array<const char*, 13> kNames = {
      "none",    "server_list", "silent_server",    "claim_turn",
      "claim",   "demotion",    "fences",           "lease",
      "joiner",  "position",    "unanswered_order", "order",
      "takeover"};
  return kNames[static_cast<std::size_t>(wait)];
}

const char* NameOfResult(PromotionResult result) {
  constexpr std::array<const char*, 3> kNames = {"accepted", "refused",
                                                 "unknown"};
  return kNames[static_cast<std::size_t>(result)];
}

ServerCommand ControlCommand(Verb verb, Term term) {
  ServerCommand command;
  command.statement.verb = verb;
  command.term = term;
  return command;
}

}  // namespace

void Proxy::NotePrimary(ServerPool& pool, std::optional<Position> position,
                        TimePoint sent) {
  Service& service = ServiceOf(pool.entry.service);
  if (position && position->term > service.newest_term) {
    pool.leader_term = position->term;
    NoteNewerTerm(service, position->term);
  }
  if (pool.leader_term != 0 && pool.leader_term < service.newest_term) {
    return DemoteStaleLeader(pool);
  }
  const auto current = pools_.find(service.primary);
  const bool other_leads = current != pools_.end() && &current->second != &pool;
  // What a server did before another one was proven to lead shows nothing.
  if (other_leads && service.led_at && sent <= *service.led_at) return;
  // Another server accepts work as the primary, or led in a newer term than the
  // log shows. The one with the highest term leads.
  const bool outdated = position && position->term < service.newest_term;
  const bool contested = other_leads && !current->second.failing;
  if (pool.leader_term == 0 && NeedsProof() && (contested || outdated)) {
    return QueryServer(pool);
  }
  if (service.primary == pool.entry.id) service.led_at = sent;
  if (position) {
    service.last_primary = pool.entry.id;
    service.last_primary_term = std::max(pool.leader_term, position->term);
    AddSample(service, *position, sent);
  }
  service.failover.OnPrimaryConfirmed(pool.entry.id);
  if (service.primary == pool.entry.id) return;
  RestartPace(pool);
  Warn("primary found service=" + pool.entry.service + " id=" + pool.entry.id +
       " previous=" + service.primary +
       " position=" + FormatPosition(position) +
       " acknowledged=" + FormatPosition(service.acknowledged.position()));
  if (!service.primary.empty() || fallback_token_ != 0) Emit(RenewToken{});
  service.primary = pool.entry.id;
  if (service.previous_led_by != pool.entry.id) {
    service.term_began_after = service.led_at;
  }
  service.previous_led_by = pool.entry.id;
  service.led_at = sent;
  service.primary_since = now_;
  service.order_check_at = now_ + kOrderCheckDelay;
  service.switching_over = false;
  ResetProof(service);
  if (pool.leader_term == 0 && NeedsProof()) QueryServer(pool);
  pool.lost_commits = 0;
  services_to_dispatch_.insert(pool.entry.service);
}

void Proxy::NoteNotPrimary(ServerPool& pool) {
  Service& service = ServiceOf(pool.entry.service);
  if (service.primary != pool.entry.id) return;
  Warn("primary lost service=" + pool.entry.service + " id=" + pool.entry.id +
       " reason=server is not primary");
  service.primary.clear();
  pool.leader_term = 0;
  ResetProof(service);
  service.no_primary_since = now_;
  service.last_search = {};
}

/// Probes whether a server is the primary: only a primary accepts BEGIN.
void Proxy::ProbeLeadership(ServerPool& pool) {
  ServerCommand begin;
  begin.statement.verb = Verb::kBegin;
  ServerCommand end;
  end.statement.verb = Verb::kRollback;
  SendControl(pool.entry.id, std::move(begin), Step::kProbe);
  SendControl(pool.entry.id, std::move(end), Step::kEnd);
}

/// Sends a command of the proxy over an unbound connection, opening one if none
/// is available.
void Proxy::SendControl(const ServerId& server, ServerCommand command,
                        Step step) {
  ServerPool& pool = pools_.at(server);
  if (pool.control_connection != 0 &&
      connections_.contains(pool.control_connection)) {
    Connection& control = connections_.at(pool.control_connection);
    if (!control.open) {
      control.commands_on_open.emplace_back(step, std::move(command));
      return;
    }
    const bool free = control.bound_session == 0 && control.bound_peer == 0;
    // What was sent before on a retired one must come first.
    if (free && (!control.retired || !control.expected.empty())) {
      std::erase(pool.idle, pool.control_connection);
      return SendOne(pool.control_connection, std::move(command), step,
                     step == Step::kProbe);
    }
  }
  if (!pool.idle.empty()) {
    pool.control_connection = pool.idle.back();
    pool.idle.pop_back();
    return SendOne(pool.control_connection, std::move(command), step,
                   step == Step::kProbe);
  }
  // Until the instances are known, their commands could fill the server.
  if (instances_.empty() && ConnectionShare(pool) == 0) return;
  pool.control_connection = OpenConnection(pool);
  connections_.at(pool.control_connection)
      .commands_on_open.emplace_back(step, std::move(command));
}

bool Proxy::CommitsStall(const ServerPool& pool) const {
  int stalled = pool.lost_commits;
  for (const ConnectionId id : pool.connections) {
    const auto& expected = connections_.at(id).expected;
    if (expected.empty() || !expected.front().commits_writes) continue;
    if (now_ - expected.front().sent >= kCommitStall) ++stalled;
  }
  return stalled >= kStalledCommits;
}

bool Proxy::PrimaryLost(const Service& service) const {
  const Duration primary_loss_timeout = options_.failover.primary_loss_timeout;
  if (service.primary.empty()) {
    return now_ - service.no_primary_since >= 2 * primary_loss_timeout;
  }
  const ServerPool& pool = pools_.at(service.primary);
  if (pool.entry.draining) return true;
  const Duration limit =
      pool.connect_failures >= options_.dead_connect_failures
          ? std::min(primary_loss_timeout, options_.dead_connect_failure_time)
          : primary_loss_timeout;
  // A server that refuses connections over its limit runs.
  const bool full = pool.last_refused_full != TimePoint{} &&
                    now_ - pool.last_refused_full < primary_loss_timeout;
  if (pool.failing && !full && now_ - pool.failing_since >= limit) return true;
  const auto fenced_since = service.proof.fenced_since();
  // Old reports may be of fences that were released since.
  const bool fenced = fenced_since && service.proof.FenceReported(now_);
  if (fenced && now_ - *fenced_since >= kForeignFenceLimit) return true;
  return service.switching_over || CommitsStall(pool);
}

/// Whether a switchover would relieve an overloaded primary. Replicas may apply
/// the log so late that they can serve no read for minutes, which leaves all
/// reads to the primary.
bool Proxy::SwitchoverHelps(const Service& service) const {
  const bool overloaded =
      service.queue_refusals >= options_.switchover_refusals &&
      now_ - service.queue_refusals_since < options_.switchover_refusal_window;
  const bool tenure_reached =
      now_ - service.primary_since >= options_.min_primary_tenure;
  if (!tenure_reached || !overloaded) return false;
  int behind = 0;
  for (const ServerId& id : service.servers) {
    const ServerPool& pool = pools_.at(id);
    if (id == service.primary || !pool.listed) continue;
    if (!pool.behind_since || pool.failing) return false;
    if (now_ - *pool.behind_since < options_.switchover_behind_time) {
      return false;
    }
    ++behind;
  }
  return behind > 0;
}

/// Starts or cancels a switchover. Once its failover has begun, it is not
/// reconsidered until that ends.
void Proxy::ConsiderSwitchover(const ServiceId& id, Service& service) {
  if (service.failover.phase() != Failover::Phase::kIdle) return;
  const bool helps = SwitchoverHelps(service);
  if (helps && !service.switching_over) {
    Warn("switchover requested service=" + id + " primary=" + service.primary +
         " reason=all replicas lag behind refused=" +
         std::to_string(service.queue_refusals));
  }
  service.switching_over = helps;
}

void Proxy::NoteQueueRefusal(Service& service) {
  if (now_ - service.queue_refusals_since >=
      options_.switchover_refusal_window) {
    service.queue_refusals_since = now_;
    service.queue_refusals = 0;
  }
  ++service.queue_refusals;
}

ServerId Proxy::PrimaryOfService(const ServerPool& pool) const {
  const auto it = services_.find(pool.entry.service);
  return it == services_.end() ? ServerId() : it->second.primary;
}

/// Number of instances that come before this one in promoting a server of
/// `service`, in an order that all instances compute alike. Instances in the
/// zone of the lost primary go last: a partition may hide replicas from them.
int Proxy::PromotionRank(const Service& service) const {
  const std::string salt =
      service.servers.empty() ? std::string() : *service.servers.begin();
  const auto primary = pools_.find(service.primary);
  const ZoneId lost =
      primary == pools_.end() ? ZoneId() : primary->second.entry.zone;
  const auto rank = [&](const InstanceId& id, const ZoneId& zone) {
    return std::pair(zone == lost, std::hash<std::string>{}(id + "/" + salt));
  };
  const auto own = rank(self_.id, self_.zone);
  return static_cast<int>(std::count_if(
      instances_.begin(), instances_.end(),
      [&](const auto& it) { return rank(it.first, it.second.zone) < own; }));
}

/// Delay before this instance may promote under its fallback token. Without the
/// store, instances take turns, because concurrent promotions could invalidate
/// each other's fence reports.
Duration Proxy::FallbackTokenDelay(const Service& service) const {
  return kFallbackTokenTurn * PromotionRank(service);
}

/// Delay before this instance claims a promotion at the store. A few instances
/// claim early; the others only when these had time to finish, so that a large
/// fleet asks the store a few times for each promotion.
Duration Proxy::ClaimDelay(const Service& service) const {
  const int rank = PromotionRank(service);
  if (rank < kEarlyClaimants) return kEarlyClaimTurn * rank;
  return std::min(kLateClaimDelay + kLateClaimTurn * rank, kMaxClaimDelay);
}

/// Whether a promotion waits for this server, as it may have the only copy of
/// an acknowledged commit. Servers keep their log when they crash or leave the
/// list. One may be left out if another has its address; if neither this
/// instance and the relays nor the store hear from it, and the primary reported
/// a position afterwards, which the logs of the others must then reach; or if
/// it has been gone for so long that it won't return.
bool Proxy::IsAwaited(const ServerPool& pool) const {
  if (pool.superseded) return false;
  if (pool.listed && pool.failing) return !IsPhantom(pool);
  if (pool.listed || !pool.failing) return true;
  return !pool.covered_by && MayReturn(pool);
}

/// Whether a server that neither answers nor is listed may still return.
bool Proxy::MayReturn(const ServerPool& pool) const {
  const TimePoint gone_since = std::max(pool.unlisted_at, pool.failing_since);
  return now_ - gone_since < options_.unlisted_server_retention;
}

/// Notes a position of the primary for the servers that fell silent before it
/// was reported.
void Proxy::NoteCovered(const Service& service, Position position,
                        TimePoint sent) {
  for (const ServerId& id : service.servers) {
    ServerPool& pool = pools_.at(id);
    if (!pool.failing || pool.covered_by) continue;
    if (sent < pool.failing_since + kSeparationEvidence) continue;
    pool.covered_by = position;
    Warn("silent server not awaited id=" + id +
         " position=" + FormatPosition(position));
  }
}

/// Has a promotion wait for the last primary, which has all that it
/// acknowledged, if the logs of the others may lack some of it.
void Proxy::AwaitLastPrimary(const Service& service,
                             Failover::Situation& situation) const {
  if (!LogsMayLack(service, situation.replicas)) return;
  const auto last = pools_.find(LastPrimaryOf(service));
  if (last == pools_.end() || last->second.superseded) return;
  const ServerPool& pool = last->second;
  const bool gone =
      pool.failing && (pool.listed ? IsPhantom(pool) : !MayReturn(pool));
  if (gone) return;
  situation.needed_log = last->first;
  if (pool.failing) situation.replicas_reachable = false;
}

Failover::Situation Proxy::SituationOf(const Service& service) const {
  Failover::Situation situation;
  situation.now = now_;
  situation.primary = service.primary;
  situation.last_primary = service.last_primary;
  situation.last_primary_term = service.last_primary_term;
  situation.newest_term = service.newest_term;
  const bool view_is_fresh =
      !isolated_since_ &&
      (!isolation_ended_ ||
       now_ - *isolation_ended_ >= options_.isolation_settle_time);
  // An order whose claimant stopped is completed, as a commit that the primary
  // acknowledges until its execution could be missing at the server ordered.
  situation.primary_lost =
      view_is_fresh && (PrimaryLost(service) || OrphanedOrder(service));
  situation.server_list_complete = server_list_complete_ && members_known_;
  if (now_ - servers_read_at_ <= kMaxListAge) {
    situation.fallback_token = fallback_token_;
  }
  situation.fallback_token_delay = FallbackTokenDelay(service);
  if (situation.primary_lost) situation.claim_delay = ClaimDelay(service);
  const MemberRecord& record = service.members.record();
  situation.recorded_order = record.ordered;
  situation.recorded_token = record.order_token;
  situation.recorded_since = service.members.order_known_since();
  situation.recorded_end = record.order_end;
  situation.replicas_reachable = true;
  const auto primary = pools_.find(service.primary);
  const bool known = primary != pools_.end();
  if (known) situation.primary_term = primary->second.leader_term;
  situation.primary_leaving =
      known && !primary->second.failing &&
      (primary->second.entry.draining || service.switching_over);
  for (const ServerId& id : service.servers) {
    const ServerPool& pool = pools_.at(id);
    if (pool.entry.draining && now_ - pool.draining_since < kJoinerListedTime) {
      situation.joiner_expected = true;
    }
    if (id == service.primary) continue;
    if (pool.superseded) continue;
    if (!IsAwaited(pool)) {
      if (MayReturn(pool)) {
        situation.required = LaterPosition(situation.required, pool.covered_by);
      }
      continue;
    }
    situation.replicas[id] = pool.entry.draining;
    if (pool.failing) situation.replicas_reachable = false;
  }
  AwaitLastPrimary(service, situation);
  // Fences would keep a primary that returns from acknowledging commits, so
  // none are set for a promotion that can't succeed.
  const bool reached =
      !situation.required ||
      std::any_of(situation.replicas.begin(), situation.replicas.end(),
                  [&](const auto& it) {
                    return Reaches(pools_.at(it.first), *situation.required);
                  });
  if (!reached) situation.replicas_reachable = false;
  return situation;
}

bool Proxy::Reaches(const ServerPool& pool, Position required) {
  const auto end = LaterPosition(pool.log_position, pool.received);
  return end && LogContains(*end, required);
}

/// Asks the replicas for the ends of their logs while a promotion waits for one
/// that reaches what servers that are left out may have.
void Proxy::QueryReceived(Service& service) {
  if (!PrimaryLost(service)) return;
  const Failover::Situation situation = SituationOf(service);
  if (!situation.required) return;
  for (const auto& [id, draining] : situation.replicas) {
    ServerPool& pool = pools_.at(id);
    const bool due = now_ - pool.last_query >= kReceivedQueryInterval;
    if (due && !Reaches(pool, *situation.required)) QueryServer(pool);
  }
}

/// Refreshes log position samples, searches for unknown or failing primaries
/// and advances failovers.
void Proxy::CheckServices() {
  for (auto& [id, service] : services_) {
    if (service.servers.empty()) continue;
    const bool in_use = now_ - service.last_used < kSampleIdleTimeout;
    const auto pool = pools_.find(service.primary);
    const bool has_primary = pool != pools_.end();
    const bool primary_uncertain =
        !has_primary || pool->second.failing ||
        service.failover.phase() != Failover::Phase::kIdle;
    if (primary_uncertain &&
        now_ - service.last_search >= options_.search_interval) {
      service.last_search = now_;
      SearchPrimary(service);
    }
    const auto newest = service.samples.NewestSendTime();
    const bool stale = !newest || now_ - *newest >= options_.sample_interval;
    const bool may_probe =
        has_primary && !pool->second.failing &&
        now_ - pool->second.last_probe >= options_.sample_interval;
    if (service.needs_samples && in_use && stale && may_probe) {
      pool->second.last_probe = now_;
      ProbeLeadership(pool->second);
    }
    CheckProofs(service);
    CheckLogs(service);
    QueryReceived(service);
    RefuseWithoutPrimary(service);
    ConsiderSwitchover(id, service);
    const bool needs_failover =
        in_use || service.failover.phase() != Failover::Phase::kIdle ||
        !service.failover.fences_left().empty();
    if (!needs_failover) continue;
    const Failover::Situation situation = SituationOf(service);
    Perform(id, service.failover.Step(situation));
    NotePromotionWait(service, situation);
  }
}

/// Counts the time for which a promotion waits by what it waits for, and logs
/// each change.
void Proxy::NotePromotionWait(Service& service,
                              const Failover::Situation& situation) {
  const Failover::Wait wait = service.failover.WaitsFor(situation);
  const Duration elapsed = now_ - service.wait_counted_at;
  service.wait_counted_at = now_;
  if (service.wait != Failover::Wait::kNone) {
    const auto us =
        std::chrono::duration_cast<std::chrono::microseconds>(elapsed);
    counters_[std::string("promotion_wait_us_") + NameOfWait(service.wait)] +=
        static_cast<std::uint64_t>(us.count());
  }
  if (wait == service.wait) return;
  const bool waited = service.wait != Failover::Wait::kNone;
  Warn("promotion waits service=" + service.id + " for=" + NameOfWait(wait) +
       " before=" + NameOfWait(service.wait) +
       (waited ? " waited_ms=" + WholeMs(now_ - service.wait_since) : ""));
  service.wait = wait;
  service.wait_since = now_;
}

/// Probes every reachable server of a service for leadership.
void Proxy::SearchPrimary(Service& service) {
  for (const ServerId& id : service.servers) {
    ServerPool& pool = pools_.at(id);
    if (!pool.listed || pool.failing || pool.opening > 0) continue;
    if (now_ - pool.last_probe < options_.search_interval) continue;
    pool.last_probe = now_;
    ProbeLeadership(pool);
    if (NeedsProof()) QueryServer(pool);
  }
}

void Proxy::Perform(const ServiceId& id, const Failover::Actions& actions) {
  for (const auto& action : actions) {
    std::visit([&](const auto& it) { Do(id, it); }, action);
  }
}

void Proxy::Do(const ServiceId& id, const Failover::Claim& /*claim*/) {
  Warn("promotion claim requested service=" + id +
       " primary=" + ServiceOf(id).primary);
  Count("promotion_claims");
  Emit(ClaimPromotion{id, ServiceOf(id).members.record().revision});
}

void Proxy::Do(const ServiceId& id, const Failover::KeepClaim& /*keep*/) {
  Emit(KeepClaim{id});
}

void Proxy::Do(const ServiceId& /*id*/, const Failover::Inspect& inspect) {
  SendControl(inspect.server, ControlCommand(Verb::kStatus, 0), Step::kInspect);
}

void Proxy::Do(const ServiceId& /*id*/, const Failover::Fence& fence) {
  SendControl(fence.server, ControlCommand(Verb::kHold, fence.term),
              Step::kFence);
}

void Proxy::Do(const ServiceId& /*id*/, const Failover::Demote& demote) {
  SendControl(demote.server, ControlCommand(Verb::kDemote, demote.term),
              Step::kDemote);
}

void Proxy::Do(const ServiceId& /*id*/, const Failover::Resume& resume) {
  Warn("replica fence released id=" + resume.server);
  SendControl(resume.server, ControlCommand(Verb::kResume, 0), Step::kResume);
}

void Proxy::Do(const ServiceId& id, const Failover::Record& record) {
  MemberRecord members = ServiceOf(id).members.record();
  const bool other =
      !members.ordered.empty() && members.ordered != record.server;
  if (other) members.superseded.insert(members.ordered);
  members.superseded.erase(record.server);
  const bool again =
      members.ordered == record.server && members.order_token == record.token;
  members.order_renewals = again ? members.order_renewals + 1 : 0;
  members.ordered = record.server;
  members.order_token = record.token;
  members.order_end = record.end;
  Emit(RecordOrder{id, std::move(members), record.token});
}

void Proxy::Do(const ServiceId& id, const Failover::Order& order) {
  Warn("promotion ordered" + DescribeOrder(ServiceOf(id), order));
  Count("promotion_orders");
  Emit(PromoteServer{id, order.server, order.token});
}

void Proxy::On(const ClaimAnswered& event) {
  const auto it = services_.find(event.service);
  if (it == services_.end()) return;
  Warn("promotion claim answered service=" + event.service +
       " token=" + std::to_string(event.token) + " store_unreachable=" +
       std::to_string(static_cast<int>(event.store_unreachable)));
  Perform(it->first,
          it->second.failover.OnClaim(SituationOf(it->second), event));
}

void Proxy::On(const OrderRecorded& event) {
  const auto it = services_.find(event.service);
  if (it == services_.end()) return;
  Warn("promotion order recorded service=" + event.service +
       " recorded=" + std::to_string(static_cast<int>(event.recorded)));
  Perform(it->first, it->second.failover.OnRecorded(SituationOf(it->second),
                                                    event.recorded));
}

void Proxy::On(const TokenObtained& event) {
  Warn("fallback token obtained token=" + std::to_string(event.token));
  fallback_token_ = event.token;
}

void Proxy::On(const PromotionAnswered& event) {
  const auto it = services_.find(event.service);
  if (it == services_.end()) return;
  Warn("promotion answered service=" + event.service + " id=" + event.server +
       " result=" + NameOfResult(event.result));
  Perform(it->first,
          it->second.failover.OnOrdered(SituationOf(it->second), event.result));
}

void Proxy::OnStatusAnswer(ServerPool& pool, const ExpectedReply& expected,
                           const Reply& reply) {
  Service& service = ServiceOf(pool.entry.service);
  const Step step = expected.step;
  const auto& status = reply.status;
  if (step == Step::kWitness) --pool.queries;
  if (reply.error == ErrorCode::kBusy && step == Step::kWitness) {
    return Count("status_refused");
  }
  if (reply.error != ErrorCode::kNone || !status) {
    std::string text = "server status unavailable id=" + pool.entry.id +
                       " detail=" + reply.detail;
    return step == Step::kWitness ? Log(std::move(text))
                                  : Warn(std::move(text));
  }
  if (step == Step::kDemote) {
    Warn("primary demoted id=" + pool.entry.id +
         " end=" + FormatPosition(status->received));
    Perform(pool.entry.service,
            service.failover.OnDemoted(SituationOf(service), pool.entry.id,
                                       *status));
  }
  OnServerStatus(pool, expected.sent, *status);
  if (step == Step::kWitness || step == Step::kDemote) return;
  pool.fence_query_sent = expected.sent;
  pool.fence_reported = now_;
  if (step == Step::kInspect) {
    LogFence(pool, *status,
             "replica status received id=" + pool.entry.id +
                 " fence_term=" + std::to_string(status->fence_term));
    return Perform(pool.entry.service, service.failover.OnInspected(
                                           SituationOf(service), pool.entry.id,
                                           expected.sent, *status));
  }
  LogFence(pool, *status,
           "replica fenced id=" + pool.entry.id +
               " received=" + FormatPosition(status->received) +
               " fence_term=" + std::to_string(status->fence_term));
  Perform(pool.entry.service,
          service.failover.OnFenced(SituationOf(service), pool.entry.id,
                                    expected.sent, *status));
}

}  // namespace corianderdock::session
