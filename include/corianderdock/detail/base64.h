/// \file
/// Base64 (RFC 4648, section 4), as used by the platform's JSON gateway.
#pragma once

#include <string>

#include "corianderdock/result.h"

namespace corianderdock::detail {

[[nodiscard]] std::string EncodeBase64(const std::string& bytes);
[[nodiscard]] Result<std::string> DecodeBase64(std::string text);

}  // namespace corianderdock::detail
