/// \file
/// Servers of a service that may hold acknowledged commits, as kept in the
/// store.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "corianderdock/session/model.h"
#include "corianderdock/session/store_revision.h"

namespace corianderdock::session {

/// Members of one service. An instance learns of a server from the list of
/// servers, which drops those whose reports don't reach the store, although
/// they go on receiving commits. The record keeps them known to instances that
/// start later.
struct MemberRecord {
  StoreRevision revision;  ///< of its key; 0 while there is none
  ServerList servers;
  /// Server whose promotion was ordered, until no order for it can be executed
  /// any more; empty if there is none.
  ServerId ordered = {};
  std::uint64_t order_token = 0;  ///< of that order
  /// End of the most advanced log of the replicas that were fenced for that
  /// order; null if unknown.
  std::optional<Position> order_end = {};
  /// How often it was recorded again since, as it was repeated.
  std::uint64_t order_renewals = 0;
  /// Servers of earlier orders that may still be executed as well.
  std::set<ServerId> superseded = {};
  /// The primary, if the platform answered the last order that the record
  /// named, and the term in which it leads since.
  ServerId leader = {};
  Term leader_term = 0;

  bool operator==(const MemberRecord&) const = default;
};

using MemberRecords = std::map<ServiceId, MemberRecord>;

/// Largest number of servers that a record names.
inline constexpr std::size_t kMaxMembers = 32;

/// Returns the text under which a record is stored.
[[nodiscard]] std::string EncodeMembers(const MemberRecord& record);

/// Parses a stored record of `service`, without its revision; null if the text
/// is not one. Servers that are malformed are left out.
[[nodiscard]] std::optional<MemberRecord> DecodeMembers(
    const ServiceId& service, std::string_view text);

/// Decides when this instance reads or replaces the record of one service.
///
/// The instance that ranks first writes at once. The others read the record
/// after a pause, and write only if it still lacks a server. So a change of
/// members costs a large fleet one write, and nothing is read or written while
/// the members stay the same. Not thread-safe; times must not decrease.
class MemberRecorder {
 public:
  /// What is known of the service's servers at the time of a step.
  struct Situation {
    TimePoint now;
    ServerList required;  ///< to be named by the record
    /// Servers that the record names but no longer has to.
    std::set<ServerId> obsolete;
    /// The order that the record names can't be executed any more, and this
    /// instance gave it or may remove it.
    bool order_expired = false;
    /// The primary, if the platform answered that order; otherwise empty.
    ServerId leader = {};
    Term leader_term = 0;
    int rank = 0;  ///< of this instance among all; 0 is the first
  };

  enum class Step { kNone, kRead, kWrite };

  /// Decides what is due. After `kRead` or `kWrite` the result is awaited for
  /// some time; `OnRecord` ends the wait.
  [[nodiscard]] Step Next(const Situation& situation);

  /// Notes the state of the record in the store, as read at `now`. An order
  /// that a record of another era doesn't name may still be executed, so it
  /// stays known.
  void OnRecord(MemberRecord record, TimePoint now);

  /// Returns the record that replaces the present one.
  [[nodiscard]] MemberRecord Replacement(const Situation& situation) const;

  /// Whether the record is known to name the server at its address.
  [[nodiscard]] bool Names(const ServerEntry& server) const;

  [[nodiscard]] const MemberRecord& record() const noexcept { return record_; }

  /// When this instance learned of the order that the record names. It may have
  /// been given until then.
  [[nodiscard]] TimePoint order_known_since() const noexcept {
    return order_known_since_;
  }

 private:
  MemberRecord record_;
  TimePoint order_known_since_;
  std::optional<TimePoint> lacking_since_;
  std::optional<TimePoint> obsolete_since_;
  TimePoint next_attempt_;
};

}  // namespace corianderdock::session
