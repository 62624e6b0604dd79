#include "corianderdock/session/commit_quorum.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace corianderdock::session {

namespace {

bool Precedes(Position a, Position b) {
  return std::tie(a.term, a.index) < std::tie(b.term, b.index);
}

/// Whether a log that ends at `end` contains the entry at `position`. Only one
/// server creates entries in a term.
bool Covers(Position end, Position position) {
  return end.term == position.term && end.index >= position.index;
}

}  // namespace

const char* NameOf(CommitBasis basis) {
  constexpr std::array<const char*, 3> kNames = {"none", "quorum", "unanimity"};
  return kNames[static_cast<std::size_t>(basis)];
}

void CommitQuorum::Add(const ServerId& server, const Report& report) {
  Server& known = servers_[server];
  if (!report.running_since) {
    // One from before the present process may show a log that a restart
    // emptied.
    const bool late =
        known.current && report.sent < known.current->running_since;
    if (!late && Precedes(known.end, report.end)) known.end = report.end;
    return;
  }
  Process seen;
  seen.running_since = *report.running_since;
  seen.alive_until = report.sent;
  seen.term = report.term;
  seen.in_term_since = report.received_at;
  Apply(seen, report);
  // A server has one process at a time, so that two which ran at the same time
  // are one.
  const auto same = [&](const std::optional<Process>& it) {
    return it && it->running_since <= seen.alive_until &&
           seen.running_since <= it->alive_until;
  };
  if (same(known.current)) {
    Merge(*known.current, seen);
    if (Precedes(known.end, report.end)) known.end = report.end;
  } else if (known.current && seen.alive_until < known.current->running_since) {
    if (same(known.earlier)) Merge(*known.earlier, seen);
    return;
  } else {
    known.earlier = std::exchange(known.current, seen);
    known.end = report.end;  // it may have lost its log
  }
  if (!same(known.earlier)) return;
  Merge(*known.current, *known.earlier);
  if (Precedes(known.end, known.current->end)) known.end = known.current->end;
  known.earlier.reset();
}

void CommitQuorum::Apply(Process& process, const Report& report) {
  process.end = report.end;
  if (!report.fenced) return;
  if (*report.fenced) {
    process.fenced_at = report.received_at;
  } else {
    process.unfenced_at = report.sent;
  }
}

/// Adds what is known of the same process.
void CommitQuorum::Merge(Process& into, const Process& other) {
  into.running_since = std::min(into.running_since, other.running_since);
  into.alive_until = std::max(into.alive_until, other.alive_until);
  if (other.term == into.term) {
    into.in_term_since = std::min(into.in_term_since, other.in_term_since);
  } else if (other.term > into.term) {
    into.term = other.term;
    into.in_term_since = other.in_term_since;
  }
  into.fenced_at = std::max(into.fenced_at, other.fenced_at);
  into.unfenced_at = std::max(into.unfenced_at, other.unfenced_at);
  if (Precedes(into.end, other.end)) into.end = other.end;
}

const CommitQuorum::Process* CommitQuorum::ProcessOf(
    const ServerId& server) const {
  const auto it = servers_.find(server);
  return it == servers_.end() || !it->second.current ? nullptr
                                                     : &*it->second.current;
}

bool CommitQuorum::NeedsStatus(const ServerId& server, Term term) const {
  const Process* process = ProcessOf(server);
  return process == nullptr || process->term < term || !process->unfenced_at;
}

bool CommitQuorum::Holds(const ServerId& server, Position position) const {
  const auto it = servers_.find(server);
  return it != servers_.end() && Covers(it->second.end, position);
}

std::optional<TimePoint> CommitQuorum::RunningSince(
    const ServerId& server) const {
  const Process* process = ProcessOf(server);
  return process == nullptr ? std::nullopt
                            : std::optional(process->running_since);
}

/// Whether `witness` shows that no order given before some time, no earlier
/// than `not_before`, can be executed any more.
bool CommitQuorum::ExcludesOrders(const ServerId& witness, const Commit& commit,
                                  TimePoint not_before,
                                  const Servers& servers) const {
  const Process* process = ProcessOf(witness);
  if (process == nullptr || process->term != commit.position.term) return false;
  auto unfenced_at = process->unfenced_at;
  // It received the commit after this was sent.
  if (Covers(process->end, commit.position)) {
    unfenced_at = std::max(unfenced_at.value_or(commit.sent), commit.sent);
  }
  if (!unfenced_at || *unfenced_at < not_before) return false;
  const auto& fenced_at = process->fenced_at;
  const TimePoint known_since = servers.counted.at(witness);
  // An order given just after the promotion may rely on reports of fences that
  // it lifted.
  const bool after_promotion =
      *unfenced_at >= process->in_term_since + options_.fence_report_max_age;
  const bool ran_before = servers.term_began_after &&
                          std::max(process->running_since, known_since) <=
                              *servers.term_began_after;
  if (ran_before && after_promotion && fenced_at <= process->in_term_since) {
    return true;
  }
  TimePoint settles =
      std::max({process->running_since, process->in_term_since, known_since});
  if (fenced_at) settles = std::max(settles, *fenced_at);
  return *unfenced_at >= settles + settle_time();
}

CommitBasis CommitQuorum::Find(const Commit& commit,
                               const Servers& servers) const {
  for (const auto& [holder, known_since] : servers.counted) {
    const Process* process = ProcessOf(holder);
    if (process == nullptr || !Covers(process->end, commit.position)) continue;
    // Orders without a report of this process were given before this time.
    const TimePoint not_before = std::max(
        process->running_since + options_.fence_report_max_age, known_since);
    const bool excluded = std::any_of(
        servers.counted.begin(), servers.counted.end(), [&](const auto& it) {
          return ExcludesOrders(it.first, commit, not_before, servers);
        });
    if (excluded) return CommitBasis::kQuorum;
  }
  const bool all =
      servers.all_known &&
      std::all_of(
          servers.promotable.begin(), servers.promotable.end(),
          [&](const ServerId& it) { return Holds(it, commit.position); });
  return all ? CommitBasis::kUnanimity : CommitBasis::kNone;
}

}  // namespace corianderdock::session
