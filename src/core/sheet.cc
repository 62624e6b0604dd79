#include "corianderdock/sheet.h"

#include <csv.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace corianderdock {

namespace {

constexpr std::array<std::string_view, 7> kColumns = {
    "service", "group", "zones", "kind", "mode", "max_age", "demand"};
enum Column { kServiceId, kGroup, kZones, kKindId, kMode, kMaxAge, kDemand };

constexpr std::size_t kMaxNameLength = 64;
constexpr double kMaxDemand = 1e7;  // statements per second
constexpr std::size_t kMaxErrors = 100;
constexpr Duration kMaxStaleness = std::chrono::hours(24);

struct Row {
  std::size_t line = 0;
  std::vector<std::string> fields;
};

/// Builds rows from the callbacks of libcsv.
struct Collector {
  std::vector<Row> rows;
  std::vector<std::string> fields;
  std::size_t line = 1;
};

void OnField(void* text, std::size_t size, void* data) {
  auto* collector = static_cast<Collector*>(data);
  collector->fields.emplace_back(static_cast<const char*>(text), size);
}

void OnRow(int, void* data) {
  auto* collector = static_cast<Collector*>(data);
  collector->rows.push_back({collector->line, std::move(collector->fields)});
  collector->fields.clear();
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_';
         });
}

/// Checks rows one by one and adds the valid ones to a sheet.
class Checker {
 public:
  explicit Checker(std::vector<SheetError>& errors) : errors_(errors) {}

  void Check(const Row& row) {
    row_ = &row;
    if (row.fields.size() != kColumns.size()) {
      Fail(std::min(row.fields.size(), kColumns.size() - 1),
           "expected " + std::to_string(kColumns.size()) + " fields, found " +
               std::to_string(row.fields.size()));
      return;
    }
    const std::size_t before = errors_.size();
    for (const std::size_t column : {kServiceId, kGroup, kKindId}) {
      if (!IsName(row.fields[column])) {
        Fail(column, "expected a name of 1 to 64 letters, digits, - or _");
      }
    }
    const auto zones = Zones();
    const Kind kind = CheckKind();
    if (errors_.size() == before) Add(zones, kind);
  }

  Sheet sheet;

 private:
  void Fail(std::size_t column, std::string reason) {
    errors_.push_back({row_->line, column + 1, std::string(kColumns[column]),
                       std::move(reason)});
  }

  std::set<ZoneId> Zones() {
    std::set<ZoneId> zones;
    std::string_view rest = row_->fields[kZones];
    while (true) {
      const auto end = rest.find(';');
      const std::string zone(rest.substr(0, end));
      if (!IsName(zone)) {
        Fail(kZones, "expected zone names separated by ;");
        break;
      }
      if (!zones.insert(zone).second) Fail(kZones, "duplicate zone " + zone);
      if (end == std::string_view::npos) break;
      rest.remove_prefix(end + 1);
    }
    return zones;
  }

  Kind CheckKind() {
    Kind kind;
    const std::string& mode = row_->fields[kMode];
    const std::string& age = row_->fields[kMaxAge];
    if (mode == "write") {
      kind.mode = Mode::kWrite;
      if (!age.empty()) Fail(kMaxAge, "must be empty for a write");
    } else if (mode == "read") {
      const auto parsed = ParseDuration(age);
      if (!parsed || *parsed > kMaxStaleness) {
        Fail(kMaxAge, "expected 0 or a duration of up to 24 hours in ms or s");
      }
      kind.max_age = parsed.value_or(Duration(0));
    } else {
      Fail(kMode, "expected read or write");
    }
    const std::string& demand = row_->fields[kDemand];
    const auto [end, ec] = std::from_chars(
        demand.data(), demand.data() + demand.size(), kind.demand);
    if (ec != std::errc() || end != demand.data() + demand.size() ||
        !std::isfinite(kind.demand) || kind.demand < 0 ||
        kind.demand > kMaxDemand) {
      Fail(kDemand, "expected statements per second, 0 to 1e7");
    }
    return kind;
  }

