#include <algorithm>
#include <utility>
#include <vector>

#include "corianderdock/detail/log_text.h"
#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

using detail::WholeMs;

namespace {

/// Interval at which the proof of a held commit is looked for.
constexpr Duration kHolderQueryInterval = std::chrono::milliseconds(10);
/// Initial and longest pause between rounds of status queries.
constexpr Duration kMinStatusPause = std::chrono::milliseconds(10);
constexpr Duration kMaxStatusPause = std::chrono::milliseconds(160);
/// Longest time until a commit appears in replies that counts, and the weight
/// of the earlier ones in the average.
constexpr Duration kMaxApplyDelay = std::chrono::milliseconds(2000);
constexpr int kApplyDelayDivisor = 8;
/// Interval at which that time is measured.
constexpr Duration kTimedInterval = std::chrono::milliseconds(1000);
/// Interval of status queries to a replica of which too little is known.
constexpr Duration kUnknownQueryInterval = std::chrono::milliseconds(1000);
/// Time for which a commit is held before the record is read for the order of
/// an instance that has stopped.
constexpr Duration kOrderReadDelay = std::chrono::milliseconds(100);

}  // namespace

/// Whether every claimant knows this replica, and fences it before an order. An
/// instance that can't reach the store orders by a list that is younger.
bool Proxy::IsCounted(const Service& service, const ServerPool& pool) const {
  if (pool.entry.id == service.primary || pool.superseded) return false;
  if (!pool.listed || pool.entry.draining) return false;
  const bool established = pool.listed_since == TimePoint{};
  const bool listed_long =
      established || now_ - pool.listed_since >= service.quorum.settle_time();
  const bool named =
      !options_.safety->RememberMembers() || service.members.Names(pool.entry);
  return listed_long && named;
}

/// Whether an order that may still be executed could be for this server: also
/// for the primary before, by an instance that didn't see it replaced.
bool Proxy::IsPromotable(const Service& service, const ServerPool& pool) const {
  const ServerId& id = pool.entry.id;
  if (id == service.primary) return false;
  if (pool.superseded || IsPhantom(pool)) return false;
  return pool.listed || !pool.failing || MayReturn(pool);
}

/// Whether no order that was given before the present primary was promoted can
/// be executed any more: it was ordered under a claim. Only one server is under
/// such orders at a time, and the platform refuses those under the lower tokens
/// of instances that could not reach the store.
bool Proxy::OrdersEnded(const Service& service) const {
  const MemberRecord& record = service.members.record();
  const bool current = service.members_current_at > service.primary_since;
  const bool ordered =
      record.ordered == service.primary || record.leader == service.primary;
  return options_.failover.tokens_checked && current && ordered &&
         !service.primary.empty() && record.superseded.empty();
}

CommitQuorum::Servers Proxy::ServersForCommits(const Service& service) const {
  CommitQuorum::Servers servers;
  servers.all_known = members_known_ && servers_known_;
  if (OrdersEnded(service)) servers.term_began_after = service.term_began_after;
  for (const ServerId& id : service.servers) {
    const ServerPool& pool = pools_.at(id);
    if (IsCounted(service, pool)) servers.counted.insert(id);
    if (IsPromotable(service, pool)) servers.promotable.insert(id);
  }
  return servers;
}

/// Notes what a reply tells of the process and the log of its server. The owner
/// of a shared connection tells since when the process runs; other replies over
/// one don't.
void Proxy::NoteReport(ServerPool& pool, const Connection& connection,
                       const ExpectedReply& expected, const Reply& reply) {
  if (!reply.position && !reply.status) return;
  CommitQuorum::Report report;
  report.sent = expected.sent;
  report.received_at = now_;
  if (!connection.shared) report.running_since = connection.opened_at;
  if (reply.status) {
    if (connection.shared && reply.status->running_for) {
      report.running_since = now_ - *reply.status->running_for;
    }
    report.term = reply.status->term;
    report.end = reply.status->received;
    if (!reply.status->primary) report.fenced = reply.status->fence_term != 0;
  } else {
    report.term = reply.position->term;
    report.end = *reply.position;
    // The owner of a shared connection may answer by what it knows itself.
    if (!connection.shared) NoteLogPosition(pool, report.end, now_);
  }
  Service& service = ServiceOf(pool.entry.service);
  service.quorum.Add(pool.entry.id, report);
  if (!reply.status) NoteApplied(service, pool, report.end);
  if (!service.awaiting_proof.empty()) ReleaseCommits(service);
}

