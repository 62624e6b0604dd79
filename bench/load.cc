#include "load.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <random>
#include <thread>

#include "corianderdock/codec.h"
#include "corianderdock/net/http_client.h"
#include "corianderdock/net/json_rpc.h"

namespace bench {

using corianderdock::Clock;
using corianderdock::TimePoint;

namespace {

constexpr int kThreadCount = 2;
constexpr Duration kLateThreshold = std::chrono::seconds(1);
constexpr Duration kResponseGrace = std::chrono::seconds(2);
constexpr std::size_t kSessionCount = 200;
constexpr double kLongStatementsPerSecond = 2;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::uint64_t Ms(Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(duration).count());
}

/// One planned request; `at` is its offset from the start of the load.
struct Arrival {
  Duration at{0};
  std::size_t stream = 0;
  std::size_t phase = 0;
  std::uint64_t number = 0;
};

std::vector<Arrival> PlanArrivals(const LoadSpec& spec) {
  std::vector<Arrival> plan;
  std::mt19937_64 random(spec.seed);
  for (std::size_t n = 0; n < spec.streams.size(); ++n) {
    Duration start{0};
    for (std::size_t phase = 0; phase < spec.phases.size(); ++phase) {
      const Phase& it = spec.phases[phase];
      const double factor = spec.streams[n].is_long ? 1 : it.multiplier;
      const double rate = spec.streams[n].rate * factor;
      if (rate > 0) {
        std::exponential_distribution<double> gap(rate);
        for (double at = gap(random); at < Seconds(it.length);
             at += gap(random)) {
          const auto offset = std::chrono::duration_cast<Duration>(
              std::chrono::duration<double>(at));
          plan.push_back({start + offset, n, phase, 0});
        }
      }
      start += it.length;
    }
  }
  std::sort(plan.begin(), plan.end(),
            [](const auto& a, const auto& b) { return a.at < b.at; });
  for (std::size_t n = 0; n < plan.size(); ++n) plan[n].number = n;
  return plan;
}

/// Sends one thread's share of the planned arrivals.
class Worker {
 public:
  Worker(const LoadSpec& spec, const std::vector<Arrival>& plan, int index,
         TimePoint start)
      : spec_(spec), plan_(plan), index_(index), start_(start), http_(io_) {
    tokens_.resize(kSessionCount);
    report_.phase_done.resize(spec.phases.size());
  }

  void Run() {
    next_arrival_ = static_cast<std::size_t>(index_);
    SendDueArrivals();
    io_.run();
  }

  LoadReport& report() { return report_; }
  std::map<std::string, std::vector<TimePoint>>& write_times() {
    return write_times_;
  }

 private:
  void SendDueArrivals() {
    while (next_arrival_ < plan_.size() &&
           start_ + plan_[next_arrival_].at <= Clock::now()) {
      Send(plan_[next_arrival_]);
      next_arrival_ += kThreadCount;
    }
    if (next_arrival_ >= plan_.size()) return;
    timer_.expires_at(start_ + plan_[next_arrival_].at);
    timer_.async_wait([this](boost::system::error_code) { SendDueArrivals(); });
  }

  void Send(const Arrival& arrival) {
    const Stream& stream = spec_.streams[arrival.stream];
    const std::size_t session = arrival.number % kSessionCount;
    const std::string id =
        "r" + std::to_string(spec_.seed) + "-" + std::to_string(arrival.number);
    Json::Value params;
    params["service"] = stream.service;
    params["kind"] = stream.kind;
    params["statement"] = stream.sql;
    params["token"] = tokens_[session];
    params["timeout_ms"] = Ms(spec_.timeout);
    if (stream.is_write) {
      params["request_id"] = id;
      params["parameters"].append(id);
    }
    ++Kind(stream).sent;
    const std::string& address =
        spec_.addresses[arrival.number % spec_.addresses.size()];
    http_.Post(
        address, "/", corianderdock::net::MakeRpcRequest("execute", params),
        spec_.timeout + kResponseGrace,
        [this, arrival, session, id](const corianderdock::net::HttpResult& it) {
          OnResult(arrival, session, id, it);
        });
  }

