/// \file
/// End-to-end tests on real processes: the request path, invalid input,
/// operator commands and settings.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <set>
#include <thread>

#include "cluster.h"
#include "corianderdock/codec.h"
#include "corianderdock/net/http_server.h"
#include "corianderdock/net/json_rpc.h"
#include "corianderdock/settings.h"
#include "load.h"
#include "load_command.h"

namespace bench {
namespace {

using corianderdock::Clock;

Deployment SmallDeployment() {
  Deployment it = Adinkra();
  it.groups = {"saddle-1", "saddle-2", "saddle-3"};
  it.instance_count = 3;
  it.statement_time = std::chrono::microseconds(1000);
  return it;
}

/// Sends raw bytes and returns the first bytes received in answer; empty if the
/// peer closes the connection or sends nothing for one second.
std::string SendRaw(const std::string& address, const std::string& bytes) {
  const auto port = static_cast<std::uint16_t>(
      std::stoi(address.substr(address.rfind(':') + 1)));
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in in{};
  in.sin_family = AF_INET;
  in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  in.sin_port = htons(port);
  std::string answer;
  if (connect(fd, reinterpret_cast<sockaddr*>(&in), sizeof(in)) == 0) {
    (void)send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    timeval timeout{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    char buf[4096];
    const ssize_t n = recv(fd, buf, sizeof(buf), 0);
    if (n > 0) answer.assign(buf, static_cast<std::size_t>(n));
  }
  close(fd);
  return answer;
}

/// Sends `bytes` one at a time, `pause` apart, and returns how long the peer
/// kept the connection open, up to about `limit`.
Duration TimeUntilClosed(const std::string& address, const std::string& bytes,
                         Duration pause, Duration limit) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  socket.connect(corianderdock::net::ParseEndpoint(address));
  socket.non_blocking(true);
  const auto begun = Clock::now();
  boost::system::error_code ec;
  char buf = 0;
  for (std::size_t n = 0; Clock::now() - begun < limit; ++n) {
    if (n < bytes.size()) {
      socket.send(boost::asio::buffer(&bytes[n], 1), 0, ec);
    }
    std::this_thread::sleep_for(pause);
    socket.receive(boost::asio::buffer(&buf, 1), 0, ec);
    if (ec && ec != boost::asio::error::would_block) break;
  }
  return Clock::now() - begun;
}

std::string Rpc(const std::string& body) {
  return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

Json::Value ClaimRequest(const std::string& id) {
  Json::Value params;
  params["service"] = "claims";
  params["kind"] = "claim";
  params["statement"] = "INSERT INTO claim (request, stock) VALUES ($1, 1)";
  params["parameters"].append(id);
  params["request_id"] = id;
  return params;
}

/// A cluster that has served one claim and a read of it through another
/// instance.
struct ServingCluster {
  ServingCluster() : cluster(SmallDeployment()) {
    const Json::Value done = cluster.Call(0, "execute", ClaimRequest("p1"));
    REQUIRE(done["result"]["outcome"] == "done");
    read["service"] = "claims";
    read["kind"] = "stock";
    read["statement"] = "SELECT count(*) FROM claim WHERE request = 'p1'";
    read["token"] = done["result"]["token"];
    const Json::Value seen = cluster.Call(1, "execute", read);
    CHECK(seen["result"]["result"]["rows"][0][0].asString() == "1");
  }

  Cluster cluster;
  Json::Value read;
};

TEST_CASE_METHOD(ServingCluster,
                 "invalid input is rejected and service continues",
                 "[processes]") {
  const std::string address = cluster.CallerAddress(0);
  const std::vector<std::string> bodies = {
      "",
      "{",
      "[]",
      "nonsense",
      "{\"jsonrpc\":\"2.0\"}",
      "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"fly\",\"params\":{}}",
      "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"execute\",\"params\":{}}",
      R"({"jsonrpc":"2.0","id":1,"method":"execute","params":{"service":1}})",
      std::string(2000, '['),
      std::string(5000, '{')};
  for (const auto& it : bodies) {
    INFO(it.substr(0, 60));
    CHECK(SendRaw(address, Rpc(it)).find("\"error\"") != std::string::npos);
  }
  Json::Value forged = read;
  forged["token"] = "cd1.saddle-1~9~9.0000000000000000";
  CHECK(cluster.Call(0, "execute", forged)["error"]["code"] == -32602);
  Json::Value unknown = read;
  unknown["service"] = "nobody";
  CHECK(cluster.Call(0, "execute", unknown)["error"]["data"]["reason"] ==
        "unknown_service");
  CHECK(SendRaw(address,
                "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "
                "99999999\r\n\r\n")
            .find("413") != std::string::npos);
  CHECK(SendRaw(address, "GARBAGE\r\n\r\n").find("400") != std::string::npos);
  SendRaw(address, "POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf");
  CHECK(SendRaw(cluster.PeerAddress(0), Rpc("{\"jsonrpc\":\"2.0\",\"id\":1,"
                                            "\"method\":\"peer.gossip\","
                                            "\"params\":{\"sender\":3}}"))
            .find("\"error\"") != std::string::npos);
  CHECK(cluster.Call(0, "execute", ClaimRequest("p2"))["result"]["outcome"] ==
        "done");
}

TEST_CASE_METHOD(ServingCluster,
                 "operator commands inspect and drain the cluster",
                 "[processes]") {
  const std::string platform_address = cluster.platform_address();
  CHECK(cluster.RunCtl({"show", "--platform", platform_address}).code == 0);
  const auto dump =
      cluster.RunCtl({"dump", "entry-0", "--platform", platform_address});
  CHECK(dump.code == 0);
  CHECK(dump.output.find("\"members\"") != std::string::npos);
  const auto bad = cluster.WriteFile("bad.csv", "service,group\nx,y\n");
  CHECK(cluster.RunCtl({"check", bad}).code == 2);
  CHECK(cluster.RunCtl({"load", bad, "--platform", platform_address}).code ==
        2);
  CHECK(cluster.RunCtl({"fly"}).code == 2);
  CHECK(cluster.RunCtl({"show", "--platform", "127.0.0.1:1"}).code == 3);
  CHECK(cluster
            .RunCtl({"resolve", "p1", "--service", "claims", "--address",
                     cluster.CallerAddress(2)})
            .code == 0);
  const auto metrics = cluster.Get(0, "/metrics");
  REQUIRE(metrics);
  CHECK(metrics->find("corianderdock_request_seconds_bucket") !=
        std::string::npos);
  CHECK(cluster.RunCtl({"drain", "entry-2", "--platform", platform_address})
            .code == 0);
  const auto deadline = Clock::now() + std::chrono::seconds(10);
  while (!cluster.InstanceExited(2) && Clock::now() < deadline) {
    std::this_thread::sleep_for(Milliseconds(50));
  }
  CHECK(cluster.InstanceExited(2));
}

TEST_CASE_METHOD(
    ServingCluster,
    "of two concurrent loads, a rejected one names the other's author",
    "[processes]") {
  const std::string sheet = cluster.WriteFile("again.csv", Adinkra().sheet);
  std::vector<Cluster::CtlResult> results(2);
  std::vector<std::thread> operators;
  operators.reserve(results.size());
  for (int n = 0; n < 2; ++n) {
    operators.emplace_back([&, n] {
      results[static_cast<std::size_t>(n)] = cluster.RunCtl(
          {"load", sheet, "--platform", cluster.platform_address(), "--author",
           "operator-" + std::to_string(n)});
    });
  }
  for (auto& it : operators) it.join();
  int accepted = 0;
  for (const auto& it : results) {
    INFO(it.output);
    if (it.code == 0) ++accepted;
    if (it.code != 0) CHECK(it.output.find("operator-") != std::string::npos);
  }
  CHECK(accepted >= 1);
}

TEST_CASE_METHOD(ServingCluster,
                 "a sheet load whose answer is lost is recognised on retry",
                 "[processes]") {
  // For one second the platform applies writes but drops its answers to them.
  cluster.SetPlatformFault("lose");
  std::thread later([&] {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    cluster.SetPlatformFault("none");
  });
  const std::string sheet = cluster.WriteFile("lost.csv", Adinkra().sheet);
  const auto loaded =
      cluster.RunCtl({"load", sheet, "--platform", cluster.platform_address()});
  later.join();
  INFO(loaded.output);
  CHECK(loaded.code == 0);
  CHECK(loaded.output.find("version 2") != std::string::npos);
}

TEST_CASE_METHOD(ServingCluster, "peers receive incremental topology changes",
                 "[processes]") {
  const std::string peer = cluster.PeerAddress(0);
  const auto fetch_topology = [&](const Json::Value& since) {
    Json::Value params;
    params["since"] = since;
    const auto body =
        HttpPost(peer, "/peer",
                 corianderdock::net::MakeRpcRequest("peer.topology", params),
                 std::chrono::seconds(10));
    REQUIRE(body);
    const auto value = corianderdock::ParseJson(*body);
    REQUIRE(value);
    return *value;
  };
  CHECK(fetch_topology(-1)["error"]["code"] == -32602);
  const Json::Value complete = fetch_topology(0)["result"];
  CHECK(complete["servers"].size() == cluster.server_ids().size());
  CHECK_FALSE(complete.isMember("digest"));
  cluster.RegisterServer("saddle-1-3", true);
  const auto deadline = Clock::now() + std::chrono::seconds(13);
  Json::Value change;
  do {
    std::this_thread::sleep_for(Milliseconds(50));
    change = fetch_topology(complete["revision"])["result"];
  } while (change["servers"].empty() && Clock::now() < deadline);
  CHECK(change.isMember("digest"));
  REQUIRE(change["servers"].size() == 1);
  CHECK(change["servers"]["saddle-1-3"]["leaving"].asBool());
}

TEST_CASE("connections of slow senders are closed", "[processes]") {
  constexpr Milliseconds kIdle(600);
  constexpr Milliseconds kBody(300);
  constexpr Milliseconds kPause(10);
  constexpr std::chrono::seconds kMost(20);
  Deployment deployment = SmallDeployment();
  deployment.times["idle_timeout_ms"] = static_cast<int>(kIdle.count());
  deployment.times["body_timeout_ms"] = static_cast<int>(kBody.count());
  Cluster cluster(deployment);
  const std::string address = cluster.CallerAddress(0);
  const std::string header =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n";
  const auto in_header = TimeUntilClosed(address, header, kPause * 20, kMost);
  CHECK(in_header >= kIdle);
  CHECK(in_header < kMost);
  const auto in_body = TimeUntilClosed(
      address, header + "\r\n" + std::string(9999, ' '), kPause / 5, kMost);
  CHECK(in_body >= kBody);
  CHECK(in_body < kMost);
  CHECK(TimeUntilClosed(address, "", kPause, kMost) < kMost);
  CHECK(cluster.Call(0, "execute", ClaimRequest("p1"))["result"]["outcome"] ==
        "done");
}

/// Replication lag delays the acknowledgement of a committed claim. Kills
/// instance `victim` in that interval, repeats the claim with the same request
/// id on another instance and checks that it was applied once.
void KillBetweenCommitAndAnswer(Cluster& cluster, int victim) {
  const std::string id = "k" + std::to_string(victim);
  const std::string count =
      "SELECT count(*) FROM claim WHERE request = '" + id + "'";
  const std::string primary = cluster.PrimaryOf("saddle-1");
  const auto set_lag = [&](const char* ms) {
    for (const auto& it : cluster.ServersOf("saddle-1")) {
      cluster.RunSql(it,
                     std::string("SELECT standin_fault('lag', ") + ms + ")");
    }
  };
  set_lag("2500");
  Json::Value first;
  std::thread caller(
      [&] { first = cluster.Call(0, "execute", ClaimRequest(id)); });
  const auto deadline = Clock::now() + std::chrono::seconds(10);
  while (cluster.RunSql(primary, count) != "1" && Clock::now() < deadline) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
  REQUIRE(cluster.RunSql(primary, count) == "1");
  cluster.SignalInstance(victim, SIGKILL);
  set_lag("3");
  caller.join();
  INFO("victim " << victim << " first answer " << first.toStyledString());
  CHECK((victim != 0 || !first.isMember("result")));
  const int other = victim == 1 ? 2 : 1;
  const Json::Value again = cluster.Call(other, "execute", ClaimRequest(id));
  INFO(again.toStyledString());
  CHECK(again["result"]["outcome"] == "done");
  CHECK(cluster.RunSql(cluster.PrimaryOf("saddle-1"), count) == "1");
  cluster.RestartInstance(victim);
  REQUIRE(cluster.AwaitReady(std::chrono::seconds(20)));
}

TEST_CASE(
    "a claim is applied once if an instance dies between commit and answer",
    "[processes]") {
  Cluster cluster(SmallDeployment());
  for (int victim = 0; victim < 3; ++victim) {
    KillBetweenCommitAndAnswer(cluster, victim);
  }
}

TEST_CASE("each caller gets the complete answer to its own request",
          "[processes]") {
  constexpr int kCallers = 8;
  constexpr int kRequests = 60;
  constexpr std::size_t kPadding = 20000;
  Cluster cluster(SmallDeployment());
  std::atomic<int> wrong = 0;
  std::atomic<int> complete = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int n = 0; n < kRequests; ++n) {
        const std::string expected =
            std::to_string(caller) + "/" + std::to_string(n) +
            std::string(kPadding, static_cast<char>('a' + caller));
        Json::Value params;
        params["service"] = n % 2 == 0 ? "claims" : "catalogue";
        params["kind"] = n % 2 == 0 ? "stock" : "browse";
        params["statement"] = "SELECT $1 FROM stock WHERE id < 4";
        params["parameters"].append(expected);
        const Json::Value answer =
            cluster.Call((caller + n) % 3, "execute", params);
        if (!answer.isMember("result")) continue;
        const Json::Value& rows = answer["result"]["result"]["rows"];
        bool same = rows.size() == 3;
        for (const auto& row : rows) {
          same = same && row[0].asString() == expected;
        }
        ++(same ? complete : wrong);
      }
    });
  }
  // Connections stop answering and an instance pauses while answers are in
  // transit.
  std::this_thread::sleep_for(Milliseconds(300));
  cluster.RunSql("saddle-2-2", "SELECT standin_fault('silence', '1')");
  cluster.SignalInstance(1, SIGSTOP);
  std::this_thread::sleep_for(Milliseconds(700));
  cluster.SignalInstance(1, SIGCONT);
  for (auto& it : callers) it.join();
  CHECK(wrong == 0);
  CHECK(complete > kCallers * kRequests / 2);
}

