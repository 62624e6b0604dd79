#include <algorithm>
#include <utility>
#include <vector>

#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

/// Time from the first listing of a server until every claimant's list has it:
/// the age of a stale list and one poll. Until then a claimant may not fence
/// it, so it proves nothing.
constexpr Duration kWitnessListedTime = std::chrono::milliseconds(4000);
/// Interval of queries for the term of a primary that was just found.
constexpr Duration kTermQueryInterval = std::chrono::milliseconds(50);
/// Initial and longest pause between status queries to a service's replicas.
constexpr Duration kMinStatusBackoff = std::chrono::milliseconds(10);
constexpr Duration kMaxStatusBackoff = std::chrono::milliseconds(320);
/// Interval of position queries of a service whose proof grows old, and the
/// time since its last statement for which they go on.
constexpr Duration kPositionQueryInterval = std::chrono::milliseconds(100);
constexpr Duration kProofIdleTimeout = std::chrono::milliseconds(1000);
/// A primary that still answers this long after another server fell silent is
/// not behind the same partition as that one.
constexpr Duration kSeparationTime = std::chrono::milliseconds(1000);
/// Time for which a server that left the list may run behind a partition.
constexpr Duration kHiddenTime = std::chrono::milliseconds(6000);
/// Interval of queries to a server that an abandoned claim fenced; shorter than
/// the time for which a report counts.
constexpr Duration kFenceQueryInterval = std::chrono::milliseconds(400);
/// Unanswered queries to one server.
constexpr int kMaxQueries = 2;
/// Interval at which a stale leader is told of the newer term.
constexpr Duration kDemoteInterval = std::chrono::milliseconds(100);
/// Samples that may wait for proof; the oldest are dropped.
constexpr std::size_t kMaxUnprovenSamples = 64;
/// Age at which log position samples are dropped.
constexpr Duration kSampleRetention = std::chrono::seconds(30);

}  // namespace

/// Whether every claimant fences this server before a promotion.
bool Proxy::IsWitness(const ServerPool& pool) const {
  if (!pool.listed || pool.entry.draining) return false;
  const bool established = pool.listed_since == TimePoint{};
  return established || now_ - pool.listed_since >= kWitnessListedTime;
}

/// Whether the primary's own answers do not prove that it leads.
bool Proxy::NeedsProof() const {
  return !options_.replaced_primary_stops &&
         options_.safety->RequireReplicaProof();
}

/// Records since when a listed server is known. The servers of the first list
/// are taken to be known to everyone.
void Proxy::NoteWitness(ServerPool& pool, bool added, bool restarted) {
  Service& service = ServiceOf(pool.entry.service);
  if (pool.entry.draining) service.proof.Discard(pool.entry.id);
  if (!added && !restarted) return;
  pool.listed_since = servers_known_ ? now_ : TimePoint{};
  pool.leader_term = 0;
  service.proof.Discard(pool.entry.id);
}

/// Asks a server for its role, term and fence.
void Proxy::QueryServer(ServerPool& pool) {
  if (pool.queries >= kMaxQueries || pool.failing) return;
  const auto control = connections_.find(pool.control_connection);
  const bool has_control = control != connections_.end() &&
                           control->second.bound_session == 0 &&
                           control->second.bound_peer == 0;
  const bool may_open =
      pool.opening == 0 && now_ >= pool.connect_after &&
      static_cast<int>(pool.connections.size()) < ConnectionShare(pool);
  if (!has_control && pool.idle.empty() && !may_open) return;
  ServerCommand command;
  command.statement.verb = Verb::kStatus;
  ++pool.queries;
  pool.last_query = now_;
  Count("status_queries");
  SendControl(pool.entry.id, std::move(command), Step::kWitness);
}

/// Asks one replica for its status, the next one each time, as each may be busy
/// or cut off. Repeated queries back off until one helps, so that instances
/// that wait for a busy replica don't keep it busy.
void Proxy::QueryNextReplica(Service& service) {
  if (now_ - service.last_status_query < service.status_backoff) return;
  std::vector<ServerPool*> witnesses;
  for (const ServerId& id : service.servers) {
    ServerPool& pool = pools_.at(id);
    if (id == service.primary || !IsWitness(pool) || pool.failing) continue;
    witnesses.push_back(&pool);
  }
  if (witnesses.empty()) return;
  const auto is_near = [this](const ServerPool* pool) {
    return pool->entry.zone == self_.zone;
  };
  std::stable_partition(witnesses.begin(), witnesses.end(), is_near);
  const auto n = static_cast<std::size_t>(service.status_queries++);
  service.last_status_query = now_;
  service.status_backoff = std::clamp(service.status_backoff * 2,
                                      kMinStatusBackoff, kMaxStatusBackoff);
  QueryServer(*witnesses[n % witnesses.size()]);
}

/// Ends the backoff of status queries, as one has helped.
void Proxy::ResetStatusBackoff(Service& service) {
  service.status_backoff = Duration(0);
  service.status_queries = 0;
}