  KindReport& Kind(const Stream& stream) {
    return report_.kinds[stream.service + "/" + stream.kind];
  }

  void OnResult(const Arrival& arrival, std::size_t session,
                const std::string& id,
                const corianderdock::net::HttpResult& result) {
    const Stream& stream = spec_.streams[arrival.stream];
    KindReport& kind = Kind(stream);
    const TimePoint now = Clock::now();
    const auto value = corianderdock::ParseJson(result.body);
    if (!result.ok || !value || !value->isObject()) {
      ++kind.lost;
      return;
    }
    if (value->isMember("error")) {
      const Json::Value& data = (*value)["error"]["data"];
      const std::string outcome = data["outcome"].asString();
      ++report_.reasons[outcome + ":" + data["reason"].asString()];
      if (outcome == "not_run") {
        ++kind.not_run;
        if (stream.is_write) report_.not_run_ids.push_back(id);
      } else if (outcome == "unknown") {
        ++kind.unknown;
      } else {
        ++kind.failed;
      }
      return;
    }
    const Json::Value& answer = (*value)["result"];
    const Duration latency = now - (start_ + arrival.at);
    ++kind.done;
    ++report_.phase_done[arrival.phase];
    kind.latency.Record(latency);
    if (latency > kLateThreshold) ++kind.late;
    if (answer["from_replica"].asBool()) ++kind.from_replica;
    tokens_[session] = answer["token"].asString();
    if (stream.is_write) {
      report_.done_ids.push_back(id);
      write_times_[stream.service].push_back(now);
    }
  }

  const LoadSpec& spec_;
  const std::vector<Arrival>& plan_;
  int index_;
  TimePoint start_;
  boost::asio::io_context io_{1};
  boost::asio::steady_timer timer_{io_};
  corianderdock::net::HttpClient http_;
  std::size_t next_arrival_ = 0;
  std::vector<std::string> tokens_;
  LoadReport report_;
  std::map<std::string, std::vector<TimePoint>> write_times_;
};

void Merge(LoadReport& into, LoadReport& from) {
  for (auto& [name, it] : from.kinds) {
    KindReport& kind = into.kinds[name];
    kind.sent += it.sent;
    kind.done += it.done;
    kind.not_run += it.not_run;
    kind.unknown += it.unknown;
    kind.failed += it.failed;
    kind.lost += it.lost;
    kind.late += it.late;
    kind.from_replica += it.from_replica;
    kind.latency.Add(it.latency);
  }
  for (const auto& [name, n] : from.reasons) into.reasons[name] += n;
  into.done_ids.insert(into.done_ids.end(), from.done_ids.begin(),
                       from.done_ids.end());
  into.not_run_ids.insert(into.not_run_ids.end(), from.not_run_ids.begin(),
                          from.not_run_ids.end());
  for (std::size_t n = 0; n < from.phase_done.size(); ++n) {
    into.phase_done[n] += from.phase_done[n];
  }
}

Duration LongestGap(std::vector<TimePoint> times, TimePoint start,
                    TimePoint end) {
  times.push_back(start);
  times.push_back(end);
  std::sort(times.begin(), times.end());
  Duration longest{0};
  for (std::size_t n = 1; n < times.size(); ++n) {
    longest = std::max(longest, times[n] - times[n - 1]);
  }
  return longest;
}

}  // namespace

