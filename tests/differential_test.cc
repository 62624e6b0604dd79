/// \file
/// Differential test: under faults the system must apply the same writes, and
/// return the same read results, as a single-server reference model.
#include <catch2/catch.hpp>
#include <cstdio>
#include <map>
#include <set>
#include <vector>

#include "support/schedule.h"

namespace testing_support {
namespace {

constexpr std::uint64_t kSeeds = 40;

/// Reference model: one server, one caller at a time; a write is visible as
/// soon as it is done.
class ReferenceServer {
 public:
  void Write(const std::string& id) { write_ids_.insert(id); }
  [[nodiscard]] const std::set<std::string>& Read() const { return write_ids_; }

 private:
  std::set<std::string> write_ids_;
};

/// Contents of the reference server after 0, 1, 2, ... surviving writes.
std::vector<std::set<std::string>> ReferenceViews(const History& history) {
  ReferenceServer reference;
  std::vector<std::set<std::string>> views = {reference.Read()};
  for (const auto& it : history.survived.at("g")) {
    reference.Write(it.id);
    views.push_back(reference.Read());
  }
  return views;
}

/// Checks that every acknowledged write was applied exactly once, and that any
/// other applied write had an unknown outcome and was applied once.
void CheckSurvivingWrites(const History& history, std::uint64_t seed) {
  ReferenceServer reference;
  std::set<std::string> in_doubt;
  for (const auto& it : history.operations) {
    if (it.type == OperationType::kRead) continue;
    if (it.has_answer && it.outcome == Outcome::kDone) reference.Write(it.id);
    if (!it.has_answer || it.outcome == Outcome::kUnknown) {
      in_doubt.insert(it.id);
    }
  }
  std::map<std::string, int> applied;
  for (const auto& it : history.survived.at("g")) ++applied[it.id];
  for (const auto& id : reference.Read()) {
    INFO("seed " << seed << " id " << id);
    CHECK(applied[id] == 1);
  }
  for (const auto& [id, times] : applied) {
    if (reference.Read().contains(id) || times == 0) continue;
    INFO("seed " << seed << " id " << id);
    CHECK(in_doubt.contains(id));
    CHECK(times == 1);
  }
}

/// Checks that each read returned the reference server's contents after some
/// number of writes, and that later reads of a session never returned fewer
/// (monotonic reads). Returns the number of reads checked.
std::size_t CheckReadViews(const History& history, std::uint64_t seed) {
  const auto views = ReferenceViews(history);
  std::size_t checked = 0;
  std::map<int, std::vector<const Operation*>> sessions;
  for (const auto& it : history.operations) {
    const bool counts = it.type == OperationType::kRead && it.has_answer &&
                        it.outcome == Outcome::kDone;
    if (!counts) continue;
    INFO("seed " << seed << " read of " << it.returned_ids.size() << " writes");
    REQUIRE(it.returned_ids.size() < views.size());
    CHECK(it.returned_ids == views[it.returned_ids.size()]);
    for (const Operation* earlier : sessions[it.session]) {
      if (earlier->reply_received > it.invoked) continue;
      CHECK(earlier->returned_ids.size() <= it.returned_ids.size());
    }
    sessions[it.session].push_back(&it);
    ++checked;
  }
  return checked;
}

TEST_CASE("applied writes and reads agree with the reference server",
          "[differential]") {
  std::size_t checked = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto faults = RandomFaults(seed * 31, 6);
    (void)RunScheduleWith(seed, faults, nullptr, [&](FakeWorld& world) {
      CheckSurvivingWrites(world.history(), seed);
      checked += CheckReadViews(world.history(), seed);
    });
  }
  CHECK(checked > kSeeds);
  std::printf("views of %zu reads agree\n", checked);
}

}  // namespace
}  // namespace testing_support
