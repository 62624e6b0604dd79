#include <algorithm>
#include <utility>

#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

namespace {

/// Shortest interval of reads of the member records, each of which returns
/// those of all services.
constexpr Duration kMembersReadInterval = std::chrono::milliseconds(1000);
/// Interval of checks whether the records name all listed servers.
constexpr Duration kMembersCheckInterval = std::chrono::milliseconds(100);
/// Time since the start until the list of instances names the others, from
/// which their ranks follow.
constexpr Duration kInstancesListedTime = std::chrono::milliseconds(3000);
/// Time for which the term of a new primary is asked for before its order is
/// removed from the record.
constexpr Duration kLeaderTermWait = std::chrono::milliseconds(1000);
/// Time after which a server whose entry was not renewed, although entries
/// expire after three heartbeats, and that never answered any instance, is
/// taken not to exist.
constexpr Duration kConfirmTime = std::chrono::milliseconds(5000);

}  // namespace

void Proxy::On(const MembersRead& event) {
  const auto apply = [this](const ServiceId& id, const MemberRecord& record) {
    Service& service = ServiceOf(id);
    if (record == service.members.record()) return;
    Log("member record read service=" + id +
        " revision=" + std::to_string(record.revision.number) +
        " era=" + FormatEra(record.revision.era) +
        " servers=" + std::to_string(record.servers.size()));
    service.members.OnRecord(record, now_);
    AddRecordedServers(service);
  };
  for (const auto& [id, record] : event.records) apply(id, record);
  for (const auto& [id, service] : services_) {
    // Without a record there is nothing that a restored store could have lost.
    const bool known = service.members.record().revision.number != 0;
    if (!event.all || !known || event.records.contains(id)) continue;
    MemberRecord none;
    none.revision.era = event.era;
    apply(id, none);
  }
  members_known_ = members_known_ || event.all;
  if (!event.current_at) return;
  for (auto& [id, service] : services_) {
    if (!event.all && !event.records.contains(id)) continue;
    service.members_current_at = event.current_at;
    if (!service.awaiting_proof.empty()) ReleaseCommits(service);
  }
}

/// Adds the servers that only the record names. They are probed like those that
/// left the list, as they may still serve.
void Proxy::AddRecordedServers(Service& service) {
  if (!options_.safety->RememberMembers()) return;
  for (const auto& [id, entry] : service.members.record().servers) {
    if (pools_.contains(id)) continue;
    Warn("server known from member record id=" + id + " service=" + service.id);
    ServerPool& pool = pools_[id];
    pool.entry = entry;
    pool.listed = false;
    pool.unlisted_at = now_;
    pool.known_since = now_;
    pool.listed_since = now_;
    pool.concurrency_limit = entry.slots;
    RestartPace(pool);
    service.servers.insert(id);
    PlanPath(pool);
  }
  NoteSuperseded();
}

/// The record must name every listed server that exists. One whose address
/// another server has by now, or that neither answers nor is listed for long,
/// may be removed.
MemberRecorder::Situation Proxy::MembersOf(const Service& service) const {
  MemberRecorder::Situation situation;
  situation.now = now_;
  for (const ServerId& id : service.servers) {
    const ServerPool& pool = pools_.at(id);
    if (pool.listed) {
      if (IsConfirmed(pool)) situation.required[id] = pool.entry;
    } else if (!IsAwaited(pool) && (pool.superseded || !MayReturn(pool))) {
      situation.obsolete.insert(id);
    }
  }
  std::erase_if(situation.obsolete, [&](const ServerId& id) {
    return !service.members.record().servers.contains(id);
  });
  situation.order_expired = OrderEnded(service);
  const MemberRecord& record = service.members.record();
  const auto primary = pools_.find(service.primary);
  const bool accepted = record.ordered == service.primary &&
                        service.failover.OwnOrderAccepted(record.order_token) &&
                        primary != pools_.end();
  if (accepted) {
    situation.leader = service.primary;
    situation.leader_term = primary->second.leader_term;
  }
  situation.rank = PromotionRank(service);
  return situation;
}

