/// \file
/// Leadership, freshness evidence and failover of database groups.
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

/// Polls the servers of the groups this instance schedules for, derives what
/// is replicated and how old copies are, and replaces failed primaries.
///
/// Terms live at the group's servers. A claimant asks all of them to grant
/// term + 1 and promotes the most advanced of a granting majority, so at most
/// one claimant wins a term, with or without the platform. Confined to the
/// control thread.
class GroupMonitor {
 public:
  /// \pre All arguments outlive this object.
  GroupMonitor(detail::Context& context, const Directory& directory,
               const Configuration& configuration);

  /// Starts or stops polling after the directory changed.
  void OnDirectoryChanged();

  /// Takes in the answer of a server. Returns the group whose state advanced.
  [[nodiscard]] std::optional<GroupId> OnResult(const GroupResult& result);

  void OnTimer(const detail::Timer& timer);

  /// Polls `group` without pause until `EndUrgency`.
  void BeginUrgency(const GroupId& group);
  void EndUrgency(const GroupId& group);

  /// Leadership as known here; term 0 when nothing is known.
  [[nodiscard]] const Leadership& LeadershipOf(const GroupId& group) const;

  /// Takes over newer leadership told by a peer or an answer. Returns whether
  /// it was newer.
  bool Learn(const GroupId& group, const Leadership& leadership);

  /// How many servers are known to hold `position` in its term and to know no
  /// later one, the primary included.
  [[nodiscard]] std::size_t Holders(const GroupId& group,
                                    Position position) const;

  /// How many servers are known to hold in the current term all that a read at
  /// `position` on `reader` returned. 0 when the term replaced some of it.
  [[nodiscard]] std::size_t ReadHolders(const GroupId& group, Position position,
                                        const ServerId& reader) const;

  /// Whether a majority answered in the current term lately, so that a write
  /// can gather evidence.
  [[nodiscard]] bool EvidencePossible(const GroupId& group) const;

  /// Latest time at which the group's primary is confirmed by a majority to
  /// have held no more than `read`: data at `read` is no older than that.
  [[nodiscard]] std::optional<TimePoint> KnownCurrentAt(const GroupId& group,
                                                        Position read) const;

  /// Whether `term` was confirmed by a majority, primary included, at a time
  /// not before `since`.
  [[nodiscard]] bool ConfirmedSince(const GroupId& group, Term term,
                                    TimePoint since) const;

  /// Last known log end of a server; empty when it has not answered lately.
  [[nodiscard]] std::optional<Position> LastOf(const ServerId& server) const;

  /// Adds leadership changes that still have to spread.
  void AddUpdates(Gossip& gossip);

  /// State of all watched groups, for the dump.
  template <typename Visitor>
  void ForEach(Visitor visit) const {
    for (const auto& [id, group] : groups_) {
      visit(id, group.leadership, group.watched, group.claim.has_value());
    }
  }

 private:
  struct ServerView {
    std::optional<ServerStatus> status;
    TimePoint status_sent;               ///< when the answered poll was sent
    std::optional<TimePoint> poll_sent;  ///< poll in flight
    std::uint64_t poll_call = 0;
    TimePoint next_poll;
    bool failed = false;  ///< last poll failed
  };

  /// Position of the primary known to be current at `sent`.
  struct Sample {
    TimePoint sent;
    Position position;
  };

  struct Claim {
    Term term = 0;
    std::map<ServerId, Position> grants;
    ServerId candidate;  ///< set once the promotion was sent
    TimePoint deadline;
  };

  struct Group {
    Leadership leadership;
    bool watched = false;
    std::map<ServerId, ServerView> servers;
    std::deque<Sample> unconfirmed;
    std::deque<Sample> confirmed;
    int urgent = 0;
    Term highest_term = 0;  ///< highest term any server reported
    TimePoint primary_ok;   ///< last answer as primary of the current term
    std::optional<TimePoint> claim_at;
    std::optional<Claim> claim;
    int transmissions_left = 0;
  };

  struct PendingCall {
    GroupId group;
    ServerId server;
    enum class Type { kStatus, kFence, kPromote, kFollow } type;
    Term term = 0;
    TimePoint sent;
  };

  /// Whether the server was last seen to hold `position` within its term.
  static bool Holds(const ServerView& view, Position position);
  void Poll(const GroupId& id, Group& group, const ServerId& server);
  void SchedulePoll(const GroupId& id, const ServerId& server, Duration delay);
  [[nodiscard]] Duration PollInterval(const GroupId& id) const;
  std::uint64_t Call(const GroupId& id, const ServerId& server,
                     GroupOperation operation, PendingCall::Type type,
                     Term term);
  void OnStatus(const GroupId& id, Group& group, const PendingCall& call,
                const std::optional<ServerStatus>& status);
  void OnGrant(const GroupId& id, Group& group, const PendingCall& call,
               const ServerStatus& status);
  void OnPromoted(const GroupId& id, Group& group, const PendingCall& call,
                  const ServerStatus& status);
  void AddSample(Group& group, const ServerStatus& status, TimePoint sent);
  void ConfirmSamples(Group& group);
  void Repair(const GroupId& id, Group& group, const ServerId& server,
              const ServerStatus& status);
  void ConsiderClaim(const GroupId& id, Group& group);
  [[nodiscard]] bool PrimaryLost(const GroupId& id, const Group& group) const;
  [[nodiscard]] bool PrimaryLeaving(const Group& group) const;
  void StartClaim(const GroupId& id, Group& group);
  void Spread(Group& group);
  [[nodiscard]] std::size_t Confirmations(const Group& group, Term term,
                                          TimePoint since) const;

  detail::Context& context_;
  const Directory& directory_;
  const Configuration& configuration_;
  std::map<GroupId, Group> groups_;
  std::map<std::uint64_t, PendingCall> calls_;
  std::set<GroupId> spreading_;
};

}  // namespace corianderdock
