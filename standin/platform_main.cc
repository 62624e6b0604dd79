/// \file
/// standin_platform: an in-memory key-value service with the interface of the
/// etcd v3 JSON gateway and with injectable faults, for tests and the demo.
#include <json/json.h>

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <map>
#include <sstream>

#include "corianderdock/codec.h"
#include "corianderdock/detail/base64.h"
#include "corianderdock/net/http_server.h"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace po = boost::program_options;
using asio::use_awaitable;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using namespace asio::experimental::awaitable_operators;  // NOLINT

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr std::size_t kMaxValueBytes = 1 << 20;

using corianderdock::ToText;
using corianderdock::detail::EncodeBase64;

std::string DecodeBase64Value(const Json::Value& text) {
  auto bytes = corianderdock::detail::DecodeBase64(text.asString());
  if (!bytes) throw std::runtime_error("malformed base64");
  return *bytes;
}

std::uint64_t ParseNumber(const Json::Value& value) {
  if (value.isString()) return std::stoull(value.asString());
  return value.asUInt64();
}

struct KeyVersion {
  steady_clock::time_point at;
  std::optional<std::string> value;
  std::uint64_t create_revision = 0;
  std::uint64_t mod_revision = 0;
};

struct Lease {
  steady_clock::time_point expires;
  std::chrono::seconds ttl{0};
  std::vector<std::string> keys;
};

/// Keys with all their versions, leases and the injected fault.
struct KeyValueStore {
  explicit KeyValueStore(asio::io_context& io) : io(io), changed(io) {
    changed.expires_at(steady_clock::time_point::max());
  }
  asio::io_context& io;
  std::map<std::string, std::vector<KeyVersion>> keys;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t revision = 1;
  std::uint64_t next_lease = 100;
  std::uint64_t request_count = 0;
  std::string fault_mode = "none";
  milliseconds delay{0};
  milliseconds list_lag{0};  ///< age of reads below /platform/
  steady_clock::time_point fault_since;
  std::uint64_t fault_revision = 0;
  asio::steady_timer changed;  ///< cancelled by each write to wake watches

  void Write(const std::string& key, std::optional<std::string> value) {
    ++revision;
    auto& history = keys[key];
    const bool exists = !history.empty() && history.back().value;
    const auto created = exists ? history.back().create_revision : revision;
    history.push_back(
        {steady_clock::now(), std::move(value), created, revision});
    changed.cancel();
  }

  void ExpireLeases() {
    for (auto it = leases.begin(); it != leases.end();) {
      if (it->second.expires > steady_clock::now()) {
        ++it;
        continue;
      }
      for (const auto& key : it->second.keys) Write(key, std::nullopt);
      it = leases.erase(it);
    }
  }

  /// The version that a read returns under the current fault and list lag; null
  /// for a missing or deleted key.
  const KeyVersion* VisibleVersion(const std::string& key) const {
    const auto found = keys.find(key);
    if (found == keys.end()) return nullptr;
    auto at = steady_clock::now();
    if (key.starts_with("/platform/")) at -= list_lag;
    if (fault_mode == "stale") at = fault_since;
    const KeyVersion* visible = nullptr;
    for (const auto& it : found->second) {
      if (it.at <= at) visible = &it;
    }
    return visible != nullptr && visible->value ? visible : nullptr;
  }

  const KeyVersion* LatestVersion(const std::string& key) const {
    const auto found = keys.find(key);
    if (found == keys.end() || !found->second.back().value) return nullptr;
    return &found->second.back();
  }
};

Json::Value Header(const KeyValueStore& store) {
  Json::Value header;
  const bool stale = store.fault_mode == "stale";
  header["revision"] =
      std::to_string(stale ? store.fault_revision : store.revision);
  return header;
}

Json::Value ToJson(const std::string& key, const KeyVersion& version) {
  Json::Value kv;
  kv["key"] = EncodeBase64(key);
  kv["value"] = EncodeBase64(version.value.value_or(""));
  kv["create_revision"] = std::to_string(version.create_revision);
  kv["mod_revision"] = std::to_string(version.mod_revision);
  return kv;
}

