/// \file
/// Pending timers of the reducer, ordered by due time.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "corianderdock/types.h"

namespace corianderdock::detail {

enum class TimerKind {
  kCallDeadline,
  kCallRetry,
  kWorkDeadline,
  kTransactionIdle,
  kGroupPoll,
  kClaim,
  kConnect,
  kPing,
  kProbe,
  kSuspicion,
  kPlatformPoll,
  kDrainCheck,
};

/// A timer. `key` and `id` identify the object it belongs to, which may no
/// longer exist when the timer fires.
struct Timer {
  TimerKind kind = TimerKind::kProbe;
  std::string key;
  std::uint64_t id = 0;
};

/// Min-heap of timers; timers with the same due time fire in the order in which
/// they were scheduled. Timers cannot be cancelled: owners ignore those that no
/// longer apply.
template <typename TimerType>
class TimerHeap {
 public:
  void Schedule(TimePoint due, TimerType timer) {
    heap_.push({due, next_++, std::move(timer)});
  }

  /// Due time of the earliest timer; empty when none is pending.
  [[nodiscard]] std::optional<TimePoint> Next() const {
    if (heap_.empty()) return std::nullopt;
    return heap_.top().due;
  }

  /// Removes and returns the earliest timer that is due at `now`, if any.
  [[nodiscard]] std::optional<TimerType> TakeDue(TimePoint now) {
    if (heap_.empty() || heap_.top().due > now) return std::nullopt;
    TimerType timer = heap_.top().timer;
    heap_.pop();
    return timer;
  }

  [[nodiscard]] std::size_t size() const noexcept { return heap_.size(); }

 private:
  struct Entry {
    TimePoint due;
    std::uint64_t order;
    TimerType timer;
    bool operator<(const Entry& other) const {
      return std::pair(due, order) > std::pair(other.due, other.order);
    }
  };
  std::priority_queue<Entry> heap_;
  std::uint64_t next_ = 0;
};

using Timers = TimerHeap<Timer>;

}  // namespace corianderdock::detail
