/// The grammar of the line protocol: what is parsed is written as it was, and
/// what is written is parsed as it was, on all three sides.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "corianderdock/session/client_keys.h"
#include "platform/wire.h"

namespace corianderdock::test {

namespace {

using platform::ClientMessage;
using platform::ParseClientMessage;
using platform::ParsePeerMessage;
using platform::PeerMessage;
using platform::ReplyParser;
using session::ErrorCode;
using session::Reply;
using session::ServerCommand;
using session::TransactionState;
using session::Verb;

/// Any bytes that the last field of a line may hold.
rc::Gen<std::string> Text() {
  const auto byte = rc::gen::weightedOneOf<char>(
      {{3, rc::gen::element(' ', 'a', 'Q', '-', '\0', '\xff', '.', '1')},
       {1, rc::gen::arbitrary<char>()}});
  return rc::gen::container<std::string>(rc::gen::suchThat(
      byte, [](char it) { return it != '\r' && it != '\n'; }));
}

rc::Gen<std::string> NonEmptyText() {
  return rc::gen::suchThat(Text(),
                           [](const std::string& it) { return !it.empty(); });
}

/// Any bytes that another field may hold.
rc::Gen<std::string> Word() {
  return rc::gen::map(NonEmptyText(), [](std::string text) {
    for (char& it : text) {
      if (it == ' ') it = '_';
    }
    return text;
  });
}

rc::Gen<Position> AnyPosition() {
  return rc::gen::construct<Position>(rc::gen::arbitrary<Term>(),
                                      rc::gen::arbitrary<std::uint64_t>());
}

/// Sets the arguments of a statement's verb.
void DrawArguments(session::Statement& statement) {
  switch (statement.verb) {
    case Verb::kRead:
      statement.text = *NonEmptyText();
      break;
    case Verb::kWrite:
      statement.text = *Word() + " " + *Text();
      break;
    case Verb::kSet:
      statement.name = *Word();
      statement.text = *Text();
      break;
    case Verb::kPrepareRead:
    case Verb::kPrepareWrite:
    case Verb::kExecute:
      statement.name = *Word();
      statement.text = *NonEmptyText();
      break;
    case Verb::kForget:
      statement.name = *NonEmptyText();
      break;
    default:
      break;
  }
}

ServerCommand DrawClientCommand() {
  ServerCommand command;
  command.id = *rc::gen::suchThat(
      Word(), [](const std::string& it) { return it != "-"; });
  command.statement.verb = *rc::gen::element(
      Verb::kBegin, Verb::kBeginRead, Verb::kCommit, Verb::kRollback,
      Verb::kRead, Verb::kWrite, Verb::kSet, Verb::kPrepareRead,
      Verb::kPrepareWrite, Verb::kExecute, Verb::kForget);
  DrawArguments(command.statement);
  return command;
}

ServerCommand DrawServerCommand() {
  ServerCommand command = DrawClientCommand();
  if (*rc::gen::arbitrary<bool>()) command.id.clear();
  if (*rc::gen::arbitrary<bool>()) command.after = *AnyPosition();
  if (*rc::gen::inRange(0, 3) != 0) return command;
  command.statement = {};
  command.statement.verb =
      *rc::gen::element(Verb::kReset, Verb::kStatus, Verb::kHold, Verb::kDemote,
                        Verb::kResume, Verb::kTenant);
  const Verb verb = command.statement.verb;
  if (verb == Verb::kTenant && *rc::gen::arbitrary<bool>()) {
    command.statement.name = *rc::gen::suchThat(Word(), session::IsTenantName);
  }
  if (verb == Verb::kHold || verb == Verb::kDemote) {
    command.term = *rc::gen::arbitrary<Term>();
  }
  return command;
}

/// A reply as a server may send it; an empty detail is written as `-`.
Reply DrawReply() {
  Reply reply;
  reply.state =
      *rc::gen::element(TransactionState::kIdle, TransactionState::kOpen,
                        TransactionState::kFailed);
  if (*rc::gen::arbitrary<bool>()) reply.position = *AnyPosition();
  if (*rc::gen::arbitrary<bool>()) {
    reply.error = *rc::gen::element(
        ErrorCode::kBusy, ErrorCode::kAborted, ErrorCode::kBehind,
        ErrorCode::kReadOnly, ErrorCode::kMisrouted, ErrorCode::kTooMany,
        ErrorCode::kNoStatement, ErrorCode::kFailed, ErrorCode::kTimeout,
        ErrorCode::kUnsure, ErrorCode::kBad, ErrorCode::kNoDatabase);
    reply.detail = *NonEmptyText();
    return reply;
  }
  reply.rows = *rc::gen::container<std::vector<std::string>>(Text());
  reply.receipt = *rc::gen::suchThat(
      Text(), [](const std::string& it) { return it != "-"; });
  return reply;
}

std::string WithoutEnd(std::string line) {
  RC_ASSERT(line.ends_with("\r\n"));
  line.resize(line.size() - 2);
  RC_ASSERT(line.find_first_of("\r\n") == std::string::npos);
  return line;
}

std::string Format(const ServerCommand& command) {
  std::string line;
  platform::AppendCommand(line, command);
  return WithoutEnd(line);
}

std::string Format(const ClientMessage& message) {
  if (message.type == ClientMessage::Type::kBye) return "BYE";
  if (message.type == ClientMessage::Type::kStart) {
    return "START " + message.database + " " + message.client;
  }
  ServerCommand command;
  command.id = message.id;
  command.statement = message.statement;
  return Format(command);
}

std::string Format(const PeerMessage& message) {
  if (message.type == PeerMessage::Type::kCommand) {
    return Format(message.command);
  }
  std::string line;
  platform::AppendStart(line, message.service, message.instance,
                        message.server);
  return WithoutEnd(line);
}

std::vector<std::string> Lines(const Reply& reply) {
  std::string text;
  platform::AppendReply(text, reply, false);
  std::vector<std::string> lines;
  while (!text.empty()) {
    const auto end = text.find("\r\n");
    RC_ASSERT(end != std::string::npos);
    lines.push_back(text.substr(0, end));
    text.erase(0, end + 2);
  }
  return lines;
}

/// A parser that has read the reply to `START`.
ReplyParser StartedParser() {
  ReplyParser parser;
  REQUIRE(parser.AddLine("READY I -"));
  return parser;
}

/// A line that resembles the protocol's, accepted or not: a valid one with a
/// few fields replaced, added or removed.
std::string DrawLine(std::string line, const std::vector<std::string>& words) {
  const int changes = *rc::gen::inRange(0, 3);
  for (int n = 0; n < changes; ++n) {
    const auto at = *rc::gen::inRange<std::size_t>(0, line.size() + 1);
    const auto start = line.rfind(' ', at);
    const auto from = start == std::string::npos ? 0 : start + 1;
    const auto end = std::min(line.find(' ', from), line.size());
    const std::string field = *rc::gen::weightedOneOf<std::string>(
        {{4, rc::gen::elementOf(words)}, {1, Text()}});
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        line.replace(from, end - from, field);
        break;
      case 1:
        line.insert(from, field + " ");
        break;
      case 2:
        line.insert(end, " ");
        break;
      default:
        line.erase(from, end - from);
        break;
    }
  }
  return line;
}

const std::vector<std::string> kRequestWords = {
    "START", "QUERY",  "BYE",    "BEGIN",  "READ",    "COMMIT", "ROLLBACK",
    "WRITE", "SET",    "EXEC",   "FORGET", "PREPARE", "RESET",  "STATUS",
    "HOLD",  "DEMOTE", "RESUME", "AFTER",  "3.17",    "03.17",  "+3.1",
    "07",    "7",      "-",      "",       "x",       "q1"};

std::string DrawClientLine() {
  const int kind = *rc::gen::inRange(0, 10);
  if (kind == 0) return "BYE";
  if (kind == 1) return "START " + *Word() + " " + *NonEmptyText();
  return Format(DrawClientCommand());
}

std::string DrawPeerLine() {
  if (*rc::gen::inRange(0, 10) > 0) return Format(DrawServerCommand());
  return "START " + *Word() + " " + *Word() + " " + *NonEmptyText();
}

const std::vector<std::string> kReplyWords = {
    "ROW", "DONE", "ERR",  "READY", "I",  "T", "E",      "BUSY",
    "-",   "",     "3.17", "03.17", "3.", "x", "FAILED", "NOSTMT"};

}  // namespace

