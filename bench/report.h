/// \file
/// Tables and plots of measurements.
#pragma once

#include <json/json.h>

#include <string>
#include <vector>

namespace bench {

/// Comparison with one row per variant and one column per figure.
struct Table {
  std::string title;
  std::string note;  ///< conditions of the run and the command to repeat it
  std::vector<std::string> columns;
  struct Row {
    std::string name;
    std::vector<double> values;
  };
  std::vector<Row> rows;

  [[nodiscard]] std::string Markdown() const;
  /// Grouped bar chart; each column is scaled to its largest value.
  [[nodiscard]] std::string Svg() const;
};

/// Writes NAME.md, NAME.json and one NAME-N.svg per table into `folder`, and
/// prints the Markdown.
void WriteReport(const std::string& folder, const std::string& name,
                 const std::vector<Table>& tables, const Json::Value& raw);

}  // namespace bench
