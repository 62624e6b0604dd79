/// \file
/// Forwards connections of other instances to backend servers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace corianderdock::net {

/// Longest first line of a relayed connection, in bytes.
inline constexpr std::size_t kLongestRelayLine = 64;

/// First line that asks a relay for a server at IP:PORT.
[[nodiscard]] std::string RelayLine(std::string_view address);

/// Accepts connections whose first line names a server and forwards all further
/// bytes both ways, so that an instance that a partition separates from a
/// server reaches it through one that is not. Confined to its io_context's
/// thread.
///
/// \code
/// Relay relay(io, ParseEndpoint("10.0.0.1:7440"), is_known_server);
/// \endcode
class Relay {
 public:
  /// Tells whether a server's address may be asked for.
  using Allowed = std::function<bool(std::string_view address)>;

  /// Binds `endpoint`; throws `boost::system::system_error` if it can't.
  Relay(boost::asio::io_context& io,
        const boost::asio::ip::tcp::endpoint& endpoint, Allowed allowed);

  /// The port that it is bound to.
  [[nodiscard]] unsigned short port() const {
    return acceptor_.local_endpoint().port();
  }

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  Allowed allowed_;
};

}  // namespace corianderdock::net
