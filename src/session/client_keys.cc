#include "corianderdock/session/client_keys.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace corianderdock::session {

namespace {

std::uint64_t RandomSeed() {
  std::random_device device;
  const std::uint64_t high = device();
  return high << 32U | device();
}

}  // namespace

KeyDigest DigestOf(std::string_view key) {
  static const std::uint64_t kSeed = RandomSeed();
  const XXH128_hash_t hash =
      XXH3_128bits_withSeed(key.data(), key.size(), kSeed);
  return {hash.low64, hash.high64};
}

std::uint32_t FingerprintOf(std::string_view key) {
  return static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size()));
}

std::string FormatFingerprint(std::uint32_t fingerprint) {
  std::array<char, 9> text{};
  std::snprintf(text.data(), text.size(), "%08x", fingerprint);
  return text.data();
}

bool IsTenantName(std::string_view name) {
  const bool reserved = name.empty() || name == "-" || name == kOwnCommands;
  return !reserved && std::all_of(name.begin(), name.end(), [](char it) {
    const auto byte = static_cast<unsigned char>(it);
    return byte > ' ' && byte != 0x7f;
  });
}

std::optional<TenantId> TenantOf(const RoutingConfig& config,
                                 const Route* route, const KeyDigest& key) {
  if (!config.tenants) return TenantId();
  const auto it = config.tenants->holders.find(key);
  if (it != config.tenants->holders.end()) return it->second->id;
  if (route != nullptr && route->open_access) return TenantId();
  return std::nullopt;
}

}  // namespace corianderdock::session
