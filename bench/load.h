/// \file
/// Open-loop load: arrivals do not wait for answers, and latency is measured
/// from the planned time of sending.
#pragma once

#include <json/json.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "corianderdock/metrics.h"
#include "corianderdock/types.h"

namespace bench {

using corianderdock::Duration;
using corianderdock::Milliseconds;

/// One kind of statement and the rate at which it arrives.
struct Stream {
  std::string service;
  std::string kind;
  bool is_write = false;
  bool is_long = false;  ///< rate does not follow the phase multiplier
  std::string sql;       ///< in writes, `$1` is the request id
  double rate = 0;       ///< statements per second at multiplier 1
};

/// Interval with a constant multiplier of the rates.
struct Phase {
  Duration length{0};
  double multiplier = 1;
};

struct LoadSpec {
  std::vector<std::string> addresses;  ///< client addresses, used in turn
  std::vector<Stream> streams;
  std::vector<Phase> phases;
  std::uint64_t seed = 1;
  Duration timeout = std::chrono::seconds(3);
  /// Callbacks, such as faults, in order of their offset from the start.
  std::vector<std::pair<Duration, std::function<void()>>> actions;
};

/// Counts by outcome, and latencies, of one kind.
struct KindReport {
  std::uint64_t sent = 0;
  std::uint64_t done = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t failed = 0;
  std::uint64_t lost = 0;  ///< no valid response
  std::uint64_t late = 0;  ///< done, but after more than 1 s
  std::uint64_t from_replica = 0;
  corianderdock::LatencyHistogram latency;  ///< of done requests
};

struct LoadReport {
  std::map<std::string, KindReport> kinds;  ///< by SERVICE/KIND
  /// Longest time between completed writes, by service.
  std::map<std::string, Duration> longest_gap;
  std::vector<std::string> done_ids;      ///< request ids of completed writes
  std::vector<std::string> not_run_ids;   ///< request ids refused as not run
  std::vector<std::uint64_t> phase_done;  ///< done requests by phase of arrival
  std::map<std::string, std::uint64_t> reasons;  ///< by OUTCOME:REASON
  std::vector<Phase> phases;

  /// Share of the short bounded-staleness reads that replicas served, 0 to 1.
  [[nodiscard]] double ReplicaShare() const;
  [[nodiscard]] Json::Value ToJson() const;
};

/// Long-running reads in a load.
enum class LongWork {
  kNone,
  kReports,  ///< bounded staleness, so that replicas may serve them
  kAudits,   ///< latest data, so that they run on the claims primary
};

/// Typical workload of a deployment: claims, catalogue, dispatch and
/// long-running reads. `rate` is the total of the short statements per second
/// at multiplier 1.
[[nodiscard]] std::vector<Stream> TypicalStreams(double rate, LongWork work);

/// Runs a load and returns when every request has been answered or timed out.
[[nodiscard]] LoadReport RunLoad(const LoadSpec& spec);

}  // namespace bench
