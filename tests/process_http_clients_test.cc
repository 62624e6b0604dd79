/// Misbehaving connections at the client port of corianderdockd, as a real
/// process. They guard against a process that runs out of memory or
/// descriptors, or that serves nobody any more.
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "cluster.h"
#include "support/crowd.h"

namespace bench {

namespace {

using corianderdock::Clock;
using corianderdock::test::Crowd;
using corianderdock::test::ProcessWatch;

constexpr std::uint64_t kMegabyte = 1 << 20;
constexpr std::uint64_t kMemoryMegabytes = 128;
constexpr std::uint64_t kDescriptors = 256;
constexpr std::size_t kPartBytes = 1'000'000;
constexpr std::size_t kWhole = std::size_t{64} << 10;
constexpr Milliseconds kServedLimit{20'000};

/// The bounds of the test are the limits of the settings.
Deployment LimitedDeployment() {
  Deployment it = Adinkra();
  it.groups = {"saddle-1", "saddle-2", "saddle-3"};
  it.instance_count = 3;  // one in each zone
  it.statement_time = std::chrono::microseconds(1000);
  it.limits["memory_megabytes"] = Json::UInt64{kMemoryMegabytes};
  it.limits["descriptors"] = Json::UInt64{kDescriptors};
  it.times["idle_timeout_ms"] = 3000;
  it.times["body_timeout_ms"] = 3000;
  return it;
}

bool AwaitServed(Cluster& cluster) {
  const auto until = Clock::now() + kServedLimit;
  for (int n = 0; Clock::now() < until; ++n) {
    const std::string id = "p" + std::to_string(n);
    Json::Value params;
    params["service"] = "claims";
    params["kind"] = "claim";
    params["statement"] = "INSERT INTO claim (request, stock) VALUES ($1, 1)";
    params["parameters"].append(id);
    params["request_id"] = id;
    const Json::Value answer = cluster.Call(0, "execute", params);
    if (answer.isObject() && answer["result"].isObject() &&
        answer["result"]["outcome"] == "done") {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(100));
  }
  return false;
}

int PortOf(const std::string& address) {
  return std::stoi(address.substr(address.rfind(':') + 1));
}

/// Runs `crowd` against the process and checks that the bounds held.
template <typename RunCrowd>
void Check(const RunCrowd& run) {
  Cluster cluster(LimitedDeployment());
  REQUIRE(AwaitServed(cluster));
  ProcessWatch watch(cluster.InstancePid(0));
  run(cluster, watch);
  WARN("highest memory " << watch.max_memory() / kMegabyte << " MB of "
                         << kMemoryMegabytes << ", highest descriptors "
                         << watch.max_descriptors() << " of " << kDescriptors);
  CHECK(watch.Alive());
  CHECK(watch.max_memory() <= kMemoryMegabytes * kMegabyte);
  CHECK(watch.max_descriptors() <= kDescriptors);
  CHECK(AwaitServed(cluster));
}

const std::string kPost = "POST / HTTP/1.1\r\nHost: x\r\n";

}  // namespace

TEST_CASE("bodies without end at the client port", "[bodies]") {
  Check([](const Cluster& cluster, ProcessWatch& watch) {
    const int port = PortOf(cluster.CallerAddress(0));
    Crowd bodies(port, 200, watch);
    bodies.Send(kPost + "Content-Length: 1000001\r\n\r\n" +
                    std::string(kPartBytes, 'x'),
                kWhole, Milliseconds(0));
    Crowd chunks(port, 200, watch);
    chunks.Send(kPost + "Transfer-Encoding: chunked\r\n\r\n100000\r\n" +
                    std::string(kPartBytes, 'x'),
                kWhole, Milliseconds(0));
  });
}

TEST_CASE("headers without end and slow ones at the client port", "[headers]") {
  Check([](const Cluster& cluster, ProcessWatch& watch) {
    const int port = PortOf(cluster.CallerAddress(0));
    Crowd headers(port, 200, watch);
    headers.Send(kPost + "X: " + std::string(kPartBytes, 'x'), kWhole,
                 Milliseconds(0));
    Crowd slow(port, 200, watch);
    slow.Send(kPost, 1, Milliseconds(20));
    Crowd silent(port, 200, watch);
  });
}

TEST_CASE("requests sent ahead at the client port", "[ahead]") {
  Check([](const Cluster& cluster, ProcessWatch& watch) {
    const std::string body =
        R"({"jsonrpc":"2.0","id":1,"method":"execute","params":{"service":)"
        R"("claims","kind":"stock","statement":"SELECT ')" +
        std::string(10'000, 'x') + R"('"}})";
    std::string ahead;
    for (int n = 0; n < 200; ++n) {
      ahead.append(kPost).append("Content-Length: ");
      ahead.append(std::to_string(body.size())).append("\r\n\r\n");
      ahead.append(body);
    }
    Crowd crowd(PortOf(cluster.CallerAddress(0)), 150, watch);
    crowd.Send(ahead, kWhole, Milliseconds(0));
  });
}

}  // namespace bench
