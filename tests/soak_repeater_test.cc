/// The relay of the soak, whose reports the audit relies on.
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "soak/repeater.h"

namespace {

using lab::tcp;
namespace asio = lab::asio;

// The relay gets all of it in one read.
constexpr char kReply[] =
    "ROW a 1\r\nROW b 2\r\nROW c 3\r\nDONE r1\r\nREADY I -\r\n";

struct Reports {
  int commands = 0;
  int replies = 0;
  int closes = 0;
  int replies_after_close = 0;
};

/// One statement over a relay whose proxy goes away once it has taken `steps`
/// after the arrival of the reply, or has passed it on.
Reports Relay(std::optional<int> steps) {
  asio::io_context io(1);
  tcp::acceptor servers(io, {asio::ip::address_v4::loopback(), 0});
  Reports reports;
  soak::RelayObserver observer;
  observer.on_command = [&](const soak::Command&) { ++reports.commands; };
  observer.on_reply = [&](const soak::Command& command,
                          const soak::ServerReply& reply) {
    ++reports.replies;
    if (reports.closes > 0) ++reports.replies_after_close;
    CHECK(command.id == "q1");
    CHECK(reply.receipt == "r1");
    CHECK(reply.rows.size() == 3);
  };
  observer.on_close = [&](std::uint64_t) { ++reports.closes; };
  const soak::Random random(1, 1);
  soak::Repeater repeater(io, "s1", servers.local_endpoint().port(), random,
                          observer);
  const auto run_until = [&](const auto& reached) {
    const auto limit = soak::Clock::now() + std::chrono::seconds(5);
    while (!reached() && soak::Clock::now() < limit) {
      io.run_one_for(std::chrono::milliseconds(20));
    }
    REQUIRE(reached());
  };
  tcp::socket proxy(io);
  tcp::socket server(io);
  bool accepted = false;
  servers.async_accept(server, [&](auto error) { accepted = !error; });
  proxy.connect({asio::ip::address_v4::loopback(),
                 static_cast<std::uint16_t>(repeater.port())});
  asio::write(proxy, asio::buffer(std::string("QUERY q1 READ x\r\n")));
  run_until([&] { return accepted && reports.commands == 1; });
  io.run_for(std::chrono::milliseconds(5));  // it reads from both again
  asio::write(server, asio::buffer(std::string(kReply)));
  if (!steps) run_until([&] { return reports.replies == 1; });
  for (int n = 0; n < steps.value_or(0); ++n) io.poll_one();
  proxy.close();
  run_until([&] { return reports.closes == 1; });
  io.run_for(std::chrono::milliseconds(20));
  return reports;
}

}  // namespace

TEST_CASE("a relay reports no reply after the end of its connection") {
  constexpr int kMostSteps = 20;
  bool closed_before = false;
  bool closed_after = false;
  for (int steps = 0; steps < kMostSteps; ++steps) {
    const Reports reports = Relay(steps);
    CHECK(reports.replies_after_close == 0);
    (reports.replies == 0 ? closed_before : closed_after) = true;
  }
  CHECK(closed_before);
  CHECK(closed_after);
}

TEST_CASE("a relay reports each reply that its proxy waits for") {
  for (int n = 0; n < 5; ++n) {
    const Reports reports = Relay(std::nullopt);
    CHECK(reports.replies == 1);
    CHECK(reports.closes == 1);
  }
}
