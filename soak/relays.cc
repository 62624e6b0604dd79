#include "soak/relays.h"

#include <json/json.h>

#include <boost/beast.hpp>
#include <iterator>
#include <sstream>
#include <utility>

#include "corianderdock/detail/base64.h"

namespace soak {

namespace http = boost::beast::http;
using asio::use_awaitable;

namespace {

constexpr std::uint64_t kStream = 5'000;
constexpr char kPrefix[] = "servers/";

}  // namespace

Relays::Relays(Cluster& cluster, std::uint64_t seed)
    : cluster_(cluster), seed_(seed), registry_(cluster.io, cluster.record) {
  cluster.registry = &registry_;
  asio::co_spawn(cluster.io, CopyEntries(), asio::detached);
}

Task Relays::CopyEntries() {
  const int port = registry_.Listen("registry");
  lab::tcp::socket socket(cluster_.io);
  co_await socket.async_connect(
      {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)},
      use_awaitable);
  boost::beast::flat_buffer buf;
  std::string after = "0";
  for (;;) {
    http::request<http::string_body> request{http::verb::get,
                                             std::string("/kv-watch?prefix=") +
                                                 kPrefix + "&after=" + after +
                                                 "&wait_ms=30000",
                                             11};
    request.set(http::field::host, "127.0.0.1");
    co_await http::async_write(socket, request, use_awaitable);
    http::response<http::string_body> response;
    co_await http::async_read(socket, buf, response, use_awaitable);
    Json::Value body;
    std::istringstream(response.body()) >> body;
    after = body["current_rev"].asString();
    for (const Json::Value& it : body["events"]) {
      const std::string key = it["key"].asString();
      if (it["deleted"].asBool()) {
        cluster_.store.Delete(key);
      } else {
        cluster_.store.Put(key, Rewrite(key, it["value"].asString()));
      }
    }
  }
}

std::string Relays::Rewrite(const std::string& key, const std::string& entry) {
  Json::Value fields;
  std::istringstream(*corianderdock::detail::DecodeBase64(entry)) >> fields;
  auto& relay = relays_[key];
  if (!relay) {
    const std::string address = fields["addr"].asString();
    relay = std::make_unique<Repeater>(
        cluster_.io, key.substr(sizeof kPrefix - 1),
        std::stoi(address.substr(address.rfind(':') + 1)),
        Random(seed_, kStream + relays_.size()), observer);
    relay->Disturb(disturbance_);
  }
  fields["addr"] = "127.0.0.1:" + std::to_string(relay->port());
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, fields);
}

void Relays::DisturbAll(const Disturbance& disturbance) {
  disturbance_ = disturbance;
  for (const auto& [key, relay] : relays_) relay->Disturb(disturbance);
}

Task Relays::Disturb(double rate, double share) {
  constexpr Repeated kRepeated[] = {Repeated::kClients, Repeated::kOwn,
                                    Repeated::kErrors, Repeated::kAll};
  constexpr double kRepeats[] = {0.05, 0.2, 0.5};
  constexpr Ms kMaxDelays[] = {Ms(0), Ms(2), Ms(10), Ms(50)};
  Random random(seed_, kStream - 1);
  while (!stopped_) {
    co_await lab::Sleep(Ms(static_cast<Ms::rep>(
        static_cast<double>(random.Between(Ms(500), Ms(3'000)).count()) /
        rate)));
    if (stopped_ || relays_.empty()) continue;
    const auto chosen =
        std::next(relays_.begin(),
                  static_cast<std::ptrdiff_t>(random.Index(relays_.size())));
    Repeater& relay = *chosen->second;
    Disturbance disturbance;
    disturbance.repeated = kRepeated[random.Index(std::size(kRepeated))];
    disturbance.repeats = kRepeats[random.Index(std::size(kRepeats))];
    disturbance.max_delay = kMaxDelays[random.Index(std::size(kMaxDelays))];
    disturbance.refusals = random.Chance(0.5) ? share : 0;
    disturbance.cuts = random.Chance(0.3) ? share : 0;
    disturbance.losses = random.Chance(0.2) ? share : 0;
    const Ms duration = random.Between(Ms(1'000), Ms(5'000));
    std::ostringstream line;
    line << "FAULT relay of " << relay.server() << " disturbs replies for "
         << duration.count() << " ms: repeated kind "
         << static_cast<int>(disturbance.repeated) << " share "
         << disturbance.repeats << " up to " << disturbance.max_delay.count()
         << " ms late, refusals " << disturbance.refusals << " cuts "
         << disturbance.cuts << " losses " << disturbance.losses;
    cluster_.record.Line(line.str());
    relay.Disturb(disturbance);
    asio::co_spawn(
        cluster_.io,
        [](Repeater& disturbed, Ms time) -> Task {
          co_await lab::Sleep(time);
          disturbed.Disturb({});
        }(relay, duration),
        asio::detached);
  }
}

void Relays::Stop() {
  stopped_ = true;
  DisturbAll({});
}

std::size_t Relays::repeats() const {
  std::size_t n = 0;
  for (const auto& [key, relay] : relays_) n += relay->repeats();
  return n;
}

}  // namespace soak