TEST_CASE("every client message is parsed as it was written") {
  CHECK(rc::check([] {
    const ServerCommand command = DrawClientCommand();
    const auto parsed = ParseClientMessage(Format(command));
    RC_ASSERT(parsed.type == ClientMessage::Type::kQuery);
    RC_ASSERT(parsed.id == command.id);
    RC_ASSERT(parsed.statement.verb == command.statement.verb);
    RC_ASSERT(parsed.statement.name == command.statement.name);
    RC_ASSERT(parsed.statement.text == command.statement.text);
  }));
  CHECK(rc::check([] {
    ClientMessage message;
    message.type = ClientMessage::Type::kStart;
    message.database = *Word();
    message.client = *NonEmptyText();
    const auto parsed = ParseClientMessage(Format(message));
    RC_ASSERT(parsed.type == ClientMessage::Type::kStart);
    RC_ASSERT(parsed.database == message.database);
    RC_ASSERT(parsed.client == message.client);
  }));
}

TEST_CASE("every command to a server is parsed as it was written") {
  CHECK(rc::check([] {
    const ServerCommand command = DrawServerCommand();
    const auto parsed = ParsePeerMessage(Format(command));
    RC_ASSERT(parsed.type == PeerMessage::Type::kCommand);
    RC_ASSERT(parsed.command.id == command.id);
    RC_ASSERT(parsed.command.after == command.after);
    RC_ASSERT(parsed.command.term == command.term);
    RC_ASSERT(parsed.command.statement.verb == command.statement.verb);
    RC_ASSERT(parsed.command.statement.name == command.statement.name);
    RC_ASSERT(parsed.command.statement.text == command.statement.text);
  }));
}

