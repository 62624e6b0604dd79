/// \file
/// Tables and plots of measurements.
#pragma once

#include <json/json.h>

#include <string>
#include <vector>

namespace bench {

/// A comparison: one row for each variant, one column for each figure.
struct Table {
  std::string title;
  std::string note;  ///< what was run and how to run it again
  std::vector<std::string> columns;
  struct Row {
    std::string name;
    std::vector<double> values;
  };
  std::vector<Row> rows;

  [[nodiscard]] std::string Markdown() const;
  /// Grouped bars, each column scaled to its own largest value.
  [[nodiscard]] std::string Svg() const;
};

/// Writes NAME.md, NAME.svg and NAME.json into `folder` and prints the table.
void WriteReport(const std::string& folder, const std::string& name,
                 const std::vector<Table>& tables, const Json::Value& raw);

}  // namespace bench