/// Asks the primary and its replicas for their log positions, which proves the
/// primary if there are commits. Takes no slots.
void Proxy::QueryPositions(Service& service) {
  service.last_position_query = now_;
  for (const ServerId& id : service.servers) {
    ServerPool& pool = pools_.at(id);
    const bool leads = id == service.primary;
    if (pool.failing || pool.idle.empty() || (!leads && !IsWitness(pool))) {
      continue;
    }
    if (leads) {
      ProbeLeadership(pool);
      continue;
    }
    ContactReplica(pool);
  }
}

/// Notes a log position from an answer to a command sent at `sent`.
void Proxy::NotePosition(ServerPool& pool, TimePoint sent,
                         const std::optional<Position>& position) {
  if (!position) return;
  Service& service = ServiceOf(pool.entry.service);
  if (service.primary == pool.entry.id) {
    return service.proof.AddLeaderPosition(sent, *position);
  }
  const auto primary = pools_.find(service.primary);
  if (primary == pools_.end() || !IsWitness(pool)) return;
  service.proof.AddReplicaPosition(pool.entry.id, *position,
                                   primary->second.leader_term);
  if (NeedsProof() || !service.awaiting_proof.empty()) ReleaseProven(service);
}

/// Sends a command that uses no slot to a replica, over its oldest idle
/// connection, which shows best since when its process runs.
void Proxy::ContactReplica(ServerPool& pool) {
  const auto oldest = std::min_element(
      pool.idle.begin(), pool.idle.end(), [this](auto a, auto b) {
        return connections_.at(a).opened_at < connections_.at(b).opened_at;
      });
  if (oldest == pool.idle.end()) return;
  const ConnectionId id = *oldest;
  pool.idle.erase(oldest);
  for (const Verb verb : {Verb::kBeginRead, Verb::kRollback}) {
    ServerCommand command;
    command.statement.verb = verb;
    SendOne(id, std::move(command),
            verb == Verb::kBeginRead ? Step::kContact : Step::kEnd, false);
  }
}

/// Handles any status report of a server.
void Proxy::OnServerStatus(ServerPool& pool, TimePoint sent,
                           const ServerStatus& status) {
  Service& service = ServiceOf(pool.entry.service);
  NoteLogEnd(pool, sent, status);
  pool.received = LaterPosition(pool.received, status.received);
  if (status.fence_term == 0) service.failover.OnUnfenced(pool.entry.id);
  CheckAcknowledged(pool, status.received);
  if (status.primary) {
    if (const auto commit =
            service.acknowledged.TakeMissing(status.term, status.received)) {
      ReportMissing(pool, *commit, status.term, status.received);
    }
    pool.leader_term = status.term;
  }
  if (status.term > service.newest_term) NoteNewerTerm(service, status.term);
  if (status.primary) {
    if (status.term < service.newest_term) return DemoteStaleLeader(pool);
    NotePrimary(pool, std::nullopt, sent);
  } else {
    NoteNotPrimary(pool);
    const auto primary = pools_.find(service.primary);
    const Term leader_term =
        primary == pools_.end() ? 0 : primary->second.leader_term;
    if (!IsWitness(pool)) return;
    const bool was_fenced = service.proof.FenceReported(now_);
    service.proof.Add(pool.entry.id, sent, now_, status, leader_term);
    if (service.proof.FenceReported(now_) != was_fenced) {
      Warn("replica fence changed service=" + pool.entry.service + " id=" +
           pool.entry.id + " fence_term=" + std::to_string(status.fence_term));
      services_to_dispatch_.insert(pool.entry.service);
    }
  }
  ReleaseProven(service);
}

/// A server reported a term in which the known primary does not lead.
void Proxy::NoteNewerTerm(Service& service, Term term) {
  service.newest_term = term;
  const auto primary = pools_.find(service.primary);
  if (primary == pools_.end()) return;
  ServerPool& pool = primary->second;
  if (pool.leader_term == 0 || pool.leader_term >= term) return;
  DemoteStaleLeader(pool);
}

/// Tells a server that believes itself to be the primary of the newer term.
void Proxy::DemoteStaleLeader(ServerPool& pool) {
  const Service& service = ServiceOf(pool.entry.service);
  if (now_ - pool.last_demote >= kDemoteInterval && !pool.failing) {
    pool.last_demote = now_;
    Warn("stale primary demoted id=" + pool.entry.id +
         " term=" + std::to_string(pool.leader_term) +
         " newest_term=" + std::to_string(service.newest_term));
    ServerCommand command;
    command.statement.verb = Verb::kDemote;
    command.term = service.newest_term;
    SendControl(pool.entry.id, std::move(command), Step::kDemote);
  }
  NoteNotPrimary(pool);
}

