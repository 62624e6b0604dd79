/// Which response of a reused HTTP connection belongs to a request.
#include "corianderdock/net/http_client.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace corianderdock::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A server on loopback that answers what it reads, and may do so twice.
class Server {
 public:
  explicit Server(asio::io_context& io)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  /// Sends a response with `body` to the newest connection.
  void Respond(const std::string& body) {
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    asio::write(sockets_.back(), asio::buffer(response));
  }

  [[nodiscard]] std::size_t connections() const { return sockets_.size(); }

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code ec, tcp::socket it) {
          if (ec) return;
          sockets_.push_back(std::move(it));
          Accept();
        });
  }

  tcp::acceptor acceptor_;
  std::vector<tcp::socket> sockets_;
};

}  // namespace

// Guards against a claim or a token that is taken from the response to an
// earlier call.
TEST_CASE("a second response isn't taken for that to the next request") {
  asio::io_context io;
  Server server(io);
  net::HttpClient client(io);
  const auto run = [&] {
    io.restart();
    io.run_for(Milliseconds(50));
  };
  std::vector<std::string> bodies;
  const auto get = [&](const std::string& target) {
    client.Get(server.address(), target, Milliseconds(500),
               [&](const net::HttpResult& it) { bodies.push_back(it.body); });
    run();
  };
  get("/first");
  REQUIRE(server.connections() == 1);
  server.Respond("first");
  run();
  REQUIRE(bodies == std::vector<std::string>{"first"});
  server.Respond("first");
  run();
  get("/second");
  CHECK(std::count(bodies.begin(), bodies.end(), "first") == 1);
}

}  // namespace corianderdock::test
