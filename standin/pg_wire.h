/// \file
/// Integers and fields of PostgreSQL messages, and looks at SQL text.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace standin {

[[nodiscard]] std::string Int32(std::uint32_t n);
[[nodiscard]] std::string Int16(std::uint16_t n);
[[nodiscard]] std::uint32_t ReadInt32(std::string_view in);

/// Reads fields of one message body in order.
class Cursor {
 public:
  explicit Cursor(std::string_view in) : in_(in) {}
  std::string Text();
  std::uint32_t Word();
  std::uint16_t Half();
  std::string Take(std::size_t n);

 private:
  std::string_view in_;
};

/// First word of a statement in upper case.
[[nodiscard]] std::string FirstWord(std::string_view sql);

[[nodiscard]] bool IsInteger(const std::string& text);

/// Group operations and bookkeeping take neither a slot nor service time.
[[nodiscard]] bool IsControl(std::string_view sql);

}  // namespace standin
