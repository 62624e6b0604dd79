/// \file
/// Leadership, replication state and failover of database groups.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corianderdock/configuration.h"
#include "corianderdock/detail/context.h"
#include "corianderdock/directory.h"
#include "corianderdock/gossip.h"
#include "corianderdock/leadership.h"

namespace corianderdock {

/// Polls the servers of the groups that this instance schedules statements for,
/// derives what is replicated and how stale each replica is, and replaces
/// failed primaries.
///
/// Terms are stored by the group's servers. A claimant asks all of them to
/// grant term + 1 and promotes the most advanced server of a granting majority.
/// At most one claimant can therefore win a term, whether or not the platform
/// is available. Confined to the control thread.
class GroupMonitor {
 public:
  /// \pre All arguments outlive this object.
  GroupMonitor(detail::Context& context, const Directory& directory,
               const Configuration& configuration);

  /// Starts or stops polling after a change of the directory.
  void OnDirectoryChanged();

  /// Processes the answer of a server. Returns the group whose state may have
  /// changed.
  [[nodiscard]] std::optional<GroupId> OnResult(
      const GroupOperationResult& result);

  void OnTimer(const detail::Timer& timer);

  /// Polls `group` at the shortest interval until the matching
  /// `EndFastPolling`, while statements wait for its replication state. Calls
  /// may nest.
  void BeginFastPolling(const GroupId& group);
  void EndFastPolling(const GroupId& group);

  /// Leadership as known to this instance; term 0 when it is unknown.
  [[nodiscard]] const Leadership& LeadershipOf(const GroupId& group) const;

  /// Adopts `leadership`, as reported by a server or another instance, if its
  /// term is newer. Returns whether it was.
  bool AdoptLeadership(const GroupId& group, const Leadership& leadership);

  /// Number of servers, the primary included, known to have replicated
  /// `position` and to know no term later than its own.
  [[nodiscard]] std::size_t ReplicationCount(const GroupId& group,
                                             Position position) const;

  /// Number of servers known to have replicated, in the current term,
  /// everything that a read at `position` on server `reader` returned. 0 when
  /// the current term discarded part of it.
  [[nodiscard]] std::size_t ReadReplicationCount(const GroupId& group,
                                                 Position position,
                                                 const ServerId& reader) const;

  /// Whether a majority recently answered in the current term, so that the
  /// replication of a write can be confirmed.
  [[nodiscard]] bool CanConfirmReplication(const GroupId& group) const;

  /// Latest time at which the primary's log, confirmed by a majority, contained
  /// nothing beyond `read`: data at `read` was current at that time.
  [[nodiscard]] std::optional<TimePoint> ConfirmedCurrentAt(
      const GroupId& group, Position read) const;

  /// Whether a majority that includes the primary confirmed `term` in answers
  /// to polls sent at or after `since`.
  [[nodiscard]] bool ConfirmedSince(const GroupId& group, Term term,
                                    TimePoint since) const;

  /// Log end that a server last reported; empty when it has never answered.
  [[nodiscard]] std::optional<Position> LogEndOf(const ServerId& server) const;

  /// Adds the leadership changes that are still being disseminated.
  void AddLeadershipUpdates(Gossip& gossip);

  /// Calls `visit` for each known group with its id, its leadership, whether it
  /// is watched and whether a claim is in progress.
  template <typename Visitor>
  void ForEach(Visitor visit) const {
    for (const auto& [id, group] : groups_) {
      visit(id, group.leadership, group.watched, group.claim.has_value());
    }
  }

 private:
  struct ServerView {
    std::optional<ServerStatus> status;
    TimePoint status_requested;  ///< send time of the poll behind `status`
    std::optional<TimePoint> poll_started;  ///< send time of the poll in flight
    std::uint64_t poll_call = 0;
    TimePoint next_poll;
    bool last_poll_failed = false;
  };

  /// Log end of the primary, reported in answer to a poll sent at `sent`.
  struct Sample {
    TimePoint sent;
    Position position;
  };

  /// An attempt of this instance to win a term and promote a server.
  struct Claim {
    Term term = 0;
    std::map<ServerId, Position> grants;  ///< log ends of granting servers
    ServerId candidate;  ///< set once the promotion has been requested
    TimePoint deadline;
  };

  struct Group {
    Leadership leadership;
    bool watched = false;
    std::map<ServerId, ServerView> servers;
    /// Samples after which a majority has not yet confirmed the term.
    std::deque<Sample> unconfirmed_samples;
    std::deque<Sample> confirmed_samples;
    int fast_polling_depth = 0;  ///< nesting depth of `BeginFastPolling`
    Term highest_term = 0;       ///< highest term any server reported
    /// Last answer of the primary in the current term; until there is one, when
    /// the term became known or watching started.
    TimePoint primary_last_seen;
    std::optional<TimePoint> claim_due;  ///< when a scheduled claim starts
    std::optional<Claim> claim;
    /// Gossip messages that will still carry the leadership.
    int transmissions_left = 0;
  };

  struct PendingOperation {
    GroupId group;
    ServerId server;
    enum class Type { kStatus, kFence, kPromote, kFollow } type;
    Term term = 0;
    TimePoint sent;
  };

  /// Whether the server's last status shows that it has replicated `position`
  /// and knows no later term.
  static bool HasReplicated(const ServerView& view, Position position);
  void Poll(const GroupId& id, Group& group, const ServerId& server);
  void SchedulePoll(const GroupId& id, const ServerId& server, Duration delay);
  [[nodiscard]] Duration PollInterval(const GroupId& id) const;
  std::uint64_t SendOperation(const GroupId& id, const ServerId& server,
                              GroupOperation operation,
                              PendingOperation::Type type, Term term);
  void OnStatus(const GroupId& id, Group& group, const PendingOperation& call,
                const std::optional<ServerStatus>& status);
  void OnGrant(const GroupId& id, Group& group, const PendingOperation& call,
               const ServerStatus& status);
  void OnPromoted(const GroupId& id, Group& group, const PendingOperation& call,
                  const ServerStatus& status);
  void AddSample(Group& group, const ServerStatus& status, TimePoint sent);
  void ConfirmSamples(Group& group);
  /// Makes a server that does not follow the current primary follow it.
  void RedirectToPrimary(const GroupId& id, Group& group,
                         const ServerId& server, const ServerStatus& status);
  /// Schedules a claim when the primary is lost or leaving, or cancels it. The
  /// delay depends on this instance's rank, so that claims rarely collide.
  void ScheduleClaimIfNeeded(const GroupId& id, Group& group);
  /// Whether a majority of the servers no longer hears from the primary: for
  /// `replica_silence` while it does not answer this instance either, or for
  /// `replication_silence` in any case.
  [[nodiscard]] bool PrimaryLost(const GroupId& id, const Group& group) const;
  /// Whether the primary is leaving and a majority of the servers is available
  /// to take over from it.
  [[nodiscard]] bool PrimaryLeaving(const Group& group) const;
  void StartClaim(const GroupId& id, Group& group);
  void StartDissemination(Group& group);
  /// Number of servers that reported `term` in answer to a poll sent at or
  /// after `since`.
  [[nodiscard]] std::size_t ConfirmationCount(const Group& group, Term term,
                                              TimePoint since) const;

  detail::Context& context_;
  const Directory& directory_;
  const Configuration& configuration_;
  std::map<GroupId, Group> groups_;
  std::map<std::uint64_t, PendingOperation> pending_operations_;
  std::set<GroupId> disseminating_;  ///< groups whose leadership is in gossip
};

}  // namespace corianderdock
