#include "corianderdock/session/quota_members.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <utility>

#include "corianderdock/detail/hash.h"

namespace corianderdock::session {

namespace {

/// Least share of a processor that an entry counts with.
constexpr double kMinShare = 0.01;

/// Rank for weighted rendezvous hashing; the lowest is chosen, in proportion to
/// the weights.
double RankOf(const std::string& a, const std::string& b, double weight) {
  const auto hash = static_cast<double>(detail::HashPair(a, b));
  constexpr auto kMax =
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return -std::log((hash + 1) / (kMax + 2)) / std::max(weight, kMinShare);
}

}  // namespace

void QuotaMembers::OnList(TimePoint now, const InstanceList& instances,
                          bool self_listed) {
  if (self_listed && instances.contains(self_)) {
    NoteListed(now);
  } else {
    listed_since_.reset();
    counted_ = false;
  }
  std::vector<InstanceId> listed;
  for (const auto& [id, entry] : instances) listed.push_back(id);
  for (const InstanceId& it : listed_) {
    if (!instances.contains(it)) missing_since_.try_emplace(it, now);
  }
  std::erase_if(missing_since_, [&](const auto& it) {
    return instances.contains(it.first) ||
           now - it.second >= options_.member_retention;
  });
  digest_ = 0;
  if (listed_since_) {
    std::string text;
    for (const InstanceId& it : listed) text += it + "\n";
    digest_ = detail::HashPair("instances", text);
  }
  if (listed == listed_) return;
  if (generation_ > 0) lengths_.emplace_back(now, listed_.size());
  while (!lengths_.empty() &&
         now - lengths_.front().first >= options_.member_retention) {
    lengths_.pop_front();
  }
  listed_ = std::move(listed);
  ++generation_;
  ChooseBrokers(instances);
}

void QuotaMembers::NoteListed(TimePoint now) {
  // Without contact, this instance may have been missing meanwhile.
  const bool gap =
      last_listed_ && now - *last_listed_ >= options_.evidence_validity;
  if (gap || !listed_since_) listed_since_ = now;
  last_listed_ = now;
  // Others count an instance that returns before they have dropped it.
  counted_ = now < mints_until_ || (counted_ && !gap) ||
             now - *listed_since_ >= options_.member_retention;
  if (counted_) mints_until_ = now + options_.evidence_validity;
}

void QuotaMembers::ChooseBrokers(const InstanceList& instances) {
  std::vector<std::pair<double, InstanceId>> ranks;
  for (const auto& [id, entry] : instances) {
    ranks.emplace_back(RankOf(id, "broker", entry.processor_share), id);
  }
  std::sort(ranks.begin(), ranks.end());
  const std::size_t wanted = std::clamp<std::size_t>(
      ranks.size() / options_.instances_per_broker, 1, options_.max_brokers);
  ranks.resize(std::min(ranks.size(), wanted));
  brokers_.clear();
  for (auto& [rank, id] : ranks) brokers_.push_back(std::move(id));
}

void QuotaMembers::OnAgreement(TimePoint at, std::uint64_t digest,
                               std::size_t members) {
  if (digest == 0 || digest != digest_) return;
  agreed_at_ = agreed_at_ ? std::max(*agreed_at_, at) : at;
  agreed_members_ = members;
  counted_ = true;
  mints_until_ = std::max(mints_until_, at + options_.evidence_validity);
}

std::size_t QuotaMembers::Count(TimePoint now) const {
  std::size_t count = std::max<std::size_t>(listed_.size(), 1);
  for (const auto& [id, since] : missing_since_) {
    if (now - since < options_.member_retention) ++count;
  }
  const bool agreed =
      agreed_at_ && now - *agreed_at_ < options_.member_retention;
  return agreed ? std::max(count, agreed_members_) : count;
}

bool QuotaMembers::MayHold(TimePoint now) const {
  if (now < mints_until_) return true;
  return last_listed_ && now - *last_listed_ < options_.evidence_validity;
}

std::size_t QuotaMembers::LeastCount(TimePoint now) const {
  std::size_t least = std::max<std::size_t>(listed_.size(), 1);
  for (const auto& [until, length] : lengths_) {
    if (now - until < options_.member_retention) {
      least = std::min(least, std::max<std::size_t>(length, 1));
    }
  }
  return least;
}

std::vector<InstanceId> QuotaMembers::BrokersOf(const TenantId& tenant) const {
  std::vector<std::pair<std::uint64_t, InstanceId>> ranks;
  for (const InstanceId& it : brokers_) {
    ranks.emplace_back(detail::HashPair(tenant, it), it);
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<InstanceId> ordered;
  ordered.reserve(ranks.size());
  for (auto& [rank, id] : ranks) ordered.push_back(std::move(id));
  return ordered;
}

}  // namespace corianderdock::session