TEST_CASE("every reply is parsed as it was written") {
  CHECK(rc::check([] {
    const Reply reply = DrawReply();
    ReplyParser parser = StartedParser();
    std::optional<Reply> parsed;
    for (const auto& line : Lines(reply)) {
      RC_ASSERT_FALSE(parsed);
      parsed = parser.AddLine(line);
      RC_ASSERT_FALSE(parser.malformed());
    }
    RC_ASSERT(parsed);
    RC_ASSERT(parsed->rows == reply.rows);
    RC_ASSERT(parsed->receipt == reply.receipt);
    RC_ASSERT(parsed->error == reply.error);
    RC_ASSERT(parsed->detail == reply.detail);
    RC_ASSERT(parsed->state == reply.state);
    RC_ASSERT(parsed->position == reply.position);
  }));
}

// Guards against texts that reach a server with other bytes than the client's.
TEST_CASE("every line of a client that is accepted is written as it was") {
  CHECK(rc::check([] {
    const std::string line = DrawLine(DrawClientLine(), kRequestWords);
    const auto parsed = ParseClientMessage(line);
    const bool accepted = parsed.type != ClientMessage::Type::kUnknown &&
                          (parsed.type != ClientMessage::Type::kQuery ||
                           parsed.statement.verb != Verb::kUnknown);
    RC_CLASSIFY(accepted);
    if (accepted) RC_ASSERT(Format(parsed) == line);
  }));
}

TEST_CASE("every line of an instance that is accepted is written as it was") {
  CHECK(rc::check([] {
    const std::string line = DrawLine(DrawPeerLine(), kRequestWords);
    const auto parsed = ParsePeerMessage(line);
    const bool accepted = parsed.type != PeerMessage::Type::kUnknown;
    RC_CLASSIFY(accepted);
    if (accepted) RC_ASSERT(Format(parsed) == line);
  }));
}

/// Except that the text of an error may be empty, which is written as `-`, and
/// that an unknown code is written as `FAILED`.
TEST_CASE("every reply of a server that is accepted is written as it was") {
  CHECK(rc::check([] {
    ReplyParser parser = StartedParser();
    std::vector<std::string> lines;
    for (const auto& valid : Lines(DrawReply())) {
      lines.push_back(DrawLine(valid, kReplyWords));
      const auto reply = parser.AddLine(lines.back());
      if (parser.malformed()) break;
      if (!reply) continue;
      RC_CLASSIFY(true, "accepted");
      if (reply->error == ErrorCode::kOther) return;
      if (reply->error != ErrorCode::kNone && reply->detail.empty()) return;
      RC_ASSERT(Lines(*reply) == lines);
    }
  }));
}

