/// \file
/// Incremental topology updates, so that peers need not send whole topologies.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "corianderdock/topology.h"

namespace corianderdock {

/// All entries that may differ between two revisions of a topology.
struct TopologyChange {
  std::uint64_t digest = 0;  ///< of the whole topology after the change
  Topology entries;          ///< changed entries, at the new revision
  std::set<ServerId> removed_servers;
  std::set<InstanceId> removed_instances;
};

/// Hash of all entries, the same on every instance. Ignores the revision.
[[nodiscard]] std::uint64_t ComputeDigest(const Topology& topology);

/// Applies a change. Returns nothing if the result does not match the sender's
/// digest; the whole topology must be fetched then.
[[nodiscard]] std::optional<Topology> Apply(const Topology& topology,
                                            const TopologyChange& change);

/// Records the revision at which each entry was last seen to change.
///
/// \code
/// TopologyLog log;
/// log.Record(before, after);
/// if (auto change = log.Since(revision, after)) Send(*change);
/// \endcode
///
/// Thread-compatible. The number of removed entries that it keeps is bounded.
class TopologyLog {
 public:
  /// Records the entries that differ.
  /// \pre `after` has a higher revision than `before`.
  void Record(const Topology& before, const Topology& after);

  /// Changes of `topology` after `revision`; nothing if the record does not
  /// reach back to `revision`.
  /// \pre `topology` was the last one recorded as `after`.
  [[nodiscard]] std::optional<TopologyChange> Since(
      std::uint64_t revision, const Topology& topology) const;

 private:
  void Reset(const Topology& topology);

  std::map<ServerId, std::uint64_t> server_revisions_;
  std::map<InstanceId, std::uint64_t> instance_revisions_;
  /// All changes after this revision are recorded.
  std::uint64_t complete_from_ = 0;
};

}  // namespace corianderdock
