/// \file
/// Lists that are updated by polling must equal lists that are read in full.
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

/// A platform whose keys the test writes and removes directly.
class PlatformLists {
 public:
  PlatformLists()
      : cluster_(SmallDeployment()),
        polling_client_(io_, {cluster_.platform()}) {}

  void Put(const std::string& key, const Json::Value& value, int lease = 0) {
    Json::Value body;
    body["key"] = corianderdock::detail::EncodeBase64(key);
    body["value"] =
        corianderdock::detail::EncodeBase64(corianderdock::ToText(value));
    if (lease != 0) body["lease"] = std::to_string(lease);
    (void)Post("/v3/kv/put", body);
  }

  /// Grants a lease that expires after 1 s, which removes its keys.
  int Lease() {
    Json::Value body;
    body["TTL"] = 1;
    return std::atoi(Post("/v3/lease/grant", body)["ID"].asCString());
  }

  /// Returns the next report of the polling client, or nothing if there was no
  /// change.
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

  /// Returns the lists as a client without earlier state reads them.
  Topology ReadAll() {
    PlatformClient fresh(io_, {cluster_.platform()});
    Topology lists;
    boost::asio::co_spawn(
        io_,
        [&]() -> boost::asio::awaitable<void> {
          const auto read = co_await fresh.ReadTopology();
          if (read) lists = *read;
        },
        boost::asio::detached);
    io_.restart();
    io_.run();
    return lists;
  }

 private:
  static Deployment SmallDeployment() {
    Deployment it = Adinkra();
    it.instances = static_cast<int>(it.zones.size());
    return it;
  }

  Json::Value Post(const std::string& target, const Json::Value& body) {
    const auto text = HttpPost(cluster_.platform(), target,
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

void CheckPollMatchesRead(PlatformLists& lists) {
  const auto seen = lists.Poll();
  REQUIRE(seen);
  CHECK(seen->SameContent(lists.ReadAll()));
}

TEST_CASE("polled lists equal lists read in full", "[processes]") {
  PlatformLists lists;
  CheckPollMatchesRead(lists);
  CHECK_FALSE(lists.Poll());

  lists.Put("/platform/instances/i-1", InstanceEntry("127.0.0.1:9"));
  lists.Put("/platform/servers/s-1", ServerEntry("127.0.0.1:10"));
  CheckPollMatchesRead(lists);
  lists.Put("/platform/servers/s-1", ServerEntry("127.0.0.1:11"));
  CheckPollMatchesRead(lists);

  // One instance leaves and another joins, so that the count stays the same.
  lists.Put("/platform/instances/i-2", InstanceEntry("127.0.0.1:12"),
            lists.Lease());
  CheckPollMatchesRead(lists);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  lists.Put("/platform/instances/i-3", InstanceEntry("127.0.0.1:13"));
  CheckPollMatchesRead(lists);

  // A server leaves while an instance changes.
  lists.Put("/platform/servers/s-2", ServerEntry("127.0.0.1:14"),
            lists.Lease());
  CheckPollMatchesRead(lists);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  lists.Put("/platform/instances/i-3", InstanceEntry("127.0.0.1:15"));
  CheckPollMatchesRead(lists);
}

}  // namespace
}  // namespace bench
