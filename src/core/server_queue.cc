#include "corianderdock/server_queue.h"

#include <algorithm>

namespace corianderdock {

namespace {

constexpr int kShort = 0;
constexpr int kLong = 1;
constexpr Duration kLongWaitBeforePriority = std::chrono::seconds(1);

double CostOf(const QueueItem& item) {
  const double ms =
      std::chrono::duration<double, std::milli>(item.cost).count();
  return std::max(ms, 0.1);
}

}  // namespace

void ServerQueue::Push(QueueItem item, double weight) {
  ServiceQueue& service = services_[item.service];
  service.weight = std::max(weight, 1e-6);
  const bool idle = service.queues[kShort].items.empty() &&
                    service.queues[kLong].items.empty();
  if (idle) {
    service.virtual_finish = std::max(service.virtual_finish, virtual_time_);
  }
  const int length_class = item.is_long ? kLong : kShort;
  queued_cost_[length_class] += item.cost;
  service.queues[length_class].items.push_back(std::move(item));
  ++size_;
}

std::optional<QueueItem> ServerQueue::Pop(const SlotState& state) {
  if (state.running >= state.slots + state.prefetch) return std::nullopt;
  const int long_limit =
      state.cap_long ? std::max(state.slots - 1, 1) : state.slots;
  const bool long_may_start =
      state.running < state.slots && state.running_long < long_limit;
  if (long_may_start && state.running_long == 0 && LongHasWaited(state.now)) {
    return Take(kLong);
  }
  if (auto item = Take(kShort)) return item;
  if (!long_may_start) return std::nullopt;
  return Take(kLong);
}

bool ServerQueue::LongHasWaited(TimePoint now) const {
  return std::any_of(services_.begin(), services_.end(), [now](const auto& it) {
    const auto& items = it.second.queues[kLong].items;
    return !items.empty() &&
           now - items.front().enqueued >= kLongWaitBeforePriority;
  });
}

std::optional<QueueItem> ServerQueue::Take(int length_class) {
  ServiceQueue* best = nullptr;
  for (auto& [id, service] : services_) {
    if (service.queues[length_class].items.empty()) continue;
    if (best == nullptr || service.virtual_finish < best->virtual_finish) {
      best = &service;
    }
  }
  if (best == nullptr) return std::nullopt;
  QueueItem item = std::move(best->queues[length_class].items.front());
  best->queues[length_class].items.pop_front();
  queued_cost_[length_class] -= item.cost;
  virtual_time_ = std::max(virtual_time_, best->virtual_finish);
  best->virtual_finish += CostOf(item) / best->weight;
  --size_;
  return item;
}

bool ServerQueue::Remove(WorkId work) {
  for (auto& [id, service] : services_) {
    for (int length_class : {kShort, kLong}) {
      auto& items = service.queues[length_class].items;
      const auto it = std::find_if(
          items.begin(), items.end(),
          [work](const QueueItem& item) { return item.work == work; });
      if (it == items.end()) continue;
      queued_cost_[length_class] -= it->cost;
      items.erase(it);
      --size_;
      return true;
    }
  }
  return false;
}

std::vector<WorkId> ServerQueue::Clear() {
  std::vector<WorkId> work_ids;
  for (auto& [id, service] : services_) {
    for (auto& queue : service.queues) {
      for (const auto& it : queue.items) work_ids.push_back(it.work);
    }
  }
  services_.clear();
  queued_cost_[kShort] = queued_cost_[kLong] = Duration(0);
  size_ = 0;
  return work_ids;
}

Duration ServerQueue::ExpectedWait(const SlotState& state, bool is_long) const {
  const int slots = std::max(state.slots, 1);
  if (!is_long) return queued_cost_[kShort] / slots;
  const int long_slots = state.cap_long ? std::max(slots - 1, 1) : slots;
  return queued_cost_[kShort] / slots + queued_cost_[kLong] / long_slots;
}

}  // namespace corianderdock
