/// \file
/// Expected time until a read is answered at a server, and the choice among
/// servers.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "corianderdock/types.h"

namespace corianderdock::session {

/// Recent failures and refusals of a server, which decay. Not thread-safe;
/// times must not decrease.
class ServerOutcomes {
 public:
  void OnAnswer(TimePoint now) { Note(now, 0); }
  /// Notes an attempt that ended without a result after `lost`.
  void OnFailure(TimePoint now, Duration lost);

  /// Chance that the next attempt ends without a result, from 0 to 1.
  [[nodiscard]] double FailureChance(TimePoint now) const;
  /// Time that such an attempt takes, in milliseconds.
  [[nodiscard]] double LostMs() const { return lost_ms_; }

 private:
  void Note(TimePoint now, double failed);

  double chance_ = 0;
  double lost_ms_ = 0;
  TimePoint noted_;
};

/// What is known of one server for one read.
struct ReadInputs {
  /// From sending until the answer, with the round trip, as recent answers to
  /// this kind of statement showed, in milliseconds.
  double expected_ms = 0;
  int running = 0;   ///< commands of this instance there
  double limit = 1;  ///< of these at once
  /// Chance that the server lacks the position that the read requires.
  double behind_chance = 0;
  double failure_chance = 0;
  double lost_ms = 0;  ///< by an attempt that fails
  bool other_zone = false;
  bool primary = false;
  int queued_writes = 0;  ///< that wait for the primary
  int slots = 1;
};

/// Expected time until the read is answered, in milliseconds, with prices of
/// what it costs others. \pre `expected_ms` > 0, `limit` >= 1. Thread-safe.
[[nodiscard]] double ExpectedReadMs(const ReadInputs& inputs);

/// Chance that a server that lacked a position `age` ago still does. `catch_up`
/// is the time in which it usually catches up. \pre `catch_up` > 0.
/// Thread-safe.
[[nodiscard]] double BehindChance(Duration age, Duration catch_up);

/// Chooses among servers by their expected times: the lower, the likelier, by
/// the fourth power. `random` is from 0 up to 1. Returns an index. Instances
/// decide from answers that are old by the time between two statements; if all
/// sent to the best, it would be overloaded until they learn of it. \pre
/// `costs` isn't empty, all are > 0. Thread-safe.
[[nodiscard]] std::size_t ChooseByCost(const std::vector<double>& costs,
                                       double random);

/// Random number of a statement for `ChooseByCost`, the same on each run.
/// Thread-safe.
[[nodiscard]] double RandomOf(std::string_view instance, std::uint64_t serial);

}  // namespace corianderdock::session