Json::Value Range(const KeyValueStore& store, const Json::Value& in) {
  const std::string key = DecodeBase64Value(in["key"]);
  const std::string end = DecodeBase64Value(in["range_end"]);
  const std::uint64_t from =
      in.isMember("min_mod_revision") ? ParseNumber(in["min_mod_revision"]) : 0;
  Json::Value out;
  out["header"] = Header(store);
  int count = 0;
  for (auto it = store.keys.lower_bound(key); it != store.keys.end(); ++it) {
    if (end.empty() ? it->first != key : it->first >= end) break;
    const KeyVersion* version = store.VisibleVersion(it->first);
    if (version == nullptr) continue;
    ++count;
    if (version->mod_revision < from) continue;
    out["kvs"].append(ToJson(it->first, *version));
  }
  out["count"] = std::to_string(count);
  return out;
}

Json::Value Put(KeyValueStore& store, const Json::Value& in) {
  const std::string key = DecodeBase64Value(in["key"]);
  const std::string value = DecodeBase64Value(in["value"]);
  if (value.size() > kMaxValueBytes)
    throw std::runtime_error("value too large");
  store.Write(key, value);
  if (in.isMember("lease")) {
    const auto lease = store.leases.find(ParseNumber(in["lease"]));
    if (lease == store.leases.end())
      throw std::runtime_error("lease not found");
    lease->second.keys.push_back(key);
  }
  Json::Value out;
  out["header"] = Header(store);
  return out;
}

bool CompareSucceeds(const KeyValueStore& store, const Json::Value& compare) {
  const KeyVersion* version =
      store.LatestVersion(DecodeBase64Value(compare["key"]));
  const std::string target = compare["target"].asString();
  std::uint64_t actual_revision = 0;
  std::uint64_t expected_revision = 0;
  if (target == "VALUE") {
    const std::string expected = DecodeBase64Value(compare["value"]);
    return version != nullptr && version->value == expected;
  }
  if (target == "MOD") {
    actual_revision = version == nullptr ? 0 : version->mod_revision;
    expected_revision = ParseNumber(compare["mod_revision"]);
  } else if (target == "CREATE") {
    actual_revision = version == nullptr ? 0 : version->create_revision;
    expected_revision = ParseNumber(compare["create_revision"]);
  }
  return actual_revision == expected_revision;
}

Json::Value Txn(KeyValueStore& store, const Json::Value& in) {
  bool succeeded = true;
  for (const auto& it : in["compare"]) succeeded &= CompareSucceeds(store, it);
  Json::Value out;
  out["succeeded"] = succeeded;
  out["responses"] = Json::arrayValue;
  for (const auto& it : in[succeeded ? "success" : "failure"]) {
    Json::Value response;
    if (it.isMember("requestPut")) {
      response["response_put"] = Put(store, it["requestPut"]);
    } else if (it.isMember("requestRange")) {
      response["response_range"] = Range(store, it["requestRange"]);
    }
    out["responses"].append(response);
  }
  out["header"] = Header(store);
  return out;
}

Json::Value LeaseGrant(KeyValueStore& store, const Json::Value& in) {
  const std::chrono::seconds ttl(ParseNumber(in["TTL"]));
  const std::uint64_t id = store.next_lease++;
  store.leases[id] = {steady_clock::now() + ttl, ttl, {}};
  Json::Value out;
  out["ID"] = std::to_string(id);
  out["TTL"] = std::to_string(ttl.count());
  return out;
}

Json::Value LeaseKeepAlive(KeyValueStore& store, const Json::Value& in) {
  Json::Value out;
  const auto lease = store.leases.find(ParseNumber(in["ID"]));
  out["result"]["ID"] = in["ID"];
  out["result"]["TTL"] = "0";
  if (lease == store.leases.end()) return out;
  lease->second.expires = steady_clock::now() + lease->second.ttl;
  out["result"]["TTL"] = std::to_string(lease->second.ttl.count());
  return out;
}

Json::Value SetFault(KeyValueStore& store, const Json::Value& in) {
  store.fault_mode = in.get("mode", "none").asString();
  store.delay = milliseconds(in.get("delay_ms", 0).asInt());
  if (in.isMember("list_lag_ms")) {
    store.list_lag = milliseconds(in["list_lag_ms"].asInt());
  }
  store.fault_since = steady_clock::now();
  store.fault_revision = store.revision;
  Json::Value out;
  out["calls"] = store.request_count;
  return out;
}

using Handler = Json::Value (*)(KeyValueStore&, const Json::Value&);
const std::map<std::string, Handler, std::less<>> kHandlers = {
    {"/v3/kv/range", [](KeyValueStore& store,
                        const Json::Value& in) { return Range(store, in); }},
    {"/v3/kv/put", Put},
    {"/v3/kv/txn", Txn},
    {"/v3/lease/grant", LeaseGrant},
    {"/v3/lease/keepalive", LeaseKeepAlive},
    {"/standin/fault", SetFault},
};

