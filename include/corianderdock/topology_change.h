/// \file
/// What changed in the platform's lists, so that peers need not send them
/// whole.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "corianderdock/topology.h"

namespace corianderdock {

/// All entries that may differ between two revisions of the lists.
struct TopologyChange {
  std::uint64_t digest = 0;  ///< of the whole lists after the change
  Topology entries;          ///< entries as they are now, and the revision
  std::set<ServerId> removed_servers;
  std::set<InstanceId> removed_instances;
};

/// Hash over all entries, the same on every instance; not over the revision.
[[nodiscard]] std::uint64_t DigestOf(const Topology& lists);

/// The lists after a change; nothing when they differ from the sender's, and
/// the whole lists are needed.
[[nodiscard]] std::optional<Topology> Apply(const Topology& lists,
                                            const TopologyChange& change);

/// Remembers at which revision each entry was last seen to change.
///
/// \code
/// TopologyLog log;
/// log.Record(before, after);
/// if (auto change = log.Since(revision, after)) Send(*change);
/// \endcode
///
/// Thread-compatible. Keeps at most a fixed number of removed entries.
class TopologyLog {
 public:
  /// Notes what differs. \pre `after` has a higher revision than `before`.
  void Record(const Topology& before, const Topology& after);

  /// Changes of `lists` after `revision`; nothing when that is too long ago.
  /// \pre `lists` were the last ones recorded as `after`.
  [[nodiscard]] std::optional<TopologyChange> Since(
      std::uint64_t revision, const Topology& lists) const;

 private:
  void Forget(const Topology& lists);

  std::map<ServerId, std::uint64_t> servers_;
  std::map<InstanceId, std::uint64_t> instances_;
  std::uint64_t complete_from_ = 0;  ///< revision since which all is noted
};

}  // namespace corianderdock
