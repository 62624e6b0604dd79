/// \file
/// Integers and fields of PostgreSQL messages, and looks at SQL text.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace standin {

[[nodiscard]] std::string EncodeInt32(std::uint32_t n);
[[nodiscard]] std::string EncodeInt16(std::uint16_t n);
[[nodiscard]] std::uint32_t DecodeInt32(std::string_view in);

/// Reads fields of one message body in order.
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

/// First word of a statement in upper case.
[[nodiscard]] std::string FirstWord(std::string_view sql);

[[nodiscard]] bool IsInteger(const std::string& text);

/// Group operations and bookkeeping take neither a slot nor service time.
[[nodiscard]] bool IsControlStatement(std::string_view sql);

}  // namespace standin
