/// \file
/// The sheet in force. Its version never decreases.
#pragma once

#include <optional>
#include <string>

#include "corianderdock/detail/context.h"
#include "corianderdock/gossip.h"
#include "corianderdock/sheet.h"

namespace corianderdock {

/// Installs accepted sheets and fetches newer ones from peers. Not thread-safe;
/// confined to the control thread.
class Configuration {
 public:
  /// \pre `context` outlives this object.
  explicit Configuration(detail::Context& context);

  /// Puts a sheet in force if its version is higher and it is valid. Returns
  /// whether it did.
  bool Install(const AcceptedSheet& accepted);

  /// Fetches the sheet and topology from a peer that has newer versions.
  void OnPeerVersions(const Gossip& gossip, std::uint64_t known_topology);

  /// Handles the end of a fetch or poll; the next one may start.
  void OnFetched() { fetch_expires_.reset(); }

  /// \return null when the sheet in force does not name `id`.
  [[nodiscard]] const Service* Find(const ServiceId& id) const;

  [[nodiscard]] const AcceptedSheet& accepted() const noexcept {
    return accepted_;
  }
  [[nodiscard]] const Sheet& sheet() const noexcept { return sheet_; }
  [[nodiscard]] bool loaded() const noexcept { return accepted_.version > 0; }

  /// Lowest non-zero `max_age` of the reads of `group`; nothing if there is
  /// none.
  [[nodiscard]] std::optional<Duration> ShortestStalenessBound(
      const GroupId& group) const;

 private:
  detail::Context& context_;
  AcceptedSheet accepted_;
  Sheet sheet_;
  std::map<GroupId, Duration> shortest_staleness_bound_;
  /// When the running fetch times out.
  std::optional<TimePoint> fetch_expires_;
};

}  // namespace corianderdock