std::vector<Stream> TypicalStreams(double rate, LongWork work) {
  std::vector<Stream> streams = {
      {"claims", "claim", true, false,
       "INSERT INTO claim (request, stock) VALUES ($1, 1)", rate * 0.15},
      {"claims", "stock", false, false,
       "SELECT left_over FROM stock WHERE id = 7", rate * 0.1},
      {"catalogue", "browse", false, false,
       "SELECT id, left_over FROM stock WHERE id < 5", rate * 0.55},
      {"dispatch", "consignment", true, false,
       "INSERT INTO claim (request, stock) VALUES ($1, 2)", rate * 0.1},
      {"dispatch", "lookup", false, false,
       "SELECT count(*) FROM stock WHERE id < 3", rate * 0.1},
  };
  if (work != LongWork::kNone) {
    const std::string report = "SELECT pg_sleep(0.25), count(*) FROM claim";
    streams.push_back({"claims", work == LongWork::kAudits ? "audit" : "report",
                       false, true, report, kLongStatementsPerSecond});
    streams.push_back(
        {"catalogue", "report", false, true, report, kLongStatementsPerSecond});
  }
  return streams;
}

LoadReport RunLoad(const LoadSpec& spec) {
  const std::vector<Arrival> plan = PlanArrivals(spec);
  const TimePoint start = Clock::now() + Milliseconds(50);
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::thread> threads;
  workers.reserve(kThreadCount);
  threads.reserve(kThreadCount);
  for (int n = 0; n < kThreadCount; ++n) {
    workers.push_back(std::make_unique<Worker>(spec, plan, n, start));
  }
  for (auto& it : workers) threads.emplace_back([&it] { it->Run(); });
  for (const auto& [at, action] : spec.actions) {
    std::this_thread::sleep_until(start + at);
    action();
  }
  for (auto& it : threads) it.join();
  LoadReport report;
  report.phases = spec.phases;
  report.phase_done.resize(spec.phases.size());
  std::map<std::string, std::vector<TimePoint>> times;
  for (auto& it : workers) {
    Merge(report, it->report());
    for (auto& [service, list] : it->write_times()) {
      auto& all = times[service];
      all.insert(all.end(), list.begin(), list.end());
    }
  }
  Duration length{0};
  for (const auto& it : spec.phases) length += it.length;
  for (const auto& [service, list] : times) {
    report.longest_gap[service] = LongestGap(list, start, start + length);
  }
  return report;
}

double LoadReport::ReplicaShare() const {
  std::uint64_t done = 0;
  std::uint64_t replica = 0;
  for (const auto& [name, it] : kinds) {
    const bool has_staleness_bound =
        name.ends_with("/browse") || name.ends_with("/lookup");
    if (!has_staleness_bound) continue;
    done += it.done;
    replica += it.from_replica;
  }
  return done == 0 ? 0
                   : static_cast<double>(replica) / static_cast<double>(done);
}

Json::Value LoadReport::ToJson() const {
  Json::Value out;
  for (const auto& [name, it] : kinds) {
    Json::Value& kind = out["kinds"][name];
    kind["sent"] = it.sent;
    kind["done"] = it.done;
    kind["not_run"] = it.not_run;
    kind["unknown"] = it.unknown;
    kind["failed"] = it.failed;
    kind["lost"] = it.lost;
    kind["late"] = it.late;
    kind["from_replica"] = it.from_replica;
    kind["p50_ms"] = Seconds(it.latency.Quantile(0.5)) * 1e3;
    kind["p99_ms"] = Seconds(it.latency.Quantile(0.99)) * 1e3;
  }
  out["replica_share"] = ReplicaShare();
  for (const auto& [service, gap] : longest_gap) {
    out["longest_gap_ms"][service] = Ms(gap);
  }
  for (const auto& [reason, n] : reasons) {
    out["reasons"][reason] = n;
  }
  for (std::size_t n = 0; n < phase_done.size(); ++n) {
    Json::Value phase;
    phase["multiplier"] = phases[n].multiplier;
    phase["goodput"] =
        static_cast<double>(phase_done[n]) / Seconds(phases[n].length);
    out["phases"].append(phase);
  }
  return out;
}

}  // namespace bench
