/// \file
/// The platform's key-value service over the etcd v3 JSON gateway.
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

/// Keys used in the platform's service.
inline constexpr char kManifestKey[] = "/corianderdock/manifest";
inline constexpr char kChunkPrefix[] = "/corianderdock/chunk/";
inline constexpr char kListPrefix[] = "/platform/";
inline constexpr char kInstancePrefix[] = "/platform/instances/";
inline constexpr char kServerPrefix[] = "/platform/servers/";

/// What became of a load.
struct LoadResult {
  bool accepted = false;
  SheetVersion version = 0;
  std::string winner;  ///< who won instead, when not accepted
};

/// Reads lists and sheets, and loads sheets by compare-and-swap. Not
/// thread-safe; used from its context's thread.
class PlatformClient {
 public:
  using Sink = std::function<void(Event)>;

  /// \pre `io` outlives this object and all its coroutines.
  PlatformClient(boost::asio::io_context& io,
                 std::vector<std::string> endpoints);

  /// Reads what changed; reports `TopologyRead`, `SheetRead` and at last
  /// `PlatformPolled`.
  void Poll(const PollPlatform& effect, Sink sink);

  /// Reads the accepted sheet; nothing when there is none.
  boost::asio::awaitable<Result<std::optional<AcceptedSheet>>> ReadSheet(
      SheetVersion known);

  /// Reads the platform's lists whatever is known already.
  boost::asio::awaitable<Result<Topology>> ReadTopology();

  /// Offers a checked sheet as the next version. Retries lost answers and
  /// finds out by `load_id` whether an earlier attempt took effect.
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
  struct RangeAnswer {
    std::vector<KeyValue> values;
    std::uint64_t revision = 0;
    std::uint64_t count = 0;
  };
  struct Manifest {
    AcceptedSheet sheet;  ///< without its text
    std::vector<std::string> chunks;
    std::vector<std::pair<SheetVersion, std::string>> history;
    std::uint64_t mod_revision = 0;
  };

  /// The lists with changed entries, and with `instances` in place of those
  /// known when given; nothing when other entries were removed too.
  [[nodiscard]] std::optional<Topology> Merge(const RangeAnswer& changes,
                                              const RangeAnswer* instances);
  boost::asio::awaitable<Result<Topology>> ReadChanged(RangeAnswer changes);
  boost::asio::awaitable<void> PollTask(PollPlatform effect, Sink sink);
  boost::asio::awaitable<Result<Json::Value>> Call(std::string path,
                                                   Json::Value body);
  boost::asio::awaitable<Result<RangeAnswer>> Range(
      std::string key, std::string end, std::uint64_t min_mod_revision);
  boost::asio::awaitable<Result<std::optional<Manifest>>> ReadManifest();
  boost::asio::awaitable<Result<bool>> SwapManifest(const Manifest& next,
                                                    std::uint64_t expected);
  boost::asio::awaitable<Result<std::string>> ReadChunks(
      std::vector<std::string> chunks);
  [[nodiscard]] static Result<Manifest> ParseManifest(const KeyValue& in);
  [[nodiscard]] static Result<Topology> ToTopology(const RangeAnswer& answer);

  boost::asio::io_context& io_;
  HttpClient http_;
  std::vector<std::string> endpoints_;
  std::size_t current_ = 0;
  Topology lists_;  ///< as last read here
  std::uint64_t list_mod_revision_ = 0;
  std::uint64_t list_count_ = 0;
};

}  // namespace corianderdock::net
