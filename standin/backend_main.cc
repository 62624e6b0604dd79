/// \file
/// standin_backend: one server of a database group, for tests and the demo.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

#include "backend_session.h"
#include "corianderdock/net/http_server.h"
#include "replication.h"

namespace {

namespace asio = boost::asio;
namespace po = boost::program_options;
using asio::ip::tcp;

asio::awaitable<void> Serve(tcp::socket socket, standin::BackendStore& store) {
  try {
    standin::BackendSession session(std::move(socket), store);
    co_await session.Run();
  } catch (const std::exception&) {  // NOLINT(bugprone-empty-catch)
  }
}

asio::awaitable<void> Accept(tcp::acceptor& acceptor,
                             standin::BackendStore& store) {
  for (;;) {
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    socket.set_option(tcp::no_delay(true));
    asio::co_spawn(store.io, Serve(std::move(socket), store), asio::detached);
  }
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

void Bootstrap(standin::BackendStore& store, const std::string& follow,
               const std::string& init_sql) {
  constexpr std::uint64_t kFirstTerm = 1;
  if (!follow.empty()) {
    store.log.Follow(kFirstTerm, follow);
    return;
  }
  store.log.Fence(kFirstTerm, "bootstrap");
  store.log.Promote(kFirstTerm, "bootstrap");
  if (!init_sql.empty()) store.log.Append({init_sql});
  while (store.applied_index < store.log.Last().index) store.ApplyNext();
}

}  // namespace

int main(int argc, char** argv) {
  standin::StoreOptions options;
  std::string follow;
  std::string init;
  int connect_ms = 0;
  int statement_us = 0;
  int lag_ms = 0;
  int zone_delay_us = 0;
  po::options_description flags("standin_backend");
  flags.add_options()("help", "show this text")(
      "server", po::value(&options.server)->required(), "server name")(
      "zone", po::value(&options.zone)->required(), "availability zone")(
      "address", po::value(&options.address)->required(),
      "IP:PORT to listen on")("follow", po::value(&follow),
                              "IP:PORT of the primary to replicate from")(
      "init", po::value(&init),
      "SQL file that the first primary runs at start")(
      "slots", po::value(&options.slots)->default_value(2),
      "concurrent statements")(
      "limit", po::value(&options.connection_limit)->default_value(16),
      "connection limit")("connect-ms",
                          po::value(&connect_ms)->default_value(12),
                          "time to open a connection, ms")(
      "statement-us", po::value(&statement_us)->default_value(1000),
      "service time of a statement, us")(
      "zone-delay-us", po::value(&zone_delay_us)->default_value(0),
      "one-way delay between zones, us")(
      "lag-ms", po::value(&lag_ms)->default_value(3), "replication lag, ms");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, flags), values);
    if (values.count("help") != 0) {
      std::cout << flags;
      return 0;
    }
    po::notify(values);
    options.connect_delay = standin::Milliseconds(connect_ms);
    options.statement_time = std::chrono::microseconds(statement_us);
    options.zone_delay = std::chrono::microseconds(zone_delay_us);
    options.lag = standin::Milliseconds(lag_ms);
    asio::io_context io(1);
    standin::BackendStore store(io, options);
    Bootstrap(store, follow, init.empty() ? "" : ReadFile(init));
    tcp::acceptor acceptor(io,
                           corianderdock::net::ParseEndpoint(options.address));
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](auto, int) { io.stop(); });
    asio::co_spawn(io, Accept(acceptor, store), asio::detached);
    asio::co_spawn(io, standin::FollowPrimary(store), asio::detached);
    asio::co_spawn(io, standin::ApplyDelayedMessages(store), asio::detached);
    io.run();
    std::_Exit(0);
  } catch (const std::exception& error) {
    std::cerr << "standin_backend: " << error.what() << "\n";
    return 2;
  }
}
