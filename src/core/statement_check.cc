#include "corianderdock/statement_check.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>
#include <vector>

namespace corianderdock {

namespace {

constexpr std::array<std::string_view, 3> kReadKeywords = {"SELECT", "VALUES",
                                                           "WITH"};
constexpr std::array<std::string_view, 10> kWriteKeywords = {
    "INSERT", "UPDATE", "DELETE", "WITH",  "SELECT",
    "VALUES", "CREATE", "DROP",   "ALTER", "TRUNCATE"};

bool IsWordChar(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_';
}

/// Splits a statement into words and punctuation. Skips comments and the
/// contents of quoted literals and identifiers.
class Scanner {
 public:
  explicit Scanner(std::string_view sql) : rest_(sql) {}

  /// Next word in upper case, or one other character; empty at the end.
  std::string Next() {
    SkipIgnored();
    if (rest_.empty()) return {};
    if (rest_.front() == '\'' || rest_.front() == '"') return SkipQuoted();
    if (!IsWordChar(rest_.front())) {
      std::string one(1, rest_.front());
      rest_.remove_prefix(1);
      return one;
    }
    std::string word;
    while (!rest_.empty() && IsWordChar(rest_.front())) {
      word += static_cast<char>(
          std::toupper(static_cast<unsigned char>(rest_.front())));
      rest_.remove_prefix(1);
    }
    return word;
  }

 private:
  void SkipIgnored() {
    for (;;) {
      if (rest_.starts_with("--")) {
        const auto end = rest_.find('\n');
        rest_.remove_prefix(end == std::string_view::npos ? rest_.size() : end);
      } else if (rest_.starts_with("/*")) {
        const auto end = rest_.find("*/", 2);
        rest_.remove_prefix(end == std::string_view::npos ? rest_.size()
                                                          : end + 2);
      } else if (!rest_.empty() &&
                 std::isspace(static_cast<unsigned char>(rest_.front())) != 0) {
        rest_.remove_prefix(1);
      } else {
        return;
      }
    }
  }

  std::string SkipQuoted() {
    const char quote = rest_.front();
    const auto end = rest_.find(quote, 1);
    rest_.remove_prefix(end == std::string_view::npos ? rest_.size() : end + 1);
    return {quote};
  }

  std::string_view rest_;
};

template <std::size_t N>
bool IsOneOf(const std::string& word,
             const std::array<std::string_view, N>& keywords) {
  return std::find(keywords.begin(), keywords.end(), word) != keywords.end();
}

bool IsReservedName(const std::string& word) {
  return word.starts_with("CORIANDERDOCK_") || word.starts_with("GROUP_") ||
         word == "SET_CONFIG";
}

}  // namespace

std::optional<std::string> FindStatementFault(std::string_view sql, Mode mode) {
  Scanner scanner(sql);
  const std::string keyword = scanner.Next();
  if (keyword.empty()) return "statement is empty";
  const bool allowed = mode == Mode::kRead ? IsOneOf(keyword, kReadKeywords)
                                           : IsOneOf(keyword, kWriteKeywords);
  if (!allowed) return "statement may not begin with " + keyword;
  bool semicolon_seen = false;
  bool after_create = keyword == "CREATE";
  for (std::string word = scanner.Next(); !word.empty();
       word = scanner.Next()) {
    if (semicolon_seen) return "more than one statement";
    if (word == ";") semicolon_seen = true;
    if (IsReservedName(word)) return "reserved name " + word;
    if (after_create && (word == "TEMP" || word == "TEMPORARY")) {
      return "temporary objects are not shared between connections";
    }
    after_create = false;
  }
  return std::nullopt;
}

}  // namespace corianderdock
