#include "corianderdock/session/refusal_doubt.h"

namespace corianderdock::session {

bool RefusalDoubt::IsEnd(const Reply& reply) {
  return HasReplyForm({Verb::kRollback, false}, reply);
}

RefusalDoubt::State RefusalDoubt::Add(const Reply& reply,
                                      const SeenReply& seen) {
  if (OriginOf(command_, reply, seen, true) == ReplyOrigin::kOwn) {
    return State::kAnswered;
  }
  // The command may have failed with this error instead.
  if (reply.error != ErrorCode::kNone) return State::kUnknown;
  switch (OriginOf({Verb::kRollback, false}, reply, seen, true)) {
    case ReplyOrigin::kOwn:
      return --new_ends_needed_ == 0 ? State::kRefused : State::kOpen;
    case ReplyOrigin::kForeign:
      return State::kUnknown;
    default:
      return State::kOpen;
  }
}

}  // namespace corianderdock::session
