#include "corianderdock/session/store_follower.h"

#include <algorithm>
#include <utility>

namespace corianderdock::session {

StoreFollower::Outputs StoreFollower::Start(TimePoint now) {
  now_ = now;
  Issue(StoreRequest::kReadConfig);
  Issue(StoreRequest::kListServers);
  Issue(StoreRequest::kGrantLease);
  Schedule(StoreRequest::kListInstances, options_.server_interval);
  return std::exchange(outputs_, {});
}

std::optional<TimePoint> StoreFollower::NextTimer() const {
  std::optional<TimePoint> next;
  for (const auto& [request, due] : due_) {
    if (!next || due < *next) next = due;
  }
  return next;
}

StoreFollower::Outputs StoreFollower::OnTimer(TimePoint now) {
  now_ = now;
  std::vector<StoreRequest> requests;
  for (const auto& [request, due] : due_) {
    if (due <= now) requests.push_back(request);
  }
  for (const StoreRequest it : requests) {
    due_.erase(it);
    Issue(it);
  }
  return std::exchange(outputs_, {});
}

void StoreFollower::Schedule(StoreRequest request, Duration delay) {
  due_[request] = now_ + delay;
}

void StoreFollower::Call(StoreCall call, const ServiceId& service,
                         std::uint64_t expected) {
  call.number = next_number_++;
  if (call.timeout == Duration(0)) call.timeout = options_.call_timeout;
  pending_[call.number] = {call.request, service, expected};
  outputs_.emplace_back(std::move(call));
}

void StoreFollower::Issue(StoreRequest request) {
  StoreCall call;
  call.request = request;
  switch (request) {
    case StoreRequest::kWatchConfig:
      call.revision = watched_revision_;
      call.wait = options_.watch_wait;
      call.timeout = options_.watch_wait + options_.watch_slack;
      break;
    case StoreRequest::kGrantLease:
      call.ttl = options_.lease_ttl;
      break;
    case StoreRequest::kKeepLease:
      call.lease = lease_;
      break;
    case StoreRequest::kAnnounce:
      call.lease = lease_;
      call.key = self_;
      break;
    default:
      break;
  }
  Call(std::move(call));
}

StoreFollower::Outputs StoreFollower::Claim(TimePoint now,
                                            const ServiceId& service) {
  now_ = now;
  StoreCall call;
  call.request = StoreRequest::kReadClaim;
  call.key = service;
  Call(std::move(call), service);
  return std::exchange(outputs_, {});
}

StoreFollower::Outputs StoreFollower::OnResult(TimePoint now,
                                               const StoreResult& result) {
  now_ = now;
  const auto it = pending_.find(result.number);
  if (it == pending_.end()) return {};
  const Pending pending = it->second;
  pending_.erase(it);
  NoteReachable(result.status != StoreStatus::kNoAnswer &&
                result.status != StoreStatus::kUnavailable);
  switch (pending.request) {
    case StoreRequest::kReadConfig:
    case StoreRequest::kWatchConfig:
      OnConfig(result, pending.request);
      break;
    case StoreRequest::kListServers:
      OnServers(result);
      break;
    case StoreRequest::kListInstances:
      OnInstances(result);
      break;
    case StoreRequest::kGrantLease:
    case StoreRequest::kKeepLease:
    case StoreRequest::kAnnounce:
      if (pending.service.empty()) {
        OnLease(result, pending);
      } else {
        OnClaim(result, pending);
      }
      break;
    case StoreRequest::kReadClaim:
    case StoreRequest::kTakeClaim:
      OnClaim(result, pending);
      break;
  }
  return std::exchange(outputs_, {});
}

void StoreFollower::NoteReachable(bool reachable) {
  if (reachable == reachable_) return;
  reachable_ = reachable;
  if (reachable) returned_ = now_;
  listed_since_.reset();
  outputs_.emplace_back(
      LogDecision{reachable ? "store regained" : "store lost"});
}

void StoreFollower::OnConfig(const StoreResult& result, StoreRequest request) {
  if (result.status != StoreStatus::kOk) {
    // What a failed watch missed is unknown, so the configuration is read.
    const bool first = watched_revision_ == 0;
    const Duration pause =
        first ? options_.first_retry_pause : options_.retry_pause;
    return Schedule(
        StoreRequest::kReadConfig,
        result.status == StoreStatus::kCompacted ? Duration(0) : pause);
  }
  if (result.config) outputs_.emplace_back(Event(ConfigRead{result.config}));
  const bool regressed = result.revision < watched_revision_;
  if (request == StoreRequest::kReadConfig || !regressed) {
    watched_revision_ = std::max(watched_revision_, result.revision);
  }
  Issue(StoreRequest::kWatchConfig);
}

void StoreFollower::OnServers(const StoreResult& result) {
  const bool first = seen_.empty();
  if (result.status != StoreStatus::kOk) {
    return Schedule(StoreRequest::kListServers,
                    first ? options_.first_retry_pause : options_.retry_pause);
  }
  for (const auto& [id, entry] : result.servers) {
    servers_[id] = entry;
    seen_[id] = now_;
  }
  const TimePoint oldest = std::max(now_ - options_.missing_grace, TimePoint{});
  std::erase_if(seen_, [&](const auto& it) {
    const bool gone = std::max(it.second, returned_) < oldest;
    if (gone) servers_.erase(it.first);
    return gone;
  });
  if (!listed_since_) listed_since_ = now_;
  const bool settled = now_ - *listed_since_ >= options_.settle_time;
  outputs_.emplace_back(Event(ServersRead{servers_, settled}));
  Schedule(StoreRequest::kListServers, servers_.empty()
                                           ? options_.first_retry_pause
                                           : options_.server_interval);
}

void StoreFollower::OnInstances(const StoreResult& result) {
  if (result.status == StoreStatus::kOk) {
    outputs_.emplace_back(
        Event(InstancesCounted{std::max(result.instances, 1)}));
  }
  Schedule(StoreRequest::kListInstances, options_.instance_interval);
}

void StoreFollower::OnLease(const StoreResult& result, const Pending& pending) {
  if (result.status == StoreStatus::kAbsent) lease_ = 0;
  if (result.status != StoreStatus::kOk) {
    return Schedule(lease_ == 0 ? StoreRequest::kGrantLease : pending.request,
                    options_.server_interval);
  }
  if (pending.request == StoreRequest::kGrantLease) {
    lease_ = result.lease;
    return Issue(StoreRequest::kAnnounce);
  }
  Schedule(StoreRequest::kKeepLease, options_.lease_renewal);
}

void StoreFollower::FailClaim(const ServiceId& service) {
  outputs_.emplace_back(Event(ClaimAnswered{service, 0}));
}

void StoreFollower::OnClaim(const StoreResult& result, const Pending& pending) {
  StoreCall call;
  call.key = pending.service;
  if (pending.request == StoreRequest::kReadClaim) {
    const bool absent = result.status == StoreStatus::kAbsent;
    const bool own = result.status == StoreStatus::kOk && result.value == self_;
    if (!absent && !own) return FailClaim(pending.service);
    call.request = StoreRequest::kGrantLease;
    call.ttl = options_.claim_ttl;
    return Call(std::move(call), pending.service,
                own ? result.key_revision : 0);
  }
  if (result.status != StoreStatus::kOk) return FailClaim(pending.service);
  if (pending.request == StoreRequest::kGrantLease) {
    call.request = StoreRequest::kTakeClaim;
    call.lease = result.lease;
    call.revision = pending.expected;
    return Call(std::move(call), pending.service, pending.expected);
  }
  outputs_.emplace_back(Event(ClaimAnswered{pending.service, result.revision}));
}

}  // namespace corianderdock::session
