/// \file
/// TCP links that carry messages between instances.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "corianderdock/net/line_socket.h"
#include "corianderdock/types.h"

namespace corianderdock::net {

/// Limits of all links of an instance.
struct InstanceLinkLimits {
  /// A message may hold a configuration document.
  std::size_t max_line_bytes = 4 << 20;
  /// Bytes that wait to be sent on one link, and on all. Messages beyond are
  /// dropped.
  std::size_t max_link_unsent_bytes = 5 << 20;
  std::size_t max_unsent_bytes = 12 << 20;
  Duration connect_timeout = std::chrono::milliseconds(1000);
  /// Pause after a link failed; messages are dropped meanwhile.
  Duration retry_pause = std::chrono::milliseconds(500);
  /// Time without a message after which an instance closes a link that it
  /// opened.
  Duration idle_timeout = std::chrono::seconds(30);
};

/// Sends messages to other instances and receives theirs. A message is a topic
/// and a body, which is JSON text of one line, and arrives at most once. There
/// is at most one link for an instance and direction. A message goes over the
/// link that the other instance opened, if there is one, else over one that
/// this instance opens. Confined to its io_context's thread.
class InstanceLinks {
 public:
  using OnMessage = std::function<void(
      const InstanceId& from, std::string_view topic, std::string_view body)>;

  /// \pre `io` outlives this object.
  InstanceLinks(boost::asio::io_context& io, InstanceId self,
                InstanceLinkLimits limits, OnMessage on_message);

  /// Replaces the addresses (IP:PORT) at which instances accept links.
  void SetAddresses(std::map<InstanceId, std::string> addresses);

  /// Sends a message, or drops it: if the instance has no address, its link has
  /// failed, or too many bytes wait. Returns whether it was not dropped at
  /// once.
  /// \pre `topic` needs no escapes in JSON, and `body` holds no CR or LF.
  bool Send(const InstanceId& to, std::string_view topic,
            std::string_view body);

  /// Returns the instance that opens a link with this first line; null if the
  /// line doesn't open one.
  [[nodiscard]] static std::optional<InstanceId> ParseFirstLine(
      std::string_view line);

  /// Takes over a link that another instance opened, after its first line. It
  /// replaces the one that the instance opened before.
  void Accept(const InstanceId& from,
              const std::shared_ptr<LineSocket>& socket);

  /// Handles a line of a link that was accepted. Returns false if it is no
  /// message; the link is then to be closed.
  [[nodiscard]] bool Receive(const InstanceId& from, std::string_view line);

  /// Notes that a link that was accepted ended.
  void Remove(const InstanceId& from,
              const std::shared_ptr<LineSocket>& socket);

  /// Number of messages that were dropped before they were sent.
  [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

 private:
  /// A link that this instance opens.
  struct Link {
    std::shared_ptr<LineSocket> socket;
    std::shared_ptr<boost::asio::ip::tcp::socket> connecting;
    std::string queued;  ///< messages that wait for the link to open
    TimePoint used_at;
    TimePoint retry_at;  ///< earliest next attempt
  };

  [[nodiscard]] bool Connect(const InstanceId& to, Link& link);
  void OnConnected(const InstanceId& to,
                   const std::shared_ptr<boost::asio::ip::tcp::socket>& socket,
                   bool failed);
  void OnFailed(const InstanceId& to,
                const std::shared_ptr<LineSocket>& socket);
  [[nodiscard]] bool Write(LineSocket& socket, std::string_view line);
  [[nodiscard]] std::size_t UnsentBytes() const;
  void ScheduleSweep();
  void Sweep();

  boost::asio::io_context& io_;
  InstanceId self_;
  InstanceLinkLimits limits_;
  OnMessage on_message_;
  std::map<InstanceId, std::string> addresses_;
  std::map<InstanceId, Link> opened_;
  std::map<InstanceId, std::shared_ptr<LineSocket>> accepted_;
  boost::asio::steady_timer sweep_timer_;
  bool sweep_scheduled_ = false;
  std::uint64_t dropped_ = 0;
};

}  // namespace corianderdock::net
