/// \file
/// Digests of clients' keys, and the tenants that hold them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "corianderdock/session/model.h"

namespace corianderdock::session {

/// Stands on a shared connection for the tenant of commands that an instance
/// sends on its own account, which may use a connection of any tenant.
inline constexpr std::string_view kOwnCommands = "*";

/// Returns the digest by which this process knows a key. It is seeded at random
/// at the start of the process, so that no client can compute collisions.
/// Thread-safe.
[[nodiscard]] KeyDigest DigestOf(std::string_view key);

/// Returns a number that log lines show instead of a key. It is the same in all
/// processes, and too short to find the key. Thread-safe.
[[nodiscard]] std::uint32_t FingerprintOf(std::string_view key);

/// Formats a fingerprint as 8 hexadecimal digits. Thread-safe.
[[nodiscard]] std::string FormatFingerprint(std::uint32_t fingerprint);

/// Whether `name` can be that of a tenant: commands to servers and to other
/// instances have it as a field, where some texts have another meaning.
/// Thread-safe.
[[nodiscard]] bool IsTenantName(std::string_view name);

/// Returns the tenant whose connections serve a client with this key under
/// `config`, empty if no keys are checked; null if the client is refused.
/// `route` is that of the client's database; null if there is none. A key that
/// no tenant holds is accepted on a route with open access, without a tenant.
/// Thread-safe.
[[nodiscard]] std::optional<TenantId> TenantOf(const RoutingConfig& config,
                                               const Route* route,
                                               const KeyDigest& key);

}  // namespace corianderdock::session
