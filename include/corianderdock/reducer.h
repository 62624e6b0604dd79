/// \file
/// The one entry point for everything that happens to an instance.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "corianderdock/client_calls.h"
#include "corianderdock/configuration.h"
#include "corianderdock/detail/context.h"
#include "corianderdock/directory.h"
#include "corianderdock/effects.h"
#include "corianderdock/events.h"
#include "corianderdock/group_monitor.h"
#include "corianderdock/membership.h"
#include "corianderdock/work.h"

namespace corianderdock {

/// Decides what an instance does. Performs no I/O, reads no clock and draws
/// all randomness from its seed, so the same events give the same effects.
///
/// Not thread-safe; owned by the control thread. Times must not decrease.
///
/// \code
/// Reducer reducer(identity, options, seed);
/// Effects effects = reducer.Start(now);
/// effects = reducer.Reduce(now, CallerRequest{1, request});
/// \endcode
class Reducer {
 public:
  Reducer(Identity identity, Options options, std::uint64_t seed,
          const Policy* policy = nullptr);
  ~Reducer();
  Reducer(const Reducer&) = delete;
  Reducer& operator=(const Reducer&) = delete;

  /// Begins probing and polling. Call once before any event.
  [[nodiscard]] Effects Start(TimePoint now);

  /// Handles one event and all timers due at `now`.
  [[nodiscard]] Effects Reduce(TimePoint now, const Event& event);

  /// When `TimePassed` is due next.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /// Whether requests are accepted: a sheet is in force, peers were asked for
  /// a newer one, and the instance is not leaving.
  [[nodiscard]] bool Ready() const;

  [[nodiscard]] bool Draining() const noexcept { return draining_; }
  [[nodiscard]] const Configuration& configuration() const {
    return configuration_;
  }
  [[nodiscard]] const Directory& directory() const { return directory_; }
  [[nodiscard]] const Membership& membership() const { return membership_; }
  [[nodiscard]] const GroupMonitor& groups() const { return monitor_; }
  [[nodiscard]] const Work& work() const { return work_; }
  [[nodiscard]] const ClientCalls& calls() const { return calls_; }
  [[nodiscard]] const std::map<std::string, std::uint64_t, std::less<>>&
  counters() const {
    return context_.counters;
  }
  [[nodiscard]] const Identity& identity() const { return context_.self; }
  [[nodiscard]] std::size_t timers() const { return context_.timers.size(); }

 private:
  void On(const CallerRequest& event);
  void On(const CallerGone& event);
  void On(const PeerRequest& event);
  void On(const ForwardResult& event);
  void On(const ConnectResult& event);
  void On(const ConnectionClosed& event);
  void On(const StatementDone& event);
  void On(const GroupResult& event);
  void On(const GossipRequest& event);
  void On(const GossipResult& event);
  void On(const TopologyRead& event);
  void On(const TopologyChanged& event);
  void On(const SheetRead& event);
  void On(const PlatformPolled& event);
  void On(const TimePassed& event);
  void On(const DrainRequested& event);

  void InstallLists(const Topology& lists);
  void FireTimers();
  void OnTimer(const detail::Timer& timer);
  void MergeGossip(const Gossip& gossip);
  void DecorateGossip(Gossip& gossip);
  void PollPlatformIfChosen();
  void OnMembersMayHaveChanged();
  void CheckDrained();
  void UpdateReadiness();

  detail::Context context_;
  Membership membership_;
  Directory directory_;
  Configuration configuration_;
  GroupMonitor monitor_;
  Work work_;
  ClientCalls calls_;
  TimePoint started_;
  TimePoint drain_deadline_;
  TimePoint last_request_;
  TimePoint last_drain_check_;
  std::uint64_t generation_ = 0;
  SheetVersion highest_heard_ = 0;
  bool draining_ = false;
  bool exited_ = false;
  bool startup_wait_over_ = false;
  bool polling_ = false;
};

/// Whole state as JSON text.
[[nodiscard]] std::string DumpState(const Reducer& reducer);

}  // namespace corianderdock