void Proxy::AddSample(Service& service, Position position, TimePoint sent) {
  if (!NeedsProof()) return AdoptSample(service, position, sent);
  service.unproven_samples.push_back({sent, position});
  if (service.unproven_samples.size() > kMaxUnprovenSamples) {
    service.unproven_samples.pop_front();
  }
  ReleaseProven(service);
}

/// Adds a sample of a server that led when its command was sent.
void Proxy::AdoptSample(Service& service, Position position, TimePoint sent) {
  service.samples.Add(position, sent);
  service.samples.DiscardBefore(now_ - kSampleRetention);
  NoteCovered(service, position, sent);
  NotePrimaryEnd(service, position, sent);
}

/// Whether no commit that the primary lacks was acknowledged before now. A
/// proof is valid for some time, as a claimant orders a promotion only that
/// long after it has fenced all replicas.
bool Proxy::LeadershipProven(const Service& service) const {
  if (!NeedsProof()) return true;
  if (service.proof.ProvenSince(now_ - options_.proof_validity)) return true;
  // Without another server there is none to promote.
  const bool alone = std::all_of(
      service.servers.begin(), service.servers.end(), [&](const ServerId& id) {
        return id == service.primary || !MayRun(pools_.at(id));
      });
  return alone && server_list_complete_;
}

/// Whether a server may run where this instance can't reach it, so that another
/// one could promote it.
bool Proxy::MayRun(const ServerPool& pool) const {
  if (pool.listed) return true;
  const auto primary = pools_.find(PrimaryOfService(pool));
  const bool known = primary != pools_.end();
  if (known && pool.entry.draining && !primary->second.failing) return false;
  if (known && pool.failing &&
      primary->second.last_heard >= pool.failing_since + kSeparationTime) {
    return false;
  }
  return now_ - pool.unlisted_at < kHiddenTime;
}

/// Age of the proof of leadership in milliseconds, for log lines.
std::string Proxy::ProofAge(const Service& service) const {
  const auto proven_at = service.proof.proven_at();
  if (!proven_at) return "-";
  const auto age = std::chrono::duration_cast<Milliseconds>(now_ - *proven_at);
  return std::to_string(age.count());
}

/// Adopts the samples that are proven by now, and goes on with what waits.
void Proxy::ReleaseProven(Service& service) {
  const auto proven_at = service.proof.proven_at();
  if (service.primary_queue.size() > 0)
    services_to_dispatch_.insert(service.id);
  std::erase_if(service.unproven_samples, [&](const UnprovenSample& it) {
    const bool proven =
        proven_at && *proven_at >= it.sent - options_.proof_validity;
    if (proven) AdoptSample(service, it.position, it.sent);
    return proven;
  });
  ReleaseCommits(service);
}

/// Discards the proof of a primary that changed, with the replies that wait for
/// it: what proves the new primary says nothing about them.
void Proxy::ResetProof(Service& service) {
  service.proof.Reset();
  service.unproven_samples.clear();
  for (const SessionId id : std::exchange(service.awaiting_proof, {})) {
    const auto it = sessions_.find(id);
    const bool held = it != sessions_.end() && it->second.pending &&
                      it->second.pending->held_reply;
    if (held) FailHeld(id, it->second, "the primary changed");
  }
}

/// Asks the servers that abandoned claims of this instance fenced, so that the
/// primary counts as lost while the fences last.
void Proxy::QueryFencesLeft(Service& service) {
  if (service.failover.phase() != Failover::Phase::kIdle) return;
  for (const ServerId& id : service.failover.fences_left()) {
    const auto it = pools_.find(id);
    if (it == pools_.end() || it->second.failing) continue;
    if (now_ - it->second.last_query < kFenceQueryInterval) continue;
    QueryServer(it->second);
  }
}

/// Keeps the proof of a service in use recent, and repeats the queries that
/// held replies and fences wait for.
void Proxy::CheckProofs(Service& service) {
  const auto primary = pools_.find(service.primary);
  if (primary == pools_.end() || primary->second.failing) return;
  ServerPool& pool = primary->second;
  if (NeedsProof() && pool.leader_term == 0 &&
      now_ - pool.last_query >= kTermQueryInterval) {
    QueryServer(pool);
  }
  const bool in_use = now_ - service.last_used < kProofIdleTimeout;
  const auto proven_at = service.proof.proven_at();
  const Duration age = proven_at ? now_ - *proven_at : Duration::max();
  if (NeedsProof() && in_use && age >= options_.proof_refresh_age &&
      now_ - service.last_position_query >= kPositionQueryInterval) {
    QueryPositions(service);
  }
  const bool fenced = service.proof.fenced_since().has_value();
  const bool unproven =
      service.primary_queue.size() > 0 && !LeadershipProven(service);
  if (!service.awaiting_proof.empty()) QueryHolders(service);
  QueryUnknown(service);
  QueryFencesLeft(service);
  TimeApplied(service);
  if (unproven || (fenced && in_use)) QueryNextReplica(service);
}

}  // namespace corianderdock::session
