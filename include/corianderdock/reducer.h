/// \file
/// Deterministic state machine of an instance.
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

/// Processes all events of an instance and returns the effects to perform.
/// Performs no I/O, reads no clock and derives all random numbers from its
/// seed, so the same events produce the same effects.
///
/// Not thread-safe; owned by the control thread. Times must not decrease.
///
/// \code
/// Reducer reducer(identity, options, seed);
/// Effects effects = reducer.Start(now);
/// effects = reducer.Reduce(now, ClientRequest{1, request});
/// \endcode
class Reducer {
 public:
  /// A null `policy` selects the default one; otherwise it must outlive this
  /// object.
  Reducer(Identity identity, Options options, std::uint64_t seed,
          const Policy* policy = nullptr);
  ~Reducer();
  Reducer(const Reducer&) = delete;
  Reducer& operator=(const Reducer&) = delete;

  /// Starts health checks and polling. Must be called once, before any event.
  [[nodiscard]] Effects Start(TimePoint now);

  /// Fires the timers that are due at `now`, then handles `event`.
  [[nodiscard]] Effects Reduce(TimePoint now, const Event& event);

  /// Time at which `TimePassed` is due next; empty when no timer is pending.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /// Whether the instance is ready for new traffic: it is not draining, has a
  /// topology and a sheet, and either a peer has been heard from and the sheet
  /// is the newest that peers announced, or the start-up wait is over.
  [[nodiscard]] bool Ready() const;

  [[nodiscard]] bool Draining() const noexcept { return draining_; }
  [[nodiscard]] const Configuration& configuration() const {
    return configuration_;
  }
  [[nodiscard]] const Directory& directory() const { return directory_; }
  [[nodiscard]] const Membership& membership() const { return membership_; }
  [[nodiscard]] const GroupMonitor& groups() const { return monitor_; }
  [[nodiscard]] const WorkScheduler& scheduler() const { return scheduler_; }
  [[nodiscard]] const ClientCalls& calls() const { return calls_; }
  [[nodiscard]] const std::map<std::string, std::uint64_t, std::less<>>&
  counters() const {
    return context_.counters;
  }
  [[nodiscard]] const Identity& identity() const { return context_.self; }
  [[nodiscard]] std::size_t timers() const { return context_.timers.size(); }

 private:
  void On(const ClientRequest& event);
  void On(const ClientDisconnected& event);
  void On(const PeerRequest& event);
  void On(const ForwardResult& event);
  void On(const ConnectResult& event);
  void On(const ConnectionClosed& event);
  void On(const StatementDone& event);
  void On(const GroupOperationResult& event);
  void On(const GossipRequest& event);
  void On(const GossipResult& event);
  void On(const TopologyRead& event);
  void On(const TopologyChanged& event);
  void On(const SheetRead& event);
  void On(const PlatformPolled& event);
  void On(const TimePassed& event);
  void On(const DrainRequested& event);

  void InstallTopology(const Topology& topology);
  void FireTimers();
  void OnTimer(const detail::Timer& timer);
  void MergeGossip(const Gossip& gossip);
  void AddLocalState(Gossip& gossip);
  void PollPlatformIfSelected();
  void ApplyMembershipChanges();
  void CheckDrained();
  void UpdateReadiness();

  detail::Context context_;
  Membership membership_;
  Directory directory_;
  Configuration configuration_;
  GroupMonitor monitor_;
  WorkScheduler scheduler_;
  ClientCalls calls_;
  TimePoint started_;
  TimePoint drain_deadline_;
  TimePoint last_request_;
  TimePoint last_drain_check_;
  std::uint64_t membership_generation_ = 0;
  SheetVersion newest_announced_sheet_ = 0;
  bool draining_ = false;
  bool exit_requested_ = false;
  bool startup_wait_elapsed_ = false;
  bool platform_poll_in_flight_ = false;
};

/// State of the instance as JSON text, for diagnostics.
[[nodiscard]] std::string DumpState(const Reducer& reducer);

}  // namespace corianderdock
