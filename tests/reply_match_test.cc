/// Which replies belong to a command: by their form, and by what came before on
/// the connection.
#include "corianderdock/session/reply_match.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "corianderdock/session/refusal_doubt.h"

namespace corianderdock::test {

namespace {

using session::CommandForm;
using session::ErrorCode;
using session::HasReplyForm;
using session::IsHarmlessExtra;
using session::NameOf;
using session::OriginOf;
using session::Reply;
using session::ReplyHistory;
using session::ReplyOrigin;
using session::SeenReply;
using session::ServerStatus;
using session::TransactionState;
using session::Verb;

constexpr auto kIdle = TransactionState::kIdle;
constexpr auto kOpen = TransactionState::kOpen;
constexpr auto kFailed = TransactionState::kFailed;

/// What a reply returns beside state and position.
enum class Content { kBare, kReceipt, kRowsOnly, kStatus, kError };

constexpr Content kContents[] = {Content::kBare, Content::kReceipt,
                                 Content::kRowsOnly, Content::kStatus,
                                 Content::kError};
constexpr TransactionState kStates[] = {kIdle, kOpen, kFailed};

/// The reply to a verb outside and inside a transaction.
struct VerbForm {
  Verb verb;
  Content content;
  TransactionState outside;
  TransactionState inside;
};

constexpr VerbForm kVerbForms[] = {
    {Verb::kBegin, Content::kBare, kOpen, kOpen},
    {Verb::kBeginRead, Content::kBare, kOpen, kOpen},
    {Verb::kCommit, Content::kReceipt, kIdle, kIdle},
    {Verb::kRollback, Content::kBare, kIdle, kIdle},
    {Verb::kRead, Content::kReceipt, kIdle, kOpen},
    {Verb::kWrite, Content::kReceipt, kIdle, kOpen},
    {Verb::kSet, Content::kBare, kIdle, kOpen},
    {Verb::kPrepareRead, Content::kBare, kIdle, kOpen},
    {Verb::kPrepareWrite, Content::kBare, kIdle, kOpen},
    {Verb::kExecute, Content::kReceipt, kIdle, kOpen},
    {Verb::kForget, Content::kBare, kIdle, kOpen},
    {Verb::kReset, Content::kBare, kIdle, kOpen},
    {Verb::kStatus, Content::kStatus, kIdle, kOpen},
    {Verb::kHold, Content::kStatus, kIdle, kOpen},
    {Verb::kResume, Content::kStatus, kIdle, kOpen},
    {Verb::kDemote, Content::kStatus, kIdle, kOpen},
    {Verb::kTenant, Content::kBare, kIdle, kOpen},
};

Reply MakeReply(Content content, TransactionState state) {
  Reply reply;
  reply.state = state;
  reply.position = Position{1, 10};
  switch (content) {
    case Content::kBare:
      break;
    case Content::kReceipt:
      reply.rows = {"row"};
      reply.receipt = "r1";
      break;
    case Content::kRowsOnly:
      reply.rows = {"row"};
      break;
    case Content::kStatus:
      reply.status = ServerStatus{false, 1, {1, 10}, 0};
      break;
    case Content::kError:
      reply.error = ErrorCode::kBusy;
      reply.detail = "full";
      break;
  }
  return reply;
}

/// Whether a server may send such a reply to the verb.
bool MayReply(const VerbForm& form, bool in_transaction, Content content,
              TransactionState state) {
  if (content == Content::kError) {
    return form.verb != Verb::kRollback && (in_transaction || state != kOpen);
  }
  // RESUME needs no status, as its reply isn't used.
  const bool status_optional =
      form.verb == Verb::kResume &&
      (content == Content::kBare || content == Content::kRowsOnly);
  return (content == form.content || status_optional) &&
         state == (in_transaction ? form.inside : form.outside);
}

constexpr SeenReply Seen(bool reply, bool receipt) {
  return {reply, receipt, TimePoint{}};
}

constexpr SeenReply kNew = Seen(false, false);
constexpr SeenReply kKnownReceipt = Seen(false, true);
constexpr SeenReply kKnown = Seen(true, true);

/// Calls `f(form, in_transaction, content, state)` for all combinations.
template <typename F>
void ForEach(F&& f) {
  for (const VerbForm& form : kVerbForms) {
    for (const bool in_transaction : {false, true}) {
      for (const Content content : kContents) {
        for (const TransactionState state : kStates) {
          INFO(NameOf(form.verb) << " in transaction " << in_transaction
                                 << " content " << static_cast<int>(content)
                                 << " state " << static_cast<int>(state));
          f(form, in_transaction, content, state);
        }
      }
    }
  }
}

TimePoint At(int ms) { return TimePoint{Milliseconds(1000 + ms)}; }

Reply Receipted(int n) {
  Reply reply;
  reply.rows = {"row " + std::to_string(n)};
  reply.receipt = "r" + std::to_string(n);
  reply.position = Position{1, 10};
  return reply;
}

}  // namespace

TEST_CASE("each verb has its form of reply") {
  ForEach([](const VerbForm& form, bool in_transaction, Content content,
             TransactionState state) {
    CHECK(
        HasReplyForm({form.verb, in_transaction}, MakeReply(content, state)) ==
        MayReply(form, in_transaction, content, state));
  });
}

TEST_CASE("a receipt doesn't excuse a reply of another form") {
  for (const VerbForm& form : kVerbForms) {
    if (form.content == Content::kReceipt) continue;
    INFO(NameOf(form.verb));
    if (form.verb == Verb::kResume) continue;
    Reply reply = MakeReply(form.content, form.outside);
    reply.receipt = "r1";
    CHECK_FALSE(HasReplyForm({form.verb, false}, reply));
  }
}

TEST_CASE("a new reply of the right form is the command's own") {
  ForEach([](const VerbForm& form, bool in_transaction, Content content,
             TransactionState state) {
    if (!MayReply(form, in_transaction, content, state)) return;
    for (const bool repeats_errors : {false, true}) {
      CHECK(OriginOf({form.verb, in_transaction}, MakeReply(content, state),
                     kNew, repeats_errors) == ReplyOrigin::kOwn);
    }
  });
}

// Guards against the answer of one client's statement being passed to another.
TEST_CASE("a reply of another form is never the command's") {
  ForEach([](const VerbForm& form, bool in_transaction, Content content,
             TransactionState state) {
    if (MayReply(form, in_transaction, content, state)) return;
    const CommandForm command{form.verb, in_transaction};
    const Reply reply = MakeReply(content, state);
    for (const bool repeats_errors : {false, true}) {
      const bool bare = content == Content::kBare;
      CHECK(OriginOf(command, reply, kNew, repeats_errors) ==
            (bare ? ReplyOrigin::kRepeat : ReplyOrigin::kForeign));
      CHECK(OriginOf(command, reply, kKnown, repeats_errors) ==
            ReplyOrigin::kRepeat);
    }
  });
}

// Guards against a repeated answer that acknowledges the next statement.
TEST_CASE("a success with a known receipt is never the command's") {
  ForEach([](const VerbForm& form, bool in_transaction, Content content,
             TransactionState state) {
    if (content != Content::kReceipt) return;
    const CommandForm command{form.verb, in_transaction};
    const Reply reply = MakeReply(content, state);
    CHECK(OriginOf(command, reply, kKnown, false) == ReplyOrigin::kRepeat);
    // The receipt of one reply with the rows of another.
    CHECK(OriginOf(command, reply, kKnownReceipt, false) ==
          ReplyOrigin::kForeign);
  });
}

TEST_CASE("a known reply without a receipt may be the command's or a repeat") {
  ForEach([](const VerbForm& form, bool in_transaction, Content content,
             TransactionState state) {
    if (content == Content::kReceipt) return;
    if (!MayReply(form, in_transaction, content, state)) return;
    CHECK(OriginOf({form.verb, in_transaction}, MakeReply(content, state),
                   kKnown, false) == ReplyOrigin::kPossibleRepeat);
  });
}

// Guards against a repeated BUSY by which a write that ran counts as not run.
TEST_CASE("an error with a new position is a possible repeat of a known one") {
  for (const VerbForm& form : kVerbForms) {
    if (form.verb == Verb::kRollback) continue;
    INFO(NameOf(form.verb));
    const Reply error = MakeReply(Content::kError, kIdle);
    const CommandForm command{form.verb, false};
    CHECK(OriginOf(command, error, kKnownReceipt, false) == ReplyOrigin::kOwn);
    CHECK(OriginOf(command, error, kKnownReceipt, true) ==
          ReplyOrigin::kPossibleRepeat);
    CHECK(OriginOf(command, error, kKnown, true) ==
          ReplyOrigin::kPossibleRepeat);
  }
}

TEST_CASE("an extra reply is harmless if it is known or bare") {
  for (const Content content : kContents) {
    for (const TransactionState state : kStates) {
      const Reply reply = MakeReply(content, state);
      CHECK(IsHarmlessExtra(reply, kKnown));
      CHECK(IsHarmlessExtra(reply, kNew) == (content == Content::kBare));
      CHECK(IsHarmlessExtra(reply, kKnownReceipt) ==
            (content == Content::kBare));
    }
  }
}

TEST_CASE("a history knows a reply by all of its fields") {
  Reply first = MakeReply(Content::kReceipt, kIdle);
  std::vector<Reply> others(10, first);
  others[0].rows = {"other"};
  others[1].rows = {"row", "row"};
  others[2].rows.clear();
  others[3].receipt = "r2";
  others[4].state = kOpen;
  others[5].position = Position{1, 11};
  others[6].position = Position{2, 10};
  others[7].position.reset();
  others[8].error = ErrorCode::kBusy;
  others[9].status = ServerStatus{};
  for (const Reply& it : others) {
    ReplyHistory history;
    CHECK_FALSE(history.FindOrAdd(first, At(0)).reply);
    CHECK(history.FindOrAdd(first, At(0)).reply);
    CHECK_FALSE(history.FindOrAdd(it, At(0)).reply);
  }
}

TEST_CASE("a history knows a status by all of its fields") {
  Reply first = MakeReply(Content::kStatus, kIdle);
  std::vector<Reply> others(5, first);
  others[0].status->primary = true;
  others[1].status->term = 2;
  others[2].status->received = {1, 11};
  others[3].status->received = {2, 10};
  others[4].status->fence_term = 2;
  for (const Reply& it : others) {
    ReplyHistory history;
    (void)history.FindOrAdd(first, At(0));
    CHECK_FALSE(history.FindOrAdd(it, At(0)).reply);
  }
}

TEST_CASE("a history knows receipts, and errors by code and text") {
  ReplyHistory history;
  Reply receipted = MakeReply(Content::kReceipt, kIdle);
  Reply error = MakeReply(Content::kError, kIdle);
  (void)history.FindOrAdd(receipted, At(0));
  (void)history.FindOrAdd(error, At(0));
  receipted.rows = {"other"};
  CHECK(history.FindOrAdd(receipted, At(1)).receipt);
  receipted.receipt = "r2";
  CHECK_FALSE(history.FindOrAdd(receipted, At(1)).receipt);
  error.position = Position{1, 11};
  error.state = kFailed;
  CHECK(history.FindOrAdd(error, At(1)).receipt);
  Reply other_code = error;
  other_code.error = ErrorCode::kBehind;
  CHECK_FALSE(history.FindOrAdd(other_code, At(1)).receipt);
  Reply other_text = error;
  other_text.detail = "fuller";
  CHECK_FALSE(history.FindOrAdd(other_text, At(1)).receipt);
  // A text is no receipt.
  Reply text_as_receipt = MakeReply(Content::kReceipt, kIdle);
  text_as_receipt.receipt = "full";
  CHECK_FALSE(history.FindOrAdd(text_as_receipt, At(1)).receipt);
}

TEST_CASE("a known reply dates from the first time it came") {
  ReplyHistory history;
  const Reply status = MakeReply(Content::kStatus, kIdle);
  (void)history.FindOrAdd(status, At(1));
  CHECK(history.FindOrAdd(status, At(2)).sent == At(1));
  CHECK(history.FindOrAdd(status, At(3)).sent == At(1));
}

namespace {

/// A status that no other number has, at the same position.
Reply Status(int n) {
  Reply reply = MakeReply(Content::kStatus, kIdle);
  reply.status->fence_term = static_cast<Term>(n) + 1000;
  return reply;
}

/// An error that no other number has.
Reply Refusal(int n) {
  Reply reply = MakeReply(Content::kError, kIdle);
  reply.position = Position{1, static_cast<std::uint64_t>(n)};
  return reply;
}

}  // namespace

TEST_CASE("a history forgets the oldest reply without receipt or error") {
  ReplyHistory history;
  const int capacity = static_cast<int>(ReplyHistory::kMaxOthers);
  for (int n = 0; n < capacity; ++n) {
    CHECK_FALSE(history.FindOrAdd(Status(n), At(n)).reply);
  }
  for (int n = 0; n < capacity; ++n) {
    CHECK(history.FindOrAdd(Status(n), At(n)).reply);
  }
  // Takes the place of the first, which takes that of the second.
  CHECK_FALSE(history.FindOrAdd(Status(capacity), At(0)).reply);
  CHECK_FALSE(history.FindOrAdd(Status(0), At(0)).reply);
  for (int n = 2; n <= capacity; ++n) {
    CHECK(history.FindOrAdd(Status(n), At(0)).reply);
  }
  CHECK_FALSE(history.FindOrAdd(Status(1), At(0)).reply);
  CHECK_FALSE(history.full());
}

// Guards against evidence that is dated too late: a BEGIN that was repeated
// after hundreds of others counted as new.
TEST_CASE("a reply below the highest position is never new") {
  ReplyHistory history;
  Reply later = MakeReply(Content::kBare, kIdle);
  later.position = Position{2, 7};
  CHECK_FALSE(history.FindOrAdd(later, At(1)).reply);
  Reply older = later;
  older.position = Position{1, 9};
  const SeenReply seen = history.FindOrAdd(older, At(2));
  CHECK(seen.reply);
  CHECK(seen.sent == TimePoint{});
  later.position = Position{2, 8};
  CHECK_FALSE(history.FindOrAdd(later, At(3)).reply);
}

// Guards against a client's answer that is another one's: the history had
// forgotten the receipt.
TEST_CASE("a history forgets no receipt and no error, and is full instead") {
  ReplyHistory receipts;
  const int max_receipts = static_cast<int>(ReplyHistory::kMaxReceipts);
  for (int n = 0; n < max_receipts; ++n) {
    CHECK_FALSE(receipts.full());
    CHECK_FALSE(receipts.FindOrAdd(Receipted(n), At(n)).receipt);
  }
  CHECK(receipts.full());
  for (int n = 0; n < max_receipts; ++n) {
    CHECK(receipts.FindOrAdd(Receipted(n), At(n)).reply);
  }
  ReplyHistory errors;
  const int max_errors = static_cast<int>(ReplyHistory::kMaxErrors);
  for (int n = 0; n < max_errors; ++n) {
    CHECK_FALSE(errors.full());
    CHECK_FALSE(errors.FindOrAdd(Refusal(n), At(n)).reply);
  }
  CHECK(errors.full());
  for (int n = 0; n < max_errors; ++n) {
    CHECK(errors.FindOrAdd(Refusal(n), At(n)).reply);
  }
}

TEST_CASE("a history knows any of its last replies, in any order") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& replies) {
    ReplyHistory history;
    std::set<std::uint8_t> known;  // at most as many as a history keeps
    for (const std::uint8_t n : replies) {
      const SeenReply seen = history.FindOrAdd(Receipted(n), At(n));
      RC_ASSERT(seen.reply == known.contains(n));
      RC_ASSERT(seen.receipt == seen.reply);
      if (seen.reply) RC_ASSERT(seen.sent == At(n));
      known.insert(n);
    }
  }));
}

