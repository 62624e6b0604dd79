/// \file
/// Follows the platform's key-value store: configuration, servers, members,
/// instances, leases and claims.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "corianderdock/detail/timers.h"
#include "corianderdock/session/events.h"
#include "corianderdock/session/model.h"
#include "corianderdock/session/store_revision.h"

namespace corianderdock::session {

/// Requests to the store.
enum class StoreRequest {
  kReadConfig,     ///< linearizable read
  kWatchConfig,    ///< long poll for a change after a revision
  kListServers,    ///< may be stale
  kListInstances,  ///< may be stale
  kGrantLease,
  kKeepLease,
  kAnnounce,          ///< puts this instance's key under its lease
  kReadMembers,       ///< records of all services; linearizable
  kReadMembersOnce,   ///< the same, not repeated if it fails
  kReadMembersStale,  ///< the same, which may be stale
  kWriteMembers,      ///< compare-and-swap of one record
  kRecordOrder,       ///< the same, while a claim has an expected revision
  kReadClaim,
  kGrantClaimLease,
  /// Compare-and-swap of a claim under a lease, while the service's member
  /// record has an expected revision.
  kTakeClaim,
  kKeepClaim,  ///< renews the lease of a claim
};

/// A call to the store, answered by a `StoreResult` with the same number.
struct StoreCall {
  std::uint64_t number = 0;
  StoreRequest request = StoreRequest::kReadConfig;
  std::uint64_t revision = 0;  ///< to watch from, or expected for the key
  std::uint64_t member_revision = 0;  ///< of the record, for `kTakeClaim`
  std::uint64_t claim_revision = 0;   ///< of the claim, for `kRecordOrder`
  std::uint64_t lease = 0;
  Duration wait{0};     ///< how long a watch waits for a change
  Duration ttl{0};      ///< of a lease
  Duration timeout{0};  ///< after it the call counts as unanswered
  std::string key;      ///< of an announcement, claim or record: last segment
  std::string value;    ///< of a record
};

enum class StoreStatus {
  kOk,
  kAbsent,       ///< no such key or lease
  kConflict,     ///< another instance changed the key
  kCompacted,    ///< the requested history was compacted
  kUnavailable,  ///< refused, with no effect
  kNoAnswer,     ///< the call may have taken effect
};

/// An item of the store.
struct StoreItem {
  std::string value;
  std::uint64_t revision = 0;
};

struct StoreResult {
  std::uint64_t number = 0;
  StoreStatus status = StoreStatus::kNoAnswer;
  StoreEra era = {};           ///< null: none named, or not readable
  std::uint64_t revision = 0;  ///< of the store, or of the change made
  std::uint64_t key_revision = 0;
  std::uint64_t lease = 0;
  std::string value;                            ///< of a claim
  std::shared_ptr<const RoutingConfig> config;  ///< null: unchanged
  std::optional<ConfigRejection> rejection;     ///< of the configuration read
  ServerList servers;
  std::map<ServerId, std::uint64_t> heartbeats;  ///< numbers, of `servers`
  InstanceList instances;
  /// Member records by service: those read, or those whose expected revision
  /// was wrong.
  std::map<ServiceId, StoreItem> members;
};

/// Intervals and time-outs of `StoreFollower`.
struct StoreFollowerOptions {
  /// A watch can stop delivering changes without an error. Together with
  /// `watch_slack` it ends within 4 s, the time after which an instance counts
  /// as back in contact.
  Duration watch_wait = std::chrono::milliseconds(3200);
  Duration watch_slack = std::chrono::milliseconds(400);
  Duration call_timeout = std::chrono::milliseconds(1000);
  /// Pause after a call that failed or brought nothing new at once. It doubles
  /// with each further one up to `max_retry_pause`, as refused calls are
  /// charged for as well.
  Duration retry_pause = std::chrono::milliseconds(250);
  Duration max_retry_pause = std::chrono::milliseconds(1000);
  /// The same for the lease. `lease_ttl` leaves time for several attempts.
  Duration max_lease_retry_pause = std::chrono::milliseconds(2000);
  /// Pauses are longer by up to this share, and the return to a restored store
  /// is delayed by up to `restore_spread`. Both depend on the instance's name,
  /// so that instances don't call at the same moment.
  double retry_spread = 0.2;
  Duration restore_spread = std::chrono::milliseconds(500);
  /// Used until a configuration has been read or a server has been listed.
  Duration first_retry_pause = std::chrono::milliseconds(100);
  /// Used while the store has no configuration, as each read is charged for in
  /// full.
  Duration missing_config_retry_pause = std::chrono::milliseconds(400);
  /// Of linearizable reads, from the start of one to that of the next.
  Duration config_interval = std::chrono::milliseconds(1000);
  Duration server_interval = std::chrono::milliseconds(1000);
  Duration instance_interval = std::chrono::milliseconds(2000);
  Duration lease_ttl = std::chrono::milliseconds(10'000);
  Duration claim_ttl = std::chrono::milliseconds(3'000);
  Duration claim_timeout = std::chrono::milliseconds(300);
  /// Pause before the fallback token is renewed after a promotion.
  Duration token_renewal_pause = std::chrono::milliseconds(500);
  Duration lease_renewal = std::chrono::milliseconds(3'000);
  /// A server missing from the list is kept this long, as it may reappear soon.
  Duration missing_grace = std::chrono::milliseconds(2'500);
  /// Servers whose entries expired while the store was unavailable register
  /// again within this time. It starts with the first list after this process
  /// started or after the store became reachable again; until it has passed,
  /// the list counts as incomplete. Once a list has been complete, a later one
  /// counts as complete as soon as all known servers have been listed again.
  Duration list_settle_time = std::chrono::milliseconds(3'000);
};

/// What an instance reads from the store by itself. The rest it learns from
/// other instances.
struct StoreDuties {
  enum class Config {
    kWatch,  ///< watch for changes
    kRead,   ///< linearizable reads at `config_interval`
    kNone,   ///< only when asked to, and until it was read once
  };
  Config config = Config::kWatch;
  bool lists = true;  ///< of servers and of instances
  /// How long a watch waits, if shorter than the option.
  std::optional<Duration> watch_wait = {};

  bool operator==(const StoreDuties&) const = default;
};

/// Decides which calls to make to the store and turns their results into
/// events. Cached state stays in use while the store is unavailable. Performs
/// no I/O. Not thread-safe; times must not decrease.
///
/// Revisions and leases hold for the era in which the store returned them. When
/// an answer shows another era, whatever was read is read again, the lease and
/// the announcement are renewed, and claims of the old era have ended. An
/// answer that names no era counts as one of the last era known.
class StoreFollower {
 public:
  using Output = std::variant<StoreCall, Event, LogDecision>;
  using Outputs = std::vector<Output>;

  StoreFollower(InstanceId self, StoreFollowerOptions options);

  /// Issues the first calls.
  [[nodiscard]] Outputs Start(TimePoint now);

  /// Handles the result of a call; results of unknown calls are ignored.
  [[nodiscard]] Outputs OnResult(TimePoint now, const StoreResult& result);

  /// Changes what is read. What becomes a duty is read at once.
  [[nodiscard]] Outputs SetDuties(TimePoint now, const StoreDuties& duties);

  /// Reads the configuration once, unless it is being read.
  [[nodiscard]] Outputs ReadConfigNow(TimePoint now);

  /// Requests a fencing token; ends in `ClaimAnswered`.
  [[nodiscard]] Outputs Claim(TimePoint now, const ClaimPromotion& claim);

  /// Renews the lease of a claim that was granted, if any.
  [[nodiscard]] Outputs Keep(TimePoint now, const KeepClaim& claim);

  /// Reads the member records; ends in `MembersRead` unless it fails.
  [[nodiscard]] Outputs ReadMemberRecords(TimePoint now,
                                          const ReadMembers& read);

  /// Replaces a member record; ends in `MembersRead` unless it fails.
  [[nodiscard]] Outputs WriteMemberRecord(TimePoint now,
                                          const WriteMembers& write);

  /// Records the order of a promotion; ends in `OrderRecorded`.
  [[nodiscard]] Outputs Record(TimePoint now, const RecordOrder& order);

  /// Requests a newer fallback token; ends in `TokenObtained`. Has no effect
  /// without a lease.
  [[nodiscard]] Outputs RenewToken(TimePoint now);

  /// Issues the calls that are due.
  [[nodiscard]] Outputs OnTimer(TimePoint now);

  /// Returns when the next call is due, if any.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

 private:
  struct PendingCall {
    StoreRequest request;
    TimePoint issued_at;
    StoreEra era;                         ///< known when it was issued
    ServiceId service;                    ///< of a claim or record
    std::uint64_t expected_revision = 0;  ///< revision of the claim's key
    StoreRevision member_revision;        ///< of the record, for a claim
    std::uint64_t claim_lease = 0;        ///< under which a claim is taken
    int attempt = 1;                      ///< of a claim
    MemberRecord members;                 ///< written
  };

  struct GrantedClaim {
    std::uint64_t lease = 0;  ///< 0: ended
    StoreRevision revision;   ///< the token
  };

  void Call(StoreCall call, PendingCall pending);
  void StartClaim(const ServiceId& service,
                  const StoreRevision& member_revision, int attempt);
  void Schedule(StoreRequest request, Duration delay);
  void StartDuty(StoreRequest request);
  void ContinueConfig(const PendingCall& pending, bool at_once);
  [[nodiscard]] bool IsPending(StoreRequest request) const;
  void Issue(StoreRequest request);
  void OnConfig(const StoreResult& result, const PendingCall& pending);
  void OnConfigFailure(const StoreResult& result, const PendingCall& pending);
  void ConfirmRead(const StoreResult& result, TimePoint issued_at);
  void OnServers(const StoreResult& result);
  void OnInstances(const StoreResult& result);
  void OnLease(const StoreResult& result, const PendingCall& pending);
  void OnClaim(const StoreResult& result, const PendingCall& pending);
  void OnTakeClaim(const StoreResult& result, const PendingCall& pending);
  void OnMembers(const StoreResult& result, const PendingCall& pending);
  void ReportMembers(const std::map<ServiceId, StoreItem>& items, bool all,
                     std::optional<TimePoint> current_at = {});
  void SetReachable(bool reachable);
  [[nodiscard]] std::uint64_t Expected(const StoreRevision& revision) const;
  [[nodiscard]] bool NoteEra(const StoreResult& result,
                             const PendingCall& pending);
  void OnRestored(const StoreResult& result);
  void OnOtherEra(const PendingCall& pending);
  void ScheduleIfNone(StoreRequest request, Duration delay);
  [[nodiscard]] Duration RetryPause(int failures) const;
  [[nodiscard]] Duration LeasePause();
  [[nodiscard]] static Duration Pause(Duration first, Duration max,
                                      int failures);
  [[nodiscard]] Duration Spread(Duration pause) const;
  void ReportClaimFailure(const ServiceId& service, bool store_unreachable);

  InstanceId self_;
  StoreFollowerOptions options_;
  StoreDuties duties_;
  TimePoint now_;
  Outputs outputs_;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, PendingCall> pending_calls_;
  std::map<StoreRequest, TimePoint> scheduled_;  ///< when each is due
  double spread_ = 0;      ///< share of spreads, from this instance's name
  StoreEra era_;           ///< of the last answer
  bool answered_ = false;  ///< by the store, at least once
  StoreRevision watched_revision_;
  std::uint64_t read_version_ = 0;  ///< newest configuration read in `era_`
  std::uint64_t lease_ = 0;         ///< granted in `era_`; 0 if there is none
  std::map<ServiceId, GrantedClaim> claims_;  ///< the last of each service
  ServerList servers_;
  std::map<ServerId, TimePoint> last_listed_;  ///< of each server in `servers_`
  std::map<ServerId, std::uint64_t> first_heartbeats_;  ///< of the same
  std::set<ServerId> renewed_;  ///< those with a later heartbeat
  bool reachable_ = true;
  TimePoint store_reachable_since_;  ///< when it last became reachable
  /// First list since the start or the last change of `reachable_`.
  std::optional<TimePoint> first_listed_at_;
  bool list_was_complete_ = false;  ///< at least once since the start
  int config_failures_ = 0;         ///< consecutive
  int list_failures_ = 0;           ///< consecutive
  int restores_ = 0;                ///< without a watch that lasted
  int member_failures_ = 0;         ///< consecutive
  int lease_failures_ = 0;          ///< consecutive
  InstanceList instances_;
};

}  // namespace corianderdock::session
