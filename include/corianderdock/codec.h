/// \file
/// JSON forms of the messages between callers, instances and operators.
#pragma once

#include <json/json.h>

#include <string>

#include "corianderdock/forwarding.h"
#include "corianderdock/gossip.h"
#include "corianderdock/request.h"
#include "corianderdock/result.h"
#include "corianderdock/sheet.h"
#include "corianderdock/topology.h"
#include "corianderdock/topology_change.h"

namespace corianderdock {

/// Parses the parameters of a caller's method. Errors name the field.
[[nodiscard]] Result<Request> ParseRequest(Method method,
                                           const Json::Value& params);

/// Result object of a done request.
[[nodiscard]] Json::Value ToJson(const Answer& answer);

[[nodiscard]] Json::Value ToJson(const RoutedRequest& routed);
[[nodiscard]] Result<RoutedRequest> ParseRoutedRequest(const Json::Value& in);
[[nodiscard]] Json::Value ToJson(const RoutedAnswer& answer);
[[nodiscard]] Result<RoutedAnswer> ParseRoutedAnswer(const Json::Value& in);
[[nodiscard]] Json::Value ToJson(const Gossip& gossip);
[[nodiscard]] Result<Gossip> ParseGossip(const Json::Value& in);
[[nodiscard]] Json::Value ToJson(const Topology& topology);
[[nodiscard]] Result<Topology> ParseTopology(const Json::Value& in);

[[nodiscard]] Json::Value ToJson(const TopologyChange& change);
[[nodiscard]] Result<TopologyChange> ParseTopologyChange(const Json::Value& in);
[[nodiscard]] Json::Value ToJson(const AcceptedSheet& sheet);
[[nodiscard]] Result<AcceptedSheet> ParseAcceptedSheet(const Json::Value& in);
[[nodiscard]] Json::Value ToJson(const Leadership& leadership);
[[nodiscard]] Leadership ParseLeadership(const Json::Value& in);

/// Parses a backend server's `group_status()` text.
[[nodiscard]] Result<ServerStatus> ParseServerStatus(std::string_view text);

/// Compact text of a value.
[[nodiscard]] std::string ToText(const Json::Value& value);

/// Parses JSON text strictly; the error names the offset.
[[nodiscard]] Result<Json::Value> ParseJson(std::string_view text);

/// Text stored beside a request id, and back.
[[nodiscard]] std::string EncodeOutcome(const ResultSet& result);
[[nodiscard]] ResultSet DecodeOutcome(const std::string& text);

/// Outcome text that marks a request as refused for ever.
inline constexpr char kTombstone[] = "tombstone";

}  // namespace corianderdock
