/// \file
/// Open-loop load: arrivals do not wait for answers, and latency counts from
/// the intended start.
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

/// One kind of statement and its share of the load.
struct Stream {
  std::string service;
  std::string kind;
  bool is_write = false;
  bool is_long = false;
  std::string sql;  ///< `$1` is the request id for writes
  double rate = 0;  ///< per second at multiplier 1
};

/// Demand over a stretch of time.
struct Phase {
  Duration length{0};
  double multiplier = 1;
};

struct LoadSpec {
  std::vector<std::string> addresses;  ///< callers' addresses, used in turn
  std::vector<Stream> streams;
  std::vector<Phase> phases;
  std::uint64_t seed = 1;
  Duration timeout = std::chrono::seconds(3);
  std::vector<std::pair<Duration, std::function<void()>>> actions;
};

/// Counts and latencies of one kind.
struct KindReport {
  std::uint64_t sent = 0;
  std::uint64_t done = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t failed = 0;
  std::uint64_t lost = 0;  ///< no answer at all
  std::uint64_t late = 0;  ///< done after more than a second
  std::uint64_t from_replica = 0;
  corianderdock::LatencyHistogram latency;  ///< of done requests
};

struct LoadReport {
  std::map<std::string, KindReport> kinds;      ///< by SERVICE/KIND
  std::map<std::string, Duration> longest_gap;  ///< between done writes
  std::vector<std::string> done_ids;            ///< request ids of done writes
  std::vector<std::string> not_run_ids;   ///< request ids refused as not run
  std::vector<std::uint64_t> phase_done;  ///< done requests by phase of start
  std::map<std::string, std::uint64_t> reasons;
  std::vector<Phase> phases;

  /// Share of the short reads of stated age that replicas served, 0 to 1.
  [[nodiscard]] double ReplicaShare() const;
  [[nodiscard]] Json::Value ToJson() const;
};

/// Long work in a load.
enum class LongWork {
  kNone,
  kReports,  ///< of stated age, so that replicas may run them
  kAudits,   ///< of the latest data, so that they run where claims do
};

/// Typical workload of a deployment: claims, catalogue, dispatch and long
/// work. `rate` is the total of the short work at multiplier 1.
[[nodiscard]] std::vector<Stream> TypicalStreams(double rate, LongWork work);

/// Runs a load to its end.
[[nodiscard]] LoadReport RunLoad(const LoadSpec& spec);

}  // namespace bench
