/// \file
/// Messages by which instances pass on tokens of tenants.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "corianderdock/types.h"

namespace corianderdock::session {

/// Tokens in messages are whole millionths, so that rounding creates none.
using MicroTokens = std::int64_t;

/// Rounds down; 0 for negative amounts and those that are not finite.
[[nodiscard]] MicroTokens ToMicroTokens(double tokens) noexcept;
[[nodiscard]] double FromMicroTokens(MicroTokens amount) noexcept;

/// Tokens of one tenant that an instance hands over or asks for.
struct QuotaRequestItem {
  TenantId tenant;
  MicroTokens give = 0;
  MicroTokens need = 0;

  bool operator==(const QuotaRequestItem&) const = default;
};

/// From an instance to a broker.
struct QuotaRequest {
  std::uint64_t boot = 0;    ///< identifies the process of the sender
  std::uint64_t number = 0;  ///< increases with each request of the process
  /// Of the broker's last answer to a report; 0: nothing is handed over.
  std::uint64_t ticket = 0;
  bool urgent = false;  ///< operations wait for it; otherwise it is a report
  std::uint64_t list_digest = 0;  ///< of the sender's list of instances
  std::uint64_t members = 0;      ///< instances that the sender counts
  std::vector<QuotaRequestItem> items;

  bool operator==(const QuotaRequest&) const = default;
};

/// Result of one item of a request.
struct QuotaAnswerItem {
  TenantId tenant;
  MicroTokens taken = 0;    ///< of the tokens handed over
  MicroTokens granted = 0;  ///< of the tokens asked for

  bool operator==(const QuotaAnswerItem&) const = default;
};

/// From a broker to an instance.
struct QuotaAnswer {
  std::uint64_t boot = 0;    ///< of the request
  std::uint64_t number = 0;  ///< of the request
  std::uint64_t ticket = 0;  ///< for the next report; 0 if it was urgent
  /// Digest of the list that all its members use; 0 if they don't agree.
  std::uint64_t agreed_digest = 0;
  std::uint64_t agreed_members = 0;  ///< most that one of them counts
  std::vector<QuotaAnswerItem> items;
  std::vector<TenantId> wanted;  ///< tenants whose tokens the broker lacks

  bool operator==(const QuotaAnswer&) const = default;
};

using QuotaMessage = std::variant<QuotaRequest, QuotaAnswer>;

/// Returns one line of JSON without the line end. Thread-safe.
[[nodiscard]] std::string EncodeQuotaMessage(const QuotaMessage& message);

/// Returns nothing if `text` is no message of this kind. Thread-safe.
[[nodiscard]] std::optional<QuotaMessage> DecodeQuotaMessage(
    std::string_view text);

}  // namespace corianderdock::session
