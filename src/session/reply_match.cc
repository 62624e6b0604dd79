#include "corianderdock/session/reply_match.h"

#include <array>
#include <cstring>
#include <string>
#include <string_view>

#include "corianderdock/detail/hash.h"
#include "corianderdock/session/freshness.h"

namespace corianderdock::session {

namespace {

bool HasStatus(Verb verb) {
  return verb == Verb::kStatus || verb == Verb::kHold || verb == Verb::kDemote;
}

/// State of the connection after the command has succeeded.
TransactionState StateAfter(const CommandForm& form) {
  switch (form.verb) {
    case Verb::kBegin:
    case Verb::kBeginRead:
      return TransactionState::kOpen;
    case Verb::kCommit:
    case Verb::kRollback:
      return TransactionState::kIdle;
    default:
      return form.in_transaction ? TransactionState::kOpen
                                 : TransactionState::kIdle;
  }
}

/// Whether a reply says no more than that a command without result succeeded.
bool IsBare(const Reply& reply) {
  return reply.error == ErrorCode::kNone && reply.receipt.empty() &&
         reply.rows.empty() && !reply.status;
}

std::uint64_t Extend(std::uint64_t hash, std::string_view text) {
  std::array<char, sizeof hash> before{};
  std::memcpy(before.data(), &hash, sizeof hash);
  return detail::HashPair({before.data(), before.size()}, text);
}

std::uint64_t Extend(std::uint64_t hash, std::uint64_t number) {
  std::array<char, sizeof number> bytes{};
  std::memcpy(bytes.data(), &number, sizeof number);
  return Extend(hash, std::string_view(bytes.data(), bytes.size()));
}

std::uint64_t Extend(std::uint64_t hash, Position position) {
  return Extend(Extend(hash, position.term), position.index);
}

/// Hash of what identifies a reply: its receipt, or else its error.
std::uint64_t HashIdentity(const Reply& reply) {
  const auto code = static_cast<std::uint64_t>(reply.error);
  return Extend(code,
                reply.error == ErrorCode::kNone ? reply.receipt : reply.detail);
}

std::uint64_t HashAll(const Reply& reply, std::uint64_t identity) {
  std::uint64_t hash = identity;
  for (const std::string& row : reply.rows) hash = Extend(hash, row);
  if (const auto& it = reply.status) {
    hash = Extend(hash, static_cast<std::uint64_t>(it->primary));
    hash = Extend(Extend(hash, it->term), it->received);
    hash = Extend(hash, it->fence_term);
  }
  hash = Extend(hash, static_cast<std::uint64_t>(reply.state));
  return reply.position ? Extend(hash, *reply.position) : hash;
}

}  // namespace

bool HasReceipt(Verb verb) noexcept {
  return verb == Verb::kRead || verb == Verb::kWrite ||
         verb == Verb::kExecute || verb == Verb::kCommit;
}

bool HasReplyForm(const CommandForm& form, const Reply& reply) {
  if (reply.error != ErrorCode::kNone) {
    if (form.verb == Verb::kRollback) return false;
    return form.in_transaction || reply.state != TransactionState::kOpen;
  }
  if (reply.state != StateAfter(form)) return false;
  if (HasReceipt(form.verb)) return !reply.receipt.empty();
  if (!reply.receipt.empty()) return false;
  if (HasStatus(form.verb)) return reply.status.has_value();
  return form.verb == Verb::kResume || IsBare(reply);
}

ReplyOrigin OriginOf(const CommandForm& form, const Reply& reply,
                     const SeenReply& seen, bool repeats_errors) {
  const bool fits = HasReplyForm(form, reply);
  const bool receipted =
      reply.error == ErrorCode::kNone && !reply.receipt.empty();
  if (receipted && !seen.receipt) {
    return fits ? ReplyOrigin::kOwn : ReplyOrigin::kForeign;
  }
  // A known receipt with other rows is a repeat that was merged with another
  // reply.
  if (receipted) {
    return seen.reply ? ReplyOrigin::kRepeat : ReplyOrigin::kForeign;
  }
  if (fits) {
    const bool known = reply.error != ErrorCode::kNone && repeats_errors
                           ? seen.receipt
                           : seen.reply;
    return known ? ReplyOrigin::kPossibleRepeat : ReplyOrigin::kOwn;
  }
  return IsHarmlessExtra(reply, seen) ? ReplyOrigin::kRepeat
                                      : ReplyOrigin::kForeign;
}

// A bare reply that isn't known answers an earlier command without result, for
// whose reply a repeat was taken.
bool IsHarmlessExtra(const Reply& reply, const SeenReply& seen) {
  return seen.reply || IsBare(reply);
}

const char* NameOf(ReplyOrigin origin) noexcept {
  constexpr std::array<const char*, 4> kNames = {"own", "possible_repeat",
                                                 "repeat", "foreign"};
  return kNames[static_cast<std::size_t>(origin)];
}

const char* NameOf(Verb verb) noexcept {
  constexpr std::array<const char*, 18> kNames = {
      "begin",  "begin_read", "commit",       "rollback",      "read",
      "write",  "set",        "prepare_read", "prepare_write", "exec",
      "forget", "reset",      "status",       "hold",          "resume",
      "demote", "tenant",     "unknown"};
  return kNames[static_cast<std::size_t>(verb)];
}

SeenReply ReplyHistory::FindOrAdd(const Reply& reply, TimePoint sent) {
  SeenReply seen;
  const Entry added{HashAll(reply, HashIdentity(reply)), HashIdentity(reply),
                    sent};
  const bool failed = reply.error != ErrorCode::kNone;
  highest_ = LaterPosition(highest_, reply.position);
  if (!failed && !reply.receipt.empty()) {
    const auto [it, is_new] = receipts_.try_emplace(added.identity, added);
    seen.receipt = !is_new;
    seen.reply = !is_new && it->second.reply == added.reply;
    seen.sent = it->second.sent;
    return seen;
  }
  std::vector<Entry>& entries = failed ? errors_ : others_;
  for (const Entry& it : entries) {
    if (it.identity != added.identity) continue;
    seen.receipt = true;
    if (it.reply != added.reply) continue;
    seen.reply = true;
    seen.sent = it.sent;
    return seen;
  }
  if (failed || others_.size() < kMaxOthers) {
    entries.push_back(added);
  } else {
    others_[oldest_] = added;
    oldest_ = (oldest_ + 1) % kMaxOthers;
  }
  // A log position doesn't go back, so the reply may be one that was forgotten.
  if (!failed && reply.position && reply.position != highest_) {
    seen.reply = true;
  }
  return seen;
}

}  // namespace corianderdock::session