// Guards against a client's answer that is another one's, whatever the server
// repeats and whenever.
TEST_CASE("a server's repeats never pass for the results of statements") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& choices) {
    ReplyHistory history;
    std::vector<Reply> earlier;
    int number = 0;
    for (const std::uint8_t choice : choices) {
      const CommandForm form{choice % 2 == 0 ? Verb::kRead : Verb::kWrite,
                             choice % 4 < 2};
      // Repeats of earlier replies before the command's own.
      for (std::size_t n = choice % 5; n > 0 && !earlier.empty(); --n) {
        const Reply& repeat = earlier[(choice * n) % earlier.size()];
        const SeenReply seen = history.FindOrAdd(repeat, At(number));
        RC_ASSERT(OriginOf(form, repeat, seen, false) == ReplyOrigin::kRepeat);
      }
      Reply own = Receipted(++number);
      own.state = form.in_transaction ? kOpen : kIdle;
      const SeenReply seen = history.FindOrAdd(own, At(number));
      RC_ASSERT(OriginOf(form, own, seen, false) == ReplyOrigin::kOwn);
      earlier.push_back(own);
      RC_PRE(earlier.size() <= ReplyHistory::kMaxReceipts);
    }
  }));
}

TEST_CASE("every origin and verb has a name") {
  std::set<std::string> names;
  for (const VerbForm& form : kVerbForms) names.insert(NameOf(form.verb));
  names.insert(NameOf(Verb::kUnknown));
  CHECK(names.size() == std::size(kVerbForms) + 1);
  names.clear();
  for (const ReplyOrigin it : {ReplyOrigin::kOwn, ReplyOrigin::kPossibleRepeat,
                               ReplyOrigin::kRepeat, ReplyOrigin::kForeign}) {
    names.insert(NameOf(it));
  }
  CHECK(names.size() == 4);
}

