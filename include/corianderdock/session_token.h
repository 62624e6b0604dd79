/// \file
/// Session consistency tokens carried by callers.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "corianderdock/result.h"
#include "corianderdock/types.h"

namespace corianderdock {

/// First index written in each term of a group; the fork points of its log.
using TermStarts = std::map<Term, std::uint64_t>;

/// Lowers a position from before a promotion to that promotion's fork point.
/// Sound because acknowledged entries always lie at or before it.
[[nodiscard]] Position ClampToHistory(Position position,
                                      const TermStarts& starts);

/// The newest position a session has seen in each group.
///
/// The token travels with the caller, so a session may continue at any
/// instance. Not thread-safe; a value type.
///
/// \code
/// auto token = SessionToken::Decode(text);
/// token->Merge("ledger-1", {3, 120});
/// std::string next = token->Encode();
/// \endcode
class SessionToken {
 public:
  /// Parses an encoded token. The empty text is the empty token. Fails on a
  /// wrong prefix, checksum or field.
  [[nodiscard]] static Result<SessionToken> Decode(std::string_view text);

  /// Opaque printable form, empty when no group was seen.
  [[nodiscard]] std::string Encode() const;

  /// Position seen in `group`; {0, 0} when none was.
  [[nodiscard]] Position At(const GroupId& group) const;

  /// Raises the position of `group`; never lowers it.
  void Merge(const GroupId& group, Position position);

  /// Replaces the position of `group`, as after clamping.
  void Set(const GroupId& group, Position position);

 private:
  std::map<GroupId, Position> positions_;
};

}  // namespace corianderdock
