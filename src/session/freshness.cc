#include "corianderdock/session/freshness.h"

#include <algorithm>

namespace corianderdock::session {

namespace {

/// Samples closer together than this are redundant, as a read may use either.
constexpr Duration kSampleSpacing = std::chrono::milliseconds(20);

bool IsLater(Position a, Position b) {
  return a.term != b.term ? a.term > b.term : a.index > b.index;
}

}  // namespace

void FreshnessSamples::Add(Position position, TimePoint sent) {
  const auto at = std::upper_bound(
      samples_.begin(), samples_.end(), sent,
      [](TimePoint t, const Sample& it) { return t < it.sent; });
  if (at != samples_.begin()) {
    const Sample& before = *std::prev(at);
    if (sent - before.sent < kSampleSpacing && at != samples_.end()) return;
  }
  samples_.insert(at, {sent, position});
}

std::optional<Position> FreshnessSamples::PositionCovering(
    TimePoint since) const {
  const auto at = std::lower_bound(
      samples_.begin(), samples_.end(), since,
      [](const Sample& it, TimePoint t) { return it.sent < t; });
  if (at == samples_.end()) return std::nullopt;
  return at->position;
}

void FreshnessSamples::DiscardBefore(TimePoint before) {
  while (!samples_.empty() && samples_.front().sent < before) {
    samples_.pop_front();
  }
}

std::optional<TimePoint> FreshnessSamples::NewestSendTime() const {
  if (samples_.empty()) return std::nullopt;
  return samples_.back().sent;
}

std::optional<Position> LaterPosition(std::optional<Position> a,
                                      std::optional<Position> b) {
  if (!a) return b;
  if (!b) return a;
  return IsLater(*a, *b) ? a : b;
}

}  // namespace corianderdock::session
