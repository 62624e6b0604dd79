/// \file
/// The same mix of requests through a naive one-server version and through
/// the system under faults must leave the same books and show the same views.
#include <catch2/catch.hpp>
#include <cstdio>
#include <map>
#include <set>
#include <vector>

#include "support/schedule.h"

namespace testing_support {
namespace {

constexpr std::uint64_t kSeeds = 40;

/// One server, one caller at a time: a write is in the books once it is done.
class NaiveServer {
 public:
  void Write(const std::string& id) { books_.insert(id); }
  [[nodiscard]] const std::set<std::string>& Read() const { return books_; }

 private:
  std::set<std::string> books_;
};

/// Books of the naive server after 0, 1, 2, ... surviving writes.
std::vector<std::set<std::string>> ViewsOf(const History& history) {
  NaiveServer naive;
  std::vector<std::set<std::string>> views = {naive.Read()};
  for (const auto& it : history.survived.at("g")) {
    naive.Write(it.id);
    views.push_back(naive.Read());
  }
  return views;
}

/// Requires that the books hold what was told as done, and beyond that only
/// what was in doubt.
void CheckBooks(const History& history, std::uint64_t seed) {
  NaiveServer naive;
  std::set<std::string> doubtful;
  for (const auto& it : history.operations) {
    if (it.type == OperationType::kRead) continue;
    if (it.has_answer && it.outcome == Outcome::kDone) naive.Write(it.id);
    if (!it.has_answer || it.outcome == Outcome::kUnknown) {
      doubtful.insert(it.id);
    }
  }
  std::map<std::string, int> books;
  for (const auto& it : history.survived.at("g")) ++books[it.id];
  for (const auto& id : naive.Read()) {
    INFO("seed " << seed << " id " << id);
    CHECK(books[id] == 1);
  }
  for (const auto& [id, times] : books) {
    if (naive.Read().contains(id) || times == 0) continue;
    INFO("seed " << seed << " id " << id);
    CHECK(doubtful.contains(id));
    CHECK(times == 1);
  }
}

/// Requires that each read saw the naive server's books after some number of
/// writes, and that later reads of a session never saw fewer. Returns the
/// reads checked.
std::size_t CheckViews(const History& history, std::uint64_t seed) {
  const auto views = ViewsOf(history);
  std::size_t checked = 0;
  std::map<int, std::vector<const Operation*>> sessions;
  for (const auto& it : history.operations) {
    const bool counts = it.type == OperationType::kRead && it.has_answer &&
                        it.outcome == Outcome::kDone;
    if (!counts) continue;
    INFO("seed " << seed << " read of " << it.seen.size() << " writes");
    REQUIRE(it.seen.size() < views.size());
    CHECK(it.seen == views[it.seen.size()]);
    for (const Operation* earlier : sessions[it.session]) {
      if (earlier->answered > it.invoked) continue;
      CHECK(earlier->seen.size() <= it.seen.size());
    }
    sessions[it.session].push_back(&it);
    ++checked;
  }
  return checked;
}

TEST_CASE("books and views agree with a naive server", "[differential]") {
  std::size_t checked = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto faults = RandomFaults(seed * 31, 6);
    (void)RunScheduleWith(seed, faults, nullptr, [&](FakeWorld& world) {
      CheckBooks(world.history(), seed);
      checked += CheckViews(world.history(), seed);
    });
  }
  CHECK(checked > kSeeds);
  std::printf("views of %zu reads agree\n", checked);
}

}  // namespace
}  // namespace testing_support
