/// \file
/// Relay of lines between the proxies and one server, which disturbs replies.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "soak/cluster.h"

namespace soak {

/// Returns up to `limit` fields of a line. The last one holds the rest.
[[nodiscard]] std::vector<std::string> SplitFields(const std::string& line,
                                                   std::size_t limit);

/// Which replies are sent a second time.
enum class Repeated { kClients, kOwn, kErrors, kAll };

/// How a relay disturbs replies. Shares are from 0 to 1.
struct Disturbance {
  Repeated repeated = Repeated::kAll;
  double repeats = 0;  ///< share of these replies
  Ms min_delay{0};     ///< of a repeat
  Ms max_delay{50};
  double refusals = 0;  ///< clients' statements answered with BUSY, not run
  double cuts = 0;      ///< replies within which the connection is closed
  double losses = 0;    ///< replies after which the connection sends nothing
};

/// A command that a server received.
struct Command {
  std::string server;
  std::uint64_t connection = 0;  ///< unique among all servers
  std::string id;                ///< empty for START, `-` for a proxy's own
  std::string text;
  bool refused = false;  ///< by the relay, so that the server doesn't get it
};

/// What a server answered.
struct ServerReply {
  std::vector<std::string> rows;
  std::string receipt;
  std::string error;  ///< code; empty on success
  std::string state;
};

/// Called on the thread of the relays, before the lines are passed on.
struct RelayObserver {
  std::function<void(const Command&)> on_command;
  std::function<void(const Command&, const ServerReply&)> on_reply;
  std::function<void(std::uint64_t connection)> on_close;
};

/// Passes lines unchanged. Everything runs on the thread of `io`, which must
/// not run the relay's coroutines after the relay's end.
class Repeater {
 public:
  /// Listens on a free port. `observer` has to outlive the relay.
  Repeater(asio::io_context& io, std::string server, int server_port,
           const Random& random, const RelayObserver& observer);

  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] const std::string& server() const { return server_; }
  /// Replies sent a second time.
  [[nodiscard]] std::size_t repeats() const { return repeats_; }
  void Disturb(const Disturbance& disturbance) { disturbance_ = disturbance; }

 private:
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;

  Task Accept();
  Task PassCommands(LinkPtr link);
  Task PassReplies(LinkPtr link);
  Task SendAgain(LinkPtr link, std::string lines, Ms delay);
  Task Write(LinkPtr link);
  void Send(const LinkPtr& link, const std::string& lines);
  void SendRefusals(const LinkPtr& link);
  /// Handles all lines of one reply.
  void OnReply(const LinkPtr& link, const std::string& lines,
               const ServerReply& reply);
  void Close(Link& link);
  [[nodiscard]] bool Refuses(const Link& link, const Command& command);
  [[nodiscard]] bool Repeats(const Command& command, const ServerReply& reply);

  asio::io_context& io_;
  std::string server_;
  int server_port_;
  int port_;
  Random random_;
  const RelayObserver& observer_;
  lab::tcp::acceptor acceptor_;
  Disturbance disturbance_;
  std::size_t repeats_ = 0;
};

}  // namespace soak
