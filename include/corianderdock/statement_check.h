/// \file
/// Rejection of statements that would escape their request.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "corianderdock/sheet.h"

namespace corianderdock {

/// Checks a caller's statement before it reaches a backend connection.
///
/// Transaction control, session settings and temporary objects would leak into
/// other callers' statements on the same connection, and several statements
/// in one would escape the recorded transaction.
///
/// \return the fault, or nothing when the statement is acceptable.
[[nodiscard]] std::optional<std::string> FindStatementFault(
    std::string_view sql, Mode mode);

}  // namespace corianderdock
