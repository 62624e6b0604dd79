#include "load_command.h"

#include <fstream>
#include <iostream>
#include <map>

#include "comparison.h"
#include "corianderdock/codec.h"
#include "corianderdock/net/http_server.h"
#include "report.h"

namespace bench {

namespace {

constexpr int kExitNothingDone = 1;
constexpr int kExitBadInput = 2;
constexpr double kMaxRate = 100000;  // statements per second
constexpr int kMaxSeconds = 3600;
constexpr char kClaims[] = "claims/claim";

const std::map<std::string, LongWork>& LongWorkNames() {
  static const std::map<std::string, LongWork> kNames = {
      {"none", LongWork::kNone},
      {"reports", LongWork::kReports},
      {"audits", LongWork::kAudits}};
  return kNames;
}

/// Describes the first invalid parameter; empty when all are valid.
std::string ValidationError(const LoadCommand& command) {
  if (command.addresses.empty()) return "--address is missing";
  for (const auto& it : command.addresses) {
    try {
      (void)corianderdock::net::ParseEndpoint(it);
    } catch (const std::invalid_argument& error) {
      return "--address " + it + ": " + error.what();
    }
  }
  if (!LongWorkNames().contains(command.long_work)) {
    return "--long " + command.long_work + ": expected none, reports or audits";
  }
  if (!(command.rate > 0 && command.rate <= kMaxRate)) {
    return "--rate: expected more than 0, up to 100000";
  }
  if (!(command.peak >= 1 && command.rate * command.peak <= kMaxRate)) {
    return "--peak: expected 1 or more, and rate times peak up to 100000";
  }
  if (command.seconds < 1 || command.seconds > kMaxSeconds) {
    return "--seconds: expected 1 to 3600";
  }
  return "";
}

Table KindTable(const std::string& title, const LoadReport& report) {
  Table table;
  table.title = title;
  table.columns = {"done",      "refused", "unknown", "failed",
                   "no answer", "late",    "p50 ms",  "p99 ms"};
  for (const auto& [name, it] : report.kinds) {
    table.rows.push_back(
        {name,
         {static_cast<double>(it.done), static_cast<double>(it.not_run),
          static_cast<double>(it.unknown), static_cast<double>(it.failed),
          static_cast<double>(it.lost), static_cast<double>(it.late),
          Ms(it.latency.Quantile(0.5)), Ms(it.latency.Quantile(0.99))}});
  }
  return table;
}

Table MeasuresTable(const LoadCommand& command, const LoadReport& normal,
                    const LoadReport& with_long_work, const LoadReport& peak) {
  Table table;
  table.title = "the four measures";
  table.columns = {"value"};
  table.rows.push_back({"reads by replicas %", {100 * normal.ReplicaShare()}});
  for (const auto& [service, gap] : peak.longest_gap) {
    table.rows.push_back({"longest gap ms, " + service, {Ms(gap)}});
  }
  const auto done = static_cast<double>(SumOverKinds(peak, &KindReport::done));
  table.rows.push_back({"done/s at the peak", {done / command.seconds}});
  const double without = P99Ms(normal, kClaims);
  if (without > 0 && command.long_work != "none") {
    table.rows.push_back({"claims p99 with long work over without",
                          {P99Ms(with_long_work, kClaims) / without}});
  }
  return table;
}

}  // namespace

int RunLoadCommand(const LoadCommand& command) {
  const std::string error = ValidationError(command);
  if (!error.empty()) {
    std::cerr << "corianderload: " << error << "\n";
    return kExitBadInput;
  }
  auto run = [&, part = std::uint64_t{0}](LongWork work,
                                          double multiplier) mutable {
    LoadSpec spec;
    spec.addresses = command.addresses;
    spec.streams = TypicalStreams(command.rate, work);
    spec.phases = {{std::chrono::seconds(command.seconds), multiplier}};
    spec.seed = command.seed + part;
    ++part;
    return RunLoad(spec);
  };
  const LoadReport normal = run(LongWork::kNone, 1);
  const LoadReport with_long_work =
      run(LongWorkNames().at(command.long_work), 1);
  const LoadReport peak = run(LongWork::kNone, command.peak);
  Json::Value json;
  bool all_done = true;
  for (const auto& [name, report] :
       {std::pair<std::string, const LoadReport*>{"calm", &normal},
        {"long work", &with_long_work},
        {"peak", &peak}}) {
    std::cout << KindTable(name, *report).Markdown();
    json[name] = report->ToJson();
    all_done = all_done && SumOverKinds(*report, &KindReport::done) > 0;
  }
  const Table measures = MeasuresTable(command, normal, with_long_work, peak);
  std::cout << measures.Markdown();
  for (const auto& it : measures.rows) {
    json["measures"][it.name] = it.values.front();
  }
  if (!command.json.empty()) {
    std::ofstream file(command.json);
    file << corianderdock::ToText(json) << "\n";
    if (!file) {
      std::cerr << "corianderload: " << command.json << ": cannot be written\n";
      return kExitBadInput;
    }
  }
  return all_done ? 0 : kExitNothingDone;
}

}  // namespace bench
