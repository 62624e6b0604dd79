/// \file
/// Settings of a daemon, read from JSON and checked whole.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "corianderdock/options.h"
#include "corianderdock/result.h"

namespace corianderdock {

/// Everything a daemon is told at its start.
struct Settings {
  Identity identity;
  std::string listen;       ///< IP:PORT for callers
  std::string peer_listen;  ///< IP:PORT for other instances and operators
  std::vector<std::string> platform;
  int traffic_threads = 2;
  std::string log_level = "INFO";
  std::string log_file;  ///< empty logs to standard error
  std::string database_user = "corianderdock";
  std::string database_name = "postgres";
  std::size_t largest_body = 1 << 20;
  Duration idle_timeout = std::chrono::seconds(60);  ///< until a whole header
  Duration body_timeout = std::chrono::seconds(10);  ///< until a whole body
  Options options;
};

/// Parses settings; every fault found is reported with its path.
[[nodiscard]] Result<Settings, std::vector<Error>> ParseSettings(
    std::string_view text);

}  // namespace corianderdock
