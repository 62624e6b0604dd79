/// \file
/// A value or a typed error; converts to true if it holds a value.
#pragma once

#include <cassert>
#include <string>
#include <utility>
#include <variant>

namespace corianderdock {

/// What is wrong with an input, and where.
struct Error {
  std::string place;   ///< field, JSON path, or line and column
  std::string reason;  ///< what was expected, or what is wrong
};

/// Holds either a `T` or an `E`.
///
/// \code
/// if (auto sheet = ParseSheet(text)) Use(*sheet); else Show(sheet.error());
/// \endcode
template <typename T, typename E = Error>
class [[nodiscard]] Result {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): allows `return value;`
  Result(T value) : state_(std::in_place_index<0>, std::move(value)) {}
  // NOLINTNEXTLINE(google-explicit-constructor): allows `return error;`
  Result(E error) : state_(std::in_place_index<1>, std::move(error)) {}

  [[nodiscard]] explicit operator bool() const noexcept {
    return state_.index() == 0;
  }

  /// \pre The result holds a value.
  [[nodiscard]] const T& operator*() const& {
    assert(*this);
    return std::get<0>(state_);
  }
  [[nodiscard]] T& operator*() & {
    assert(*this);
    return std::get<0>(state_);
  }
  [[nodiscard]] T&& operator*() && { return std::get<0>(std::move(state_)); }
  [[nodiscard]] const T* operator->() const { return &**this; }
  [[nodiscard]] T* operator->() { return &**this; }

  /// \pre The result holds an error.
  [[nodiscard]] const E& error() const {
    assert(!*this);
    return std::get<1>(state_);
  }

 private:
  std::variant<T, E> state_;
};

}  // namespace corianderdock
