/// \file
/// Socket options of TCP connections that carry statements.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "corianderdock/types.h"

namespace corianderdock::net {

/// Disables Nagle's algorithm and ends connections whose peer has not responded
/// for `peer_timeout`. Options that cannot be set are ignored: the connection
/// works without them, but a lost peer is detected later.
void SetTcpOptions(boost::asio::ip::tcp::socket& socket, Duration peer_timeout);

}  // namespace corianderdock::net
