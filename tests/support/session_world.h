/// \file
/// Session proxies before fake servers in virtual time, with every promise
/// checked from what servers ran and clients were told.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "corianderdock/session/proxy.h"

namespace corianderdock::test {

/// Limits and chances of a run.
struct WorldOptions {
  int instances = 3;
  int clients_per_instance = 12;  ///< for each instance
  Duration duration = std::chrono::seconds(6);
  Duration lag = std::chrono::milliseconds(20);
  Duration promotion_time = std::chrono::milliseconds(300);
  double faults_per_second = 1.5;
  double lost_reply_rate = 0.01;
  std::uint64_t seed = 1;
  session::ProxyOptions proxy;
};

/// What a run found.
struct WorldResult {
  std::vector<std::string> violations;  ///< promise and circumstances
  int succeeded = 0;
  int refused = 0;
  int unsure = 0;
  int promotions = 0;
  int replica_reads = 0;
  Duration longest_commit_gap{0};  ///< without a commit of the one service
};

/// Plays one random schedule.
[[nodiscard]] WorldResult RunSessionSchedule(const WorldOptions& options);

}  // namespace corianderdock::test
