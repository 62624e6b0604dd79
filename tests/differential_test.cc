/// \file
/// The same mix of requests through a naive one-server version and through
/// the system under faults must leave the same books.
#include <catch2/catch.hpp>
#include <map>
#include <set>

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

TEST_CASE("books agree with a naive server", "[differential]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto faults = RandomFaults(seed * 31, 6);
    (void)RunScheduleWith(seed, faults, nullptr, [&](FakeWorld& world) {
      // The naive server runs what callers were told was done, in order, and
      // what the system holds beyond that must have been in doubt.
      NaiveServer naive;
      std::set<std::string> doubtful;
      for (const auto& it : world.history().operations) {
        if (it.type == OperationType::kRead) continue;
        if (it.has_answer && it.outcome == Outcome::kDone) naive.Write(it.id);
        if (!it.has_answer || it.outcome == Outcome::kUnknown) {
          doubtful.insert(it.id);
        }
      }
      std::map<std::string, int> books;
      for (const auto& it : world.history().survived["g"]) ++books[it.id];
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
    });
  }
}

}  // namespace
}  // namespace testing_support