/// Streams the changes of one key range as newline-delimited JSON until the
/// client disconnects.
asio::awaitable<void> Watch(tcp::socket& socket, KeyValueStore& store,
                            const Json::Value& in) {
  const Json::Value& create = in["create_request"];
  const std::string key = DecodeBase64Value(create["key"]);
  std::string end = DecodeBase64Value(create["range_end"]);
  if (end.empty()) end = key + '\0';
  std::uint64_t next = create.isMember("start_revision")
                           ? ParseNumber(create["start_revision"])
                           : store.revision + 1;
  http::response<http::empty_body> head{http::status::ok, 11};
  head.chunked(true);
  http::response_serializer<http::empty_body> serializer{head};
  co_await http::async_write_header(socket, serializer, use_awaitable);
  Json::Value created;
  created["result"]["created"] = true;
  std::string out = ToText(created) + "\n";
  for (;;) {
    if (!out.empty()) {
      co_await asio::async_write(socket, http::make_chunk(asio::buffer(out)),
                                 use_awaitable);
      out.clear();
    }
    Json::Value message;
    for (auto it = store.keys.lower_bound(key);
         it != store.keys.end() && it->first < end; ++it) {
      for (const auto& version : it->second) {
        if (version.mod_revision < next) continue;
        Json::Value event;
        event["kv"] = ToJson(it->first, version);
        if (!version.value) event["type"] = "DELETE";
        message["result"]["events"].append(event);
      }
    }
    next = store.revision + 1;
    if (!message.isNull()) {
      out = ToText(message) + "\n";
      continue;
    }
    boost::system::error_code ec;
    co_await store.changed.async_wait(asio::redirect_error(use_awaitable, ec));
  }
}

asio::awaitable<void> Serve(tcp::socket socket, KeyValueStore& store) {
  boost::beast::flat_buffer buf;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(4 * kMaxValueBytes);
    co_await http::async_read(socket, buf, parser, use_awaitable);
    const Request request = parser.release();
    const std::string target(request.target());
    const bool is_fault_request = target.starts_with("/standin/");
    if (!is_fault_request) ++store.request_count;
    if (!is_fault_request && store.fault_mode == "down") co_return;
    if (!is_fault_request && store.fault_mode == "slow") {
      asio::steady_timer timer(store.io, store.delay);
      co_await timer.async_wait(use_awaitable);
    }
    store.ExpireLeases();
    Response response{http::status::ok, request.version()};
    response.keep_alive(request.keep_alive());
    Json::Value in;
    std::istringstream(request.body()) >> in;
    if (target == "/v3/watch") {
      co_await Watch(socket, store, in);
      co_return;
    }
    const auto handler = kHandlers.find(target);
    if (handler == kHandlers.end()) {
      response.result(http::status::not_found);
    } else {
      response.body() = ToText(handler->second(store, in));
    }
    if (!is_fault_request && store.fault_mode == "lose" &&
        (target == "/v3/kv/txn" || target == "/v3/kv/put")) {
      co_return;
    }
    response.prepare_payload();
    co_await http::async_write(socket, response, use_awaitable);
  }
}

asio::awaitable<void> ServeConnection(tcp::socket socket,
                                      KeyValueStore& store) {
  try {
    co_await Serve(std::move(socket), store);
  } catch (const std::exception&) {  // NOLINT(bugprone-empty-catch)
  }
}

asio::awaitable<void> Accept(tcp::acceptor& acceptor, KeyValueStore& store) {
  for (;;) {
    tcp::socket socket = co_await acceptor.async_accept(use_awaitable);
    socket.set_option(tcp::no_delay(true));
    asio::co_spawn(store.io, ServeConnection(std::move(socket), store),
                   asio::detached);
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::string address;
  po::options_description flags("standin_platform");
  flags.add_options()("help", "show this text")(
      "address", po::value(&address)->required(), "IP:PORT to listen on");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, flags), values);
    if (values.count("help") != 0) {
      std::cout << flags;
      return 0;
    }
    po::notify(values);
    asio::io_context io(1);
    KeyValueStore store(io);
    tcp::acceptor acceptor(io, corianderdock::net::ParseEndpoint(address));
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](auto, int) { io.stop(); });
    asio::co_spawn(io, Accept(acceptor, store), asio::detached);
    io.run();
    std::_Exit(0);
  } catch (const std::exception& error) {
    std::cerr << "standin_platform: " << error.what() << "\n";
    return 2;
  }
}
