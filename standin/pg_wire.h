/// \file
/// Encoding of PostgreSQL message fields, and inspection of SQL text.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace standin {

[[nodiscard]] std::string EncodeInt32(std::uint32_t n);
[[nodiscard]] std::string EncodeInt16(std::uint16_t n);
[[nodiscard]] std::uint32_t DecodeInt32(std::string_view in);

/// Reads the fields of one message body in order. An integer that is
/// cut off reads as zero, a string as the bytes that are left.
class MessageReader {
 public:
  explicit MessageReader(std::string_view in) : in_(in) {}
  std::string ReadString();
  std::uint32_t ReadUint32();
  std::uint16_t ReadUint16();
  std::string ReadBytes(std::size_t n);

 private:
  std::string_view in_;
};

/// First word of a statement in upper case; empty when it has none.
[[nodiscard]] std::string FirstWord(std::string_view sql);

[[nodiscard]] bool IsInteger(const std::string& text);

/// Whether a statement is a group operation, a fault switch or access to the
/// request table. Such statements need no slot and no service time.
[[nodiscard]] bool IsControlStatement(std::string_view sql);

}  // namespace standin