/// Whether something other than one entry in the list shows that a server
/// exists: it answered this instance, its entry was renewed, or the record
/// names it, because another instance found it to exist.
bool Proxy::IsConfirmed(const ServerPool& pool) const {
  if (pool.renewed || pool.last_heard != TimePoint{}) return true;
  const auto service = services_.find(pool.entry.service);
  return service != services_.end() &&
         service->second.members.Names(pool.entry);
}

/// Whether an entry in the list is taken to name no server. That it was not
/// renewed shows only in lists that were read.
bool Proxy::IsPhantom(const ServerPool& pool) const {
  return servers_read_at_ - pool.known_since >= kConfirmTime &&
         !IsConfirmed(pool);
}

/// Whether an instance that starts now would learn of all servers to which the
/// primary may replicate its commits.
bool Proxy::MembersRecorded(const Service& service) const {
  if (!options_.safety->RememberMembers()) return true;
  return std::all_of(
      service.servers.begin(), service.servers.end(), [&](const ServerId& id) {
        const ServerPool& pool = pools_.at(id);
        return id == service.primary || !pool.listed ||
               service.members.Names(pool.entry) || !IsConfirmed(pool);
      });
}

/// Takes the steps that are due to have the records name all listed servers.
void Proxy::CheckMembers() {
  const bool due = now_ - members_checked_at_ >= kMembersCheckInterval;
  const bool ranked =
      !instances_.empty() && now_ - started_at_ >= kInstancesListedTime;
  if (!members_known_ || !due || !ranked) return;
  members_checked_at_ = now_;
  for (auto& [id, service] : services_) RecordMembers(service);
}

/// Whether this instance is to remove the order from the record: it gave the
/// order and has its answer, or any order would have been executed by now.
bool Proxy::OrderEnded(const Service& service) const {
  const MemberRecord& record = service.members.record();
  if (record.ordered.empty()) return false;
  if (service.failover.OwnOrderEnded(record.order_token, now_)) {
    return LeaderTermKnown(service);
  }
  const Duration known = now_ - service.members.order_known_since();
  return known >= options_.failover.max_order_delay &&
         service.failover.phase() == Failover::Phase::kIdle &&
         PromotionRank(service) == 0;
}

/// Whether the term of the primary that this instance had promoted is known, or
/// can't be learned soon. It is recorded when the order is removed.
bool Proxy::LeaderTermKnown(const Service& service) const {
  const auto primary = pools_.find(service.primary);
  return primary == pools_.end() || primary->second.failing ||
         primary->second.leader_term != 0 ||
         now_ - service.primary_since >= kLeaderTermWait;
}

void Proxy::RecordMembers(Service& service) {
  // The promoted server is asked in which term it leads.
  const MemberRecord& record = service.members.record();
  const bool ended = !record.ordered.empty() &&
                     service.failover.OwnOrderEnded(record.order_token, now_);
  const auto primary = pools_.find(service.primary);
  if (ended && !LeaderTermKnown(service) &&
      now_ - primary->second.last_query >= kMembersCheckInterval) {
    QueryServer(primary->second);
  }
  const bool as_recorded = std::all_of(
      service.servers.begin(), service.servers.end(), [&](const ServerId& id) {
        const ServerPool& pool = pools_.at(id);
        return pool.listed && service.members.Names(pool.entry);
      });
  if (service.order_check_at && now_ >= *service.order_check_at) {
    service.order_check_at.reset();
    if (PromotionRank(service) == 0) Emit(ReadMembers{});
  }
  if (as_recorded && !OrderEnded(service)) return;
  const auto situation = MembersOf(service);
  switch (service.members.Next(situation)) {
    case MemberRecorder::Step::kNone:
      return;
    case MemberRecorder::Step::kRead:
      if (now_ - members_read_at_ < kMembersReadInterval) return;
      members_read_at_ = now_;
      Count("member_reads");
      return Emit(ReadMembers{});
    case MemberRecorder::Step::kWrite: {
      MemberRecord record = service.members.Replacement(situation);
      Log("member record written service=" + service.id +
          " expected_revision=" + std::to_string(record.revision.number) +
          " servers=" + std::to_string(record.servers.size()));
      Count("member_writes");
      return Emit(WriteMembers{service.id, std::move(record)});
    }
  }
}

}  // namespace corianderdock::session
