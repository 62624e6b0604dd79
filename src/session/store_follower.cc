#include "corianderdock/session/store_follower.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace corianderdock::session {

namespace {

/// Attempts of a claim whose member record changes each time; each is three
/// calls.
constexpr int kMaxClaimAttempts = 3;
/// Steps into which an instance's id divides a spread of calls.
constexpr std::size_t kSpreadSteps = 1024;

const char* NameOf(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return "ok";
    case StoreStatus::kAbsent:
      return "absent";
    case StoreStatus::kConflict:
      return "conflict";
    case StoreStatus::kCompacted:
      return "compacted";
    case StoreStatus::kUnavailable:
      return "unavailable";
    case StoreStatus::kNoAnswer:
      return "no_answer";
  }
  return "";
}

/// Whether the call reads a list for its own sake, so that its result holds in
/// whatever era it was answered.
bool IsList(StoreRequest request) {
  return request == StoreRequest::kListServers ||
         request == StoreRequest::kListInstances ||
         request == StoreRequest::kReadMembersStale;
}

/// Whether a new era starts the calls of this kind anew.
bool RestartsWithEra(StoreRequest request) {
  switch (request) {
    case StoreRequest::kReadConfig:
    case StoreRequest::kWatchConfig:
    case StoreRequest::kReadMembers:
    case StoreRequest::kGrantLease:
    case StoreRequest::kKeepLease:
    case StoreRequest::kAnnounce:
      return true;
    default:
      return false;
  }
}

}  // namespace

StoreFollower::StoreFollower(InstanceId self, StoreFollowerOptions options)
    : self_(std::move(self)),
      options_(options),
      spread_(
          static_cast<double>(std::hash<InstanceId>()(self_) % kSpreadSteps) /
          static_cast<double>(kSpreadSteps)) {}

StoreFollower::Outputs StoreFollower::Start(TimePoint now) {
  now_ = now;
  Issue(StoreRequest::kReadConfig);
  Issue(StoreRequest::kListServers);
  Issue(StoreRequest::kReadMembers);
  Issue(StoreRequest::kListInstances);
  Issue(StoreRequest::kGrantLease);
  return std::exchange(outputs_, {});
}

std::optional<TimePoint> StoreFollower::NextTimer() const {
  std::optional<TimePoint> next;
  for (const auto& [request, due] : scheduled_) {
    if (!next || due < *next) next = due;
  }
  return next;
}

StoreFollower::Outputs StoreFollower::OnTimer(TimePoint now) {
  now_ = now;
  std::vector<StoreRequest> requests;
  for (const auto& [request, due] : scheduled_) {
    if (due <= now) requests.push_back(request);
  }
  for (const StoreRequest it : requests) {
    scheduled_.erase(it);
    Issue(it);
  }
  return std::exchange(outputs_, {});
}

void StoreFollower::Schedule(StoreRequest request, Duration delay) {
  scheduled_[request] = now_ + delay;
}

bool StoreFollower::IsPending(StoreRequest request) const {
  return std::any_of(
      pending_calls_.begin(), pending_calls_.end(),
      [&](const auto& it) { return it.second.request == request; });
}

void StoreFollower::StartDuty(StoreRequest request) {
  if (!IsPending(request)) Schedule(request, Duration(0));
}

StoreFollower::Outputs StoreFollower::SetDuties(TimePoint now,
                                                const StoreDuties& duties) {
  now_ = now;
  const StoreDuties previous = std::exchange(duties_, duties);
  if (duties.config != previous.config) {
    scheduled_.erase(StoreRequest::kWatchConfig);
    if (read_version_ != 0) scheduled_.erase(StoreRequest::kReadConfig);
    const bool reads = duties.config != StoreDuties::Config::kNone;
    if (reads) StartDuty(StoreRequest::kReadConfig);
  }
  if (!duties.lists) {
    scheduled_.erase(StoreRequest::kListServers);
    scheduled_.erase(StoreRequest::kListInstances);
  } else if (!previous.lists) {
    // What happened to the list meanwhile is unknown, as after an outage.
    store_reachable_since_ = now_;
    first_listed_at_.reset();
    StartDuty(StoreRequest::kListServers);
    StartDuty(StoreRequest::kListInstances);
  }
  return OnTimer(now);
}

