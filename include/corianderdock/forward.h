/// \file
/// Forward declarations of the library's main types.
#pragma once

namespace corianderdock {

class ClientCalls;
class Configuration;
class Directory;
class GroupMonitor;
class Membership;
class Policy;
class Reducer;
class ServerPool;
class ServerQueue;
class SessionToken;
class TopologyLog;
class WorkScheduler;
struct AcceptedSheet;
struct Answer;
struct Gossip;
struct Identity;
struct Options;
struct Request;
struct RoutedAnswer;
struct RoutedRequest;
struct Server;
struct Service;
struct Sheet;
struct Topology;
struct TopologyChange;

}  // namespace corianderdock
