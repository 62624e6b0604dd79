#include "corianderdock/session_token.h"

#include <algorithm>
#include <charconv>
#include <vector>

#include "corianderdock/detail/hash.h"

namespace corianderdock {

namespace {

constexpr std::string_view kPrefix = "cd1";
constexpr std::size_t kMaxTokenLength = 16384;

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  for (;;) {
    const auto at = text.find(separator);
    parts.push_back(text.substr(0, at));
    if (at == std::string_view::npos) return parts;
    text.remove_prefix(at + 1);
  }
}

bool ParseNumber(std::string_view text, std::uint64_t& out) {
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), out);
  return ec == std::errc() && end == text.data() + text.size();
}

Error TokenError(const std::string& reason) { return {"token", reason}; }

}  // namespace

Position ClampToHistory(Position position, const TermStarts& starts) {
  const auto next = starts.upper_bound(position.term);
  if (next == starts.end() || next->second == 0) return position;
  return {position.term, std::min(position.index, next->second - 1)};
}

Result<SessionToken> SessionToken::Decode(std::string_view text) {
  SessionToken token;
  if (text.empty()) return token;
  if (text.size() > kMaxTokenLength) return TokenError("is too long");
  const auto parts = Split(text, '.');
  if (parts.size() < 3 || parts.front() != kPrefix) {
    return TokenError("has an unknown form");
  }
  const auto body = text.substr(0, text.size() - parts.back().size() - 1);
  if (detail::ContentAddress(body) != parts.back()) {
    return TokenError("has a wrong checksum");
  }
  for (std::size_t n = 1; n + 1 < parts.size(); ++n) {
    const auto fields = Split(parts[n], '~');
    Position position;
    if (fields.size() != 3 || fields[0].empty() ||
        !ParseNumber(fields[1], position.term) ||
        !ParseNumber(fields[2], position.index)) {
      return TokenError("has a malformed entry");
    }
    token.positions_[std::string(fields[0])] = position;
  }
  return token;
}

std::string SessionToken::Encode() const {
  if (positions_.empty()) return {};
  std::string text(kPrefix);
  for (const auto& [group, position] : positions_) {
    text += "." + group + "~" + std::to_string(position.term) + "~" +
            std::to_string(position.index);
  }
  return text + "." + detail::ContentAddress(text);
}

Position SessionToken::At(const GroupId& group) const {
  const auto it = positions_.find(group);
  return it == positions_.end() ? Position{} : it->second;
}

void SessionToken::Merge(const GroupId& group, Position position) {
  if (position == Position{}) return;
  Position& stored = positions_[group];
  if (position.term > stored.term ||
      (position.term == stored.term && position.index > stored.index)) {
    stored = position;
  }
}

void SessionToken::Set(const GroupId& group, Position position) {
  positions_[group] = position;
}

}  // namespace corianderdock
