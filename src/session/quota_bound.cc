#include "corianderdock/session/quota_bound.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace corianderdock::session {

namespace {

/// Part of all caps for the instances' own stocks. Where an instance's part
/// would be a few tokens, most are kept where every instance can draw them.
constexpr double kOwnPart = 0.7;
constexpr double kSmallOwnPart = 0.25;
/// Tokens for each instance below which `kSmallOwnPart` applies.
constexpr double kSmallCap = 2;
/// Parts of the brokers' caps, by rank. They add up to a half, so that the
/// brokers of two lists of instances hold no more than all.
constexpr std::array<double, 3> kBrokerParts = {0.40, 0.07, 0.03};

}  // namespace

QuotaCaps CapsOf(const Tenant& tenant, const QuotaOptions& options,
                 std::size_t members) {
  const QuotaBound& bound = options.bound;
  const auto seconds = [](Duration it) {
    return std::chrono::duration<double>(it).count();
  };
  const double allowed =
      tenant.burst * (1 + bound.excess) +
      bound.excess * tenant.rate_per_s * seconds(bound.window) + bound.slack;
  const double starting = tenant.rate_per_s * seconds(options.start_delay);
  const double all = allowed - std::min(starting, allowed / 2);
  const auto n = static_cast<double>(std::max<std::size_t>(members, 1));
  const double part = all / n < kSmallCap ? kSmallOwnPart : kOwnPart;
  return {all * part / n, all * (1 - part)};
}

double BrokerPart(std::size_t rank) {
  return rank < kBrokerParts.size() ? kBrokerParts.at(rank) : 0;
}

}  // namespace corianderdock::session
