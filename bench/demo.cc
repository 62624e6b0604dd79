#include "demo.h"

#include <signal.h>

#include <cstdio>
#include <iostream>
#include <stdexcept>

#include "cluster.h"
#include "corianderdock/codec.h"
#include "load.h"

namespace bench {

using corianderdock::Clock;

namespace {

constexpr Milliseconds kFailoverBound{8000};

/// Prints a passed check; throws with the observed value for a failed one.
void Require(bool condition, const std::string& description,
             const Json::Value& observed) {
  if (condition) {
    std::cout << "  ok: " << description << "\n" << std::flush;
    return;
  }
  throw std::runtime_error(description + ": " +
                           corianderdock::ToText(observed));
}

bool IsDone(const Json::Value& response) {
  return response.isObject() && response.isMember("result") &&
         response["result"]["outcome"] == "done";
}

Json::Value Statement(const std::string& kind, const std::string& sql,
                      const std::string& token) {
  Json::Value params;
  params["service"] = "claims";
  params["kind"] = kind;
  params["statement"] = sql;
  params["token"] = token;
  return params;
}

void ClaimAndRead(Cluster& cluster, std::string& token) {
  std::cout << "Claim and read through another instance\n";
  Json::Value claim = Statement(
      "claim", "INSERT INTO claim (request, stock) VALUES ('demo-1', 7)", "");
  claim["request_id"] = "demo-1";
  const Json::Value first = cluster.Call(0, "execute", claim);
  Require(IsDone(first), "a claim through entry-0 is acknowledged", first);
  token = first["result"]["token"].asString();
  const Json::Value repeat = cluster.Call(1, "execute", claim);
  Require(IsDone(repeat),
          "repeating it through entry-1 returns the same outcome", repeat);
  const Json::Value read = cluster.Call(
      1, "execute",
      Statement("stock", "SELECT count(*) FROM claim WHERE request = 'demo-1'",
                token));
  Require(
      IsDone(read) && read["result"]["result"]["rows"][0][0].asString() == "1",
      "entry-1 reads the claim back exactly once", read);
}

void Failover(Cluster& cluster, const std::string& token) {
  std::cout << "Kill the primary\n";
  const std::string primary = cluster.PrimaryOf("saddle-1");
  cluster.SignalServer(primary, SIGKILL);
  const auto killed = Clock::now();
  Json::Value claim = Statement(
      "claim", "INSERT INTO claim (request, stock) VALUES ('demo-2', 7)",
      token);
  claim["request_id"] = "demo-2";
  claim["timeout_ms"] = 10000;
  const Json::Value next =
      cluster.Call(0, "execute", claim, std::chrono::seconds(12));
  const auto gap =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - killed);
  Require(IsDone(next), "the next claim is acknowledged", next);
  Require(gap < kFailoverBound,
          "the failover took " + std::to_string(gap.count()) + " ms", next);
  const Json::Value read =
      cluster.Call(1, "execute",
                   Statement("stock", "SELECT count(*) FROM claim",
                             next["result"]["token"].asString()));
  Require(
      IsDone(read) && read["result"]["result"]["rows"][0][0].asString() == "2",
      "both claims are on the new primary " +
          next["result"]["server"].asString(),
      read);
}

LoadReport RunShortLoad(Cluster& cluster, bool reports,
                        std::vector<Phase> phases, std::uint64_t seed) {
  LoadSpec spec;
  spec.addresses = cluster.CallerAddresses();
  spec.streams =
      TypicalStreams(150, reports ? LongWork::kReports : LongWork::kNone);
  spec.phases = std::move(phases);
  spec.seed = seed;
  return RunLoad(spec);
}

void PrintMeasures(Cluster& cluster) {
  std::cout << "The four measures of a short load\n";
  constexpr std::chrono::seconds kShort{4};
  const LoadReport normal = RunShortLoad(cluster, false, {{kShort, 1}}, 11);
  const LoadReport with_long_work =
      RunShortLoad(cluster, true, {{kShort, 1}}, 12);
  LoadSpec spec;
  spec.addresses = cluster.CallerAddresses();
  spec.streams = TypicalStreams(100, LongWork::kNone);
  spec.phases = {{std::chrono::seconds(2), 1}, {std::chrono::seconds(6), 2}};
  spec.seed = 13;
  spec.timeout = std::chrono::seconds(8);
  spec.actions.emplace_back(Milliseconds(2500), [&] {
    cluster.SignalServer(cluster.PrimaryOf("saddle-3"), SIGKILL);
  });
  const LoadReport peak = RunLoad(spec);
  Require(normal.kinds.at("claims/claim").done > 0, "claims were served",
          normal.ToJson());
  const double with =
      std::chrono::duration<double, std::milli>(
          with_long_work.kinds.at("claims/claim").latency.Quantile(0.99))
          .count();
  const double without =
      std::chrono::duration<double, std::milli>(
          normal.kinds.at("claims/claim").latency.Quantile(0.99))
          .count();
  const Json::Value peak_json = peak.ToJson();
  std::printf("  bounded-staleness reads served by replicas: %.1f%%\n",
              100 * normal.ReplicaShare());
  std::printf(
      "  longest gap between consignments while their primary was "
      "killed: %s ms\n",
      peak_json["longest_gap_ms"]["dispatch"].asString().c_str());
  std::printf(
      "  at doubled demand: %.0f done/s, %u refused, catalogue p99 "
      "%.1f ms\n",
      peak_json["phases"][1]["goodput"].asDouble(),
      static_cast<unsigned>(peak.kinds.at("catalogue/browse").not_run),
      peak_json["kinds"]["catalogue/browse"]["p99_ms"].asDouble());
  std::printf("  claims p99 with long reports %.1f ms, without %.1f ms\n", with,
              without);
  std::fflush(stdout);
  Require(normal.ReplicaShare() > 0, "replicas served reads", normal.ToJson());
  Require(peak.longest_gap.at("dispatch") < kFailoverBound,
          "the longest gap was below 8 s", peak_json);
}

}  // namespace

int RunDemo() {
  try {
    Deployment deployment = Adinkra();
    deployment.instance_count = 4;
    std::cout << "Start the platform, three database groups and four "
                 "instances; load a sheet\n";
    Cluster cluster(deployment);
    std::cout << "  ok: every instance is ready\n";
    std::string token;
    ClaimAndRead(cluster, token);
    Failover(cluster, token);
    PrintMeasures(cluster);
    std::cout << "All checks passed.\n";
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "demo failed: " << error.what() << "\n";
    return 1;
  }
}

}  // namespace bench
