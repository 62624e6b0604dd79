/// \file
/// Number of instances that mint tokens, and whether this one may.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "corianderdock/session/model.h"
#include "corianderdock/session/quota_bound.h"

namespace corianderdock::session {

/// The instances that share the tokens of all tenants, as this one knows them.
///
/// An instance counts from its first appearance in the list until
/// `member_retention` after it is first missing. This instance may mint once
/// all others count it: after it has been listed for `member_retention`, or
/// when all members of its list use the same list. It stops `evidence_validity`
/// after it was last listed or that was last so. Not thread-safe; times must
/// not decrease.
class QuotaMembers {
 public:
  QuotaMembers(InstanceId self, const QuotaOptions& options)
      : self_(std::move(self)), options_(options) {}

  /// Notes the list as read from the store. `self_listed`: the store has this
  /// instance's entry.
  void OnList(TimePoint now, const InstanceList& instances, bool self_listed);

  /// Notes that all members of the list with `digest` used it at `at`, and that
  /// none of them counts more than `members`.
  void OnAgreement(TimePoint at, std::uint64_t digest, std::size_t members);

  /// Number of instances counted, at least 1.
  [[nodiscard]] std::size_t Count(TimePoint now) const;

  /// Least length of the list within `member_retention`. No instance that mints
  /// counts fewer.
  [[nodiscard]] std::size_t LeastCount(TimePoint now) const;

  /// End of the time for which this instance may mint; in the past if not now.
  [[nodiscard]] TimePoint MintsUntil() const { return mints_until_; }

  /// Whether this instance may hold tokens of others.
  [[nodiscard]] bool MayHold(TimePoint now) const;

  /// Members of the list, in the order of their names.
  [[nodiscard]] const std::vector<InstanceId>& listed() const {
    return listed_;
  }

  /// Digest of the list; 0 before one was read, or without this instance.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }

  /// The brokers of the fleet; they change with `generation`.
  [[nodiscard]] const std::vector<InstanceId>& brokers() const {
    return brokers_;
  }

  /// Increases with each change of the list.
  [[nodiscard]] std::uint64_t generation() const { return generation_; }

  /// Returns the brokers in the order in which they serve `tenant`.
  [[nodiscard]] std::vector<InstanceId> BrokersOf(const TenantId& tenant) const;

 private:
  void NoteListed(TimePoint now);
  void ChooseBrokers(const InstanceList& instances);

  InstanceId self_;
  QuotaOptions options_;
  std::vector<InstanceId> listed_;
  std::vector<InstanceId> brokers_;
  std::uint64_t digest_ = 0;
  std::uint64_t generation_ = 0;
  /// Members that are no longer listed, and when they were first missing.
  std::map<InstanceId, TimePoint> missing_since_;
  /// Lengths of the list, and until when each was the last one read.
  std::deque<std::pair<TimePoint, std::size_t>> lengths_;
  std::optional<TimePoint> listed_since_;  ///< this instance, without a gap
  std::optional<TimePoint> last_listed_;   ///< this instance
  bool counted_ = false;  ///< by all others, while it stays listed
  TimePoint mints_until_;
  std::optional<TimePoint> agreed_at_;  ///< last agreement
  std::size_t agreed_members_ = 0;
};

}  // namespace corianderdock::session
