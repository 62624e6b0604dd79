/// \file
/// Live, leaving and failed instances, detected by probes and gossip.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "corianderdock/detail/context.h"
#include "corianderdock/gossip.h"
#include "corianderdock/topology.h"

namespace corianderdock {

/// One known instance.
struct Member {
  MemberUpdate update;
  TimePoint changed;           ///< when the entry was last updated here
  int transmissions_left = 0;  ///< messages that will still carry this update
};

/// Failure detection and dissemination among instances.
///
/// Each instance probes one other instance per interval and asks two more for
/// an indirect probe when that fails. Updates are piggybacked on the probes, so
/// the load on an instance does not grow with their number. The protocol is
/// SWIM (Das, Gupta, Motivala, DSN 2002) with a suspicion period and refutation
/// by incarnation numbers. Not thread-safe; confined to the control thread.
class Membership {
 public:
  /// Adds versions and leadership changes to an outgoing message.
  using Piggyback = std::function<void(Gossip&)>;

  /// \pre `context` outlives this object.
  explicit Membership(detail::Context& context);

  /// Adds this instance and starts probing.
  /// \pre Called once, after the context's clock was set.
  void Start(Piggyback piggyback);

  /// Adds the instances listed by the platform and applies their leaving
  /// flags. Without gossip membership, instances that are not listed are dead.
  void OnTopology(const Topology& topology);

  /// Merges received gossip and returns the reply.
  [[nodiscard]] Gossip OnGossip(const Gossip& gossip);

  /// Handles the end of a probe; `gossip` is the reply, or null if the probe
  /// failed.
  void OnProbeResult(std::uint64_t probe, const Gossip* gossip);

  void OnTimer(const detail::Timer& timer);

  /// Announces that this instance is leaving.
  void Leave();

  /// Members that may schedule work: neither suspect, leaving nor dead.
  [[nodiscard]] std::vector<const MemberUpdate*> Eligible() const;

  /// Whether `id` is among the first `count` eligible members of `zone` in
  /// rendezvous hash order.
  [[nodiscard]] bool RanksWithin(const ZoneId& zone, const InstanceId& id,
                                 std::size_t count) const;

  [[nodiscard]] const std::map<InstanceId, Member>& members() const noexcept {
    return members_;
  }
  /// Incremented whenever the eligible members may have changed.
  [[nodiscard]] std::uint64_t generation() const noexcept {
    return generation_;
  }
  /// Whether a message from any other instance arrived since the start.
  [[nodiscard]] bool heard_from_peer() const noexcept {
    return heard_from_peer_;
  }

 private:
  struct Probe {
    InstanceId target;      ///< empty for a seed address
    std::string report_to;  ///< where to report the reply to an indirect probe
    /// Requests an indirect probe or reports its reply. When such a message
    /// fails, nobody is suspected.
    bool part_of_indirect_probe = false;
  };

  void ProbeNext();
  void SendProbe(const std::string& address, Probe probe, bool full);
  void OnProbeFailed(const Probe& probe);
  void MarkSuspect(const InstanceId& id);
  void Merge(const MemberUpdate& update);
  void Apply(Member& member, const MemberUpdate& update);
  void RefuteIfNeeded(const MemberUpdate& update);
  [[nodiscard]] Gossip Compose(const InstanceId& receiver, bool full);
  [[nodiscard]] MemberUpdate SelfUpdate() const;
  [[nodiscard]] InstanceId NextTarget();
  /// Random alive members other than this instance and `excluded`.
  [[nodiscard]] std::vector<InstanceId> PickPeers(const InstanceId& excluded);
  /// How many messages carry one update; grows with the log of the members.
  [[nodiscard]] int TransmissionLimit() const;

  detail::Context& context_;
  Piggyback piggyback_;
  std::map<InstanceId, Member> members_;  ///< includes this instance
  std::map<std::uint64_t, Probe> probes_;
  std::vector<InstanceId> probe_order_;
  std::uint64_t generation_ = 1;
  std::uint64_t probe_rounds_ = 0;
  TimePoint next_full_exchange_;
  bool heard_from_peer_ = false;
};

}  // namespace corianderdock