// Guards against a refusal that counts as the write's own, as the late reply to
// a command before it was taken for that to the ROLLBACK.
TEST_CASE("a refusal in doubt is decided by replies that can't be earlier") {
  using State = session::RefusalDoubt::State;
  session::RefusalDoubt doubt({Verb::kWrite, false}, 1, true);
  Reply end;
  end.position = Position{1, 10};
  CHECK(doubt.Add(end, {true, false, {}}) == State::kOpen);
  CHECK(doubt.Add(end, {}) == State::kOpen);
  Reply known;
  known.receipt = "r1";
  CHECK(doubt.Add(known, {true, true, {}}) == State::kOpen);
  Reply error;
  error.error = ErrorCode::kBusy;
  CHECK(doubt.Add(error, {false, true, {}}) == State::kUnknown);
  CHECK(doubt.Add(error, {}) == State::kAnswered);
  known.receipt = "r2";
  CHECK(doubt.Add(known, {}) == State::kAnswered);
  known.state = kOpen;
  CHECK(doubt.Add(known, {}) == State::kUnknown);
  CHECK(doubt.Add(end, {}) == State::kRefused);
  session::RefusalDoubt begun({Verb::kWrite, true}, 0, false);
  CHECK(begun.Add(error, {}) == State::kUnknown);
}

}  // namespace corianderdock::test