/// Measures how long commits take to appear in replies that show what a replica
/// has applied.
void Proxy::NoteApplied(Service& service, const ServerPool& pool,
                        Position end) {
  if (!service.timed_commit || !IsCounted(service, pool)) return;
  const auto& [position, since] = *service.timed_commit;
  const bool applied = end.term == position.term && end.index >= position.index;
  if (!applied && now_ - since < kMaxApplyDelay) return;
  const Duration delay = std::min(now_ - since, kMaxApplyDelay);
  if (!service.apply_delay) service.apply_delay = delay;
  *service.apply_delay += (delay - *service.apply_delay) / kApplyDelayDivisor;
  service.timed_commit.reset();
}

/// Contacts a replica until the timed commit appears.
void Proxy::TimeApplied(Service& service) {
  if (!service.timed_commit) return;
  const auto lacking = ServersWithout(service, service.timed_commit->first);
  for (ServerPool* pool : lacking) {
    if (pool->shared || pool->idle.empty()) continue;
    pool->last_contact = now_;
    return ContactReplica(*pool);
  }
  service.timed_commit.reset();  // statuses have shown it
}

/// Whether a held commit isn't expected in other replies early enough for its
/// client, so that servers must be asked. That occupies a slot of theirs.
bool Proxy::MustAsk(const Service& service,
                    const PendingStatement& pending) const {
  const Duration objective = pending.route->latency_objective;
  const Duration passed = now_ - pending.arrived;
  const Duration held = now_ - pending.held_since;
  const Duration expected = service.apply_delay.value_or(kMaxApplyDelay) - held;
  return passed + std::max(expected, objective / 4) >= objective;
}

/// Returns what excludes the loss of a commit of the present primary.
CommitBasis Proxy::BasisOf(const Service& service,
                           const CommitQuorum::Commit& commit) const {
  return service.quorum.Find(commit, ServersForCommits(service));
}

/// Answers a commit once no promotion can lose it.
void Proxy::AnswerCommit(SessionId id, Session& session, TimePoint sent,
                         Reply reply) {
  PendingStatement& pending = *session.pending;
  Service& service = ServiceOf(pending.route->service);
  const bool required = service.limits.sync_replicas > 0 && reply.position &&
                        options_.safety->RequireReplicaProof();
  if (!required) {
    if (reply.position) {
      NoteAcknowledged(service, pending, *reply.position, CommitBasis::kNone);
    }
    return Answer(id, session, std::move(reply));
  }
  const CommitQuorum::Commit commit{*reply.position, sent};
  const CommitBasis basis = BasisOf(service, commit);
  if (basis != CommitBasis::kNone) {
    NoteAcknowledged(service, pending, commit.position, basis);
    return Answer(id, session, std::move(reply));
  }
  Count("commits_held");
  pending.held_commit = commit;
  pending.held_since = now_;
  if (!service.timed_commit && now_ - service.timed_at >= kTimedInterval) {
    service.timed_commit = {commit.position, now_};
    service.timed_at = now_;
  }
  pending.held_reply = std::move(reply);
  service.awaiting_proof.insert(id);
  ScheduleAfter(kHolderQueryInterval,
                {TimerKind::kHeldCommit, id, pending.statement_serial});
  QueryHolders(service);
}

/// Answers the held commits that no promotion can lose by now.
void Proxy::ReleaseCommits(Service& service) {
  const std::vector<SessionId> awaiting(service.awaiting_proof.begin(),
                                        service.awaiting_proof.end());
  if (awaiting.empty()) return;
  const CommitQuorum::Servers servers = ServersForCommits(service);
  for (const SessionId id : awaiting) {
    const auto it = sessions_.find(id);
    const bool held = it != sessions_.end() && it->second.pending &&
                      it->second.pending->held_reply;
    CommitBasis basis = CommitBasis::kNone;
    if (held) {
      basis = service.quorum.Find(it->second.pending->held_commit, servers);
      if (basis == CommitBasis::kNone) continue;
    }
    service.awaiting_proof.erase(id);
    if (!held) continue;
    service.holder_pause = Duration(0);
    PendingStatement& pending = *it->second.pending;
    NoteAcknowledged(service, pending, pending.held_commit.position, basis);
    Reply reply = std::move(*pending.held_reply);
    Answer(id, it->second, std::move(reply));
  }
}

