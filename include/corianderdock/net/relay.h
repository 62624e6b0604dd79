/// \file
/// Relays connections of other instances to backend servers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "corianderdock/net/connection_budget.h"

namespace corianderdock::net {

/// Maximum length of the first line of a relayed connection.
inline constexpr std::size_t kMaxRelayLineBytes = 64;

/// First line of a connection to a relay; names the server's IP:PORT.
[[nodiscard]] std::string RelayLine(std::string_view address);

/// Accepts connections whose first line names a server and forwards all later
/// bytes in both directions. An instance that a network partition separates
/// from a server can thus reach it through an instance that is not affected.
/// Confined to its io_context's thread.
///
/// \code
/// Relay relay(io, ParseEndpoint("10.0.0.1:7440"), is_known_server);
/// \endcode
class Relay {
 public:
  /// Returns whether connections may be relayed to a server address.
  using IsAllowed = std::function<bool(std::string_view address)>;

  /// Binds `endpoint`; throws `boost::system::system_error` when it cannot be
  /// bound. With a budget, relayed connections count in it.
  Relay(boost::asio::io_context& io,
        const boost::asio::ip::tcp::endpoint& endpoint, IsAllowed is_allowed,
        std::shared_ptr<ConnectionBudget> budget = nullptr);

  /// The port to which the relay is bound.
  [[nodiscard]] unsigned short port() const {
    return acceptor_.local_endpoint().port();
  }

 private:
  void Accept();

  void RetryAccept();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  IsAllowed is_allowed_;
  std::shared_ptr<ConnectionBudget> budget_;
};

}  // namespace corianderdock::net
