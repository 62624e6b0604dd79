/// \file
/// Asynchronous log shipping between stand-in servers: newline-delimited JSON
/// on the server's own port, opened by a special startup code.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "backend_store.h"

namespace standin {

/// Startup request code that opens a replication stream.
inline constexpr std::uint32_t kReplicationRequestCode = 80877199;

/// Streams the log to a replica until the stream or the term ends.
boost::asio::awaitable<void> ServeReplica(boost::asio::ip::tcp::socket socket,
                                          BackendStore& store);

/// Applies received entries once their lag has passed; never returns.
boost::asio::awaitable<void> ApplyDelayedMessages(BackendStore& store);

/// Follows the current primary for ever; reconnects after each failure.
boost::asio::awaitable<void> FollowPrimary(BackendStore& store);

}  // namespace standin