  void Add(const std::set<ZoneId>& zones, const Kind& kind) {
    auto [it, inserted] = sheet.services.try_emplace(row_->fields[kServiceId]);
    Service& service = it->second;
    if (inserted) {
      service.group = row_->fields[kGroup];
      service.zones = zones;
    }
    if (service.group != row_->fields[kGroup]) {
      Fail(kGroup, "listed earlier with group " + service.group);
    }
    if (service.zones != zones) Fail(kZones, "listed earlier with other zones");
    if (!service.kinds.emplace(row_->fields[kKindId], kind).second) {
      Fail(kKindId, "duplicate kind for this service");
    }
  }

  std::vector<SheetError>& errors_;
  const Row* row_ = nullptr;
};

std::vector<Row> ReadRows(std::string_view text,
                          std::vector<SheetError>& errors) {
  csv_parser parser;
  csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_APPEND_NULL);
  Collector collector;
  // libcsv does not report lines, so it is given one line at a time.
  while (!text.empty()) {
    const auto end = text.find('\n');
    const std::string_view line =
        text.substr(0, end == std::string_view::npos ? text.size() : end + 1);
    text.remove_prefix(line.size());
    if (csv_parse(&parser, line.data(), line.size(), OnField, OnRow,
                  &collector) != line.size()) {
      errors.push_back(
          {collector.line, 1, "quotes", csv_strerror(csv_error(&parser))});
      break;
    }
    ++collector.line;
  }
  if (errors.empty() && csv_fini(&parser, OnField, OnRow, &collector) != 0) {
    errors.push_back({collector.line, 1, "quotes", "unterminated quote"});
  }
  csv_free(&parser);
  return std::move(collector.rows);
}

void CheckHeader(const std::vector<Row>& rows,
                 std::vector<SheetError>& errors) {
  if (rows.empty()) {
    errors.push_back({1, 1, "header", "the sheet is empty"});
    return;
  }
  for (std::size_t n = 0; n < kColumns.size(); ++n) {
    if (n < rows[0].fields.size() && rows[0].fields[n] == kColumns[n]) continue;
    errors.push_back(
        {1, n + 1, "header", "expected column " + std::string(kColumns[n])});
  }
  if (rows[0].fields.size() > kColumns.size()) {
    errors.push_back({1, kColumns.size() + 1, "header", "unknown column"});
  }
}

}  // namespace

double Service::Demand() const {
  double sum = 0;
  for (const auto& [id, kind] : kinds) sum += kind.demand;
  return sum;
}

std::optional<Duration> ParseDuration(std::string_view text) {
  if (text == "0") return Duration(0);
  double number = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (ec != std::errc() || !std::isfinite(number) || number < 0 ||
      number > 1e9) {
    return std::nullopt;
  }
  const std::string_view unit(
      end, static_cast<std::size_t>(text.data() + text.size() - end));
  using DoubleSeconds = std::chrono::duration<double>;
  if (unit == "ms") {
    return std::chrono::duration_cast<Duration>(DoubleSeconds(number / 1000));
  }
  if (unit == "s") {
    return std::chrono::duration_cast<Duration>(DoubleSeconds(number));
  }
  return std::nullopt;
}

Result<Sheet, std::vector<SheetError>> ParseSheet(std::string_view text) {
  std::vector<SheetError> errors;
  const std::vector<Row> rows = ReadRows(text, errors);
  if (errors.empty()) CheckHeader(rows, errors);
  if (!errors.empty()) return errors;
  Checker checker(errors);
  for (std::size_t n = 1; n < rows.size(); ++n) {
    checker.Check(rows[n]);
    if (errors.size() >= kMaxErrors) break;
  }
  if (errors.empty() && checker.sheet.services.empty()) {
    errors.push_back({2, 1, "service", "the sheet names no service"});
  }
  if (!errors.empty()) return errors;
  return std::move(checker.sheet);
}

std::string ToText(const SheetError& error) {
  return "line " + std::to_string(error.line) + ", column " +
         std::to_string(error.column) + " (" + error.field +
         "): " + error.reason;
}

}  // namespace corianderdock
