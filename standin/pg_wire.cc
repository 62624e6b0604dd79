#include "pg_wire.h"

#include <algorithm>
#include <cctype>

namespace standin {

std::string EncodeInt32(std::uint32_t n) {
  std::string out(4, '\0');
  for (int i = 0; i < 4; ++i) out[i] = static_cast<char>(n >> (24 - 8 * i));
  return out;
}

std::string EncodeInt16(std::uint16_t n) {
  return {static_cast<char>(n >> 8), static_cast<char>(n & 0xff)};
}

std::uint32_t DecodeInt32(std::string_view in) {
  std::uint32_t n = 0;
  for (int i = 0; i < 4; ++i) n = n << 8 | static_cast<unsigned char>(in[i]);
  return n;
}

std::string MessageReader::ReadString() {
  const auto end = in_.find('\0');
  std::string out(in_.substr(0, end));
  in_.remove_prefix(std::min(in_.size(), out.size() + 1));
  return out;
}

std::uint32_t MessageReader::ReadUint32() {
  const std::uint32_t n = in_.size() < 4 ? 0 : DecodeInt32(in_);
  in_.remove_prefix(std::min<std::size_t>(4, in_.size()));
  return n;
}

std::uint16_t MessageReader::ReadUint16() {
  std::uint16_t n = 0;
  if (in_.size() >= 2) {
    n = static_cast<unsigned char>(in_[0]) << 8 |
        static_cast<unsigned char>(in_[1]);
  }
  in_.remove_prefix(std::min<std::size_t>(2, in_.size()));
  return n;
}

std::string MessageReader::ReadBytes(std::size_t n) {
  std::string out(in_.substr(0, n));
  in_.remove_prefix(std::min(n, in_.size()));
  return out;
}

std::string FirstWord(std::string_view sql) {
  std::string word;
  for (const char c : sql) {
    if (std::isalpha(static_cast<unsigned char>(c)) != 0) {
      word += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    } else if (!word.empty() || (c != ' ' && c != '\n' && c != '\t')) {
      break;
    }
  }
  return word;
}

bool IsInteger(const std::string& text) {
  const std::size_t from = text.starts_with('-') ? 1 : 0;
  return text.size() > from && text.size() < 19 &&
         std::all_of(text.begin() + static_cast<std::ptrdiff_t>(from),
                     text.end(),
                     [](unsigned char c) { return c >= '0' && c <= '9'; });
}

bool IsControlStatement(std::string_view sql) {
  return sql.find("group_") != std::string_view::npos ||
         sql.find("standin_") != std::string_view::npos ||
         sql.find("corianderdock_request") != std::string_view::npos;
}

}  // namespace standin