void Proxy::OnHeldCommit(SessionId id, std::uint64_t statement_serial) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end() || !it->second.pending) return;
  const PendingStatement& pending = *it->second.pending;
  const bool held =
      pending.statement_serial == statement_serial && pending.held_reply;
  if (!held) return;
  Service& service = ServiceOf(pending.route->service);
  ScheduleAfter(kHolderQueryInterval,
                {TimerKind::kHeldCommit, id, statement_serial});
  ReleaseCommits(service);
  QueryHolders(service);
}

/// Looks for servers that have the held commits: by a command that uses no
/// slot, whose reply shows what a server has applied, or by a status query,
/// which shows what it has received. The nearest one is asked first, then all.
void Proxy::QueryHolders(Service& service) {
  Position newest;
  bool ask = false;
  for (const SessionId id : service.awaiting_proof) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || !it->second.pending) continue;
    const PendingStatement& pending = *it->second.pending;
    if (!pending.held_reply) continue;
    newest = LaterPosition(newest, pending.held_commit.position).value();
    ask = ask || MustAsk(service, pending);
    if (now_ - pending.held_since >= kOrderReadDelay) CheckForOrders();
  }
  if (newest == Position{}) return;
  std::vector<ServerPool*> lacking = ServersWithout(service, newest);
  bool shared = !lacking.empty();
  for (ServerPool* pool : lacking) {
    shared = shared && pool->shared;
    const bool due = now_ - pool->last_contact >= kHolderQueryInterval;
    if (pool->shared || pool->idle.empty() || !due) continue;
    pool->last_contact = now_;
    ContactReplica(*pool);
  }
  if ((!ask && !shared) || now_ < service.holder_query_at) return;
  const bool first = service.holder_pause == Duration(0);
  service.holder_pause =
      std::clamp(service.holder_pause * 2, kMinStatusPause, kMaxStatusPause);
  service.holder_query_at = now_ + service.holder_pause;
  if (first && lacking.size() > 1) lacking.resize(1);
  for (ServerPool* pool : lacking) QueryServer(*pool);
}

/// Returns the reachable servers that are not known to have a commit and that
/// matter for it, those first of which least else must be known.
std::vector<Proxy::ServerPool*> Proxy::ServersWithout(const Service& service,
                                                      Position position) {
  const CommitQuorum::Servers servers = ServersForCommits(service);
  std::vector<ServerPool*> lacking;
  for (const ServerId& id : service.servers) {
    ServerPool& pool = pools_.at(id);
    const bool matters =
        servers.counted.contains(id) || servers.promotable.contains(id);
    if (!matters || pool.failing) continue;
    if (!service.quorum.Holds(id, position)) lacking.push_back(&pool);
  }
  const auto rank = [&](const ServerPool* pool) {
    const auto since = service.quorum.RunningSince(pool->entry.id);
    const bool settled = servers.counted.contains(pool->entry.id) && since &&
                         now_ - *since >= service.quorum.settle_time();
    return std::pair(!settled, pool->entry.zone != self_.zone);
  };
  std::stable_sort(
      lacking.begin(), lacking.end(),
      [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
  return lacking;
}

/// Asks replicas whose term or fence isn't known, before a commit waits for it.
void Proxy::QueryUnknown(Service& service) {
  const auto primary = pools_.find(service.primary);
  if (primary == pools_.end() || service.limits.sync_replicas == 0) return;
  const Term term = std::max(service.newest_term, service.last_primary_term);
  for (const ServerId& id : service.servers) {
    ServerPool& pool = pools_.at(id);
    if (pool.failing || !IsCounted(service, pool)) continue;
    const bool due = now_ - pool.last_query >= kUnknownQueryInterval;
    if (due && service.quorum.NeedsStatus(id, term)) QueryServer(pool);
  }
}

/// Ends the wait of a held reply: the commit may be lost in a promotion.
void Proxy::FailHeld(SessionId id, Session& session,
                     const std::string& detail) {
  PendingStatement& pending = *session.pending;
  Service& service = ServiceOf(pending.route->service);
  service.awaiting_proof.erase(id);
  const Position position = pending.held_commit.position;
  LogRequest("commit not proven id=" + pending.id +
             " database=" + session.database +
             " position=" + detail::FormatPosition(position) +
             " held_ms=" + WholeMs(now_ - pending.held_since) +
             " fenced=" + std::to_string(service.proof.FenceReported(now_)) +
             " servers=" + DescribeHolders(service, position));
  Count("commits_not_proven");
  pending.held_reply.reset();
  session.in_doubt_since = now_;
  AnswerError(id, session, ErrorCode::kUnsure, detail);
}

}  // namespace corianderdock::session