TEST_CASE("blanks of a client's text are the server's, or it is refused") {
  for (const char* text :
       {"READ  x", "READ x ", "WRITE a ", "WRITE a  b ", "SET v ", "SET v  1 ",
        "PREPARE s1 READ  q ", "EXEC s1 a  b "}) {
    const std::string line = std::string("QUERY 1 ") + text;
    CHECK(Format(ParseClientMessage(line)) == line);
  }
  for (const char* text :
       {"READ ", " READ x", "WRITE  b", "WRITE  a b", "SET v", "SET  1",
        "PREPARE s1 READ ", "PREPARE  READ q", "PREPARE s1  READ q", "EXEC s1 ",
        "EXEC  a", "FORGET ", "BEGIN ", "BEGIN  READ", "COMMIT "}) {
    CHECK(ParseClientMessage(std::string("QUERY 1 ") + text).statement.verb ==
          Verb::kUnknown);
  }
  for (const char* line :
       {"START db", "START db ", "START  me", " START db me", "BYE ", "BYE now",
        "QUERY", "QUERY ", "QUERY  READ x", "QUERY - READ x"}) {
    CHECK(ParseClientMessage(line).type == ClientMessage::Type::kUnknown);
  }
}

// Guards against rows or a result of one reply that are taken for another's.
TEST_CASE("a reply within a reply is malformed") {
  using Lines = std::vector<std::string>;
  for (const auto& lines : {
           Lines{"DONE r", "DONE r"},
           Lines{"DONE r", "ROW a"},
           Lines{"DONE r", "ERR BUSY x"},
           Lines{"ERR BUSY x", "ROW a"},
           Lines{"ERR BUSY x", "DONE r"},
           Lines{"ERR BUSY x", "ERR BUSY x"},
           Lines{"ROW a", "ERR BUSY x"},
           Lines{"READY I 1.1"},
           Lines{"ROW a", "READY I 1.1"},
           Lines{"DONE r", "READY I 1.1", "READY I 1.1"},
       }) {
    ReplyParser parser = StartedParser();
    for (std::size_t n = 0; n < lines.size(); ++n) {
      CHECK_FALSE(parser.malformed());
      const bool replied = parser.AddLine(lines[n]).has_value();
      CHECK(replied == (lines.size() == 3 && n == 1));
    }
    CHECK(parser.malformed());
    // Nothing that follows counts.
    CHECK_FALSE(parser.AddLine("READY I 1.1"));
    CHECK(parser.malformed());
  }
}

TEST_CASE("START is answered by READY or ERR alone") {
  for (const char* line : {"ROW a", "DONE -", "DONE r", "READY", ""}) {
    ReplyParser parser;
    CHECK_FALSE(parser.AddLine(line));
    CHECK(parser.malformed());
  }
  ReplyParser parser;
  CHECK_FALSE(parser.AddLine("ERR MISROUTED i-1"));
  CHECK_FALSE(parser.malformed());
  CHECK(parser.pending_error() == ErrorCode::kMisrouted);
  CHECK_FALSE(parser.AddLine("READY I 1.1"));
  CHECK(parser.malformed());
}

TEST_CASE("a line of a server that lacks a field is malformed") {
  for (const char* line : {"ROW", "DONE", "DONE ", "ERR", "ERR ", "ERR BUSY",
                           "row a", " ROW a", "", "HELLO", "QUERY x READ a"}) {
    ReplyParser parser = StartedParser();
    CHECK_FALSE(parser.AddLine(line));
    CHECK(parser.malformed());
  }
  for (const char* line :
       {"READY", "READY I", "READY I ", "READY  -", "READY X 1.1", "READY IT -",
        "READY i -", "READY I 1", "READY I 1.", "READY I .1", "READY I 1.x",
        "READY I 1.1 ", "READY I 1.1 x", "READY I -1.1", "READY I 01.1",
        "READY I 1.99999999999999999999"}) {
    ReplyParser parser = StartedParser();
    CHECK_FALSE(parser.AddLine("DONE -"));
    CHECK_FALSE(parser.AddLine(line));
    CHECK(parser.malformed());
  }
}

TEST_CASE("an unknown error code is an error") {
  ReplyParser parser = StartedParser();
  CHECK_FALSE(parser.AddLine("ERR NOVEL x"));
  const auto reply = parser.AddLine("READY I 1.1");
  REQUIRE(reply);
  CHECK(reply->error == ErrorCode::kOther);
}

TEST_CASE("a reply that is cut off is none") {
  CHECK(rc::check([] {
    const auto lines = Lines(DrawReply());
    ReplyParser parser = StartedParser();
    for (std::size_t n = 0; n + 1 < lines.size(); ++n) {
      RC_ASSERT_FALSE(parser.AddLine(lines[n]));
    }
  }));
}

}  // namespace corianderdock::test