TEST_CASE("connections stay within each server's limit", "[processes]") {
  Deployment deployment = SmallDeployment();
  deployment.instance_count = 5;
  Cluster cluster(deployment);
  LoadSpec spec;
  spec.addresses = cluster.CallerAddresses();
  spec.streams = TypicalStreams(400, LongWork::kAudits);
  spec.phases = {{std::chrono::seconds(4), 1}};
  spec.actions.emplace_back(std::chrono::seconds(2),
                            [&] { cluster.SignalInstance(1, SIGKILL); });
  const LoadReport report = RunLoad(spec);
  CHECK(report.kinds.at("claims/claim").done > 0);
  for (const auto& server : cluster.server_ids()) {
    const auto status = corianderdock::ParseJson(
        cluster.RunSql(server, "SELECT group_status()"));
    REQUIRE(status);
    INFO(server);
    CHECK((*status)["most_connections"].asInt() <= 16);
    CHECK((*status)["refused_connections"].asInt() == 0);
  }
}

TEST_CASE("the load command reports its four measures", "[processes]") {
  Cluster cluster(SmallDeployment());
  LoadCommand command;
  command.addresses = cluster.CallerAddresses();
  command.seconds = 2;
  command.json = cluster.WriteFile("load.json", "");
  CHECK(RunLoadCommand(command) == 0);
  std::ifstream file(command.json);
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  const auto json = corianderdock::ParseJson(text);
  REQUIRE(json);
  const Json::Value& measures = (*json)["measures"];
  CHECK(measures["reads by replicas %"].asDouble() > 0);
  CHECK(measures["longest gap ms, claims"].asDouble() > 0);
  CHECK(measures["done/s at the peak"].asDouble() > 0);
  CHECK(measures["claims p99 with long work over without"].asDouble() > 0);

  command.long_work = "tea";
  CHECK(RunLoadCommand(command) == 2);
  command.long_work = "none";
  command.addresses = {"nowhere"};
  CHECK(RunLoadCommand(command) == 2);
  command.addresses = {"127.0.0.1:1"};
  command.seconds = 1;
  CHECK(RunLoadCommand(command) == 1);
}

TEST_CASE("settings are validated and all errors are reported", "[settings]") {
  using corianderdock::ParseSettings;
  const std::string good =
      R"({"instance":"i","zone":"z","listen":"127.0.0.1:1",)"
      R"("peer_listen":"127.0.0.1:2","platform":["127.0.0.1:3"]})";
  CHECK(ParseSettings(good));
  const auto bad = ParseSettings(
      R"({"instance":7,"zone":"z","listen":"nowhere","peer_listen":)"
      R"("127.0.0.1:2","times":{"poll_interval_ms":0,"tea_ms":4},"extra":1})");
  REQUIRE_FALSE(bad);
  std::set<std::string> places;
  for (const auto& it : bad.error()) places.insert(it.place);
  CHECK(places == std::set<std::string>{"instance", "listen",
                                        "times.poll_interval_ms",
                                        "times.tea_ms", "extra"});
  CHECK_FALSE(ParseSettings("{"));
  CHECK_FALSE(ParseSettings("3"));
}

}  // namespace
}  // namespace bench