StoreFollower::Outputs StoreFollower::ReadConfigNow(TimePoint now) {
  now_ = now;
  StartDuty(StoreRequest::kReadConfig);
  return OnTimer(now);
}

/// Continues after the configuration was read or a watch ended. `at_once`: a
/// watch may follow without a pause.
void StoreFollower::ContinueConfig(const PendingCall& pending, bool at_once) {
  switch (duties_.config) {
    case StoreDuties::Config::kNone:
      return;
    case StoreDuties::Config::kRead: {
      if (pending.request != StoreRequest::kReadConfig) return;
      const Duration elapsed = now_ - pending.issued_at;
      config_failures_ = 0;
      return Schedule(
          StoreRequest::kReadConfig,
          std::max(options_.config_interval - elapsed, Duration(0)));
    }
    case StoreDuties::Config::kWatch:
      if (IsPending(StoreRequest::kWatchConfig)) return;
      if (at_once) return Issue(StoreRequest::kWatchConfig);
      return Schedule(StoreRequest::kWatchConfig,
                      RetryPause(++config_failures_));
  }
}

void StoreFollower::ScheduleIfNone(StoreRequest request, Duration delay) {
  scheduled_.try_emplace(request, now_ + delay);
}

void StoreFollower::Call(StoreCall call, PendingCall pending) {
  call.number = next_number_++;
  if (call.timeout == Duration(0)) call.timeout = options_.call_timeout;
  pending.request = call.request;
  pending.issued_at = now_;
  pending.era = era_;
  pending_calls_[call.number] = std::move(pending);
  outputs_.emplace_back(std::move(call));
}

