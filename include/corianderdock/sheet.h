/// \file
/// The operators' sheet: services with their groups, zones and staleness
/// bounds.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "corianderdock/result.h"
#include "corianderdock/types.h"

namespace corianderdock {

enum class Mode { kRead, kWrite };

/// One kind of statement of a service.
struct Kind {
  Mode mode = Mode::kRead;
  Duration max_age{0};  ///< staleness bound; zero for the latest data
  double demand = 0;    ///< expected statements per second
};

/// One service of the sheet.
struct Service {
  GroupId group;
  std::set<ZoneId> zones;
  std::map<KindId, Kind> kinds;

  /// Sum of the expected demand over all kinds, statements per second.
  [[nodiscard]] double Demand() const;
};

/// A valid sheet.
struct Sheet {
  std::map<ServiceId, Service> services;
};

/// An error in a sheet. Lines and columns count from 1; columns are CSV fields.
struct SheetError {
  std::size_t line = 0;
  std::size_t column = 0;
  std::string field;
  std::string reason;
};

/// Parses and checks a CSV sheet. Reports all errors, up to a limit.
///
/// Columns: `service,group,zones,kind,mode,max_age,demand`, one row for each
/// kind of a service. Zones are separated by `;`. `max_age` is a number with
/// `ms` or `s`, or `0`; it must be empty for writes.
[[nodiscard]] Result<Sheet, std::vector<SheetError>> ParseSheet(
    std::string_view text);

/// One line of text, such as `line 3, column 6 (max_age): ...`.
[[nodiscard]] std::string ToText(const SheetError& error);

/// Parses a duration such as `250ms`, `2s` or `0`.
[[nodiscard]] std::optional<Duration> ParseDuration(std::string_view text);

/// A sheet accepted by the platform.
struct AcceptedSheet {
  SheetVersion version = 0;
  std::string load_id;  ///< id of the load that won the compare-and-swap
  std::string author;
  std::string text;  ///< the CSV as loaded
};

}  // namespace corianderdock
