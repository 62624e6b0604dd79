/// A primary left alone with all reads hands over to a replica.
#include <catch2/catch.hpp>
#include <set>

#include "support/proxy_driver.h"

namespace corianderdock::test {

namespace {

/// More arrive each tick than the one primary can run.
constexpr int kArrivalsATick = 6;
constexpr Milliseconds kTick{25};

/// A crowd of reads of a stated age before "a", "b" and "c".
struct Crowd {
  explicit Crowd(std::set<ServerId> replicas_behind)
      : behind(std::move(replicas_behind)) {}

  void Pass(Milliseconds duration) {
    for (Milliseconds passed{0}; passed < duration; passed += kTick) {
      driver.Pass(kTick);
      driver.Connect();
      for (int n = 0; n < kArrivalsATick; ++n) {
        driver.Open(++last, "lookups");
        driver.Query(last, Verb::kRead, {}, "item");
      }
      AnswerSome();
    }
  }

  /// Two statements a server and tick, as many as it has slots.
  void AnswerSome() {
    std::map<ServerId, int> left = {{"a", 2}, {"b", 2}, {"c", 2}};
    std::vector<SendCommand> waiting;
    for (const SendCommand& it : std::exchange(driver.sent, {})) {
      const ServerId server = driver.at[it.connection];
      const Verb verb = it.command.statement.verb;
      const bool runs = verb == Verb::kRead;
      if (runs && !behind.contains(server) && left[server]-- <= 0) {
        waiting.push_back(it);
        continue;
      }
      Reply reply;
      reply.position = {1, behind.contains(server) ? 1U : 10U + last};
      if (runs && behind.contains(server)) reply.error = ErrorCode::kBehind;
      const bool begins = verb == Verb::kBegin;
      if (begins && server != "a") reply.error = ErrorCode::kReadOnly;
      if (begins && server == "a") reply.state = TransactionState::kOpen;
      if (runs) reply.receipt = "r";
      driver.Feed(session::ServerReplied{it.connection, reply});
    }
    driver.sent.insert(driver.sent.begin(), waiting.begin(), waiting.end());
  }

  std::set<ServerId> behind;
  ProxyDriver driver;
  session::SessionId last = 0;
};

}  // namespace

TEST_CASE("a crowded primary whose replicas stay behind hands over") {
  Crowd crowd({"b", "c"});
  crowd.Pass(Milliseconds(20'000));
  CHECK_FALSE(crowd.driver.claims.empty());
}

TEST_CASE("a primary keeps its lead while a replica serves reads") {
  Crowd crowd({"b"});
  crowd.Pass(Milliseconds(20'000));
  CHECK(crowd.driver.claims.empty());
}

TEST_CASE("a primary keeps its lead for a while whatever the crowd") {
  Crowd crowd({"b", "c"});
  crowd.Pass(Milliseconds(12'000));
  CHECK(crowd.driver.claims.empty());
}

}  // namespace corianderdock::test
