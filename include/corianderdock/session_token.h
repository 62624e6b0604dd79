/// \file
/// Session consistency tokens carried by clients.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "corianderdock/result.h"
#include "corianderdock/types.h"

namespace corianderdock {

/// First log index of each term of a group, where its log may fork.
using TermStarts = std::map<Term, std::uint64_t>;

/// Lowers a position of an earlier term to the fork point of the next term, the
/// last entry that the promotion kept. This is safe because acknowledged
/// entries always lie at or before the fork point.
[[nodiscard]] Position ClampToHistory(Position position,
                                      const TermStarts& starts);

/// The newest log position that a session has seen in each group.
///
/// The client sends the token with each request, so a session may continue on
/// any instance. A value type; not thread-safe.
///
/// \code
/// auto token = SessionToken::Decode(text);
/// token->Merge("ledger-1", {3, 120});
/// std::string next = token->Encode();
/// \endcode
class SessionToken {
 public:
  /// Parses an encoded token; empty text gives an empty token. Fails if the
  /// token is too long or has a wrong prefix, checksum or field.
  [[nodiscard]] static Result<SessionToken> Decode(std::string_view text);

  /// Printable text, opaque to clients; empty if no group was seen.
  [[nodiscard]] std::string Encode() const;

  /// Position seen in `group`; {0, 0} if none was seen.
  [[nodiscard]] Position At(const GroupId& group) const;

  /// Raises the position of `group`; never lowers it.
  void Merge(const GroupId& group, Position position);

  /// Replaces the position of `group`; may lower it, for example after
  /// `ClampToHistory`.
  void Set(const GroupId& group, Position position);

 private:
  std::map<GroupId, Position> positions_;
};

}  // namespace corianderdock
