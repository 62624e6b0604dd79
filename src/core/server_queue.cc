#include "corianderdock/server_queue.h"

#include <algorithm>

namespace corianderdock {

namespace {

constexpr int kShort = 0;
constexpr int kLong = 1;
constexpr Duration kLongPatience = std::chrono::seconds(1);

double CostOf(const QueueItem& item) {
  const double ms =
      std::chrono::duration<double, std::milli>(item.cost).count();
  return std::max(ms, 0.1);
}

}  // namespace

void ServerQueue::Push(QueueItem item, double weight) {
  ServiceQueue& service = services_[item.service];
  service.weight = std::max(weight, 1e-6);
  const bool idle =
      service.lanes[kShort].items.empty() && service.lanes[kLong].items.empty();
  if (idle) service.finish = std::max(service.finish, virtual_time_);
  const int lane = item.is_long ? kLong : kShort;
  queued_cost_[lane] += item.cost;
  service.lanes[lane].items.push_back(std::move(item));
  ++size_;
}

std::optional<QueueItem> ServerQueue::Pop(const SlotState& state) {
  if (state.running >= state.slots + state.prefetch) return std::nullopt;
  const int long_limit =
      state.cap_long ? std::max(state.slots - 1, 1) : state.slots;
  const bool long_may_start =
      state.running < state.slots && state.running_long < long_limit;
  if (long_may_start && state.running_long == 0 && LongIsDue(state.now)) {
    return Take(kLong);
  }
  if (auto item = Take(kShort)) return item;
  if (!long_may_start) return std::nullopt;
  return Take(kLong);
}

bool ServerQueue::LongIsDue(TimePoint now) const {
  return std::any_of(services_.begin(), services_.end(), [now](const auto& it) {
    const auto& items = it.second.lanes[kLong].items;
    return !items.empty() && now - items.front().enqueued >= kLongPatience;
  });
}

std::optional<QueueItem> ServerQueue::Take(int lane) {
  ServiceQueue* best = nullptr;
  for (auto& [id, service] : services_) {
    if (service.lanes[lane].items.empty()) continue;
    if (best == nullptr || service.finish < best->finish) best = &service;
  }
  if (best == nullptr) return std::nullopt;
  QueueItem item = std::move(best->lanes[lane].items.front());
  best->lanes[lane].items.pop_front();
  queued_cost_[lane] -= item.cost;
  virtual_time_ = std::max(virtual_time_, best->finish);
  best->finish += CostOf(item) / best->weight;
  --size_;
  return item;
}

bool ServerQueue::Remove(WorkId work) {
  for (auto& [id, service] : services_) {
    for (int lane : {kShort, kLong}) {
      auto& items = service.lanes[lane].items;
      const auto it = std::find_if(
          items.begin(), items.end(),
          [work](const QueueItem& item) { return item.work == work; });
      if (it == items.end()) continue;
      queued_cost_[lane] -= it->cost;
      items.erase(it);
      --size_;
      return true;
    }
  }
  return false;
}

std::vector<WorkId> ServerQueue::Clear() {
  std::vector<WorkId> works;
  for (auto& [id, service] : services_) {
    for (auto& lane : service.lanes) {
      for (const auto& it : lane.items) works.push_back(it.work);
    }
  }
  services_.clear();
  queued_cost_[kShort] = queued_cost_[kLong] = Duration(0);
  size_ = 0;
  return works;
}

Duration ServerQueue::ExpectedWait(const SlotState& state, bool is_long) const {
  const int slots = std::max(state.slots, 1);
  if (!is_long) return queued_cost_[kShort] / slots;
  const int long_slots = state.cap_long ? std::max(slots - 1, 1) : slots;
  return queued_cost_[kShort] / slots + queued_cost_[kLong] / long_slots;
}

}  // namespace corianderdock
