/// \file
/// Queue of one backend server: fair between services, short work before long.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "corianderdock/types.h"

namespace corianderdock {

/// A statement waiting for an execution slot.
struct QueueItem {
  WorkId work = 0;
  ServiceId service;
  bool is_long = false;
  Duration cost{0};  ///< expected run time
  TimePoint enqueued;
};

/// Which work may start now.
struct SlotState {
  int slots = 0;
  int prefetch = 0;  ///< short work that may be sent ahead of a free slot
  int running = 0;
  int running_long = 0;
  bool cap_long = true;  ///< keep one slot free of long work
  TimePoint now{};
};

/// Start-time fair queue over services, with separate lanes for short and long
/// work. Short work goes first, until long work has waited a second and none
/// of it is running. Not thread-safe.
///
/// \code
/// ServerQueue queue;
/// queue.Push({.work = 1, .service = "claims"}, 1.0);
/// auto next = queue.Pop({.slots = 2});
/// \endcode
class ServerQueue {
 public:
  /// Adds an item; `weight` is the service's share relative to others, > 0.
  void Push(QueueItem item, double weight);

  /// Takes the next item that may start, if any.
  [[nodiscard]] std::optional<QueueItem> Pop(const SlotState& state);

  /// Removes an item. Returns whether it was queued.
  bool Remove(WorkId work);

  /// Removes and returns everything queued.
  [[nodiscard]] std::vector<WorkId> Clear();

  /// Expected wait of a new item: the queued run time of work it would wait
  /// for, spread over the slots it may use.
  [[nodiscard]] Duration ExpectedWait(const SlotState& state,
                                      bool is_long) const;

  [[nodiscard]] std::size_t size() const noexcept { return size_; }

 private:
  struct Lane {
    std::deque<QueueItem> items;
  };
  struct ServiceQueue {
    Lane lanes[2];  ///< short, long
    double weight = 1;
    double finish = 0;  ///< virtual finish time of its last started item
  };

  [[nodiscard]] std::optional<QueueItem> Take(int lane);
  [[nodiscard]] bool LongIsDue(TimePoint now) const;

  std::map<ServiceId, ServiceQueue> services_;
  double virtual_time_ = 0;
  Duration queued_cost_[2] = {};
  std::size_t size_ = 0;
};

}  // namespace corianderdock
