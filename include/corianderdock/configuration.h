/// \file
/// The sheet in force: kept at the highest version seen, never reverted.
#pragma once

#include <optional>
#include <string>

#include "corianderdock/detail/context.h"
#include "corianderdock/gossip.h"
#include "corianderdock/sheet.h"

namespace corianderdock {

/// Installs accepted sheets and asks peers for newer ones. Confined to the
/// control thread.
class Configuration {
 public:
  /// \pre `context` outlives this object.
  explicit Configuration(detail::Context& context);

  /// Puts a sheet in force when its version is higher and it parses. Returns
  /// whether it did.
  bool Install(const AcceptedSheet& accepted);

  /// Compares a peer's versions with ours and fetches what is newer there.
  void OnPeerVersions(const Gossip& gossip, std::uint64_t known_topology);

  /// A fetch or poll has ended; another may start.
  void OnFetched() { fetching_until_.reset(); }

  /// \return null when the sheet in force does not name `id`.
  [[nodiscard]] const Service* Find(const ServiceId& id) const;

  [[nodiscard]] const AcceptedSheet& accepted() const noexcept {
    return accepted_;
  }
  [[nodiscard]] const Sheet& sheet() const noexcept { return sheet_; }
  [[nodiscard]] bool loaded() const noexcept { return accepted_.version > 0; }

  /// Shortest non-zero age promised for reads of `group`.
  [[nodiscard]] std::optional<Duration> ShortestAge(const GroupId& group) const;

 private:
  detail::Context& context_;
  AcceptedSheet accepted_;
  Sheet sheet_;
  std::map<GroupId, Duration> shortest_age_;
  std::optional<TimePoint> fetching_until_;
};

}  // namespace corianderdock
