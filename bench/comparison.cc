#include "comparison.h"

#include <algorithm>
#include <cstdlib>

#include "corianderdock/codec.h"
#include "report.h"

namespace bench {

namespace {

Deployment WithAlternative(Deployment deployment, const std::string& name,
                           bool value) {
  if (!name.empty()) deployment.alternatives[name] = value;
  return deployment;
}

}  // namespace

double Ms(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double P99Ms(const LoadReport& report, const std::string& kind) {
  const auto it = report.kinds.find(kind);
  return it == report.kinds.end() ? 0 : Ms(it->second.latency.Quantile(0.99));
}

std::uint64_t SumOverKinds(const LoadReport& report,
                           std::uint64_t KindReport::*member) {
  std::uint64_t sum = 0;
  for (const auto& [name, it] : report.kinds) sum += it.*member;
  return sum;
}

std::vector<Deployment> SelectDeployments(const ExperimentRun& run) {
  std::vector<Deployment> all;
  if (run.deployment != "dzintarkrasts") all.push_back(Adinkra());
  if (run.deployment != "adinkra") all.push_back(Dzintarkrasts());
  return all;
}

LoadSpec MakeLoadSpec(const Cluster& cluster, const ExperimentRun& run,
                      double rate, LongWork work) {
  LoadSpec spec;
  spec.addresses = cluster.CallerAddresses();
  spec.streams = TypicalStreams(rate, work);
  spec.phases = {{std::chrono::seconds(run.seconds), 1}};
  spec.seed = run.seed;
  return spec;
}

std::uint64_t CountFalseRefusals(Cluster& cluster, const LoadReport& report) {
  std::uint64_t found = 0;
  for (const auto& server : cluster.server_ids()) {
    if (!server.ends_with("-1")) continue;
    const std::string group = server.substr(0, server.size() - 2);
    const std::string primary = cluster.PrimaryOf(group);
    if (primary.empty()) continue;
    std::string list;
    for (const auto& id : report.not_run_ids) {
      list += (list.empty() ? "'" : ",'") + id + "'";
    }
    if (list.empty()) continue;
    const std::string n = cluster.RunSql(
        primary, "SELECT count(*) FROM claim WHERE request IN (" + list + ")");
    found += std::strtoull(n.c_str(), nullptr, 10);
  }
  return found;
}

int PeakConnectionDemand(Cluster& cluster) {
  int most = 0;
  for (const auto& server : cluster.server_ids()) {
    const auto status = corianderdock::ParseJson(
        cluster.RunSql(server, "SELECT group_status()"));
    if (!status || !status->isObject()) continue;
    most = std::max(most, (*status)["most_connections"].asInt() +
                              (*status)["refused_connections"].asInt());
  }
  return most;
}

void CompareVariants(const ExperimentRun& run,
                     const std::vector<Variant>& variants,
                     const std::vector<std::string>& columns,
                     const Measure& measure) {
  std::vector<Table> tables;
  Json::Value raw;
  for (const auto& deployment : SelectDeployments(run)) {
    Table table;
    table.title = run.name + ", " + deployment.name;
    table.note = "`scripts/experiment " + run.name + " --seconds " +
                 std::to_string(run.seconds) + " --seed " +
                 std::to_string(run.seed) + "`";
    table.columns = columns;
    for (const auto& it : variants) {
      Deployment variant_deployment =
          WithAlternative(deployment, it.alternative, it.value);
      variant_deployment.limits["prefetch"] = it.prefetch;
      Json::Value& details = raw[deployment.name][it.name];
      table.rows.push_back(
          {it.name, measure(run, variant_deployment, details)});
    }
    tables.push_back(std::move(table));
  }
  WriteReport(run.folder, run.name, tables, raw);
}

}  // namespace bench