void StoreFollower::Issue(StoreRequest request) {
  StoreCall call;
  call.request = request;
  switch (request) {
    case StoreRequest::kWatchConfig:
      call.revision = watched_revision_.number;
      call.wait = std::min(options_.watch_wait,
                           duties_.watch_wait.value_or(options_.watch_wait));
      call.timeout = call.wait + options_.watch_slack;
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
  Call(std::move(call), {});
}

StoreFollower::Outputs StoreFollower::Claim(TimePoint now,
                                            const ClaimPromotion& claim) {
  now_ = now;
  if (!reachable_) {
    ReportClaimFailure(claim.service, true);
    return std::exchange(outputs_, {});
  }
  StartClaim(claim.service, claim.member_revision, 1);
  return std::exchange(outputs_, {});
}

void StoreFollower::StartClaim(const ServiceId& service,
                               const StoreRevision& member_revision,
                               int attempt) {
  StoreCall call;
  call.timeout = options_.claim_timeout;
  call.request = StoreRequest::kReadClaim;
  call.key = service;
  PendingCall pending;
  pending.service = service;
  pending.member_revision = member_revision;
  pending.attempt = attempt;
  Call(std::move(call), std::move(pending));
}

StoreFollower::Outputs StoreFollower::Keep(TimePoint now,
                                           const KeepClaim& claim) {
  now_ = now;
  const auto it = claims_.find(claim.service);
  if (it == claims_.end() || !reachable_) return {};
  const bool ended = it->second.lease == 0 || it->second.revision.era != era_;
  if (ended) return {};
  StoreCall call;
  call.request = StoreRequest::kKeepClaim;
  call.timeout = options_.claim_timeout;
  call.lease = it->second.lease;
  PendingCall pending;
  pending.service = claim.service;
  Call(std::move(call), std::move(pending));
  return std::exchange(outputs_, {});
}

StoreFollower::Outputs StoreFollower::ReadMemberRecords(
    TimePoint now, const ReadMembers& read) {
  now_ = now;
  if (read.linearizable) {
    // Scheduled reads go on until one succeeds; this one is not repeated.
    Issue(StoreRequest::kReadMembersOnce);
    return std::exchange(outputs_, {});
  }
  Issue(StoreRequest::kReadMembersStale);
  return std::exchange(outputs_, {});
}

StoreFollower::Outputs StoreFollower::WriteMemberRecord(
    TimePoint now, const WriteMembers& write) {
  now_ = now;
  StoreCall call;
  call.request = StoreRequest::kWriteMembers;
  call.key = write.service;
  call.revision = Expected(write.record.revision);
  call.value = EncodeMembers(write.record);
  PendingCall pending;
  pending.service = write.service;
  pending.members = write.record;
  Call(std::move(call), std::move(pending));
  return std::exchange(outputs_, {});
}

StoreFollower::Outputs StoreFollower::Record(TimePoint now,
                                             const RecordOrder& order) {
  now_ = now;
  const auto claim = claims_.find(order.service);
  if (claim != claims_.end() && claim->second.revision.era != era_) {
    outputs_.emplace_back(Event(OrderRecorded{order.service, false}));
    return std::exchange(outputs_, {});
  }
  StoreCall call;
  call.timeout = options_.claim_timeout;
  call.request = StoreRequest::kRecordOrder;
  call.key = order.service;
  call.revision = Expected(order.record.revision);
  call.claim_revision = order.token;
  call.value = EncodeMembers(order.record);
  PendingCall pending;
  pending.service = order.service;
  pending.members = order.record;
  Call(std::move(call), std::move(pending));
  return std::exchange(outputs_, {});
}

StoreFollower::Outputs StoreFollower::OnResult(TimePoint now,
                                               const StoreResult& result) {
  now_ = now;
  const auto it = pending_calls_.find(result.number);
  if (it == pending_calls_.end()) return {};
  const PendingCall pending = it->second;
  pending_calls_.erase(it);
  SetReachable(result.status != StoreStatus::kNoAnswer &&
               result.status != StoreStatus::kUnavailable);
  if (!NoteEra(result, pending)) {
    OnOtherEra(pending);
    return std::exchange(outputs_, {});
  }
  switch (pending.request) {
    case StoreRequest::kReadConfig:
    case StoreRequest::kWatchConfig:
      OnConfig(result, pending);
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
      OnLease(result, pending);
      break;
    case StoreRequest::kReadMembers:
    case StoreRequest::kReadMembersOnce:
    case StoreRequest::kReadMembersStale:
    case StoreRequest::kWriteMembers:
    case StoreRequest::kRecordOrder:
      OnMembers(result, pending);
      break;
    case StoreRequest::kReadClaim:
    case StoreRequest::kTakeClaim:
    case StoreRequest::kGrantClaimLease:
      OnClaim(result, pending);
      break;
    case StoreRequest::kKeepClaim:
      if (result.status == StoreStatus::kAbsent) {
        claims_[pending.service].lease = 0;
      }
      break;
  }
  return std::exchange(outputs_, {});
}

void StoreFollower::SetReachable(bool reachable) {
  if (reachable == reachable_) return;
  reachable_ = reachable;
  if (reachable) store_reachable_since_ = now_;
  first_listed_at_.reset();
  outputs_.emplace_back(LogDecision{
      reachable ? "store reachable" : "store unreachable", Severity::kWarning});
}

/// Returns the revision that a write is to expect of a key. One of another era
/// is unknown in this one: the write then expects no key, and is refused with
/// the item if there is one.
std::uint64_t StoreFollower::Expected(const StoreRevision& revision) const {
  return revision.era == era_ ? revision.number : 0;
}

/// Notes the era of an answer. Returns whether the answer is of the present era
/// and relies on nothing of an older one.
bool StoreFollower::NoteEra(const StoreResult& result,
                            const PendingCall& pending) {
  const bool changed = result.era && result.era != era_;
  const bool current = pending.era == era_;
  // A call of an older era was answered late.
  if (changed && !current) return false;
  if (!changed) {
    answered_ = answered_ || result.status != StoreStatus::kNoAnswer;
    return current || (result.era && IsList(pending.request));
  }
  if (era_ || answered_) {
    OnRestored(result);
    return IsList(pending.request);
  }
  answered_ = true;
  era_ = result.era;
  for (auto& [number, call] : pending_calls_) call.era = era_;
  return true;
}

/// Nothing that the store acknowledged in another era is relied on. Servers
/// have to register again, as after an outage.
void StoreFollower::OnRestored(const StoreResult& result) {
  outputs_.emplace_back(LogDecision{
      "store restored era=" + FormatEra(result.era) + " previous_era=" +
      FormatEra(era_) + " revision=" + std::to_string(result.revision) +
      " watched_revision=" + std::to_string(watched_revision_.number) +
      " lease=" + std::to_string(lease_)});
  era_ = result.era;
  read_version_ = 0;
  lease_ = 0;
  store_reachable_since_ = now_;
  first_listed_at_.reset();
  std::erase_if(pending_calls_, [](const auto& it) {
    return RestartsWithEra(it.second.request);
  });
  scheduled_.erase(StoreRequest::kWatchConfig);
  scheduled_.erase(StoreRequest::kKeepLease);
  scheduled_.erase(StoreRequest::kAnnounce);
  const auto spread =
      std::chrono::duration_cast<Duration>(options_.restore_spread * spread_);
  const Duration pause = RetryPause(++restores_) + spread;
  ScheduleIfNone(StoreRequest::kReadConfig, pause);
  ScheduleIfNone(StoreRequest::kReadMembers, pause);
  ScheduleIfNone(StoreRequest::kGrantLease, pause);
}

/// Ends a call whose answer can't be used because of its era.
void StoreFollower::OnOtherEra(const PendingCall& pending) {
  switch (pending.request) {
    case StoreRequest::kListServers:
    case StoreRequest::kListInstances:
      return Schedule(pending.request, RetryPause(++list_failures_));
    case StoreRequest::kReadClaim:
    case StoreRequest::kGrantClaimLease:
    case StoreRequest::kTakeClaim:
      return ReportClaimFailure(pending.service, false);
    case StoreRequest::kRecordOrder:
      outputs_.emplace_back(Event(OrderRecorded{pending.service, false}));
      return;
    default:
      return;
  }
}

Duration StoreFollower::Pause(Duration first, Duration max, int failures) {
  Duration pause = first;
  for (int n = 1; n < failures && pause < max; ++n) pause *= 2;
  return std::min(pause, max);
}

Duration StoreFollower::Spread(Duration pause) const {
  return pause + std::chrono::duration_cast<Duration>(
                     pause * (options_.retry_spread * spread_));
}

Duration StoreFollower::RetryPause(int failures) const {
  return Spread(
      Pause(options_.retry_pause, options_.max_retry_pause, failures));
}

Duration StoreFollower::LeasePause() {
  return Spread(Pause(options_.retry_pause, options_.max_lease_retry_pause,
                      ++lease_failures_));
}

void StoreFollower::OnConfigFailure(const StoreResult& result,
                                    const PendingCall& pending) {
  const Duration first = result.status == StoreStatus::kAbsent
                             ? options_.missing_config_retry_pause
                         : watched_revision_.number == 0
                             ? options_.first_retry_pause
                             : options_.retry_pause;
  if (pending.request == StoreRequest::kWatchConfig) {
    outputs_.emplace_back(LogDecision{
        "config watch failed status=" + std::string(NameOf(result.status)) +
        " watched_revision=" + std::to_string(watched_revision_.number) +
        " era=" + FormatEra(watched_revision_.era)});
  }
  const bool left_to_others =
      duties_.config == StoreDuties::Config::kNone && read_version_ != 0;
  if (left_to_others) return;
  // A failed watch may have missed changes, so read the configuration again.
  Schedule(StoreRequest::kReadConfig,
           Spread(Pause(first, options_.max_retry_pause, ++config_failures_)));
}

/// Reports that a linearizable read showed the newest configuration. A watch
/// shows nothing of the kind, as it can stop delivering changes unnoticed. A
/// document that can't be used never comes into force and revokes nothing, so
/// it confirms the one before.
void StoreFollower::ConfirmRead(const StoreResult& result,
                                TimePoint issued_at) {
  const std::uint64_t shown = result.config      ? result.config->version
                              : result.rejection ? result.rejection->version
                                                 : 0;
  const bool older = shown != 0 && shown < read_version_;
  if (read_version_ == 0 || older) return;
  outputs_.emplace_back(Event(ConfigConfirmed{read_version_, issued_at}));
}

void StoreFollower::OnConfig(const StoreResult& result,
                             const PendingCall& pending) {
  if (result.status != StoreStatus::kOk) {
    return OnConfigFailure(result, pending);
  }
  const bool read = pending.request == StoreRequest::kReadConfig;
  const bool newer = result.config && result.config->version > read_version_;
  if (newer) read_version_ = result.config->version;
  const Duration wait = std::min(
      options_.watch_wait, duties_.watch_wait.value_or(options_.watch_wait));
  const bool lasted = now_ - pending.issued_at >= wait / 2;
  // A read doesn't count, as the watch that follows may fail at once.
  if (!read && !result.rejection && (newer || lasted)) {
    config_failures_ = 0;
    restores_ = 0;
  }
  if (result.config) outputs_.emplace_back(Event(ConfigRead{result.config}));
  if (result.rejection && !read) {
    // The event may have been damaged on the way, so the key itself is read.
    return Schedule(StoreRequest::kReadConfig, RetryPause(++config_failures_));
  }
  if (result.rejection) {
    outputs_.emplace_back(Event(ConfigRejected{*result.rejection}));
  }
  if (read) ConfirmRead(result, pending.issued_at);
  const StoreRevision revision(result.revision, era_);
  // A read is linearizable, so the watch starts from its revision. A watch may
  // be answered by a node that lags.
  if (read || revision > watched_revision_) watched_revision_ = revision;
  ContinueConfig(pending, read || newer || lasted);
}

void StoreFollower::OnServers(const StoreResult& result) {
  const Duration first =
      last_listed_.empty() ? options_.first_retry_pause : options_.retry_pause;
  const auto retry_pause = [&] {
    return Spread(Pause(first, options_.max_retry_pause, ++list_failures_));
  };
  if (result.status != StoreStatus::kOk) {
    return Schedule(StoreRequest::kListServers, retry_pause());
  }
  for (const auto& [id, entry] : result.servers) {
    servers_[id] = entry;
    last_listed_[id] = now_;
  }
  for (const auto& [id, number] : result.heartbeats) {
    const auto first = first_heartbeats_.try_emplace(id, number).first;
    if (first->second != number) renewed_.insert(id);
  }
  const TimePoint oldest = std::max(now_ - options_.missing_grace, TimePoint{});
  std::erase_if(last_listed_, [&](const auto& it) {
    const bool expired = std::max(it.second, store_reachable_since_) < oldest;
    if (!expired) return false;
    servers_.erase(it.first);
    first_heartbeats_.erase(it.first);
    renewed_.erase(it.first);
    return true;
  });
  if (!first_listed_at_) first_listed_at_ = now_;
  const bool all_relisted = std::all_of(
      last_listed_.begin(), last_listed_.end(),
      [this](const auto& it) { return it.second >= store_reachable_since_; });
  const bool complete = now_ - *first_listed_at_ >= options_.list_settle_time ||
                        (list_was_complete_ && all_relisted);
  list_was_complete_ = list_was_complete_ || complete;
  outputs_.emplace_back(Event(ServersRead{servers_, complete, renewed_}));
  if (servers_.empty()) {
    return Schedule(StoreRequest::kListServers, retry_pause());
  }
  list_failures_ = 0;
  if (!duties_.lists) return;
  Schedule(StoreRequest::kListServers, options_.server_interval);
}

void StoreFollower::OnInstances(const StoreResult& result) {
  if (result.status == StoreStatus::kOk) {
    instances_ = result.instances;
    const bool added = instances_.try_emplace(self_).second;
    outputs_.emplace_back(Event(InstancesRead{instances_, !added}));
  }
  if (!duties_.lists) return;
  Schedule(StoreRequest::kListInstances, options_.instance_interval);
}

void StoreFollower::OnLease(const StoreResult& result,
                            const PendingCall& pending) {
  if (result.status == StoreStatus::kAbsent) lease_ = 0;
  if (result.status != StoreStatus::kOk) {
    return Schedule(lease_ == 0 ? StoreRequest::kGrantLease : pending.request,
                    LeasePause());
  }
  if (pending.request == StoreRequest::kKeepLease) lease_failures_ = 0;
  if (pending.request == StoreRequest::kGrantLease) {
    lease_ = result.lease;
    return Issue(StoreRequest::kAnnounce);
  }
  if (pending.request == StoreRequest::kAnnounce) {
    outputs_.emplace_back(Event(TokenObtained{result.revision}));
    if (scheduled_.contains(StoreRequest::kKeepLease)) return;
  }
  Schedule(StoreRequest::kKeepLease, options_.lease_renewal);
}

void StoreFollower::ReportClaimFailure(const ServiceId& service,
                                       bool store_unreachable) {
  outputs_.emplace_back(Event(ClaimAnswered{service, 0, store_unreachable}));
}

/// The token is the revision of the key's last change, so it increases with
/// every claim. The key expires with its lease, so a claimant that crashes does
/// not block others.
void StoreFollower::OnClaim(const StoreResult& result,
                            const PendingCall& pending) {
  const ServiceId& service = pending.service;
  if (result.status == StoreStatus::kNoAnswer ||
      result.status == StoreStatus::kUnavailable) {
    return ReportClaimFailure(service, true);
  }
  if (pending.request == StoreRequest::kTakeClaim) {
    return OnTakeClaim(result, pending);
  }
  StoreCall call;
  call.key = service;
  PendingCall next = pending;
  if (pending.request == StoreRequest::kReadClaim) {
    const bool absent = result.status == StoreStatus::kAbsent;
    if (!absent && result.value != self_)
      return ReportClaimFailure(service, false);
    call.request = StoreRequest::kGrantClaimLease;
    call.ttl = options_.claim_ttl;
    next.expected_revision = absent ? 0 : result.key_revision;
    return Call(std::move(call), std::move(next));
  }
  if (result.status != StoreStatus::kOk)
    return ReportClaimFailure(service, false);
  call.request = StoreRequest::kTakeClaim;
  call.lease = result.lease;
  call.revision = pending.expected_revision;
  call.member_revision = Expected(pending.member_revision);
  next.claim_lease = result.lease;
  Call(std::move(call), std::move(next));
}

void StoreFollower::OnTakeClaim(const StoreResult& result,
                                const PendingCall& pending) {
  const ServiceId& service = pending.service;
  if (result.status == StoreStatus::kOk) {
    claims_[service] = {pending.claim_lease, {result.revision, era_}};
    outputs_.emplace_back(
        Event(ClaimAnswered{service, result.revision, false}));
    return;
  }
  const auto members = result.members.find(service);
  const bool members_changed = result.status == StoreStatus::kConflict &&
                               members != result.members.end();
  if (!members_changed) return ReportClaimFailure(service, false);
  // Other servers may have to be fenced: the claim is made again with them.
  ReportMembers(result.members, false);
  if (pending.attempt == kMaxClaimAttempts) {
    return ReportClaimFailure(service, false);
  }
  StartClaim(service, {members->second.revision, era_}, pending.attempt + 1);
}

void StoreFollower::OnMembers(const StoreResult& result,
                              const PendingCall& pending) {
  const bool order = pending.request == StoreRequest::kRecordOrder;
  const bool ok = result.status == StoreStatus::kOk;
  if (order || pending.request == StoreRequest::kWriteMembers) {
    MembersRead read;
    read.records[pending.service] = pending.members;
    read.records[pending.service].revision = {result.revision, era_};
    read.current_at = pending.issued_at;
    if (ok) outputs_.emplace_back(Event(std::move(read)));
    if (result.status == StoreStatus::kConflict) {
      ReportMembers(result.members, false);
    }
    if (order) outputs_.emplace_back(Event(OrderRecorded{pending.service, ok}));
    return;
  }
  const bool stale = pending.request == StoreRequest::kReadMembersStale;
  const auto current_at =
      stale ? std::nullopt : std::optional<TimePoint>(pending.issued_at);
  if (ok) member_failures_ = 0;
  if (ok) return ReportMembers(result.members, true, current_at);
  if (pending.request == StoreRequest::kReadMembers) {
    Schedule(StoreRequest::kReadMembers,
             Pause(options_.first_retry_pause, options_.max_retry_pause,
                   ++member_failures_));
  }
}

void StoreFollower::ReportMembers(const std::map<ServiceId, StoreItem>& items,
                                  bool all,
                                  std::optional<TimePoint> current_at) {
  MembersRead read;
  read.all = all;
  read.current_at = current_at;
  read.era = era_;
  for (const auto& [service, item] : items) {
    const bool absent = item.revision == 0;
    auto record = DecodeMembers(service, item.value);
    if (!record && !absent) {
      outputs_.emplace_back(LogDecision{
          "member record unusable service=" + service +
              " revision=" + std::to_string(item.revision) + " used=empty",
          Severity::kWarning});
    }
    read.records[service] = record.value_or(MemberRecord());
    read.records[service].revision = {item.revision, era_};
  }
  outputs_.emplace_back(Event(std::move(read)));
}

StoreFollower::Outputs StoreFollower::RenewToken(TimePoint now) {
  now_ = now;
  if (lease_ != 0 && !scheduled_.contains(StoreRequest::kAnnounce)) {
    Schedule(StoreRequest::kAnnounce, options_.token_renewal_pause);
  }
  return {};
}

}  // namespace corianderdock::session
