/// Order of queued statements and load shedding when servers are busy.
#include <catch2/catch.hpp>

#include "corianderdock/session/statement_queue.h"
#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

using session::SessionId;
using session::StatementQueue;
using session::WaitingStatement;

constexpr TimePoint kStart{std::chrono::seconds(100)};

WaitingStatement MakeWaiting(SessionId session, const char* database,
                             Milliseconds arrived, Milliseconds due,
                             Milliseconds cost = Milliseconds(5)) {
  return {session, database, kStart + arrived, kStart + due, cost, 1};
}

/// Statements by outcome after a run against one server.
struct LoadResult {
  int on_time = 0;
  int late = 0;
  int refused = 0;
};

constexpr Milliseconds kStatementTime{8};
constexpr Milliseconds kLatencyObjective{200};

/// Runs arrivals at `load` times the capacity of a server that runs one
/// statement at a time, for two seconds.
template <typename Pop>
LoadResult RunLoad(double load, StatementQueue& queue, const Pop& pop) {
  LoadResult result;
  const double gap_ms = static_cast<double>(kStatementTime.count()) / load;
  std::map<SessionId, TimePoint> arrived;
  TimePoint server_free_at = kStart;
  for (int n = 0; n < 2000 / gap_ms; ++n) {
    const auto at = Milliseconds(static_cast<int>(n * gap_ms));
    const SessionId id = static_cast<SessionId>(n) + 1;
    arrived[id] = kStart + at;
    queue.Push(MakeWaiting(id, "lookups", at, at + kLatencyObjective * 3 / 4));
    while (server_free_at <= kStart + at) {
      const auto next = pop(queue, server_free_at);
      if (!next) break;
      server_free_at += kStatementTime;
      ++(server_free_at - arrived[*next] <= kLatencyObjective ? result.on_time
                                                              : result.late);
    }
    server_free_at = std::max(server_free_at, kStart + at);
  }
  return result;
}

}  // namespace

TEST_CASE("statements of one database start in the order of arrival") {
  StatementQueue queue;
  queue.Push(MakeWaiting(2, "a", Milliseconds(1), Milliseconds(100)));
  queue.Push(MakeWaiting(1, "a", Milliseconds(0), Milliseconds(100)));
  CHECK(queue.Pop(kStart) == 1);
  CHECK(queue.Pop(kStart) == 2);
  CHECK_FALSE(queue.Pop(kStart));
}

TEST_CASE("statements that can be on time start before those that are late") {
  StatementQueue queue;
  queue.Push(MakeWaiting(1, "a", Milliseconds(0), Milliseconds(50)));
  queue.Push(MakeWaiting(2, "b", Milliseconds(40), Milliseconds(90)));
  CHECK(queue.Pop(kStart + Milliseconds(60)) == 2);
  CHECK(queue.Pop(kStart + Milliseconds(60)) == 1);
}

TEST_CASE("short statements start first without starving the oldest") {
  StatementQueue queue;
  queue.Push(MakeWaiting(1, "long", Milliseconds(0), Milliseconds(200),
                         Milliseconds(30)));
  for (SessionId n = 10; n < 30; ++n) {
    queue.Push(MakeWaiting(n, "short", Milliseconds(1), Milliseconds(200),
                           Milliseconds(2)));
  }
  CHECK(queue.Pop(kStart) == 10);
  bool started = false;
  for (int n = 0; n < 8; ++n) started = started || queue.Pop(kStart) == 1;
  CHECK(started);
}

TEST_CASE(
    "the expected wait of a new statement follows from the rate of starts") {
  StatementQueue queue;
  CHECK(queue.ExpectedWait("a", 1) == Duration(0));
  for (SessionId n = 1; n <= 80; ++n) {
    queue.Push(MakeWaiting(n, "a", Milliseconds(0), Milliseconds(900)));
  }
  for (int n = 0; n < 60; ++n) (void)queue.Pop(kStart + Milliseconds(10) * n);
  const Duration wait = queue.ExpectedWait("a", 1);
  CHECK(wait > Milliseconds(150));
  CHECK(wait < Milliseconds(250));
  CHECK(queue.ExpectedWait("b", 1) == Duration(0));
}

TEST_CASE("a removed statement is not started") {
  StatementQueue queue;
  queue.Push(MakeWaiting(1, "a", Milliseconds(0), Milliseconds(50)));
  CHECK(queue.Remove(1));
  CHECK_FALSE(queue.Remove(1));
  CHECK(queue.size() == 0);
  CHECK_FALSE(queue.Pop(kStart));
}

TEST_CASE("under overload most statements that start are on time") {
  StatementQueue queue;
  const LoadResult queue_order =
      RunLoad(1.4, queue,
              [](StatementQueue& it, TimePoint now) { return it.Pop(now); });
  // The baseline starts the oldest first, whether late or not.
  StatementQueue baseline_queue;
  const LoadResult oldest_first = RunLoad(
      1.4, baseline_queue,
      [](StatementQueue& it, TimePoint /*now*/) { return it.Pop(kStart); });
  CHECK(queue_order.on_time > queue_order.late * 4);
  CHECK(queue_order.on_time > oldest_first.on_time);
}

TEST_CASE("a statement that would wait too long is refused at once") {
  ProxyDriver driver;
  session::SessionId id = 0;
  const auto arrive = [&] {
    driver.OpenSession(++id, "claims");
    driver.Query(id, Verb::kWrite, {}, "item data");
  };
  // Three statements arrive for every two that complete, so that the queue
  // grows while the proxy measures its throughput.
  for (int n = 0; n < 60; ++n) {
    driver.AdvanceTime(Milliseconds(10));
    for (int k = 0; k < 3; ++k) arrive();
    for (int k = 0; k < 2 && !driver.sent.empty(); ++k) driver.AnswerFirst();
  }
  bool refused_at_once = false;
  for (int n = 0; n < 10 && !refused_at_once; ++n) {
    driver.answers.clear();
    arrive();
    const auto& last = driver.answers.back();
    refused_at_once =
        last.session == id && last.reply.error == ErrorCode::kBusy &&
        last.reply.detail.find("come back in") != std::string::npos;
  }
  CHECK(refused_at_once);
}

TEST_CASE(
    "a queued statement is refused early enough to be retried elsewhere") {
  ProxyDriver driver;
  for (session::SessionId id = 1; id <= 40; ++id) {
    driver.OpenSession(id, "claims");
    driver.Query(id, Verb::kWrite, {}, "item data");
  }
  driver.answers.clear();
  // Just over a third of the latency objective.
  driver.AdvanceTime(Milliseconds(140));
  CHECK(driver.answers.size() >= 37);
  for (const auto& it : driver.answers) {
    CHECK(it.reply.error == ErrorCode::kBusy);
  }
}

TEST_CASE("a server that refuses as busy gets fewer concurrent statements") {
  ProxyDriver driver;
  driver.OpenSession(1, "claims");
  driver.OpenSession(2, "claims");
  driver.Query(1, Verb::kWrite, {}, "item data");
  driver.Query(2, Verb::kWrite, {}, "item data");
  CHECK(driver.sent.size() == 2);
  driver.AnswerFirst(ErrorCode::kBusy);
  driver.AnswerFirst(ErrorCode::kBusy);
  driver.AdvanceTime(Milliseconds(12));
  CHECK(driver.sent.size() == 1);
}

}  // namespace corianderdock::test
