/// \file
/// Live, leaving and failed instances, learned by probing and gossip.
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
  TimePoint changed;           ///< when its state last changed here
  int transmissions_left = 0;  ///< how often its update still spreads
};

/// Failure detection and dissemination among instances.
///
/// Each instance probes one other per interval, asks two more for an indirect
/// probe when that fails, and spreads what it learned with its probes, so that
/// the cost per instance does not depend on their number. The scheme is SWIM
/// (Das, Gupta, Motivala, DSN 2002) with a suspicion period and refutation by
/// incarnation numbers. Not thread-safe; confined to the control thread.
class Membership {
 public:
  /// Adds versions and leadership changes to an outgoing message.
  using Decorate = std::function<void(Gossip&)>;

  /// \pre `context` outlives this object.
  explicit Membership(detail::Context& context);

  /// Starts probing. Call once, with the clock set.
  void Start(Decorate decorate);

  /// Adds instances of the platform's list and applies its leaving marks.
  void OnTopology(const Topology& topology);

  /// Merges received gossip and returns the answer to it.
  [[nodiscard]] Gossip OnGossip(const Gossip& gossip);

  /// Ends a probe. Returns the gossip's sender address when it was answered.
  void OnProbeResult(std::uint64_t probe, const Gossip* gossip);

  void OnTimer(const detail::Timer& timer);

  /// Announces that this instance is leaving.
  void Leave();

  /// Members that may schedule work: neither suspect, leaving nor dead.
  [[nodiscard]] std::vector<const MemberUpdate*> Eligible() const;

  /// Whether `id` is among the first `count` eligible members of its zone.
  [[nodiscard]] bool IsAmongFirst(const ZoneId& zone, const InstanceId& id,
                                  std::size_t count) const;

  [[nodiscard]] const std::map<InstanceId, Member>& members() const noexcept {
    return members_;
  }
  /// Changes whenever the eligible members change.
  [[nodiscard]] std::uint64_t generation() const noexcept {
    return generation_;
  }
  /// Whether any other instance has answered since the start.
  [[nodiscard]] bool heard_from_peer() const noexcept { return heard_; }

 private:
  struct Probe {
    InstanceId target;     ///< empty for a seed address
    std::string relay_to;  ///< address to tell the result, for an indirect one
    bool indirect_request = false;
  };

  void ProbeNext();
  void SendProbe(const std::string& address, Probe probe, bool full);
  void OnProbeFailed(const Probe& probe);
  void Suspect(const InstanceId& id);
  void Merge(const MemberUpdate& update);
  void Apply(Member& member, const MemberUpdate& update);
  void RefuteIfNeeded(const MemberUpdate& update);
  [[nodiscard]] Gossip Compose(const InstanceId& receiver, bool full);
  [[nodiscard]] MemberUpdate SelfUpdate() const;
  [[nodiscard]] InstanceId NextTarget();
  [[nodiscard]] std::vector<InstanceId> PickHelpers(const InstanceId& target);
  [[nodiscard]] int TransmissionLimit() const;

  detail::Context& context_;
  Decorate decorate_;
  std::map<InstanceId, Member> members_;  ///< includes this instance
  std::map<std::uint64_t, Probe> probes_;
  std::vector<InstanceId> probe_order_;
  std::uint64_t generation_ = 1;
  std::uint64_t rounds_ = 0;
  TimePoint next_full_;
  bool heard_ = false;
};

}  // namespace corianderdock
