/// \file
/// Everything that can happen to an instance, as data for the reducer.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "corianderdock/forwarding.h"
#include "corianderdock/gossip.h"
#include "corianderdock/leadership.h"
#include "corianderdock/request.h"
#include "corianderdock/sheet.h"
#include "corianderdock/statement.h"
#include "corianderdock/topology.h"
#include "corianderdock/topology_change.h"

namespace corianderdock {

/// A caller's request arrived at this instance.
struct CallerRequest {
  CallId call = 0;
  Request request;
};

/// The caller went away before its answer.
struct CallerGone {
  CallId call = 0;
};

/// Another instance passed on a request.
struct PeerRequest {
  CallId call = 0;
  RoutedRequest routed;
};

/// Answer to a forwarded request; empty when the peer failed.
struct ForwardResult {
  CallId call = 0;
  std::uint64_t attempt = 0;
  bool sent = false;  ///< the request may have reached the peer
  std::optional<RoutedAnswer> answer;
};

/// A backend connection opened, or could not be opened.
struct ConnectResult {
  ServerId server;
  ConnectionId connection = 0;
  bool opened = false;
};

/// A backend connection ended outside any statement.
struct ConnectionClosed {
  ServerId server;
  ConnectionId connection = 0;
};

/// A statement ended.
struct StatementDone {
  WorkId work = 0;
  ConnectionId connection = 0;
  StatementResult result;
};

/// Answer to a group operation; empty when the server did not answer in time.
struct GroupResult {
  ServerId server;
  std::uint64_t call = 0;
  std::optional<ServerStatus> status;
};

/// Gossip sent by another instance; to be answered under `call`.
struct GossipRequest {
  CallId call = 0;
  Gossip gossip;
};

/// Answer to a probe; empty when the peer failed.
struct GossipResult {
  std::uint64_t probe = 0;
  std::optional<Gossip> gossip;
};

/// The platform's lists were read, or received from a peer.
struct TopologyRead {
  Topology topology;
};

/// A peer sent what changed in the lists.
struct TopologyChanged {
  std::string address;  ///< of the peer
  TopologyChange change;
};

/// The accepted sheet was read, or received from a peer.
struct SheetRead {
  AcceptedSheet sheet;
};

/// A poll of the platform ended. `answered` is false during an outage.
struct PlatformPolled {
  bool answered = false;
};

/// Time passed; carries no data. Fires whatever timers are due.
struct TimePassed {};

/// The instance was told to leave.
struct DrainRequested {};

using Event =
    std::variant<CallerRequest, CallerGone, PeerRequest, ForwardResult,
                 ConnectResult, ConnectionClosed, StatementDone, GroupResult,
                 GossipRequest, GossipResult, TopologyRead, TopologyChanged,
                 SheetRead, PlatformPolled, TimePassed, DrainRequested>;

}  // namespace corianderdock
