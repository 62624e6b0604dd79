/// \file
/// Asynchronous log replication between stand-in servers: newline-delimited
/// JSON on the server's own port, selected by a special startup request code.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "backend_store.h"

namespace standin {

/// Startup request code of a replication stream.
inline constexpr std::uint32_t kReplicationRequestCode = 80877199;

/// Streams the log to a replica until the connection fails or this server is no
/// longer the primary of the replica's term.
boost::asio::awaitable<void> ServeReplica(boost::asio::ip::tcp::socket socket,
                                          BackendStore& store);

/// Applies received entries when their replication lag has passed; never
/// returns.
boost::asio::awaitable<void> ApplyDelayedMessages(BackendStore& store);

/// Replicates from the current primary and reconnects after each failure; never
/// returns.
boost::asio::awaitable<void> FollowPrimary(BackendStore& store);

}  // namespace standin
