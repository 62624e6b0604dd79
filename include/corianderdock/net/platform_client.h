/// \file
/// Client of the platform's key-value service (etcd v3 JSON gateway).
#pragma once

#include <json/json.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "corianderdock/effects.h"
#include "corianderdock/events.h"
#include "corianderdock/net/http_client.h"
#include "corianderdock/result.h"

namespace corianderdock::net {

/// Keys in the platform's key-value service.
inline constexpr char kManifestKey[] = "/corianderdock/manifest";
inline constexpr char kChunkPrefix[] = "/corianderdock/chunk/";
inline constexpr char kTopologyPrefix[] = "/platform/";
inline constexpr char kInstancePrefix[] = "/platform/instances/";
inline constexpr char kServerPrefix[] = "/platform/servers/";

/// Result of loading a sheet.
struct LoadResult {
  bool accepted = false;
  SheetVersion version = 0;
  std::string winning_author;  ///< author of the sheet accepted instead
};

/// Reads the topology and sheets, and loads sheets by compare-and-swap. Not
/// thread-safe; to be used from its io_context's thread.
class PlatformClient {
 public:
  using Sink = std::function<void(Event)>;

  /// \pre `io` outlives this object and all its coroutines.
  PlatformClient(boost::asio::io_context& io,
                 std::vector<std::string> endpoints);

  /// Reads what has changed; reports `TopologyRead` and `SheetRead` for
  /// changes, then always `PlatformPolled`.
  void Poll(const PollPlatform& effect, Sink sink);

  /// Reads the accepted sheet; null when there is none newer than `known`.
  boost::asio::awaitable<Result<std::optional<AcceptedSheet>>> ReadSheet(
      SheetVersion known);

  /// Reads the complete topology, regardless of what is cached.
  boost::asio::awaitable<Result<Topology>> ReadTopology();

  /// Proposes a validated sheet as the next version. Retries when a response is
  /// lost; `load_id` shows whether an earlier attempt took effect.
  boost::asio::awaitable<Result<LoadResult>> Load(std::string text,
                                                  std::string author,
                                                  std::string load_id);

  /// Writes one key.
  boost::asio::awaitable<Result<bool>> Put(std::string key, std::string value);

 private:
  struct KeyValue {
    std::string key;
    std::string value;
    std::uint64_t mod_revision = 0;
  };
  struct RangeResponse {
    std::vector<KeyValue> values;
    std::uint64_t revision = 0;
    std::uint64_t count = 0;
  };
  struct Manifest {
    AcceptedSheet sheet;  ///< its text is empty
    std::vector<std::string> chunks;
    std::vector<std::pair<SheetVersion, std::string>> history;
    std::uint64_t mod_revision = 0;
  };

  /// Applies changed entries to the cached topology and, when given, replaces
  /// its instances by `instances`. Null when the number of entries shows that
  /// other entries were removed as well.
  [[nodiscard]] std::optional<Topology> MergeTopology(
      const RangeResponse& changes, const RangeResponse* instances);
  boost::asio::awaitable<Result<Topology>> ReadChangedTopology(
      RangeResponse changes);
  boost::asio::awaitable<void> PollTask(PollPlatform effect, Sink sink);
  boost::asio::awaitable<Result<Json::Value>> Call(std::string path,
                                                   Json::Value body);
  boost::asio::awaitable<Result<RangeResponse>> Range(
      std::string key, std::string end, std::uint64_t min_mod_revision);
  boost::asio::awaitable<Result<std::optional<Manifest>>> ReadManifest();
  boost::asio::awaitable<Result<bool>> SwapManifest(const Manifest& next,
                                                    std::uint64_t expected);
  boost::asio::awaitable<Result<std::string>> ReadChunks(
      std::vector<std::string> chunks);
  [[nodiscard]] static Result<Manifest> ParseManifest(const KeyValue& in);
  [[nodiscard]] static Result<Topology> ToTopology(
      const RangeResponse& response);

  boost::asio::io_context& io_;
  HttpClient http_;
  std::vector<std::string> endpoints_;
  std::size_t current_endpoint_ = 0;
  Topology topology_;  ///< as last read by this client
  std::uint64_t topology_mod_revision_ = 0;
  std::uint64_t topology_entry_count_ = 0;
};

}  // namespace corianderdock::net
