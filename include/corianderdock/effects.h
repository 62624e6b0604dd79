/// \file
/// Side effects that the reducer requests from the runtime.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "corianderdock/events.h"

namespace corianderdock {

/// Answer a client's request.
struct ReplyToClient {
  CallId call = 0;
  Answer answer;
};

/// Answer another instance's request.
struct ReplyToPeer {
  CallId call = 0;
  RoutedAnswer answer;
};

/// Forward a request to another instance; results in `ForwardResult`.
struct ForwardRequest {
  CallId call = 0;
  std::uint64_t attempt = 0;
  std::string address;
  RoutedRequest routed;
  Duration timeout{0};
};

/// Open a backend connection; results in `ConnectResult`.
struct OpenConnection {
  ServerId server;
  std::string address;
  ConnectionId connection = 0;
};

/// Close a backend connection; no further event refers to it.
struct CloseConnection {
  ConnectionId connection = 0;
};

/// Run a statement; results in `StatementDone`.
struct RunStatement {
  WorkId work = 0;
  ConnectionId connection = 0;
  Statement statement;
};

/// Run a group operation on the server's control connection; results in
/// `GroupOperationResult`.
struct RunGroupOperation {
  ServerId server;
  std::string address;
  std::uint64_t call = 0;
  GroupOperation operation;
  Duration timeout{0};
};

/// Send gossip; results in `GossipResult`.
struct SendGossip {
  std::uint64_t probe = 0;
  std::string address;
  Gossip gossip;
  Duration timeout{0};
};

/// Answer received gossip.
struct ReplyGossip {
  CallId call = 0;
  Gossip gossip;
};

/// Fetch the newer sheet or topology that a peer announced; may result in
/// `SheetRead`, `TopologyRead` and `TopologyChanged`.
struct FetchFromPeer {
  std::string address;
  bool sheet = false;
  bool topology = false;
  std::uint64_t known_topology = 0;  ///< 0 requests the whole topology
};

/// Poll the platform; results in `PlatformPolled`, after any `SheetRead` and
/// `TopologyRead`.
struct PollPlatform {
  SheetVersion known_sheet = 0;
  std::uint64_t known_topology = 0;
};

/// Write a log line.
struct LogLine {
  std::string text;
};

/// Draining has finished or reached its time limit; the process exits.
struct Exit {};

using Effect =
    std::variant<ReplyToClient, ReplyToPeer, ForwardRequest, OpenConnection,
                 CloseConnection, RunStatement, RunGroupOperation, SendGossip,
                 ReplyGossip, FetchFromPeer, PollPlatform, LogLine, Exit>;

using Effects = std::vector<Effect>;

}  // namespace corianderdock
