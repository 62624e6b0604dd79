/// \file
/// Lists read piece by piece from the platform end the same as read whole.
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

/// A platform whose keys are written and removed directly.
class Lists {
 public:
  Lists() : cluster_(Small()), polled_(io_, {cluster_.platform_address()}) {}

  void Put(const std::string& key, const Json::Value& value, int lease = 0) {
    Json::Value body;
    body["key"] = corianderdock::detail::EncodeBase64(key);
    body["value"] =
        corianderdock::detail::EncodeBase64(corianderdock::ToText(value));
    if (lease != 0) body["lease"] = std::to_string(lease);
    (void)Post("/v3/kv/put", body);
  }

  /// A lease that lapses after a second; its keys are removed then.
  int Lease() {
    Json::Value body;
    body["TTL"] = 1;
    return std::atoi(Post("/v3/lease/grant", body)["ID"].asCString());
  }

  /// What the polling client reports next; nothing when it saw no change.
  std::optional<Topology> Poll() {
    std::optional<Topology> seen;
    polled_.Poll({1, known_}, [&](Event event) {
      if (auto* it = std::get_if<TopologyRead>(&event)) seen = it->topology;
    });
    io_.restart();
    io_.run();
    if (seen) known_ = seen->revision;
    return seen;
  }

  /// The lists as a client sees them that knows nothing yet.
  Topology Whole() {
    PlatformClient fresh(io_, {cluster_.platform_address()});
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
  static Deployment Small() {
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
  PlatformClient polled_;
  std::uint64_t known_ = 0;
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

void CheckSame(Lists& lists) {
  const auto seen = lists.Poll();
  REQUIRE(seen);
  CHECK(seen->SameContent(lists.Whole()));
}

TEST_CASE("polled lists are the platform's lists", "[processes]") {
  Lists lists;
  CheckSame(lists);
  CHECK_FALSE(lists.Poll());

  lists.Put("/platform/instances/i-1", InstanceEntry("127.0.0.1:9"));
  lists.Put("/platform/servers/s-1", ServerEntry("127.0.0.1:10"));
  CheckSame(lists);
  lists.Put("/platform/servers/s-1", ServerEntry("127.0.0.1:11"));
  CheckSame(lists);

  // An instance goes while another comes, so that their number stays.
  lists.Put("/platform/instances/i-2", InstanceEntry("127.0.0.1:12"),
            lists.Lease());
  CheckSame(lists);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  lists.Put("/platform/instances/i-3", InstanceEntry("127.0.0.1:13"));
  CheckSame(lists);

  // A server goes while an instance changes.
  lists.Put("/platform/servers/s-2", ServerEntry("127.0.0.1:14"),
            lists.Lease());
  CheckSame(lists);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  lists.Put("/platform/instances/i-3", InstanceEntry("127.0.0.1:15"));
  CheckSame(lists);
}

}  // namespace
}  // namespace bench
