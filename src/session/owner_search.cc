#include "corianderdock/session/owner_search.h"

#include <algorithm>
#include <string>

#include "corianderdock/detail/hash.h"

namespace corianderdock::session {

namespace {

/// Owners whose refusal shows that the server has failed.
constexpr int kRefusingOwners = 2;
constexpr int kMaxDoublings = 3;
constexpr std::uint64_t kSpreadSteps = 1024;

Duration LimitOf(SearcherKind searcher, const OwnerSearchOptions& options) {
  switch (searcher) {
    case SearcherKind::kStandsIn:
      return options.stand_in_search_time;
    case SearcherKind::kStarts:
      return options.start_search_time;
    default:
      return options.search_time;
  }
}

Duration Scaled(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

OwnerStep OwnerSearch::OnLost(TimePoint now, OwnerLoss loss, int owners,
                              SearcherKind searcher,
                              const OwnerSearchOptions& options,
                              double spread) {
  if (!since_) since_ = now;
  ++lost_;
  if (loss == OwnerLoss::kRefused) ++refused_;
  OwnerStep step;
  const Duration limit = LimitOf(searcher, options);
  step.give_up =
      refused_ >= std::min(kRefusingOwners, owners) || now - *since_ >= limit;
  if (!step.give_up && lost_ % owners == 0) {
    step.pause = Scaled(options.pause, 0.5 + spread);
  }
  return step;
}

double SpreadOf(std::string_view instance, std::string_view server,
                int attempt) {
  const std::string item = std::string(server) + "#" + std::to_string(attempt);
  return static_cast<double>(detail::HashPair(instance, item) % kSpreadSteps) /
         static_cast<double>(kSpreadSteps);
}

Duration RefusedConnectionPause(Duration base, int refusals, double spread) {
  const int doublings = std::min(refusals - 1, kMaxDoublings);
  return Scaled(base * (1 << doublings), 0.5 + spread);
}

}  // namespace corianderdock::session
