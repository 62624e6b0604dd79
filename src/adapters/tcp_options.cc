#include "corianderdock/net/tcp_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace corianderdock::net {

namespace {

constexpr int kKeepAliveProbes = 2;

void SetOption(boost::asio::ip::tcp::socket& socket, int level, int name,
               int value) {
  (void)::setsockopt(socket.native_handle(), level, name, &value,
                     sizeof(value));
}

}  // namespace

void SetTcpOptions(boost::asio::ip::tcp::socket& socket,
                   Duration peer_timeout) {
  const auto peer_timeout_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(peer_timeout);
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(peer_timeout_ms.count()));
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

}  // namespace corianderdock::net
