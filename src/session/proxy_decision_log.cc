#include <utility>

#include "corianderdock/detail/log_text.h"
#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

using detail::FormatPosition;
using detail::OrDash;
using detail::WholeMs;

namespace {

/// Servers that a line names as left out; the number of the others follows.
constexpr int kMaxLeftOut = 16;

std::string FormatFlag(bool flag) { return flag ? "1" : "0"; }

}  // namespace

/// Logs a fence report. Repeated reports of the same state are no warnings.
void Proxy::LogFence(ServerPool& pool, const ServerStatus& status,
                     std::string text) {
  const auto report = std::pair(status.received, status.fence_term);
  const bool repeated = pool.logged_fence == report;
  pool.logged_fence = report;
  if (repeated) return Log(std::move(text));
  Warn(std::move(text));
}

void Proxy::NoteAcknowledged(Service& service, const PendingStatement& pending,
                             Position position, CommitBasis basis) {
  // Without synchronous replicas a commit may be lost with its primary.
  if (service.limits.sync_replicas == 0) return;
  Count(std::string("commits_answered_") + NameOf(basis));
  service.acknowledged.Add(pending.id, position, pending.position_before,
                           std::string("basis=") + NameOf(basis) + " holders=" +
                               DescribeHolders(service, position));
}

/// Lists the servers that are known to have the entry at `position` as
/// ID:RUNNING, the time in ms for which the process is known to run.
std::string Proxy::DescribeHolders(const Service& service,
                                   Position position) const {
  std::string text;
  for (const ServerId& id : service.servers) {
    if (id == service.primary || !service.quorum.Holds(id, position)) continue;
    const auto running_since = service.quorum.RunningSince(id);
    if (!text.empty()) text += ",";
    text += id + ":" + (running_since ? WholeMs(now_ - *running_since) : "-");
  }
  return OrDash(text);
}

/// Checks an entry of a server's log against the newest acknowledged commit.
void Proxy::CheckAcknowledged(const ServerPool& pool, Position entry) {
  Service& service = ServiceOf(pool.entry.service);
  if (const auto commit = service.acknowledged.TakeMissing(entry)) {
    ReportMissing(pool, *commit, entry.term, entry);
  }
}

void Proxy::ReportMissing(const ServerPool& pool,
                          const AcknowledgedCommits::Commit& commit, Term term,
                          Position position) {
  Count("acknowledged_commits_missing");
  Emit(LogDecision{
      "acknowledged commit missing service=" + pool.entry.service +
          " id=" + commit.id + " earliest=" + FormatPosition(commit.earliest) +
          " latest=" + FormatPosition(commit.latest) + " term=" +
          std::to_string(term) + " position=" + FormatPosition(position) +
          " server=" + pool.entry.id + " " + commit.evidence,
      Severity::kError});
}

/// Everything that decided an order, as fields of its log line.
std::string Proxy::DescribeOrder(const Service& service,
                                 const Failover::Order& order) const {
  const Failover& failover = service.failover;
  const Failover::Situation situation = SituationOf(service);
  const auto last = pools_.find(service.last_primary);
  const bool known = last != pools_.end();
  return " service=" + service.id + " id=" + order.server +
         " token=" + std::to_string(order.token) +
         " fallback=" + FormatFlag(failover.using_fallback_token()) +
         " claim_age_ms=" + WholeMs(now_ - failover.claimed_at()) +
         " fence_term=" + std::to_string(failover.fence_term()) +
         " newest_term=" + std::to_string(service.newest_term) +
         " primary=" + OrDash(service.primary) +
         " last_primary=" + OrDash(service.last_primary) +
         " last_primary_end=" +
         FormatPosition(known ? last->second.log_position : std::nullopt) +
         " required=" + FormatPosition(situation.required) +
         " acknowledged=" + FormatPosition(service.acknowledged.position()) +
         " recorded_order=" + OrDash(situation.recorded_order) +
         " recorded_token=" + std::to_string(situation.recorded_token) +
         " member_revision=" +
         std::to_string(service.members.record().revision.number) +
         " fences=" + DescribeFences(service, situation) +
         " left_out=" + DescribeLeftOut(service, situation);
}

/// Lists the replicas that the order depends on as ID:END:AGE:KEPT, where AGE
/// counts in ms from the query that was answered and KEPT from its answer.
/// `unlisted` follows if the server list lacks one.
std::string Proxy::DescribeFences(const Service& service,
                                  const Failover::Situation& situation) const {
  const auto& reports = service.failover.fence_reports();
  std::string text;
  for (const auto& [id, draining] : situation.replicas) {
    const ServerPool& pool = pools_.at(id);
    const auto report = reports.find(id);
    if (!text.empty()) text += ",";
    text += id;
    if (report == reports.end()) {
      text += ":-:-:-";
    } else {
      const TimePoint requested_at = report->second.requested_at;
      const bool last = pool.fence_query_sent == requested_at;
      text += ":" + FormatPosition(report->second.received) + ":" +
              WholeMs(now_ - requested_at) + ":" +
              (last ? WholeMs(now_ - pool.fence_reported) : "-");
    }
    if (!pool.listed) text += ":unlisted";
  }
  return OrDash(text);
}

/// Lists the servers that the order disregards as ID:REASON:SILENT:UNLISTED,
/// with the times in ms since then.
std::string Proxy::DescribeLeftOut(const Service& service,
                                   const Failover::Situation& situation) const {
  const auto reason = [&](const ServerPool& pool) -> std::string {
    if (pool.superseded) return "superseded";
    if (pool.listed) return "phantom";
    if (!MayReturn(pool)) return "gone";
    return "covered@" + FormatPosition(pool.covered_by);
  };
  std::string text;
  int n = 0;
  for (const ServerId& id : service.servers) {
    if (id == service.primary || situation.replicas.contains(id)) continue;
    if (++n > kMaxLeftOut) continue;
    const ServerPool& pool = pools_.at(id);
    if (!text.empty()) text += ",";
    text += id + ":" + reason(pool) + ":" +
            (pool.failing ? WholeMs(now_ - pool.failing_since) : "-") + ":" +
            (pool.listed ? "-" : WholeMs(now_ - pool.unlisted_at));
  }
  if (n > kMaxLeftOut) text += ",+" + std::to_string(n - kMaxLeftOut);
  return OrDash(text);
}

}  // namespace corianderdock::session
