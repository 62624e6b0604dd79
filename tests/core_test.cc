/// \file
/// Unit tests of the core: session tokens, sheets, statement checks, the
/// server queue and the JSON codec.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "corianderdock/codec.h"
#include "corianderdock/corianderdock.h"

namespace corianderdock {
namespace {

TEST_CASE("a session token round-trips and detects corruption", "[token]") {
  CHECK(rc::check("encode then decode", [] {
    SessionToken token;
    const auto term = *rc::gen::inRange<std::uint64_t>(1, 1000);
    const auto index = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    token.Merge("g-1", {term, index});
    const auto decoded = SessionToken::Decode(token.Encode());
    RC_ASSERT(static_cast<bool>(decoded));
    RC_ASSERT(decoded->At("g-1") == (Position{term, index}));
  }));
  CHECK(rc::check("a changed character is detected", [] {
    SessionToken token;
    token.Merge("g-1", {3, 77});
    std::string text = token.Encode();
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto c = *rc::gen::suchThat(rc::gen::character<char>(),
                                      [&](char it) { return it != text[at]; });
    text[at] = c;
    RC_ASSERT_FALSE(static_cast<bool>(SessionToken::Decode(text)));
  }));
  CHECK_FALSE(SessionToken::Decode("cd1"));
  CHECK_FALSE(SessionToken::Decode("cd1.g~1~2"));
  CHECK(SessionToken::Decode(""));
}

TEST_CASE("positions past a promotion are clamped to the last index before it",
          "[token]") {
  const TermStarts starts = {{1, 1}, {3, 50}, {4, 90}};
  CHECK(ClampToHistory({1, 60}, starts) == Position{1, 49});
  CHECK(ClampToHistory({1, 20}, starts) == Position{1, 20});
  CHECK(ClampToHistory({3, 95}, starts) == Position{3, 89});
  CHECK(ClampToHistory({4, 95}, starts) == Position{4, 95});
}

TEST_CASE("a sheet is validated and all its errors are reported", "[sheet]") {
  const std::string header = "service,group,zones,kind,mode,max_age,demand\n";
  CHECK(ParseSheet(header + "s,g,a;b,k,read,2s,10\n"));
  const auto bad = ParseSheet(header +
                              "s,g,a;b,k,read,soon,10\n"
                              "s,other,a;b,m,write,,x\n"
                              "s,g,a;;b,n,watch,,1\n");
  REQUIRE_FALSE(bad);
  REQUIRE(bad.error().size() >= 4);
  CHECK(bad.error()[0].line == 2);
  CHECK(bad.error()[0].column == 6);
  CHECK(bad.error()[1].line == 3);
  CHECK(bad.error()[1].column == 7);
  CHECK_FALSE(ParseSheet(""));
  CHECK_FALSE(ParseSheet(header));
  CHECK_FALSE(ParseSheet("service,group\n"));
  CHECK_FALSE(ParseSheet(header + "s,g,a,k,read,2s,10\ns,g,a,k,read,2s,1\n"));
  CHECK_FALSE(ParseSheet(header + "\"s,g,a,k,read,2s,10\n"));
}

TEST_CASE("statements that could outlive their request are rejected",
          "[statement]") {
  CHECK_FALSE(FindStatementFault("SELECT 1", Mode::kRead));
  CHECK_FALSE(FindStatementFault(" -- note\n/* x */ SELECT ';'", Mode::kRead));
  CHECK_FALSE(FindStatementFault("UPDATE t SET a = 1;", Mode::kWrite));
  for (const char* it :
       {"COMMIT", "ROLLBACK", "BEGIN", "SET x = 1", "SELECT 1; COMMIT", "",
        "LISTEN a", "/* c */ commit", "SELECT group_fence(9, 'x')",
        "SELECT * FROM corianderdock_request", "UPDATE t SET a = 1"}) {
    INFO(it);
    CHECK(FindStatementFault(it, Mode::kRead));
  }
  CHECK(FindStatementFault("CREATE TEMP TABLE t (a INT)", Mode::kWrite));
}

QueueItem Item(WorkId work, const std::string& service, bool is_long = false,
               int cost_ms = 1) {
  QueueItem item;
  item.work = work;
  item.service = service;
  item.is_long = is_long;
  item.cost = Milliseconds(cost_ms);
  return item;
}

TEST_CASE("long-running work leaves one slot free for short work", "[queue]") {
  ServerQueue queue;
  queue.Push(Item(1, "r", true, 100), 1);
  queue.Push(Item(2, "r", true, 100), 1);
  SlotState state{.slots = 2};
  CHECK(queue.Pop(state)->work == 1);
  state.running = state.running_long = 1;
  CHECK_FALSE(queue.Pop(state));
  queue.Push(Item(3, "c"), 1);
  CHECK(queue.Pop(state)->work == 3);
  state.cap_long = false;
  CHECK(queue.Pop(state)->work == 2);
}

TEST_CASE("long-running work is not starved by short work", "[queue]") {
  ServerQueue queue;
  const TimePoint start = TimePoint(std::chrono::hours(1));
  QueueItem report = Item(1, "r", true, 100);
  report.enqueued = start;
  queue.Push(report, 1);
  queue.Push(Item(2, "c"), 1);
  queue.Push(Item(3, "c"), 1);
  SlotState state{.slots = 2, .now = start + Milliseconds(500)};
  CHECK(queue.Pop(state)->work == 2);
  state.now = start + std::chrono::seconds(2);
  CHECK(queue.Pop(state)->work == 1);
}

TEST_CASE("services share a server in proportion to their weights", "[queue]") {
  ServerQueue queue;
  for (WorkId n = 0; n < 300; ++n) {
    queue.Push(Item(n, "a", false, 10), 1);
    queue.Push(Item(1000 + n, "b", false, 10), 2);
  }
  int from_b = 0;
  for (int n = 0; n < 150; ++n) {
    const auto item = queue.Pop({.slots = 1});
    if (item->service == "b") ++from_b;
  }
  CHECK(from_b >= 95);
  CHECK(from_b <= 105);
}

TEST_CASE("expected wait covers the work queued ahead", "[queue]") {
  ServerQueue queue;
  for (WorkId n = 0; n < 10; ++n) queue.Push(Item(n, "a", false, 20), 1);
  CHECK(queue.ExpectedWait({.slots = 2}, false) == Milliseconds(100));
  CHECK(queue.Remove(3));
  CHECK(queue.Clear().size() == 9);
  CHECK(queue.ExpectedWait({.slots = 2}, false) == Duration(0));
}

TEST_CASE("messages between instances round-trip; malformed ones are rejected",
          "[codec]") {
  RoutedAnswer answer;
  answer.status = RoutedStatus::kBusy;
  answer.answer.outcome = Outcome::kNotRun;
  answer.answer.reason = Reason::kOverloaded;
  answer.answer.retry_after = Milliseconds(40);
  answer.leadership = {7, "g-2", {{1, 1}, {7, 99}}};
  answer.data_age = Milliseconds(3);
  const auto back = ParseRoutedAnswer(ToJson(answer));
  REQUIRE(back);
  CHECK(back->status == RoutedStatus::kBusy);
  CHECK(back->answer.reason == Reason::kOverloaded);
  CHECK(back->leadership.starts.at(7) == 99);
  CHECK(back->data_age == Milliseconds(3));
  CHECK_FALSE(ParseRoutedAnswer(Json::Value("text")));
  CHECK_FALSE(ParseGossip(Json::Value(3)));
  CHECK_FALSE(ParseServerStatus("{\"term\":\"x\"}"));
  CHECK_FALSE(ParseJson("{\"a\":"));
}

TEST_CASE("an invalid request is rejected with the path of its field",
          "[codec]") {
  Json::Value params;
  params["service"] = "s";
  params["kind"] = "k";
  params["statement"] = "SELECT 1";
  CHECK(ParseRequest(Method::kExecute, params));
  params["timeout_ms"] = -5;
  CHECK(ParseRequest(Method::kExecute, params).error().place ==
        "params.timeout_ms");
  params.removeMember("timeout_ms");
  params["token"] = "cd1.forged";
  CHECK(ParseRequest(Method::kExecute, params).error().place == "params.token");
  params.removeMember("token");
  params["extra"] = 1;
  CHECK(ParseRequest(Method::kExecute, params).error().place == "params.extra");
  params.removeMember("extra");
  params["parameters"].append(Json::Value(Json::objectValue));
  CHECK(ParseRequest(Method::kExecute, params).error().place ==
        "params.parameters[0]");
}

}  // namespace
}  // namespace corianderdock
