/// Concurrency limits of servers by their answers.
#include "corianderdock/session/server_pace.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <functional>

namespace corianderdock::test {

namespace {

using session::CommandKind;
using session::ServerPace;

constexpr int kSlots = 4;
constexpr double kRunMs = 15;

/// A server that is always busy with as many reads as its limit allows.
struct BusyServer {
  explicit BusyServer(bool known = true) {
    pace.Restart(now, kSlots);
    if (known) Run(5, [](double) { return 1.0; });
  }
  /// `slowness`: by the seconds since the call.
  void Run(double seconds, const std::function<double(double)>& slowness) {
    const TimePoint start = now;
    double passed = 0;
    while (passed < seconds) {
      // Run times differ by up to a half.
      const double run =
          kRunMs * (0.5 + 0.1 * (++answers * 7 % 11)) * slowness(passed);
      now += ToDuration(run / std::floor(pace.Limit()));
      pace.OnAnswer(now, CommandKind::kRead, ToDuration(run), others);
      lowest = std::min(lowest, pace.Limit());
      passed = std::chrono::duration<double>(now - start).count();
    }
  }
  static Duration ToDuration(double ms) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(ms));
  }

  ServerPace pace;
  TimePoint now{std::chrono::seconds(100)};
  double others = 1;
  double lowest = kSlots;
  int answers = 0;
};

double Fast(double /*seconds*/) { return 1; }
double Slow(double /*seconds*/) { return 5; }

}  // namespace

TEST_CASE("a server that warms up is taken in, and is full when it is fast") {
  for (const double warm_up : {0.0, 2.0, 10.0}) {
    for (const bool reported : {true, false}) {
      BusyServer server;
      server.pace.Restart(server.now, kSlots, reported);
      CHECK(server.pace.Limit() == 1);
      if (warm_up > 0) {
        server.Run(1, Slow);
        CHECK(server.pace.Limit() <= 2);
        server.Run(warm_up - 1, Slow);
      }
      server.Run(2, Fast);
      INFO("warm-up " << warm_up << " reported " << reported);
      CHECK(server.pace.Limit() >= 0.9 * kSlots);
    }
  }
}

TEST_CASE("a report that isn't true has no lasting effect") {
  BusyServer warm;
  warm.pace.Restart(warm.now, kSlots, true);
  warm.Run(1, Fast);
  CHECK(warm.pace.Limit() >= 0.9 * kSlots);
  BusyServer cold;
  cold.pace.Restart(cold.now, kSlots, false);
  cold.Run(1, Slow);
  CHECK(cold.pace.Limit() <= 2);
}

// Guards against a server that is never used again at more than one statement.
TEST_CASE("a server that stays slow is used fully in the end") {
  BusyServer server;
  server.Run(1, Slow);
  CHECK(server.pace.Limit() <= 2);
  server.Run(30, Slow);
  CHECK(server.pace.Limit() >= 0.9 * kSlots);
}

TEST_CASE("a server that flaps is neither given up nor flooded") {
  BusyServer server;
  for (int n = 0; n < 10; ++n) {
    server.Run(1, Slow);
    CHECK(server.pace.Limit() >= 1);
    CHECK(server.pace.Limit() <= kSlots);
    server.Run(1, Fast);
  }
  server.Run(2, Fast);
  CHECK(server.pace.Limit() >= 0.9 * kSlots);
}

TEST_CASE("after a restart of everything nobody waits for a pace") {
  // Owners that know nothing of servers that are slow.
  BusyServer unknown(false);
  unknown.Run(2, Slow);
  CHECK(unknown.pace.Limit() >= 0.9 * kSlots);
  // Owners that know the servers, of which all restart.
  BusyServer known;
  known.others = 5;
  known.pace.Restart(known.now, kSlots, true);
  known.Run(2, Slow);
  CHECK(known.pace.Limit() >= 0.9 * kSlots);
}

TEST_CASE("refusals lower the limit, and answers raise it again") {
  BusyServer server;
  for (int n = 0; n < 10; ++n) server.pace.OnBusy();
  CHECK(server.pace.Limit() == 1);
  server.Run(1, Fast);
  CHECK(server.pace.Limit() >= 0.9 * kSlots);
}

// Guards against a primary whose commits wait for replicas, or that only
// writes, and that is held at one statement.
TEST_CASE("writes raise the limit and their waits don't lower it") {
  ServerPace pace;
  TimePoint now{std::chrono::seconds(100)};
  pace.Restart(now, kSlots, true);
  for (int n = 0; n < 40; ++n) {
    now += Milliseconds(100);
    const Milliseconds time(n < 20 ? 10 : 200);
    pace.OnAnswer(now, CommandKind::kCommit, time, 1);
  }
  CHECK(pace.Limit() == kSlots);
}

TEST_CASE("few answers suffice where there are few") {
  ServerPace pace;
  TimePoint now{std::chrono::seconds(100)};
  pace.Restart(now, kSlots);
  for (int n = 0; n < 4; ++n) {
    now += Milliseconds(500);
    pace.OnAnswer(now, CommandKind::kRead, Milliseconds(15), 1);
  }
  CHECK(pace.Limit() == kSlots);
}

}  // namespace corianderdock::test
