#include "corianderdock/net/platform_client.h"

#include <algorithm>
#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

#include "corianderdock/codec.h"
#include "corianderdock/detail/base64.h"
#include "corianderdock/detail/fields.h"
#include "corianderdock/detail/hash.h"

namespace corianderdock::net {

namespace asio = boost::asio;
using detail::Fields;

namespace {

constexpr Duration kCallTimeout = Milliseconds(800);
constexpr Duration kLoadRetryPause = Milliseconds(200);
constexpr int kLoadAttempts = 20;
constexpr std::size_t kChunkBytes = std::size_t{256} * 1024;
constexpr std::size_t kMaxHistoryEntries = 32;

std::uint64_t ParseUnsigned(const Json::Value& value) {
  if (value.isUInt64()) return value.asUInt64();
  std::uint64_t number = 0;
  if (value.isString()) {
    const std::string text = value.asString();
    std::from_chars(text.data(), text.data() + text.size(), number);
  }
  return number;
}

/// Returns the first key after all keys with `prefix`.
std::string PrefixEnd(std::string prefix) {
  prefix.back() = static_cast<char>(prefix.back() + 1);
  return prefix;
}

asio::awaitable<HttpResult> AsyncPost(HttpClient& http, std::string address,
                                      std::string target, std::string body) {
  auto start = [&](auto handler) {
    auto shared = std::make_shared<decltype(handler)>(std::move(handler));
    http.Post(address, target, std::move(body), kCallTimeout,
              [shared](HttpResult result) {
                std::move (*shared)(std::move(result));
              });
  };
  co_return co_await asio::async_initiate<decltype(asio::use_awaitable),
                                          void(HttpResult)>(
      std::move(start), asio::use_awaitable);
}

std::vector<std::string> SplitIntoChunks(const std::string& text) {
  std::vector<std::string> chunks;
  for (std::size_t at = 0; at < text.size(); at += kChunkBytes) {
    chunks.push_back(text.substr(at, kChunkBytes));
  }
  return chunks;
}

}  // namespace

PlatformClient::PlatformClient(asio::io_context& io,
                               std::vector<std::string> endpoints)
    : io_(io), http_(io), endpoints_(std::move(endpoints)) {}

// Requests -------------------------------------------------------------------

asio::awaitable<Result<Json::Value>> PlatformClient::Call(std::string path,
                                                          Json::Value body) {
  if (endpoints_.empty())
    co_return Error{"platform", "no endpoint is configured"};
  const std::string address = endpoints_[current_endpoint_ % endpoints_.size()];
  const HttpResult result =
      co_await AsyncPost(http_, address, path, ToText(body));
  if (!result.ok || result.status != 200) {
    ++current_endpoint_;
    co_return Error{"platform " + address,
                    "no response with HTTP status 200 to " + path};
  }
  auto value = ParseJson(result.body);
  if (!value || !value->isObject()) {
    co_return Error{"platform " + address,
                    "expected a JSON object in the response"};
  }
  co_return std::move(value);
}

asio::awaitable<Result<PlatformClient::RangeResponse>> PlatformClient::Range(
    std::string key, std::string end, std::uint64_t min_mod_revision) {
  Json::Value body;
  body["key"] = detail::EncodeBase64(key);
  if (!end.empty()) body["range_end"] = detail::EncodeBase64(end);
  if (min_mod_revision > 0) {
    body["min_mod_revision"] = std::to_string(min_mod_revision);
  }
  const auto value = co_await Call("/v3/kv/range", body);
  if (!value) co_return value.error();
  RangeResponse response;
  const Json::Value& header = (*value)["header"];
  if (header.isObject()) response.revision = ParseUnsigned(header["revision"]);
  response.count = ParseUnsigned((*value)["count"]);
  const Json::Value& kvs = (*value)["kvs"];
  if (!kvs.isArray()) co_return response;
  for (const auto& it : kvs) {
    if (!it.isObject() || !it["key"].isString()) {
      co_return Error{
          "platform",
          "expected an object with a string key in answer to /v3/kv/range"};
    }
    const auto decoded_key = detail::DecodeBase64(it["key"].asString());
    const auto decoded = detail::DecodeBase64(it.get("value", "").asString());
    if (!decoded_key) co_return decoded_key.error();
    if (!decoded) co_return decoded.error();
    response.values.push_back(
        {*decoded_key, *decoded, ParseUnsigned(it["mod_revision"])});
  }
  co_return response;
}

asio::awaitable<Result<bool>> PlatformClient::Put(std::string key,
                                                  std::string value) {
  Json::Value body;
  body["key"] = detail::EncodeBase64(key);
  body["value"] = detail::EncodeBase64(value);
  const auto response = co_await Call("/v3/kv/put", body);
  if (!response) co_return response.error();
  co_return true;
}

// Topology -------------------------------------------------------------------

Result<Topology> PlatformClient::ToTopology(const RangeResponse& response) {
  Json::Value topology;
  topology["revision"] = response.revision;
  topology["servers"] = Json::objectValue;
  topology["instances"] = Json::objectValue;
  for (const auto& it : response.values) {
    const auto value = ParseJson(it.value);
    if (!value) return Error{it.key, value.error().reason};
    const std::string servers = kServerPrefix;
    const std::string instances = kInstancePrefix;
    if (it.key.starts_with(servers)) {
      topology["servers"][it.key.substr(servers.size())] = *value;
    } else if (it.key.starts_with(instances)) {
      topology["instances"][it.key.substr(instances.size())] = *value;
    }
  }
  return ParseTopology(topology);
}

asio::awaitable<Result<Topology>> PlatformClient::ReadTopology() {
  const auto all =
      co_await Range(kTopologyPrefix, PrefixEnd(kTopologyPrefix), 0);
  if (!all) co_return all.error();
  auto topology = ToTopology(*all);
  if (!topology) co_return topology.error();
  topology_mod_revision_ = 0;
  for (const auto& it : all->values) {
    topology_mod_revision_ = std::max(topology_mod_revision_, it.mod_revision);
  }
  topology_entry_count_ = all->count;
  topology_ = *topology;
  co_return std::move(topology);
}

std::optional<Topology> PlatformClient::MergeTopology(
    const RangeResponse& changes, const RangeResponse* instances) {
  if (topology_.revision == 0) return std::nullopt;
  const auto changed = ToTopology(changes);
  if (!changed) return std::nullopt;
  Topology merged = topology_;
  merged.revision = changed->revision;
  for (const auto& [id, it] : changed->servers) {
    merged.servers.insert_or_assign(id, it);
  }
  for (const auto& [id, it] : changed->instances) {
    merged.instances.insert_or_assign(id, it);
  }
  if (instances != nullptr) {
    auto listed = ToTopology(*instances);
    if (!listed) return std::nullopt;
    merged.instances = std::move(listed->instances);
  }
  const std::size_t entries = merged.servers.size() + merged.instances.size();
  if (entries != changes.count) return std::nullopt;
  // Changes that only the later read of `instances` includes have a higher
  // revision, so the next poll reads them again.
  for (const auto& it : changes.values) {
    topology_mod_revision_ = std::max(topology_mod_revision_, it.mod_revision);
  }
  topology_entry_count_ = changes.count;
  topology_ = merged;
  return merged;
}

asio::awaitable<Result<Topology>> PlatformClient::ReadChangedTopology(
    RangeResponse changes) {
  if (auto merged = MergeTopology(changes, nullptr))
    co_return std::move(*merged);
  // A range read does not report removed keys. Removed entries are mostly
  // instances, and their list is shorter than that of the servers.
  const auto instances =
      co_await Range(kInstancePrefix, PrefixEnd(kInstancePrefix), 0);
  if (instances) {
    if (auto merged = MergeTopology(changes, &*instances))
      co_return std::move(*merged);
  }
  co_return co_await ReadTopology();
}

// Sheets ---------------------------------------------------------------------

Result<PlatformClient::Manifest> PlatformClient::ParseManifest(
    const KeyValue& in) {
  const auto value = ParseJson(in.value);
  if (!value) return Error{in.key, value.error().reason};
  Fields fields(*value, "manifest");
  Manifest manifest;
  manifest.mod_revision = in.mod_revision;
  manifest.sheet.version = fields.Number("version", 0, 1);
  manifest.sheet.load_id = fields.Text("load_id", true);
  manifest.sheet.author = fields.Text("author");
  for (const auto& it : fields.Array("chunks")) {
    if (!it.isString()) return Error{"manifest.chunks", "expected strings"};
    manifest.chunks.push_back(it.asString());
  }
  for (const auto& it : fields.Array("history")) {
    Fields entry(it, "manifest.history");
    const SheetVersion version = entry.Number("version", 0, 1);
    manifest.history.emplace_back(version, entry.Text("load_id", true));
    if (entry.error()) return *entry.error();
  }
  if (fields.error()) return *fields.error();
  return manifest;
}

asio::awaitable<Result<std::optional<PlatformClient::Manifest>>>
PlatformClient::ReadManifest() {
  using ManifestResult = Result<std::optional<Manifest>>;
  const auto range = co_await Range(kManifestKey, "", 0);
  if (!range) co_return ManifestResult(range.error());
  if (range->values.empty())
    co_return ManifestResult(std::optional<Manifest>());
  auto manifest = ParseManifest(range->values.front());
  if (!manifest) co_return ManifestResult(manifest.error());
  co_return ManifestResult(std::optional<Manifest>(std::move(*manifest)));
}

asio::awaitable<Result<std::string>> PlatformClient::ReadChunks(
    std::vector<std::string> chunks) {
  std::string text;
  for (const auto& it : chunks) {
    const auto range = co_await Range(kChunkPrefix + it, "", 0);
    if (!range) co_return range.error();
    const bool intact =
        range->values.size() == 1 &&
        detail::ContentAddress(range->values.front().value) == it;
    if (!intact)
      co_return Error{kChunkPrefix + it,
                      "is missing or does not match its content hash"};
    text += range->values.front().value;
  }
  co_return text;
}

asio::awaitable<Result<std::optional<AcceptedSheet>>> PlatformClient::ReadSheet(
    SheetVersion known) {
  using SheetResult = Result<std::optional<AcceptedSheet>>;
  auto manifest = co_await ReadManifest();
  if (!manifest) co_return SheetResult(manifest.error());
  if (!*manifest || (*manifest)->sheet.version <= known) {
    co_return SheetResult(std::optional<AcceptedSheet>());
  }
  const auto text = co_await ReadChunks((*manifest)->chunks);
  if (!text) co_return SheetResult(text.error());
  AcceptedSheet sheet = (*manifest)->sheet;
  sheet.text = *text;
  co_return SheetResult(std::optional<AcceptedSheet>(std::move(sheet)));
}

asio::awaitable<Result<bool>> PlatformClient::SwapManifest(
    const Manifest& next, std::uint64_t expected) {
  Json::Value manifest;
  manifest["version"] = next.sheet.version;
  manifest["load_id"] = next.sheet.load_id;
  manifest["author"] = next.sheet.author;
  for (const auto& it : next.chunks) manifest["chunks"].append(it);
  for (const auto& [version, load_id] : next.history) {
    Json::Value entry;
    entry["version"] = version;
    entry["load_id"] = load_id;
    manifest["history"].append(entry);
  }
  Json::Value compare;
  compare["key"] = detail::EncodeBase64(kManifestKey);
  compare["target"] = "MOD";
  compare["result"] = "EQUAL";
  compare["mod_revision"] = std::to_string(expected);
  Json::Value put;
  put["requestPut"]["key"] = detail::EncodeBase64(kManifestKey);
  put["requestPut"]["value"] = detail::EncodeBase64(ToText(manifest));
  Json::Value body;
  body["compare"].append(compare);
  body["success"].append(put);
  const auto response = co_await Call("/v3/kv/txn", body);
  if (!response) co_return response.error();
  // The gateway omits members whose value is false.
  co_return (*response)["succeeded"].isBool() &&
      (*response)["succeeded"].asBool();
}

asio::awaitable<Result<LoadResult>> PlatformClient::Load(std::string text,
                                                         std::string author,
                                                         std::string load_id) {
  Error last_error{"platform", "no attempt was made"};
  bool chunks_written = false;
  bool swap_attempted = false;
  std::uint64_t expected = 0;
  const std::vector<std::string> chunks = SplitIntoChunks(text);
  for (int attempt = 0; attempt < kLoadAttempts; ++attempt) {
    if (attempt > 0) {
      asio::steady_timer timer(io_, kLoadRetryPause);
      co_await timer.async_wait(asio::use_awaitable);
    }
    auto current = co_await ReadManifest();
    if (!current) {
      last_error = current.error();
      continue;
    }
    Manifest next;
    if (*current) {
      for (const auto& [version, id] : (*current)->history) {
        if (id == load_id) co_return LoadResult{true, version, ""};
      }
      next = **current;
    }
    const std::uint64_t revision = next.mod_revision;
    if (swap_attempted && revision != expected) {
      // The history lacks this load, and the manifest has changed since the
      // attempt: another load was accepted instead.
      co_return LoadResult{false, next.sheet.version, next.sheet.author};
    }
    if (!chunks_written) {
      chunks_written = true;
      for (const auto& it : chunks) {
        const auto put =
            co_await Put(kChunkPrefix + detail::ContentAddress(it), it);
        if (put) continue;
        chunks_written = false;
        last_error = put.error();
      }
      if (!chunks_written) continue;
    }
    next.sheet = {next.sheet.version + 1, load_id, author, ""};
    next.chunks.clear();
    for (const auto& it : chunks) {
      next.chunks.push_back(detail::ContentAddress(it));
    }
    next.history.emplace_back(next.sheet.version, load_id);
    if (next.history.size() > kMaxHistoryEntries) {
      next.history.erase(next.history.begin());
    }
    swap_attempted = true;
    expected = revision;
    const auto swapped = co_await SwapManifest(next, revision);
    if (swapped && *swapped) {
      co_return LoadResult{true, next.sheet.version, ""};
    }
    if (!swapped) last_error = swapped.error();
  }
  co_return last_error;
}

// Polling --------------------------------------------------------------------

void PlatformClient::Poll(const PollPlatform& effect, Sink sink) {
  asio::co_spawn(
      io_,
      [this, effect, sink = std::move(sink)]() -> asio::awaitable<void> {
        co_await PollTask(effect, sink);
      },
      asio::detached);
}

asio::awaitable<void> PlatformClient::PollTask(PollPlatform effect, Sink sink) {
  const auto changes = co_await Range(
      kTopologyPrefix, PrefixEnd(kTopologyPrefix), topology_mod_revision_ + 1);
  if (!changes) {
    sink(PlatformPolled{false});
    co_return;
  }
  const bool changed = !changes->values.empty() ||
                       changes->count != topology_entry_count_ ||
                       effect.known_topology == 0;
  if (changed) {
    auto topology = co_await ReadChangedTopology(*changes);
    if (topology) sink(TopologyRead{std::move(*topology)});
  }
  auto sheet = co_await ReadSheet(effect.known_sheet);
  if (sheet && *sheet) sink(SheetRead{std::move(**sheet)});
  sink(PlatformPolled{static_cast<bool>(sheet)});
}

}  // namespace corianderdock::net
