#include <algorithm>
#include <tuple>
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
constexpr Duration kMinStatusPause = std::chrono::milliseconds(30);
constexpr Duration kMaxStatusPause = std::chrono::milliseconds(160);
/// Doublings of the pause for a server whose log doesn't move.
constexpr int kMaxPauseDoublings = 5;
/// Age of its list up to which an instance orders without the store, and up to
/// which a list that is read may be older than the read.
constexpr Duration kMaxListAge = std::chrono::milliseconds(9000);
constexpr Duration kMaxListDelay = std::chrono::milliseconds(3000);
/// Age of the list from which it may lack a server that joined.
constexpr Duration kFreshListAge = std::chrono::milliseconds(2500);
/// Longest time until a commit appears in replies that counts, and the weight
/// of the earlier ones in the average.
constexpr Duration kMaxApplyDelay = std::chrono::milliseconds(250);
constexpr int kApplyDelayDivisor = 4;
/// Interval at which that time is measured.
constexpr Duration kTimedInterval = std::chrono::milliseconds(1000);
/// Interval of status queries to a replica of which too little is known.
constexpr Duration kUnknownQueryInterval = std::chrono::milliseconds(1000);
/// Time for which a commit is held before the record is read for the order of
/// an instance that has stopped.
constexpr Duration kOrderReadDelay = std::chrono::milliseconds(300);

}  // namespace

/// Whether every claimant knows this replica, and fences it before the orders
/// that it gives by now.
bool Proxy::IsCounted(const Service& service, const ServerPool& pool) const {
  if (pool.entry.id == service.primary || pool.superseded) return false;
  if (!pool.listed || pool.entry.draining) return false;
  // A claimant leaves out a server that is silent to it and not listed for
  // long.
  if (now_ - servers_read_at_ >= kMaxListAge) return false;
  const bool named =
      !options_.safety->RememberMembers() || service.members.Names(pool.entry);
  return named && now_ >= KnownSince(pool);
}

/// Time from which all orders fence this server: an instance that can't reach
/// the store orders by a list that may be old. One that this instance found
/// listed when it started counts from then on.
TimePoint Proxy::KnownSince(const ServerPool& pool) const {
  const bool established =
      !list_complete_since_ || pool.known_since <= *list_complete_since_;
  return established ? started_at_
                     : pool.known_since + kMaxListAge + kMaxListDelay;
}

/// Whether an order that may still be executed could be for this server. The
/// primary before is no exception: an order for it under a higher token doesn't
/// keep one under a lower token from being executed first, and it may have been
/// ordered in the present term.
bool Proxy::IsPromotable(const Service& service, const ServerPool& pool) const {
  if (pool.entry.id == service.primary) return false;
  if (pool.superseded || IsPhantom(pool)) return false;
  return pool.listed || !pool.failing || MayReturn(pool);
}

/// Whether no order that was given before `term` can be executed any more: the
/// order that made it was answered, so that the platform refuses those under
/// lower tokens, and no other one was recorded.
bool Proxy::OrdersEnded(const Service& service, Term term) const {
  const MemberRecord& record = service.members.record();
  return options_.failover.tokens_checked && !service.primary.empty() &&
         record.leader == service.primary && record.leader_term == term &&
         record.superseded.empty();
}

CommitQuorum::Servers Proxy::ServersForCommits(const Service& service,
                                               Term term) const {
  CommitQuorum::Servers servers;
  servers.all_known = members_known_ && servers_known_ &&
                      now_ - servers_read_at_ < kFreshListAge;
  if (OrdersEnded(service, term)) {
    servers.term_began_after = service.term_began_after;
  }
  for (const ServerId& id : service.servers) {
    const ServerPool& pool = pools_.at(id);
    if (IsCounted(service, pool)) servers.counted[id] = KnownSince(pool);
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
  // The owner of a shared connection answers some commands itself.
  const bool by_owner = connection.shared && (expected.step == Step::kSetup ||
                                              expected.step == Step::kEnd ||
                                              reply.error == ErrorCode::kBusy);
  if (by_owner) return;
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
    const bool unmoved = pool.received == report.end;
    pool.unmoved_statuses = unmoved ? pool.unmoved_statuses + 1 : 0;
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
  for (const ServerId& id : service.servers) {
    ServerPool& pool = pools_.at(id);
    if (pool.shared || pool.failing || pool.idle.empty()) continue;
    if (!IsCounted(service, pool)) continue;
    pool.last_contact = now_;
    return ContactReplica(pool);
  }
}

/// Whether servers must be asked for a held commit, which occupies a slot of
/// theirs: it isn't expected to appear in other replies within half of the time
/// in which its client is to be answered, or hasn't within three quarters.
bool Proxy::MustAsk(const Service& service,
                    const PendingStatement& pending) const {
  const Duration objective = pending.route->latency_objective;
  const Duration expected = pending.held_since - pending.arrived +
                            service.apply_delay.value_or(kMaxApplyDelay);
  const Duration passed = now_ - pending.arrived;
  return expected >= objective / 2 || passed >= objective * 3 / 4;
}

/// Returns what excludes the loss of a commit of the present primary.
CommitBasis Proxy::BasisOf(const Service& service,
                           const CommitQuorum::Commit& commit) const {
  return service.quorum.Find(commit,
                             ServersForCommits(service, commit.position.term));
}

/// Answers a commit that `server` acknowledged once no promotion can lose it.
void Proxy::AnswerCommit(SessionId id, Session& session, const ServerId& server,
                         TimePoint sent, Reply reply) {
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
  const bool replaced =
      server != service.primary || commit.position.term < service.newest_term;
  const CommitBasis basis =
      replaced ? CommitBasis::kNone : BasisOf(service, commit);
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
  if (replaced) return FailHeld(id, session, "the primary changed");
  service.awaiting_proof.insert(id);
  ScheduleAfter(kHolderQueryInterval,
                {TimerKind::kHeldCommit, id, pending.statement_serial});
  QueryHolders(service);
}

/// Answers the held commits that no promotion can lose by now.
void Proxy::ReleaseCommits(Service& service) {
  const std::vector<SessionId> awaiting(service.awaiting_proof.begin(),
                                        service.awaiting_proof.end());
  for (const SessionId id : awaiting) {
    const auto it = sessions_.find(id);
    const bool held = it != sessions_.end() && it->second.pending &&
                      it->second.pending->held_reply;
    CommitBasis basis = CommitBasis::kNone;
    if (held) {
      basis = BasisOf(service, it->second.pending->held_commit);
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
  for (ServerPool* pool : lacking) {
    const int doublings = std::min(pool->unmoved_statuses, kMaxPauseDoublings);
    const bool due =
        now_ - pool->last_query >= kMinStatusPause * (1 << doublings);
    if (first || due) QueryServer(*pool);
  }
}

/// Returns the reachable servers that are not known to have a commit and that
/// matter for it, those first of which least else must be known.
std::vector<Proxy::ServerPool*> Proxy::ServersWithout(const Service& service,
                                                      Position position) {
  const CommitQuorum::Servers servers =
      ServersForCommits(service, position.term);
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
    return std::tuple(!settled, pool->running, pool->entry.zone != self_.zone);
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
  if (NeedsProof()) return;  // they are asked for that of the primary
  const Term term = std::max(service.newest_term, service.last_primary_term);
  for (const ServerId& id : service.servers) {
    if (id == service.primary) continue;
    ServerPool& pool = pools_.at(id);
    if (pool.failing || !pool.listed || pool.entry.draining) continue;
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
