/// \file
/// JSON encoding of the messages between clients, instances and operators.
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

/// Parses the parameters of a client's method. Errors name the field.
[[nodiscard]] Result<Request> ParseRequest(Method method,
                                           const Json::Value& params);

/// Members of an answer to a client. `server`, `from_replica` and `result` are
/// present only if the outcome is `done`.
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

/// Parses the JSON text returned by a backend server's `group_status()`.
[[nodiscard]] Result<ServerStatus> ParseServerStatus(std::string_view text);

/// JSON text on one line, without white space.
[[nodiscard]] std::string ToText(const Json::Value& value);

/// Parses strict JSON of limited depth. The error names the place in the text.
[[nodiscard]] Result<Json::Value> ParseJson(std::string_view text);

/// Encodes and decodes the outcome text that is stored with a request id.
[[nodiscard]] std::string EncodeOutcome(const ResultSet& result);
[[nodiscard]] ResultSet DecodeOutcome(const std::string& text);

/// Outcome text of a request id that must never run.
inline constexpr char kTombstone[] = "tombstone";

}  // namespace corianderdock
