#include "experiments.h"

#include <signal.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <thread>
#include <vector>

#include "capacity.h"
#include "cluster.h"
#include "comparison.h"
#include "corianderdock/codec.h"
#include "load.h"
#include "report.h"

namespace bench {

using corianderdock::Clock;

namespace {

// Rates in statements per second.
constexpr double kBaseRate = 150;
// Ten times this rate saturates the servers.
constexpr double kOverloadBaseRate = 250;
// Close to the capacity of the servers.
constexpr double kNearSaturationRate = 900;
constexpr Duration kOverloadTimeout = std::chrono::seconds(1);

std::vector<double> MeasureNearSaturation(const ExperimentRun& run,
                                          const Deployment& deployment,
                                          Json::Value& raw) {
  Cluster cluster(deployment);
  LoadSpec spec =
      MakeLoadSpec(cluster, run, kNearSaturationRate, LongWork::kAudits);
  spec.timeout = kOverloadTimeout;
  const LoadReport report = RunLoad(spec);
  raw = report.ToJson();
  const double goodput =
      static_cast<double>(SumOverKinds(report, &KindReport::done)) /
      run.seconds;
  return {goodput,
          P99Ms(report, "claims/claim"),
          P99Ms(report, "catalogue/browse"),
          static_cast<double>(SumOverKinds(report, &KindReport::not_run)),
          static_cast<double>(SumOverKinds(report, &KindReport::unknown) +
                              SumOverKinds(report, &KindReport::failed)),
          static_cast<double>(PeakConnectionDemand(cluster))};
}

const std::vector<std::string> kNearSaturationColumns = {
    "done/s",          "claim p99 ms",      "browse p99 ms",
    "refused not run", "unknown or failed", "most connections"};

void RunScheduler(const ExperimentRun& run) {
  CompareVariants(run,
                  {{"one scheduler per server", "shared_scheduler", true},
                   {"static shares per instance", "shared_scheduler", false}},
                  kNearSaturationColumns, MeasureNearSaturation);
}

void RunBinding(const ExperimentRun& run) {
  CompareVariants(
      run,
      {{"bound when a slot frees, one ahead", "late_binding", true, 1},
       {"bound when a slot frees", "late_binding", true, 0},
       {"pushed at once", "late_binding", false, 1}},
      kNearSaturationColumns, MeasureNearSaturation);
}

std::vector<double> MeasureLongWork(const ExperimentRun& run,
                                    const Deployment& deployment,
                                    Json::Value& raw) {
  constexpr double kRate = 300;
  Cluster cluster(deployment);
  auto load = [&](LongWork work, std::uint64_t seed) {
    ExperimentRun next = run;
    next.seed = run.seed + seed;
    return RunLoad(MakeLoadSpec(cluster, next, kRate, work));
  };
  // The scheduler learns the cost of each kind before the measured loads.
  (void)load(LongWork::kAudits, 1);
  const LoadReport normal = load(LongWork::kNone, 2);
  const LoadReport reports = load(LongWork::kReports, 3);
  const LoadReport audits = load(LongWork::kAudits, 4);
  raw["without"] = normal.ToJson();
  raw["reports"] = reports.ToJson();
  raw["audits"] = audits.ToJson();
  const double without = P99Ms(normal, "claims/claim");
  const double with_reports = P99Ms(reports, "claims/claim");
  const double with_audits = P99Ms(audits, "claims/claim");
  return {without,
          with_reports,
          with_reports / without,
          with_audits,
          with_audits / without,
          P99Ms(reports, "catalogue/browse"),
          static_cast<double>(reports.kinds.at("claims/report").done +
                              audits.kinds.at("claims/audit").done)};
}

void RunLongWorkCap(const ExperimentRun& run) {
  CompareVariants(run,
                  {{"long work holds slots - 1", "long_work_cap", true},
                   {"no cap", "long_work_cap", false}},
                  {"claim p99 ms without long work", "with reports", "ratio",
                   "with audits on the primary", "ratio",
                   "browse p99 ms with reports", "long work done"},
                  MeasureLongWork);
}

void RunReplicaReads(const ExperimentRun& run) {
  CompareVariants(
      run,
      {{"replicas, age checked", "replica_reads", true},
       {"primary only", "replica_reads", false}},
      {"reads by replicas %", "done/s", "browse p99 ms", "claim p99 ms",
       "refused not run"},
      [](const ExperimentRun& it, const Deployment& deployment,
         Json::Value& raw) -> std::vector<double> {
        Cluster cluster(deployment);
        LoadSpec spec =
            MakeLoadSpec(cluster, it, kNearSaturationRate, LongWork::kNone);
        spec.timeout = kOverloadTimeout;
        const LoadReport report = RunLoad(spec);
        raw = report.ToJson();
        return {
            100 * report.ReplicaShare(),
            static_cast<double>(SumOverKinds(report, &KindReport::done)) /
                it.seconds,
            P99Ms(report, "catalogue/browse"), P99Ms(report, "claims/claim"),
            static_cast<double>(SumOverKinds(report, &KindReport::not_run))};
      });
}

/// Best goodput at two to four times the base rate, then goodput after a jump
/// to ten times.
std::vector<double> MeasureOverload(const ExperimentRun& run,
                                    const Deployment& deployment,
                                    Json::Value& raw) {
  Cluster cluster(deployment);
  double best_goodput = 0;
  for (const double multiplier : {2.0, 3.0, 4.0}) {
    ExperimentRun step = run;
    step.seed = run.seed + static_cast<std::uint64_t>(multiplier);
    LoadSpec spec = MakeLoadSpec(cluster, step, kOverloadBaseRate * multiplier,
                                 LongWork::kNone);
    spec.timeout = kOverloadTimeout;
    const LoadReport report = RunLoad(spec);
    raw["steps"].append(report.ToJson());
    best_goodput =
        std::max(best_goodput,
                 static_cast<double>(SumOverKinds(report, &KindReport::done)) /
                     run.seconds);
  }
  LoadSpec spec =
      MakeLoadSpec(cluster, run, kOverloadBaseRate, LongWork::kNone);
  spec.timeout = kOverloadTimeout;
  spec.phases = {{std::chrono::seconds(2), 1},
                 {std::chrono::seconds(run.seconds), 10},
                 {std::chrono::seconds(2), 1}};
  const LoadReport overload = RunLoad(spec);
  raw["crest"] = overload.ToJson();
  const double overload_goodput =
      static_cast<double>(overload.phase_done[1]) / run.seconds;
  return {best_goodput,
          overload_goodput,
          100 * overload_goodput / best_goodput,
          P99Ms(overload, "claims/claim"),
          P99Ms(overload, "catalogue/browse"),
          static_cast<double>(SumOverKinds(overload, &KindReport::not_run)),
          static_cast<double>(SumOverKinds(overload, &KindReport::unknown) +
                              SumOverKinds(overload, &KindReport::failed) +
                              SumOverKinds(overload, &KindReport::lost)),
          static_cast<double>(CountFalseRefusals(cluster, overload))};
}

void RunQueue(const ExperimentRun& run) {
  CompareVariants(
      run,
      {{"bounded, refused early", "early_refusal", true},
       {"unbounded", "early_refusal", false}},
      {"best done/s below saturation", "done/s at ten times", "share %",
       "claim p99 ms", "browse p99 ms", "refused not run",
       "unknown, failed or lost", "refused but ran"},
      MeasureOverload);
}

void RunMembership(const ExperimentRun& run) {
  CompareVariants(
      run,
      {{"told between instances", "gossip_membership", true},
       {"platform's list alone", "gossip_membership", false}},
      {"done", "not run", "unknown or failed", "longest claim gap ms",
       "claim p99 ms"},
      [](const ExperimentRun& it, const Deployment& deployment,
         Json::Value& raw) -> std::vector<double> {
        Cluster cluster(deployment);
        LoadSpec spec = MakeLoadSpec(cluster, it, kBaseRate, LongWork::kNone);
        // No client uses the instance that is frozen, so only its peers are
        // affected until they detect the failure.
        spec.addresses.erase(spec.addresses.begin());
        spec.actions.emplace_back(std::chrono::seconds(2),
                                  [&] { cluster.SignalInstance(0, SIGSTOP); });
        const LoadReport report = RunLoad(spec);
        raw = report.ToJson();
        return {static_cast<double>(SumOverKinds(report, &KindReport::done)),
                static_cast<double>(SumOverKinds(report, &KindReport::not_run)),
                static_cast<double>(SumOverKinds(report, &KindReport::unknown) +
                                    SumOverKinds(report, &KindReport::failed)),
                Ms(report.longest_gap.at("claims")),
                P99Ms(report, "claims/claim")};
      });
}

/// Injects a fault of the primary in each of `run.repeat` loads. Returns the
/// median and the maximum of their longest gaps between completed claims in
/// milliseconds, the number of faults, and the number of acknowledged claims
/// that are not found exactly once afterwards.
std::vector<double> MeasureFailoverGaps(const ExperimentRun& run,
                                        const Deployment& deployment,
                                        int signal, Json::Value& raw) {
  std::vector<double> gaps;
  std::uint64_t lost = 0;
  for (int n = 0; n < run.repeat; ++n) {
    Deployment small = deployment;
    small.groups.resize(1);
    small.sheet = "service,group,zones,kind,mode,max_age,demand\nclaims," +
                  small.groups[0] + "," + small.zones[0] + ";" +
                  small.zones[1] + ";" + small.zones[2] + ",claim,write,,40\n";
    Cluster cluster(small);
    LoadSpec spec;
    spec.addresses = cluster.CallerAddresses();
    spec.streams = {TypicalStreams(1, LongWork::kNone)[0]};
    spec.streams[0].rate = 50;
    spec.phases = {{std::chrono::seconds(6), 1}};
    spec.seed = run.seed + static_cast<std::uint64_t>(n);
    spec.timeout = std::chrono::seconds(5);
    const std::string primary = cluster.PrimaryOf(small.groups[0]);
    spec.actions.emplace_back(Milliseconds(1500 + 37 * n),
                              [&] { cluster.SignalServer(primary, signal); });
    if (signal == SIGSTOP) {
      spec.actions.emplace_back(
          Milliseconds(4500), [&] { cluster.SignalServer(primary, SIGCONT); });
    }
    const LoadReport report = RunLoad(spec);
    gaps.push_back(Ms(report.longest_gap.at("claims")));
    raw["gaps_ms"].append(gaps.back());
    const std::string new_primary = cluster.PrimaryOf(small.groups[0]);
    for (const auto& id : report.done_ids) {
      const std::string found = cluster.RunSql(
          new_primary,
          "SELECT count(*) FROM claim WHERE request = '" + id + "'");
      if (found != "1") ++lost;
    }
  }
  std::sort(gaps.begin(), gaps.end());
  return {gaps[gaps.size() / 2], gaps.back(), static_cast<double>(gaps.size()),
          static_cast<double>(lost)};
}

void RunFailover(const ExperimentRun& run) {
  std::vector<Table> tables;
  Json::Value raw;
  for (const auto& deployment : SelectDeployments(run)) {
    Table table;
    table.title = "failover gap, " + deployment.name;
    table.note = "`scripts/experiment failover --repeat " +
                 std::to_string(run.repeat) + "`, 50 claims/s, real processes";
    table.columns = {"p50 ms", "worst ms", "faults",
                     "acknowledged but lost or doubled"};
    table.rows.push_back({"kill -9 of the primary",
                          MeasureFailoverGaps(run, deployment, SIGKILL,
                                              raw[deployment.name]["kill"])});
    table.rows.push_back({"SIGSTOP for 3 s, then SIGCONT",
                          MeasureFailoverGaps(run, deployment, SIGSTOP,
                                              raw[deployment.name]["freeze"])});
    tables.push_back(std::move(table));
  }
  WriteReport(run.folder, run.name, tables, raw);
}

/// Time in milliseconds from the start of a load until every instance reports
/// the sheet version; gives up after 60 s.
double MeasureInstallTime(Cluster& cluster, const std::string& sheet,
                          std::uint64_t version, const std::string& mode,
                          Milliseconds delay) {
  const std::string path = cluster.WriteFile("next.csv", sheet);
  if (mode == "slow") cluster.SetPlatformFault(mode, delay);
  const auto start = Clock::now();
  std::thread load([&] {
    cluster.RunCtl({"load", path, "--platform", cluster.platform_address()});
  });
  const std::string expected = "\"sheet_version\":" + std::to_string(version);
  bool platform_down = false;
  for (;;) {
    int updated = 0;
    for (int n = 0; n < cluster.instance_count(); ++n) {
      const auto health = cluster.Get(n, "/health");
      if (health && health->find(expected) != std::string::npos) ++updated;
    }
    if (mode == "down" && updated > 0 && !platform_down) {
      platform_down = true;
      cluster.SetPlatformFault("down");
    }
    if (updated == cluster.instance_count()) break;
    if (Clock::now() - start > std::chrono::seconds(60)) break;
    std::this_thread::sleep_for(Milliseconds(2));
  }
  const double took = Ms(Clock::now() - start);
  load.join();
  cluster.SetPlatformFault("none");
  return took;
}

void RunSheet(const ExperimentRun& run) {
  constexpr int kLoads = 5;
  Table table;
  table.title = "time until a sheet is in force everywhere";
  table.note =
      "`scripts/experiment sheet`, from the start of the load; where the "
      "platform goes down it does so once the first instance has the sheet";
  table.columns = {"p50 ms", "worst ms", "loads"};
  Json::Value raw;
  for (const int instances : {5, 40}) {
    Deployment deployment = Adinkra();
    deployment.instance_count = instances;
    deployment.connection_limit = 45;
    Cluster cluster(deployment);
    std::uint64_t version = 1;
    for (const std::string mode : {"up", "slow", "down"}) {
      std::vector<double> times;
      for (int n = 0; n < kLoads; ++n) {
        times.push_back(MeasureInstallTime(cluster, deployment.sheet, ++version,
                                           mode, Milliseconds(300)));
        raw[std::to_string(instances)][mode].append(times.back());
      }
      std::sort(times.begin(), times.end());
      const std::string platform_state =
          mode == "slow" ? "platform 300 ms slow" : "platform " + mode;
      table.rows.push_back(
          {std::to_string(instances) + " instances, " + platform_state,
           {times[times.size() / 2], times.back(),
            static_cast<double>(times.size())}});
    }
  }
  WriteReport(run.folder, run.name, {table}, raw);
}

/// Compares one instance with the same statements sent directly to a server.
void RunBaseline(const ExperimentRun& run) {
  Deployment deployment = Adinkra();
  deployment.instance_count = 1;
  deployment.slots = 8;
  deployment.connection_limit = 64;
  deployment.statement_time = std::chrono::microseconds(0);
  deployment.zone_delay = std::chrono::microseconds(0);
  deployment.connect_delay = Milliseconds(1);
  deployment.groups.resize(1);
  deployment.sheet =
      "service,group,zones,kind,mode,max_age,demand\n"
      "claims,saddle-1,osu,stock,read,5s,1000\n";
  Cluster cluster(deployment);
  Table table;
  table.title = "one instance against straight to the server";
  table.note =
      "`scripts/experiment baseline`, 8 callers in a closed loop, "
      "reads without service time; straight is libpq to one stand-in";
  table.columns = {"requests/s", "p50 ms", "p99 ms"};
  for (const bool proxied : {false, true}) {
    const auto result =
        RunClosedLoop(cluster, proxied, 8, std::chrono::seconds(run.seconds));
    table.rows.push_back(
        {proxied ? "through corianderdockd" : "straight to the server",
         {result.rate, Ms(result.latency.Quantile(0.5)),
          Ms(result.latency.Quantile(0.99))}});
  }
  WriteReport(run.folder, run.name, {table}, {});
}

/// The four headline measures of one deployment: share of reads on replicas,
/// write gap in a failover, service at ten times the demand, and the effect of
/// long work on claim latency.
std::vector<double> MeasureDeployment(const ExperimentRun& run,
                                      const Deployment& deployment,
                                      Json::Value& raw) {
  Cluster cluster(deployment);
  ExperimentRun next = run;
  (void)RunLoad(MakeLoadSpec(cluster, next, kBaseRate, LongWork::kAudits));
  const LoadReport normal =
      RunLoad(MakeLoadSpec(cluster, next, kBaseRate, LongWork::kNone));
  ++next.seed;
  const LoadReport with_long_work =
      RunLoad(MakeLoadSpec(cluster, next, kBaseRate, LongWork::kAudits));
  ++next.seed;
  LoadSpec overload_spec =
      MakeLoadSpec(cluster, next, kOverloadBaseRate, LongWork::kNone);
  overload_spec.timeout = kOverloadTimeout;
  overload_spec.phases = {{std::chrono::seconds(2), 1},
                          {std::chrono::seconds(run.seconds), 10}};
  const LoadReport overload = RunLoad(overload_spec);
  ++next.seed;
  LoadSpec failover_spec =
      MakeLoadSpec(cluster, next, kBaseRate, LongWork::kNone);
  failover_spec.timeout = std::chrono::seconds(8);
  failover_spec.actions.emplace_back(std::chrono::seconds(2), [&] {
    cluster.SignalServer(cluster.PrimaryOf(deployment.groups[0]), SIGKILL);
  });
  const LoadReport failover = RunLoad(failover_spec);
  raw["calm"] = normal.ToJson();
  raw["long_work"] = with_long_work.ToJson();
  raw["crest"] = overload.ToJson();
  raw["failover"] = failover.ToJson();
  return {
      100 * normal.ReplicaShare(),
      Ms(failover.longest_gap.at("claims")),
      static_cast<double>(overload.phase_done[1]) / run.seconds,
      P99Ms(overload, "catalogue/browse"),
      static_cast<double>(SumOverKinds(overload, &KindReport::not_run)),
      static_cast<double>(SumOverKinds(overload, &KindReport::late)),
      P99Ms(with_long_work, "claims/claim") / P99Ms(normal, "claims/claim")};
}

void RunMeasures(const ExperimentRun& run) {
  CompareVariants(
      run, {{"as shipped", "", true}},
      {"reads by replicas %", "claim gap in failover ms", "done/s at ten times",
       "browse p99 ms there", "refused there", "late there",
       "claims p99 with long work over without"},
      MeasureDeployment);
}

using Experiment = void (*)(const ExperimentRun&);
const std::map<std::string, Experiment>& Experiments() {
  static const std::map<std::string, Experiment> kAll = {
      {"scheduler", RunScheduler},  {"binding", RunBinding},
      {"long-cap", RunLongWorkCap}, {"replica-reads", RunReplicaReads},
      {"queue", RunQueue},          {"membership", RunMembership},
      {"failover", RunFailover},    {"sheet", RunSheet},
      {"baseline", RunBaseline},    {"measures", RunMeasures},
      {"capacity", MeasureCapacity}};
  return kAll;
}

}  // namespace

int RunExperiment(const ExperimentRun& run) {
  const auto it = Experiments().find(run.name);
  if (it != Experiments().end()) {
    it->second(run);
    return 0;
  }
  std::cerr << "experiments:";
  for (const auto& [name, experiment] : Experiments()) std::cerr << " " << name;
  std::cerr << "\n";
  return 2;
}

}  // namespace bench
