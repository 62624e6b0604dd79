#include "corianderdock/session/config_freshness.h"

#include <algorithm>

namespace corianderdock::session {

void ConfigFreshness::NoteVersion(std::uint64_t version) {
  version_ = std::max(version_, version);
}

void ConfigFreshness::Confirm(std::uint64_t version, TimePoint as_of) {
  if (version < version_) return;
  version_ = version;
  as_of_ = std::max(as_of_.value_or(as_of), as_of);
}

std::optional<Duration> ConfigFreshness::AgeAt(TimePoint now) const {
  if (!as_of_) return std::nullopt;
  return now - *as_of_;
}

bool ConfigFreshness::IsYounger(TimePoint now, Duration limit) const {
  return as_of_ && now - *as_of_ < limit;
}

}  // namespace corianderdock::session
