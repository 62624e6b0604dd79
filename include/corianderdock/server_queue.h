/// \file
/// Queue of one backend server: fair between services, short statements first.
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

/// Execution slots of a server and their use, which decide what may start.
struct SlotState {
  int slots = 0;
  int prefetch = 0;  ///< short statements that may be sent ahead of a free slot
  int running = 0;
  int running_long = 0;
  bool cap_long = true;  ///< keep one slot free of long statements
  TimePoint now{};
};

/// Weighted start-time fair queue over services, with separate queues for short
/// and long statements. Short statements go first, except when a long statement
/// has waited for a second and none is running. Not thread-safe.
///
/// \code
/// ServerQueue queue;
/// queue.Push({.work = 1, .service = "claims"}, 1.0);
/// auto next = queue.Pop({.slots = 2});
/// \endcode
class ServerQueue {
 public:
  /// Adds an item. `weight` is the service's share relative to other services;
  /// > 0.
  void Push(QueueItem item, double weight);

  /// Removes and returns the next item that may start, if any.
  [[nodiscard]] std::optional<QueueItem> Pop(const SlotState& state);

  /// Removes an item. Returns whether it was queued.
  bool Remove(WorkId work);

  /// Removes and returns everything queued.
  [[nodiscard]] std::vector<WorkId> Clear();

  /// Expected wait of a new item: the expected run time of what is queued ahead
  /// of it, divided by the number of slots available.
  [[nodiscard]] Duration ExpectedWait(const SlotState& state,
                                      bool is_long) const;

  [[nodiscard]] std::size_t size() const noexcept { return size_; }

 private:
  struct ItemQueue {
    std::deque<QueueItem> items;
  };
  struct ServiceQueue {
    ItemQueue queues[2];  ///< short, long statements
    double weight = 1;
    double virtual_finish = 0;  ///< virtual finish time of the last item taken
  };

  [[nodiscard]] std::optional<QueueItem> Take(int length_class);
  [[nodiscard]] bool LongHasWaited(TimePoint now) const;

  std::map<ServiceId, ServiceQueue> services_;
  double virtual_time_ = 0;
  Duration queued_cost_[2] = {};  ///< of short, long statements
  std::size_t size_ = 0;
};

}  // namespace corianderdock
