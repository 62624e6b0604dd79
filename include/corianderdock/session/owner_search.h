/// \file
/// Decides how an instance looks for an owner of a server's connections that is
/// up.
#pragma once

#include <optional>
#include <string_view>

#include "corianderdock/types.h"

namespace corianderdock::session {

/// Times of `OwnerSearch`.
struct OwnerSearchOptions {
  /// Time without an owner after which the server itself is tried.
  Duration search_time = std::chrono::milliseconds(400);
  /// The same of an instance that stands in for them, so that the others find
  /// it before they try the server.
  Duration stand_in_search_time = std::chrono::milliseconds(150);
  /// The same while this instance starts: after a loss of power the owners
  /// start at about the same time, within a second.
  Duration start_search_time = std::chrono::milliseconds(1500);
  /// Pause once all owners have been tried; varied by instance.
  Duration pause = std::chrono::milliseconds(60);
};

/// How a path through an owner ended.
enum class OwnerLoss {
  kUnreachable,  ///< not up, cut off, or it doesn't know the server yet
  kRefused,      ///< it is up and doesn't reach the server
};

/// Which instance searches.
enum class SearcherKind {
  kForwards,
  kStandsIn,  ///< connects itself while no owner is up
  kStarts,    ///< it started lately, and perhaps the owners did
};

/// What to do after a path through an owner ended.
struct OwnerStep {
  bool give_up = false;  ///< try the server itself
  Duration pause{0};     ///< before the next owner is tried
};

/// Search for an owner of one server. Owners that are not up are no evidence
/// that the server has failed, so the search goes on for a time rather than for
/// a number of owners; refusals by two owners are. Not thread-safe.
///
/// \code
/// OwnerSearch search;
/// const OwnerStep step =
///     search.OnLost(now, OwnerLoss::kUnreachable, 2,
///                   SearcherKind::kForwards, {}, 0.3);
/// \endcode
class OwnerSearch {
 public:
  /// Notes that the path through one of `owners` owners was lost. `spread`,
  /// from 0 to 1, varies the pause.
  /// \pre `owners` > 0; times don't decrease.
  [[nodiscard]] OwnerStep OnLost(TimePoint now, OwnerLoss loss, int owners,
                                 SearcherKind searcher,
                                 const OwnerSearchOptions& options,
                                 double spread);

  /// Notes that an owner, or the server, answered.
  void OnHeard() { *this = {}; }

  /// When the first path was lost since the last answer; null if none was.
  [[nodiscard]] std::optional<TimePoint> since() const { return since_; }

 private:
  std::optional<TimePoint> since_;
  int lost_ = 0;
  int refused_ = 0;
};

/// Returns a number from 0 up to 1 that differs between instances, servers and
/// attempts, by which they vary their pauses. Thread-safe.
[[nodiscard]] double SpreadOf(std::string_view instance,
                              std::string_view server, int attempt);

/// Returns the pause of an instance whose connection the server has refused as
/// over its limit `refusals` times in succession: `base`, doubled with each one
/// up to eight times, varied by `spread` from a half to one and a half. What
/// the server has free then isn't asked for by all instances at the same
/// moment. \pre `refusals` > 0. Thread-safe.
[[nodiscard]] Duration RefusedConnectionPause(Duration base, int refusals,
                                              double spread);

}  // namespace corianderdock::session
