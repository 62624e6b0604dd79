/// Ranks of weighted rendezvous hashing.
#include "corianderdock/detail/weighted_rendezvous.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace corianderdock::test {

namespace {

using Weights = std::map<std::string, double>;

std::string Choose(const Weights& weights, const std::string& item) {
  std::string best;
  double best_rank = 0;
  for (const auto& [id, weight] : weights) {
    const double rank = detail::WeightedRank(id, item, weight);
    if (!best.empty() && rank <= best_rank) continue;
    best = id;
    best_rank = rank;
  }
  return best;
}

}  // namespace

// Guards against a small instance that gets as much as a large one.
TEST_CASE("weighted ranks share items in proportion to the weights") {
  const Weights weights{{"a", 0.5}, {"b", 0.125}, {"c", 0.375}};
  std::map<std::string, int> chosen;
  constexpr int kItems = 20'000;
  for (int n = 0; n < kItems; ++n) ++chosen[Choose(weights, std::to_string(n))];
  for (const auto& [id, weight] : weights) {
    CHECK(chosen[id] == Approx(weight * kItems).epsilon(0.05));
  }
}

// Guards against a change of one weight that moves items between others.
TEST_CASE("a changed weight moves items only to or from its candidate") {
  const Weights before{{"a", 0.5}, {"b", 0.25}, {"c", 0.25}};
  Weights after = before;
  after["b"] = 0.4;
  for (int n = 0; n < 5'000; ++n) {
    const std::string item = std::to_string(n);
    const std::string chosen = Choose(after, item);
    CHECK((chosen == "b" || chosen == Choose(before, item)));
  }
}

TEST_CASE("a candidate without weight is chosen only if there is no other") {
  CHECK(Choose({{"a", 0}, {"b", 0.001}}, "item") == "b");
  CHECK(Choose({{"a", 0}}, "item") == "a");
}

}  // namespace corianderdock::test
