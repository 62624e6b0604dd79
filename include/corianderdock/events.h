/// \file
/// Input events of the reducer.
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

/// A client's request arrived at this instance.
struct ClientRequest {
  CallId call = 0;
  Request request;
};

/// A client disconnected before its request was answered.
struct ClientDisconnected {
  CallId call = 0;
};

/// Another instance forwarded a request.
struct PeerRequest {
  CallId call = 0;
  RoutedRequest routed;
};

/// Answer to a forwarded request; empty when the peer failed to answer.
struct ForwardResult {
  CallId call = 0;
  std::uint64_t attempt = 0;
  bool sent = false;  ///< the request may have reached the peer
  std::optional<RoutedAnswer> answer;
};

/// A backend connection was opened, or could not be opened.
struct ConnectResult {
  ServerId server;
  ConnectionId connection = 0;
  bool opened = false;
};

/// A backend connection was closed while no statement was running on it.
struct ConnectionClosed {
  ServerId server;
  ConnectionId connection = 0;
};

/// A statement finished or failed.
struct StatementDone {
  WorkId work = 0;
  ConnectionId connection = 0;
  StatementResult result;
};

/// Answer to a group operation; empty when the server did not answer in time.
struct GroupOperationResult {
  ServerId server;
  std::uint64_t call = 0;
  std::optional<ServerStatus> status;
};

/// Gossip received from another instance; the answer refers to `call`.
struct GossipRequest {
  CallId call = 0;
  Gossip gossip;
};

/// Answer to a probe; empty when the peer failed to answer.
struct GossipResult {
  std::uint64_t probe = 0;
  std::optional<Gossip> gossip;
};

/// The topology was read from the platform or received from a peer.
struct TopologyRead {
  Topology topology;
};

/// A peer sent the changes of the topology since a known revision.
struct TopologyChanged {
  std::string address;  ///< of the peer
  TopologyChange change;
};

/// The accepted sheet was read from the platform or received from a peer.
struct SheetRead {
  AcceptedSheet sheet;
};

/// A poll of the platform finished. `answered` is false when it failed.
struct PlatformPolled {
  bool answered = false;
};

/// Causes the timers that are due to fire; carries no data.
struct TimePassed {};

/// The instance was asked to drain and exit.
struct DrainRequested {};

using Event =
    std::variant<ClientRequest, ClientDisconnected, PeerRequest, ForwardResult,
                 ConnectResult, ConnectionClosed, StatementDone,
                 GroupOperationResult, GossipRequest, GossipResult,
                 TopologyRead, TopologyChanged, SheetRead, PlatformPolled,
                 TimePassed, DrainRequested>;

}  // namespace corianderdock
