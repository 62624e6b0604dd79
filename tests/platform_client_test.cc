/// \file
/// A client that polls the platform for changes must end with the same topology
/// as a client that reads it in full.
#include "corianderdock/net/platform_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

#include "cluster.h"
#include "corianderdock/codec.h"
#include "corianderdock/detail/base64.h"

namespace bench {
namespace {

using corianderdock::Event;
using corianderdock::Topology;
using corianderdock::TopologyRead;
using corianderdock::net::PlatformClient;

constexpr std::chrono::seconds kCallTimeout(10);

/// A platform whose topology keys the test writes directly.
class PlatformTopology {
 public:
  PlatformTopology()
      : cluster_(SmallDeployment()),
        polling_client_(io_, {cluster_.platform_address()}) {}

  void Put(const std::string& key, const Json::Value& value, int lease = 0) {
    Json::Value body;
    body["key"] = corianderdock::detail::EncodeBase64(key);
    body["value"] =
        corianderdock::detail::EncodeBase64(corianderdock::ToText(value));
    if (lease != 0) body["lease"] = std::to_string(lease);
    (void)Post("/v3/kv/put", body);
  }

  /// Grants a lease that expires after one second; its keys are removed then.
  int GrantLease() {
    Json::Value body;
    body["TTL"] = 1;
    return std::atoi(Post("/v3/lease/grant", body)["ID"].asCString());
  }

  /// Polls once. Returns the topology, or nothing if it has not changed.
  std::optional<Topology> Poll() {
    std::optional<Topology> seen;
    polling_client_.Poll({1, known_revision_}, [&](Event event) {
      if (auto* it = std::get_if<TopologyRead>(&event)) seen = it->topology;
    });
    io_.restart();
    io_.run();
    if (seen) known_revision_ = seen->revision;
    return seen;
  }

  /// Reads the full topology with a new client.
  Topology ReadFull() {
    PlatformClient new_client(io_, {cluster_.platform_address()});
    Topology topology;
    boost::asio::co_spawn(
        io_,
        [&]() -> boost::asio::awaitable<void> {
          const auto read = co_await new_client.ReadTopology();
          if (read) topology = *read;
        },
        boost::asio::detached);
    io_.restart();
    io_.run();
    return topology;
  }

 private:
  static Deployment SmallDeployment() {
    Deployment it = Adinkra();
    it.instance_count = static_cast<int>(it.zones.size());
    return it;
  }

  Json::Value Post(const std::string& target, const Json::Value& body) {
    const auto text = HttpPost(cluster_.platform_address(), target,
                               corianderdock::ToText(body), kCallTimeout);
    REQUIRE(text);
    const auto value = corianderdock::ParseJson(*text);
    REQUIRE(value);
    return *value;
  }

  Cluster cluster_;
  boost::asio::io_context io_{1};
  PlatformClient polling_client_;
  std::uint64_t known_revision_ = 0;
};

Json::Value ServerEntry(const char* address) {
  Json::Value it;
  it["group"] = "saddle-1";
  it["zone"] = "osu";
  it["address"] = address;
  return it;
}

Json::Value InstanceEntry(const char* address) {
  Json::Value it;
  it["zone"] = "osu";
  it["address"] = address;
  return it;
}

void CheckPollMatchesFullRead(PlatformTopology& topology) {
  const auto seen = topology.Poll();
  REQUIRE(seen);
  CHECK(seen->SameContent(topology.ReadFull()));
}

TEST_CASE("the polled topology equals the platform's topology", "[processes]") {
  PlatformTopology topology;
  CheckPollMatchesFullRead(topology);
  CHECK_FALSE(topology.Poll());

  topology.Put("/platform/instances/i-1", InstanceEntry("127.0.0.1:9"));
  topology.Put("/platform/servers/s-1", ServerEntry("127.0.0.1:10"));
  CheckPollMatchesFullRead(topology);
  topology.Put("/platform/servers/s-1", ServerEntry("127.0.0.1:11"));
  CheckPollMatchesFullRead(topology);

  // One instance is removed and another added between polls, so the number of
  // instances does not reveal the change.
  topology.Put("/platform/instances/i-2", InstanceEntry("127.0.0.1:12"),
               topology.GrantLease());
  CheckPollMatchesFullRead(topology);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  topology.Put("/platform/instances/i-3", InstanceEntry("127.0.0.1:13"));
  CheckPollMatchesFullRead(topology);

  // A server is removed while an instance changes.
  topology.Put("/platform/servers/s-2", ServerEntry("127.0.0.1:14"),
               topology.GrantLease());
  CheckPollMatchesFullRead(topology);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  topology.Put("/platform/instances/i-3", InstanceEntry("127.0.0.1:15"));
  CheckPollMatchesFullRead(topology);
}

}  // namespace
}  // namespace bench
