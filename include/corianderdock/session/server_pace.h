/// \file
/// Concurrency limit of a server, derived from its answers.
#pragma once

#include <array>
#include <cstddef>

#include "corianderdock/types.h"

namespace corianderdock::session {

/// Kind of a command that occupies a slot of a server. Kinds take different
/// times, so each is compared with itself. Writes and commits wait for replicas
/// as well; their times don't show the server's pace.
enum class CommandKind : std::size_t { kRead, kWrite, kExecute, kCommit };

/// Pace of one server as one instance sees it.
///
/// The pace is the time of recent answers over the usual time of their kind.
/// The limit starts at one after a start, a recovery or a promotion. It grows
/// with each answer while the pace is about 1, and falls while answers take
/// about twice their usual time. The usual time follows what is observed within
/// seconds, so that a server that stays slow is used fully again; its time
/// then counts against it where servers are compared. Not thread-safe; times
/// must not decrease.
///
/// \code
/// ServerPace pace;
/// pace.Restart(now, slots);
/// pace.OnAnswer(now, CommandKind::kRead, 18ms, 1);
/// const bool room = running + 1 <= pace.Limit();
/// \endcode
class ServerPace {
 public:
  /// Begins with a limit of one of `slots`. What is known of the usual times is
  /// kept. `cold`: the server reported that it is still slow, which only
  /// matters until it answers. \pre `slots` > 0.
  void Restart(TimePoint now, int slots, bool cold = false);

  /// Notes a successful answer after `time`. `others` is the lowest pace of the
  /// service's other servers, 1 if unknown: where all are slow, being slow is
  /// no reason to use one less. \pre `time` >= 0, `others` > 0.
  void OnAnswer(TimePoint now, CommandKind kind, Duration time, double others);

  /// Notes that the server refused a command as full.
  void OnBusy();

  /// Commands that may run at once, from 1 to the slots.
  [[nodiscard]] double Limit() const { return limit_; }

  /// Time of recent answers over their usual time; 1 if unknown. A pace that no
  /// answer confirms is forgotten.
  [[nodiscard]] double Pace(TimePoint now) const;

  /// Whether enough answers came since the last start to know the pace.
  [[nodiscard]] bool Known() const;

  /// Expected time of a command of `kind`, in milliseconds. `otherwise` is the
  /// time at any server, to which it returns while no answer confirms it.
  [[nodiscard]] double ExpectedMs(TimePoint now, CommandKind kind,
                                  double otherwise) const;

 private:
  /// Part of the last observation that still counts, from 1 down to 0.
  [[nodiscard]] double Remembered(TimePoint now) const;

  struct Usual {
    double ms = 0;  ///< 0: unknown
    TimePoint seen;
  };

  std::array<Usual, 4> usual_;
  double limit_ = 1;
  double slots_ = 1;
  double pace_ = 1;
  int answers_ = 0;     ///< since the last start
  TimePoint answered_;  ///< the last one, or the start
  bool cold_ = false;
};

}  // namespace corianderdock::session
