/// \file
/// Reading of JSON objects with validation.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "corianderdock/result.h"

namespace corianderdock::detail {

/// Reads the members of one object and keeps the first error with its path.
/// Optional members that are missing yield the default.
class Fields {
 public:
  Fields(const Json::Value& object, std::string path);

  [[nodiscard]] std::string Text(const char* name, bool required = false);
  [[nodiscard]] std::uint64_t Number(const char* name, std::uint64_t fallback,
                                     std::uint64_t lowest = 0,
                                     std::uint64_t highest = UINT64_MAX);
  [[nodiscard]] bool Flag(const char* name, bool fallback);
  /// An array member; empty if it is missing.
  [[nodiscard]] const Json::Value& Array(const char* name);
  /// An object member; empty if it is missing.
  [[nodiscard]] const Json::Value& Object(const char* name);

  /// Fails if the object has members outside `known`.
  void RejectUnknown(std::initializer_list<std::string_view> known);

  /// Sets the error unless one is already set.
  void Fail(const std::string& place, std::string reason);
  [[nodiscard]] const std::optional<Error>& error() const { return error_; }
  [[nodiscard]] std::string Path(const std::string& name) const;

 private:
  [[nodiscard]] const Json::Value* Find(const char* name);

  const Json::Value& object_;
  std::string path_;
  std::optional<Error> error_;
};

/// Enumerator whose name is `text`. Without one, fails with the path of `field`
/// and returns the first enumerator.
template <typename Enum, std::size_t N>
[[nodiscard]] Enum ParseEnum(const char* const (&names)[N],
                             const std::string& text, Fields& fields,
                             const char* field) {
  for (std::size_t n = 0; n < N; ++n) {
    if (text == names[n]) return static_cast<Enum>(n);
  }
  fields.Fail(fields.Path(field), "has an unknown value");
  return static_cast<Enum>(0);
}

}  // namespace corianderdock::detail
