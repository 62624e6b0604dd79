/// \file
/// Settings of `corianderdockd`, read from JSON and validated as a whole.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "corianderdock/memory_budget.h"
#include "corianderdock/options.h"
#include "corianderdock/result.h"

namespace corianderdock {

/// Settings of one process, fixed at its start.
struct Settings {
  Identity identity;
  std::string listen;       ///< IP:PORT for clients
  std::string peer_listen;  ///< IP:PORT for other instances and operators
  std::vector<std::string> platform;
  int traffic_threads = 2;
  std::string log_level = "INFO";
  std::string log_file;  ///< empty: standard error
  std::string database_user = "corianderdock";
  std::string database_name = "postgres";
  std::size_t max_body_bytes = 1 << 20;
  /// Memory limit of the process in megabytes; 0: unknown.
  std::uint64_t memory_megabytes = 0;
  /// Descriptors that the process may open; 0: unknown.
  std::uint64_t max_descriptors = 0;
  /// Limits of the bytes held for others; 0: derived from the memory limit.
  std::uint64_t budget_megabytes = 0;
  std::uint64_t reserved_megabytes = 0;
  std::uint64_t connection_megabytes = 0;
  /// Descriptors kept from accepted connections; 0: derived.
  std::uint64_t reserved_descriptors = 0;
  /// Accepted connections; 0: derived from the memory limit.
  std::uint64_t max_connections = 0;
  std::size_t max_header_bytes = 8 << 10;
  /// Limit on waiting for a complete request header on an open connection.
  Duration idle_timeout = std::chrono::seconds(60);
  /// Limit on receiving a request body, and on sending a response.
  Duration body_timeout = std::chrono::seconds(10);
  Options options;
};

/// Limits of the process. Unknown ones are 512 MB of memory, and the number of
/// descriptors that the system allows this process.
[[nodiscard]] BudgetLimits BudgetOf(const Settings& settings);

/// Parses settings; returns every error with the path of the setting.
[[nodiscard]] Result<Settings, std::vector<Error>> ParseSettings(
    std::string_view text);

}  // namespace corianderdock
