/// \file
/// Options of the TCP connections that carry statements.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "corianderdock/types.h"

namespace corianderdock::net {

/// Sends small messages at once and ends a connection whose peer is silent for
/// `silence`. A socket without an option works on, only slower to notice.
void SetTcpOptions(boost::asio::ip::tcp::socket& socket, Duration silence);

}  // namespace corianderdock::net
