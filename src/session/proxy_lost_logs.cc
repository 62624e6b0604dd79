#include <algorithm>
#include <utility>

#include "corianderdock/detail/log_text.h"
#include "corianderdock/session/proxy.h"

namespace corianderdock::session {

using detail::FormatPosition;

namespace {

/// Interval of queries that end the doubt about a log.
constexpr Duration kLogQueryInterval = std::chrono::milliseconds(100);

bool Precedes(Position a, Position b) {
  return std::pair(a.term, a.index) < std::pair(b.term, b.index);
}

}  // namespace

/// Notes the end of a server's log. If it had an entry after that end in the
/// same term, no promotion can have rolled it back: the server lost its log.
void Proxy::NoteLogEnd(ServerPool& pool, TimePoint sent,
                       const ServerStatus& status) {
  const auto known = pool.newest_end;
  const Position end = status.received;
  // Replies may be read in another order than they were sent in.
  const bool later = !known || sent >= pool.newest_end_at;
  const bool back = later && known && status.term <= known->term &&
                    Precedes(end, *known) && !status.primary;
  if (back) {
    Count("logs_shortened");
    Warn("server log went back id=" + pool.entry.id +
         " from=" + FormatPosition(known) + " to=" + FormatPosition(end) +
         " term=" + std::to_string(status.term));
    pool.log_doubt = LogDoubt{now_, std::nullopt};
    pool.log_position = end;
    pool.received = end;
  }
  if (later) {
    pool.newest_end = end;
    pool.newest_end_at = now_;
  }
  if (status.primary) {
    pool.log_doubt.reset();
  } else {
    NoteLogReached(pool, end, sent);
  }
}

/// Notes that the log of a server has the entry at `position`.
void Proxy::NoteLogPosition(ServerPool& pool, Position position,
                            TimePoint now) {
  if (pool.newest_end && !Precedes(*pool.newest_end, position)) return;
  pool.newest_end = position;
  pool.newest_end_at = now;
}

/// Notes the end of the log of a server that led when it was asked at `sent`.
void Proxy::NotePrimaryEnd(const Service& service, Position position,
                           TimePoint sent) {
  for (const ServerId& id : service.servers) {
    auto& doubt = pools_.at(id).log_doubt;
    if (!doubt || doubt->primary_end || sent < doubt->since) continue;
    doubt->primary_end = position;
  }
}

/// Ends the doubt about a log that has what the primary's log had since.
void Proxy::NoteLogReached(ServerPool& pool, Position end, TimePoint sent) {
  const auto& doubt = pool.log_doubt;
  if (!doubt || !doubt->primary_end || sent < doubt->since) return;
  if (Precedes(end, *doubt->primary_end)) return;
  Warn("server log complete again id=" + pool.entry.id +
       " end=" + FormatPosition(end));
  pool.log_doubt.reset();
}

/// Asks for what ends the doubts about logs.
void Proxy::CheckLogs(Service& service) {
  for (const ServerId& id : service.servers) {
    ServerPool& pool = pools_.at(id);
    if (!pool.log_doubt || pool.failing || id == service.primary) continue;
    if (pool.log_doubt->primary_end) {
      if (now_ - pool.last_query >= kLogQueryInterval) QueryServer(pool);
      continue;
    }
    const auto primary = pools_.find(service.primary);
    if (primary == pools_.end() || primary->second.failing) continue;
    if (now_ - primary->second.last_probe < kLogQueryInterval) continue;
    primary->second.last_probe = now_;
    ProbeLeadership(primary->second);
  }
}

/// Returns the server that led last, as far as known; empty if unknown.
ServerId Proxy::LastPrimaryOf(const Service& service) {
  return service.primary.empty() ? service.last_primary : service.primary;
}

/// Whether an acknowledged commit may be in none of the logs of `replicas`, as
/// one of them may have lost it.
bool Proxy::LogsMayLack(const Service& service,
                        const std::map<ServerId, bool>& replicas) const {
  const ServerId last = LastPrimaryOf(service);
  return std::any_of(replicas.begin(), replicas.end(), [&](const auto& it) {
    return it.first != last && pools_.at(it.first).log_doubt.has_value();
  });
}

}  // namespace corianderdock::session
