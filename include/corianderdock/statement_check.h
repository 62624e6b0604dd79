/// \file
/// Checks that a client's statement has no effect beyond its request.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "corianderdock/sheet.h"

namespace corianderdock {

/// Checks a client's statement before it is sent to a backend server.
///
/// Connections are pooled: transaction control, session settings and temporary
/// objects would affect other clients' statements on the same connection. With
/// several statements in one text, some could run outside the transaction that
/// records the request id.
///
/// \return why the statement is rejected, or nothing if it is accepted.
[[nodiscard]] std::optional<std::string> FindStatementFault(
    std::string_view sql, Mode mode);

}  // namespace corianderdock
