/// Forwarding of connections to servers, over loopback.
#include "corianderdock/net/relay.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "corianderdock/types.h"

namespace corianderdock::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

const tcp::endpoint kAnyPort(asio::ip::address_v4::loopback(), 0);
/// Longer than the relay's time limit for the line that names the server.
constexpr auto kReplyTimeout = std::chrono::milliseconds(1500);

std::string FormatEndpoint(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// A server that echoes each line, and a relay to it.
struct Fixture {
  Fixture() {
    server.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      peer = std::make_unique<tcp::socket>(std::move(socket));
      Echo();
    });
  }

  void Echo() {
    asio::async_read_until(*peer, asio::dynamic_buffer(line), '\n',
                           [this](error_code ec, std::size_t n) {
                             if (ec) return peer->close();
                             asio::write(*peer, asio::buffer(line, n));
                             line.erase(0, n);
                             Echo();
                           });
  }

  /// Returns the reply to `sent`; empty if the connection was closed.
  std::string Exchange(const std::string& sent) {
    tcp::socket client(io);
    client.connect({asio::ip::address_v4::loopback(), relay.port()});
    asio::write(client, asio::buffer(sent));
    std::string answer;
    bool done = false;
    asio::async_read_until(client, asio::dynamic_buffer(answer), '\n',
                           [&](error_code, std::size_t) { done = true; });
    const auto until = std::chrono::steady_clock::now() + kReplyTimeout;
    while (!done && std::chrono::steady_clock::now() < until) {
      io.run_one_for(std::chrono::milliseconds(20));
    }
    CHECK(done);
    client.close();
    io.poll();
    return answer;
  }

  asio::io_context io;
  tcp::acceptor server{io, kAnyPort};
  std::string address = FormatEndpoint(server.local_endpoint());
  net::Relay relay{io, kAnyPort,
                   [this](std::string_view it) { return it == address; }};
  std::unique_ptr<tcp::socket> peer;
  std::string line;
};

}  // namespace

TEST_CASE("bytes after the first line are relayed in both directions") {
  Fixture it;
  CHECK(it.Exchange(net::RelayLine(it.address) + "START books\r\n") ==
        "START books\r\n");
}

TEST_CASE("no connection is made to an unknown server") {
  Fixture it;
  CHECK(it.Exchange("RELAY 127.0.0.1:1\nSTART books\r\n").empty());
}

TEST_CASE("a connection that does not name a server is closed") {
  Fixture it;
  CHECK(it.Exchange("START books\r\n").empty());
  CHECK(it.Exchange(std::string(200, 'x') + "\n").empty());
  CHECK(it.Exchange("half a line").empty());
}

}  // namespace corianderdock::test
