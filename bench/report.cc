#include "report.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "corianderdock/codec.h"

namespace bench {

namespace {

constexpr int kBarHeight = 14;
constexpr int kBarWidth = 260;
constexpr int kLabelWidth = 260;
constexpr int kGroupGap = 10;
constexpr const char* kColors[] = {"#2c6e91", "#d98032", "#5b8c3a", "#8a4f9e"};

std::string FormatNumber(double value) {
  std::ostringstream out;
  out.precision(value != 0 && value < 10 ? 2 : 1);
  out << std::fixed << value;
  return out.str();
}

}  // namespace

std::string Table::Markdown() const {
  std::string out = "### " + title + "\n\n";
  if (!note.empty()) out += note + "\n\n";
  out += "| |";
  for (const auto& it : columns) out += " " + it + " |";
  out += "\n|---|";
  for (std::size_t n = 0; n < columns.size(); ++n) out += "---:|";
  out += "\n";
  for (const auto& row : rows) {
    out += "| " + row.name + " |";
    for (const double it : row.values) out += " " + FormatNumber(it) + " |";
    out += "\n";
  }
  return out + "\n";
}

std::string Table::Svg() const {
  std::ostringstream out;
  const std::size_t bars = columns.size() * rows.size();
  const std::size_t height =
      60 + bars * kBarHeight + columns.size() * kGroupGap + rows.size() * 18;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"640\" height=\""
      << height << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      << "<text x=\"10\" y=\"20\" font-size=\"14\">" << title << "</text>\n";
  std::size_t y = 36;
  for (std::size_t row = 0; row < rows.size(); ++row) {
    out << "<rect x=\"10\" y=\"" << y - 9 << "\" width=\"10\" height=\"10\" "
        << "fill=\"" << kColors[row % 4] << "\"/><text x=\"26\" y=\"" << y
        << "\">" << rows[row].name << "</text>\n";
    y += 18;
  }
  for (std::size_t n = 0; n < columns.size(); ++n) {
    double largest = 0;
    for (const auto& row : rows) largest = std::max(largest, row.values[n]);
    out << "<text x=\"10\" y=\"" << y + 10 << "\">" << columns[n]
        << "</text>\n";
    for (std::size_t row = 0; row < rows.size(); ++row) {
      const double value = rows[row].values[n];
      const double width = largest <= 0 ? 0 : kBarWidth * value / largest;
      out << "<rect x=\"" << kLabelWidth << "\" y=\"" << y << "\" width=\""
          << width << "\" height=\"" << kBarHeight - 3 << "\" fill=\""
          << kColors[row % 4] << "\"/><text x=\"" << kLabelWidth + width + 4
          << "\" y=\"" << y + 10 << "\">" << FormatNumber(value) << "</text>\n";
      y += kBarHeight;
    }
    y += kGroupGap;
  }
  out << "</svg>\n";
  return out.str();
}

void WriteReport(const std::string& folder, const std::string& name,
                 const std::vector<Table>& tables, const Json::Value& raw) {
  std::filesystem::create_directories(folder);
  std::string markdown = "## " + name + "\n\n";
  for (std::size_t n = 0; n < tables.size(); ++n) {
    std::string plot = name;
    plot += "-";
    plot += std::to_string(n + 1);
    plot += ".svg";
    markdown += tables[n].Markdown();
    markdown += "![";
    markdown += tables[n].title;
    markdown += "](";
    markdown += plot;
    markdown += ")\n\n";
    const std::filesystem::path path = std::filesystem::path(folder) / plot;
    std::ofstream(path) << tables[n].Svg();
  }
  std::ofstream(folder + "/" + name + ".md") << markdown;
  std::ofstream(folder + "/" + name + ".json")
      << corianderdock::ToText(raw) << "\n";
  std::cout << markdown << std::flush;
}

}  // namespace bench
