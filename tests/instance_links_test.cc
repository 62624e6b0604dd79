/// Messages between instances: bounded, and lost rather than late or twice.
#include "corianderdock/net/instance_links.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace corianderdock::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// An instance with links, and the port that accepts those of others.
class Instance {
 public:
  Instance(asio::io_context& io, const InstanceId& id)
      : links(io, id, {.retry_pause = Milliseconds(20)},
              [this](const InstanceId& from, std::string_view topic,
                     std::string_view body) {
                received.push_back(from + " " + std::string(topic) + " " +
                                   std::string(body));
                if (answer) links.Send(from, "freshness", R"({"answer":1})");
              }),
        acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  net::InstanceLinks links;
  std::vector<std::string> received;
  std::vector<std::shared_ptr<net::LineSocket>> accepted;
  bool answer = false;

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code ec, tcp::socket socket) {
          if (ec) return;
          auto line = net::LineSocket::Make(std::move(socket), {});
          accepted.push_back(line);
          line->Start(
              [this, line, from = InstanceId()](std::string_view it) mutable {
                if (!from.empty()) {
                  REQUIRE(links.Receive(from, it));
                  return;
                }
                from = *net::InstanceLinks::ParseFirstLine(it);
                links.Accept(from, line);
              },
              [](const std::string&) {});
          Accept();
        });
  }

  tcp::acceptor acceptor_;
};

struct Pair {
  Pair() {
    a.links.SetAddresses({{"b", b.address()}});
    b.links.SetAddresses({{"a", a.address()}});
  }

  void Run(Milliseconds duration = Milliseconds(60)) {
    io.restart();
    io.run_for(duration);
  }

  asio::io_context io{1};
  Instance a{io, "a"};
  Instance b{io, "b"};
};

}  // namespace

TEST_CASE("an answer uses the link that the other instance opened") {
  Pair pair;
  pair.b.answer = true;
  REQUIRE(pair.a.links.Send("b", "quota", R"({"n":1})"));
  REQUIRE(pair.a.links.Send("b", "quota", R"({"body":"},"})"));
  pair.Run();
  CHECK(pair.b.received ==
        std::vector<std::string>{R"(a quota {"n":1})",
                                 R"(a quota {"body":"},"})"});
  CHECK(pair.a.received.size() == 2);
  CHECK(pair.a.accepted.empty());
  CHECK(pair.b.accepted.size() == 1);
}

TEST_CASE("a link that failed is opened again with a later message") {
  Pair pair;
  REQUIRE(pair.a.links.Send("b", "quota", "{}"));
  pair.Run();
  pair.b.accepted.front()->Close();
  pair.Run(Milliseconds(10));
  CHECK_FALSE(pair.a.links.Send("b", "quota", "{}"));
  pair.Run();
  REQUIRE(pair.a.links.Send("b", "quota", "{}"));
  pair.Run();
  CHECK(pair.b.received.size() == 2);
}

TEST_CASE("messages that can't be sent don't pile up") {
  Pair pair;
  const std::string large(1 << 20, ' ');
  int sent = 0;
  for (int n = 0; n < 40; ++n) sent += pair.a.links.Send("b", "quota", large);
  CHECK(sent <= 5);
  CHECK(pair.a.links.dropped() == static_cast<std::uint64_t>(40 - sent));
  CHECK_FALSE(pair.a.links.Send("b", "quota", std::string(5 << 20, ' ')));
  CHECK_FALSE(pair.a.links.Send("unknown", "quota", "{}"));
}

TEST_CASE("a message may have 4 MiB") {
  Pair pair;
  REQUIRE(pair.a.links.Send("b", "freshness", std::string(4'100'000, ' ')));
  pair.Run(Milliseconds(500));
  CHECK(pair.b.received.size() == 1);
}

TEST_CASE("only lines of the protocol open a link or are messages") {
  CHECK(net::InstanceLinks::ParseFirstLine("EXCHANGE 1 a") == "a");
  CHECK_FALSE(net::InstanceLinks::ParseFirstLine("EXCHANGE 2 a"));
  CHECK_FALSE(net::InstanceLinks::ParseFirstLine("EXCHANGE 1 "));
  CHECK_FALSE(net::InstanceLinks::ParseFirstLine("EXCHANGE 1 a b"));
  CHECK_FALSE(net::InstanceLinks::ParseFirstLine("START books a b"));
  Pair pair;
  CHECK_FALSE(pair.a.links.Receive("b", "QUERY"));
  CHECK_FALSE(pair.a.links.Receive("b", R"({"topic":"quota"})"));
  CHECK(pair.a.links.Receive("b", R"({"topic":"quota","body":{}})"));
}

}  // namespace corianderdock::test
