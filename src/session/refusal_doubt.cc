#include "corianderdock/session/refusal_doubt.h"

namespace corianderdock::session {

bool RefusalDoubt::IsEnd(const Reply& reply) {
  return HasReplyForm({Verb::kRollback, false}, reply);
}

RefusalDoubt::State RefusalDoubt::Add(const Reply& reply,
                                      const SeenReply& seen) {
  const bool failed = reply.error != ErrorCode::kNone;
  const bool own = OriginOf(command_, reply, seen, true) == ReplyOrigin::kOwn;
  if (own && (!failed || errors_decide_)) return State::kAnswered;
  // The command may have failed with this error instead.
  if (failed) return State::kUnknown;
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
